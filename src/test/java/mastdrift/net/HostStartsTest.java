package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The gateway's clock begins with the Unix time and runs on; the machine's may be stepped. */
class HostStartsTest {

    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3600 * SECOND;
    private static final long BEGIN = 1_700_000_000L * SECOND;

    private long now = BEGIN + 100 * SECOND;
    private long step;
    private int contradictions;
    private final HostStarts starts = new HostStarts(() -> now, () -> now + step, () -> contradictions++);

    private long ageOf(String uid, long told) {
        return now - starts.place(uid, told);
    }

    @Test
    void aStartIsPlacedByTheClockThatAllMachinesRead() {
        assertEquals(3 * SECOND, ageOf("a", now - 3 * SECOND));
        assertEquals(HostStarts.LONG_AGO, starts.place("b", 0));
        assertEquals(0, contradictions);
    }

    /** Machines that start behind the step tell it by the clock as it is then, or by one that was not stepped. */
    @Test
    void behindAStepAColdHostIsNotTakenForAWarmOne() {
        for (long by : new long[] {HOUR, -HOUR, 60 * SECOND, -60 * SECOND, 2 * SECOND, -2 * SECOND}) {
            step = by;
            assertEquals(SECOND, ageOf("stepped" + by, now + step - SECOND), "stepped by " + by);
            long age = ageOf("steady" + by, now - SECOND);
            assertEquals(SECOND, age, "not stepped, ours by " + by);
        }
    }

    @Test
    void aStartThatHasBeenPlacedDoesNotMoveWithAStep() {
        long told = now - 2 * SECOND;
        long placed = starts.place("a", told);
        step = HOUR;
        now += 5 * SECOND;
        assertEquals(placed, starts.place("a", told));
        step = -HOUR;
        assertEquals(placed, starts.place("a", told));
    }

    /** The clock was an hour ahead already when the gateway began: what is new in a list looks old. */
    @Test
    void whatIsNewInAListAndLooksOldCountsAsJustStarted() {
        assertEquals(HOUR, ageOf("there-before", now - HOUR));
        starts.heard();
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

    /** A host that was taken off the list and is back with the start of before has not started anew. */
    @Test
    void whoComesBackWithTheSameStartKeepsIt() {
        long told = now - HOUR;
        long placed = starts.place("a", told);
        starts.heard();
        now += 60 * SECOND;
        assertEquals(placed, starts.place("a", told));
    }
}
