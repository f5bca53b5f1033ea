package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Reads a client's connection, and sees to it that a departure is heard before anything is done for who has gone: it lies
    behind what the client sent. What a turn of the loop reads is passed on behind the turn's events, so that an end that the
    turn has read too comes first; {@link #sizes} has the turn read up to that end. While its reader pauses, reading goes on
    for as long as a departure matters, and what comes is held here, in bounded memory. First in a pipeline; used on its
    loop's thread alone. */
final class ReadAhead extends ChannelInboundHandlerAdapter {

    // Passed on before more is read.
    private static final int TURN_BYTES_MOST = 32 << 10;
    // Of one connection, where the pieces are small: a client that never stops sending must not keep the loop.
    private static final int TURN_READS = 16;
    private static final long NEXT_TURN_MILLIS = 1;
    // By then the selector has heard that nothing is wanted.
    private static final long REARM_MILLIS = 1;
    // Of one connection whose reader pauses.
    private static final int AHEAD_BYTES_MOST = 1 << 20;

    /** What the connections of one gateway share. */
    static final class Group {

        private final int most;
        private int held;  // by all, in bytes of memory

        /** They hold at most so many bytes while their readers pause. */
        Group(int most) {
            this.most = most;
        }

        boolean empty() {
            return held == 0;
        }
    }

    private final Group group;
    private final BooleanSupplier departureMatters;
    private final LongSupplier clock;
    private final Queue<ByteBuf> held = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int size;  // of what is held, in memory
    private boolean paused;
    private boolean dropping;
    private boolean due;
    private boolean rearming;
    private boolean watched;  // the selector has told of bytes since it was last asked to
    private int reads;  // in this turn of the loop
    private long readAt;  // the last time that there was something

    /** Sizes of reads on such a connection, for a channel's options: a turn of the loop reads on until there is nothing more,
        by which it meets an end that lies behind what has come. The loop may have been late, so that both are there. */
    static RecvByteBufAllocator sizes() {
        AdaptiveRecvByteBufAllocator sizes = ClientSide.readSizes();
        sizes.respectMaybeMoreData(false).maxMessagesPerRead(TURN_READS);
        return sizes;
    }

    /** {@code departureMatters} is asked while the reader pauses. The clock runs in microseconds from any origin. */
    ReadAhead(Group group, BooleanSupplier departureMatters, LongSupplier clock) {
        this.group = group;
        this.departureMatters = departureMatters;
        this.clock = clock;
    }

    /** Whether something has been read that the reader has not been given. */
    boolean holds() {
        return !held.isEmpty();
    }

    void pause(boolean pauses) {
        paused = pauses;
        passOnSoon();
        pace();
    }

    /** From now on what comes is read and dropped. */
    void drop() {
        dropping = true;
        release();
        pace();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        release();
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        if (dropping) {
            ReferenceCountUtil.release(message);
            return;
        }
        ByteBuf bytes = paused ? compact((ByteBuf) message) : (ByteBuf) message;
        watched |= !(from.channel() instanceof TcpChannel connection && connection.readsAhead());
        reads++;
        readAt = clock.getAsLong();
        held.add(bytes);
        count(bytes.capacity());
        pace();
    }

    /** What may be held for long takes no more memory than it needs. */
    private ByteBuf compact(ByteBuf bytes) {
        if (2 * bytes.readableBytes() >= bytes.capacity()) {
            return bytes;
        }
        ByteBuf copy = context.alloc().buffer(bytes.readableBytes()).writeBytes(bytes);
        bytes.release();
        return copy;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext from) {
        boolean mayBeMore = reads >= TURN_READS;
        reads = 0;
        if (mayBeMore && !paused && !due && size < TURN_BYTES_MOST) {
            // Small pieces: the next turn reads on, and what it meets belongs to this. Where there is nothing more, no turn
            // tells so.
            from.channel().eventLoop().schedule(this::passOnSoon, NEXT_TURN_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            passOnSoon();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext from) {
        release();
        from.fireChannelInactive();
    }

    private void count(int bytes) {
        size += bytes;
        group.held += bytes;
    }

    /** Behind the events of this turn of the loop, among them the end of the connection; and never in the midst of what
        the reader does. */
    private void passOnSoon() {
        if (!due && !paused && !held.isEmpty()) {
            due = true;
            context.channel().eventLoop().execute(this::passOn);
        }
    }

    private void passOn() {
        due = false;
        lookAgain();
        if (!context.channel().isActive()) {
            release();  // it has ended, of which the reader is told next
        }
        boolean passed = false;
        while (!paused && !held.isEmpty()) {
            ByteBuf next = held.poll();
            count(-next.capacity());
            passed = true;
            context.fireChannelRead(next);
        }
        if (passed) {
            context.fireChannelReadComplete();
            pace();
        }
    }

    /** The loop may have been held up since these bytes were read, and their client may have left meanwhile. */
    private void lookAgain() {
        boolean longAgo = !held.isEmpty() && clock.getAsLong() - readAt > Gateway.LOOK_AFTER_MICROS;
        if (longAgo && !paused && context.channel() instanceof TcpChannel connection) {
            connection.readNow();
        }
    }

    /** Also where others have made room in what all may hold. */
    void pace() {
        boolean room = !paused ? size < TURN_BYTES_MOST
                : size < AHEAD_BYTES_MOST && group.held < group.most && departureMatters.getAsBoolean();
        boolean reads = !rearming && (dropping || room);
        if (reads != context.channel().config().isAutoRead()) {
            watched = false;
            context.channel().config().setAutoRead(reads);
        }
    }

    /** To be called now and then: reads where the selector has not told of anything since it was asked to, and has it watch
        the connection anew where there is something. The system may have had no memory to watch it, of which the JDK tells
        nobody. */
    void readUnwatched() {
        if (watched || rearming || holds() || !(context.channel() instanceof TcpChannel connection)) {
            return;
        }
        connection.readNow();
        if (holds()) {
            rearming = true;
            pace();
            connection.eventLoop().schedule(() -> {
                rearming = false;
                pace();
            }, REARM_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void release() {
        for (ByteBuf next = held.poll(); next != null; next = held.poll()) {
            count(-next.capacity());
            next.release();
        }
    }
}
