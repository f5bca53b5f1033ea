package mastdrift.common;

/** The source of time for a process. Code that reads time is given a Clock, so that it can also run in simulated time
    and the fault-injection rig can set a process's clock wrong. */
public interface Clock {

    /** Returns microseconds of a monotonic clock; the values of different processes are not comparable. */
    long monotonicMicros();

    /** Returns milliseconds of Unix time; may jump forwards or backwards. */
    long wallMillis();

    /** The machine's clocks. */
    Clock SYSTEM = new Clock() {
        @Override
        public long monotonicMicros() {
            return System.nanoTime() / 1000;
        }

        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }
    };
}
