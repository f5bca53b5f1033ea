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

/** The server that clients connect to: reads requests, refuses what is none, writes the final answers. */
final class ClientSide {

    private static final int BACKLOG_CONNECTIONS = 1024;
    private static final int PIPELINED_REQUESTS_MOST = 8;
    // A client that takes nothing of its answer for so long is gone.
    private static final int WRITE_SECONDS = 10;
    // Of the system, which else grows it to megabytes and asks for more only once a third of it is free: a client that
    // reads 64 kB a second would seem to take nothing for longer than that.
    private static final int SEND_BUFFER_BYTES = 128 << 10;
    // Of the memory for buffers, for what is read ahead of its turn.
    private static final int AHEAD_BYTES_MOST = 8 << 20;
    // At a stop, new connections go on coming for a while before the front has noticed.
    static final long STOP_ACCEPTING_MILLIS = 500;
    // For so long, at the most, clients are served on the connections that they have, since other gateways may be away
    // as well; and all is answered so long after the longest deadline, before the program may be killed.
    private static final long STOP_SERVING_MICROS_MOST = 1_500_000;
    private static final long STOP_ANSWERED_MICROS = 400_000;
    private static final long DEADLINE_COUNTED_MICROS = 3_000_000;  // a longer one puts off the kill no further
    // What comes on a connection that is ended in order is read and dropped for so long, unless its client closes before.
    private static final long LINGER_MILLIS = 2000;
    /** Hundreds of connections may each hold a read and a write of this size. */
    static final WriteBufferWaterMark WRITE_SIZES = new WriteBufferWaterMark(16 << 10, 32 << 10);
    private static final long IDLE_MICROS_MOST = 10_000_000;  // connections that nobody asks on any more are not kept for good
    private static final long SWEEP_SPAN_MICROS = LoopMonitor.CHECK_INTERVAL_MICROS;
    // So much may a host be told beyond what is left to the client; the platform's slack is 0.15 s.
    private static final long QUEUED_SLACK_MICROS = 50_000;
    // A drain has 4 s to leave no client here. New connections come until the front has heard: answers tell clients to
    // leave from then on, and what nobody asks on by the second moment is closed.
    private static final long DRAIN_CLOSING_MILLIS = 500;
    private static final long DRAIN_IDLE_MILLIS = 1500;
    private static final long DRAINED_IDLE_MICROS_MOST = 250_000;
    private static final String TRACE = "X-Trace-Id";
    private static final String REPEAT_KEY = "Idempotency-Key";
    private static final String EXPIRES = HostConnectionPool.EXPIRES_HEADER;
    // Two of one of these would mean one thing here and may mean another at a host.
    private static final List<String> ONCE = List.of(TRACE, REPEAT_KEY, EXPIRES, "X-Qos", "X-Customer", "X-Object");

    private final EventLoop loop;
    private final Gateway gateway;
    private final Lifecycle life;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private final ConnectionLimit<Connection> connections;
    private final ReadAhead.Group ahead = new ReadAhead.Group(AHEAD_BYTES_MOST);
    private final Set<String> open = new HashSet<>();  // the ids of requests that are not answered yet
    private Listener server;
    private boolean sweeping;
    private boolean accepting = true;
    private boolean shared;  // the listening socket: a successor accepts from it too
    private boolean closing;  // each answer is the last on its connection
    private boolean drained;  // nobody should be here any more
    private Future<?> drain;
    private Runnable stopped;

    /** Holds about {@code most} connections. */
    ClientSide(EventLoop loop, Gateway gateway, Settings settings, int most, Lifecycle life) {
        this.loop = loop;
        this.gateway = gateway;
        this.life = life;
        connections = new ConnectionLimit<>(loop, most, this::acceptMore,
                () -> gateway.tally().increment(GatewayMetrics.Counter.CLIENTS_PUSHED_OUT));
        settings.classes().forEach(type -> classes.put(type.name(), type));
        settings.tenants().stream().map(Tenant::name).forEach(tenants::add);
    }

    Gateway gateway() {
        return gateway;
    }

