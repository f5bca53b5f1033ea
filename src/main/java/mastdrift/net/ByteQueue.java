package mastdrift.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/** A queue of bytes in buffers of its own. Pieces are copied together, so that what is held takes about as much memory
    as it has bytes, whatever pieces it came in: a piece of one byte in a buffer of its own takes some hundred. Used on
    one event loop's thread. */
final class ByteQueue {

    /** What a buffer takes besides its capacity: its objects, and its place in the queue. */
    static final int BUFFER_OVERHEAD_BYTES = 256;
    private static final int MIN_BUFFER_BYTES = 1 << 10;
    private static final int MAX_BUFFER_BYTES = 8 << 10;

    private final Deque<ByteBuf> buffers = new ArrayDeque<>();
    private int readableBytes;
    private int heldBytes;

    /** Adds the piece's bytes and releases it. */
    void add(ByteBuf piece) {
        try {
            while (piece.isReadable()) {
                ByteBuf last = lastWithRoom(piece);
                int copied = Math.min(piece.readableBytes(), last.writableBytes());
                last.writeBytes(piece, copied);
                readableBytes += copied;
            }
        } finally {
            piece.release();
        }
    }

    private ByteBuf lastWithRoom(ByteBuf piece) {
        ByteBuf last = buffers.peekLast();
        if (last != null && last.isWritable() && last.refCnt() == 1) {
            return last;
        }
        int capacity = Math.max(MIN_BUFFER_BYTES, Math.min(MAX_BUFFER_BYTES, piece.readableBytes()));
        ByteBuf added = piece.alloc().buffer(capacity, capacity);
        addBuffer(added);
        return added;
    }

    /** Adds a buffer, which it takes over if most of it is in use; otherwise copies it. */
    void addWhole(ByteBuf buffer) {
        boolean mostlyUsed = buffer.readableBytes() >= MIN_BUFFER_BYTES
                && 2 * buffer.readableBytes() >= buffer.capacity();
        if (mostlyUsed) {
            readableBytes += buffer.readableBytes();
            addBuffer(buffer);
        } else {
            add(buffer);
        }
    }

    private void addBuffer(ByteBuf buffer) {
        buffers.add(buffer);
        heldBytes += buffer.capacity() + BUFFER_OVERHEAD_BYTES;
    }

    /** Removes the first buffer, which the caller releases; null if the queue is empty. */
    ByteBuf poll() {
        ByteBuf first = buffers.poll();
        if (first != null) {
            readableBytes -= first.readableBytes();
            heldBytes -= first.capacity() + BUFFER_OVERHEAD_BYTES;
        }
        return first;
    }

    /** Removes the first buffer if it is not much larger than that many bytes, and otherwise a copy of so many of its
        bytes: whoever keeps a part does not keep the whole. Null if the queue is empty. The caller releases what it
        gets. */
    ByteBuf poll(int maxBytes) {
        ByteBuf first = buffers.peek();
        if (first == null || first.readableBytes() <= maxBytes && first.capacity() <= 2 * maxBytes) {
            return poll();
        }
        int bytes = Math.min(maxBytes, first.readableBytes());
        ByteBuf part = first.alloc().buffer(bytes).writeBytes(first, bytes);
        readableBytes -= bytes;
        if (!first.isReadable()) {
            poll().release();
        }
        return part;
    }

    boolean isEmpty() {
        return buffers.isEmpty();
    }

    int readableBytes() {
        return readableBytes;
    }

    /** The memory that is held, overhead included. */
    int heldBytes() {
        return heldBytes;
    }

    /** Releases all that is held. */
    void clear() {
        for (ByteBuf next = poll(); next != null; next = poll()) {
            next.release();
        }
    }
}
