package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Consumer;

/** Passes the rest of a body from the connection that reads it to the one that writes it, in bounded memory: reading
    pauses while the relay is full, and writing while the target channel is not writable or has not written enough of
    what it was given. The relay of a request holds more while memory is ample: the end of the body, from which the time
    for its response runs, is seen only once it is read. What one turn of the event loop has read is written together, so
    that the pieces in which a body comes cost no system call each. Used on one event loop's thread. */
final class BodyRelay {

    /** The limit of a response's relay, and of each while memory is not ample. A single read may exceed it. */
    static final int MAX_BUFFERED_BYTES = 32 << 10;
    /** The limit of a request's relay. */
    static final int MAX_UPLOAD_BYTES = 1 << 20;
    // The limit while the pool is exhausted, so that each body still goes on; of what the channel holds as well.
    private static final int RESERVED_BYTES = 4 << 10;

    private final MemoryPool pool;
    private final int maxBytes;
    private final ByteQueue buffered = new ByteQueue();
    private final MemoryPool.Holding holding;
    private boolean full;
    private long unwrittenBytes;  // given to the target channel, which has not written them
    private boolean complete;
    private boolean failed;
    private boolean abandoned;
    private boolean writing;
    private Runnable onFullChange = () -> { };
    private Runnable onComplete = () -> { };
    private Channel target;
    private Consumer<Boolean> onWritten;

    /** What the relay holds is counted in the pool, and is about {@code maxBytes} at the most. */
    BodyRelay(MemoryPool pool, int maxBytes) {
        this.pool = pool;
        holding = pool.newHolding();
        this.maxBytes = maxBytes;
    }

    private void updateHeld() {
        holding.set(buffered.heldBytes());
        full = buffered.readableBytes() >= limit();
    }

    private int limit() {
        if (pool.isExhausted()) {
            return RESERVED_BYTES;
        }
        return pool.isAmple() ? maxBytes : Math.min(maxBytes, MAX_BUFFERED_BYTES);
    }

    // ---- the reading side

    /** {@code listener} runs when the relay becomes full and when it is no longer full. */
    void onFullChange(Runnable listener) {
        onFullChange = listener;
    }

    /** Adds a piece, which it releases. Unless the relay is full, the piece is written only by the next call of
        {@link #resumeWriting}, which is due when all that has arrived has been read. */
    void add(ByteBuf piece) {
        if (abandoned || isFinished()) {
            piece.release();
            return;
        }
        buffered.add(piece);
        updateHeld();
        if (isFull()) {
            resumeWriting();
        }
        if (isFull()) {
            onFullChange.run();
        }
    }

    /** {@code listener} runs when the whole body has been added, ahead of the writer's; not if that was before. */
    void onComplete(Runnable listener) {
        onComplete = listener;
    }

    /** The whole body has been added. */
    void complete() {
        complete = !failed;
        if (complete) {
            onComplete.run();
        }
        resumeWriting();
    }

    /** The rest of the body can't be read. If no writer has been set yet, what is buffered is discarded. */
    void fail() {
        failed = !complete;
        if (target == null && failed) {
            buffered.clear();
            updateHeld();
        }
        resumeWriting();
    }

    boolean isFull() {
        return full;
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether nothing more will be added. */
    boolean isFinished() {
        return complete || failed;
    }

    // ---- the writing side

    /** Writes the part of the body that is ahead of the relay's, and releases it; {@link #writeTo} follows. */
    void writeAhead(Channel channel, ByteBuf part) {
        write(channel, part);
        channel.flush();
    }

    /** Writes what is buffered and what is added later; {@code listener} is told once whether all has been written. */
    void writeTo(Channel channel, Consumer<Boolean> listener) {
        target = channel;
        onWritten = listener;
        resumeWriting();
    }

    /** Whether the target channel has not taken all that was added. */
    boolean hasUnwrittenData() {
        return !buffered.isEmpty() || target != null && !target.isWritable();
    }

    /** Writes as much as the target channel takes. A write that fills the channel calls this again while a chunk is
        half written: the nested call must write nothing. */
    void resumeWriting() {
        if (writing) {
            return;
        }
        boolean wasFull = isFull();
        writing = true;
        for (Channel channel = target; channel != null && mayWrite(channel); channel = target) {
            while (mayWrite(channel)) {
                write(channel, buffered.poll());
            }
            channel.flush();  // may make the channel writable again, or close it and abandon this relay
        }
        writing = false;
        updateHeld();
        if (wasFull && !isFull()) {
            onFullChange.run();
        }
        if (target != null && buffered.isEmpty() && isFinished()) {
            writeEnd();
        }
    }

    private boolean mayWrite(Channel channel) {
        boolean hasRoom = unwrittenBytes < RESERVED_BYTES || !pool.isExhausted();
        return hasRoom && channel.isWritable() && !buffered.isEmpty();
    }

    /** Writes a part, which counts until the channel has written it. */
    private void write(Channel channel, ByteBuf part) {
        int bytes = part.capacity();
        unwrittenBytes += bytes;
        pool.write(channel, new DefaultHttpContent(part), bytes).addListener(written -> partWritten(bytes));
    }

    private void partWritten(int bytes) {
        unwrittenBytes -= bytes;
        if (!writing && !buffered.isEmpty()) {
            resumeWriting();
        }
    }

    private void writeEnd() {
        Channel last = target;
        target = null;
        if (failed) {
            onWritten.accept(false);
        } else {
            last.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(written -> onWritten.accept(written.isSuccess()));
        }
    }

    /** Discards what is buffered and what is added later; the writer's listener is not called any more. */
    void abandon() {
        abandoned = true;
        target = null;
        buffered.clear();
        updateHeld();
        onFullChange.run();
    }
}
