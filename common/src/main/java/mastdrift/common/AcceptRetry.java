package mastdrift.common;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/** Accepts again some milliseconds after a failed call (no descriptor left, say), where the library would rest for a second and
    leave all who wait in the queue. For a listening socket that accepts all the time. */
final class AcceptRetry extends ChannelInboundHandlerAdapter {

    static final long RETRY_MILLIS = 5;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.channel().config().setAutoRead(false);
        context.channel().eventLoop().schedule(() -> context.channel().config().setAutoRead(true), RETRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
