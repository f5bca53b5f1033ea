package kit;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, the gateway process, and stand-ins for hosts, discovery and clients. */
public final class Kit implements AutoCloseable {

    /** The end of a run without a verdict: the case could not run. */
    public static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public CannotRun(String message) {
            super(message);
        }
    }

    /** A case: returns how often the rule was broken. */
    public interface Case {
        int run(Kit kit) throws Exception;
    }

    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    public final Path root = Path.of("").toAbsolutePath();
    public final Path temporary;
    private final PrintWriter record;
    private final long origin = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> resources = new ArrayList<>();

    private Kit(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        temporary = Files.createTempDirectory("review");
    }

    /** Runs a case whose folder is the only argument, and exits with 0, 1 or 2. */
    public static void main(String[] arguments, Case test) {
        int status = 2;
        try (Kit kit = new Kit(Path.of(arguments[0]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(kit::endProcesses));
            kit.log("trouble " + (kit.trouble ? "on" : "off"));
            try {
                int broken = test.run(kit);
                status = broken > 0 ? 1 : 0;
                kit.say(broken > 0 ? "BROKEN " + broken + " times" : "held");
            } catch (CannotRun e) {
                kit.say("could not run: " + e.getMessage());
            }
        } catch (Throwable e) {  // no fault of the gateway
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    /** Milliseconds since the start of the case. */
    public double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    /** Writes a line to the record. */
    public void log(String line) {
        String text = String.format(Locale.ROOT, "%10.3f %s", now(), line);
        synchronized (record) {
            record.println(text);
        }
    }

    /** Writes a line to the record and to the standard output. */
    public void say(String line) {
        log(line);
        System.out.println(line);
    }

    public <T extends AutoCloseable> T own(T resource) {
        synchronized (resources) {
            resources.add(resource);
        }
        return resource;
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (Process process : processes) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
        synchronized (resources) {
            for (AutoCloseable resource : resources) {
                try {
                    resource.close();
                } catch (Exception ignored) {
                    continue;
                }
            }
        }
        try (var files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | java.io.UncheckedIOException e) {
            log("left behind: " + temporary + ": " + e);
        }
        synchronized (record) {
            record.close();
        }
    }

    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---- the gateway

    /** A gateway process, started by the deploy file's command. */
    public final class Gateway {
        public final int port = freePort();
        public final int admin = freePort();
        public final Path config;
        public final Path output;
        public Process process;
        private final String name;

        private Gateway(String name) throws IOException {
            this.name = name;
            config = temporary.resolve(name + ".json");
            output = temporary.resolve(name + ".log");
        }

        public InetSocketAddress address() {
            return new InetSocketAddress("127.0.0.1", port);
        }

        /** Sends a signal by its name. */
        public void signal(String signal) throws Exception {
            log(name + " gets " + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }

        /** Copies the gateway's log to the record. */
        public void copyLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(output, StandardCharsets.ISO_8859_1);
            for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
                log("log of " + name + ": " + line);
            }
        }
    }

    /** The settings that an instance gets in the page on the wire, with the classes and limits given here. */
    public static Map<String, String> settings() {
        Map<String, String> values = new TreeMap<>();
        values.put("allowed", "{\"cancel\":true,\"conn_idle\":60000000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":1000000,"
                + "\"dial_timeout\":250000,\"max_attempts\":4,\"max_open\":20000,\"max_retry_after\":2000000,"
                + "\"may_tell\":false,\"parallel_tries\":true,\"probes\":true,\"retry_after\":true,\"streams_per_conn\":1}");
        values.put("balancers", "3");
        values.put("classes", "[{\"credit\":8.0,\"deadline\":2000000,\"dedup_window\":2000000,\"group\":\"zone\","
                + "\"late_share\":0.0,\"name\":\"leitura\",\"repeat\":\"idempotency_key\",\"stream\":false,\"target\":1000000},"
                + "{\"credit\":10.0,\"deadline\":2000000,\"dedup_window\":5000000,\"group\":\"all\",\"late_share\":0.0,"
                + "\"name\":\"fechamento\",\"repeat\":\"non_idempotent\",\"stream\":false,\"target\":600000}]");
        values.put("client_habits", "{\"marks_retry\":true}");
        values.put("dcs", "[\"caxias\",\"passo-fundo\",\"blumenau\"]");
        values.put("family_info", "{\"warm_keys\":true}");
        values.put("goal", "{\"whole\":0.35,\"worst_class\":0.2,\"worst_tenant\":0.0,\"worst_window\":0.45}");
        values.put("guarantees", "{\"answer_slack\":20000,\"cold_from\":0.32,\"drain_grace\":1500000,\"fall\":1000000,"
                + "\"must_ask_in\":10000000,\"tip_multiple\":4.0,\"warm_within\":8400000}");
        values.put("layer", "0");
        values.put("locality", "\"caxias\"");
        values.put("me", "0");
        values.put("over_share_worth", "0.1");
        values.put("prices", "{\"connection\":0.0,\"cross_zone\":0.013,\"handshake\":0.0,\"late_fail\":0.077,\"moves\":0.0,"
                + "\"origin\":0.0,\"peer\":0.0,\"probe\":0.05,\"registry_mode\":0.0,\"waste\":0.027}");
        values.put("registry_mode", "\"pushed\"");
        values.put("resolution", "5000");
        values.put("service_type", "\"proxy\"");
        values.put("skus", "[\"padrao\",\"antigo\"]");
        values.put("stages", "[\"recebedores\"]");
        values.put("stats", "{\"how\":\"on_probe\",\"names\":[\"rps\",\"waiting\",\"cpu\"]}");
        values.put("tenants", "[]");
        values.put("weights", "\"live\"");
        values.put("worth_by", "\"request\"");
        return values;
    }

    private static String json(Map<String, String> values) {
        StringBuilder text = new StringBuilder("{");
        values.forEach((name, value) -> text.append(text.length() > 1 ? "," : "").append('"').append(name).append("\":")
                .append(value));
        return text.append("}").toString();
    }

    /** Writes a gateway's configuration. */
    public void configure(Gateway gateway, int discoveryPort, String known, int sockets, Map<String, String> settings)
            throws IOException {
        String text = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + gateway.port + "\",\"admin\":\"127.0.0.1:"
                + gateway.admin + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"known\":" + known + ",\"settings\":" + json(settings) + "}";
        Path written = gateway.config.resolveSibling(gateway.config.getFileName() + ".new");
        Files.writeString(written, text);
        Files.move(written, gateway.config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    public Gateway newGateway(String name) throws IOException {
        return new Gateway(name);
    }

    /** Starts the gateway and waits until it is ready. */
    public void start(Gateway gateway) throws Exception {
        String line = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = ")).findFirst().orElseThrow(() -> new CannotRun("no command run"));
        Matcher command = Pattern.compile("^run = \"((?:[^\"\\\\]|\\\\.)*)\"").matcher(line);
        if (!command.find() || !Files.exists(root.resolve("target/mastdrift.jar"))) {
            throw new CannotRun("the gateway is not built");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command.group(1).replace("\\\"", "\""));
        builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(gateway.output.toFile());
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().put("NODE_CONFIG", gateway.config.toString());
        Path own = Files.createDirectories(temporary.resolve(gateway.name + ".tmp"));
        builder.environment().put("TMPDIR", own.toString());
        gateway.process = builder.start();
        processes.add(gateway.process);
        for (int i = 0; i < 300; i++) {
            if (!gateway.process.isAlive()) {
                gateway.copyLog(20);
                throw new CannotRun("the gateway ended at its start");
            }
            try (Client client = new Client(gateway.address(), 1000)) {
                client.send("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
                if (client.read().status == 200) {
                    log(gateway.name + " is ready, process " + gateway.process.pid());
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        throw new CannotRun("the gateway is not ready after 30 s");
    }

    /** Whether the gateway still runs and answers as ready on a new connection. */
    public boolean answers(Gateway gateway) {
        try (Client client = new Client(gateway.address(), 3000)) {
            client.send("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
            return client.read().status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    // ---- messages

    /** A request or an answer that has been read whole. */
    public static final class Message {
        public String firstLine;
        public int status;
        public final Map<String, String> headers = new LinkedHashMap<>();
        public byte[] body = new byte[0];
        public long firstByteAt;
        public long lastByteAt;

        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException(line.length() == 0 ? "closed" : "closed within a line");
            }
            line.append((char) c);
        }
        return line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? line.substring(0, line.length() - 1)
                : line.toString();
    }

    /** Reads the head of a message, and its body unless {@code headOnly}. */
    static Message readMessage(InputStream in, boolean headOnly) throws IOException {
        Message message = new Message();
        message.firstLine = readLine(in);
        message.firstByteAt = System.nanoTime();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
        }
        if (message.firstLine.startsWith("HTTP/")) {
            message.status = Integer.parseInt(message.firstLine.split(" ")[1]);
        }
        if (!headOnly) {
            message.body = readBody(in, message);
        }
        message.lastByteAt = System.nanoTime();
        return message;
    }

    private static byte[] readBody(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (message.header("transfer-encoding").toLowerCase(Locale.ROOT).endsWith("chunked")) {
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                body.write(readExactly(in, size));
                if (size == 0) {
                    while (!readLine(in).isEmpty()) {
                        continue;
                    }
                    return body.toByteArray();
                }
                readLine(in);
            }
        }
        String length = message.header("content-length");
        if (!length.isEmpty()) {
            return readExactly(in, Integer.parseInt(length));
        }
        return message.status == 0 || message.status < 200 ? new byte[0] : in.readAllBytes();
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("closed within a body, after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    // ---- a client's connection

    /** One connection of a client. */
    public static final class Client implements AutoCloseable {
        public final Socket socket = new Socket();
        public final InputStream in;
        public final OutputStream out;

        public Client(InetSocketAddress address, int timeoutMillis) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 14);
            out = socket.getOutputStream();
        }

        public void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        public void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        public Message read() throws IOException {
            return readMessage(in, false);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A proper request of a class; {@code key} is the idempotency key, or null. */
    public static byte[] request(String type, String trace, String object, String key, int expiresMillis, byte[] body) {
        byte[] head = ("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + trace + "\r\nX-Qos: " + type
                + "\r\nX-Object: " + object + "\r\nX-Expires-In-Ms: " + expiresMillis + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }

    // ---- hosts

    /** What a host does with a request that has come whole: writes the answer itself. */
    public interface Work {
        void serve(HostConnection connection, Message request) throws Exception;
    }

    /** One connection to a host. */
    public static final class HostConnection {
        public final Host host;
        public final Socket socket;
        public final OutputStream out;

        HostConnection(Host host, Socket socket) throws IOException {
            this.host = host;
            this.socket = socket;
            out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
        }

        public void answer(int status, String headers, byte[] body) throws IOException {
            out.write(("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length + "\r\n" + headers + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }
    }

    /** A host: begins each request once its last byte has come, with a thread for each connection. */
    public final class Host implements AutoCloseable {
        public final String uid;
        public final String zone;
        public final int cell;
        public volatile Work work;
        public volatile String state = "in_service";
        public final int port;
        private final ServerSocket socket;

        private Host(String uid, String zone, int cell, Work work) throws IOException {
            this.uid = uid;
            this.zone = zone;
            this.cell = cell;
            this.work = work;
            socket = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
            port = socket.getLocalPort();
            thread("host " + uid, this::accept);
        }

        private void accept() throws IOException {
            while (true) {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                thread("connection to " + uid, () -> serve(accepted));
            }
        }

        private void serve(Socket accepted) throws Exception {
            try (accepted) {
                InputStream in = new BufferedInputStream(accepted.getInputStream(), 1 << 14);
                HostConnection connection = new HostConnection(this, accepted);
                while (true) {
                    Message request = readMessage(in, false);
                    if (request.firstLine.startsWith("GET /status/load") || request.firstLine.startsWith("GET /health")) {
                        connection.answer(200, "", "TEXT qps=20, queue=0, util=0.3".getBytes(StandardCharsets.ISO_8859_1));
                    } else {
                        work.serve(connection, request);
                    }
                }
            }
        }

        public String entry() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
                    + "\",\"model\":\"padrao\",\"pod_group\":" + cell + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    public Host host(String uid, String zone, int cell, Work work) throws IOException {
        return own(new Host(uid, zone, cell, work));
    }

    // ---- discovery

    /** An agent of discovery: answers at once with the list that it has, and pushes changes to open watches. */
    public final class Discovery implements AutoCloseable {
        public final int port;
        private final ServerSocket socket;
        private final List<Host> hosts;
        private int revision = 41;
        private final Map<Integer, String> changes = new ConcurrentHashMap<>();

        private Discovery(List<Host> hosts) throws IOException {
            this.hosts = hosts;
            socket = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            port = socket.getLocalPort();
            thread("discovery", () -> {
                while (true) {
                    Socket accepted = socket.accept();
                    thread("call of discovery", () -> serve(accepted));
                }
            });
        }

        public synchronized String list() {
            return "{\"rev\":" + revision + ",\"all\":true,\"targets\":["
                    + String.join(",", hosts.stream().filter(h -> !h.state.equals("terminated")).map(Host::entry).toList())
                    + "]}";
        }

        /** Lists a host in another state, and tells the open watches. */
        public synchronized void change(Host host, String state) {
            host.state = state;
            revision++;
            changes.put(revision, host.entry());
            log("discovery has " + host.uid + " as " + state + ", rev " + revision);
            notifyAll();
        }

        private synchronized String changesAfter(int from) throws InterruptedException {
            if (revision == from) {
                wait(2000);
            }
            if (revision == from) {
                return "";
            }
            List<String> entries = new ArrayList<>();
            for (int i = from + 1; i <= revision; i++) {
                entries.add(changes.get(i));
            }
            return "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + String.join(",", entries) + "]}";
        }

        private void serve(Socket accepted) throws Exception {
            try (accepted) {
                InputStream in = new BufferedInputStream(accepted.getInputStream());
                OutputStream out = accepted.getOutputStream();
                Message call = readMessage(in, false);
                if (!call.firstLine.contains("watch=1")) {
                    byte[] list = list().getBytes(StandardCharsets.UTF_8);
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
                    out.write(list);
                    return;
                }
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                int told;
                String line;
                synchronized (this) {
                    told = revision;
                    line = list();
                }
                while (true) {
                    byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
                    out.write((Integer.toHexString(bytes.length) + "\r\n" + new String(bytes, StandardCharsets.UTF_8) + "\r\n")
                            .getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    synchronized (this) {
                        line = changesAfter(told);
                        told = revision;
                    }
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    public Discovery discovery(List<Host> hosts) throws IOException {
        return own(new Discovery(hosts));
    }

    // ---- threads

    /** A task that may fail with a connection. */
    public interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a daemon thread of its own; a connection that ends also ends the task. */
    public static Thread thread(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                return;
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void sleep(double millis) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) (millis * 1e6));
    }
}
