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

/** Plain HTTP/1.1 calls for our own processes, as operators' calls are: a message each, or a stream of lines. */
public final class HttpServer implements AutoCloseable {

    private static final int BODY_MOST = 16 << 20;
    private static final int LOW_WATER = 32 << 10;
    private static final int HIGH_WATER = 128 << 10;

    /** What is done with a call, on the connection's event loop: it answers or streams, now or later. */
    public interface Handler {
        void handle(Exchange call) throws Exception;
    }

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel server;

    private HttpServer(EventLoopGroup loops, InetSocketAddress at, Handler handler) throws IOException {
        ChannelFuture bound = new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                .handler(new AcceptRetry())
                .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER, HIGH_WATER))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(BODY_MOST, true),
                                new Calls(handler));
                    }
                }).bind(at).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("no listening on " + at + ": " + bound.cause().getMessage(), bound.cause());
        }
        server = bound.channel();
    }

    /** Listens from now on; throws IOException that names an address that can't be listened on. */
    public static HttpServer listen(EventLoopGroup loops, InetSocketAddress at, Handler handler) throws IOException {
        return new HttpServer(loops, at, handler);
    }

    /** Of the form {@code 127.0.0.1:80}, or with a name; throws IllegalArgumentException for anything else. */
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

    /** The port it has, for those who asked for any. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Takes no connection any more, and ends those that there are. */
    @Override
    public void close() {
        server.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    /** One message that has come whole. */
    public static final class Exchange {

        private final ChannelHandlerContext context;
        private final boolean keep;
        private final String method;
        private final QueryStringDecoder uri;
        private final io.netty.handler.codec.http.HttpHeaders headers;
        private final byte[] body;

        Exchange(ChannelHandlerContext context, FullHttpRequest message) {
            this.context = context;
            keep = HttpUtil.isKeepAlive(message);
            method = message.method().name();
            uri = new QueryStringDecoder(message.uri());
            headers = message.headers();
            body = new byte[message.content().readableBytes()];
            message.content().readBytes(body);
        }

        public String method() {
            return method;
        }

        public String path() {
            return uri.path();
        }

        /** Null where the call's address has no such part. */
        public String queryParameter(String name) {
            List<String> values = uri.parameters().get(name);
            return values == null ? null : values.get(0);
        }

        /** A whole number of the call's address; throws IllegalArgumentException for what is none. */
        public long queryLong(String name, long otherwise) {
            String text = queryParameter(name);
            try {
                return text == null ? otherwise : Long.parseLong(text);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(name + ": expected a whole number, not " + text, e);
            }
        }

        /** Null where there is none. */
        public String header(String name) {
            return headers.get(name);
        }

        public byte[] body() {
            return body.clone();
        }

        public Channel channel() {
            return context.channel();
        }

        /** Headers come as names and values in turn. From any thread, once. */
        public void respond(int status, String type, String text, String... more) {
            ByteBuf content = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
                    content);
            answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type)
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            add(answer, more);
            if (keep) {
                context.writeAndFlush(answer);
            } else {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
            }
        }

        public void respondJson(int status, String text, String... more) {
            respond(status, "application/json", text, more);
        }

        private static void add(HttpResponse answer, String... more) {
            for (int i = 0; i + 1 < more.length; i += 2) {
                answer.headers().set(more[i], more[i + 1]);
            }
        }

        /** Begins an answer of lines that stays open. */
        public LineStream startLineStream() {
            HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            HttpUtil.setTransferEncodingChunked(answer, true);
            context.writeAndFlush(answer);
            return new LineStream(context.channel());
        }
    }

    /** A line that many are told: encoded once, and kept in memory once until the last of them has it. */
    public static final class SharedLine {

        private final ByteBuf content;

        /** Whoever makes it lets go of it once nobody new is to be told. */
        public SharedLine(String text) {
            byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
            // Outside the heap: from there each connection would take a copy on its way out.
            content = Unpooled.directBuffer(bytes.length, bytes.length).writeBytes(bytes);
        }

        public void release() {
            content.release();
        }
    }

    /** An answer of lines that stays open until one side ends it. */
    public static final class LineStream {

        private final Channel channel;

        LineStream(Channel channel) {
            this.channel = channel;
        }

        /** Whether the reader keeps up: what is written all the same is kept in memory. */
        public boolean isWritable() {
            return channel.isWritable();
        }

        /** Bytes that the reader has to take until it keeps up. */
        public long bytesUntilWritable() {
            return channel.bytesBeforeWritable();
        }

        public void writeLine(String text) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8)));
        }

        /** Of all readers that wait for the same, none has a copy of its own. */
        public void writeLine(SharedLine line) {
            channel.writeAndFlush(new DefaultHttpContent(line.content.retainedDuplicate()));
        }

        public void end() {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(ChannelFutureListener.CLOSE);
        }

        /** Without a proper end. */
        public void abort() {
            channel.close();
        }

        public void onClose(Runnable then) {
            channel.closeFuture().addListener(ended -> then.run());
        }
    }

    private static final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Handler handler;

        Calls(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) throws Exception {
            Exchange call = new Exchange(context, message);
            if (message.decoderResult().isFailure()) {
                call.respondJson(400, "{\"error\":\"not a call\"}");
                return;
            }
            try {
                handler.handle(call);
            } catch (IllegalArgumentException e) {
                call.respondJson(400, Json.encode(java.util.Map.of("error", e.getMessage())));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
