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

/** Opens connections and reports the result of each on the event loop. Where the system has no socket left, Netty
    creates no channel and would report the failure on a thread of its own. */
final class Connector {

    /** Receives the result of one {@link Connector#connect}: called once, on the event loop, after that method has
        returned. */
    interface ConnectListener {
        void connected(Channel channel);

        void failed(Throwable cause);
    }

    private Connector() { }

    /** Starts to connect and returns the channel of the future connection, which is closed where none could be
        created. */
    static Channel connect(Bootstrap bootstrap, EventLoop loop, InetSocketAddress address, ConnectListener listener) {
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> {
            if (loop.inEventLoop()) {
                notify(connecting, listener);
            } else {
                loop.execute(() -> notify(connecting, listener));
            }
        });
        return connecting.channel();
    }

    private static void notify(ChannelFuture connecting, ConnectListener listener) {
        if (connecting.isSuccess()) {
            listener.connected(connecting.channel());
        } else {
            listener.failed(connecting.cause());
        }
    }

    /** Closes a channel that {@link #connect} returned, also one that could not be created. */
    static void close(Channel channel) {
        if (channel.isOpen()) {
            channel.close();
        }
    }

    /** Whether the failure lies with this machine (no descriptor, port, buffer or route at the moment) and says nothing
        about the remote one. */
    static boolean isLocalFailure(Throwable cause) {
        boolean remote = cause instanceof ConnectException || cause instanceof NoRouteToHostException;
        return cause instanceof ChannelException || cause instanceof SocketException && !remote;
    }
}