    /** Whether nothing is held that clients have sent ahead of its turn. */
    boolean holdsNothing() {
        return ahead.empty();
    }

    InetSocketAddress address() {
        return server.localAddress();
    }

    ChannelFuture listen(InetSocketAddress at) {
        return listening(bootstrap().channelFactory(() -> new Listener(gateway::now, this::acceptFailed, this::accepted))
                .bind(at));
    }

    /** Accepts from a socket that others listen on as well, before and after this gateway. */
    ChannelFuture accept(ServerSocketChannel passed) {
        shared = true;
        return listening(bootstrap().channelFactory(() -> new Listener(passed, gateway::now, this::acceptFailed, this::accepted))
                .register());
    }

    /** A try that failed has no listener, and may be followed by another. */
    private ChannelFuture listening(ChannelFuture begun) {
        if (begun.channel() instanceof Listener listener) {
            server = listener;
        }
        if (!sweeping) {
            sweeping = true;
            Periodic.every(loop, SWEEP_SPAN_MICROS, this::closeOverdue, gateway::log);
        }
        return begun;
    }

    private void acceptMore(boolean wanted) {
        server.accept(wanted && accepting);
    }

    private void accepted(long begunAt) {
        gateway.monitor().taskEnded(LoopMonitor.Task.ACCEPT, begunAt);
    }

    private void acceptFailed(Exception cause) {
        gateway.tally().increment(GatewayMetrics.Counter.ACCEPTS_FAILED);
        gateway.events().add(EventLog.Event.ACCEPT_FAILED, "cause", cause);
    }

