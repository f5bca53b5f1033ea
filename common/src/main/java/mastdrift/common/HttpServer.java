package mastdrift.common;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A small HTTP/1.1 server without TLS, for calls between the project's own processes and by operators. A response is
    one message, or a stream of lines. */
public final class HttpServer implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int LOW_WATER_MARK_BYTES = 32 << 10;
    private static final int HIGH_WATER_MARK_BYTES = 128 << 10;

    /** Handles a request on the connection's event loop; may respond, or start a stream, later.
        An IllegalArgumentException is answered with status 400 and its message. */
    public interface Handler {
        void handle(Exchange exchange) throws Exception;
    }

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel serverChannel;

    private HttpServer(EventLoopGroup eventLoops, InetSocketAddress address, Handler handler) throws IOException {
        ChannelFuture bindFuture = new ServerBootstrap().group(eventLoops).channel(NioServerSocketChannel.class)
                .handler(new AcceptRetry())
                .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_BODY_BYTES, true), new RequestDispatcher(handler));
                    }
                }).bind(address).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException("can't listen on " + address + ": " + bindFuture.cause().getMessage(),
                    bindFuture.cause());
        }
        serverChannel = bindFuture.channel();
    }

    /** Starts a server; throws IOException with the address in its message if the address can't be bound. */
    public static HttpServer listen(EventLoopGroup eventLoops, InetSocketAddress address, Handler handler)
            throws IOException {
        return new HttpServer(eventLoops, address, handler);
    }

    /** Parses an address such as {@code 127.0.0.1:80} or {@code localhost:80}; throws IllegalArgumentException for text
        of any other form. A host name is resolved at once. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("expected address:port, not " + text, e);
        }
        throw new IllegalArgumentException("expected address:port, not " + text);
    }

    /** Returns the bound port, for servers that were started with port 0. */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        serverChannel.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    /** A complete request and the means to respond to it. */
    public static final class Exchange {

        private final ChannelHandlerContext context;
        private final boolean keepAlive;
        private final String method;
        private final QueryStringDecoder uri;
        private final io.netty.handler.codec.http.HttpHeaders headers;
        private final byte[] body;

        Exchange(ChannelHandlerContext context, FullHttpRequest request) {
            this.context = context;
            keepAlive = HttpUtil.isKeepAlive(request);
            method = request.method().name();
            uri = new QueryStringDecoder(request.uri());
            headers = request.headers();
            body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
        }

        public String method() {
            return method;
        }

        public String path() {
            return uri.path();
        }

        /** Returns the first value of a query parameter, or null if it is absent. */
        public String queryParameter(String name) {
            List<String> values = uri.parameters().get(name);
            return values == null ? null : values.get(0);
        }

        /** Returns a query parameter as a whole number, or the default if it is absent; throws IllegalArgumentException
            if it is not a whole number. */
        public long queryLong(String name, long defaultValue) {
            String text = queryParameter(name);
            try {
                return text == null ? defaultValue : Long.parseLong(text);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(name + ": expected a whole number, not " + text, e);
            }
        }

        /** Returns the value of a request header, or null if it is absent. */
        public String header(String name) {
            return headers.get(name);
        }

        public byte[] body() {
            return body.clone();
        }

        public Channel channel() {
            return context.channel();
        }

        /** Sends the response; to be called once, from any thread. {@code extraHeaders} holds header names and values
            alternately. */
        public void respond(int status, String contentType, String text, String... extraHeaders) {
            ByteBuf content = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), content);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            addHeaders(response, extraHeaders);
            if (keepAlive) {
                context.writeAndFlush(response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        public void respondJson(int status, String json, String... extraHeaders) {
            respond(status, "application/json", json, extraHeaders);
        }

        private static void addHeaders(HttpResponse response, String... extraHeaders) {
            for (int i = 0; i + 1 < extraHeaders.length; i += 2) {
                response.headers().set(extraHeaders[i], extraHeaders[i + 1]);
            }
        }

        /** Sends the head of a response with status 200 whose body is a stream of lines. */
        public LineStream startLineStream() {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            HttpUtil.setTransferEncodingChunked(response, true);
            context.writeAndFlush(response);
            return new LineStream(context.channel());
        }
    }

    /** A line for many streams. It is encoded once, and all streams share one reference-counted buffer, which is freed
        after the last of them has written it. */
    public static final class SharedLine {

        private final ByteBuf content;

        /** The creator calls {@link #release} when it will write the line to no further stream. */
        public SharedLine(String text) {
            byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
            // A direct buffer, since each connection would copy a heap buffer when it writes it.
            content = Unpooled.directBuffer(bytes.length, bytes.length).writeBytes(bytes);
        }

        public void release() {
            content.release();
        }
    }

    /** A response made of lines, which stays open until either side closes it. */
    public static final class LineStream {

        private final Channel channel;

        LineStream(Channel channel) {
            this.channel = channel;
        }

        /** False from when the buffered output exceeds the high water mark until it is below the low one. Lines written
            meanwhile stay in memory until the client reads them. */
        public boolean isWritable() {
            return channel.isWritable();
        }

        /** Returns the number of bytes that have to be sent before {@link #isWritable} is true again. */
        public long bytesUntilWritable() {
            return channel.bytesBeforeWritable();
        }

        public void writeLine(String text) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8)));
        }

        /** Writes a shared line without copying it. */
        public void writeLine(SharedLine line) {
            channel.writeAndFlush(new DefaultHttpContent(line.content.retainedDuplicate()));
        }

        public void end() {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(ChannelFutureListener.CLOSE);
        }

        /** Closes the connection without the terminating chunk, so that the client sees a truncated response. */
        public void abort() {
            channel.close();
        }

        public void onClose(Runnable listener) {
            channel.closeFuture().addListener(closed -> listener.run());
        }
    }

    private static final class RequestDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Handler handler;

        RequestDispatcher(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) throws Exception {
            Exchange exchange = new Exchange(context, request);
            if (request.decoderResult().isFailure()) {
                exchange.respondJson(400, "{\"error\":\"not a call\"}");
                return;
            }
            try {
                handler.handle(exchange);
            } catch (IllegalArgumentException e) {
                exchange.respondJson(400, Json.encode(java.util.Map.of("error", e.getMessage())));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
