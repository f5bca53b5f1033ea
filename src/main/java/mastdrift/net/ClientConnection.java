package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.TimeoutException;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One client's connection: handles its requests one after the other, in the order in which they came. Used on the
    event loop's thread alone. */
final class ClientConnection extends SimpleChannelInboundHandler<MessageAggregator.AggregatedMessage>
        implements Gateway.Client, ConnectionLimit.Evictable {

    // A client that reads nothing of its response for this long is taken to be gone.
    private static final int WRITE_TIMEOUT_SECONDS = 10;
    private static final int MAX_PIPELINED_REQUESTS = 8;
    // Requests of one connection that are open or wait hold so much, and one more; further input waits undecoded.
    private static final long MAX_DECODED_BYTES = 32 << 10;
    // A request that waits for memory so long after it was sent is refused: its client's time is running.
    private static final long MEMORY_TIMEOUT_MICROS = 500_000;
    // A connection that is closed gracefully reads and discards input for this long, unless its client closes before.
    private static final long LINGER_MILLIS = 2000;
    private static final long IDLE_TIMEOUT_MICROS = 10_000_000;  // connections without requests are not kept forever
    // The time limit that a host is given may exceed the client's by this much; the platform tolerates 0.15 s.
    private static final long ACCEPT_QUEUE_SLACK_MICROS = 50_000;
    private static final long DRAINED_IDLE_TIMEOUT_MICROS = 250_000;

    /** Why a connection was closed before all requests on it were answered; written to the log under these names.
        CLIENT: the client closed it, or it failed. REQUEST_BROKEN: the rest of a long body could not be decoded.
        ANSWER_BROKEN: a response that was being streamed could not be completed. ANSWER_NOT_TAKEN: the client did not
        read its response. MADE_ROOM: closed for the connection limit. FAULT: an unexpected exception. */
    private enum CloseReason {
        CLIENT, REQUEST_TOO_SLOW, REQUEST_BROKEN, ANSWER_BROKEN, ANSWER_NOT_TAKEN, MADE_ROOM, FAULT
    }

    /** A request that is being handled, or waits for its turn on its connection. */
    private static final class PendingRequest {

        private final FullHttpRequest request;
        private final BodyRelay bodyRelay;  // null if the request was complete when it was passed on
        private final RequestMemory memory;
        private long sentAt;  // the earliest time at which its last byte may have been sent, 0 until that has arrived

        private PendingRequest(MessageAggregator.AggregatedMessage message, MessageMemory pools) {
            request = (FullHttpRequest) message.message();
            bodyRelay = message.bodyRelay();
            memory = new RequestMemory(request, message.memory(), pools);
        }

        /** Releases a request that is not going to be handled. */
        private void discard() {
            memory.release();
            request.release();
            if (bodyRelay != null) {
                bodyRelay.abandon();
            }
        }
    }

    /** An HTTP request decoder that tells whether it holds undecoded input. Rejects a request with a transfer coding
        that the gateway can't decode. */
    private static final class RequestDecoder extends HttpRequestDecoder {

        RequestDecoder() {
            super(new HttpDecoderConfig().setHeadersFactory(UsedHeaders.FACTORY).setTrailersFactory(UsedHeaders.FACTORY));
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            TransferCoding.requireSupported(message);
            return super.isContentAlwaysEmpty(message);
        }

        /** Whether bytes have been read that were not decoded to a part of a request yet. */
        boolean hasPartialInput() {
            return actualReadableBytes() > 0;
        }

        /** The memory that those bytes take. */
        int heldBytes() {
            return hasPartialInput() ? internalBuffer().capacity() : 0;
        }
    }


    private final Channel channel;
    private final DownstreamServer server;
    private final Gateway gateway;
    private final ConnectionLimit<ClientConnection> connections;
    private final RequestIdClaims requestIds;
    private final ReadAheadHandler readAhead;
    private final MemoryPool.Holding undecoded;
    private final RequestDecoder decoder = new RequestDecoder();
    private final MessageAggregator aggregator;
    private final RequestReadTimer readTimer = new RequestReadTimer();
    private final Queue<PendingRequest> pendingRequests = new ArrayDeque<>();
    private final RequestIdClaims.AnsweredConnection answeredConnection =
            new RequestIdClaims.AnsweredConnection(this);
    private PendingRequest current;  // null if none is being handled
    private long decodedBytes;  // what the current and the pending requests hold
    private boolean awaitingMemory;  // for the request that is being read
    private Future<?> memoryTimer;
    private PendingRequest incoming;  // the one whose long body is being read, the current one or a later one
    private BodyRelay outgoingBody;  // of the response that is being written
    private boolean continueExpected;  // the client waits for a 100 response before it sends the body
    private Gateway.Exchange exchange;
    private String traceId;  // of the current request once it is submitted
    private boolean requestRead;  // since the last channelReadComplete
    private boolean requestSubmitted;  // at least one request was submitted to the gateway
    private boolean outputShutDown;  // no further requests are handled
    private CloseReason closeReason = CloseReason.CLIENT;
    private Throwable failure;  // of a read or write
    private long idleSince;

    /** A connection that the server has accepted. */
    ClientConnection(DownstreamServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
        gateway = server.gateway();
        connections = server.connections();
        requestIds = server.requestIds();
        MemoryPool input = gateway.memory().readAhead;
        readAhead = new ReadAheadHandler(input, this::isDisconnectRelevant, gateway::now);
        undecoded = input.newHolding();
        aggregator = MessageAggregator.ofRequests(gateway.memory());
        idleSince = gateway.now();
    }

    /** Adds the handlers of the connection to its pipeline. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(readAhead, new ReadTimingHandler(gateway.loopMonitor(), LoopMonitor.Task.CLIENT_READ), decoder,
                new HttpResponseEncoder(), aggregator, new WriteTimeoutHandler(WRITE_TIMEOUT_SECONDS), this);
    }

    /** Pauses reading while enough requests are held, the relay of the incoming body is full, or the request that is
        being read waits for memory. While memory is short, each connection is read for one request at a time. */
    private void updateReadPause() {
        boolean mayHoldMore = pendingRequests.size() <= MAX_PIPELINED_REQUESTS && decodedBytes < MAX_DECODED_BYTES
                && (decodedBytes == 0 || !gateway.memory().isShortForRequests());
        boolean hasRoom = incoming != null ? !incoming.bodyRelay.isFull() : mayHoldMore;
        boolean mayRead = hasRoom && !awaitingMemory;
        if (readTimer.setPaused(!mayRead, gateway.now())) {
            readAhead.setPaused(!mayRead);
        }
    }

    /** Whether a disconnect of the client could still prevent something from being sent to a host. That is not so
        only while the current request's body is read and streamed to a host: no later request can have arrived. */
    private boolean isDisconnectRelevant() {
        return exchange == null || !exchange.isRequestStreaming() || incoming != current;
    }

    @Override
    public boolean isSendingRequest() {
        return readTimer.isRunning() || hasUnprocessedInput();
    }

    @Override
    public boolean hasUnprocessedInput() {
        return readAhead.hasBufferedData();
    }

    @Override
    public void close() {
        close(CloseReason.MADE_ROOM);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connections.add(this);
        gateway.metrics().increment(GatewayMetrics.Counter.CLIENTS_CAME);
        gateway.metrics().recordPeak(GatewayMetrics.Peak.CLIENT_CONNECTIONS, connections.size());
    }

    /** Closes the connection if it has been idle, or has been sending a request, for too long. Sends no 408
        response, which might cross a request and be taken for its response. */
    void enforceTimeouts(long now) {
        boolean hasSentRequest = !connections.hasSentNoRequest(this);
        long idleTimeout = server.isDrained() ? DRAINED_IDLE_TIMEOUT_MICROS : hasSentRequest ? IDLE_TIMEOUT_MICROS
                : RequestReadTimer.HEAD_TIMEOUT_MICROS;
        if (outputShutDown) {
            return;  // a timer closes it
        }
        updateReadPause();
        readAhead.updateAutoRead();
        readAhead.readUnlessNotified();
        if (!isSendingRequest() && current == null && now - idleSince > idleTimeout) {
            closeGracefully();
        } else if (readTimer.isRunning() && (current == null || incoming != null)
                && readTimer.isExpired(now, hasSentRequest ? 0 : idleSince, aggregator.bytes())) {
            close(CloseReason.REQUEST_TOO_SLOW);  // an incomplete request needs no response
        }
    }

    /** Closes the connection by a lingering close: shuts down the output after all that has been written, and for a
        while reads and discards what the client still sends. A close with unread input would reset the connection,
        by which the client may lose the last response. Later requests are not handled: the client sees that the
        connection ended. */
    @Override
    public void closeGracefully() {
        if (outputShutDown || !channel.isActive()) {
            return;
        }
        outputShutDown = true;
        discardPending();
        readAhead.discardInput();
        ((DuplexChannel) channel).shutdownOutput();
        connections.startedLingering(this);
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void discardPending() {
        pendingRequests.forEach(PendingRequest::discard);
        pendingRequests.clear();
        decodedBytes = current == null ? 0 : current.memory.heldBytes();
    }

    /** Closes the connection at once, for a reason other than the client's. */
    private void close(CloseReason reason) {
        closeReason = reason;
        channel.close();
    }

    /** Logs the end of the connection if requests on it were not answered. */
    private void logUnanswered() {
        if (exchange == null && pendingRequests.isEmpty()) {
            return;
        }
        if (closeReason != CloseReason.CLIENT) {
            gateway.metrics().increment(GatewayMetrics.Counter.UNANSWERED);
        }
        gateway.eventLog().add(EventLog.Event.CLIENT_GONE, "trace", traceId, "reason", closeReason, "cause",
                failure, "waiting", pendingRequests.size());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        undecoded.set(0);
        logUnanswered();
        connections.remove(this);
        discardPending();
        answeredConnection.ended();
        if (exchange != null) {
            exchange.clientLeft();
        }
        endRequestId();
        if (current != null) {
            current.memory.release();
            abandonBody(current);
        }
        if (outgoingBody != null) {
            outgoingBody.abandon();
        }
        server.notifyIfStopped();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MessageAggregator.AggregatedMessage part) {
        if (outputShutDown) {  // decoded from the same read as the request that ended the connection
            new PendingRequest(part, gateway.memory()).discard();
            return;
        }
        requestRead = true;
        connections.requestReceived(this);
        PendingRequest read = new PendingRequest(part, gateway.memory());
        if (read.bodyRelay == null) {
            incoming = null;
            continueExpected = false;
            readTimer.stop();
            read.sentAt = readAhead.deliveredSentAt();
        } else {
            incoming = read;
            readTimer.start(gateway.now());
            read.bodyRelay.onFullChange(this::updateReadPause);
        }
        pendingRequests.add(read);
        decodedBytes += read.memory.heldBytes();
        updateReadPause();
        if (current == null) {
            startNextRequest();
        }
    }

    /** Starts the read timer if a part of a request has been read, alone or after a complete one. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        readTimer.dataReceived(gateway.now());
        undecoded.set(decoder.heldBytes());
        if (incoming != null && incoming.bodyRelay.isFinished()) {
            boolean complete = incoming.bodyRelay.isComplete();
            incoming = null;
            readTimer.stop();
            updateReadPause();
            if (!complete) {
                close(CloseReason.REQUEST_BROKEN);
            }
        } else if (!outputShutDown && (!requestRead || decoder.hasPartialInput()
                || aggregator.hasIncompleteMessage())) {
            readTimer.start(gateway.now());
        }
        requestRead = false;
    }

    /** Notes deferred writes, the ends of long bodies, and clients that expect a 100 response before they send a
        body. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == TcpChannel.WriteDeferred.INSTANCE) {
            gateway.metrics().increment(GatewayMetrics.Counter.WRITES_DEFERRED);
            gateway.eventLog().add(EventLog.Event.WRITE_DEFERRED, "trace", traceId);
        }
        if (event == MessageAggregator.Event.BODY_RECEIVED && incoming != null) {
            incoming.sentAt = readAhead.deliveredSentAt();
        }
        if (event == MessageAggregator.Event.BODY_SKIPPED) {
            requestRead = true;
            readTimer.stop();
        }
        if (event == MessageAggregator.Event.CONTINUE_EXPECTED) {
            continueExpected = true;
            sendContinueIfDue();
        }
        if (event == MessageAggregator.Event.MEMORY_NEEDED) {
            setAwaitingMemory(true);
            long waited = gateway.now() - readAhead.deliveredSentAt();
            memoryTimer = channel.eventLoop().schedule(this::refuseForMemory, MEMORY_TIMEOUT_MICROS - waited,
                    TimeUnit.MICROSECONDS);
        }
        if (event == MessageAggregator.Event.MEMORY_GRANTED) {
            memoryTimer.cancel(false);
            setAwaitingMemory(false);
        }
    }

    /** While the request that is being read waits for memory, its client waits. */
    private void setAwaitingMemory(boolean awaiting) {
        awaitingMemory = awaiting;
        updateReadPause();
    }

    private void refuseForMemory() {
        if (awaitingMemory && channel.isActive()) {
            gateway.metrics().increment(GatewayMetrics.Counter.REFUSED_FOR_MEMORY);
            aggregator.refuseForMemory(channel.pipeline().context(aggregator));
            setAwaitingMemory(false);
        }
    }

    /** Sends a 100 response once it is the turn of the request that expects it. */
    private void sendContinueIfDue() {
        if (continueExpected && (current == null || current == incoming)) {
            continueExpected = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (outgoingBody != null) {
            outgoingBody.resumeWriting();
        }
    }

    private void startNextRequest() {
        PendingRequest next = pendingRequests.poll();
        updateReadPause();
        if (next == null && server.isStopping() && !isSendingRequest()) {
            closeGracefully();
            return;
        }
        if (next == null) {
            connections.becameIdle(this);
            idleSince = gateway.now();
            sendContinueIfDue();
            return;
        }
        connections.requestReceived(this);
        current = next;
        sendContinueIfDue();
        try {
            handleRequest(next);
        } finally {
            next.request.release();
        }
    }

    private void handleRequest(PendingRequest pending) {
        FullHttpRequest request = pending.request;
        Throwable decodeError = request.decoderResult().cause();
        request.setUri(RequestParser.originForm(request.uri()));
        String path = new QueryStringDecoder(request.uri()).rawPath();
        if (decodeError != null) {
            // The rest of a body for which there was no memory is read and ignored.
            boolean readable = decodeError instanceof MessageAggregator.MemoryExhaustedException;
            writeEmptyResponse(statusOf(decodeError), !readable);
        } else if (path.equals("/ready")) {
            boolean get = request.method().equals(HttpMethod.GET);
            writeEmptyResponse(!get ? HttpResponseStatus.METHOD_NOT_ALLOWED
                    : server.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, false);
        } else if (path.equals("/api") || path.startsWith("/api/")) {
            submit(request, pending.bodyRelay != null ? 0 : gateway.now() - pending.sentAt);
        } else {
            writeEmptyResponse(HttpResponseStatus.NOT_FOUND, false);
        }
    }

    /** The status of the response to a request that could not be decoded. */
    private static HttpResponseStatus statusOf(Throwable decodeError) {
        if (decodeError instanceof TransferCoding.UnsupportedException) {
            return HttpResponseStatus.NOT_IMPLEMENTED;
        }
        if (decodeError instanceof MessageAggregator.MemoryExhaustedException) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        boolean bodyTooLong = decodeError instanceof TooLongFrameException
                && "body".equals(decodeError.getMessage());
        return bodyTooLong ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST;
    }

    /** Validates a request and submits it to the gateway; {@code waited} is the time for which its client may have
        waited, 0 for a long one, whose time runs from its last byte. */
    private void submit(FullHttpRequest request, long waited) {
        ClientRequest parsed;
        try {
            parsed = server.requestParser().parse(request, current.bodyRelay != null);
        } catch (RequestParser.InvalidRequestException invalid) {
            writeEmptyResponse(invalid.status(), invalid.endsConnection());
            return;
        }
        if (!requestIds.claim(parsed.traceId(), answeredConnection)) {
            gateway.metrics().increment(GatewayMetrics.Counter.IDS_TAKEN);
            gateway.eventLog().add(EventLog.Event.ID_TAKEN, "trace", parsed.traceId(), "class", parsed.className());
            writeEmptyResponse(HttpResponseStatus.CONFLICT, false);  // responses with one id could be confused
            return;
        }
        traceId = parsed.traceId();
        Gateway.Exchange accepted = gateway.submit(this, request, current.bodyRelay, current.memory, parsed.className(),
                parsed.tenant(), parsed.objectKey(), parsed.timeLimit() - waited - acceptQueueMicros(),
                parsed.secondTry(), parsed.work());
        // Null if it was answered at once: the next request may have been submitted already.
        if (accepted != null) {
            exchange = accepted;
        }
    }

    /** How much of the time of a connection's first request may have passed in the accept queue: a host must not be
        given more time than the client has left, except for a tolerance of which a part is reserved for delays. */
    private long acceptQueueMicros() {
        if (requestSubmitted) {
            return 0;
        }
        requestSubmitted = true;
        return Math.max(0, ((TcpChannel) channel).maxAcceptQueueMicros() - ACCEPT_QUEUE_SLACK_MICROS);
    }

    @Override
    public Gateway.ConnectionState checkConnection() {
        boolean drained = readAhead.readAll();
        return !channel.isActive() ? Gateway.ConnectionState.DISCONNECTED
                : drained ? Gateway.ConnectionState.CONNECTED : Gateway.ConnectionState.UNKNOWN;
    }

    @Override
    public long connectedAsOf() {
        return readAhead.connectedAsOf();
    }

    @Override
    public boolean mayHaveUnreadInput() {
        return readAhead.mayHaveUnreadInput();
    }

    @Override
    public long requestSentAt() {
        if (current.sentAt != 0) {
            return current.sentAt;
        }
        return current == incoming ? readAhead.sendTimeOf(aggregator.remainingBytes()) : gateway.now();
    }

    @Override
    public void sendResponse(FullHttpResponse response) {
        ByteBuf body = response.content().retain();
        FullHttpResponse clientResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                body);
        EntityHeaders.copy(response, clientResponse);
        writeResponse(clientResponse, false);
    }

    /** Declares the body's length if it is known; otherwise sends chunks or, to a client without HTTP/1.1, a body
        that ends with the connection. */
    @Override
    public void startStreaming(FullHttpResponse response, BodyRelay bodyRelay, Consumer<Boolean> onWritten) {
        HttpResponse clientResponse = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        EntityHeaders.copy(response, clientResponse);
        boolean lengthKnown = HttpUtil.isContentLengthSet(response);
        boolean chunked = !lengthKnown && current.request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (lengthKnown) {
            HttpUtil.setContentLength(clientResponse, HttpUtil.getContentLength(response));
        }
        HttpUtil.setTransferEncodingChunked(clientResponse, chunked);
        boolean keepAlive = shouldKeepAlive() && (lengthKnown || chunked);
        HttpUtil.setKeepAlive(clientResponse, keepAlive);
        outgoingBody = bodyRelay;
        channel.write(clientResponse);
        bodyRelay.writeAhead(channel, response.content().retain());
        bodyRelay.writeTo(channel, complete -> {
            outgoingBody = null;
            onWritten.accept(complete);
            if (complete) {
                responseWritten(keepAlive);
                return;
            }
            if (!lengthKnown && !chunked) {  // a regular close would look like the end of the body
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            close(CloseReason.ANSWER_BROKEN);
        });
    }

    /** The Retry-After header takes whole seconds. */
    @Override
    public void sendRefusal(long retryAfter) {
        FullHttpResponse response = emptyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE);
        response.headers().set(HttpHeaderNames.RETRY_AFTER, Math.max(1, (retryAfter + 999_999) / 1_000_000));
        writeResponse(response, false);
    }

    @Override
    public void sendFailure(boolean late) {
        writeEmptyResponse(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, false);
    }

    private void writeEmptyResponse(HttpResponseStatus status, boolean close) {
        writeResponse(emptyResponse(status), close);
    }

    private static FullHttpResponse emptyResponse(HttpResponseStatus status) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }

    /** Whether the connection stays open after the response to the current request. */
    private boolean shouldKeepAlive() {
        boolean mayContinue = !server.closesAfterResponse() || !pendingRequests.isEmpty() || hasUnprocessedInput();
        return mayContinue && HttpUtil.isKeepAlive(current.request)
                && (current.bodyRelay == null || current.bodyRelay.isComplete());
    }

    private void writeResponse(FullHttpResponse response, boolean close) {
        if (outgoingBody != null) {  // a part of another response has been sent
            response.release();
            close(CloseReason.ANSWER_BROKEN);
            return;
        }
        boolean keepAlive = !close && shouldKeepAlive();
        HttpUtil.setContentLength(response, response.content().readableBytes());
        HttpUtil.setKeepAlive(response, keepAlive);
        gateway.memory().responses.write(channel, response, response.content().capacity())
                .addListener(done -> responseWritten(keepAlive && done.isSuccess()));
        channel.flush();
    }

    /** The response has been written, whether or not the whole request had arrived. */
    private void responseWritten(boolean keepAlive) {
        endRequestId();
        exchange = null;
        current.memory.release();
        decodedBytes -= current.memory.heldBytes();
        abandonBody(current);  // it has been streamed, or is not needed
        current = null;
        if (keepAlive) {
            startNextRequest();
        } else {
            closeGracefully();
        }
    }

    private void endRequestId() {
        if (traceId != null) {
            requestIds.requestEnded(traceId, exchange != null && exchange.mayStillRun(), answeredConnection);
            traceId = null;
        }
    }

    private static void abandonBody(PendingRequest request) {
        if (request.bodyRelay != null) {
            request.bodyRelay.abandon();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        boolean causedByClient = cause instanceof IOException || cause instanceof CodecException;
        if (!causedByClient && !(cause instanceof TimeoutException)) {
            gateway.log("fault at a client's connection: " + cause);
        }
        failure = cause;
        closeReason = cause instanceof IOException ? CloseReason.CLIENT : cause instanceof TimeoutException
                ? CloseReason.ANSWER_NOT_TAKEN : CloseReason.FAULT;
        context.close();
    }
}
