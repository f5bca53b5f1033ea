package mastdrift.net;

/** Reads how much memory this process has: resident in all, in the heap, and in the buffers for messages. Not
    thread-safe: used on one thread only. */
final class ProcessMemory {

    private static final int MAX_STATUS_BYTES = 4 << 10;
    private static final String RESIDENT_KEY = "\nVmRSS:";

    private final ProcFile status = new ProcFile("/proc/self/status", MAX_STATUS_BYTES);

    /** The resident memory, in KiB; 0 where the kernel doesn't tell it. */
    int residentKibibytes() {
        String text = status.read();
        return text == null ? 0 : parse(text);
    }

    /** Parses the resident memory, in KiB, from the lines of the status; 0 if there is none. */
    static int parse(String text) {
        int key = text.indexOf(RESIDENT_KEY);
        int end = text.indexOf(" kB", Math.max(0, key));
        return key < 0 || end < 0 ? 0 : Integer.parseInt(text.substring(key + RESIDENT_KEY.length(), end).strip());
    }

    /** The part of the heap that holds objects, garbage included, in KiB. */
    static int heapKibibytes() {
        Runtime runtime = Runtime.getRuntime();
        return (int) (runtime.totalMemory() - runtime.freeMemory() >> 10);
    }

    /** Adds the figures of this moment to the peaks. */
    void recordPeaks(GatewayMetrics metrics) {
        metrics.recordPeak(GatewayMetrics.Peak.RESIDENT_KIB, residentKibibytes());
        metrics.recordPeak(GatewayMetrics.Peak.HEAP_KIB, heapKibibytes());
        metrics.recordPeak(GatewayMetrics.Peak.BUFFERS_KIB, (int) (MessageBuffers.allocatedBytes() >> 10));
    }

    /** Closes the file; later figures of the resident memory are 0. */
    void close() {
        status.close();
    }
}
