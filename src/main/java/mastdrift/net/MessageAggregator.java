package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/** Aggregates the parts that an HTTP codec decodes. A message with a body of up to MAX_AGGREGATED_BYTES is passed on
    whole; a longer one as soon as it is known to be longer, with a relay for the rest of its body. A message that can't
    be decoded, or whose body is too long, is passed on with a failed decoder result, or fails its relay if that has
    started. */
final class MessageAggregator extends SimpleChannelInboundHandler<HttpObject> {

    /** Bodies up to this size are kept whole, so that the request can be retried. */
    static final int MAX_AGGREGATED_BYTES = 64 << 10;
    /** Longer bodies are rejected. */
    static final long MAX_BODY_BYTES = 32L << 20;
    private static final int MIN_BODY_BUFFER_BYTES = 256;

    /** A body up to this size needs no reservation: small requests are served however much memory others hold. */
    static final int UNRESERVED_BYTES = 4 << 10;

    /** No memory became free for a message in time. */
    static final class MemoryExhaustedException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** A message with the part of its body that has arrived, which the receiver releases; {@code bodyRelay} supplies
        the rest, and is null if the message is complete. */
    record AggregatedMessage(FullHttpMessage message, BodyRelay bodyRelay, MemoryPool.Reservation memory) { }

    /** CONTINUE_EXPECTED: the client waits for a 100 response before it sends the body of the request. MEMORY_NEEDED:
        the message's body has to wait for memory. MEMORY_GRANTED: it need not any longer. BODY_RECEIVED: the last part of
        a body with a relay has arrived, and the relay is told next. BODY_SKIPPED: the last part of a body has arrived
        that is ignored. */
    enum Event { CONTINUE_EXPECTED, MEMORY_NEEDED, MEMORY_GRANTED, BODY_RECEIVED, BODY_SKIPPED }

    private final MemoryPool pool;
    private final MemoryPool relayPool;
    private final int maxRelayBytes;
    private final boolean reserving;
    private MemoryPool.Reservation reservation;  // for the message that is being aggregated, or null
    private final MemoryPool.Holding holding;  // what that message has without a reservation

    private HttpMessage head;  // of the message that is being aggregated, null if there is none
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private BodyRelay activeRelay;
    private long contentLength;  // as declared by the head, negative if it is not
    private long bytes;

    /** What is held is counted in the pool. If {@code reserving}, memory for a body that is not small is reserved in it
        ahead; the receiver should not deliver more between the events MEMORY_NEEDED and MEMORY_GRANTED. */
    MessageAggregator(MemoryPool pool, boolean reserving) {
        this(pool, pool, BodyRelay.MAX_BUFFERED_BYTES, reserving);
    }

    private MessageAggregator(MemoryPool pool, MemoryPool relayPool, int maxRelayBytes, boolean reserving) {
        this.pool = pool;
        holding = pool.newHolding();
        this.relayPool = relayPool;
        this.maxRelayBytes = maxRelayBytes;
        this.reserving = reserving;
    }

    /** An aggregator of requests, whose relays hold more than those of responses. */
    static MessageAggregator ofRequests(MessageMemory memory) {
        return new MessageAggregator(memory.requests, memory.uploads, BodyRelay.MAX_UPLOAD_BYTES, true);
    }

    /** How much of the body of the current message has arrived; 0 between two messages. */
    long bytes() {
        return bytes;
    }

    /** How much of the body of the current message has not arrived, at least; 1 if its length is unknown. */
    long remainingBytes() {
        return Math.max(1, contentLength - bytes);
    }

    /** Whether a message has been read in part and not been passed on. */
    boolean hasIncompleteMessage() {
        return head != null;
    }

    /** Whether a part of the body of the current message has arrived and not been passed on. */
    boolean hasPartialBody() {
        return head != null && body.isReadable();
    }

    /** Whether that is so and its length is unknown. */
    boolean hasPartialBodyOfUnknownLength() {
        return hasPartialBody() && contentLength < 0;
    }

    /** Passes on the part that has arrived, with a relay for the rest of the body. */
    void startRelay(ChannelHandlerContext context) {
        activeRelay = new BodyRelay(relayPool, maxRelayBytes);
        emit(context, null, activeRelay);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (part instanceof HttpMessage message) {
            startMessage(context, message);
        }
        if (part instanceof HttpContent content) {
            addContent(context, content);
        }
    }

    private void startMessage(ChannelHandlerContext context, HttpMessage message) {
        discard();
        head = message;
        bytes = 0;
        Throwable decodeError = message.decoderResult().cause();
        contentLength = decodeError != null || HttpUtil.isTransferEncodingChunked(message) ? -1
                : HttpUtil.getContentLength(message, -1L);
        if (decodeError != null || contentLength > MAX_BODY_BYTES) {
            emit(context, decodeError != null ? decodeError : bodyTooLong(), null);
            return;
        }
        if (message instanceof HttpRequest && HttpUtil.is100ContinueExpected(message)) {
            context.fireUserEventTriggered(Event.CONTINUE_EXPECTED);
        }
        if (message instanceof HttpRequest && contentLength > MAX_AGGREGATED_BYTES) {
            startRelay(context);
        } else if (contentLength > UNRESERVED_BYTES) {
            reserve(context, contentLength);
        }
    }

