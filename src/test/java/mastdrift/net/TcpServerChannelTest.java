package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The time that a connection may have waited in the accept queue. */
class TcpServerChannelTest {

    private static final long PAUSE = 300_000;

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final BlockingQueue<Long> waited = new LinkedBlockingQueue<>();
    private final EventLoop loop = Main.newEventLoop();
    private TcpServerChannel listener;

    @BeforeEach
    void listen() throws InterruptedException {
        listener = (TcpServerChannel) new ServerBootstrap().group(loop)
                .channelFactory(() -> new TcpServerChannel(clock::get, failure -> { }))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        waited.add(((TcpChannel) channel).maxAcceptQueueMicros());
                    }
                }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
    }

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket connect() throws Exception {
        return new Socket(listener.localAddress().getAddress(), listener.localAddress().getPort());
    }

    private void accept(boolean accepts) throws Exception {
        loop.submit(() -> listener.setAccepting(accepts)).sync();
    }

    @Test
    void whoCameDuringAPauseMayHaveWaitedThroughAllOfIt() throws Exception {
        accept(false);
        try (Socket one = connect(); Socket other = connect()) {
            clock.addAndGet(PAUSE);
            accept(true);
            assertEquals(PAUSE, Loopback.await(waited));
            assertEquals(PAUSE, Loopback.await(waited));
        }
        clock.addAndGet(PAUSE);
        try (Socket later = connect()) {
            assertEquals(0, Loopback.await(waited));
        }
    }

    /** No connection came during the pause: one that comes long after it has not waited. */
    @Test
    void aPauseWithNobodyIsForgotten() throws Exception {
        accept(false);
        clock.addAndGet(PAUSE);
        accept(true);
        awaitTimersOf(loop);
        clock.addAndGet(PAUSE);
        try (Socket later = connect()) {
            assertEquals(0, Loopback.await(waited));
        }
    }

    /** Waits for timers of the loop that were set before and are due within some milliseconds. */
    private static void awaitTimersOf(EventLoop loop) throws Exception {
        loop.submit(() -> loop.schedule(() -> { }, 10, TimeUnit.MILLISECONDS)).sync().getNow().sync();
    }
}
