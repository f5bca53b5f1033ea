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

    private static final Duration ENOUGH = Duration.ofSeconds(Loopback.WAIT_SECONDS);

    private final EventLoop loop = Main.newEventLoop();
    private final List<Boolean> accepts = new ArrayList<>();
    private final ConnectionLimit<Place> limit = new ConnectionLimit<>(loop, 2, accepts::add, () -> { });

    private final class Place implements ConnectionLimit.Evictable {

        private final boolean active;
        private boolean sending;
        private boolean unread;
        private boolean ended;
        private boolean closed;

        Place(boolean active) {
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
                ended = true;
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
    void end() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Place came(boolean active) throws Exception {
        return loop.submit(() -> new Place(active)).get();
    }

    private void until(Callable<Boolean> holds) {
        assertTimeoutPreemptively(ENOUGH, () -> {
            while (!loop.submit(holds).get()) {
                Thread.onSpinWait();
            }
        });
    }

    /** Guards against an endless loop over a connection that has closed by itself and has not been removed yet. */
    @Test
    void whoHasEndedByItselfIsNotMetAgain() throws Exception {
        Place next = loop.submit(() -> List.of(new Place(false), new Place(true), new Place(true))).get().get(1);
        until(() -> next.ended);
        assertEquals(true, loop.submit(() -> accepts.get(accepts.size() - 1)).get());
    }

    @Test
    void whoIsSendingOrHasNotBeenLookedAtGoesLast() throws Exception {
        Place unread = came(true);
        Place sending = came(true);
        Place third = loop.submit(() -> {
            unread.unread = true;
            sending.sending = true;
            return new Place(true);
        }).get();
        until(() -> third.ended);
        assertFalse(unread.ended || sending.ended);
        came(true);
        assertTrue(third.closed);  // a connection in a lingering close is replaced by the next new one
    }

    /** Guards against closing a new connection before its client has had the time to write, though others are idle. */
    @Test
    void whoHasAskedBeforeMakesRoomForTheNewcomer() throws Exception {
        List<Place> rested = loop.submit(() -> List.of(new Place(true), new Place(true))).get();
        Place newcomer = loop.submit(() -> {
            rested.forEach(limit::requestReceived);
            rested.forEach(limit::becameIdle);
            return new Place(true);
        }).get();
        until(() -> rested.get(0).ended || newcomer.ended);
        assertFalse(newcomer.ended || rested.get(1).ended);
    }

    /** Guards against running out of descriptors under a flood of connections: several that come in one turn of the
        loop each replace another lingering one. */
    @Test
    void newcomersOfOneTurnCloseAsManyWhoLinger() throws Exception {
        List<Place> first = loop.submit(() -> List.of(new Place(true), new Place(true), new Place(true), new Place(true))).get();
        until(() -> first.stream().filter(place -> place.ended).count() == 2);
        loop.submit(() -> List.of(new Place(true), new Place(true))).get();
        assertEquals(2, first.stream().filter(place -> place.closed).count());
    }
}
