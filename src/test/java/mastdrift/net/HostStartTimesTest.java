package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the conversion of host start times. The gateway's clock starts at the Unix time and is steady; the machine's
    clock may be stepped. */
class HostStartTimesTest {

    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3600 * SECOND;
    private static final long BEGIN = 1_700_000_000L * SECOND;

    private long now = BEGIN + 100 * SECOND;
    private long step;
    private int contradictions;
    private final HostStartTimes starts = new HostStartTimes(() -> now, () -> now + step, () -> contradictions++);

    private long ageOf(String uid, long told) {
        return now - starts.toLocalClock(uid, told);
    }

    @Test
    void aStartIsPlacedByTheClockThatAllMachinesRead() {
        assertEquals(3 * SECOND, ageOf("a", now - 3 * SECOND));
        assertEquals(HostStartTimes.LONG_AGO, starts.toLocalClock("b", 0));
        assertEquals(0, contradictions);
    }

    /** Hosts that start after the step report it by the stepped clock, or by a clock of their own that was not
        stepped. */
    @Test
    void behindAStepAColdHostIsNotTakenForAWarmOne() {
        for (long by : new long[] {HOUR, -HOUR, 60 * SECOND, -60 * SECOND, 2 * SECOND, -2 * SECOND}) {
            step = by;
            assertEquals(SECOND, ageOf("stepped" + by, now + step - SECOND), "stepped by " + by);
            long age = ageOf("steady" + by, now - SECOND);
            assertEquals(SECOND, age, "host clock not stepped, own clock stepped by " + by);
        }
    }

    @Test
    void aStartThatHasBeenPlacedDoesNotMoveWithAStep() {
        long told = now - 2 * SECOND;
        long placed = starts.toLocalClock("a", told);
        step = HOUR;
        now += 5 * SECOND;
        assertEquals(placed, starts.toLocalClock("a", told));
        step = -HOUR;
        assertEquals(placed, starts.toLocalClock("a", told));
    }

    /** The gateway's clock was an hour ahead when it started, so that a new host in a list looks an hour old. */
    @Test
    void whatIsNewInAListAndLooksOldCountsAsJustStarted() {
        assertEquals(HOUR, ageOf("there-before", now - HOUR));
        starts.listReceived();
        now += 2 * SECOND;
        assertEquals(0, ageOf("new", now - HOUR));
        assertEquals(1, contradictions);
        assertEquals(9 * SECOND, ageOf("told-late", now - 9 * SECOND));
        assertEquals(1, contradictions);
    }

    @Test
    void aStartInTheFutureCountsAsNow() {
        assertEquals(0, ageOf("a", now + HOUR));
        assertEquals(1, contradictions);
        assertEquals(0, ageOf("a-little", now + SECOND / 100));
        assertEquals(1, contradictions);
    }

    /** A host that was taken off the list and returns with the same start time has not restarted. */
    @Test
    void whoComesBackWithTheSameStartKeepsIt() {
        long told = now - HOUR;
        long placed = starts.toLocalClock("a", told);
        starts.listReceived();
        now += 60 * SECOND;
        assertEquals(placed, starts.toLocalClock("a", told));
    }
}
