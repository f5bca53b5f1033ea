package mastdrift.net;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Samples the resident memory of gateway processes that share one limit, and keeps the highest sum. */
final class MemoryMeter implements AutoCloseable {

    private static final int SAMPLE_MILLIS = 5;
    private static final int KIBIBYTES_PER_MEGABYTE = 1024;

    private final List<GatewayProcess> processes = new CopyOnWriteArrayList<>();
    private final Thread thread;
    private volatile long peakKibibytes;
    private volatile boolean ended;

    /** Starts to sample that process. */
    MemoryMeter(GatewayProcess process) {
        processes.add(process);
        thread = RecordingHost.startThread(this::sample);
    }

    /** Samples a further process. */
    void add(GatewayProcess process) {
        processes.add(process);
    }

    private void sample() throws InterruptedException {
        while (!ended) {
            long sum = 0;
            for (GatewayProcess process : processes) {
                sum += residentKibibytes(process);
            }
            peakKibibytes = Math.max(peakKibibytes, sum);
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
        }
    }

    private static long residentKibibytes(GatewayProcess process) {
        try {
            return process.residentKibibytes();
        } catch (IOException ended) {
            return 0;
        }
    }

    /** The highest sum so far, in megabytes. */
    long peakMegabytes() {
        return peakKibibytes / KIBIBYTES_PER_MEGABYTE;
    }

    @Override
    public void close() throws InterruptedException {
        ended = true;
        thread.join();
    }
}
