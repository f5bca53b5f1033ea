package mastdrift.common;

/** Time as a process sees it. Every part of ours that reads time is given one, so that it runs in simulated time too and
    the rig can make a process's clock wrong. */
public interface Clock {

    /** Microseconds that go on evenly and are never set; they say nothing across processes. */
    long monotonic();

    /** Milliseconds of Unix time; may jump. */
    long wall();

    /** The machine's own. */
    Clock SYSTEM = new Clock() {
        @Override
        public long monotonic() {
            return System.nanoTime() / 1000;
        }

        @Override
        public long wall() {
            return System.currentTimeMillis();
        }
    };
}
