package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Tenant;

/** The HTTP server that clients connect to: decodes and validates requests, submits them to the gateway, and writes the
    final responses. Also drains client connections for a standby and closes them for a graceful shutdown. Used on the
    event loop's thread alone. */
final class DownstreamServer {

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAX_PIPELINED_REQUESTS = 8;
    // A client that reads nothing of its response for this long is taken to be gone.
    private static final int WRITE_TIMEOUT_SECONDS = 10;
    // The system would grow the send buffer to megabytes and report it writable only once a third of it is free: a
    // client that reads 64 kB a second would seem to read nothing for longer than the write timeout.
    private static final int SEND_BUFFER_BYTES = 128 << 10;
    /** The system would grow it to megabytes, in which requests wait unseen. */
    static final int RECEIVE_BUFFER_BYTES = 128 << 10;
    // Requests of one connection that are open or wait hold so much, and one more; further input waits undecoded.
    private static final long MAX_DECODED_BYTES = 32 << 10;
    // What a request's head, its objects and its place in the queue take at least.
    private static final long REQUEST_OVERHEAD_BYTES = 2 << 10;
    // A request that has waited so long for memory is refused: its client's time is running.
    private static final long MEMORY_TIMEOUT_MILLIS = 500;
    // At a shutdown, new connections arrive for a while until the load balancer in front has noticed it.
    static final long SHUTDOWN_ACCEPT_MILLIS = 500;
    // At a shutdown, open connections are served for up to MAX_SHUTDOWN_SERVE_MICROS, since other gateways may be down
    // as well. All requests are answered within the longest deadline plus SHUTDOWN_ANSWER_MICROS, before the process
    // may be killed.
    private static final long MAX_SHUTDOWN_SERVE_MICROS = 1_500_000;
    private static final long SHUTDOWN_ANSWER_MICROS = 400_000;
    // Longer deadlines do not delay the kill further.
    private static final long MAX_SHUTDOWN_DEADLINE_MICROS = 3_000_000;
    // A connection that is closed gracefully reads and discards input for this long, unless its client closes before.
    private static final long LINGER_MILLIS = 2000;
    /** Kept small, since hundreds of connections may each hold a read and a write of this size. */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);
    private static final long IDLE_TIMEOUT_MICROS = 10_000_000;  // connections without requests are not kept forever
    private static final long SWEEP_INTERVAL_MICROS = LoopMonitor.CHECK_INTERVAL_MICROS;
    // The time limit that a host is given may exceed the client's by this much; the platform tolerates 0.15 s.
    private static final long ACCEPT_QUEUE_SLACK_MICROS = 50_000;
    // A drain has to free this gateway of clients within 4 s. New connections arrive until the load balancer in front
    // has noticed it: from DRAIN_CLOSE_MILLIS on responses close their connections, and at DRAIN_IDLE_CLOSE_MILLIS idle
    // connections are closed.
    private static final long DRAIN_CLOSE_MILLIS = 500;
    private static final long DRAIN_IDLE_CLOSE_MILLIS = 1500;
    private static final long DRAINED_IDLE_TIMEOUT_MICROS = 250_000;
    private static final String TRACE_ID_HEADER = "X-Trace-Id";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String EXPIRES_HEADER = HostConnectionPool.EXPIRES_HEADER;
    private static final String CLASS_HEADER = "X-Qos";
    private static final String TENANT_HEADER = "X-Customer";
    private static final String OBJECT_HEADER = "X-Object";
    private static final String SECOND_TRY_HEADER = "X-Second-Try";
    private static final String SIZE_HINT_HEADER = "X-Size-Hint";
    // If one of these headers came twice, the gateway and a host might use different values.
    private static final List<String> SINGLE_VALUE_HEADERS = List.of(TRACE_ID_HEADER, IDEMPOTENCY_KEY_HEADER,
            EXPIRES_HEADER, CLASS_HEADER, TENANT_HEADER, OBJECT_HEADER);
    /** The headers of the platform that requests are read for. */
    static final List<String> REQUEST_HEADERS = Stream.concat(SINGLE_VALUE_HEADERS.stream(),
            Stream.of(SECOND_TRY_HEADER, SIZE_HINT_HEADER)).toList();

    private final EventLoop loop;
    private final Gateway gateway;
    private final Lifecycle lifecycle;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private final ConnectionLimit<ClientConnection> connections;
    private final MessageMemory memory;
    private final RequestIdClaims requestIds;
    private TcpServerChannel serverChannel;
    private boolean sweepScheduled;
    private boolean accepting = true;  // false once a successor process accepts
    private boolean socketInherited;  // a successor process accepts from the same socket
    private boolean closeAfterResponse;  // each response closes its connection
    private boolean drained;  // clients have had the time to leave: idle connections are closed soon
    private Future<?> drainTimer;
    private Runnable onStopped;

    /** Serves about {@code maxConnections} connections at a time. */
    DownstreamServer(EventLoop loop, Gateway gateway, Settings settings, int maxConnections, Lifecycle lifecycle,
            RequestIds requestIds) {
        this.loop = loop;
        this.gateway = gateway;
        this.lifecycle = lifecycle;
        memory = gateway.memory();
        this.requestIds = new RequestIdClaims(requestIds);
        connections = new ConnectionLimit<>(loop, maxConnections, this::setAccepting,
                () -> gateway.metrics().increment(GatewayMetrics.Counter.CLIENTS_PUSHED_OUT));
        settings.classes().forEach(type -> requestClasses.put(type.name(), type));
        settings.tenants().stream().map(Tenant::name).forEach(tenants::add);
    }

    Gateway gateway() {
        return gateway;
    }

    /** Whether no input of clients is held that was read ahead of its turn. */
    boolean hasNoReadAheadData() {
        return memory.readAhead.isUnused();
    }

    InetSocketAddress address() {
        return serverChannel.localAddress();
    }

    /** Binds the address and accepts connections. */
    ChannelFuture listen(InetSocketAddress address) {
        return trackListener(bootstrap().channelFactory(() ->
                new TcpServerChannel(gateway::now, this::acceptFailed, this::acceptEnded))
                .bind(address));
    }

    /** Accepts connections from a listening socket that predecessor and successor processes share. */
    ChannelFuture listenOnInherited(ServerSocketChannel inherited) {
        socketInherited = true;
        return trackListener(bootstrap().channelFactory(() ->
                new TcpServerChannel(inherited, gateway::now, this::acceptFailed, this::acceptEnded))
                .register());
    }

    /** Keeps the channel of an attempt to listen; one that failed has none and may be repeated. */
    private ChannelFuture trackListener(ChannelFuture started) {
        if (started.channel() instanceof TcpServerChannel listener) {
            serverChannel = listener;
        }
        if (!sweepScheduled) {
            sweepScheduled = true;
            PeriodicTask.schedule(loop, SWEEP_INTERVAL_MICROS, this::sweep, gateway::log);
        }
        return started;
    }

    private void setAccepting(boolean wanted) {
        serverChannel.setAccepting(wanted && accepting);
    }

    private void acceptEnded(long startedAt) {
        gateway.loopMonitor().taskEnded(LoopMonitor.Task.ACCEPT, startedAt);
    }

    private void acceptFailed(Exception cause) {
        gateway.metrics().increment(GatewayMetrics.Counter.ACCEPTS_FAILED);
        gateway.eventLog().add(EventLog.Event.ACCEPT_FAILED, "cause", cause);
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap().group(loop)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadAheadHandler.receiveBufferAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ClientConnection connection = new ClientConnection(channel);
                        channel.pipeline().addLast(connection.readAhead,
                                new ReadTimingHandler(gateway.loopMonitor(), LoopMonitor.Task.CLIENT_READ),
                                connection.decoder, new HttpResponseEncoder(), connection.aggregator,
                                new WriteTimeoutHandler(WRITE_TIMEOUT_SECONDS), connection);
                    }
                });
    }

    /** Starts a drain at a standby and ends it when the gateway becomes active again. Called on the loop's thread after
        each change of the lifecycle state. */
    void lifecycleStateChanged() {
        if (lifecycle.state() == Lifecycle.State.STANDBY && drainTimer == null) {
            gateway.log("standby");
            drainTimer = loop.schedule(() -> {
                closeAfterResponse = true;
                drainTimer = loop.schedule(() -> {
                    drained = true;
                    closeIdle();
                }, DRAIN_IDLE_CLOSE_MILLIS - DRAIN_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
            }, DRAIN_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        } else if (lifecycle.state() == Lifecycle.State.ACTIVE && drainTimer != null) {
            gateway.log("active");
            drainTimer.cancel(false);
            drainTimer = null;
            closeAfterResponse = false;
            drained = false;
        }
    }

    /** Shuts down gracefully: serves for a moment more, then answers the requests that were accepted and closes all
        connections. {@code callback} runs once that is done. */
    void stop(Runnable callback) {
        lifecycle.stop();
        if (serverChannel == null) {  // not listening yet: there are no clients
            callback.run();
            return;
        }
        if (drainTimer != null) {
            drainTimer.cancel(false);
        }
        long longestDeadline = requestClasses.values().stream().mapToLong(RequestClass::deadline).max().orElse(0);
        gateway.setAnswerDeadline(gateway.now() + shutdownAnswerMicros(longestDeadline));
        if (socketInherited) {
            // The successor accepts from now on. The socket is descriptor 0 and stays open: if it were closed, the
            // virtual machine would redirect the descriptors and the log would be lost.
            closeAfterResponse = true;
            accepting = false;
            serverChannel.setAccepting(false);
            gateway.retire();
        } else {
            loop.schedule(() -> serverChannel.drainAndClose(connections.remainingCapacity()), SHUTDOWN_ACCEPT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        loop.schedule(() -> {
            closeAfterResponse = true;
            closeIdle();
            onStopped = callback;
            notifyIfStopped();
        }, shutdownServeMicros(longestDeadline), TimeUnit.MICROSECONDS);
        loop.schedule(() -> connections.awaitingRequest().forEach(ClientConnection::closeGracefully),
                shutdownAnswerMicros(longestDeadline), TimeUnit.MICROSECONDS);
    }

    /** From the start of a shutdown until all requests are answered: less than until the kill, which comes 0.7 s plus
        the longest deadline after the start. */
    static long shutdownAnswerMicros(long longestDeadline) {
        return SHUTDOWN_ANSWER_MICROS + Math.min(longestDeadline, MAX_SHUTDOWN_DEADLINE_MICROS);
    }

    /** From the start of a shutdown until connections close and no request is accepted: leaves the last request a third
        of the time until all are answered. */
    static long shutdownServeMicros(long longestDeadline) {
        return Math.min(MAX_SHUTDOWN_SERVE_MICROS, shutdownAnswerMicros(longestDeadline) * 2 / 3);
    }

    /** Closes connections without a request. Those that are sending one are closed after its response. */
    private void closeIdle() {
        connections.awaitingRequest().stream().filter(connection -> !connection.isSendingRequest())
                .forEach(ClientConnection::closeGracefully);
    }

    /** Periodic checks: the event loop's lateness, connections that no selector event has announced, and timeouts. */
    private void sweep() {
        LoopMonitor monitor = gateway.loopMonitor();
        monitor.check();
        gateway.metrics().recordPeak(GatewayMetrics.Peak.HELD_KIB, memory.usedKibibytes());
        long now = monitor.taskStarted();
        if (serverChannel != null) {
            serverChannel.pollUnlessNotified();
        }
        connections.all().forEach(connection -> connection.enforceTimeouts(now));
        connections.enforce();  // input that prevented an eviction may have been processed since
        monitor.taskEnded(LoopMonitor.Task.SWEEP, now);
    }

    private void notifyIfStopped() {
        if (onStopped != null && connections.size() == 0) {
            onStopped.run();
        }
    }

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
        private final MemoryPool.Reservation memory;
        private final long heldBytes;  // overhead included
        private long sentAt;  // the earliest time at which its last byte may have been sent, 0 until that has arrived

        private PendingRequest(MessageAggregator.AggregatedMessage message) {
            request = (FullHttpRequest) message.message();
            bodyRelay = message.bodyRelay();
            memory = message.memory();
            heldBytes = REQUEST_OVERHEAD_BYTES + request.content().capacity();
        }

        private void releaseMemory() {
            if (memory != null) {
                memory.release();
            }
        }

        /** Releases a request that is not going to be handled. */
        private void discard() {
            releaseMemory();
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
    }

    /** One client's connection: handles its requests one after the other, in the order in which they came. */
    private final class ClientConnection extends SimpleChannelInboundHandler<MessageAggregator.AggregatedMessage>
            implements Gateway.Client, ConnectionLimit.Evictable {

        private final Channel channel;
        private final ReadAheadHandler readAhead = new ReadAheadHandler(memory.readAhead,
                this::isDisconnectRelevant, gateway::now);
        private final RequestDecoder decoder = new RequestDecoder();
        private final MessageAggregator aggregator = MessageAggregator.ofRequests(memory);
        private final RequestReadTimer readTimer = new RequestReadTimer();
        private final Queue<PendingRequest> pendingRequests = new ArrayDeque<>();
        private PendingRequest current;  // null if none is being handled
        private long decodedBytes;  // what the current and the pending requests hold
        private boolean awaitingMemory;  // for the request that is being read
        private Future<?> memoryTimer;
        private PendingRequest incoming;  // the one whose long body is being read, the current one or a later one
        private BodyRelay outgoingBody;  // of the response that is being written
        private boolean continueExpected;  // the client waits for a 100 response before it sends the body
        private final RequestIdClaims.AnsweredConnection answeredConnection =
                new RequestIdClaims.AnsweredConnection(this);
        private Gateway.Exchange exchange;
        private String traceId;  // of the current request once it is submitted
        private boolean requestRead;  // since the last channelReadComplete
        private boolean requestSubmitted;  // at least one request was submitted to the gateway
        private boolean outputShutDown;  // no further requests are handled
        private CloseReason closeReason = CloseReason.CLIENT;
        private Throwable failure;  // of a read or write
        private long idleSince = gateway.now();

        ClientConnection(Channel channel) {
            this.channel = channel;
        }

        /** Pauses reading while enough requests are held, the relay of the incoming body is full, or the request that is
            being read waits for memory. */
        private void updateReadPause() {
            boolean hasRoom = incoming != null ? !incoming.bodyRelay.isFull()
                    : pendingRequests.size() <= MAX_PIPELINED_REQUESTS && decodedBytes < MAX_DECODED_BYTES;
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
        private void enforceTimeouts(long now) {
            boolean hasSentRequest = !connections.hasSentNoRequest(this);
            long idleTimeout = drained ? DRAINED_IDLE_TIMEOUT_MICROS : hasSentRequest ? IDLE_TIMEOUT_MICROS
                    : RequestReadTimer.HEAD_TIMEOUT_MICROS;
            if (outputShutDown) {
                return;  // a timer closes it
            }
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
            loop.schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void discardPending() {
            pendingRequests.forEach(PendingRequest::discard);
            pendingRequests.clear();
            decodedBytes = current == null ? 0 : current.heldBytes;
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
            logUnanswered();
            connections.remove(this);
            discardPending();
            endUnanswered();
            if (current != null) {
                current.releaseMemory();
                abandonBody(current);
            }
            if (outgoingBody != null) {
                outgoingBody.abandon();
            }
            notifyIfStopped();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, MessageAggregator.AggregatedMessage part) {
            if (outputShutDown) {  // decoded from the same read as the request that ended the connection
                new PendingRequest(part).discard();
                return;
            }
            requestRead = true;
            connections.requestReceived(this);
            PendingRequest read = new PendingRequest(part);
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
            decodedBytes += read.heldBytes;
            updateReadPause();
            if (current == null) {
                startNextRequest();
            }
        }

        /** Starts the read timer if a part of a request has been read, alone or after a complete one. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            readTimer.dataReceived(gateway.now());
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
            if (event == MessageAggregator.Event.CONTINUE_EXPECTED) {
                continueExpected = true;
                sendContinueIfDue();
            }
            if (event == MessageAggregator.Event.MEMORY_NEEDED) {
                setAwaitingMemory(true);
                memoryTimer = loop.schedule(this::refuseForMemory, MEMORY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
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
            if (next == null && onStopped != null && !isSendingRequest()) {
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
            request.setUri(originForm(request.uri()));
            String path = new QueryStringDecoder(request.uri()).rawPath();
            if (decodeError != null) {
                writeEmptyResponse(statusOf(decodeError), true);
            } else if (path.equals("/ready")) {
                boolean get = request.method().equals(HttpMethod.GET);
                writeEmptyResponse(!get ? HttpResponseStatus.METHOD_NOT_ALLOWED
                        : lifecycle.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, false);
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

        /** Converts a request target in absolute form to origin form, which hosts are sent. */
        private static String originForm(String uri) {
            int scheme = uri.regionMatches(true, 0, "http://", 0, 7) ? 7 : 0;
            int path = scheme == 0 ? 0 : uri.indexOf('/', scheme);
            return path < 0 ? "/" : uri.substring(path);
        }

        /** Validates a request and submits it to the gateway; {@code waited} is the time for which its client may have
            waited, 0 for a long one, whose time runs from its last byte. */
        private void submit(FullHttpRequest request, long waited) {
            HttpHeaders headers = request.headers();
            RequestClass requestClass = requestClasses.get(headers.get(CLASS_HEADER, ""));
            String tenant = headers.get(TENANT_HEADER);
            long expiresInMillis = parseNumber(headers.get(EXPIRES_HEADER));
            String trace = headers.get(TRACE_ID_HEADER, "");
            boolean keyed = requestClass != null && requestClass.idempotency() == Idempotency.KEYED;
            boolean invalid = requestClass == null || expiresInMillis <= 0
                    || !tenants.isEmpty() && !tenants.contains(tenant)
                    || !isForwardable(trace) || !isForwardable(request.uri())
                    || !isForwardable(headers.get(IDEMPOTENCY_KEY_HEADER, keyed ? "" : "-"))
                    || SINGLE_VALUE_HEADERS.stream().anyMatch(name -> headers.getAll(name).size() > 1);
            if (request.method().equals(HttpMethod.GET) && (request.content().isReadable() || current.bodyRelay != null)) {
                // A host that ignores the body would read it as a request.
                writeEmptyResponse(HttpResponseStatus.BAD_REQUEST, true);
            } else if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.POST)
                    || !invalid
                    && request.method().equals(HttpMethod.GET) != (requestClass.idempotency() == Idempotency.SAFE)) {
                writeEmptyResponse(HttpResponseStatus.METHOD_NOT_ALLOWED, false);
            } else if (invalid) {
                writeEmptyResponse(HttpResponseStatus.BAD_REQUEST, false);
            } else if (!requestIds.claim(trace, answeredConnection)) {
                gateway.metrics().increment(GatewayMetrics.Counter.IDS_TAKEN);
                gateway.eventLog().add(EventLog.Event.ID_TAKEN, "trace", trace, "class", requestClass.name());
                writeEmptyResponse(HttpResponseStatus.CONFLICT, false);  // responses with one id could be confused
            } else {
                traceId = trace;
                long timeLeft = Math.min(expiresInMillis * 1000, requestClass.deadline()) - waited
                        - acceptQueueMicros();
                long work = Math.max(0, parseNumber(headers.get(SIZE_HINT_HEADER)));
                Gateway.Exchange accepted = gateway.submit(this, request, current.bodyRelay, requestClass.name(), tenant,
                        hashKey(headers.get(OBJECT_HEADER)), timeLeft, "1".equals(headers.get(SECOND_TRY_HEADER)), work);
                // Null if it was answered at once: the next request may have been submitted already.
                if (accepted != null) {
                    exchange = accepted;
                }
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

        /** Whether the text can be forwarded unchanged, which holds for visible ASCII characters only. */
        private static boolean isForwardable(String text) {
            return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c <= '~');
        }

        /** Hashes an object's name to its key, equally at every gateway. */
        private static Long hashKey(String object) {
            if (object == null) {
                return null;
            }
            long hash = 0xCBF29CE484222325L;  // FNV-1a
            for (int i = 0; i < object.length(); i++) {
                hash = (hash ^ object.charAt(i)) * 0x100000001B3L;
            }
            return hash;
        }

        /** Parses an int; -1 for other text. */
        private static long parseNumber(String text) {
            try {
                return text == null ? -1 : Integer.parseInt(text.strip());
            } catch (NumberFormatException e) {
                return -1;
            }
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
            channel.writeAndFlush(new DefaultHttpContent(response.content().retain()));
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
            boolean mayContinue = !closeAfterResponse || !pendingRequests.isEmpty() || hasUnprocessedInput();
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
            channel.writeAndFlush(response).addListener(done -> responseWritten(keepAlive && done.isSuccess()));
        }

        /** The response has been written, whether or not the whole request had arrived. */
        private void responseWritten(boolean keepAlive) {
            if (traceId != null && exchange != null && exchange.mayStillRun()) {
                requestIds.retainAnswered(traceId, answeredConnection);
            } else if (traceId != null) {
                requestIds.release(traceId);
            }
            traceId = null;
            exchange = null;
            current.releaseMemory();
            decodedBytes -= current.heldBytes;
            abandonBody(current);  // it has been streamed, or is not needed
            current = null;
            if (keepAlive) {
                startNextRequest();
            } else {
                closeGracefully();
            }
        }

        /** The client has left before the current request was answered. */
        private void endUnanswered() {
            answeredConnection.ended();
            if (exchange != null) {
                exchange.clientLeft();
            }
            if (traceId != null && exchange != null && exchange.mayStillRun()) {
                requestIds.retain(traceId);
            } else if (traceId != null) {
                requestIds.release(traceId);
            }
            traceId = null;
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
}
