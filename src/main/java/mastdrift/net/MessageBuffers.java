package mastdrift.net;

import io.netty.buffer.PooledByteBufAllocator;

/** The buffers of all connections of the process: one arena of small chunks, of which none is kept that is not in use, so
    that the memory taken from the system follows what is held. */
final class MessageBuffers {

    private static final int PAGE_BYTES = 8 << 10;
    // Chunks of 256 KiB: a larger one is held for longer by the last of its buffers.
    private static final int CHUNK_ORDER = 5;

    /** For the channels of the event loop. */
    static final PooledByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER, 0, 0,
            false);

    private MessageBuffers() { }

    /** What is allocated from the system at the moment. */
    static long allocatedBytes() {
        return ALLOCATOR.metric().usedDirectMemory();
    }
}