    private void reserve(ChannelHandlerContext context, long bytes) {
        if (!reserving || reservation != null) {
            return;
        }
        reservation = pool.reserve(bytes, () -> context.fireUserEventTriggered(Event.MEMORY_GRANTED));
        if (!reservation.isGranted()) {
            context.fireUserEventTriggered(Event.MEMORY_NEEDED);
        }
    }

    /** Ends the wait for memory: passes the message on as failed, and ignores the rest of its body. */
    void refuseForMemory(ChannelHandlerContext context) {
        if (head != null && reservation != null && !reservation.isGranted()) {
            body.release();
            body = Unpooled.EMPTY_BUFFER;
            emit(context, new MemoryExhaustedException(), null);
        }
    }

    private void updateHeld() {
        holding.set(reservation == null ? body.capacity() : 0);
    }

    private static TooLongFrameException bodyTooLong() {
        return new TooLongFrameException("body");
    }

    private void addContent(ChannelHandlerContext context, HttpContent content) {
        ByteBuf piece = content.content();
        bytes += piece.readableBytes();
        Throwable error = bytes > MAX_BODY_BYTES ? bodyTooLong() : content.decoderResult().cause();
        boolean last = content instanceof LastHttpContent;
        if (activeRelay != null) {
            if (piece.isReadable() && error == null) {
                activeRelay.add(piece.retain());
            }
            if (error != null) {
                activeRelay.fail();
            } else if (last) {
                context.fireUserEventTriggered(Event.BODY_RECEIVED);
                activeRelay.complete();
            }
            if (error != null || last) {
                activeRelay = null;
                bytes = 0;
            }
        } else if (head != null) {
            aggregate(context, piece);
            if (error != null || last) {
                emit(context, error, null);
            } else if (body.readableBytes() > MAX_AGGREGATED_BYTES
                    || contentLength > MAX_AGGREGATED_BYTES && body.isReadable()) {
                startRelay(context);
            }
        } else if (last) {
            context.fireUserEventTriggered(Event.BODY_SKIPPED);
        }
    }

    /** Copies the piece to those before it: pieces that are held one by one would take far more memory than bytes. */
    private void aggregate(ChannelHandlerContext context, ByteBuf piece) {
        if (!piece.isReadable()) {
            return;
        }
        if (body == Unpooled.EMPTY_BUFFER) {
            body = context.alloc().buffer(Math.max(MIN_BODY_BUFFER_BYTES, piece.readableBytes()));
        }
        body.writeBytes(piece);
        if (contentLength < 0 && body.readableBytes() > UNRESERVED_BYTES) {
            reserve(context, MAX_AGGREGATED_BYTES);
        }
        updateHeld();
    }

    private void emit(ChannelHandlerContext context, Throwable error, BodyRelay relay) {
        FullHttpMessage message = head instanceof HttpRequest request
                ? new DefaultFullHttpRequest(request.protocolVersion(), request.method(), request.uri(), body,
                        request.headers(), EmptyHttpHeaders.INSTANCE)
                : new DefaultFullHttpResponse(head.protocolVersion(), ((HttpResponse) head).status(), body,
                        head.headers(), EmptyHttpHeaders.INSTANCE);
        if (error != null) {
            message.setDecoderResult(DecoderResult.failure(error));
        }
        MemoryPool.Reservation memory = relay == null ? reservation : null;
        head = null;
        body = Unpooled.EMPTY_BUFFER;
        bytes = relay == null ? 0 : bytes;
        if (relay != null) {
            releaseReservation();
        }
        reservation = null;
        updateHeld();
        context.fireChannelRead(new AggregatedMessage(message, relay, memory));
    }

    private void releaseReservation() {
        if (reservation != null) {
            reservation.release();
            reservation = null;
        }
    }

    /** All that has arrived has been read: what came of a body that is passed on is written. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (activeRelay != null) {
            activeRelay.resumeWriting();
        }
        context.fireChannelReadComplete();
    }

    /** Fails the current message, whatever arrives. */
    void abort() {
        discard();
    }

    /** A connection that fails does not complete a message, not even one whose body ends with the connection. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        discard();
        context.fireExceptionCaught(cause);
    }

    private void discard() {
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        head = null;
        releaseReservation();
        updateHeld();
        if (activeRelay != null) {
            activeRelay.fail();
            activeRelay = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        context.fireChannelInactive();
        discard();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        discard();
    }
}
