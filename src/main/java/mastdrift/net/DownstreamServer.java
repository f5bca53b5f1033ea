package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Tenant;

/** The HTTP server that clients connect to: decodes and validates requests, submits them to the gateway, and writes the
    final responses. Also drains client connections for a standby and closes them for a graceful shutdown. Used on the
    event loop's thread alone. */
final class DownstreamServer {

    private static final int BACKLOG_CONNECTIONS = 1024;
    private static final int PIPELINED_REQUESTS_MOST = 8;
    // A client that reads nothing of its response for this long is taken to be gone.
    private static final int WRITE_SECONDS = 10;
    // The system would grow the send buffer to megabytes and report it writable only once a third of it is free: a
    // client that reads 64 kB a second would seem to read nothing for longer than the write timeout.
    private static final int SEND_BUFFER_BYTES = 128 << 10;
    // Limit, over all client connections, of what is read ahead of its turn.
    private static final int AHEAD_BYTES_MOST = 8 << 20;
    // At a shutdown, new connections arrive for a while until the load balancer in front has noticed it.
    static final long SHUTDOWN_ACCEPT_MILLIS = 500;
    // At a shutdown, open connections are served for up to MAX_SHUTDOWN_SERVE_MICROS, since other gateways may be down
    // as well. All requests are answered within the longest deadline plus SHUTDOWN_ANSWER_MICROS, before the process
    // may be killed.
    private static final long STOP_SERVING_MICROS_MOST = 1_500_000;
    private static final long STOP_ANSWERED_MICROS = 400_000;
    private static final long DEADLINE_COUNTED_MICROS = 3_000_000;  // longer deadlines do not delay the kill further
    // A connection that is closed gracefully reads and discards input for this long, unless its client closes before.
    private static final long LINGER_MILLIS = 2000;
    /** Kept small, since hundreds of connections may each hold a read and a write of this size. */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);
    private static final long IDLE_MICROS_MOST = 10_000_000;  // connections without requests are not kept forever
    private static final long SWEEP_SPAN_MICROS = LoopMonitor.SPAN_MICROS;
    // The time limit that a host is given may exceed the client's by this much; the platform tolerates 0.15 s.
    private static final long QUEUED_SLACK_MICROS = 50_000;
    // A drain has to free this gateway of clients within 4 s. New connections arrive until the load balancer in front
    // has noticed it: from DRAIN_CLOSE_MILLIS on responses close their connections, and at DRAIN_IDLE_CLOSE_MILLIS idle
    // connections are closed.
    private static final long DRAIN_CLOSING_MILLIS = 500;
    private static final long DRAIN_IDLE_MILLIS = 1500;
    private static final long DRAINED_IDLE_MICROS_MOST = 250_000;
    private static final String TRACE = "X-Trace-Id";
    private static final String REPEAT_KEY = "Idempotency-Key";
    private static final String EXPIRES = HostPool.EXPIRES;
    // If one of these headers came twice, the gateway and a host might use different values.
    private static final List<String> ONCE = List.of(TRACE, REPEAT_KEY, EXPIRES, "X-Qos", "X-Customer", "X-Object");

    private final EventLoop loop;
    private final Gateway gateway;
    private final Life life;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private final ConnectionLimit<ClientConnection> connections;
    private final ReadAheadHandler.MemoryBudget ahead = new ReadAheadHandler.MemoryBudget(AHEAD_BYTES_MOST);
    private final Set<String> open = new HashSet<>();  // trace ids of requests without a response
    private TcpServerChannel server;
    private boolean sweeping;
    private boolean accepting = true;
    private boolean shared;  // a successor process accepts from the same socket
    private boolean closing;  // each response closes its connection
    private boolean drained;  // clients have had the time to leave: idle connections are closed soon
    private Future<?> drain;
    private Runnable stopped;

    /** Serves about {@code maxConnections} connections at a time. */
    DownstreamServer(EventLoop loop, Gateway gateway, Settings settings, int most, Life life) {
        this.loop = loop;
        this.gateway = gateway;
        this.life = life;
        connections = new ConnectionLimit<>(loop, most, this::acceptMore,
                () -> gateway.tally().add(Tally.Count.CLIENTS_PUSHED_OUT));
        settings.classes().forEach(type -> classes.put(type.name(), type));
        settings.tenants().stream().map(Tenant::name).forEach(tenants::add);
    }

    Gateway gateway() {
        return gateway;
    }

    /** Whether no input of clients is held that was read ahead of its turn. */
    boolean hasNoReadAheadData() {
        return ahead.isUnused();
    }

    InetSocketAddress address() {
        return server.localAddress();
    }

    /** Binds the address and accepts connections. */
    ChannelFuture listen(InetSocketAddress at) {
        return listening(bootstrap().channelFactory(() -> new TcpServerChannel(gateway::now, this::acceptFailed, this::accepted))
                .bind(at));
    }

    /** Accepts connections from a listening socket that predecessor and successor processes share. */
    ChannelFuture listenOnInherited(ServerSocketChannel passed) {
        shared = true;
        return listening(bootstrap().channelFactory(() -> new TcpServerChannel(passed, gateway::now, this::acceptFailed, this::accepted))
                .register());
    }

    /** Keeps the channel of an attempt to listen; one that failed has none and may be repeated. */
    private ChannelFuture listening(ChannelFuture begun) {
        if (begun.channel() instanceof TcpServerChannel listener) {
            server = listener;
        }
        if (!sweeping) {
            sweeping = true;
            PeriodicTask.schedule(loop, SWEEP_SPAN_MICROS, this::closeOverdue, gateway::log);
        }
        return begun;
    }

    private void acceptMore(boolean wanted) {
        server.setAccepting(wanted && accepting);
    }

    private void accepted(long begunAt) {
        gateway.loopMonitor().ended(LoopMonitor.Task.ACCEPT, begunAt);
    }

    private void acceptFailed(Exception cause) {
        gateway.tally().add(Tally.Count.ACCEPTS_FAILED);
        gateway.eventLog().add(EventLog.Event.ACCEPT_FAILED, "cause", cause);
    }

    static AdaptiveRecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(256, 2048, 16 << 10);
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap().group(loop)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadAheadHandler.receiveBufferAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ClientConnection connection = new ClientConnection(channel);
                        channel.pipeline().addLast(connection.reading,
                                new ReadTimingHandler(gateway.loopMonitor(), LoopMonitor.Task.CLIENT_READ), connection.requests,
                                new HttpResponseEncoder(), connection.assembler, new WriteTimeoutHandler(WRITE_SECONDS), connection);
                    }
                });
    }

    /** Starts a drain at a standby and ends it when the gateway becomes active again. Called on the loop's thread after
        each change of the lifecycle state. */
    void lifecycleStateChanged() {
        if (life.state() == Life.State.STANDBY && drain == null) {
            gateway.log("standby");
            drain = loop.schedule(() -> {
                closing = true;
                drain = loop.schedule(() -> {
                    drained = true;
                    closeIdle();
                }, DRAIN_IDLE_MILLIS - DRAIN_CLOSING_MILLIS, TimeUnit.MILLISECONDS);
            }, DRAIN_CLOSING_MILLIS, TimeUnit.MILLISECONDS);
        } else if (life.state() == Life.State.ACTIVE && drain != null) {
            gateway.log("active");
            drain.cancel(false);
            drain = null;
            closing = false;
            drained = false;
        }
    }

    /** Shuts down gracefully: serves for a moment more, then answers the requests that were accepted and closes all
        connections. {@code onStopped} runs once that is done. */
    void stop(Runnable then) {
        life.stop();
        if (server == null) {  // not listening yet: there are no clients
            then.run();
            return;
        }
        if (drain != null) {
            drain.cancel(false);
        }
        long longest = classes.values().stream().mapToLong(RequestClass::deadline).max().orElse(0);
        gateway.setAnswerDeadline(gateway.now() + shutdownAnswerMicros(longest));
        if (shared) {
            // The successor accepts from now on. The socket is descriptor 0 and stays open: if it were closed, the
            // virtual machine would redirect the descriptors and the log would be lost.
            closing = true;
            accepting = false;
            server.setAccepting(false);
            gateway.retire();
        } else {
            loop.schedule(() -> server.drainAndClose(connections.remainingCapacity()), SHUTDOWN_ACCEPT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        loop.schedule(() -> {
            closing = true;
            closeIdle();
            stopped = then;
            checkStopped();
        }, shutdownServeMicros(longest), TimeUnit.MICROSECONDS);
        loop.schedule(() -> connections.awaitingRequest().forEach(ClientConnection::closeGracefully), shutdownAnswerMicros(longest),
                TimeUnit.MICROSECONDS);
    }

    /** From the start of a shutdown until all requests are answered: less than until the kill, which comes 0.7 s plus
        the longest deadline after the start. */
    static long shutdownAnswerMicros(long longestDeadline) {
        return STOP_ANSWERED_MICROS + Math.min(longestDeadline, DEADLINE_COUNTED_MICROS);
    }

    /** From the start of a shutdown until connections close and no request is accepted: leaves the last request a third
        of the time until all are answered. */
    static long shutdownServeMicros(long longestDeadline) {
        return Math.min(STOP_SERVING_MICROS_MOST, shutdownAnswerMicros(longestDeadline) * 2 / 3);
    }

    /** Closes connections without a request. Those that are sending one are closed after its response. */
    private void closeIdle() {
        connections.awaitingRequest().stream().filter(connection -> !connection.isSendingRequest()).forEach(ClientConnection::closeGracefully);
    }

    private void closeOverdue() {
        LoopMonitor monitor = gateway.loopMonitor();
        monitor.look();
        long now = monitor.begin();
        if (server != null) {
            server.pollUnlessNotified();
        }
        connections.all().forEach(connection -> connection.closeOverdue(now));
        connections.enforce();  // input that prevented an eviction may have been processed since
        monitor.ended(LoopMonitor.Task.SWEEP, now);
    }

    private void checkStopped() {
        if (stopped != null && connections.size() == 0) {
            stopped.run();
        }
    }

    /** Why a connection was closed before all requests on it were answered. */
    private enum CloseReason {
        /** The client closed it, or it failed. */
        CLIENT, REQUEST_TOO_SLOW, REQUEST_BROKEN, ANSWER_BROKEN, ANSWER_NOT_TAKEN, MADE_ROOM, FAULT
    }

    /** A request that waits for its turn on its connection; {@code bodyRelay} is null if it is complete. */
    private record PendingRequest(FullHttpRequest message, BodyRelay rest, long at) {

        /** Releases a request that is not going to be handled. */
        private void drop() {
            message.release();
            if (rest != null) {
                rest.abandon();
            }
        }
    }

    /** An HTTP request decoder that tells whether it holds undecoded input. */
    private static final class RequestDecoder extends HttpRequestDecoder {

        /** Whether bytes have been read that were not decoded to a part of a request yet. */
        boolean midway() {
            return actualReadableBytes() > 0;
        }
    }

    /** One client's connection: handles its requests one after the other, in the order in which they came. */
    private final class ClientConnection extends SimpleChannelInboundHandler<MessageAggregator.AggregatedMessage>
            implements Gateway.Client, ConnectionLimit.Evictable {

        private final Channel channel;
        private final ReadAheadHandler reading = new ReadAheadHandler(ahead, this::departureMatters, gateway::now);
        private final RequestDecoder requests = new RequestDecoder();
        private final MessageAggregator assembler = new MessageAggregator();
        private final RequestReadTimer arrival = new RequestReadTimer();
        private final Queue<PendingRequest> waiting = new ArrayDeque<>();
        private FullHttpRequest current;
        private BodyRelay currentRest;  // null if the current request was complete when it was passed on
        private BodyRelay coming;  // of the request that is being read, the current one or a later one
        private BodyRelay going;  // of the response that is being written
        private boolean expects;  // the client waits for a 100 response before it sends the body
        private Gateway.Exchange exchange;
        private String id;
        private boolean read;  // since the last channelReadComplete
        private boolean asked;  // at least one request was submitted to the gateway
        private boolean over;  // no further requests are handled
        private CloseReason reason = CloseReason.CLIENT;
        private Throwable failure;  // of a read or write
        private long idleSince = gateway.now();

        ClientConnection(Channel channel) {
            this.channel = channel;
        }

        /** Pauses reading while enough requests wait or the relay of the incoming body is full. */
        private void pace() {
            boolean takes = waiting.size() <= PIPELINED_REQUESTS_MOST && (coming == null || !coming.isFull());
            if (arrival.setPaused(!takes, gateway.now())) {
                reading.setPaused(!takes);
            }
        }

        /** Whether a disconnect of the client could still prevent something from being sent to a host. That is not so
            only while the current request's body is read and streamed to a host: no later request can have arrived. */
        private boolean departureMatters() {
            return exchange == null || !exchange.isRequestStreaming() || coming != currentRest;
        }

        @Override
        public boolean isSendingRequest() {
            return arrival.isRunning() || hasUnprocessedInput();
        }

        @Override
        public boolean hasUnprocessedInput() {
            return reading.hasBufferedData();
        }

        @Override
        public void close() {
            close(CloseReason.MADE_ROOM);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(this);
            gateway.tally().add(Tally.Count.CLIENTS_CAME);
            gateway.tally().level(Tally.Level.CLIENT_CONNECTIONS, connections.size());
        }

        /** Closes the connection if it has been idle, or has been sending a request, for too long. Sends no 408
            response, which might cross a request and be taken for its response. */
        private void closeOverdue(long now) {
            boolean asked = !connections.hasSentNoRequest(this);
            long idleMost = drained ? DRAINED_IDLE_MICROS_MOST : asked ? IDLE_MICROS_MOST : RequestReadTimer.HEAD_TIMEOUT_MICROS;
            if (over) {
                return;  // a timer closes it
            }
            reading.updateAutoRead();
            reading.readUnlessNotified();
            if (!isSendingRequest() && current == null && now - idleSince > idleMost) {
                closeGracefully();
            } else if (arrival.isRunning() && (current == null || coming != null)
                    && arrival.isExpired(now, asked ? 0 : idleSince, assembler.bytes())) {
                close(CloseReason.REQUEST_TOO_SLOW);  // an incomplete request needs no response
            }
        }

        /** Closes the connection by a lingering close: shuts down the output after all that has been written, and for a
            while reads and discards what the client still sends. A close with unread input would reset the connection,
            by which the client may lose the last response. Later requests are not handled: the client sees that the
            connection ended. */
        @Override
        public void closeGracefully() {
            if (over || !channel.isActive()) {
                return;
            }
            over = true;
            drop();
            reading.discardInput();
            ((DuplexChannel) channel).shutdownOutput();
            connections.startedLingering(this);
            loop.schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void drop() {
            waiting.forEach(PendingRequest::drop);
            waiting.clear();
        }

        /** Closes the connection at once, for a reason other than the client's. */
        private void close(CloseReason why) {
            reason = why;
            channel.close();
        }

        /** Logs the end of the connection if requests on it were not answered. */
        private void noteEnd() {
            if (exchange == null && waiting.isEmpty()) {
                return;
            }
            if (reason != CloseReason.CLIENT) {
                gateway.tally().add(Tally.Count.UNANSWERED);
            }
            gateway.eventLog().add(EventLog.Event.CLIENT_GONE, "trace", id, "reason", reason, "cause", failure, "waiting",
                    waiting.size());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            noteEnd();
            connections.remove(this);
            open.remove(id);
            drop();
            if (exchange != null) {
                exchange.clientLeft();
            }
            if (currentRest != null) {
                currentRest.abandon();
            }
            if (going != null) {
                going.abandon();
            }
            checkStopped();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, MessageAggregator.AggregatedMessage part) {
            if (over) {  // decoded from the same read as the request that ended the connection
                new PendingRequest((FullHttpRequest) part.message(), part.bodyRelay(), 0).drop();
                return;
            }
            read = true;
            connections.requestReceived(this);
            coming = part.bodyRelay();
            if (coming == null) {
                expects = false;
                arrival.stop();
            } else {
                arrival.start(gateway.now());
                coming.onFullChange(this::pace);
            }
            waiting.add(new PendingRequest((FullHttpRequest) part.message(), coming, gateway.now()));
            pace();
            if (current == null) {
                next();
            }
        }

        /** Starts the read timer if a part of a request has been read, alone or after a complete one. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            arrival.dataReceived(gateway.now());
            if (coming != null && coming.isFinished()) {
                boolean whole = coming.whole();
                coming = null;
                arrival.stop();
                if (!whole) {
                    close(CloseReason.REQUEST_BROKEN);
                }
            } else if (!over && (!read || requests.midway() || assembler.hasIncompleteMessage())) {
                arrival.start(gateway.now());
            }
            read = false;
        }

        /** Notes deferred writes, and clients that expect a 100 response before they send a body. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event == TcpChannel.WriteDeferred.INSTANCE) {
                gateway.tally().add(Tally.Count.WRITES_DEFERRED);
                gateway.eventLog().add(EventLog.Event.WRITE_DEFERRED, "trace", id);
            }
            if (event == MessageAggregator.Event.CONTINUE_EXPECTED) {
                expects = true;
                askForBody();
            }
        }

        /** Sends a 100 response once it is the turn of the request that expects it. */
        private void askForBody() {
            if (expects && (current == null || currentRest == coming && coming != null)) {
                expects = false;
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                        Unpooled.EMPTY_BUFFER));
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (going != null) {
                going.resumeWriting();
            }
        }

        private void next() {
            PendingRequest arrived = waiting.poll();
            pace();
            if (arrived == null && stopped != null && !isSendingRequest()) {
                closeGracefully();
                return;
            }
            if (arrived == null) {
                connections.becameIdle(this);
                idleSince = gateway.now();
                askForBody();
                return;
            }
            connections.requestReceived(this);
            current = arrived.message;
            currentRest = arrived.rest;
            askForBody();
            try {
                begin(arrived);
            } finally {
                arrived.message.release();
            }
        }

        private void begin(PendingRequest arrived) {
            FullHttpRequest message = arrived.message;
            Throwable fault = message.decoderResult().cause();
            message.setUri(originForm(message.uri()));
            String path = new QueryStringDecoder(message.uri()).rawPath();
            if (fault != null) {
                boolean body = fault instanceof TooLongFrameException && "body".equals(fault.getMessage());
                plain(body ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST, true);
            } else if (path.equals("/ready")) {
                boolean get = message.method().equals(HttpMethod.GET);
                plain(!get ? HttpResponseStatus.METHOD_NOT_ALLOWED
                        : life.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, false);
            } else if (path.equals("/api") || path.startsWith("/api/")) {
                take(message, gateway.now() - arrived.at);
            } else {
                plain(HttpResponseStatus.NOT_FOUND, false);
            }
        }

        /** Converts a request target in absolute form to origin form, which hosts are sent. */
        private static String originForm(String uri) {
            int scheme = uri.regionMatches(true, 0, "http://", 0, 7) ? 7 : 0;
            int path = scheme == 0 ? 0 : uri.indexOf('/', scheme);
            return path < 0 ? "/" : uri.substring(path);
        }

        private void take(FullHttpRequest message, long waited) {
            HttpHeaders headers = message.headers();
            RequestClass type = classes.get(headers.get("X-Qos", ""));
            String tenant = headers.get("X-Customer");
            long expires = number(headers.get(EXPIRES));
            String trace = headers.get(TRACE, "");
            boolean keyed = type != null && type.idempotency() == Idempotency.KEYED;
            boolean bad = type == null || expires <= 0 || !tenants.isEmpty() && !tenants.contains(tenant)
                    || !passable(trace) || !passable(message.uri()) || !passable(headers.get(REPEAT_KEY, keyed ? "" : "-"))
                    || ONCE.stream().anyMatch(name -> headers.getAll(name).size() > 1);
            if (message.method().equals(HttpMethod.GET) && (message.content().isReadable() || currentRest != null)) {
                plain(HttpResponseStatus.BAD_REQUEST, true);  // a host that ignores the body would read it as a request
            } else if (!message.method().equals(HttpMethod.GET) && !message.method().equals(HttpMethod.POST)
                    || !bad && message.method().equals(HttpMethod.GET) != (type.idempotency() == Idempotency.SAFE)) {
                plain(HttpResponseStatus.METHOD_NOT_ALLOWED, false);
            } else if (bad) {
                plain(HttpResponseStatus.BAD_REQUEST, false);
            } else if (!open.add(trace)) {
                plain(HttpResponseStatus.CONFLICT, false);  // responses with one id could be confused
            } else {
                id = trace;
                long left = Math.min(expires * 1000, type.deadline()) - waited - queued();
                long work = Math.max(0, number(headers.get("X-Size-Hint")));
                Gateway.Exchange taken = gateway.submit(this, message, currentRest, type.name(), tenant,
                        key(headers.get("X-Object")), left, "1".equals(headers.get("X-Second-Try")), work);
                if (taken != null) {  // otherwise it was answered, and the next request may have been submitted already
                    exchange = taken;
                }
            }
        }

        /** How much of the time of a connection's first request may have passed in the accept queue: a host must not be
            given more time than the client has left, except for a tolerance of which a part is reserved for delays. */
        private long queued() {
            if (asked) {
                return 0;
            }
            asked = true;
            return Math.max(0, ((TcpChannel) channel).maxAcceptQueueMicros() - QUEUED_SLACK_MICROS);
        }

        /** Whether the text can be forwarded unchanged, which holds for visible ASCII characters only. */
        private static boolean passable(String text) {
            return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c <= '~');
        }

        /** Hashes an object's name to its key, equally at every gateway. */
        private static Long key(String object) {
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
        private static long number(String text) {
            try {
                return text == null ? -1 : Integer.parseInt(text.strip());
            } catch (NumberFormatException e) {
                return -1;
            }
        }

        /** While reading is paused for lack of memory, this tells only what was known before. */
        @Override
        public boolean isConnected() {
            ((TcpChannel) channel).readNow();
            return channel.isActive();
        }

        @Override
        public void sendResponse(FullHttpResponse answer) {
            ByteBuf body = answer.content().retain();
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
            keepType(answer, response);
            write(response, false);
        }

        private static void keepType(HttpResponse answer, HttpResponse response) {
            if (answer.headers().contains(HttpHeaderNames.CONTENT_TYPE)) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.headers().get(HttpHeaderNames.CONTENT_TYPE));
            }
        }

        /** Declares the body's length if it is known; otherwise sends chunks or, to a client without HTTP/1.1, a body
            that ends with the connection. */
        @Override
        public void startStreaming(FullHttpResponse answer, BodyRelay rest, Consumer<Boolean> passed) {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            keepType(answer, response);
            boolean told = HttpUtil.isContentLengthSet(answer);
            boolean chunks = !told && current.protocolVersion().equals(HttpVersion.HTTP_1_1);
            if (told) {
                HttpUtil.setContentLength(response, HttpUtil.getContentLength(answer));
            }
            HttpUtil.setTransferEncodingChunked(response, chunks);
            boolean keep = keeps() && (told || chunks);
            HttpUtil.setKeepAlive(response, keep);
            going = rest;
            channel.write(response);
            channel.writeAndFlush(new DefaultHttpContent(answer.content().retain()));
            rest.writeTo(channel, whole -> {
                going = null;
                passed.accept(whole);
                if (whole) {
                    answered(keep);
                    return;
                }
                if (!told && !chunks) {  // a regular close would look like the end of the body
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                }
                close(CloseReason.ANSWER_BROKEN);
            });
        }

        /** The Retry-After header takes whole seconds. */
        @Override
        public void sendRefusal(long retryAfter) {
            FullHttpResponse response = empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Math.max(1, (retryAfter + 999_999) / 1_000_000));
            write(response, false);
        }

        @Override
        public void sendFailure(boolean late) {
            plain(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, false);
        }

        private void plain(HttpResponseStatus status, boolean close) {
            write(empty(status), close);
        }

        private static FullHttpResponse empty(HttpResponseStatus status) {
            return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        }

        /** Whether the connection stays open after the response to the current request. */
        private boolean keeps() {
            boolean more = !closing || !waiting.isEmpty() || hasUnprocessedInput();
            return more && HttpUtil.isKeepAlive(current) && (currentRest == null || currentRest.whole());
        }

        private void write(FullHttpResponse response, boolean close) {
            if (going != null) {  // a part of another response has been sent
                response.release();
                close(CloseReason.ANSWER_BROKEN);
                return;
            }
            boolean keep = !close && keeps();
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keep);
            channel.writeAndFlush(response).addListener(done -> answered(keep && done.isSuccess()));
        }

        /** The response has been written, whether or not the whole request had arrived. */
        private void answered(boolean keep) {
            exchange = null;
            open.remove(id);
            id = null;
            if (currentRest != null) {
                currentRest.abandon();  // its body has been streamed, or is not needed
            }
            current = null;
            currentRest = null;
            if (keep) {
                next();
            } else {
                closeGracefully();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean clients = cause instanceof IOException || cause instanceof CodecException;
            if (!clients && !(cause instanceof TimeoutException)) {
                gateway.log("fault at a client's connection: " + cause);
            }
            failure = cause;
            reason = cause instanceof IOException ? CloseReason.CLIENT : cause instanceof TimeoutException
                    ? CloseReason.ANSWER_NOT_TAKEN : CloseReason.FAULT;
            context.close();
        }
    }
}
