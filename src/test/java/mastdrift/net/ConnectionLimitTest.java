package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Which connection is closed at the limit on client connections. */
class ConnectionLimitTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(Loopback.WAIT_SECONDS);

    private final EventLoop loop = Main.newEventLoop();
    private final List<Boolean> acceptSwitches = new ArrayList<>();
    private final ConnectionLimit<TestConnection> limit = new ConnectionLimit<>(loop, 2, acceptSwitches::add,
            () -> { });

    private final class TestConnection implements ConnectionLimit.Evictable {

        private final boolean active;
        private boolean sending;
        private boolean unread;
        private boolean closedGracefully;
        private boolean closed;

        TestConnection(boolean active) {
            this.active = active;
            limit.add(this);
        }

        @Override
        public boolean isSendingRequest() {
            return sending || unread;
        }

        @Override
        public boolean hasUnprocessedInput() {
            return unread;
        }

        @Override
        public void closeGracefully() {
            if (active) {
                closedGracefully = true;
                limit.startedLingering(this);
            }
        }

        @Override
        public void close() {
            closed = true;
            loop.execute(() -> limit.remove(this));  // after this turn of the loop, as channels report their close
        }
    }

    @AfterEach
    void shutDownLoop() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private TestConnection addConnection(boolean active) throws Exception {
        return loop.submit(() -> new TestConnection(active)).get();
    }

    private void awaitCondition(Callable<Boolean> condition) {
        assertTimeoutPreemptively(TIMEOUT, () -> {
            while (!loop.submit(condition).get()) {
                Thread.onSpinWait();
            }
        });
    }

    /** Guards against an endless loop over a connection that has closed by itself and has not been removed yet. */
    @Test
    void doesNotChooseClosedConnectionTwice() throws Exception {
        TestConnection oldest = loop.submit(() -> List.of(new TestConnection(false), new TestConnection(true),
                new TestConnection(true))).get().get(1);
        awaitCondition(() -> oldest.closedGracefully);
        assertEquals(true, loop.submit(() -> acceptSwitches.get(acceptSwitches.size() - 1)).get());
    }

    @Test
    void evictsSendingAndUnreadConnectionsLast() throws Exception {
        TestConnection unread = addConnection(true);
        TestConnection sending = addConnection(true);
        TestConnection third = loop.submit(() -> {
            unread.unread = true;
            sending.sending = true;
            return new TestConnection(true);
        }).get();
        awaitCondition(() -> third.closedGracefully);
        assertFalse(unread.closedGracefully || sending.closedGracefully);
        addConnection(true);
        assertTrue(third.closed);  // a connection in a lingering close is replaced by the next new one
    }

    /** Guards against closing a new connection before its client has had the time to write, though others are idle. */
    @Test
    void evictsIdleConnectionBeforeTheNewest() throws Exception {
        List<TestConnection> idle = loop.submit(() -> List.of(new TestConnection(true), new TestConnection(true)))
                .get();
        TestConnection newcomer = loop.submit(() -> {
            idle.forEach(limit::requestReceived);
            idle.forEach(limit::becameIdle);
            return new TestConnection(true);
        }).get();
        awaitCondition(() -> idle.get(0).closedGracefully || newcomer.closedGracefully);
        assertFalse(newcomer.closedGracefully || idle.get(1).closedGracefully);
    }

    /** Guards against running out of descriptors under a flood of connections: several that come in one turn of the
        loop each replace another lingering one. */
    @Test
    void newConnectionsOfOneTurnEachReplaceALingeringOne() throws Exception {
        List<TestConnection> first = loop.submit(() -> List.of(new TestConnection(true), new TestConnection(true),
                new TestConnection(true), new TestConnection(true))).get();
        awaitCondition(() -> first.stream().filter(place -> place.closedGracefully).count() == 2);
        loop.submit(() -> List.of(new TestConnection(true), new TestConnection(true))).get();
        assertEquals(2, first.stream().filter(place -> place.closed).count());
    }
}
