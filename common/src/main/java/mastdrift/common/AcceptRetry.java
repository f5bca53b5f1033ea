package mastdrift.common;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/** Resumes accepting a few milliseconds after a failed accept, for example when no file descriptor is left. By default
    Netty pauses for a second, while new connections wait in the listen queue. For a listening socket that has auto-read
    on. */
final class AcceptRetry extends ChannelInboundHandlerAdapter {

    static final long RETRY_MILLIS = 5;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.channel().config().setAutoRead(false);
        context.channel().eventLoop().schedule(() -> context.channel().config().setAutoRead(true), RETRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
