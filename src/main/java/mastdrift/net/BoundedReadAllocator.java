package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Sizes reads as another allocator does, and smaller ones while the pool for what is read is exhausted. */
final class BoundedReadAllocator implements RecvByteBufAllocator {

    /** The size of reads while memory is short. */
    static final int SHORT_READ_BYTES = 2 << 10;

    private final RecvByteBufAllocator sizes;
    private final MemoryPool pool;

    BoundedReadAllocator(RecvByteBufAllocator sizes, MemoryPool pool) {
        this.sizes = sizes;
        this.pool = pool;
    }

    @Override
    @SuppressWarnings("deprecation")  // the return type is Netty's
    public Handle newHandle() {
        return new BoundedHandle(sizes.newHandle());
    }

    /** The state of one connection. */
    private final class BoundedHandle extends DelegatingHandle {

        @SuppressWarnings("deprecation")
        BoundedHandle(Handle handle) {
            super(handle);
        }

        @Override
        public int guess() {
            int bytes = super.guess();
            return pool.isExhausted() ? Math.min(bytes, SHORT_READ_BYTES) : bytes;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        /** While memory is short, a turn of the event loop reads once. */
        @Override
        public boolean continueReading() {
            return super.continueReading() && !pool.isExhausted();
        }
    }
}
