package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a client may have sent its input, or left, at the earliest. */
class SendTimeEstimatorTest {

    private final SendTimeEstimator times = new SendTimeEstimator();

    @Test
    void inputThatIsReadAtOnceWasSentJustNow() {
        times.read(100, 500_000);
        times.drained(true, 501_000);
        times.delivered(100);
        assertEquals(500_000, times.deliveredSentAt());
        assertEquals(900_000, times.drainedAsOf(900_000));
    }

    /** Guards against a client that counts as connected when its input is read, though it may have left in the
        pause. */
    @Test
    void clientMayHaveLeftSinceReadingStopped() {
        times.read(100, 500_000);
        times.drained(true, 501_000);
        times.readingStopped(600_000);
        times.read(100, 800_000);
        assertEquals(600_000, times.drainedAsOf(800_000));
        times.drained(false, 801_000);
        assertEquals(801_000, times.drainedAsOf(900_000));
    }

    @Test
    void inputBehindAPauseMayHaveBeenSentInIt() {
        times.readingStopped(600_000);
        times.read(100, 800_000);
        times.drained(true, 801_000);
        times.read(50, 900_000);
        times.delivered(100);
        assertEquals(600_000, times.deliveredSentAt());
        assertEquals(900_000, times.sendTimeOf(10, 950_000));
        times.delivered(50);
        assertEquals(900_000, times.deliveredSentAt());
    }

    /** A byte that no buffer has room for yet has not been sent. */
    @Test
    void bytesFarAheadAreNotSentYet() {
        times.read(1_000, 500_000);
        assertEquals(700_000, times.sendTimeOf(1_001 + SendTimeEstimator.MAX_UNREAD_BYTES, 700_000));
        assertEquals(500_000, times.sendTimeOf(SendTimeEstimator.MAX_UNREAD_BYTES, 700_000));
    }

    /** Plays a client whose bytes wait in a buffer of that size; the estimate is never later than the truth. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void neverTellsALaterTimeThanThatOfTheSend(long seed) {
        Random random = new Random(seed);
        Queue<Long> sentAt = new ArrayDeque<>();  // of each KiB that waits unread
        Queue<Long> readSentAt = new ArrayDeque<>();  // of each KiB that was read and not delivered
        long capacityKib = SendTimeEstimator.MAX_UNREAD_BYTES >> 10;
        long now = 1;
        boolean reading = true;
        for (int step = 0; step < 20_000; step++) {
            now += random.nextInt(30_000);
            for (int i = random.nextInt(400); i > 0 && sentAt.size() < capacityKib; i--) {
                sentAt.add(now);
            }
            if (random.nextInt(20) == 0) {
                reading = !reading;
                if (!reading) {
                    times.readingStopped(now);
                }
            }
            for (int i = reading ? 1 + random.nextInt(600) : 0; i > 0 && !sentAt.isEmpty(); i--) {
                readSentAt.add(sentAt.remove());
                times.read(1024, now);
            }
            if (reading && sentAt.isEmpty()) {
                times.drained(true, now);
            }
            for (int i = random.nextInt(600); i > 0 && !readSentAt.isEmpty(); i--) {
                long truth = readSentAt.remove();
                assertTrue(times.sendTimeOf(1024, now) <= truth);
                times.delivered(1024);
                assertTrue(times.deliveredSentAt() <= truth);
            }
            if (readSentAt.isEmpty() && !sentAt.isEmpty()) {
                assertTrue(times.sendTimeOf(1024, now) <= sentAt.peek());
            }
        }
    }
}
