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

    private static final long PAUSE_MICROS = 300_000;

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final BlockingQueue<Long> waits = new LinkedBlockingQueue<>();
    private final EventLoop loop = Main.newEventLoop();
    private TcpServerChannel listener;

    @BeforeEach
    void listen() throws InterruptedException {
        listener = (TcpServerChannel) new ServerBootstrap().group(loop)
                .channelFactory(() -> new TcpServerChannel(clock::get, failure -> { }))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        waits.add(((TcpChannel) channel).maxAcceptQueueMicros());
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

    private void setAccepting(boolean accepting) throws Exception {
        loop.submit(() -> listener.setAccepting(accepting)).sync();
    }

    @Test
    void connectionFromPauseMayHaveWaitedThroughAllOfIt() throws Exception {
        setAccepting(false);
        try (Socket one = connect(); Socket other = connect()) {
            clock.addAndGet(PAUSE_MICROS);
            setAccepting(true);
            assertEquals(PAUSE_MICROS, Loopback.await(waits));
            assertEquals(PAUSE_MICROS, Loopback.await(waits));
        }
        clock.addAndGet(PAUSE_MICROS);
        try (Socket later = connect()) {
            assertEquals(0, Loopback.await(waits));
        }
    }

    /** No connection came during the pause: one that comes long after it has not waited. */
    @Test
    void pauseWithoutConnectionsLeavesNoWait() throws Exception {
        setAccepting(false);
        clock.addAndGet(PAUSE_MICROS);
        setAccepting(true);
        awaitTimersOf(loop);
        clock.addAndGet(PAUSE_MICROS);
        try (Socket later = connect()) {
            assertEquals(0, Loopback.await(waits));
        }
    }

    /** Waits for timers of the loop that were set before and are due within some milliseconds. */
    private static void awaitTimersOf(EventLoop loop) throws Exception {
        loop.submit(() -> loop.schedule(() -> { }, 10, TimeUnit.MILLISECONDS)).sync().getNow().sync();
    }
}
