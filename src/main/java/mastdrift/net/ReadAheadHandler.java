package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Reads ahead on a client's connection, so that a disconnect, which arrives after the client's requests, is detected
    before work is done for a client that has gone. Input that a turn of the event loop reads is delivered after the
    turn's events, so that a disconnect that was read in the same turn comes first; {@link #receiveBufferAllocator}
    makes the turn read that far. While the receiver pauses, reading goes on for as long as a disconnect is relevant,
    and the input is buffered here in bounded memory. The first handler of a pipeline; used on its loop's thread. */
final class ReadAheadHandler extends ChannelInboundHandlerAdapter {

    // Once this much has been read, it is delivered before more is read.
    private static final int MAX_TURN_BYTES = 32 << 10;
    // The same while memory is short.
    private static final int MAX_SHORT_TURN_BYTES = 2 * BoundedReadAllocator.SHORT_READ_BYTES;
    // Reads of one connection in a turn: a client that keeps sending small pieces must not occupy the loop.
    private static final int MAX_TURN_READS = 16;
    // Input is delivered in parts of this size, and for so long in one turn: a body in chunks of one byte takes long to
    // decode, and must not occupy the loop.
    private static final int DELIVERY_BYTES = 2 << 10;
    private static final long MAX_DELIVERY_MICROS = FairReadAllocator.MAX_TURN_MICROS;
    // By this time the loop's next turn has read further input.
    private static final long NEXT_TURN_MILLIS = 1;
    // By this time the selector has processed that the socket is not to be watched.
    private static final long SELECTOR_REARM_MILLIS = 1;
    // Up to this much a connection whose receiver pauses is read as input comes.
    private static final int MAX_READ_AHEAD_BYTES = 1 << 20;

    private final MemoryPool pool;
    private final BooleanSupplier disconnectRelevant;
    private final LongSupplier clock;
    private final ByteQueue buffers = new ByteQueue();
    private final SendTimeEstimator sendTimes = new SendTimeEstimator();
    private ChannelHandlerContext context;
    private final MemoryPool.Holding holding;
    private boolean paused;  // delivery is paused
    private boolean discarding;  // input is read and released
    private boolean deliveryScheduled;
    private boolean rearmingSelector;  // reading is off for a moment, so that the selector registers it anew
    private boolean selectorNotified;  // the selector has reported input since reading last began
    private int readsThisTurn;  // in this turn of the loop
    private long deliveryStartedAt;  // the first delivery of the current turn or a moment before, 0 if there is none
    private long deliveryMicros;  // what deliveries have taken since then
    private long lastReadAt;  // the last time that input arrived
    private boolean readScheduled;  // in this turn of the loop

    /** The allocator for the channels of such connections: a turn of the loop reads until there is no more input, and
        so finds a disconnect that follows it. Both may have arrived if the loop was late. What is read is counted in
        the pool. */
    static RecvByteBufAllocator receiveBufferAllocator(MemoryPool pool) {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator(FairReadAllocator.MIN_READ_BYTES,
                FairReadAllocator.INITIAL_READ_BYTES, FairReadAllocator.MAX_READ_BYTES);
        allocator.respectMaybeMoreData(false).maxMessagesPerRead(MAX_TURN_READS);
        return new BoundedReadAllocator(allocator, pool);
    }

    /** {@code disconnectRelevant} is queried while the receiver pauses. The clock counts microseconds from an arbitrary
        origin. */
    ReadAheadHandler(MemoryPool pool, BooleanSupplier disconnectRelevant, LongSupplier clock) {
        this.pool = pool;
        holding = pool.newHolding();
        this.disconnectRelevant = disconnectRelevant;
        this.clock = clock;
    }

    /** Whether input has been read that was not delivered yet. */
    boolean hasBufferedData() {
        return !buffers.isEmpty();
    }

    /** The last time at which the client was known to be connected: while input is left in the socket, a disconnect may
        lie behind it. */
    long connectedAsOf() {
        return sendTimes.drainedAsOf(clock.getAsLong());
    }

    /** Whether the last read has found more input, or none has followed a pause. */
    boolean mayHaveUnreadInput() {
        return !sendTimes.isDrained();
    }

    /** The earliest time at which the input that was delivered last may have been sent. */
    long deliveredSentAt() {
        return sendTimes.deliveredSentAt();
    }

    /** The earliest time at which the byte may have been sent that is so many bytes behind what was delivered; no later
        than the present. */
    long sendTimeOf(long bytesAhead) {
        return sendTimes.sendTimeOf(bytesAhead, clock.getAsLong());
    }

    /** Reads until no input is left, all that the system may have held of it included, or the pool is exhausted. False
        if more is left, so that a disconnect may lie behind it. */
    boolean readAll() {
        if (!(context.channel() instanceof TcpChannel connection)) {
            return true;
        }
        do {
            connection.readOnce();
        } while (connection.isActive() && !connection.isInputDrained()
                && hasRoomToReadAhead(SendTimeEstimator.MAX_UNREAD_BYTES));
        return !connection.isActive() || connection.isInputDrained();
    }

    private boolean hasRoomToReadAhead(long maxBytes) {
        return buffers.heldBytes() < maxBytes && !pool.isExhausted();
    }

    /** Pauses or continues delivery. */
    void setPaused(boolean pause) {
        paused = pause;
        scheduleDelivery();
        updateAutoRead();
    }

