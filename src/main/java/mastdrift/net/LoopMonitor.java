package mastdrift.net;

import java.lang.ref.WeakReference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Detects when the event loop is late, and logs why: it waited for a core, it was busy, or it was blocked (suspended,
    or in a blocking call, a page fault or a pause of the virtual machine). Checks at a fixed interval. Not thread-safe:
    used on the loop's thread only. Times are in microseconds. */
final class LoopMonitor {

    /** Kinds of the loop's tasks that may take long; the log has their lower-cased names. */
    enum Task { ACCEPT, CLIENT_READ, UPSTREAM_READ, HOST_LIST, TIMER, SWEEP }

    /** What took most of the time of a late loop; the log has the lower-cased names. */
    enum Cause {
        /** The thread was ready to run and waited for a core. */
        STARVED(GatewayMetrics.Counter.LOOP_LATE_STARVED),
        /** The thread ran. */
        BUSY(GatewayMetrics.Counter.LOOP_LATE_BUSY),
        /** The thread neither ran nor was ready to run. */
        BLOCKED(GatewayMetrics.Counter.LOOP_LATE_BLOCKED);

        private final GatewayMetrics.Counter counter;

        Cause(GatewayMetrics.Counter counter) {
            this.counter = counter;
        }
    }

    /** Time between two checks. */
    static final long CHECK_INTERVAL_MICROS = 250_000;
    // The platform may suspend the process for so long; only longer delays are reported.
    static final long MAX_DELAY_MICROS = 150_000;

    private final LongSupplier clock;
    private final Supplier<ThreadTimes.Sample> threadTimes;
    private final GatewayMetrics metrics;
    private final EventLog log;
    private long lastCheckAt;  // 0 before the first check
    private ThreadTimes.Sample previousSample;
    private WeakReference<Object> garbageCollectionMarker = new WeakReference<>(new Object());
    private Task longestTask;
    private long longestTaskMicros;

    /** {@code threadTimes} gives the scheduling times of the loop's thread, or null where they can't be read. */
    LoopMonitor(LongSupplier clock, Supplier<ThreadTimes.Sample> threadTimes, GatewayMetrics metrics, EventLog log) {
        this.clock = clock;
        this.threadTimes = threadTimes;
        this.metrics = metrics;
        this.log = log;
    }

    /** Returns the start time of a task, for {@link #taskEnded}. */
    long taskStarted() {
        return clock.getAsLong();
    }

    /** Notes the end of a task that started at that time. */
    void taskEnded(Task task, long startedAt) {
        long took = clock.getAsLong() - startedAt;
        if (took > longestTaskMicros) {
            longestTask = task;
            longestTaskMicros = took;
        }
    }

    /** To be called every {@link #CHECK_INTERVAL_MICROS}; logs if this call, or a task since the last one, was late. */
    void check() {
        long now = clock.getAsLong();
        ThreadTimes.Sample sample = threadTimes.get();
        if (lastCheckAt != 0) {
            long wall = now - lastCheckAt;
            long late = Math.max(wall - CHECK_INTERVAL_MICROS, longestTaskMicros);
            if (late > MAX_DELAY_MICROS) {
                report(wall, late, sample);
            }
        }
        lastCheckAt = now;
        previousSample = sample;
        longestTask = null;
        longestTaskMicros = 0;
        if (garbageCollectionMarker.get() == null) {
            garbageCollectionMarker = new WeakReference<>(new Object());
        }
    }

    private void report(long wall, long late, ThreadTimes.Sample sample) {
        metrics.increment(GatewayMetrics.Counter.LOOP_LATE);
        Long cpu = null;
        Long runDelay = null;
        Long blocked = null;
        Cause cause = null;
        if (sample != null && previousSample != null) {
            cpu = sample.cpuMicros() - previousSample.cpuMicros();
            runDelay = sample.runDelayMicros() - previousSample.runDelayMicros();
            blocked = Math.max(0, late - cpu - runDelay);
            cause = cause(cpu, runDelay, blocked);
            metrics.increment(cause.counter);
        }
        log.add(EventLog.Event.LOOP_LATE, "late_us", late, "cause", cause, "wall_us", wall, "cpu_us", cpu,
                "run_delay_us", runDelay, "blocked_us", blocked, "collected", garbageCollectionMarker.get() == null,
                "longest_task", longestTask, "longest_us", longestTask == null ? null : longestTaskMicros);
    }

    private static Cause cause(long cpu, long runDelay, long blocked) {
        if (runDelay >= cpu && runDelay >= blocked) {
            return Cause.STARVED;
        }
        return cpu >= blocked ? Cause.BUSY : Cause.BLOCKED;
    }
}
