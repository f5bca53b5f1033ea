package mastdrift.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/** Opens connections and tells what became of each on the event loop. Where the system has no socket to give, the library has
    no channel, and would tell of it on a thread of its own. */
final class Dialer {

    /** Hears of one dial's end, once, on the event loop and never within {@link Dialer#dial}. */
    interface Result {
        void connected(Channel channel);

        void failed(Throwable cause);
    }

    private Dialer() { }

    /** Begins to connect; the channel is that of the connection to come, and is closed where none could be made. */
    static Channel dial(Bootstrap bootstrap, EventLoop loop, InetSocketAddress at, Result result) {
        ChannelFuture dialled = bootstrap.connect(at);
        dialled.addListener(done -> {
            if (loop.inEventLoop()) {
                tell(dialled, result);
            } else {
                loop.execute(() -> tell(dialled, result));
            }
        });
        return dialled.channel();
    }

    private static void tell(ChannelFuture dialled, Result result) {
        if (dialled.isSuccess()) {
            result.connected(dialled.channel());
        } else {
            result.failed(dialled.cause());
        }
    }

    /** Closes what {@link #dial} returned, also where there was no channel to be made. */
    static void close(Channel channel) {
        if (channel.isOpen()) {
            channel.close();
        }
    }

    /** Whether the failure lies with this machine (no descriptor, port, buffer or route for the moment) and says nothing of
        the one that was to be reached. */
    static boolean isLocal(Throwable cause) {
        boolean ofTheOther = cause instanceof ConnectException || cause instanceof NoRouteToHostException;
        return cause instanceof ChannelException || cause instanceof SocketException && !ofTheOther;
    }
}
