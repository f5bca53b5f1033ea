package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Time limits on reading requests, on the test's own clock. */
class RequestReadTimerTest {

    private static final long CAME = 7_000_000;
    private static final long SECOND = 1_000_000;
    private final RequestReadTimer arrival = new RequestReadTimer();

    /** Reads a body in equal pieces every tenth of a second until the timer expires; returns that time, or
        Long.MAX_VALUE. */
    private long readBody(long from, long bytes, long bytesPerSecond) {
        long now = from;
        for (long got = 0; got < bytes; got += bytesPerSecond / 10) {
            now += SECOND / 10;
            arrival.dataReceived(now);
            if (arrival.isExpired(now, 0, got)) {
                return now;
            }
        }
        return Long.MAX_VALUE;
    }

    /** Guards against a fixed limit on the whole request: 2 s for the head, then 20 MB at 64 kB a second are allowed.
        */
    @Test
    void aSlowButProperClientIsServed() {
        arrival.start(CAME);
        arrival.dataReceived(CAME + 2 * SECOND);
        assertFalse(arrival.isExpired(CAME + 2 * SECOND, CAME, 0));
        assertTrue(readBody(CAME + 2 * SECOND, 20_000_000, 64_000) == Long.MAX_VALUE);
    }

    @Test
    void whatTricklesOrStopsIsEndedWithinThreeSeconds() {
        arrival.start(CAME);
        assertTrue(readBody(CAME, 1_000_000, 1_000) < CAME + 3 * SECOND);
        RequestReadTimer burst = new RequestReadTimer();
        burst.start(CAME);
        burst.dataReceived(CAME + SECOND / 100);
        assertFalse(burst.isExpired(CAME + 2 * SECOND, CAME, 64_000));
        assertTrue(burst.isExpired(CAME + 2_700_000, CAME, 64_000));
    }

    /** The first request on a connection is timed from connecting: a byte just before the limit must not extend it. */
    @Test
    void aFirstByteThatComesLateMovesNoBound() {
        arrival.start(CAME + 2_500_000);
        arrival.dataReceived(CAME + 2_500_000);
        assertTrue(arrival.isExpired(CAME + 2_700_000, CAME, 0));
        assertFalse(arrival.isExpired(CAME + 2_700_000, 0, 0));
    }

    /** Guards against closing a client whose body waits for a slow host. */
    @Test
    void timeInWhichNothingIsReadIsNotTheClients() {
        arrival.start(CAME);
        arrival.dataReceived(CAME);
        assertTrue(arrival.setPaused(true, CAME + SECOND));
        assertFalse(arrival.setPaused(true, CAME + 2 * SECOND));
        assertFalse(arrival.isExpired(CAME + 30 * SECOND, 0, 0));
        assertTrue(arrival.setPaused(false, CAME + 30 * SECOND));
        assertFalse(arrival.isExpired(CAME + 31 * SECOND, 0, 0));
        assertTrue(arrival.isExpired(CAME + 33 * SECOND, 0, 0));
    }

    @Test
    void betweenRequestsNothingIsOverdue() {
        arrival.start(CAME);
        arrival.stop();
        assertFalse(arrival.isRunning());
        assertFalse(arrival.isExpired(CAME + 60 * SECOND, 0, 0));
    }
}
