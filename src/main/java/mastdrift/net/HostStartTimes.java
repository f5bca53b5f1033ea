package mastdrift.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Converts the start times of hosts from the Unix time in host lists to the gateway's own clock. A start time is
 * converted once, when it is first listed, and does not move with later steps of the real-time clock. Where that clock
 * was stepped, a start time may have been taken before or after the step; of the two possible ages the younger one
 * counts, since a cold host that is taken for a warm one collapses under its load. A start that is new in a list can't
 * be much older than the list before; if it looks older, the clock is off and the host counts as just started. All
 * times are in microseconds. Not thread-safe: used on the event loop only.
 */
final class HostStartTimes {

    /** The start time that stands for "long ago", in lists and for the balancer. */
    static final long LONG_AGO = 0;
    // By how much a list may be late with a change, with some seconds to spare.
    private static final long TOLD_WITHIN_MICROS = 10_000_000;
    // By how much a start may seem to lie in the future, since clocks are read at slightly different moments.
    private static final long ROUNDING_MICROS = 50_000;
    // Hosts that have gone are remembered as well: one that comes back with the same start time has not restarted.
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

    /** {@code clock} is steady and begins with the Unix time at the gateway's start; {@code unixTime} is the machine's
        real-time clock, which may be stepped; both in microseconds. {@code onClockMismatch} runs for each start time
        that can't be right. */
    HostStartTimes(LongSupplier clock, LongSupplier unixTime, Runnable clockIsOff) {
        this.clock = clock;
        this.unixTime = unixTime;
        this.clockIsOff = clockIsOff;
    }

    /** To be called after each list from discovery: hosts that are new in a later list started after this moment, but
        for delays. */
    void listReceived() {
        heard = true;
        heardAt = clock.getAsLong();
    }

    /** Returns the start of a host on the gateway's clock, for its listed start in Unix time. */
    long toLocalClock(String uid, long told) {
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

    /** The smaller of the two ages that is possible; negative where neither is. */
    private static long youngerPossible(long one, long other) {
        if (Math.min(one, other) >= -ROUNDING_MICROS) {
            return Math.max(0, Math.min(one, other));
        }
        return Math.max(one, other) >= -ROUNDING_MICROS ? Math.max(0, Math.max(one, other)) : -1;
    }
}