    /** From now on, input is read and discarded. */
    void discardInput() {
        discarding = true;
        releaseBuffers();
        updateAutoRead();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        releaseBuffers();
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        if (discarding) {
            ReferenceCountUtil.release(message);
            return;
        }
        selectorNotified |= !(from.channel() instanceof TcpChannel connection && connection.isReadingUnprompted());
        readsThisTurn++;
        lastReadAt = clock.getAsLong();
        sendTimes.read(((ByteBuf) message).readableBytes(), lastReadAt);
        buffers.addWhole((ByteBuf) message);
        updateHeld();
        updateAutoRead();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext from) {
        boolean mayBeMore = readsThisTurn >= MAX_TURN_READS;
        readsThisTurn = 0;
        if (!(from.channel() instanceof TcpChannel connection) || connection.isInputDrained()) {
            sendTimes.drained(from.channel().config().isAutoRead(), clock.getAsLong());
        }
        if (mayBeMore && !paused && !deliveryScheduled && buffers.heldBytes() < MAX_TURN_BYTES) {
            // The read limit was reached by small pieces: the next turn continues, and its input is delivered with
            // this. A timer is needed since no event follows if there is no more input.
            from.channel().eventLoop().schedule(this::scheduleDelivery, NEXT_TURN_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            scheduleDelivery();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext from) {
        releaseBuffers();
        from.fireChannelInactive();
    }

    private void updateHeld() {
        holding.set(buffers.heldBytes());
    }

    /** Delivers the input after the events of this turn of the loop, which may include a disconnect, and never while
        the receiver is at work. If this connection's deliveries have taken their time, the next turn continues. */
    private void scheduleDelivery() {
        if (deliveryScheduled || paused || buffers.isEmpty()) {
            return;
        }
        deliveryScheduled = true;
        if (isTurnUsedUp()) {
            context.channel().eventLoop().schedule(() -> {
                deliveryStartedAt = 0;
                deliver();
            }, NEXT_TURN_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            context.channel().eventLoop().execute(this::deliver);
        }
    }

    private boolean isTurnUsedUp() {
        return deliveryStartedAt != 0 && deliveryMicros >= MAX_DELIVERY_MICROS
                && clock.getAsLong() - deliveryStartedAt < 2 * deliveryMicros;
    }

    private void deliver() {
        deliveryScheduled = false;
        readAgainIfStale();
        if (!context.channel().isActive()) {
            releaseBuffers();  // the client has disconnected, which the receiver is told next
        }
        boolean delivered = false;
        long startedAt = clock.getAsLong();
        if (!isTurnUsedUp()) {
            deliveryStartedAt = startedAt;
            deliveryMicros = 0;
        }
        long earlierMicros = deliveryMicros;
        while (!paused && !buffers.isEmpty() && deliveryMicros < MAX_DELIVERY_MICROS) {
            delivered = true;
            context.fireChannelRead(pollPart());
            deliveryMicros = earlierMicros + clock.getAsLong() - startedAt;
        }
        if (delivered) {
            context.fireChannelReadComplete();
            updateAutoRead();
        }
        scheduleDelivery();
    }

    /** Removes the first buffer, or a part of it if it is long or was sent at different times. */
    private ByteBuf pollPart() {
        ByteBuf part = buffers.poll(Math.min(DELIVERY_BYTES, sendTimes.nextDeliveryBytes()));
        sendTimes.delivered(part.readableBytes());
        updateHeld();
        return part;
    }

    /** Reads again if the loop was delayed since the input was read: the client may have disconnected meanwhile. */
    private void readAgainIfStale() {
        boolean stale = !buffers.isEmpty() && clock.getAsLong() - lastReadAt > Gateway.CLIENT_CHECK_INTERVAL_MICROS;
        if (stale && !paused && context.channel() instanceof TcpChannel connection) {
            connection.readNow();
        }
    }

    /** Starts or stops reading, by the memory that is left. Also to be called when other connections may have freed
        some. */
    void updateAutoRead() {
        boolean hasRoom = !paused ? buffers.heldBytes() < (pool.isExhausted() ? MAX_SHORT_TURN_BYTES : MAX_TURN_BYTES)
                : hasRoomToReadAhead(MAX_READ_AHEAD_BYTES) && disconnectRelevant.getAsBoolean();
        boolean autoRead = !rearmingSelector && (discarding || hasRoom);
        if (autoRead == context.channel().config().isAutoRead()) {
            return;
        }
        selectorNotified = false;
        context.channel().config().setAutoRead(autoRead);
        if (autoRead) {
            scheduleRead();
        } else {
            sendTimes.readingStopped(clock.getAsLong());
        }
    }

    /** Reads in this turn of the loop, since the selector reports nothing for a socket that is empty: only a read tells
        that nothing came while reading was off. */
    private void scheduleRead() {
        if (readScheduled || !(context.channel() instanceof TcpChannel connection)) {
            return;
        }
        readScheduled = true;
        connection.eventLoop().execute(() -> {
            readScheduled = false;
            connection.readNow();
        });
    }

    /** To be called periodically: reads if the selector has reported nothing since reading began, and makes it watch
        the connection again if there was input. The system may have lacked the memory to watch it, which the JDK does
        not report. */
    void readUnlessNotified() {
        if (selectorNotified || rearmingSelector || hasBufferedData()
                || !(context.channel() instanceof TcpChannel connection)) {
            return;
        }
        connection.readNow();
        if (hasBufferedData()) {
            rearmingSelector = true;
            updateAutoRead();
            connection.eventLoop().schedule(() -> {
                rearmingSelector = false;
                updateAutoRead();
            }, SELECTOR_REARM_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void releaseBuffers() {
        buffers.clear();
        updateHeld();
    }
}
