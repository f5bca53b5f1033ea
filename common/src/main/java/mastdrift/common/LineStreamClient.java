package mastdrift.common;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An HTTP GET request whose response is a long-lived stream of lines. Used from its event loop only. */
public final class LineStreamClient {

    private static final int MAX_LINE_BYTES = 16 << 20;

    private final Channel channel;
    private final Consumer<String> onLine;
    private final Consumer<String> onEnd;
    private boolean ended;

    private LineStreamClient(EventLoop loop, InetSocketAddress address, String path, Map<String, String> headers,
            int connectTimeoutMillis, int readTimeoutMillis, Consumer<String> onLine, Consumer<String> onEnd) {
        this.onLine = onLine;
        this.onEnd = onEnd;
        InetSocketAddress resolvedAddress = address.isUnresolved()
                ? new InetSocketAddress(address.getHostString(), address.getPort()) : address;
        ChannelFuture connectFuture = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(),
                                new ReadTimeoutHandler(readTimeoutMillis, TimeUnit.MILLISECONDS),
                                new ResponseHandler());
                    }
                }).connect(resolvedAddress);
        channel = connectFuture.channel();
        connectFuture.addListener(connected -> {
            if (connected.isSuccess()) {
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
                headers.forEach((name, value) -> request.headers().set(name, value));
                channel.writeAndFlush(request);
            } else {
                // If the socket could not be created, there is no channel and Netty notifies from another thread.
                loop.execute(() -> finish("no connection: " + connected.cause().getMessage()));
            }
        });
    }

    /** Connects and sends the request. {@code onLine} receives each line, including empty ones. {@code onEnd} is called
        once, with the cause, when the stream ends: connection failed, status other than 200, invalid response, line too
        long, nothing read for {@code readTimeoutMillis}, or end of the response or connection. Neither is called after
        {@link #cancel}. */
    public static LineStreamClient open(EventLoop loop, InetSocketAddress address, String path,
            Map<String, String> headers, int connectTimeoutMillis, int readTimeoutMillis, Consumer<String> onLine,
            Consumer<String> onEnd) {
        return new LineStreamClient(loop, address, path, headers, connectTimeoutMillis, readTimeoutMillis, onLine,
                onEnd);
    }

    /** Closes the connection without calling {@code onEnd}. */
    public void cancel() {
        ended = true;
        close();
    }

    private void finish(String cause) {
        if (!ended) {
            ended = true;
            onEnd.accept(cause);
        }
        close();
    }

    private void close() {
        if (channel.isOpen()) {
            channel.close();
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

        private ByteBuf buffer;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            buffer = context.alloc().heapBuffer();
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            buffer.release();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                finish("odd answer");
            } else if (message instanceof HttpResponse response && response.status().code() != 200) {
                finish("status " + response.status().code());
            } else if (message instanceof HttpContent content && !ended) {
                buffer.discardReadBytes();
                int searchStart = buffer.writerIndex();  // each byte of a long line is searched once
                buffer.writeBytes(content.content());
                for (int newline = buffer.indexOf(searchStart, buffer.writerIndex(), (byte) '\n');
                        newline >= 0 && !ended;
                        newline = buffer.indexOf(buffer.readerIndex(), buffer.writerIndex(), (byte) '\n')) {
                    String line = buffer.readCharSequence(newline - buffer.readerIndex(), StandardCharsets.UTF_8)
                            .toString();
                    buffer.skipBytes(1);
                    onLine.accept(line);
                }
                if (buffer.readableBytes() > MAX_LINE_BYTES) {
                    finish("a line of over " + MAX_LINE_BYTES + " bytes");
                } else if (message instanceof LastHttpContent) {
                    finish("the answer ended");
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            finish("the connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            finish(cause instanceof ReadTimeoutException ? "silent for too long" : cause.toString());
        }
    }
}
