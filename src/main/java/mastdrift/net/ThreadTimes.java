package mastdrift.net;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;

/** Reads the kernel's scheduling statistics of the calling thread: the time that it ran on a core, and the time that it
    was ready to run and waited for one. Not thread-safe: used on one thread only. */
final class ThreadTimes {

    /** Totals since the thread's start, in microseconds. */
    record Sample(long cpuMicros, long runDelayMicros) { }

    private static final String SCHEDSTAT_FILE = "/proc/thread-self/schedstat";
    private static final int MAX_LINE_BYTES = 96;

    private final byte[] buffer = new byte[MAX_LINE_BYTES];
    private RandomAccessFile file;
    private boolean unreadable;

    /** Returns the totals of the calling thread, or null where the kernel doesn't provide them. */
    Sample read() {
        if (unreadable) {
            return null;
        }
        try {
            if (file == null) {
                file = new RandomAccessFile(SCHEDSTAT_FILE, "r");  // stays open: later there may be no descriptor
            }
            file.seek(0);
            return parse(new String(buffer, 0, Math.max(0, file.read(buffer)), StandardCharsets.US_ASCII));
        } catch (IOException | IllegalArgumentException e) {
            unreadable = true;
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
        unreadable = true;
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            return;  // the descriptor is released all the same
        }
    }
}
