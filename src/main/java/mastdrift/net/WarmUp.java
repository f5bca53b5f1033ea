package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
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
import mastdrift.HeadroomBalancer;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.RequestClass;

/** Warms up the virtual machine: loads and compiles the code on the path of a request before the first one comes. A
    cold virtual machine takes 5 ms of its core for each request at first, so that requests would queue past their
    deadlines. The requests go to a second gateway, on the same address and on an event loop that ends with it, which
    sends them to a stub of the hosts; no real host or discovery is contacted. */
final class WarmUp {

    private static final int REQUESTS = 100;
    private static final int HOSTS = 8;
    private static final int FAILING_EVERY = 16;  // one request in so many fails, to warm up the failure paths
    private static final int LONG_EVERY = 20;  // one request in so many has a long body, and so has its response
    private static final int LONG_BODY_BYTES = Assembler.HELD_BYTES_MOST + (16 << 10);
    private static final int PATIENCE_MILLIS = 1000;
    private static final int FAILURES_MOST = 60;

    private WarmUp() { }

    /** Runs the warm-up once, with requests to the admin address where one is given. A warm-up that fails only leaves
        the start slower. Long bodies are used in the build only, to get their classes into the archive: at a start they
        would take too long. */
    static void run(Config config, InetSocketAddress admin, boolean longToo, EventLoop loop,
            Consumer<String> out) {
        InetSocketAddress any = new InetSocketAddress(config.listenAddress().getAddress(), 0);
        try {
            Channel host = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LONG_BODY_BYTES),
                                    new StandIn());
                        }
                    }).bind(any).sync().channel();
            InetSocketAddress at = (InetSocketAddress) host.localAddress();
            List<HostList.Entry> hosts = IntStream.range(0, HOSTS).mapToObj(i -> new HostList.Entry(
                    new Host("rehearsal-" + i, config.settings().topology().zone(), 0, "", 1, HostState.IN_SERVICE, 0), at)).toList();
            Config rehearsed = new Config(any, false, null, at, config.maxSockets(), new HostList(0, true, hosts),
                    config.settings());
            Lifecycle life = new Lifecycle();
            ClientSide clients = CompletableFuture.supplyAsync(() -> new ClientSide(loop, new Gateway(rehearsed, loop,
                    System::nanoTime, new HeadroomBalancer(), rehearsed.newMetrics(), HOSTS * 2, HOSTS, line -> { }), config.settings(), HOSTS, life), loop)
                    .join();
            clients.listen(any).sync();
            life.markStarted(() -> { });
            askAll(clients.address(), config, longToo);
            if (admin != null) {
                call(admin, "GET /status");
                call(admin, "GET /status/metrics");
            }
        } catch (IOException | ChannelException e) {
            out.accept("rehearsal ended early: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** Sends all requests. One that fails at once is skipped and the next sent on a new connection, since a start
        without the warm-up would serve its first clients late. One that is not answered in time ends the warm-up. */
    private static void askAll(InetSocketAddress at, Config config, boolean longToo) throws IOException {
        int[] next = {0};
        for (int failures = 0; next[0] < REQUESTS; failures++) {
            try {
                ask(at, config, longToo, next);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                if (failures == FAILURES_MOST) {
                    throw e;
                }
            }
        }
    }

    /** Sends the requests from {@code next} on over one connection and advances {@code next}. */
    private static void ask(InetSocketAddress at, Config config, boolean longToo, int[] next) throws IOException {
        String longBody = "-".repeat(LONG_BODY_BYTES);
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            while (next[0] < REQUESTS) {
                String request = request(config, next[0]++, longToo, longBody);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                readAnswer(in);
            }
        }
    }

    private static String request(Config config, int number, boolean longToo, String longBody) {
        List<RequestClass> classes = config.settings().classes();
        String tenant = config.settings().tenants().isEmpty() ? "none" : config.settings().tenants().get(0).name();
        RequestClass type = classes.get(number % classes.size());
        boolean safe = type.idempotency() == Idempotency.SAFE;
        boolean isLong = longToo && !safe && number % LONG_EVERY == LONG_EVERY - 1;
        return (number == 0 ? "GET /ready" : safe ? "GET /api" : "POST /api")
                + " HTTP/1.1\r\nHost: rehearsal\r\nX-Trace-Id: " + number + "\r\nX-Qos: " + type.name()
                + "\r\nX-Customer: " + tenant + "\r\nX-Object: " + number % HOSTS + "\r\n" + HostConnectionPool.EXPIRES_HEADER + ": "
                + PATIENCE_MILLIS + (type.idempotency() == Idempotency.KEYED ? "\r\nIdempotency-Key: " + number : "")
                + "\r\nContent-Length: " + (safe ? "0\r\n\r\n" : isLong ? LONG_BODY_BYTES + "\r\n\r\n" + longBody
                : "4\r\n\r\nbody");
    }

    private static void call(InetSocketAddress at, String line) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.getOutputStream().write((line + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            readAnswer(new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)));
        }
    }

    private static void readAnswer(BufferedReader in) throws IOException {
        int length = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        for (long left = length; left > 0; left -= in.skip(left)) {
            if (in.read() < 0) {
                return;
            }
            left--;
        }
    }

    /** Stub of the hosts, and of a discovery that fails. */
    private static final class StandIn extends SimpleChannelInboundHandler<FullHttpRequest> {

        private int count;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean fails = ++count % FAILING_EVERY == 0 || !request.uri().equals("/api");
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    fails ? HttpResponseStatus.INTERNAL_SERVER_ERROR : HttpResponseStatus.OK,
                    request.content().readableBytes() == LONG_BODY_BYTES ? request.content().retain()
                            : Unpooled.copiedBuffer("answer", StandardCharsets.US_ASCII));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
            context.writeAndFlush(answer);
        }
    }
}
