package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.RequestClass;
import mastdrift.HeadroomBalancer;

/** Warms up the virtual machine: loads and compiles the code on the path of a request before the first one comes. A
    cold virtual machine takes 5 ms of its core for each request at first, so that requests would queue past their
    deadlines. The requests go to a second gateway, on the same address and on an event loop that ends with it, which
    sends them to a stub of the hosts; no real host or discovery is contacted. */
final class WarmUp {

    private static final int REQUEST_COUNT = 100;
    private static final int HOST_COUNT = 8;
    private static final int FAILURE_INTERVAL = 16;  // one request in so many fails, to warm up the failure paths
    private static final int LONG_BODY_INTERVAL = 20;  // one request in so many, and its response, have a long body
    private static final int LONG_BODY_BYTES = MessageAggregator.MAX_AGGREGATED_BYTES + (16 << 10);
    private static final int RESPONSE_TIMEOUT_MILLIS = 1000;
    private static final int MAX_FAILURES = 60;

    private WarmUp() { }

    /** Runs the warm-up once, with requests to the admin address where one is given. A warm-up that fails only leaves
        the start slower. Long bodies are used in the build only, to get their classes into the archive: at a start they
        would take too long. */
    static void run(Config config, InetSocketAddress adminAddress, boolean longBodies, EventLoop loop,
            Consumer<String> log) {
        InetSocketAddress anyPort = new InetSocketAddress(config.listenAddress().getAddress(), 0);
        try {
            Channel hostStub = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .childOption(ChannelOption.ALLOCATOR, MessageBuffers.ALLOCATOR)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LONG_BODY_BYTES),
                                    new HostStub());
                        }
                    }).bind(anyPort).sync().channel();
            InetSocketAddress hostAddress = (InetSocketAddress) hostStub.localAddress();
            List<HostList.Entry> hosts = IntStream.range(0, HOST_COUNT).mapToObj(i -> new HostList.Entry(
                    new Host("rehearsal-" + i, config.settings().topology().zone(), 0, "", 1, HostState.IN_SERVICE, 0),
                    hostAddress)).toList();
            Config warmUpConfig = new Config(anyPort, false, null, hostAddress, config.memoryMegabytes(), config.maxSockets(),
                    new HostList(0, true, hosts), config.settings());
            Lifecycle lifecycle = new Lifecycle();
            DownstreamServer server = CompletableFuture.supplyAsync(() -> new DownstreamServer(loop, new Gateway(warmUpConfig,
                    loop, System::nanoTime, new HeadroomBalancer(), warmUpConfig.newMetrics(), HOST_COUNT * 2,
                    HOST_COUNT, line -> { }), config.settings(), HOST_COUNT, lifecycle,
                    RequestIds.ofThisProcess(() -> System.nanoTime() / 1000)), loop).join();
            server.listen(anyPort).sync();
            lifecycle.markStarted(() -> { });
            sendAll(server.address(), config, longBodies);
            if (adminAddress != null) {
                sendAdminRequest(adminAddress, "GET /status");
                sendAdminRequest(adminAddress, "GET /status/metrics");
            }
        } catch (IOException | ChannelException e) {
            log.accept("rehearsal ended early: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** Sends all requests. One that fails at once is skipped and the next sent on a new connection, since a start
        without the warm-up would serve its first clients late. One that is not answered in time ends the warm-up. */
    private static void sendAll(InetSocketAddress address, Config config, boolean longBodies) throws IOException {
        int[] next = {0};
        for (int failures = 0; next[0] < REQUEST_COUNT; failures++) {
            try {
                sendOnOneConnection(address, config, longBodies, next);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                if (failures == MAX_FAILURES) {
                    throw e;
                }
            }
        }
    }

    /** Sends the requests from {@code next} on over one connection and advances {@code next}. */
    private static void sendOnOneConnection(InetSocketAddress address, Config config, boolean longBodies, int[] next)
            throws IOException {
        String longBody = "-".repeat(LONG_BODY_BYTES);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            while (next[0] < REQUEST_COUNT) {
                String request = request(config, next[0]++, longBodies, longBody);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                readResponse(in);
            }
        }
    }

    private static String request(Config config, int number, boolean longBodies, String longBody) {
        List<RequestClass> classes = config.settings().classes();
        String tenant = config.settings().tenants().isEmpty() ? "none" : config.settings().tenants().get(0).name();
        RequestClass requestClass = classes.get(number % classes.size());
        boolean safe = requestClass.idempotency() == Idempotency.SAFE;
        boolean isLong = longBodies && !safe && number % LONG_BODY_INTERVAL == LONG_BODY_INTERVAL - 1;
        return (number == 0 ? "GET /ready" : safe ? "GET /api" : "POST /api")
                + " HTTP/1.1\r\nHost: rehearsal\r\nX-Trace-Id: " + number + "\r\nX-Qos: " + requestClass.name()
                + "\r\nX-Customer: " + tenant + "\r\nX-Object: " + number % HOST_COUNT + "\r\n"
                + HostConnectionPool.EXPIRES_HEADER + ": " + RESPONSE_TIMEOUT_MILLIS
                + (requestClass.idempotency() == Idempotency.KEYED ? "\r\nIdempotency-Key: " + number : "")
                + "\r\nContent-Length: " + (safe ? "0\r\n\r\n" : isLong ? LONG_BODY_BYTES + "\r\n\r\n" + longBody
                : "4\r\n\r\nbody");
    }

    private static void sendAdminRequest(InetSocketAddress address, String requestLine) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            socket.getOutputStream().write((requestLine + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            readResponse(new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)));
        }
    }

    private static void readResponse(BufferedReader in) throws IOException {
        int length = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        for (long remaining = length; remaining > 0; remaining -= in.skip(remaining)) {
            if (in.read() < 0) {
                return;
            }
            remaining--;
        }
    }

    /** Stub of the hosts, and of a discovery that fails. */
    private static final class HostStub extends SimpleChannelInboundHandler<FullHttpRequest> {

        private int requestCount;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean fails = ++requestCount % FAILURE_INTERVAL == 0 || !request.uri().equals("/api");
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    fails ? HttpResponseStatus.INTERNAL_SERVER_ERROR : HttpResponseStatus.OK,
                    request.content().readableBytes() == LONG_BODY_BYTES ? request.content().retain()
                            : Unpooled.copiedBuffer("answer", StandardCharsets.US_ASCII));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            context.writeAndFlush(response);
        }
    }
}
