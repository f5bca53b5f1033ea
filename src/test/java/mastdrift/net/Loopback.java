package mastdrift.net;

import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A gateway in the test's process, with its clients, hosts and discovery as plain loopback sockets that a test reads
    and writes. */
final class Loopback {

    static final int WAIT_SECONDS = 30;  // timeout for events that have to occur, far above any real delay

    private static final AtomicInteger ids = new AtomicInteger();

    private Loopback() { }

    /** An HTTP message as received: its start line and headers, and its body. */
    record Message(String head, byte[] body, Socket socket) {

        String startLine() {
            return head.lines().findFirst().orElse("");
        }

        int status() {
            return Integer.parseInt(startLine().split(" ")[1]);
        }

        String header(String name) {
            return head.lines().filter(l -> l.toLowerCase().startsWith(name.toLowerCase() + ":"))
                    .map(l -> l.substring(name.length() + 1).strip()).findFirst().orElse(null);
        }

        String bodyText() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the next message; null if the connection ends or fails first. */
    static Message read(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                head.write(next);
            }
            Message message = new Message(head.toString(StandardCharsets.UTF_8), new byte[0], socket);
            if ("chunked".equals(message.header("Transfer-Encoding"))) {
                return new Message(message.head, readChunks(in), socket);
            }
            String length = message.header("Content-Length");
            byte[] body = length == null ? message.body : in.readNBytes(Integer.parseInt(length));
            return length == null || body.length == Integer.parseInt(length) ? new Message(message.head, body, socket)
                    : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
            body.write(in.readNBytes(length));
            if (length > 0) {
                readLine(in);
            } else if (readLine(in).isEmpty()) {  // no trailers
                return body.toByteArray();
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended within a line");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static <T> T await(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no element within the timeout");
        }
        return next;
    }

    /** How a server reacts to a request. */
    interface MessageHandler {
        void handle(Message message) throws Exception;
    }

    /** A server that records the requests it receives and calls its handler for each, with a thread per connection. */
    static final class Server implements AutoCloseable {

        final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
        final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
        final List<Socket> acceptedConnections = new CopyOnWriteArrayList<>();
        private final ServerSocket socket;
        private final MessageHandler handler;
        private final Thread acceptThread;

        Server(MessageHandler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            acceptThread = run(() -> {
                while (true) {
                    Socket connection = socket.accept();
                    acceptedConnections.add(connection);
                    run(() -> serve(connection));
                }
            });
        }

        private void serve(Socket connection) throws Exception {
            for (Message next = read(connection); next != null; next = read(connection)) {
                synchronized (connection) {  // what a test sends once it sees a request follows the handler's response
                    received.add(next);
                    handler.handle(next);
                }
            }
            closedConnections.add(connection);
        }

        private interface Body {
            void run() throws Exception;
        }

        private static Thread run(Body body) {
            Thread thread = new Thread(() -> {
                try {
                    body.run();
                } catch (Exception e) {
                    return;  // closed by the end of the test, or by its handler
                }
            });
            thread.setDaemon(true);
            thread.start();
            return thread;
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            try {
                acceptThread.join();  // the last connection is in the list, and no more are accepted
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (Socket connection : acceptedConnections) {
                connection.close();
            }
        }
    }

    /** A host that can't be connected to at first: its accept queue is full until the test lets it accept. The system
        repeats a connection attempt that found the queue full after a second. */
    static final class FullBacklogHost implements AutoCloseable {

        // Far above the time that a connection on this machine takes.
        private static final int CONNECT_TIMEOUT_MILLIS = 500;
        private final ServerSocket socket;
        private final List<Socket> queuedConnections = new ArrayList<>();
        private final Set<Integer> ownPorts = new HashSet<>();  // the ports of this class's own connection attempts

        FullBacklogHost() throws IOException {
            socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            socket.setSoTimeout(WAIT_SECONDS * 1000);
            while (fillQueue()) {
                assert queuedConnections.size() < 64 : "the accept queue does not fill up";
            }
        }

        private boolean fillQueue() throws IOException {
            Socket next = new Socket();
            next.bind(new InetSocketAddress(socket.getInetAddress(), 0));
            ownPorts.add(next.getLocalPort());
            try {
                next.connect(socket.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLIS);
                return queuedConnections.add(next);
            } catch (SocketTimeoutException e) {
                next.close();
                return false;
            }
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        /** Accepts connections, and returns the first that is not this class's own. */
        Socket acceptConnections() throws IOException {
            Socket first = socket.accept();
            while (ownPorts.contains(first.getPort())) {
                first.close();
                first = socket.accept();
            }
            first.setSoTimeout(WAIT_SECONDS * 1000);
            return first;
        }

        @Override
        public void close() throws IOException {
            for (Socket next : queuedConnections) {
                next.close();
            }
            socket.close();
        }
    }

    /** A host that responds to each request with that body. */
    static Server hostResponding(String body) throws IOException {
        return new Server(message -> write(message.socket(), response("200 OK", body)));
    }

    static String hostEntry(String uid, String address, String zone, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"" + zone + "\",\"model\":\"std\","
                + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    static String hostList(int rev, boolean complete, String... entries) {
        return "{\"rev\":" + rev + ",\"all\":" + complete + ",\"targets\":[" + String.join(",", entries) + "]}";
    }

    /** A discovery server that keeps every watch open until the test closes it. */
    static Server discoveryServer() throws IOException {
        return new Server(message -> write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    /** Sends a line to a watch, as a chunk of its response. */
    static void sendListLine(Socket watch, String line) throws IOException {
        synchronized (watch) {
            write(watch, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }
    }

    /** Settings with three request classes, one for each kind of idempotency; tests change them by text replacement. */
    static final String SETTINGS = "{\"allowed\":{\"cancel\":true,\"conn_idle\":5000000,\"dial_timeout\":20000000,"
            + "\"max_attempts\":4,\"max_open\":20000,\"max_retry_after\":2000000,\"parallel_tries\":true,"
            + "\"probes\":false,\"retry_after\":false},\"balancers\":1,\"classes\":["
            + classJson("read", "read_like") + "," + classJson("start", "idempotency_key") + ","
            + classJson("once", "non_idempotent")
            + "],\"dcs\":[\"a\",\"b\"],\"guarantees\":{\"cold_from\":0.13,\"drain_grace\":250000,\"fall\":2000000,"
            + "\"must_ask_in\":1000000,\"tip_multiple\":3.0,\"warm_within\":24000000},\"locality\":\"a\",\"me\":0,"
            + "\"registry_mode\":\"on_request\",\"tenants\":[{\"name\":\"acme\",\"fraction\":1.0,"
            + "\"quota_per_s\":1000.0}],\"weights\":\"nominal\"}";

    private static String classJson(String name, String idempotency) {
        return "{\"name\":\"" + name + "\",\"target\":10000000,\"deadline\":60000000,\"credit\":1.0,"
                + "\"late_share\":0.5,\"repeat\":\"" + idempotency + "\",\"group\":\"zone\",\"dedup_window\":60000000}";
    }

    static Map<String, String> environment(Path folder, Server discovery, String knownList, String settings)
            throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"name\":\"n0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":64},"
                + "\"known\":" + knownList + ",\"settings\":" + settings + "}");
        return Map.of("NODE_CONFIG", file.toString(), "NODE_LISTEN", "127.0.0.1:0",
                "NODE_DISCOVERY", discovery.address());
    }

    /** A gateway in this process. */
    static final class GatewayNode implements AutoCloseable {

        final EventLoop loop = Main.newEventLoop();
        final EventLoop adminLoop = Main.newEventLoop();
        final Lifecycle lifecycle = new Lifecycle();
        final AdminServer admin;
        final ByteArrayOutputStream log = new ByteArrayOutputStream();
        final DownstreamServer server;
        private final List<Socket> sockets = new ArrayList<>();
        private final AtomicLong clockAdvance = new AtomicLong();

        GatewayNode(Map<String, String> environment) {
            this(environment, null);
        }

        /** On a listening socket that is inherited; listens itself if it is null. */
        GatewayNode(Map<String, String> environment, ServerSocketChannel inherited) {
            Config config = Config.read(environment);
            GatewayMetrics metrics = config.newMetrics();
            admin = config.adminAddress() == null ? null : AdminServer.start(config.adminAddress(), adminLoop, lifecycle, metrics);
            PrintStream out = new PrintStream(log, true, StandardCharsets.UTF_8);
            server = Main.createServer(config, loop, () -> System.nanoTime() + clockAdvance.get(), lifecycle, metrics,
                    out::println);
            Main.awaitFirstList(server.gateway(), TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            Main.listen(server, config, inherited, loop, lifecycle, out::println);
        }

        /** Advances the gateway's clock; timers that are set already are not affected. */
        void advanceClock(int millis) {
            clockAdvance.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(server.address());
            socket.setSoTimeout(WAIT_SECONDS * 1000);
            sockets.add(socket);
            return socket;
        }

        /** Sends a request on a new connection and reads the response. */
        Message sendRequest(String request) throws IOException {
            Socket socket = connect();
            write(socket, request);
            return read(socket);
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : sockets) {
                socket.close();
            }
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
            adminLoop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }

        /** Sends a request to the admin address on a new connection, which has to be closed after the response. */
        Message callAdmin(String line) throws IOException {
            try (Socket socket = new Socket(admin.address().getAddress(), admin.address().getPort())) {
                socket.setSoTimeout(WAIT_SECONDS * 1000);
                write(socket, line + " HTTP/1.1\r\nHost: s\r\n\r\n");
                Message answer = read(socket);
                if (socket.getInputStream().read() >= 0) {
                    throw new AssertionError("the connection stays open after " + answer.head);
                }
                return answer;
            }
        }
    }

    /** The request with an id of its own, as each request of a client has. */
    static String withNewId(String request) {
        return request.replace("9b1f", "id" + ids.incrementAndGet());
    }

    /** A GET request of the class {@code read} with that time limit. */
    static String read(int millis) {
        return "GET /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: 9b1f\r\nX-Qos: read\r\nX-Customer: acme\r\n"
                + "X-Object: 7f3a\r\nX-Expires-In-Ms: " + millis + "\r\n\r\n";
    }

    /** A POST request of that class with that time limit. */
    static String post(String className, int millis, String body) {
        return "POST /api/x?y=1%20z HTTP/1.1\r\nHost: s\r\nX-Trace-Id: 9b1f\r\nX-Qos: " + className
                + "\r\nX-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: " + millis + "\r\n"
                + (className.equals("start") ? "Idempotency-Key: 5c0f\r\n" : "")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static InetSocketAddress addressOf(Server server) {
        return Config.parseAddress(server.address());
    }
}
