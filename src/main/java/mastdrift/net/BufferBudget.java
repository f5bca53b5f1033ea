package mastdrift.net;

import java.util.function.LongSupplier;

/** Tells whether the buffers for messages and the heap together take as much memory as they may, whoever holds it and
    however much of it is in use. Sampled whenever so much has changed that the answer may be another. Used on one event
    loop's thread. */
final class BufferBudget {

    // Far below what is set aside for connections that go on though the budget is used up.
    private static final long SAMPLE_BYTES = 512 << 10;

    private final long maxBytes;
    private final long minBufferBytes;
    private final LongSupplier bufferBytes;
    private final LongSupplier heapBytes;
    private long changedBytes;
    private boolean usedUp;

    /** A budget for buffers and heap together, of which the buffers may take {@code minBufferBytes} in any case. */
    BufferBudget(long maxBytes, long minBufferBytes, LongSupplier bufferBytes, LongSupplier heapBytes) {
        this.maxBytes = maxBytes;
        this.minBufferBytes = minBufferBytes;
        this.bufferBytes = bufferBytes;
        this.heapBytes = heapBytes;
    }

    /** A budget without a bound. */
    static BufferBudget unlimited() {
        return new BufferBudget(Long.MAX_VALUE, Long.MAX_VALUE, () -> 0, () -> 0);
    }

    /** Memory for messages was taken or released. */
    void changed(long bytes) {
        changedBytes += Math.abs(bytes);
        if (changedBytes >= SAMPLE_BYTES) {
            sample();
        }
    }

    /** Compares what is allocated now. */
    void sample() {
        changedBytes = 0;
        long buffers = bufferBytes.getAsLong();
        usedUp = buffers >= minBufferBytes && buffers + heapBytes.getAsLong() >= maxBytes;
    }

    boolean isUsedUp() {
        return usedUp;
    }
}
