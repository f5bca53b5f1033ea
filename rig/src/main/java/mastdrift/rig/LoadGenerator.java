package mastdrift.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mastdrift.lab.Dice;

/** An open-loop load generator: the seed decides when requests are sent, whether earlier ones were answered or not, and
    a request's latency counts from when it was due. Requests are spread at random over the gateways that report ready,
    as by a front-end load balancer. Confined to its event loop. */
final class LoadGenerator {

    /** A class of requests: its share of all requests, whether they carry an idempotency key, whether they are safe
        (GET). */
    private record RequestType(String name, double share, boolean keyed, boolean safe) { }

    private static final List<RequestType> TYPES = List.of(new RequestType("leitura", 0.6, true, false),
            new RequestType("fechamento", 0.2, false, false), new RequestType("consulta", 0.2, false, true));
    /** The deadline of requests if the plan sets none. */
    static final int DEADLINE_MILLIS = 670;
    /** A request that has no response for so long after its deadline counts as unanswered. */
    static final int UNANSWERED_AFTER_DEADLINE_MILLIS = 8000;
    private static final int READY_CHECK_INTERVAL_MILLIS = 200;
    private static final int READY_CHECK_TIMEOUT_MILLIS = 1500;
    private static final int MAX_RESPONSE_BYTES = 128 << 10;

    private final EventLoop loop;
    private final History history;
    private final Dice dice;
    private final double rate;
    private final RigPlan.Load plan;
    private final int deadlineMillis;
    private final Map<String, Gateway> gateways = new HashMap<>();
    private final CountDownLatch finished = new CountDownLatch(1);
    // Microseconds on the history's clock.
    private long stopAt;
    private long nextSendAt;
    private long requestCount;
    private int openRequests;
    private boolean closed;

    LoadGenerator(EventLoop loop, Map<String, InetSocketAddress> addresses, double rate, RigPlan.Load plan, long seed,
            History history) {
        this.loop = loop;
        this.history = history;
        this.rate = rate;
        this.plan = plan;
        deadlineMillis = plan.deadlineMillis(seed);
        dice = new Dice(seed, "load");
        addresses.forEach((name, address) -> gateways.put(name, new Gateway(name, address)));
    }

    /** Waits until all gateways report ready; false on timeout. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        loop.execute(() -> gateways.values().forEach(Gateway::checkReady));
        while (System.nanoTime() < deadline) {
            if (loop.submit(() -> gateways.values().stream().allMatch(gateway -> gateway.ready)).syncUninterruptibly()
                    .getNow()) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    /** Starts to send requests. */
    void start(long durationMicros) {
        loop.execute(() -> {
            nextSendAt = History.now();
            stopAt = nextSendAt + durationMicros;
            sendDue();
        });
    }

    /** Waits until all requests have ended, and closes the connections. */
    void awaitCompletion() throws InterruptedException {
        finished.await();
        loop.submit(() -> {
            closed = true;
            gateways.values().forEach(Gateway::close);
        }).syncUninterruptibly();
    }

    private void sendDue() {
        long now = History.now();
        while (nextSendAt <= now && nextSendAt < stopAt) {
            new Request(nextSendAt).send(0);
            nextSendAt += Math.round(dice.exponential(1e6 / rate));
        }
        if (nextSendAt < stopAt) {
            loop.schedule(this::sendDue, Math.max(1, nextSendAt - now), TimeUnit.MICROSECONDS);
        } else if (openRequests == 0) {
            finished.countDown();
        } else {
            loop.schedule(this::sendDue, 20, TimeUnit.MILLISECONDS);
        }
    }

    /** A random gateway among those that are ready. One that is not may still be chosen for its idle connections,
        unless a new connection is asked for. Null if there is none. */
    private Gateway chooseGateway(boolean newConnection) {
        List<Gateway> available = gateways.values().stream()
                .filter(gateway -> gateway.ready || !newConnection && gateway.hasIdleConnection()).toList();
        return available.isEmpty() ? null : available.get(dice.below(available.size()));
    }

    /** A gateway with its readiness and its idle connections. */
    private final class Gateway {

        private final String name;
        private final InetSocketAddress address;
        private final Deque<Channel> idleConnections = new ArrayDeque<>();
        private boolean ready;

        Gateway(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
        }

