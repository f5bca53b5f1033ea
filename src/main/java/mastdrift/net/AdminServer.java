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
    private static final long CONNECTION_TIMEOUT_MILLIS = 1500;  // a connection is closed after that time
    private static final int MAX_BODY_BYTES = 4 << 10;  // no request needs a body

    private final EventLoop loop;
    private final Lifecycle lifecycle;
    private final GatewayMetrics metrics;
    private final Set<Channel> connections = new LinkedHashSet<>();  // oldest first
    private Channel serverChannel;

    private AdminServer(EventLoop loop, Lifecycle lifecycle, GatewayMetrics metrics) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.metrics = metrics;
    }

    /** Starts to listen; throws IllegalArgumentException for an address that can't be listened on. */
    static AdminServer start(InetSocketAddress address, EventLoop loop, Lifecycle lifecycle, GatewayMetrics metrics) {
        AdminServer admin = new AdminServer(loop, lifecycle, metrics);
        ChannelFuture bound = new ServerBootstrap().group(loop)
                .channelFactory(() -> new TcpServerChannel(() -> 0, failure -> { }))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)  // a pool costs MBs a thread
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        admin.connectionAccepted(channel);
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_BODY_BYTES, true),
                                admin.new RequestHandler());
                    }
                }).bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("no listening for operators on " + address + ": "
                    + bound.cause().getMessage(), bound.cause());
        }
        admin.serverChannel = bound.channel();
        return admin;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    private void connectionAccepted(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        loop.schedule(() -> channel.close(), CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Answers one request and closes the connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (answered) {
                return;
            }
            answered = true;
            FullHttpResponse response = request.decoderResult().isSuccess() ? route(request)
                    : textResponse(HttpResponseStatus.BAD_REQUEST, "not a call\n");
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private FullHttpResponse route(FullHttpRequest request) {
        return switch (new QueryStringDecoder(request.uri()).rawPath()) {
            case "/status" -> respondIfMethod(request, HttpMethod.GET, this::statusResponse);
            case "/status/metrics" -> respondIfMethod(request, HttpMethod.GET, this::metricsResponse);
            case "/standby" -> respondIfMethod(request, HttpMethod.POST,
                    () -> standbyResponse(lifecycle.setStandby(true)));
            case "/active" -> respondIfMethod(request, HttpMethod.POST,
                    () -> standbyResponse(lifecycle.setStandby(false)));
            default -> textResponse(HttpResponseStatus.NOT_FOUND, "no such call\n");
        };
    }

    /** Carries out a request and returns its response. */
    private interface ResponseSupplier {
        FullHttpResponse get();
    }

    private static FullHttpResponse respondIfMethod(FullHttpRequest request, HttpMethod method,
            ResponseSupplier supplier) {
        if (request.method().equals(method)) {
            return supplier.get();
        }
        FullHttpResponse response = textResponse(HttpResponseStatus.METHOD_NOT_ALLOWED, "only " + method + "\n");
        response.headers().set(HttpHeaderNames.ALLOW, method.name());
        return response;
    }

    private FullHttpResponse statusResponse() {
        return textResponse(lifecycle.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                stateText());
    }

    private FullHttpResponse metricsResponse() {
        FullHttpResponse response = textResponse(HttpResponseStatus.OK, MetricsExposition.format(metrics));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, MetricsExposition.CONTENT_TYPE);
        return response;
    }

    /** Returns the state after a change of standby, which is refused only while the gateway stops. */
    private FullHttpResponse standbyResponse(boolean accepted) {
        return textResponse(accepted ? HttpResponseStatus.OK : HttpResponseStatus.CONFLICT, stateText());
    }

    private String stateText() {
        return lifecycle.state().name().toLowerCase(Locale.ROOT) + "\n";
    }

    private static FullHttpResponse textResponse(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return response;
    }
}
