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
final class Load {

    /** A class of requests: its share of all requests, whether they carry an idempotency key, whether they are safe
        (GET). */
    private record Type(String name, double share, boolean keyed, boolean safe) { }

    private static final List<Type> TYPES = List.of(new Type("leitura", 0.6, true, false),
            new Type("fechamento", 0.2, false, false), new Type("consulta", 0.2, false, true));
    /** The deadline of requests if the plan sets none. */
    static final int DEADLINE_MILLIS = 670;
    /** A request that has no response for so long after its deadline counts as unanswered. */
    static final int GIVE_UP_MILLIS = 8000;
    private static final int READY_EVERY_MILLIS = 200;
    private static final int READY_WITHIN_MILLIS = 1500;
    private static final int ANSWER_MOST = 128 << 10;

    private final EventLoop loop;
    private final History history;
    private final Dice dice;
    private final double rate;
    private final RigPlan.Load plan;
    private final int deadlineMillis;
    private final Map<String, Target> targets = new HashMap<>();
    private final CountDownLatch over = new CountDownLatch(1);
    private long until;
    private long next;  // microseconds on the history's clock
    private long sent;
    private int out;
    private boolean closed;

    Load(EventLoop loop, Map<String, InetSocketAddress> gateways, double rate, RigPlan.Load plan, long seed,
            History history) {
        this.loop = loop;
        this.history = history;
        this.rate = rate;
        this.plan = plan;
        deadlineMillis = plan.deadlineMs(seed);
        dice = new Dice(seed, "load");
        gateways.forEach((name, at) -> targets.put(name, new Target(name, at)));
    }

