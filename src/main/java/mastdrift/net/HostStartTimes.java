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
    private static final long MAX_LIST_DELAY_MICROS = 10_000_000;
    // By how much a start may seem to lie in the future, since clocks are read at slightly different moments.
    private static final long CLOCK_TOLERANCE_MICROS = 50_000;
    // Hosts that have gone are remembered as well: one that comes back with the same start time has not restarted.
    private static final int MAX_REMEMBERED_HOSTS = 8192;

    private record Start(long listed, long local) { }

    private final LongSupplier clock;
    private final LongSupplier unixTime;
    private final Runnable onClockMismatch;
    private final Map<String, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MAX_REMEMBERED_HOSTS;
        }
    };
    private long lastListAt;
    private boolean hasReceivedList;

    /** {@code clock} is steady and begins with the Unix time at the gateway's start; {@code unixTime} is the machine's
        real-time clock, which may be stepped; both in microseconds. {@code onClockMismatch} runs for each start time
        that can't be right. */
    HostStartTimes(LongSupplier clock, LongSupplier unixTime, Runnable onClockMismatch) {
        this.clock = clock;
        this.unixTime = unixTime;
        this.onClockMismatch = onClockMismatch;
    }

    /** To be called after each list from discovery: hosts that are new in a later list started after this moment, but
        for delays. */
    void listReceived() {
        hasReceivedList = true;
        lastListAt = clock.getAsLong();
    }

    /** Returns the start of a host on the gateway's clock, for its listed start in Unix time. */
    long toLocalClock(String hostId, long listed) {
        if (listed <= LONG_AGO) {
            return LONG_AGO;
        }
        Start known = starts.get(hostId);
        if (known == null || known.listed != listed) {
            known = new Start(listed, clock.getAsLong() - age(listed));
            starts.put(hostId, known);
        }
        return known.local;
    }

    private long age(long listed) {
        long bySteadyClock = clock.getAsLong() - listed;
        long byRealTimeClock = unixTime.getAsLong() - listed;
        long age = youngerPossibleAge(bySteadyClock, byRealTimeClock);
        boolean tooOld = hasReceivedList && age > clock.getAsLong() - lastListAt + MAX_LIST_DELAY_MICROS;
        if (age < 0 || tooOld) {
            onClockMismatch.run();
            return 0;
        }
        return age;
    }

    /** The smaller of the two ages that is possible; negative where neither is. */
    private static long youngerPossibleAge(long one, long other) {
        if (Math.min(one, other) >= -CLOCK_TOLERANCE_MICROS) {
            return Math.max(0, Math.min(one, other));
        }
        return Math.max(one, other) >= -CLOCK_TOLERANCE_MICROS ? Math.max(0, Math.max(one, other)) : -1;
    }
}
