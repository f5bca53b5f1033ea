package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** The rest of a body on its way from the connection that reads it to the one that writes it, in bounded memory: the
    reader pauses while it is full, the writer while its channel takes nothing. Used on one loop's thread. */
final class Relay {

    // What comes in one read may go beyond it.
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

    // ---- the reader's side

    /** {@code then} runs when it has become full, or is no longer. */
    void onPace(Runnable then) {
        pace = then;
    }

    /** Takes the piece over. */
    void add(ByteBuf piece) {
        if (abandoned || over()) {
            piece.release();
            return;
        }
        pieces.add(piece);
        held += piece.readableBytes();
        goOn();
        if (full()) {
            pace.run();
        }
    }

    /** All has been added. */
    void end() {
        whole = !broken;
        goOn();
    }

    /** What is missing won't come; what nobody has begun to write by then is of no use. */
    void fail() {
        broken = !whole;
        if (to == null && broken) {
            drop();
        }
        goOn();
    }

    boolean full() {
        return held >= HELD_BYTES_MOST;
    }

    boolean whole() {
        return whole;
    }

    /** Nothing more comes. */
    boolean over() {
        return whole || broken;
    }

    // ---- the writer's side

    /** Writes what there is and what comes; {@code then} hears once, whether all has been written. */
    void writeTo(Channel channel, Consumer<Boolean> then) {
        to = channel;
        done = then;
        goOn();
    }

    /** Whether there is something that the writer's channel has not taken. */
    boolean waits() {
        return held > 0 || to != null && !to.isWritable();
    }

    /** The writer's channel takes more. A write that fills the channel comes back here in its midst, with a part of a
        chunk out: nothing may be written then. */
    void goOn() {
        if (writing) {
            return;
        }
        boolean before = full();
        writing = true;
        for (Channel channel = to; channel != null && channel.isWritable() && !pieces.isEmpty(); channel = to) {
            while (channel.isWritable() && !pieces.isEmpty()) {
                ByteBuf piece = pieces.poll();
                held -= piece.readableBytes();
                channel.write(new DefaultHttpContent(piece));
            }
            channel.flush();  // after which it may take more, or be closed and this abandoned
        }
        writing = false;
        if (before && !full()) {
            pace.run();
        }
        if (to != null && pieces.isEmpty() && over()) {
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

    /** Nobody wants it any more: what comes is dropped, and {@code then} of the writer hears nothing more. */
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
