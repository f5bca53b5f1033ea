package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the conversion of host start times. The gateway's clock starts at the Unix time and is steady; the machine's
    clock may be stepped. */
class HostStartTimesTest {

    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3600 * SECOND;
    private static final long START = 1_700_000_000L * SECOND;

    private long now = START + 100 * SECOND;
    private long clockStep;
    private int mismatches;
    private final HostStartTimes startTimes = new HostStartTimes(() -> now, () -> now + clockStep, () -> mismatches++);

    private long ageOf(String hostId, long listed) {
        return now - startTimes.toLocalClock(hostId, listed);
    }

    @Test
    void withoutAClockStepTheListedStartHolds() {
        assertEquals(3 * SECOND, ageOf("a", now - 3 * SECOND));
        assertEquals(HostStartTimes.LONG_AGO, startTimes.toLocalClock("b", 0));
        assertEquals(0, mismatches);
    }

    /** Hosts that start after the step report it by the stepped clock, or by a clock of their own that was not
        stepped. */
    @Test
    void coldHostIsNotTakenForAWarmOneAfterAClockStep() {
        for (long by : new long[] {HOUR, -HOUR, 60 * SECOND, -60 * SECOND, 2 * SECOND, -2 * SECOND}) {
            clockStep = by;
            assertEquals(SECOND, ageOf("stepped" + by, now + clockStep - SECOND), "stepped by " + by);
            long age = ageOf("steady" + by, now - SECOND);
            assertEquals(SECOND, age, "host clock not stepped, own clock stepped by " + by);
        }
    }

    @Test
    void convertedStartDoesNotMoveWithAClockStep() {
        long listed = now - 2 * SECOND;
        long local = startTimes.toLocalClock("a", listed);
        clockStep = HOUR;
        now += 5 * SECOND;
        assertEquals(local, startTimes.toLocalClock("a", listed));
        clockStep = -HOUR;
        assertEquals(local, startTimes.toLocalClock("a", listed));
    }

    /** The gateway's clock was an hour ahead when it started, so that a new host in a list looks an hour old. */
    @Test
    void newHostThatLooksOldCountsAsJustStarted() {
        assertEquals(HOUR, ageOf("there-before", now - HOUR));
        startTimes.listReceived();
        now += 2 * SECOND;
        assertEquals(0, ageOf("new", now - HOUR));
        assertEquals(1, mismatches);
        assertEquals(9 * SECOND, ageOf("told-late", now - 9 * SECOND));
        assertEquals(1, mismatches);
    }

    @Test
    void startInTheFutureCountsAsNow() {
        assertEquals(0, ageOf("a", now + HOUR));
        assertEquals(1, mismatches);
        assertEquals(0, ageOf("a-little", now + SECOND / 100));
        assertEquals(1, mismatches);
    }

    /** A host that was taken off the list and returns with the same start time has not restarted. */
    @Test
    void returningHostWithTheSameStartHasNotRestarted() {
        long listed = now - HOUR;
        long local = startTimes.toLocalClock("a", listed);
        startTimes.listReceived();
        now += 60 * SECOND;
        assertEquals(local, startTimes.toLocalClock("a", listed));
    }
}
