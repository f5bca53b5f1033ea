package mastdrift.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * When hosts started, on the gateway's own clock, from the Unix times that lists tell. A start is placed once, when it is first
 * told, and does not move with later steps of the real-time clock. Where that clock was stepped, a start may be told by the
 * clock of before or of after the step; the younger age that is possible counts, since a cold host that is taken for a warm one
 * falls under its load. A start that was not there in the list of a moment before can't be an hour old: then the clock is off,
 * and the host counts as just started. All times are in microseconds; used on the event loop alone.
 */
final class HostStarts {

    /** The start of a host that began long ago, in lists and for the decision module. */
    static final long LONG_AGO = 0;
    // Lists may tell a change so late, with some seconds to spare.
    private static final long TOLD_WITHIN_MICROS = 10_000_000;
    // A clock may be read so much later than the one that told the start.
    private static final long ROUNDING_MICROS = 50_000;
    // Kept also for hosts that have gone, since one that comes back with the start of before has not started anew.
    private static final int KEPT_HOSTS_MOST = 8192;

    private record Start(long told, long placed) { }

    private final LongSupplier clock;
    private final LongSupplier unixTime;
    private final Runnable clockIsOff;
    private final Map<String, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > KEPT_HOSTS_MOST;
        }
    };
    private long heardAt;
    private boolean heard;

    /** {@code clock} runs evenly from the Unix time at the gateway's start; {@code unixTime} is the machine's, in microseconds,
        and may be stepped. {@code clockIsOff} runs for each start that contradicts it. */
    HostStarts(LongSupplier clock, LongSupplier unixTime, Runnable clockIsOff) {
        this.clock = clock;
        this.unixTime = unixTime;
        this.clockIsOff = clockIsOff;
    }

    /** Behind each list that discovery has told: what comes new from now on is younger than this moment, but for delays. */
    void heard() {
        heard = true;
        heardAt = clock.getAsLong();
    }

    /** The start of that host on the gateway's clock, from its Unix time as told. */
    long place(String uid, long told) {
        if (told <= LONG_AGO) {
            return LONG_AGO;
        }
        Start known = starts.get(uid);
        if (known == null || known.told != told) {
            known = new Start(told, clock.getAsLong() - age(told));
            starts.put(uid, known);
        }
        return known.placed;
    }

    private long age(long told) {
        long bySteadyClock = clock.getAsLong() - told;
        long byPresentClock = unixTime.getAsLong() - told;
        long age = youngerPossible(bySteadyClock, byPresentClock);
        boolean tooOld = heard && age > clock.getAsLong() - heardAt + TOLD_WITHIN_MICROS;
        if (age < 0 || tooOld) {
            clockIsOff.run();
            return 0;
        }
        return age;
    }

    /** Negative where neither is possible. */
    private static long youngerPossible(long one, long other) {
        if (Math.min(one, other) >= -ROUNDING_MICROS) {
            return Math.max(0, Math.min(one, other));
        }
        return Math.max(one, other) >= -ROUNDING_MICROS ? Math.max(0, Math.max(one, other)) : -1;
    }
}
