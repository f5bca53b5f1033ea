package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Time limits on responses that are streamed, on the test's own clock. */
class ResponseReadTimerTest {

    private static final long STARTED_AT = 7_000_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long BYTES_PER_SECOND = 64_000;
    private static final long LATE_LIMIT_MICROS = 500_000;  // a response that ends later is lost

    private static ResponseReadTimer ofUnknownLength(long bytes, long deadline) {
        return new ResponseReadTimer(STARTED_AT, STARTED_AT, bytes, false, deadline);
    }

    /** Plays a host that sends the body in pieces of that size, each when its last byte is due at that rate; returns
        how much of it came before the timer expired. */
    private static long receivedBytes(ResponseReadTimer timer, long bodyBytes, long pieceBytes, long bytesPerSecond) {
        long received = 1;
        while (received < bodyBytes) {
            long next = Math.min(bodyBytes, received + pieceBytes);
            long at = STARTED_AT + next * SECOND_MICROS / bytesPerSecond;
            if (at > timer.expiresAt()) {
                return received;
            }
            received = next;
            timer.dataReceived(at, received, false);
        }
        return received;
    }

    /** Guards against cutting off a long response of unknown length that its host sends at 64 kB a second: its deadline
        passes before it is known to be long. */
    @ParameterizedTest
    @ValueSource(longs = {1, 100, 4_000, 20_000, 32_000, 64_000, 65_536})
    void acceptsLongResponseAtThePaceOfSlowPeers(long pieceBytes) {
        for (long deadline = STARTED_AT; deadline <= STARTED_AT + 2 * SECOND_MICROS; deadline += SECOND_MICROS / 10) {
            assertEquals(2_000_000, receivedBytes(ofUnknownLength(1, deadline), 2_000_000, pieceBytes,
                    BYTES_PER_SECOND));
        }
    }

    /** Guards against a response without an end that is passed on for ever. */
    @Test
    void endsResponseThatTricklesIn() {
        long deadline = STARTED_AT + SECOND_MICROS;
        ResponseReadTimer timer = ofUnknownLength(1, deadline);
        receivedBytes(timer, MessageAggregator.MAX_BODY_BYTES, 8, 80);
        assertTrue(timer.expiresAt() <= deadline + LATE_LIMIT_MICROS, timer.expiresAt() + "");
    }

    /** Guards against a response that its host has abandoned and that ends long after its deadline. */
    @Test
    void endsResponseThatStallsBeforeItIsKnownToBeLong() {
        long deadline = STARTED_AT + 2 * SECOND_MICROS;
        ResponseReadTimer timer = ofUnknownLength(1, deadline);
        timer.dataReceived(STARTED_AT + SECOND_MICROS, 60_000, false);
        assertTrue(timer.expiresAt() > deadline && timer.expiresAt() <= deadline + LATE_LIMIT_MICROS);
    }

    /** Guards against a response that is given up as too slow because the gateway itself is: its host has sent more than
        was read. */
    @Test
    void doesNotCountTimeInWhichTheGatewayIsBehind() {
        long deadline = STARTED_AT + SECOND_MICROS;
        ResponseReadTimer behind = ofUnknownLength(1, deadline);
        ResponseReadTimer slow = ofUnknownLength(1, deadline);
        for (int tenth = 1; tenth <= 100; tenth++) {
            long now = STARTED_AT + tenth * SECOND_MICROS / 10;
            behind.dataReceived(now, tenth * 400L, true);
            slow.dataReceived(now, tenth * 400L, false);
        }
        long end = STARTED_AT + 10 * SECOND_MICROS;
        assertTrue(behind.expiresAt() > end, behind.expiresAt() + "");
        assertTrue(slow.expiresAt() < end, slow.expiresAt() + "");
    }

    /** A pause may cross the deadline: the response can still become a long one. */
    @Test
    void acceptsPauseBeforeTheResponseIsKnownToBeLong() {
        ResponseReadTimer timer = ofUnknownLength(4_000, STARTED_AT + SECOND_MICROS / 10);
        assertTrue(timer.expiresAt() > STARTED_AT + SECOND_MICROS);
    }

    @Test
    void longResponseMayPauseAfterItsDeadline() {
        ResponseReadTimer known = new ResponseReadTimer(STARTED_AT, STARTED_AT, 1, true, STARTED_AT);
        assertEquals(STARTED_AT + ResponseReadTimer.LONG_RESPONSE_PAUSE_MICROS, known.expiresAt());
        ResponseReadTimer unknown = ofUnknownLength(1, STARTED_AT);
        unknown.dataReceived(STARTED_AT + SECOND_MICROS, MessageAggregator.MAX_AGGREGATED_BYTES + 1, false);
        assertEquals(STARTED_AT + SECOND_MICROS + ResponseReadTimer.LONG_RESPONSE_PAUSE_MICROS, unknown.expiresAt());
    }

    /** Guards against a host that is blamed for the time in which its client takes nothing. */
    @Test
    void timeInWhichReadingIsPausedDoesNotCount() {
        ResponseReadTimer timer = ofUnknownLength(4_000, STARTED_AT);
        timer.setPaused(true, STARTED_AT);
        timer.setPaused(true, STARTED_AT + SECOND_MICROS);
        assertTrue(timer.isPaused());
        timer.setPaused(false, STARTED_AT + 20 * SECOND_MICROS);
        assertTrue(timer.expiresAt() > STARTED_AT + 21 * SECOND_MICROS);
    }
}