    /** Waits until all gateways report ready; false on timeout. */
    boolean ready(int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        loop.execute(() -> targets.values().forEach(Target::look));
        while (System.nanoTime() < end) {
            if (loop.submit(() -> targets.values().stream().allMatch(target -> target.ready)).syncUninterruptibly().getNow()) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    /** Starts to send requests. */
    void start(long micros) {
        loop.execute(() -> {
            next = History.now();
            until = next + micros;
            tick();
        });
    }

    /** Waits until all requests have ended, and closes the connections. */
    void await() throws InterruptedException {
        over.await();
        loop.submit(() -> {
            closed = true;
            targets.values().forEach(Target::close);
        }).syncUninterruptibly();
    }

    private void tick() {
        long now = History.now();
        while (next <= now && next < until) {
            new Shot(next).send(0);
            next += Math.round(dice.exponential(1e6 / rate));
        }
        if (next < until) {
            loop.schedule(this::tick, Math.max(1, next - now), TimeUnit.MICROSECONDS);
        } else if (out == 0) {
            over.countDown();
        } else {
            loop.schedule(this::tick, 20, TimeUnit.MILLISECONDS);
        }
    }

    /** A random gateway among those that are ready. One that is not may still be chosen for its idle connections,
        unless a new connection is asked for. Null if there is none. */
    private Target choose(boolean fresh) {
        List<Target> in = targets.values().stream().filter(target -> target.ready || !fresh && target.hasKept()).toList();
        return in.isEmpty() ? null : in.get(dice.below(in.size()));
    }

    /** A gateway with its readiness and its idle connections. */
    private final class Target {

        private final String name;
        private final InetSocketAddress at;
        private final Deque<Channel> idle = new ArrayDeque<>();
        private boolean ready;

        Target(String name, InetSocketAddress at) {
            this.name = name;
            this.at = at;
        }

        /** Checks whether it is ready, and schedules the next check. */
        void look() {
            if (closed) {
                return;
            }
            boolean[] yes = {false};
            ChannelFuture dialled = dial(new SimpleChannelInboundHandler<FullHttpResponse>() {
                @Override
                protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
                    yes[0] = answer.status().code() == 200;
                    context.close();
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    context.close();
                }
            });
            Channel channel = dialled.channel();
            dialled.addListener(done -> {
                if (done.isSuccess()) {
                    FullHttpRequest ask = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/ready");
                    ask.headers().set(HttpHeaderNames.HOST, "front");
                    channel.writeAndFlush(ask);
                }
            });
            loop.schedule(() -> channel.close(), READY_WITHIN_MILLIS, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(ended -> {
                ready = yes[0];
                loop.schedule(this::look, READY_EVERY_MILLIS, TimeUnit.MILLISECONDS);
            });
        }

        ChannelFuture dial(SimpleChannelInboundHandler<FullHttpResponse> handler) {
            return new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 3000)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(ANSWER_MOST), handler);
                        }
                    }).connect(at);
        }

        boolean hasKept() {
            idle.removeIf(channel -> !channel.isActive());
            return !idle.isEmpty();
        }

        /** The idle connection that was used last, or null if there is none. */
        Channel kept() {
            return hasKept() ? idle.poll() : null;
        }

        void close() {
            idle.forEach(Channel::close);
        }
    }

    /** One request, with the attempts to send it. */
    private final class Shot {

        private final long due;
        private final Type type;
        private final String trace;
        private final String key;
        private Target target;
        private String before;  // if it was sent again: the gateway that closed the connection without a response
        private long cutAt;  // when that connection was closed
        private long sentAt;  // the last time that it was sent; its deadline counts from then
        private boolean written;
        private boolean over;
        private boolean last;  // sent on a new connection, which is closed after it
        private boolean reused;  // its connection has carried a response before
        private Channel channel;

        Shot(long due) {
            this.due = due;
            double at = dice.unit();
            type = at < TYPES.get(0).share ? TYPES.get(0) : at < TYPES.get(0).share + TYPES.get(1).share ? TYPES.get(1)
                    : TYPES.get(2);
            trace = String.format("%016x", ++sent);
            key = String.format("%032x", sent);
            out++;
            loop.schedule(() -> end("unanswered", 0, null), deadlineMillis + GIVE_UP_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Sends it after so many earlier tries. A try whose connection failed, or was closed while it was reused, is
            repeated up to three times. */
        void send(int tries) {
            last = plan.fresh() > 0 && dice.unit() < plan.fresh();
            target = choose(last);
            if (target == null || tries > 3) {
                end("nobody", 0, null);
                return;
            }
            Channel kept = last ? null : target.kept();
            if (kept != null) {
                kept.pipeline().get(Answers.class).take(this, true);
                return;
            }
            Answers answers = new Answers();
            ChannelFuture dialled = target.dial(answers);
            dialled.addListener(done -> {
                if (done.isSuccess()) {
                    answers.take(this, false);
                } else if (!over) {
                    target.ready = false;
                    send(tries + 1);
                }
            });
        }

        void write(Channel to, boolean used) {
            channel = to;
            reused = used;
            ByteBuf body = type.safe ? Unpooled.EMPTY_BUFFER : Unpooled.copiedBuffer("x".repeat(200), StandardCharsets.UTF_8);
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, type.safe ? HttpMethod.GET
                    : HttpMethod.POST, "/api", body);
            request.headers().set(HttpHeaderNames.HOST, "service.internal").set("X-Trace-Id", trace)
                    .set("X-Qos", type.name).set("X-Object", Integer.toHexString(dice.below(plan.keys())))
                    .set("X-Expires-In-Ms", deadlineMillis);
            if (type.keyed) {
                request.headers().set("Idempotency-Key", key);
            }
            if (!type.safe) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            sentAt = History.now();
            to.writeAndFlush(request).addListener(done -> written = done.isSuccess());
            if (plan.leave() > 0 && dice.unit() < plan.leave()) {
                loop.schedule(this::leave, dice.below(deadlineMillis), TimeUnit.MILLISECONDS);
            }
        }

        /** Closes the connection as a client that leaves, unless the response has come. */
        private void leave() {
            if (!over) {
                end("left", 0, null);
                channel.close();
            }
        }

        /** The connection was closed before a complete response. */
        void cut(boolean reused) {
            if (over) {
                return;
            }
            if (reused || !written) {
                before = target.name;
                cutAt = History.now();
                send(1);
            } else {
                end("lost", 0, null);
            }
        }

        void answered(FullHttpResponse answer) {
            int status = answer.status().code();
            String text = answer.content().toString(StandardCharsets.UTF_8);
            String outcome = status == 200 ? text.equals(StandInHost.body(trace)) ? "served" : "foreign"
                    : status == 429 || status == 503 ? "refused" : "failed";
            end(outcome, status, answer.headers().get("Retry-After"));
        }

        private void end(String outcome, int status, String retryAfter) {
            if (over) {
                return;
            }
            over = true;
            out--;
            Map<String, Object> facts = new HashMap<>();
            facts.put("outcome", outcome);
            facts.put("gateway", target == null ? "" : target.name);
            facts.put("class", type.name);
            facts.put("trace", trace);
            facts.put("status", status);
            facts.put("deadline_ms", deadlineMillis);
            if (sentAt > 0) {
                facts.put("sent_at", sentAt);
            }
            facts.put("reused", reused);
            if (before != null) {
                facts.put("before", before);
                facts.put("cut_at", cutAt);
            }
            if (retryAfter != null) {
                facts.put("retry_after", retryAfter);
            }
            long now = History.now();
            history.add(due, now, "clients", "request", facts);
            if (outcome.equals("unanswered") && channel != null) {
                channel.close();
            }
        }
    }

    /** Handles the responses of one connection, which carries one request at a time. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Shot shot;
        private boolean reused;
        private Channel channel;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void take(Shot next, boolean used) {
            shot = next;
            reused = used;
            next.write(channel, used);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Shot done = shot;
            shot = null;
            if (done == null) {
                context.close();
                return;
            }
            done.answered(answer);
            if (HttpUtil.isKeepAlive(answer) && !closed && !done.last) {
                done.target.idle.push(context.channel());
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (shot != null) {
                Shot lost = shot;
                shot = null;
                lost.cut(reused);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
