package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.hostResponding;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.response;
import static mastdrift.net.Loopback.sendListLine;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a gateway's start, its host lists from discovery, its limits, its reloads and its stop. */
class GatewayLifecycleTest {

    private static final int PROCESS_TIMEOUT_SECONDS = 60;

    @TempDir
    private Path folder;

    private static String inService(String hostId, Server host) {
        return hostEntry(hostId, host.address(), "a", "in_service");
    }

    /** Sends requests until a response has that body, which names the host. */
    private static void awaitBody(GatewayNode node, String body) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_SECONDS);
        Socket client = node.connect();
        for (String received = ""; !received.equals(body); received = Loopback.read(client).bodyText()) {
            write(client, read(20_000));
            assertTrue(System.nanoTime() < deadline, "no answer from " + body);
        }
    }

    /** Guards against a new process that serves clients by an outdated host list before the first list from discovery:
        where lists are pushed, the gateway has to obey them from its start on. */
    @Test
    void newProcessObeysADrainBeforeItsFirstClient() throws Exception {
        try (Server one = hostResponding("one"); Server two = hostResponding("two");
                Server discovery = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        })) {
            Map<String, String> environment = environment(folder, discovery, hostList(1, true, inService("s1", one)),
                    SETTINGS.replace("on_request", "pushed"));
            CompletableFuture<GatewayNode> starting = CompletableFuture.supplyAsync(() -> new GatewayNode(environment));
            Socket watch = await(discovery.received).socket();
            assertThrows(TimeoutException.class, () -> starting.get(300, TimeUnit.MILLISECONDS));
            sendListLine(watch, hostList(2, false, hostEntry("s1", one.address(), "a", "terminating"),
                    inService("s2", two)));
            try (GatewayNode node = starting.get(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                assertEquals("two", node.sendRequest(read(20_000)).bodyText());
            }
        }
    }

    /** Guards against lists that are ignored since they are indented or arrive in pieces cut anywhere. An incomplete
        list is detected by the empty line after it, and requested again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000_000})
    void indentedListInPiecesIsRead(int piece) throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                Server two = hostResponding("two");
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            Message watch = await(discovery.received);
            String indented = hostList(7, false, hostEntry("s1", one.address(), "a", "terminating"),
                    inService("s}\\\"{2", two))
                    .replace("{", "{\n  ").replace("},", "},\r\n  ").replace("]", "\n ]").replace("s}\\\"{\n  2", "s}\\\"{2");
            String lines = "\n" + indented + "\n\n" + hostList(8, false) + "\n";
            synchronized (watch.socket()) {  // after the head of the response
                for (int from = 0; from < lines.length(); from += piece) {
                    String next = lines.substring(from, Math.min(lines.length(), from + piece));
                    write(watch.socket(), Integer.toHexString(next.length()) + "\r\n" + next + "\r\n");
                }
            }
            awaitBody(node, "two");
            sendListLine(watch.socket(), "{\"rev\":9,\"all\":true,");
            sendListLine(watch.socket(), "");
            assertEquals("GET /v1/endpoints?watch=1&from=8 HTTP/1.1", await(discovery.received).startLine());
        }
    }

    /** Guards against a host list that stays outdated after a watch has failed in one of these ways: it is watched
        again from the last revision received. */
    @ParameterizedTest
    @ValueSource(strings = {"end", "odd", "silence"})
    void failedWatchIsResumed(String failure) throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                Server two = hostResponding("two");
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            Message first = await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", first.startLine());
            sendListLine(first.socket(), hostList(7, false, hostEntry("s1", one.address(), "a", "terminating"),
                    inService("s2", two)));
            awaitBody(node, "two");
            if (failure.equals("end")) {
                first.socket().close();
            } else if (failure.equals("odd")) {
                sendListLine(first.socket(), "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":3}]}");
            }
            Message next = await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", next.startLine());
            sendListLine(next.socket(), hostList(9, true, inService("s1", one)));
            awaitBody(node, "one");
        }
    }

    /** Guards against a watch that never times out since bytes trickle in without ending a list: the time limit counts
        from its start. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "{\"rev\":2,"})
    void tricklingWatchTimesOut(String first) throws Exception {
        try (Server one = hostResponding("one"); Server discovery = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            String firstChunk = first.equals("GET") ? "" : Integer.toHexString(first.length()) + "\r\n" + first + "\r\n";
            write(message.socket(), firstChunk);
            while (true) {  // until the connection or the test ends
                Thread.sleep(100);
                write(message.socket(), "1\r\n \r\n");
            }
        }); GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", await(discovery.received).startLine());
        }
    }

    /** Guards against a drained host that gets requests again through a complete list of an older revision that arrives
        late. */
    @Test
    void listOfAnOlderRevisionIsIgnored() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                Server two = hostResponding("two");
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            Message first = await(discovery.received);
            sendListLine(first.socket(), hostList(7, false, hostEntry("s1", one.address(), "a", "terminating"),
                    inService("s2", two)));
            awaitBody(node, "two");
            first.socket().close();
            Message next = await(discovery.received);
            sendListLine(next.socket(), hostList(6, true, inService("s1", one)));
            sendListLine(next.socket(), "{\"rev\":8,");  // an incomplete list
            sendListLine(next.socket(), "");
            assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", await(discovery.received).startLine());
            for (int i = 0; i < 20; i++) {
                assertEquals("two", node.sendRequest(read(20_000).replace("7f3a", "key" + i)).bodyText());
            }
        }
    }

    /** Guards against a gateway that gets no host list and serves nobody once idle clients have used up its descriptors
        while discovery was down: descriptors for discovery, hosts and the log are reserved. */
    @Test
    void idleClientsThatUseUpTheDescriptorsBlockNoHostList() throws Exception {
        CountDownLatch discoveryIsBack = new CountDownLatch(1);
        try (Server one = hostResponding("one"); Server two = hostResponding("two");
                Server discovery = new Server(message -> {
            discoveryIsBack.await();
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendListLine(message.socket(), hostList(2, false, hostEntry("s1", one.address(), "a", "terminating"),
                    inService("s2", two)));
        })) {
            Map<String, String> environment = environment(folder, discovery, hostList(1, true, inService("s1", one)),
                    SETTINGS.replace("on_request", "pushed"));
            Path file = Path.of(environment.get("NODE_CONFIG"));
            Files.writeString(file, Files.readString(file).replace("\"sockets\":64", "\"sockets\":128"));
            Process process = start(environment, List.of("bash", "-c", "ulimit -n 128; exec \"$0\" \"$@\""), List.of());
            List<Socket> idle = new ArrayList<>();
            try {
                awaitLog("listening on ");
                int port = Integer.parseInt(log().replaceAll("(?s).*listening on [^\n]*:(\\d+)\n.*", "$1"));
                for (int i = 0; i < 300; i++) {
                    idle.add(new Socket("127.0.0.1", port));
                }
                assertEquals("one", sendRequest(port).bodyText());
                discoveryIsBack.countDown();
                awaitLog("list 2: 2 changes");
                assertEquals("two", sendRequest(port).bodyText());
                assertFalse(log().contains("fault"), log());
            } finally {
                process.destroyForcibly();
                for (Socket socket : idle) {
                    socket.close();
                }
            }
        }
    }

    private static Message sendRequest(int port) throws IOException {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
            write(client, Loopback.withNewId(read(20_000)));
            return Loopback.read(client);
        }
    }

    /** Guards against memory limits that are too small for 1,024 hosts and as many gateways, with the flags of the
        deploy file's {@code run}. */
    @Test
    void thousandHostsAndGatewaysFitIntoTheProgramsMemory() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one")) {
            String[] entries = IntStream.range(0, 1024).mapToObj(i -> inService("s" + i, one)).toArray(String[]::new);
            Map<String, String> environment = environment(folder, discovery, hostList(1, true, entries),
                    SETTINGS.replace("on_request", "pushed").replace("\"balancers\":1,", "\"balancers\":1024,"));
            Path file = Path.of(environment.get("NODE_CONFIG"));
            Files.writeString(file, Files.readString(file).replace("\"sockets\":64", "\"sockets\":256"));
            String[] flags = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow().split(" ");
            Process process = start(environment, List.of(), Stream.of(flags).filter(flag -> flag.startsWith("-Xm")
                    || flag.startsWith("-Xss") || flag.startsWith("-XX:MaxDirect")).toList());
            try {
                Socket watch = await(discovery.received).socket();
                sendListLine(watch, hostList(2, true, entries));
                awaitLog("list 2: 1024 hosts");
                awaitLog("listening on ");
                int port = Integer.parseInt(log().replaceAll("(?s).*listening on [^\n]*:(\\d+)\n.*", "$1"));
                try (Socket client = new Socket("127.0.0.1", port)) {
                    client.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
                    for (int i = 0; i < 2000; i++) {
                        write(client, read(20_000).replace("7f3a", "key" + i));
                        assertEquals("one", Loopback.read(client).bodyText());
                    }
                }
                assertFalse(log().contains("fault"), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against a gateway that serves nobody while discovery is down: it uses the hosts of its configuration. */
    @Test
    void configuredHostsServeWithoutDiscovery() throws Exception {
        Server discovery = discoveryServer();
        discovery.close();
        try (Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            assertEquals("one", node.sendRequest(read(20_000)).bodyText());
        }
    }

    /** Guards against clients that are refused or evicted while they use less than a third of the descriptors: each of
        them may have a request open, beside as many connections to hosts and the program's own files. */
    @ParameterizedTest
    @ValueSource(ints = {256, 384, 1024})
    void clientsMayUseAThirdOfTheDescriptors(int sockets) {
        int maxConnections = Main.maxConnections(sockets);
        assertTrue(Main.maxOpenRequests(maxConnections) >= sockets / 3,
                "requests " + Main.maxOpenRequests(maxConnections));
        assertTrue(2 * maxConnections + 40 <= sockets, "connections " + maxConnections);
    }

    @Test
    void idleClientsAreEvictedAtTheBound() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            Socket oldest = node.connect();
            write(oldest, read(20_000));
            assertEquals(200, Loopback.read(oldest).status());
            for (int i = 0; i < 8; i++) {  // 64 descriptors leave 8 to clients
                assertEquals(200, node.sendRequest(read(20_000)).status());
            }
            assertNull(Loopback.read(oldest));
        }
    }

    /** Guards against a flood of connections without a request that evicts those in use. */
    @Test
    void connectionsWithoutARequestAreEvictedFirst() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            Socket used = node.connect();
            write(used, read(20_000));
            assertEquals(200, Loopback.read(used).status());
            Socket silent = node.connect();
            for (int i = 0; i < 16; i++) {
                node.connect();
            }
            assertEquals(-1, silent.getInputStream().read());
            write(used, read(20_000));
            assertEquals(200, Loopback.read(used).status());
        }
    }

    @Test
    void requestBeyondTheBoundIsRefused() throws Exception {
        try (Server discovery = discoveryServer(); Server silent = new Server(message -> { });
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", silent)),
                        SETTINGS.replace("\"max_open\":20000", "\"max_open\":1")))) {
            write(node.connect(), read(60_000));
            await(silent.received);
            Message response = node.sendRequest(read(60_000).replace("9b1f", "9b20"));
            assertEquals(503, response.status());
            assertEquals("2", response.header("Retry-After"));
        }
    }

    /** Guards against requests that are lost at a planned restart: open ones are answered, and so are those that still
        arrive. */
    @Test
    void stopAnswersAcceptedRequests() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        try (Server discovery = discoveryServer();
                Server host = new Server(message -> {
                    if (message.startLine().startsWith("POST")) {
                        write(message.socket(), response("200 OK", "one"));
                    }
                });
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", host)), SETTINGS))) {
            Socket idle = node.connect();
            write(idle, "GET /ready HTTP/1.1\r\n\r\n");
            assertEquals(200, Loopback.read(idle).status());
            Socket open = node.connect();
            write(open, read(60_000));
            Message openRequest = await(host.received);
            Socket unused = node.connect();
            node.loop.submit(() -> {
                node.server.stop(stopped::countDown);
                write(idle, post("once", 20_000, "x").replace("9b1f", "9b20"));
                return null;
            }).sync();
            assertEquals("one", Loopback.read(idle).bodyText());  // clients may have no other gateway at the moment
            assertNull(Loopback.read(idle));
            assertNull(Loopback.read(unused));
            write(openRequest.socket(), response("200 OK", "in time"));
            Message response = Loopback.read(open);
            assertEquals("in time", response.bodyText());
            assertEquals("close", response.header("Connection"));
            assertTrue(stopped.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Guards against requests that are open when the process is killed: with short deadlines the kill comes before
        client connections would be closed at 1.5 s. Deadlines are in microseconds. */
    @ParameterizedTest
    @ValueSource(longs = {200_000, 670_000, 2_000_000, 3_000_000, 60_000_000})
    void stopHasAnsweredAllRequestsBeforeTheKill(long deadline) {
        long kill = Math.min(deadline, 3_000_000) + 700_000;
        assertTrue(DownstreamServer.shutdownServeMicros(deadline) < DownstreamServer.shutdownAnswerMicros(deadline));
        assertTrue(DownstreamServer.shutdownAnswerMicros(deadline) <= kill - 300_000);
    }

    private Process start(Map<String, String> environment, String... arguments) throws IOException {
        return start(environment, List.of(), List.of(), arguments);
    }

    /** Starts the program through the command {@code before}, which runs its arguments, with {@code flags} of the
        virtual machine. */
    private Process start(Map<String, String> environment, List<String> wrapperCommand,
            List<String> flags, String... arguments)
            throws IOException {
        // Resets SIGHUP to its default: the program would inherit it as ignored if this suite runs that way.
        ProcessBuilder builder = new ProcessBuilder("env", "--default-signal=HUP");
        builder.command().addAll(wrapperCommand);
        builder.command().add(System.getProperty("java.home") + "/bin/java");
        builder.command().addAll(flags);
        builder.command().addAll(List.of("-cp", System.getProperty("java.class.path"), "mastdrift.net.Main"));
        builder.command().addAll(List.of(arguments));
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().putAll(environment);
        return builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "log")).start();
    }

    private String log() throws IOException {
        return Files.readString(folder.resolve("log"), StandardCharsets.UTF_8);
    }

    /** Guards against a slow first second, in which requests would queue past their deadlines, and against a warm-up
        that contacts real hosts or discovery. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void warmUpCompletesAndContactsNobody(boolean longBodies) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (Server discovery = discoveryServer(); Server one = hostResponding("one")) {
            Config config = Config.read(
                    environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS));
            WarmUp.run(config, null, longBodies, Main.newEventLoop(),
                    new PrintStream(out, true, StandardCharsets.UTF_8)::println);
            assertEquals("", out.toString(StandardCharsets.UTF_8));
            assertTrue(one.acceptedConnections.isEmpty() && discovery.acceptedConnections.isEmpty());
        }
    }

    /** Guards against a start that loads and verifies every class again, which takes a third of its time: the build's
        warm-up runs with the configuration it is given, and {@code run} maps the class archive that the build
        creates. */
    @Test
    void buildWarmUpEndsAndItsArchiveIsInUse() throws Exception {
        List<String> deploy = Files.readAllLines(Path.of("deploy/balancer.toml"), StandardCharsets.UTF_8);
        String build = deploy.stream().filter(line -> line.startsWith("build = ")).findFirst().orElseThrow();
        String run = deploy.stream().filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String archive = build.replaceFirst(".*-XX:ArchiveClassesAtExit=(\\S+).*", "$1");
        assertTrue(run.contains("-XX:SharedArchiveFile=" + archive + " "), run);
        String file = build.replaceFirst(".*NODE_CONFIG=(\\S+).*", "$1");
        Process process = start(Map.of("NODE_CONFIG", file), "rehearse");
        try {
            assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue(), log());
            assertEquals("", log());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void sigtermEndsTheProgramWithStatus0() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one")) {
            Process process = start(environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS));
            try {
                await(discovery.received);  // the program has started
                process.destroy();
                assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), log());
                assertTrue(log().endsWith("stopped\n"), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against clients that are lost at a replacement: the successor accepts new ones; the old process serves
        its open connections, tells clients to close them, and closes idle ones at last. */
    @Test
    void successorTakesOverTheListeningSocket() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                Server two = hostResponding("two");
                ServerSocketChannel listeningSocket = ServerSocketChannel.open()) {
            listeningSocket.bind(new InetSocketAddress("127.0.0.1", 0));
            listeningSocket.configureBlocking(false);
            try (GatewayNode old = new GatewayNode(
                    environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS),
                    listeningSocket)) {
                Socket used = old.connect();
                Socket idle = old.connect();
                for (Socket client : List.of(used, idle)) {
                    write(client, read(20_000));
                    assertEquals("one", Loopback.read(client).bodyText());
                }
                try (GatewayNode successor = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s2", two)), SETTINGS),
                        listeningSocket)) {
                    CountDownLatch stopped = new CountDownLatch(1);
                    old.loop.submit(() -> old.server.stop(stopped::countDown)).sync();
                    for (int i = 0; i < 20; i++) {
                        assertEquals("two", successor.sendRequest(read(20_000)).bodyText());
                    }
                    write(used, read(20_000));
                    Message last = Loopback.read(used);
                    assertEquals("one", last.bodyText());
                    assertEquals("close", last.header("Connection"));
                    assertNull(Loopback.read(idle));
                    assertTrue(stopped.await(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                }
            }
        }
    }

    @Test
    void missingInheritedSocketEndsTheStartWithOneLine() throws Exception {
        try (Server discovery = discoveryServer()) {
            Map<String, String> environment = new HashMap<>(
                    environment(folder, discovery, hostList(1, true), SETTINGS));
            environment.put("NODE_PASSED_SOCKET", "0");
            Process process = start(environment);
            try {
                assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(2, process.exitValue(), log());
                assertEquals("can't start: descriptor 0 is no listening socket, though NODE_PASSED_SOCKET is set",
                        log().strip());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private void writeConfigAndSignalHup(Process process, String config) throws Exception {
        Files.writeString(folder.resolve("config.json"), config);
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
    }

    private void awaitLog(String text) throws Exception {
        for (int i = 0; !log().contains(text); i++) {
            assertTrue(i < Loopback.WAIT_SECONDS * 100, log());
            Thread.sleep(10);
        }
    }

    /** Guards against a gateway that SIGHUP ends, and against one that keeps using the old address of discovery. */
    @Test
    void sighupChangesTheDiscoveryAddress() throws Exception {
        try (Server discovery = discoveryServer(); Server moved = discoveryServer();
                Server one = hostResponding("one")) {
            Process process = start(environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS));
            try {
                Message oldWatch = await(discovery.received);
                sendListLine(oldWatch.socket(), hostList(5, false));
                awaitLog("list 5");
                writeConfigAndSignalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                assertEquals("GET /v1/endpoints?watch=1&from=5 HTTP/1.1", await(moved.received).startLine());
                assertNotNull(await(discovery.closedConnections));
                writeConfigAndSignalHup(process, "{\"discovery\":");
                awaitLog("configuration not taken");
                writeConfigAndSignalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                process.destroy();
                assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Sends one request to the admin address that the program has logged. */
    private Message sendAdminRequest(String requestLine) throws Exception {
        String logLine = log().lines().filter(l -> l.startsWith("operators may call")).findFirst().orElseThrow();
        try (Socket socket = new Socket("127.0.0.1",
                Integer.parseInt(logLine.substring(logLine.lastIndexOf(':') + 1)))) {
            socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
            write(socket, requestLine + " HTTP/1.1\r\nHost: s\r\n\r\n");
            return Loopback.read(socket);
        }
    }

    /** Guards against parts that work but are not connected in the program: it answers operators, drains, counts
        reloads, and stops. */
    @Test
    void adminRequestsWorkFromStartToStop() throws Exception {
        try (Server discovery = discoveryServer(); Server moved = discoveryServer();
                Server one = hostResponding("one")) {
            Map<String, String> environment = new HashMap<>(
                    environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS));
            environment.put("NODE_ADMIN", "127.0.0.1:0");
            Process process = start(environment);
            try {
                awaitLog("listening on");
                assertEquals(200, sendAdminRequest("GET /status").status());
                writeConfigAndSignalHup(process, "{\"discovery\":");
                awaitLog("configuration not taken");
                writeConfigAndSignalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                await(moved.received);
                String metrics = sendAdminRequest("GET /status/metrics").bodyText();
                assertTrue(metrics.contains("\nedge_node_reloads_failed_total 1\n"), metrics);
                assertTrue(metrics.contains("\nedge_node_reloads_ok_total 1\n"), metrics);
                assertTrue(metrics.contains("\nedge_node_hosts_known 1\n"), metrics);
                assertEquals(200, sendAdminRequest("POST /standby").status());
                awaitLog("standby");
                assertEquals("standby\n", sendAdminRequest("GET /status").bodyText());
                process.destroy();
                assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against an old list that replaces a newer one, and against an address change that is reported as a
        failure: what the old address still sends is ignored, and a new address that is not up yet is tried again. */
    @Test
    void onlyTheNewDiscoveryAddressCounts() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                Server moved = new Server(message -> {
                    if (requestCount.getAndIncrement() == 0) {
                        message.socket().close();
                    } else {
                        write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    }
                });
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            Message oldWatch = await(discovery.received);
            node.loop.submit(() -> node.server.gateway().setDiscoveryAddress(Loopback.addressOf(moved))).sync();
            await(moved.received);
            Message watch = await(moved.received);
            assertFalse(node.log.toString(StandardCharsets.UTF_8).contains("discovery failed"));
            assertThrows(IOException.class, () -> {
                while (true) {
                    sendListLine(oldWatch.socket(), hostList(9, true));
                }
            });
            sendListLine(watch.socket(), hostList(6, true, inService("s2", one)));
            awaitBody(node, "one");
            watch.socket().close();
            assertEquals("GET /v1/endpoints?watch=1&from=6 HTTP/1.1", await(moved.received).startLine());
        }
    }

    /** Guards against a drain that is missed when the address of discovery changes twice in a row: the list of the last
        address counts, also where the one between never answered. */
    @Test
    void drainIsObeyedAfterTwoDiscoveryAddressChanges() throws Exception {
        try (Server discovery = discoveryServer(); Server between = new Server(message -> { });
                Server last = discoveryServer();
                Server one = hostResponding("one"); Server two = hostResponding("two");
                GatewayNode node = new GatewayNode(
                        environment(folder, discovery, hostList(1, true, inService("s1", one)), SETTINGS))) {
            await(discovery.received);
            node.loop.submit(() -> node.server.gateway().setDiscoveryAddress(Loopback.addressOf(between))).sync();
            node.loop.submit(() -> node.server.gateway().setDiscoveryAddress(Loopback.addressOf(last))).sync();
            Message watch = await(last.received);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", watch.startLine());
            sendListLine(watch.socket(), hostList(7, true, inService("s2", two)));  // without the host that drains
            awaitBody(node, "two");
            for (int i = 0; i < 20; i++) {
                assertEquals("two", node.sendRequest(read(20_000).replace("7f3a", "key" + i)).bodyText());
            }
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "NODE_CONFIG | /none/such | can't read", "NODE_LISTEN | here | address:port",
        "NODE_ADMIN | here | address:port", "NODE_ADMIN | 203.0.113.1:9 | no listening for operators on",
        "settings | \"balancers\":0 | gateways can't be 0", "settings | \"balancers\":\"two\" | balancers as a"})
    void invalidConfigurationEndsWithOneLineAndStatus2(String setting, String value, String expected) throws Exception {
        try (Server discovery = discoveryServer()) {
            String settings = setting.equals("settings") ? SETTINGS.replace("\"balancers\":1", value) : SETTINGS;
            Map<String, String> environment = new HashMap<>(
                    environment(folder, discovery, hostList(1, true), settings));
            if (!setting.equals("settings")) {
                environment.put(setting, value);
            }
            Process process = start(environment);
            try {
                assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(2, process.exitValue(), log());
                assertEquals(1, log().strip().lines().count(), log());
                assertTrue(log().contains(expected), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
