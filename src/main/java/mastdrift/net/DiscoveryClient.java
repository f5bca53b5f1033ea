package mastdrift.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Client of the discovery service: fetches and watches the host list. A fetch that fails, or a watch that ends, is
    reported once; the balancer decides when to ask again. When the address of discovery changes, the watch and an open
    fetch start again at the new address. */
final class DiscoveryClient {

    /** Time limit, in milliseconds, from connecting to the end of the first list; bytes that trickle in don't extend
        it. The platform expects the gateway to know a change 6 s after discovery had it and was reachable: a request
        that is not answered is given up early enough for the next one. Discovery may queue requests for some
        seconds. */
    static final int CALL_TIMEOUT_MILLIS = 4000;
    // Time limit from one list to the next of a watch. Discovery sends a list or an empty line at least every 2 s.
    private static final int SILENCE_TIMEOUT_MILLIS = 3000;
    // After a change of discovery's address the gateway has to know the list of the new address within 4 s. For that
    // time a request that fails is repeated soon, and the failure is put down to the change and not reported.
    private static final int ADDRESS_CHANGE_MILLIS = 4000;
    private static final int ADDRESS_CHANGE_CALL_TIMEOUT_MILLIS = 1500;
    private static final int ADDRESS_CHANGE_CONNECT_TIMEOUT_MILLIS = 500;
    private static final int ADDRESS_CHANGE_RETRY_MILLIS = 150;
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;
    private static final int MAX_LIST_BYTES = 4 << 20;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Consumer<HostList> onList;
    private final Consumer<String> onFailure;
    private long revision;
    private Channel watchChannel;
    private boolean watchWanted;
    private Channel fetchChannel;
    private long addressChangedAt = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ADDRESS_CHANGE_MILLIS);

    /** Starts from that revision of the host list; {@code onFailure} gets the cause of a failed request. */
    DiscoveryClient(EventLoop loop, InetSocketAddress address, long revision, Consumer<HostList> onList,
            Consumer<String> onFailure) {
        this.loop = loop;
        this.address = address;
        this.revision = revision;
        this.onList = onList;
        this.onFailure = onFailure;
    }

    /** Starts or stops watching the host list. A watch that is open is closed without a report and, if still wanted,
        replaced. */
    void watch(boolean wanted) {
        watchWanted = wanted;
        Channel previous = watchChannel;
        watchChannel = null;
        if (previous != null) {
            Connector.close(previous);
        }
        if (wanted) {
            watchChannel = sendRequest("/v1/endpoints?watch=1&from=" + revision, true);
        }
    }

    /** Fetches the host list once. A fetch that is open is closed without a report and replaced. */
    void fetch() {
        Channel previous = fetchChannel;
        fetchChannel = null;
        if (previous != null) {
            Connector.close(previous);
        }
        fetchChannel = sendRequest("/v1/endpoints", false);
    }

    /** Sets the address of discovery. Whatever the old address still sends, or that its connections end, is ignored. */
    void setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        addressChangedAt = System.nanoTime();
        if (watchWanted) {
            watch(true);
        }
        if (fetchChannel != null) {
            fetch();
        }
    }

    private boolean addressChangedRecently() {
        return System.nanoTime() - addressChangedAt < TimeUnit.MILLISECONDS.toNanos(ADDRESS_CHANGE_MILLIS);
    }

    private Channel sendRequest(String path, boolean watching) {
        Bootstrap bootstrap = new Bootstrap().group(loop).channelFactory(TcpChannel::new)
                .option(ChannelOption.ALLOCATOR, MessageBuffers.ALLOCATOR)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        addressChangedRecently() ? ADDRESS_CHANGE_CONNECT_TIMEOUT_MILLIS : CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new ResponseHandler(watching));
                    }
                });
        Channel[] connecting = new Channel[1];
        connecting[0] = Connector.connect(bootstrap, loop, address, new Connector.ConnectListener() {
            @Override
            public void connected(Channel channel) {
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
                channel.writeAndFlush(request);
            }

            @Override
            public void failed(Throwable cause) {
                DiscoveryClient.this.requestFailed(connecting[0], watching, "no connection: " + cause.getMessage());
            }
        });
        return connecting[0];
    }

    private boolean isReplaced(Channel channel, boolean watching) {
        return channel != (watching ? watchChannel : fetchChannel);
    }

    private void requestFailed(Channel channel, boolean watching, String cause) {
        if (isReplaced(channel, watching)) {
            return;
        }
        requestEnded(watching);
        if (addressChangedRecently()) {
            loop.schedule(() -> retry(watching), ADDRESS_CHANGE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            onFailure.accept(cause);
        }
    }

    private void requestEnded(boolean watching) {
        if (watching) {
            watchChannel = null;
        } else {
            fetchChannel = null;
        }
    }

    private void retry(boolean watching) {
        if (watching && watchWanted && watchChannel == null) {
            watch(true);
        } else if (!watching && fetchChannel == null) {
            fetch();
        }
    }

    /** Reads the response to one request: a single list, or for a watch a list at a time for as long as it stays
        open. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

        private final boolean watching;
        private final JsonFrameDetector frameDetector = new JsonFrameDetector();
        private ByteBuf buffer;
        private int scannedBytes;  // bytes of the buffer that the frame detector has read
        private boolean finished;
        private String failureCause = "the connection ended";
        private Future<?> timeout;

        ResponseHandler(boolean watching) {
            this.watching = watching;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            buffer = context.alloc().heapBuffer();
            startTimeout(context, addressChangedRecently() ? ADDRESS_CHANGE_CALL_TIMEOUT_MILLIS : CALL_TIMEOUT_MILLIS,
                    "no answer in time");
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            timeout.cancel(false);
            buffer.release();
        }

        /** Closes the connection with the given cause after that time, unless this is called again before. */
        private void startTimeout(ChannelHandlerContext context, int millis, String timeoutCause) {
            if (timeout != null) {
                timeout.cancel(false);
            }
            timeout = loop.schedule(() -> {
                failureCause = timeoutCause;
                context.close();
            }, millis, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) throws IOException {
            if (finished || part.decoderResult().isFailure() || isReplaced(context.channel(), watching)) {
                context.close();
                return;
            }
            if (part instanceof HttpResponse response && response.status().code() != 200) {
                failureCause = "status " + response.status().code();
                context.close();
            } else if (part instanceof HttpContent content) {
                buffer.discardReadBytes().writeBytes(content.content());
                scan(context, part instanceof LastHttpContent);
            }
        }

        private void scan(ChannelHandlerContext context, boolean last) throws IOException {
            while (watching && scannedBytes < buffer.readableBytes()) {
                byte next = buffer.getByte(buffer.readerIndex() + scannedBytes++);
                if (frameDetector.endsFrame(next)) {
                    parseList(scannedBytes);
                    frameDetector.startFrame();
                    scannedBytes = 0;
                    startTimeout(context, SILENCE_TIMEOUT_MILLIS, "silence");
                }
            }
            if (last && !watching) {
                parseList(buffer.readableBytes());
                finished = true;
                requestEnded(false);
            }
            if (last || buffer.readableBytes() > MAX_LIST_BYTES) {
                context.close();
            }
        }

        private void parseList(int length) throws IOException {
            byte[] json = ByteBufUtil.getBytes(buffer.readSlice(length));
            if (!new String(json, StandardCharsets.UTF_8).isBlank()) {
                HostList list = HostList.parse(JSON.std.anyFrom(json));
                if (list.revision() >= revision) {  // a list that comes late may lack a drain that was already reported
                    revision = list.revision();
                    onList.accept(list);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!finished) {
                finished = true;
                requestFailed(context.channel(), watching, failureCause);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable fault) {
            boolean invalid = fault instanceof IllegalArgumentException || fault instanceof ArithmeticException
                    || fault instanceof JsonProcessingException;
            failureCause = invalid ? "odd answer: " + fault.getMessage().lines().findFirst().orElse("")
                    : fault.toString();
            context.close();
        }
    }
}
