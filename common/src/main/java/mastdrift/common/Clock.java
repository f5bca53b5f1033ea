package mastdrift.common;

/** Time as a process sees it. Every part of ours that reads time is given one, so that it runs in simulated time too and
    the rig can make a process's clock wrong. */
public interface Clock {

    /** Microseconds that go on evenly and are never set; they say nothing across processes. */
    long monotonicMicros();

    /** Milliseconds of Unix time; may jump. */
    long wallMillis();

    /** The machine's own. */
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
