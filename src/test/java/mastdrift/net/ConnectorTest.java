package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that results of connecting are reported on the event loop, and which failures count as local. */
class ConnectorTest {

    private record Told(Throwable cause, boolean onLoop) { }

    private static Told dial(io.netty.channel.ChannelFactory<Channel> channels, InetSocketAddress at) throws Exception {
        EventLoop loop = Main.loop();
        try {
            Bootstrap bootstrap = new Bootstrap().group(loop).channelFactory(channels)
                    .handler(new ChannelInboundHandlerAdapter());
            CompletableFuture<Told> told = new CompletableFuture<>();
            loop.execute(() -> {
                Channel dialled = Connector.connect(bootstrap, loop, at, new Connector.ConnectListener() {
                    @Override
                    public void connected(Channel channel) {
                        told.complete(new Told(null, loop.inEventLoop()));
                    }

                    @Override
                    public void failed(Throwable cause) {
                        told.complete(new Told(cause, loop.inEventLoop()));
                    }
                });
                assertFalse(told.isDone(), "reported before connect returned");
                if (!dialled.isOpen()) {
                    Connector.close(dialled);
                }
            });
            return told.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** The channel can't be created, as when the process has no descriptor left. */
    @Test
    void thatNoSocketCanBeMadeIsToldOnTheEventLoop() throws Exception {
        Told told = dial(() -> {
            throw new ChannelException("no descriptor left");
        }, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        assertTrue(told.onLoop);
        assertTrue(Connector.isLocalFailure(told.cause), told.cause.toString());
    }

    @Test
    void aConnectionAndARefusalAreToldOnTheEventLoop() throws Exception {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        InetSocketAddress at = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        Told up = dial(NioSocketChannel::new, at);
        assertTrue(up.onLoop && up.cause == null);
        server.close();
        Told refused = dial(NioSocketChannel::new, at);
        assertTrue(refused.onLoop);
        assertFalse(Connector.isLocalFailure(refused.cause), refused.cause.toString());
    }

    @Test
    void onlyWhatThisMachineLacksIsLocal() {
        assertTrue(Connector.isLocalFailure(new BindException("Cannot assign requested address")));
        assertTrue(Connector.isLocalFailure(new SocketException("Network is unreachable")));
        assertTrue(Connector.isLocalFailure(new ChannelException("Failed to open a socket.")));
        assertFalse(Connector.isLocalFailure(new ConnectException("Connection refused")));
        assertFalse(Connector.isLocalFailure(new NoRouteToHostException("No route to host")));
    }
}