        /** Checks whether it is ready, and schedules the next check. */
        void checkReady() {
            if (closed) {
                return;
            }
            boolean[] isReady = {false};
            ChannelFuture connecting = connect(new SimpleChannelInboundHandler<FullHttpResponse>() {
                @Override
                protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
                    isReady[0] = response.status().code() == 200;
                    context.close();
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    context.close();
                }
            });
            Channel channel = connecting.channel();
            connecting.addListener(done -> {
                if (done.isSuccess()) {
                    FullHttpRequest probe = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/ready");
                    probe.headers().set(HttpHeaderNames.HOST, "front");
                    channel.writeAndFlush(probe);
                }
            });
            loop.schedule(() -> channel.close(), READY_CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(ended -> {
                ready = isReady[0];
                loop.schedule(this::checkReady, READY_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            });
        }

        ChannelFuture connect(SimpleChannelInboundHandler<FullHttpResponse> handler) {
            return new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 3000)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(),
                                    new HttpObjectAggregator(MAX_RESPONSE_BYTES), handler);
                        }
                    }).connect(address);
        }

        boolean hasIdleConnection() {
            idleConnections.removeIf(channel -> !channel.isActive());
            return !idleConnections.isEmpty();
        }

        /** The idle connection that was used last, or null if there is none. */
        Channel takeIdleConnection() {
            return hasIdleConnection() ? idleConnections.poll() : null;
        }

        void close() {
            idleConnections.forEach(Channel::close);
        }
    }

    /** One request, with the attempts to send it. */
    private final class Request {

        private final long dueAt;
        private final RequestType type;
        private final String trace;
        private final String key;
        private Gateway gateway;
        private String retriedFrom;  // if it was sent again: the gateway that closed the connection without a response
        private long connectionLostAt;  // when that connection was closed
        private long sentAt;  // the last time that it was sent; its deadline counts from then
        private boolean written;
        private boolean ended;
        private boolean closesConnection;  // sent on a new connection, which is closed after it
        private boolean reusedConnection;  // its connection has carried a response before
        private Channel channel;

        Request(long dueAt) {
            this.dueAt = dueAt;
            double fraction = dice.unit();
            type = fraction < TYPES.get(0).share ? TYPES.get(0) : fraction < TYPES.get(0).share + TYPES.get(1).share
                    ? TYPES.get(1) : TYPES.get(2);
            trace = String.format("%016x", ++requestCount);
            key = String.format("%032x", requestCount);
            openRequests++;
            loop.schedule(() -> finish("unanswered", 0, null), deadlineMillis + UNANSWERED_AFTER_DEADLINE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        /** Sends it after so many earlier tries. A try whose connection failed, or was closed while it was reused, is
            repeated up to three times. */
        void send(int tries) {
            closesConnection = plan.newConnectionShare() > 0 && dice.unit() < plan.newConnectionShare();
            gateway = chooseGateway(closesConnection);
            if (gateway == null || tries > 3) {
                finish("nobody", 0, null);
                return;
            }
            Channel idleConnection = closesConnection ? null : gateway.takeIdleConnection();
            if (idleConnection != null) {
                idleConnection.pipeline().get(ResponseHandler.class).send(this, true);
                return;
            }
            ResponseHandler handler = new ResponseHandler();
            ChannelFuture connecting = gateway.connect(handler);
            connecting.addListener(done -> {
                if (done.isSuccess()) {
                    handler.send(this, false);
                } else if (!ended) {
                    gateway.ready = false;
                    send(tries + 1);
                }
            });
        }

        void write(Channel connection, boolean reused) {
            channel = connection;
            reusedConnection = reused;
            ByteBuf body = type.safe ? Unpooled.EMPTY_BUFFER
                    : Unpooled.copiedBuffer("x".repeat(200), StandardCharsets.UTF_8);
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, type.safe ? HttpMethod.GET
                    : HttpMethod.POST, "/api", body);
            request.headers().set(HttpHeaderNames.HOST, "service.internal").set("X-Trace-Id", trace)
                    .set("X-Qos", type.name).set("X-Object", Integer.toHexString(dice.below(plan.objectCount())))
                    .set("X-Expires-In-Ms", deadlineMillis);
            if (type.keyed) {
                request.headers().set("Idempotency-Key", key);
            }
            if (!type.safe) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            sentAt = History.now();
            connection.writeAndFlush(request).addListener(done -> written = done.isSuccess());
            if (plan.abandonShare() > 0 && dice.unit() < plan.abandonShare()) {
                loop.schedule(this::abandon, dice.below(deadlineMillis), TimeUnit.MILLISECONDS);
            }
        }

        /** Closes the connection as a client that leaves, unless the response has come. */
        private void abandon() {
            if (!ended) {
                finish("left", 0, null);
                channel.close();
            }
        }

        /** The connection was closed before a complete response. */
        void connectionLost(boolean reused) {
            if (ended) {
                return;
            }
            if (reused || !written) {
                retriedFrom = gateway.name;
                connectionLostAt = History.now();
                send(1);
            } else {
                finish("lost", 0, null);
            }
        }

        void responseReceived(FullHttpResponse response) {
            int status = response.status().code();
            String body = response.content().toString(StandardCharsets.UTF_8);
            String outcome = status == 200 ? body.equals(StandInHost.responseBody(trace)) ? "served" : "foreign"
                    : status == 429 || status == 503 ? "refused" : "failed";
            finish(outcome, status, response.headers().get("Retry-After"));
        }

        private void finish(String outcome, int status, String retryAfter) {
            if (ended) {
                return;
            }
            ended = true;
            openRequests--;
            Map<String, Object> facts = new HashMap<>();
            facts.put("outcome", outcome);
            facts.put("gateway", gateway == null ? "" : gateway.name);
            facts.put("class", type.name);
            facts.put("trace", trace);
            facts.put("status", status);
            facts.put("deadline_ms", deadlineMillis);
            if (sentAt > 0) {
                facts.put("sent_at", sentAt);
            }
            facts.put("reused", reusedConnection);
            if (retriedFrom != null) {
                facts.put("before", retriedFrom);
                facts.put("cut_at", connectionLostAt);
            }
            if (retryAfter != null) {
                facts.put("retry_after", retryAfter);
            }
            long now = History.now();
            history.add(dueAt, now, "clients", "request", facts);
            if (outcome.equals("unanswered") && channel != null) {
                channel.close();
            }
        }
    }

    /** Handles the responses of one connection, which carries one request at a time. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Request request;
        private boolean reused;
        private Channel channel;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void send(Request next, boolean reusedConnection) {
            request = next;
            reused = reusedConnection;
            next.write(channel, reusedConnection);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Request answered = request;
            request = null;
            if (answered == null) {
                context.close();
                return;
            }
            answered.responseReceived(response);
            if (HttpUtil.isKeepAlive(response) && !closed && !answered.closesConnection) {
                answered.gateway.idleConnections.push(context.channel());
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (request != null) {
                Request unanswered = request;
                request = null;
                unanswered.connectionLost(reused);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
