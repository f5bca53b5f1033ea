package mastdrift.net;

/** Reads the kernel's scheduling statistics of the calling thread: the time that it ran on a core, and the time that it
    was ready to run and waited for one. Not thread-safe: used on one thread only. */
final class ThreadTimes {

    /** Totals since the thread's start, in microseconds. */
    record Sample(long cpuMicros, long runDelayMicros) { }

    private static final int MAX_LINE_BYTES = 96;

    private final ProcFile file = new ProcFile("/proc/thread-self/schedstat", MAX_LINE_BYTES);

    /** Returns the totals of the calling thread, or null where the kernel doesn't provide them. */
    Sample read() {
        String text = file.read();
        try {
            return text == null ? null : parse(text);
        } catch (IllegalArgumentException unknownFormat) {
            close();
            return null;
        }
    }

    /** Parses a line of schedstat: nanoseconds on a core, nanoseconds of waiting for one, and the number of time
        slices. */
    static Sample parse(String text) {
        String[] numbers = text.strip().split(" ");
        if (numbers.length < 2) {
            throw new IllegalArgumentException("expected a line of schedstat, not " + text);
        }
        return new Sample(Long.parseLong(numbers[0]) / 1000, Long.parseLong(numbers[1]) / 1000);
    }

    /** Closes the file; later reads return null. */
    void close() {
        file.close();
    }
}
