package mastdrift.net;

import java.lang.ref.WeakReference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Detects when the event loop is late, and logs why: it waited for a core, it was busy, or it was blocked (suspended,
    or in a blocking call, a page fault or a pause of the virtual machine). Checks at a fixed interval. Not thread-safe:
    used on the loop's thread only. Times are in microseconds. */
final class LoopMonitor {

    /** Kinds of the loop's tasks that may take long. */
    enum Task { ACCEPT, CLIENT_READ, UPSTREAM_READ, HOST_LIST, TIMER, SWEEP }

    /** What took most of the time of a late loop. */
    enum Cause {
        /** The thread was ready to run and waited for a core. */
        STARVED(GatewayMetrics.Counter.LOOP_LATE_STARVED),
        /** The thread ran. */
        BUSY(GatewayMetrics.Counter.LOOP_LATE_BUSY),
        /** The thread neither ran nor was ready to run. */
        BLOCKED(GatewayMetrics.Counter.LOOP_LATE_BLOCKED);

        private final GatewayMetrics.Counter count;

        Cause(GatewayMetrics.Counter count) {
            this.count = count;
        }
    }

    /** Time between two checks. */
    static final long CHECK_INTERVAL_MICROS = 250_000;
    // The platform may suspend the process for so long; only longer delays are reported.
    static final long MAX_DELAY_MICROS = 150_000;

    private final LongSupplier clock;
    private final Supplier<ThreadTimes.Sample> times;
    private final GatewayMetrics tally;
    private final EventLog log;
    private long lookedAt;  // 0 before the first check
    private ThreadTimes.Sample before;
    private WeakReference<Object> untilCollection = new WeakReference<>(new Object());
    private Task longest;
    private long longestTook;

    /** {@code times} gives the CPU times of the loop's thread, or null where they can't be read. */
    LoopMonitor(LongSupplier clock, Supplier<ThreadTimes.Sample> times, GatewayMetrics tally, EventLog log) {
        this.clock = clock;
        this.times = times;
        this.tally = tally;
        this.log = log;
    }

    /** Returns the start time of a task, for {@link #taskEnded}. */
    long taskStarted() {
        return clock.getAsLong();
    }

    /** Notes the end of a task that started at that time. */
    void taskEnded(Task task, long begunAt) {
        long took = clock.getAsLong() - begunAt;
        if (took > longestTook) {
            longest = task;
            longestTook = took;
        }
    }

    /** To be called every {@link #CHECK_INTERVAL_MICROS}; logs if this call, or a task since the last one, was late. */
    void check() {
        long now = clock.getAsLong();
        ThreadTimes.Sample sample = times.get();
        if (lookedAt != 0) {
            long wall = now - lookedAt;
            long late = Math.max(wall - CHECK_INTERVAL_MICROS, longestTook);
            if (late > MAX_DELAY_MICROS) {
                tell(wall, late, sample);
            }
        }
        lookedAt = now;
        before = sample;
        longest = null;
        longestTook = 0;
        if (untilCollection.get() == null) {
            untilCollection = new WeakReference<>(new Object());
        }
    }

    private void tell(long wall, long late, ThreadTimes.Sample sample) {
        tally.increment(GatewayMetrics.Counter.LOOP_LATE);
        Long cpu = null;
        Long runDelay = null;
        Long blocked = null;
        Cause cause = null;
        if (sample != null && before != null) {
            cpu = sample.cpuMicros() - before.cpuMicros();
            runDelay = sample.runDelayMicros() - before.runDelayMicros();
            blocked = Math.max(0, late - cpu - runDelay);
            cause = cause(cpu, runDelay, blocked);
            tally.increment(cause.count);
        }
        log.add(EventLog.Event.LOOP_LATE, "late_us", late, "cause", cause, "wall_us", wall, "cpu_us", cpu,
                "run_delay_us", runDelay, "blocked_us", blocked, "collected", untilCollection.get() == null,
                "longest_task", longest, "longest_us", longest == null ? null : longestTook);
    }

    private static Cause cause(long cpu, long runDelay, long blocked) {
        if (runDelay >= cpu && runDelay >= blocked) {
            return Cause.STARVED;
        }
        return cpu >= blocked ? Cause.BUSY : Cause.BLOCKED;
    }
}
