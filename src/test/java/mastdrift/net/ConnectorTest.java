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

    private record Result(Throwable cause, boolean onLoop) { }

    private static Result connect(io.netty.channel.ChannelFactory<Channel> channelFactory, InetSocketAddress address)
            throws Exception {
        EventLoop loop = Main.newEventLoop();
        try {
            Bootstrap bootstrap = new Bootstrap().group(loop).channelFactory(channelFactory)
                    .handler(new ChannelInboundHandlerAdapter());
            CompletableFuture<Result> result = new CompletableFuture<>();
            loop.execute(() -> {
                Channel connecting = Connector.connect(bootstrap, loop, address, new Connector.ConnectListener() {
                    @Override
                    public void connected(Channel channel) {
                        result.complete(new Result(null, loop.inEventLoop()));
                    }

                    @Override
                    public void failed(Throwable cause) {
                        result.complete(new Result(cause, loop.inEventLoop()));
                    }
                });
                assertFalse(result.isDone(), "reported before connect returned");
                if (!connecting.isOpen()) {
                    Connector.close(connecting);
                }
            });
            return result.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** The channel can't be created, as when the process has no descriptor left. */
    @Test
    void failureToCreateASocketIsReportedOnTheEventLoop() throws Exception {
        Result result = connect(() -> {
            throw new ChannelException("no descriptor left");
        }, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        assertTrue(result.onLoop);
        assertTrue(Connector.isLocalFailure(result.cause), result.cause.toString());
    }

    @Test
    void connectionAndRefusalAreReportedOnTheEventLoop() throws Exception {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        Result connected = connect(NioSocketChannel::new, address);
        assertTrue(connected.onLoop && connected.cause == null);
        server.close();
        Result refused = connect(NioSocketChannel::new, address);
        assertTrue(refused.onLoop);
        assertFalse(Connector.isLocalFailure(refused.cause), refused.cause.toString());
    }

    @Test
    void onlyFailuresOfThisMachineAreLocal() {
        assertTrue(Connector.isLocalFailure(new BindException("Cannot assign requested address")));
        assertTrue(Connector.isLocalFailure(new SocketException("Network is unreachable")));
        assertTrue(Connector.isLocalFailure(new ChannelException("Failed to open a socket.")));
        assertFalse(Connector.isLocalFailure(new ConnectException("Connection refused")));
        assertFalse(Connector.isLocalFailure(new NoRouteToHostException("No route to host")));
    }
}
