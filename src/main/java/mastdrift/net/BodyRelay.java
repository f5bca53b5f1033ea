package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** Passes the rest of a body from the connection that reads it to the one that writes it, in bounded memory: reading
    pauses while the relay is full, and writing while the target channel is not writable. Used on one event loop's
    thread. */
final class BodyRelay {

    // A single read may exceed it.
    private static final int HELD_BYTES_MOST = 32 << 10;

    private final Queue<ByteBuf> pieces = new ArrayDeque<>();
    private int held;
    private boolean whole;
    private boolean broken;
    private boolean abandoned;
    private boolean writing;
    private Runnable pace = () -> { };
    private Channel to;
    private Consumer<Boolean> done;

    // ---- the reading side

    /** {@code listener} runs when the relay becomes full and when it is no longer full. */
    void onFullChange(Runnable then) {
        pace = then;
    }

    /** Takes ownership of the buffer. */
    void add(ByteBuf piece) {
        if (abandoned || isFinished()) {
            piece.release();
            return;
        }
        pieces.add(piece);
        held += piece.readableBytes();
        resumeWriting();
        if (isFull()) {
            pace.run();
        }
    }

    /** The whole body has been added. */
    void complete() {
        whole = !broken;
        resumeWriting();
    }

    /** The rest of the body can't be read. If no writer has been set yet, what is buffered is discarded. */
    void fail() {
        broken = !whole;
        if (to == null && broken) {
            drop();
        }
        resumeWriting();
    }

    boolean isFull() {
        return held >= HELD_BYTES_MOST;
    }

    boolean whole() {
        return whole;
    }

    /** Whether nothing more will be added. */
    boolean isFinished() {
        return whole || broken;
    }

    // ---- the writing side

    /** Writes what is buffered and what is added later; {@code listener} is told once whether all has been written. */
    void writeTo(Channel channel, Consumer<Boolean> then) {
        to = channel;
        done = then;
        resumeWriting();
    }

    /** Whether the target channel has not taken all that was added. */
    boolean hasUnwrittenData() {
        return held > 0 || to != null && !to.isWritable();
    }

    /** Writes as much as the target channel takes. A write that fills the channel calls this again while a chunk is
        half written: the nested call must write nothing. */
    void resumeWriting() {
        if (writing) {
            return;
        }
        boolean before = isFull();
        writing = true;
        for (Channel channel = to; channel != null && channel.isWritable() && !pieces.isEmpty(); channel = to) {
            while (channel.isWritable() && !pieces.isEmpty()) {
                ByteBuf piece = pieces.poll();
                held -= piece.readableBytes();
                channel.write(new DefaultHttpContent(piece));
            }
            channel.flush();  // may make the channel writable again, or close it and abandon this relay
        }
        writing = false;
        if (before && !isFull()) {
            pace.run();
        }
        if (to != null && pieces.isEmpty() && isFinished()) {
            Channel last = to;
            to = null;
            if (broken) {
                done.accept(false);
            } else {
                last.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(written -> done.accept(written.isSuccess()));
            }
        }
    }

    /** Discards what is buffered and what is added later; the writer's listener is not called any more. */
    void abandon() {
        abandoned = true;
        to = null;
        drop();
        pace.run();
    }

    private void drop() {
        pieces.forEach(ByteBuf::release);
        pieces.clear();
        held = 0;
    }
}
