package mastdrift.net;

import java.lang.ref.WeakReference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Watches whether the event loop comes round in time, and tells why where it doesn't: it waited for a core, it was at work, or
    it was neither (stopped, in a call that blocked, in a page fault or in a pause of the virtual machine). Looks at even
    spans; used on the loop's thread alone. Times are in microseconds. */
final class LoopMonitor {

    /** What the loop does; the kinds that may take long. */
    enum Task { ACCEPT, CLIENT_READ, UPSTREAM_READ, HOST_LIST, TIMER, SWEEP }

    /** What a late loop spent most of its time on. */
    enum Cause {
        /** It was ready to run and waited for a core. */
        STARVED(Tally.Count.LOOP_LATE_STARVED),
        /** It ran. */
        BUSY(Tally.Count.LOOP_LATE_BUSY),
        /** Neither. */
        BLOCKED(Tally.Count.LOOP_LATE_BLOCKED);

        private final Tally.Count count;

        Cause(Tally.Count count) {
            this.count = count;
        }
    }

    /** Between two looks. */
    static final long SPAN_MICROS = 250_000;
    // The platform may hold the process up for so long; what is longer is told.
    static final long HELD_UP_MICROS_MOST = 150_000;

    private final LongSupplier clock;
    private final Supplier<ThreadTimes.Sample> times;
    private final Tally tally;
    private final EventLog log;
    private long lookedAt;  // 0 before the first look
    private ThreadTimes.Sample before;
    private WeakReference<Object> untilCollection = new WeakReference<>(new Object());
    private Task longest;
    private long longestTook;

    /** {@code times} tells the loop thread's times, or null where they can't be read. */
    LoopMonitor(LongSupplier clock, Supplier<ThreadTimes.Sample> times, Tally tally, EventLog log) {
        this.clock = clock;
        this.times = times;
        this.tally = tally;
        this.log = log;
    }

    /** The moment in which a task begins, for {@link #ended}. */
    long begin() {
        return clock.getAsLong();
    }

    /** A task has ended that began then. */
    void ended(Task task, long begunAt) {
        long took = clock.getAsLong() - begunAt;
        if (took > longestTook) {
            longest = task;
            longestTook = took;
        }
    }

    /** To be called once a {@link #SPAN_MICROS}; a call that comes late tells of the loop. */
    void look() {
        long now = clock.getAsLong();
        ThreadTimes.Sample sample = times.get();
        if (lookedAt != 0) {
            long wall = now - lookedAt;
            long late = Math.max(wall - SPAN_MICROS, longestTook);
            if (late > HELD_UP_MICROS_MOST) {
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
        tally.add(Tally.Count.LOOP_LATE);
        Long cpu = null;
        Long runDelay = null;
        Long blocked = null;
        Cause cause = null;
        if (sample != null && before != null) {
            cpu = sample.cpuMicros() - before.cpuMicros();
            runDelay = sample.runDelayMicros() - before.runDelayMicros();
            blocked = Math.max(0, late - cpu - runDelay);
            cause = cause(cpu, runDelay, blocked);
            tally.add(cause.count);
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
