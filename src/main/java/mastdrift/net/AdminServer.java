package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** HTTP server for operators: state, metrics, standby. It takes one request for each connection. It has an event loop
    of its own, which client load doesn't delay, and few connections: at the bound the oldest one is closed, since a
    proper request takes milliseconds. */
final class AdminServer {

    /** Bound of open connections; they come out of the descriptors that the program reserves for itself. */
    static final int MAX_CONNECTIONS = 12;
    private static final long CALL_MILLIS = 1500;  // a connection is closed after that time
    private static final int BODY_BYTES_MOST = 4 << 10;  // no request needs a body

    private final EventLoop loop;
    private final Lifecycle life;
    private final GatewayMetrics tally;
    private final Set<Channel> connections = new LinkedHashSet<>();  // oldest first
    private Channel server;

    private AdminServer(EventLoop loop, Lifecycle life, GatewayMetrics tally) {
        this.loop = loop;
        this.life = life;
        this.tally = tally;
    }

    /** Starts to listen; throws IllegalArgumentException for an address that can't be listened on. */
    static AdminServer start(InetSocketAddress at, EventLoop loop, Lifecycle life, GatewayMetrics tally) {
        AdminServer admin = new AdminServer(loop, life, tally);
        ChannelFuture bound = new ServerBootstrap().group(loop)
                .channelFactory(() -> new Listener(() -> 0, failure -> { }))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)  // a pool costs MBs a thread
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        admin.came(channel);
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(BODY_BYTES_MOST, true),
                                admin.new RequestHandler());
                    }
                }).bind(at).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("no listening for operators on " + at + ": "
                    + bound.cause().getMessage(), bound.cause());
        }
        admin.server = bound.channel();
        return admin;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    private void came(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        loop.schedule(() -> channel.close(), CALL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Answers one request and closes the connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest call) {
            if (answered) {
                return;
            }
            answered = true;
            FullHttpResponse answer = call.decoderResult().isSuccess() ? answer(call)
                    : text(HttpResponseStatus.BAD_REQUEST, "not a call\n");
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private FullHttpResponse answer(FullHttpRequest call) {
        return switch (new QueryStringDecoder(call.uri()).rawPath()) {
            case "/status" -> asked(call, HttpMethod.GET, this::status);
            case "/status/metrics" -> asked(call, HttpMethod.GET, this::figures);
            case "/standby" -> asked(call, HttpMethod.POST, () -> turned(life.setStandby(true)));
            case "/active" -> asked(call, HttpMethod.POST, () -> turned(life.setStandby(false)));
            default -> text(HttpResponseStatus.NOT_FOUND, "no such call\n");
        };
    }

    /** Carries out a request and returns its response. */
    private interface Done {
        FullHttpResponse answer();
    }

    private static FullHttpResponse asked(FullHttpRequest call, HttpMethod method, Done done) {
        if (call.method().equals(method)) {
            return done.answer();
        }
        FullHttpResponse wrong = text(HttpResponseStatus.METHOD_NOT_ALLOWED, "only " + method + "\n");
        wrong.headers().set(HttpHeaderNames.ALLOW, method.name());
        return wrong;
    }

    private FullHttpResponse status() {
        return text(life.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, state());
    }

    private FullHttpResponse figures() {
        FullHttpResponse figures = text(HttpResponseStatus.OK, MetricsExposition.format(tally));
        figures.headers().set(HttpHeaderNames.CONTENT_TYPE, MetricsExposition.CONTENT_TYPE);
        return figures;
    }

    /** Returns the state after a change of standby, which is refused only while the gateway stops. */
    private FullHttpResponse turned(boolean taken) {
        return text(taken ? HttpResponseStatus.OK : HttpResponseStatus.CONFLICT, state());
    }

    private String state() {
        return life.state().name().toLowerCase(Locale.ROOT) + "\n";
    }

    private static FullHttpResponse text(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return answer;
    }
}
