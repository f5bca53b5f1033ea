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

/** One call whose answer is lines that come for as long as it stays open. On its event loop. */
public final class LineStreamClient {

    private static final int LINE_MOST = 16 << 20;

    private final Channel channel;
    private final Consumer<String> lines;
    private final Consumer<String> end;
    private boolean ended;

    private LineStreamClient(EventLoop loop, InetSocketAddress at, String path, Map<String, String> headers, int dialMillis,
            int silenceMillis, Consumer<String> lines, Consumer<String> end) {
        this.lines = lines;
        this.end = end;
        InetSocketAddress now = at.isUnresolved() ? new InetSocketAddress(at.getHostString(), at.getPort()) : at;
        ChannelFuture dialled = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, dialMillis).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(),
                                new ReadTimeoutHandler(silenceMillis, TimeUnit.MILLISECONDS), new Answer());
                    }
                }).connect(now);
        channel = dialled.channel();
        dialled.addListener(done -> {
            if (done.isSuccess()) {
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                request.headers().set(HttpHeaderNames.HOST, at.getHostString() + ":" + at.getPort());
                headers.forEach((name, value) -> request.headers().set(name, value));
                channel.writeAndFlush(request);
            } else {
                // Where no socket could be made there is no channel, and the library tells of it on a thread of its own.
                loop.execute(() -> over("no connection: " + done.cause().getMessage()));
            }
        });
    }

    /** Calls; {@code lines} hears each line, the empty ones too, {@code end} once why there will be no more: not answered by
        200, silent for too long, ended. Neither is called after {@link #cancel}. */
    public static LineStreamClient open(EventLoop loop, InetSocketAddress at, String path, Map<String, String> headers,
            int dialMillis, int silenceMillis, Consumer<String> lines, Consumer<String> end) {
        return new LineStreamClient(loop, at, path, headers, dialMillis, silenceMillis, lines, end);
    }

    /** Ends it unheard. */
    public void cancel() {
        ended = true;
        close();
    }

    private void over(String cause) {
        if (!ended) {
            ended = true;
            end.accept(cause);
        }
        close();
    }

    private void close() {
        if (channel.isOpen()) {
            channel.close();
        }
    }

    private final class Answer extends SimpleChannelInboundHandler<HttpObject> {

        private ByteBuf text;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            text = context.alloc().heapBuffer();
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            text.release();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                over("odd answer");
            } else if (part instanceof HttpResponse response && response.status().code() != 200) {
                over("status " + response.status().code());
            } else if (part instanceof HttpContent content && !ended) {
                text.discardReadBytes();
                int looked = text.writerIndex();  // a long line comes in many parts: each is looked through once
                text.writeBytes(content.content());
                for (int at = text.indexOf(looked, text.writerIndex(), (byte) '\n'); at >= 0 && !ended;
                        at = text.indexOf(text.readerIndex(), text.writerIndex(), (byte) '\n')) {
                    String line = text.readCharSequence(at - text.readerIndex(), StandardCharsets.UTF_8).toString();
                    text.skipBytes(1);
                    lines.accept(line);
                }
                if (text.readableBytes() > LINE_MOST) {
                    over("a line of over " + LINE_MOST + " bytes");
                } else if (part instanceof LastHttpContent) {
                    over("the answer ended");
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            over("the connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            over(cause instanceof ReadTimeoutException ? "silent for too long" : cause.toString());
        }
    }
}
