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

/** Reads ahead on a client's connection, so that a disconnect, which arrives after the client's requests, is detected
    before work is done for a client that has gone. Input that a turn of the event loop reads is delivered after the
    turn's events, so that a disconnect that was read in the same turn comes first; {@link #receiveBufferAllocator}
    makes the turn read that far. While the receiver pauses, reading goes on for as long as a disconnect is relevant,
    and the input is buffered here in bounded memory. The first handler of a pipeline; used on its loop's thread alone.
    */
final class ReadAheadHandler extends ChannelInboundHandlerAdapter {

    // Once this much has been read, it is delivered before more is read.
    private static final int TURN_BYTES_MOST = 32 << 10;
    // Reads of one connection in a turn: a client that keeps sending small pieces must not occupy the loop.
    private static final int TURN_READS = 16;
    private static final long NEXT_TURN_MILLIS = 1;
    // By this time the selector has processed that the socket is not to be watched.
    private static final long REARM_MILLIS = 1;
    // Limit for one connection whose receiver pauses.
    private static final int AHEAD_BYTES_MOST = 1 << 20;

    /** The memory that all connections of one gateway may use together. */
    static final class MemoryBudget {

        private final int most;
        private int held;  // capacity of the buffers of all connections

        /** While their receivers pause, connections buffer about {@code maxBytes} together. */
        MemoryBudget(int most) {
            this.most = most;
        }

        boolean isUnused() {
            return held == 0;
        }
    }

    private final MemoryBudget group;
    private final BooleanSupplier departureMatters;
    private final LongSupplier clock;
    private final Queue<ByteBuf> held = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int size;  // capacity of the buffers
    private boolean paused;
    private boolean dropping;
    private boolean due;
    private boolean rearming;
    private boolean watched;  // the selector has reported input since reading last began
    private int reads;  // in this turn of the loop
    private long readAt;  // the last time that input arrived

    /** The allocator for the channels of such connections: a turn of the loop reads until there is no more input, and
        so finds a disconnect that follows it. Both may have arrived if the loop was late. */
    static RecvByteBufAllocator receiveBufferAllocator() {
        AdaptiveRecvByteBufAllocator sizes = DownstreamServer.receiveBufferAllocator();
        sizes.respectMaybeMoreData(false).maxMessagesPerRead(TURN_READS);
        return sizes;
    }

    /** {@code disconnectRelevant} is queried while the receiver pauses. The clock counts microseconds from an arbitrary
        origin. */
    ReadAheadHandler(MemoryBudget group, BooleanSupplier departureMatters, LongSupplier clock) {
        this.group = group;
        this.departureMatters = departureMatters;
        this.clock = clock;
    }

    /** Whether input has been read that was not delivered yet. */
    boolean hasBufferedData() {
        return !held.isEmpty();
    }

    /** Pauses or continues delivery. */
    void setPaused(boolean pauses) {
        paused = pauses;
        passOnSoon();
        updateAutoRead();
    }

    /** From now on, input is read and discarded. */
    void discardInput() {
        dropping = true;
        release();
        updateAutoRead();
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
        watched |= !(from.channel() instanceof TcpChannel connection && connection.isReadingUnprompted());
        reads++;
        readAt = clock.getAsLong();
        held.add(bytes);
        count(bytes.capacity());
        updateAutoRead();
    }

    /** Copies input that leaves most of its buffer unused, since it may be held for long. */
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
            // The read limit was reached by small pieces: the next turn continues, and its input is delivered with
            // this. A timer is needed since no event follows if there is no more input.
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

    /** Delivers the input after the events of this turn of the loop, which may include a disconnect, and never while
        the receiver is at work. */
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
            release();  // the client has disconnected, which the receiver is told next
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
            updateAutoRead();
        }
    }

    /** Reads again if the loop was delayed since the input was read: the client may have disconnected meanwhile. */
    private void lookAgain() {
        boolean longAgo = !held.isEmpty() && clock.getAsLong() - readAt > Gateway.CLIENT_CHECK_INTERVAL_MICROS;
        if (longAgo && !paused && context.channel() instanceof TcpChannel connection) {
            connection.readNow();
        }
    }

    /** Starts or stops reading, by the memory that is left. Also to be called when other connections may have freed
        some. */
    void updateAutoRead() {
        boolean room = !paused ? size < TURN_BYTES_MOST
                : size < AHEAD_BYTES_MOST && group.held < group.most && departureMatters.getAsBoolean();
        boolean reads = !rearming && (dropping || room);
        if (reads != context.channel().config().isAutoRead()) {
            watched = false;
            context.channel().config().setAutoRead(reads);
        }
    }

    /** To be called periodically: reads if the selector has reported nothing since reading began, and makes it watch
        the connection again if there was input. The system may have lacked the memory to watch it, which the JDK does
        not report. */
    void readUnlessNotified() {
        if (watched || rearming || hasBufferedData() || !(context.channel() instanceof TcpChannel connection)) {
            return;
        }
        connection.readNow();
        if (hasBufferedData()) {
            rearming = true;
            updateAutoRead();
            connection.eventLoop().schedule(() -> {
                rearming = false;
                updateAutoRead();
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