    static AdaptiveRecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(256, 2048, 16 << 10);
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap().group(loop)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadAhead.sizes())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_SIZES)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(connection.reading,
                                new MonitoredReads(gateway.monitor(), LoopMonitor.Task.CLIENT_READ), connection.requests,
                                new HttpResponseEncoder(), connection.assembler, new WriteTimeoutHandler(WRITE_SECONDS), connection);
                    }
                });
    }

    /** Hears of a standby and of its end; on the loop, each time that either was asked for. */
    void drainOrNot() {
        if (life.state() == Lifecycle.State.STANDBY && drain == null) {
            gateway.log("standby");
            drain = loop.schedule(() -> {
                closing = true;
                drain = loop.schedule(() -> {
                    drained = true;
                    closeIdle();
                }, DRAIN_IDLE_MILLIS - DRAIN_CLOSING_MILLIS, TimeUnit.MILLISECONDS);
            }, DRAIN_CLOSING_MILLIS, TimeUnit.MILLISECONDS);
        } else if (life.state() == Lifecycle.State.ACTIVE && drain != null) {
            gateway.log("active");
            drain.cancel(false);
            drain = null;
            closing = false;
            drained = false;
        }
    }

    /** Goes on serving for a moment, then finishes what was taken and closes; {@code then} runs once all is answered. */
    void stop(Runnable then) {
        life.stop();
        if (server == null) {  // so early that nobody can have come
            then.run();
            return;
        }
        if (drain != null) {
            drain.cancel(false);
        }
        long longest = classes.values().stream().mapToLong(RequestClass::deadline).max().orElse(0);
        gateway.answerBy(gateway.now() + stopAnswered(longest));
        if (shared) {
            // Whoever comes next is the successor's. Not closed: the virtual machine would lead the log to nowhere.
            closing = true;
            accepting = false;
            server.accept(false);
            gateway.retire();
        } else {
            loop.schedule(() -> server.closeBehindTheLast(connections.room()), STOP_ACCEPTING_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        loop.schedule(() -> {
            closing = true;
            closeIdle();
            stopped = then;
            checkStopped();
        }, stopServing(longest), TimeUnit.MICROSECONDS);
        loop.schedule(() -> connections.resting().forEach(Connection::end), stopAnswered(longest),
                TimeUnit.MICROSECONDS);
    }

    /** From the stop until all is answered: before the kill, which comes 0.7 s and the longest deadline after it. */
    static long stopAnswered(long longestDeadline) {
        return STOP_ANSWERED_MICROS + Math.min(longestDeadline, DEADLINE_COUNTED_MICROS);
    }

    /** From the stop until connections close, after which nothing more is taken: what came last has a third left. */
    static long stopServing(long longestDeadline) {
        return Math.min(STOP_SERVING_MICROS_MOST, stopAnswered(longestDeadline) * 2 / 3);
    }

    /** Not those that are sending a request: it is answered, and then they close. */
    private void closeIdle() {
        connections.resting().stream().filter(connection -> !connection.sending()).forEach(Connection::end);
    }

    private void closeOverdue() {
        LoopMonitor monitor = gateway.monitor();
        monitor.check();
        long now = monitor.taskStarted();
        if (server != null) {
            server.lookUnwatched();
        }
        connections.all().forEach(connection -> connection.closeOverdue(now));
        connections.keep();  // whose bytes have been looked at since
        monitor.taskEnded(LoopMonitor.Task.SWEEP, now);
    }

    private void checkStopped() {
        if (stopped != null && connections.size() == 0) {
            stopped.run();
        }
    }

    /** Why a connection ended before all that was read on it had its answer. */
    private enum CloseReason {
        /** The client ended it, or it broke. */
        CLIENT, REQUEST_TOO_SLOW, REQUEST_BROKEN, ANSWER_BROKEN, ANSWER_NOT_TAKEN, MADE_ROOM, FAULT
    }

    private record Arrived(FullHttpRequest message, Relay rest, long at) {

        /** Nobody takes it. */
        private void drop() {
            message.release();
            if (rest != null) {
                rest.abandon();
            }
        }
    }

    /** Reads requests. */
    private static final class Requests extends HttpRequestDecoder {

        /** Whether there are bytes of which no part of a request has come yet. */
        boolean midway() {
            return actualReadableBytes() > 0;
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<Assembler.Part>
            implements Gateway.Client, ConnectionLimit.Held {

        private final Channel channel;
        private final ReadAhead reading = new ReadAhead(ahead, this::departureMatters, gateway::now);
        private final Requests requests = new Requests();
        private final Assembler assembler = new Assembler();
        private final Arrival arrival = new Arrival();
        private final Queue<Arrived> waiting = new ArrayDeque<>();
        private FullHttpRequest current;
        private Relay currentRest;  // of its body, null where it came whole
        private Relay coming;  // the rest of the body that is being read, the current request's or a later one's
        private Relay going;  // the rest of the answer that is being written
        private boolean expects;  // the request that is coming waits to be asked for its body
        private Gateway.Exchange exchange;
        private String id;
        private boolean read;
        private boolean asked;  // a request of it has been taken
        private boolean over;  // shut for writing: nothing is taken any more
        private CloseReason reason = CloseReason.CLIENT;
        private Throwable failure;  // of a read or write
        private long idleSince = gateway.now();

        Connection(Channel channel) {
            this.channel = channel;
        }

        /** Requests wait in their order while there are enough. */
        private void pace() {
            boolean takes = waiting.size() <= PIPELINED_REQUESTS_MOST && (coming == null || !coming.full());
            if (arrival.pause(!takes, gateway.now())) {
                reading.pause(!takes);
            }
        }

        /** Whether anything could yet be sent on for the client: all but a body that is on its way to a host already, and
            behind which nothing can have come. */
        private boolean departureMatters() {
            return exchange == null || !exchange.relays() || coming != currentRest;
        }

        @Override
        public boolean sending() {
            return arrival.begun() || unread();
        }

        @Override
        public boolean unread() {
            return reading.holds();
        }

        @Override
        public void close() {
            close(CloseReason.MADE_ROOM);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.came(this);
            gateway.tally().increment(GatewayMetrics.Counter.CLIENTS_CAME);
            gateway.tally().recordPeak(GatewayMetrics.Peak.CLIENT_CONNECTIONS, connections.size());
        }

        /** Without a word: a 408 might cross a request, and be taken for its answer. */
        private void closeOverdue(long now) {
            boolean asked = !connections.silent(this);
            long idleMost = drained ? DRAINED_IDLE_MICROS_MOST : asked ? IDLE_MICROS_MOST : Arrival.HEAD_IN_MICROS;
            if (over) {
                return;  // it closes by itself
            }
            reading.pace();
            reading.readUnwatched();
            if (!sending() && current == null && now - idleSince > idleMost) {
                end();
            } else if (arrival.begun() && (current == null || coming != null)
                    && arrival.overdue(now, asked ? 0 : idleSince, assembler.bytes())) {
                close(CloseReason.REQUEST_TOO_SLOW);  // a part of a request is owed nothing
            }
        }

        /** Ends the connection in order, by a lingering close: a half-close behind all that has been written, and what the
            client still sends is read and dropped for a while. A close over unread bytes would be a reset, by which the
            client may lose the answer before it. What is read from now on is not taken: the client hears that it ended. */
        @Override
        public void end() {
            if (over || !channel.isActive()) {
                return;
            }
            over = true;
            drop();
            reading.drop();
            ((DuplexChannel) channel).shutdownOutput();
            connections.lingers(this);
            loop.schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void drop() {
            waiting.forEach(Arrived::drop);
            waiting.clear();
        }

        /** Ends it at once, for a reason that is the gateway's. */
        private void close(CloseReason why) {
            reason = why;
            channel.close();
        }

        private void noteEnd() {
            if (exchange == null && waiting.isEmpty()) {
                return;
            }
            if (reason != CloseReason.CLIENT) {
                gateway.tally().increment(GatewayMetrics.Counter.UNANSWERED);
            }
            gateway.events().add(EventLog.Event.CLIENT_GONE, "trace", id, "reason", reason, "cause", failure, "waiting",
                    waiting.size());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            noteEnd();
            connections.gone(this);
            open.remove(id);
            drop();
            if (exchange != null) {
                exchange.departed();
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
        protected void channelRead0(ChannelHandlerContext context, Assembler.Part part) {
            if (over) {  // read together with what it was ended on
                new Arrived((FullHttpRequest) part.message(), part.rest(), 0).drop();
                return;
            }
            read = true;
            connections.asked(this);
            coming = part.rest();
            if (coming == null) {
                expects = false;
                arrival.end();
            } else {
                arrival.begin(gateway.now());
                coming.onPace(this::pace);
            }
            waiting.add(new Arrived((FullHttpRequest) part.message(), coming, gateway.now()));
            pace();
            if (current == null) {
                next();
            }
        }

        /** What was read without a whole request coming of it is a part of one, also behind a whole one. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            arrival.read(gateway.now());
            if (coming != null && coming.over()) {
                boolean whole = coming.whole();
                coming = null;
                arrival.end();
                if (!whole) {
                    close(CloseReason.REQUEST_BROKEN);
                }
            } else if (!over && (!read || requests.midway() || assembler.holds())) {
                arrival.begin(gateway.now());
            }
            read = false;
        }

        /** A client that waits to be asked for its body is asked in its turn, unless it is not to be sent. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event == TcpChannel.WriteDeferred.INSTANCE) {
                gateway.tally().increment(GatewayMetrics.Counter.WRITES_DEFERRED);
                gateway.events().add(EventLog.Event.WRITE_DEFERRED, "trace", id);
            }
            if (event == Assembler.Event.EXPECTS) {
                expects = true;
                askForBody();
            }
        }

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
                going.goOn();
            }
        }

        private void next() {
            Arrived arrived = waiting.poll();
            pace();
            if (arrived == null && stopped != null && !sending()) {
                end();
                return;
            }
            if (arrived == null) {
                connections.rests(this);
                idleSince = gateway.now();
                askForBody();
                return;
            }
            connections.asked(this);
            current = arrived.message;
            currentRest = arrived.rest;
            askForBody();
            try {
                begin(arrived);
            } finally {
                arrived.message.release();
            }
        }

        private void begin(Arrived arrived) {
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
                        : life.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, false);
            } else if (path.equals("/api") || path.startsWith("/api/")) {
                take(message, gateway.now() - arrived.at);
            } else {
                plain(HttpResponseStatus.NOT_FOUND, false);
            }
        }

        /** A client may name the whole address; hosts are asked for the path. */
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
                plain(HttpResponseStatus.BAD_REQUEST, true);  // hosts that pass a body over would read it as a request
            } else if (!message.method().equals(HttpMethod.GET) && !message.method().equals(HttpMethod.POST)
                    || !bad && message.method().equals(HttpMethod.GET) != (type.idempotency() == Idempotency.SAFE)) {
                plain(HttpResponseStatus.METHOD_NOT_ALLOWED, false);
            } else if (bad) {
                plain(HttpResponseStatus.BAD_REQUEST, false);
            } else if (!open.add(trace)) {
                plain(HttpResponseStatus.CONFLICT, false);  // whose answer would it be?
            } else {
                id = trace;
                long left = Math.min(expires * 1000, type.deadline()) - waited - queued();
                long work = Math.max(0, number(headers.get("X-Size-Hint")));
                Gateway.Exchange taken = gateway.take(this, message, currentRest, type.name(), tenant,
                        key(headers.get("X-Object")), left, "1".equals(headers.get("X-Second-Try")), work);
                if (taken != null) {  // or it has been answered, and the next one may have been taken already
                    exchange = taken;
                }
            }
        }

        /** How much of the time of a connection's first request may have passed in the system's queue: hosts must not be told
            more than its client has left, but for a slack of which a part is kept for hold-ups. */
        private long queued() {
            if (asked) {
                return 0;
            }
            asked = true;
            return Math.max(0, ((TcpChannel) channel).mayHaveWaited() - QUEUED_SLACK_MICROS);
        }

        /** Whether it goes on as it came: other than visible ASCII would be changed on the way. */
        private static boolean passable(String text) {
            return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c <= '~');
        }

        /** The same at every gateway, whatever the form of the name. */
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

        /** Of what is no number, or more than fits: -1. */
        private static long number(String text) {
            try {
                return text == null ? -1 : Integer.parseInt(text.strip());
            } catch (NumberFormatException e) {
                return -1;
            }
        }

        /** Where reading pauses for want of memory there is nothing to look at. */
        @Override
        public boolean present() {
            ((TcpChannel) channel).readNow();
            return channel.isActive();
        }

        @Override
        public void served(FullHttpResponse answer) {
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

        /** With the length where it is told; else in chunks, or up to the connection's end for a client without them. */
        @Override
        public void begun(FullHttpResponse answer, Relay rest, Consumer<Boolean> passed) {
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
                if (!told && !chunks) {  // an orderly close would pass for the answer's end
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                }
                close(CloseReason.ANSWER_BROKEN);
            });
        }

        /** Whole seconds, as HTTP has them. */
        @Override
        public void refused(long retryAfter) {
            FullHttpResponse response = empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Math.max(1, (retryAfter + 999_999) / 1_000_000));
            write(response, false);
        }

        @Override
        public void failed(boolean late) {
            plain(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, false);
        }

        private void plain(HttpResponseStatus status, boolean close) {
            write(empty(status), close);
        }

        private static FullHttpResponse empty(HttpResponseStatus status) {
            return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        }

        private boolean keeps() {
            boolean more = !closing || !waiting.isEmpty() || unread();
            return more && HttpUtil.isKeepAlive(current) && (currentRest == null || currentRest.whole());
        }

        private void write(FullHttpResponse response, boolean close) {
            if (going != null) {  // there is a part of an answer out already
                response.release();
                close(CloseReason.ANSWER_BROKEN);
                return;
            }
            boolean keep = !close && keeps();
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keep);
            channel.writeAndFlush(response).addListener(done -> answered(keep && done.isSuccess()));
        }

        /** The answer is out, be its request whole by then or not. */
        private void answered(boolean keep) {
            exchange = null;
            open.remove(id);
            id = null;
            if (currentRest != null) {
                currentRest.abandon();  // it has been written, or nobody takes it
            }
            current = null;
            currentRest = null;
            if (keep) {
                next();
            } else {
                end();
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
