package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Time limits on reading requests, on the test's own clock. */
class RequestReadTimerTest {

    private static final long CONNECTED_AT = 7_000_000;
    private static final long SECOND_MICROS = 1_000_000;
    private final RequestReadTimer timer = new RequestReadTimer();

    /** Reads a body in equal pieces every tenth of a second until the timer expires; returns that time, or
        Long.MAX_VALUE. */
    private long readBody(long from, long bytes, long bytesPerSecond) {
        long now = from;
        for (long received = 0; received < bytes; received += bytesPerSecond / 10) {
            now += SECOND_MICROS / 10;
            timer.dataReceived(now);
            if (timer.isExpired(now, 0, received)) {
                return now;
            }
        }
        return Long.MAX_VALUE;
    }

    /** Guards against a fixed limit on the whole request: 2 s for the head, then 20 MB at 64 kB a second are allowed.
        */
    @Test
    void acceptsSlowButPermittedClient() {
        timer.start(CONNECTED_AT);
        timer.dataReceived(CONNECTED_AT + 2 * SECOND_MICROS);
        assertFalse(timer.isExpired(CONNECTED_AT + 2 * SECOND_MICROS, CONNECTED_AT, 0));
        assertTrue(readBody(CONNECTED_AT + 2 * SECOND_MICROS, 20_000_000, 64_000) == Long.MAX_VALUE);
    }

    @Test
    void expiresWithinThreeSecondsForTricklingOrStalledInput() {
        timer.start(CONNECTED_AT);
        assertTrue(readBody(CONNECTED_AT, 1_000_000, 1_000) < CONNECTED_AT + 3 * SECOND_MICROS);
        RequestReadTimer burst = new RequestReadTimer();
        burst.start(CONNECTED_AT);
        burst.dataReceived(CONNECTED_AT + SECOND_MICROS / 100);
        assertFalse(burst.isExpired(CONNECTED_AT + 2 * SECOND_MICROS, CONNECTED_AT, 64_000));
        assertTrue(burst.isExpired(CONNECTED_AT + 2_700_000, CONNECTED_AT, 64_000));
    }

    /** The first request on a connection is timed from connecting: a byte just before the limit must not extend it. */
    @Test
    void lateFirstByteDoesNotExtendTheLimit() {
        timer.start(CONNECTED_AT + 2_500_000);
        timer.dataReceived(CONNECTED_AT + 2_500_000);
        assertTrue(timer.isExpired(CONNECTED_AT + 2_700_000, CONNECTED_AT, 0));
        assertFalse(timer.isExpired(CONNECTED_AT + 2_700_000, 0, 0));
    }

    /** Guards against closing a client whose body waits for a slow host. */
    @Test
    void pausedTimeDoesNotCount() {
        timer.start(CONNECTED_AT);
        timer.dataReceived(CONNECTED_AT);
        assertTrue(timer.setPaused(true, CONNECTED_AT + SECOND_MICROS));
        assertFalse(timer.setPaused(true, CONNECTED_AT + 2 * SECOND_MICROS));
        assertFalse(timer.isExpired(CONNECTED_AT + 30 * SECOND_MICROS, 0, 0));
        assertTrue(timer.setPaused(false, CONNECTED_AT + 30 * SECOND_MICROS));
        assertFalse(timer.isExpired(CONNECTED_AT + 31 * SECOND_MICROS, 0, 0));
        assertTrue(timer.isExpired(CONNECTED_AT + 33 * SECOND_MICROS, 0, 0));
    }

    @Test
    void doesNotExpireBetweenRequests() {
        timer.start(CONNECTED_AT);
        timer.stop();
        assertFalse(timer.isRunning());
        assertFalse(timer.isExpired(CONNECTED_AT + 60 * SECOND_MICROS, 0, 0));
    }
}
