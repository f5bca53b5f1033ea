package mastdrift.net;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;

/** What the kernel accounts for one thread: the time that it ran on a core, and the time that it was ready to run and waited
    for one. Used on that thread alone. */
final class ThreadTimes {

    /** Sums since the thread's start, in microseconds. */
    record Sample(long cpuMicros, long runDelayMicros) { }

    private static final String SCHEDSTAT = "/proc/thread-self/schedstat";
    private static final int BYTES_MOST = 96;

    private final byte[] bytes = new byte[BYTES_MOST];
    private RandomAccessFile file;
    private boolean unreadable;

    /** The sums up to now of the thread that calls; null where the kernel does not tell them. */
    Sample read() {
        if (unreadable) {
            return null;
        }
        try {
            if (file == null) {
                file = new RandomAccessFile(SCHEDSTAT, "r");  // stays open: there may be no descriptor to be had later
            }
            file.seek(0);
            return parse(new String(bytes, 0, Math.max(0, file.read(bytes)), StandardCharsets.US_ASCII));
        } catch (IOException | IllegalArgumentException e) {
            unreadable = true;
            return null;
        }
    }

    /** Nanoseconds on a core, nanoseconds of waiting for one, and a count. */
    static Sample parse(String text) {
        String[] numbers = text.strip().split(" ");
        if (numbers.length < 2) {
            throw new IllegalArgumentException("not a line of schedstat: " + text);
        }
        return new Sample(Long.parseLong(numbers[0]) / 1000, Long.parseLong(numbers[1]) / 1000);
    }

    /** Gives the descriptor back. */
    void close() {
        unreadable = true;
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            return;  // it is closed all the same
        }
    }
}
