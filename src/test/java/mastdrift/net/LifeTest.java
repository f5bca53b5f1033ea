package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.response;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostResponding;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.read;
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
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway's life: its start, what discovery tells it, its bounds, and its stop. */
class LifeTest {

    private static final int LIFE_SECONDS = 60;

    @TempDir
    private Path folder;

    private static String up(String uid, Server host) {
        return hostEntry(uid, host.address(), "a", "in_service");
    }

    /** Asks until the answers come from the host that discovery told of. */
    private static void awaitBody(GatewayNode node, String body) throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_SECONDS);
        Socket client = node.connect();
        for (String got = ""; !got.equals(body); got = Loopback.read(client).bodyText()) {
            write(client, read(20_000));
            assertTrue(System.nanoTime() < until, "no answer from " + body);
        }
    }

    /** Guards against requests that a new process serves by the list of before its start, in the moment between its first
        client and its first list: where lists are pushed, what they say counts from the start of the process on. */
    @Test
    void aNewProcessHearsOfADrainBeforeItsFirstClient() throws Exception {
        try (Server one = hostResponding("one"); Server two = hostResponding("two"); Server discovery = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        })) {
            Map<String, String> environment = environment(folder, discovery, hostList(1, true, up("s1", one)),
                    SETTINGS.replace("on_request", "pushed"));
            CompletableFuture<GatewayNode> starts = CompletableFuture.supplyAsync(() -> new GatewayNode(environment));
            Socket watch = await(discovery.received).socket();
            assertThrows(TimeoutException.class, () -> starts.get(300, TimeUnit.MILLISECONDS));
            sendListLine(watch, hostList(2, false, hostEntry("s1", one.address(), "a", "terminating"), up("s2", two)));
            try (GatewayNode node = starts.get(LIFE_SECONDS, TimeUnit.SECONDS)) {
                assertEquals("two", node.sendRequest(read(20_000)).bodyText());
            }
        }
    }

    /** Guards against lists that are never learned since they come indented, or in pieces cut anywhere; a list that breaks
        off is noticed by the next sign of life, and asked for again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000_000})
    void aWatchMayComeIndentedAndInPieces(int piece) throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one"); Server two = hostResponding("two");
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
            Message watch = await(discovery.received);
            String indented = hostList(7, false, hostEntry("s1", one.address(), "a", "terminating"), up("s}\\\"{2", two))
                    .replace("{", "{\n  ").replace("},", "},\r\n  ").replace("]", "\n ]").replace("s}\\\"{\n  2", "s}\\\"{2");
            String lines = "\n" + indented + "\n\n" + hostList(8, false) + "\n";
            synchronized (watch.socket()) {  // behind the head of the answer
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

    /** Guards against a list that stays old after a watch broke: in all these ways it is asked for again, from the
        version that came last. */
    @ParameterizedTest
    @ValueSource(strings = {"end", "odd", "silence"})
    void aWatchThatBreaksIsResumed(String how) throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one"); Server two = hostResponding("two");
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
            Message first = await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", first.startLine());
            sendListLine(first.socket(), hostList(7, false, hostEntry("s1", one.address(), "a", "terminating"), up("s2", two)));
            awaitBody(node, "two");
            if (how.equals("end")) {
                first.socket().close();
            } else if (how.equals("odd")) {
                sendListLine(first.socket(), "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":3}]}");
            }
            Message next = await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", next.startLine());
            sendListLine(next.socket(), hostList(9, true, up("s1", one)));
            awaitBody(node, "one");
        }
    }

    /** Guards against a call that never ends since bytes trickle in, none of which ends a list: what binds it is the time
        since its beginning. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "{\"rev\":2,"})
    void aCallThatTricklesEndsAllTheSame(String first) throws Exception {
        try (Server one = hostResponding("one"); Server discovery = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            String begun = first.equals("GET") ? "" : Integer.toHexString(first.length()) + "\r\n" + first + "\r\n";
            write(message.socket(), begun);
            while (true) {  // until the call ends, or the test
                Thread.sleep(100);
                write(message.socket(), "1\r\n \r\n");
            }
        }); GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
            await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", await(discovery.received).startLine());
        }
    }

    /** Guards against a drained host that gets requests again by a list of before its drain, which comes whole and late. */
    @Test
    void aListOfAnOlderVersionTakesNothingBack() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one"); Server two = hostResponding("two");
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
            Message first = await(discovery.received);
            sendListLine(first.socket(), hostList(7, false, hostEntry("s1", one.address(), "a", "terminating"), up("s2", two)));
            awaitBody(node, "two");
            first.socket().close();
            Message next = await(discovery.received);
            sendListLine(next.socket(), hostList(6, true, up("s1", one)));
            sendListLine(next.socket(), "{\"rev\":8,");  // which breaks off
            sendListLine(next.socket(), "");
            assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", await(discovery.received).startLine());
            for (int i = 0; i < 20; i++) {
                assertEquals("two", node.sendRequest(read(20_000).replace("7f3a", "key" + i)).bodyText());
            }
        }
    }

    /** Guards against a gateway that hears nothing, and serves nobody, once idle clients have filled its descriptors while
        discovery was down: those for discovery, for hosts and for the log are kept free. */
    @Test
    void idleClientsThatFillTheDescriptorsKeepNoListFromComing() throws Exception {
        CountDownLatch back = new CountDownLatch(1);
        try (Server one = hostResponding("one"); Server two = hostResponding("two"); Server discovery = new Server(message -> {
            back.await();
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendListLine(message.socket(), hostList(2, false, hostEntry("s1", one.address(), "a", "terminating"), up("s2", two)));
        })) {
            Map<String, String> environment = environment(folder, discovery, hostList(1, true, up("s1", one)),
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
                assertEquals("one", ask(port).bodyText());
                back.countDown();
                awaitLog("list 2: 2 changes");
                assertEquals("two", ask(port).bodyText());
                assertFalse(log().contains("fault"), log());
            } finally {
                process.destroyForcibly();
                for (Socket socket : idle) {
                    socket.close();
                }
            }
        }
    }

    private static Message ask(int port) throws IOException {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
            write(client, read(20_000));
            return Loopback.read(client);
        }
    }

    /** Guards against sizes that a start's fixed memory can't hold: 1,024 hosts and as many gateways, by the flags of
        {@code run}. */
    @Test
    void aThousandHostsAndGatewaysFitIntoTheProgramsMemory() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one")) {
            String[] entries = IntStream.range(0, 1024).mapToObj(i -> up("s" + i, one)).toArray(String[]::new);
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

    /** Guards against a stray close: a gateway that can't reach discovery serves by what it knows. */
    @Test
    void withoutDiscoveryTheKnownListServes() throws Exception {
        Server discovery = discoveryServer();
        discovery.close();
        try (Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
            assertEquals("one", node.sendRequest(read(20_000)).bodyText());
        }
    }

    /** Guards against clients within their third of the descriptors that are refused or pushed out: each of them may have
        a request open, and the program's own files and as many connections to hosts still fit. */
    @ParameterizedTest
    @ValueSource(ints = {256, 384, 1024})
    void clientsMayHoldAThirdOfTheDescriptorsForRequests(int sockets) {
        int most = Main.maxConnections(sockets);
        assertTrue(Main.maxOpenRequests(most) >= sockets / 3, "requests " + Main.maxOpenRequests(most));
        assertTrue(2 * most + 40 <= sockets, "connections " + most);
    }

    @Test
    void idleClientsMakeRoomAtTheBound() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
            Socket eldest = node.connect();
            write(eldest, read(20_000));
            assertEquals(200, Loopback.read(eldest).status());
            for (int i = 0; i < 8; i++) {  // 64 descriptors leave 8 to clients
                assertEquals(200, node.sendRequest(read(20_000)).status());
            }
            assertNull(Loopback.read(eldest));
        }
    }

    /** Guards against a flood of connections that say nothing and push out those that clients use. */
    @Test
    void silentConnectionsMakeRoomFirst() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
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
    void beyondTheMostOpenRequestsOneIsRefused() throws Exception {
        try (Server discovery = discoveryServer(); Server silent = new Server(message -> { });
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", silent)),
                        SETTINGS.replace("\"max_open\":20000", "\"max_open\":1")))) {
            write(node.connect(), read(60_000));
            await(silent.received);
            Message answer = node.sendRequest(read(60_000).replace("9b1f", "9b20"));
            assertEquals(503, answer.status());
            assertEquals("2", answer.header("Retry-After"));
        }
    }

    /** Guards against requests lost at a planned restart: what was taken is answered, and what still comes too. */
    @Test
    void aStopFinishesWhatWasTaken() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        try (Server discovery = discoveryServer();
                Server host = new Server(message -> {
                    if (message.startLine().startsWith("POST")) {
                        write(message.socket(), response("200 OK", "one"));
                    }
                });
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", host)), SETTINGS))) {
            Socket idle = node.connect();
            write(idle, "GET /ready HTTP/1.1\r\n\r\n");
            assertEquals(200, Loopback.read(idle).status());
            Socket taken = node.connect();
            write(taken, read(60_000));
            Message held = await(host.received);
            Socket coming = node.connect();
            node.loop.submit(() -> {
                node.server.stop(stopped::countDown);
                write(idle, post("once", 20_000, "x").replace("9b1f", "9b20"));
                return null;
            }).sync();
            assertEquals("one", Loopback.read(idle).bodyText());  // clients may have no other gateway just now
            assertNull(Loopback.read(idle));
            assertNull(Loopback.read(coming));
            write(held.socket(), response("200 OK", "in time"));
            Message answer = Loopback.read(taken);
            assertEquals("in time", answer.bodyText());
            assertEquals("close", answer.header("Connection"));
            assertTrue(stopped.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Guards against requests that the kill finds: with short deadlines it comes before clients' connections were
        closed at 1.5 s, and what crosses it is lost. Deadlines are in microseconds. */
    @ParameterizedTest
    @ValueSource(longs = {200_000, 670_000, 2_000_000, 3_000_000, 60_000_000})
    void aStopTakesNothingMoreAndHasAnsweredAllBeforeTheKill(long deadline) {
        long kill = Math.min(deadline, 3_000_000) + 700_000;
        assertTrue(DownstreamServer.shutdownServeMicros(deadline) < DownstreamServer.shutdownAnswerMicros(deadline));
        assertTrue(DownstreamServer.shutdownAnswerMicros(deadline) <= kill - 300_000);
    }

    private Process start(Map<String, String> environment, String... arguments) throws IOException {
        return start(environment, List.of(), List.of(), arguments);
    }

    /** Behind {@code before}, a command that goes on as its arguments; with {@code flags} of the virtual machine. */
    private Process start(Map<String, String> environment, List<String> before, List<String> flags, String... arguments)
            throws IOException {
        // Signals as by default: where this suite is run with hang-ups ignored, the program would ignore them as well.
        ProcessBuilder builder = new ProcessBuilder("env", "--default-signal=HUP");
        builder.command().addAll(before);
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

    /** Guards against a slow first second, in which requests queued past their time, and against a rehearsal that
        reaches anyone. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRehearsalPlaysThroughAndReachesNobody(boolean longToo) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (Server discovery = discoveryServer(); Server one = hostResponding("one")) {
            Config config = Config.read(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS));
            Rehearsal.play(config, null, longToo, Main.newEventLoop(), new PrintStream(out, true, StandardCharsets.UTF_8)::println);
            assertEquals("", out.toString(StandardCharsets.UTF_8));
            assertTrue(one.acceptedConnections.isEmpty() && discovery.acceptedConnections.isEmpty());
        }
    }

    /** Guards against a start that loads and checks every class anew, for a third of its time: the build's rehearsal
        runs with the file given to it, and 'run' maps the archive that the build leaves. */
    @Test
    void theBuildsRehearsalEndsAndItsArchiveIsTheOneInUse() throws Exception {
        List<String> deploy = Files.readAllLines(Path.of("deploy/balancer.toml"), StandardCharsets.UTF_8);
        String build = deploy.stream().filter(line -> line.startsWith("build = ")).findFirst().orElseThrow();
        String run = deploy.stream().filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String archive = build.replaceFirst(".*-XX:ArchiveClassesAtExit=(\\S+).*", "$1");
        assertTrue(run.contains("-XX:SharedArchiveFile=" + archive + " "), run);
        String file = build.replaceFirst(".*NODE_CONFIG=(\\S+).*", "$1");
        Process process = start(Map.of("NODE_CONFIG", file), "rehearse");
        try {
            assertTrue(process.waitFor(LIFE_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue(), log());
            assertEquals("", log());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void sigtermEndsTheProgramWithStatus0() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one")) {
            Process process = start(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS));
            try {
                await(discovery.received);  // it has started
                process.destroy();
                assertTrue(process.waitFor(LIFE_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), log());
                assertTrue(log().endsWith("stopped\n"), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against clients that a replacement loses: the successor takes who comes, and the old process serves those
        that it has, tells them to leave, and closes what nobody asks on at last. */
    @Test
    void aSuccessorTakesOverTheListeningSocket() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one"); Server two = hostResponding("two");
                ServerSocketChannel passed = ServerSocketChannel.open()) {
            passed.bind(new InetSocketAddress("127.0.0.1", 0));
            passed.configureBlocking(false);
            try (GatewayNode old = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS), passed)) {
                Socket used = old.connect();
                Socket idle = old.connect();
                for (Socket client : List.of(used, idle)) {
                    write(client, read(20_000));
                    assertEquals("one", Loopback.read(client).bodyText());
                }
                try (GatewayNode next = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s2", two)), SETTINGS),
                        passed)) {
                    CountDownLatch stopped = new CountDownLatch(1);
                    old.loop.submit(() -> old.server.stop(stopped::countDown)).sync();
                    for (int i = 0; i < 20; i++) {
                        assertEquals("two", next.sendRequest(read(20_000)).bodyText());
                    }
                    write(used, read(20_000));
                    Message last = Loopback.read(used);
                    assertEquals("one", last.bodyText());
                    assertEquals("close", last.header("Connection"));
                    assertNull(Loopback.read(idle));
                    assertTrue(stopped.await(LIFE_SECONDS, TimeUnit.SECONDS));
                }
            }
        }
    }

    @Test
    void aPassedSocketThatIsNoneEndsTheStartWithOnePlainLine() throws Exception {
        try (Server discovery = discoveryServer()) {
            Map<String, String> environment = new HashMap<>(environment(folder, discovery, hostList(1, true), SETTINGS));
            environment.put("NODE_PASSED_SOCKET", "0");
            Process process = start(environment);
            try {
                assertTrue(process.waitFor(LIFE_SECONDS, TimeUnit.SECONDS));
                assertEquals(2, process.exitValue(), log());
                assertEquals("can't start: descriptor 0 is no listening socket, though NODE_PASSED_SOCKET is set",
                        log().strip());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private void signalHup(Process process, String discovery) throws Exception {
        Files.writeString(folder.resolve("config.json"), discovery);
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
    }

    private void awaitLog(String text) throws Exception {
        for (int i = 0; !log().contains(text); i++) {
            assertTrue(i < Loopback.WAIT_SECONDS * 100, log());
            Thread.sleep(10);
        }
    }

    /** Guards against a gateway that SIGHUP ends, and against one that goes on asking where discovery no longer is. */
    @Test
    void sighupMovesDiscovery() throws Exception {
        try (Server discovery = discoveryServer(); Server moved = discoveryServer(); Server one = hostResponding("one")) {
            Process process = start(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS));
            try {
                Message before = await(discovery.received);
                sendListLine(before.socket(), hostList(5, false));
                awaitLog("list 5");
                signalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                assertEquals("GET /v1/endpoints?watch=1&from=5 HTTP/1.1", await(moved.received).startLine());
                assertNotNull(await(discovery.closedConnections));
                signalHup(process, "{\"discovery\":");
                awaitLog("configuration not taken");
                signalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                process.destroy();
                assertTrue(process.waitFor(LIFE_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** One operators' call to the program that the log tells of. */
    private Message call(String line) throws Exception {
        String at = log().lines().filter(l -> l.startsWith("operators may call")).findFirst().orElseThrow();
        try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(at.substring(at.lastIndexOf(':') + 1)))) {
            socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
            write(socket, line + " HTTP/1.1\r\nHost: s\r\n\r\n");
            return Loopback.read(socket);
        }
    }

    /** Guards against parts that work but are not wired up: the program itself answers operators, drains, counts what it
        is told at a signal, and ends. */
    @Test
    void operatorsMayCallTheProgramFromItsStartToItsStop() throws Exception {
        try (Server discovery = discoveryServer(); Server moved = discoveryServer(); Server one = hostResponding("one")) {
            Map<String, String> environment = new HashMap<>(
                    environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS));
            environment.put("NODE_ADMIN", "127.0.0.1:0");
            Process process = start(environment);
            try {
                awaitLog("listening on");
                assertEquals(200, call("GET /status").status());
                signalHup(process, "{\"discovery\":");
                awaitLog("configuration not taken");
                signalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                await(moved.received);
                String figures = call("GET /status/metrics").bodyText();
                assertTrue(figures.contains("\nedge_node_reloads_failed_total 1\n"), figures);
                assertTrue(figures.contains("\nedge_node_reloads_ok_total 1\n"), figures);
                assertTrue(figures.contains("\nedge_node_hosts_known 1\n"), figures);
                assertEquals(200, call("POST /standby").status());
                awaitLog("standby");
                assertEquals("standby\n", call("GET /status").bodyText());
                process.destroy();
                assertTrue(process.waitFor(LIFE_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against an old list in the place of a newer one, and against a move that the module takes for a failure:
        what the old address says late counts for nothing, and an address that isn't up yet is asked again. */
    @Test
    void afterAMoveOnlyTheNewAddressIsHeard() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                Server moved = new Server(message -> {
                    if (calls.getAndIncrement() == 0) {
                        message.socket().close();
                    } else {
                        write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    }
                });
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
            Message before = await(discovery.received);
            node.loop.submit(() -> node.server.gateway().setDiscoveryAddress(Loopback.addressOf(moved))).sync();
            await(moved.received);
            Message watch = await(moved.received);
            assertFalse(node.log.toString(StandardCharsets.UTF_8).contains("discovery failed"));
            assertThrows(IOException.class, () -> {
                while (true) {
                    sendListLine(before.socket(), hostList(9, true));
                }
            });
            sendListLine(watch.socket(), hostList(6, true, up("s2", one)));
            awaitBody(node, "one");
            watch.socket().close();
            assertEquals("GET /v1/endpoints?watch=1&from=6 HTTP/1.1", await(moved.received).startLine());
        }
    }

    /** Guards against a drain that is missed in two moves of discovery, one right behind the other: what the last address
        tells counts, also where the one between never answered. */
    @Test
    void behindTwoMovesADrainIsHeardFromTheLastAddress() throws Exception {
        try (Server discovery = discoveryServer(); Server between = new Server(message -> { }); Server last = discoveryServer();
                Server one = hostResponding("one"); Server two = hostResponding("two");
                GatewayNode node = new GatewayNode(environment(folder, discovery, hostList(1, true, up("s1", one)), SETTINGS))) {
            await(discovery.received);
            node.loop.submit(() -> node.server.gateway().setDiscoveryAddress(Loopback.addressOf(between))).sync();
            node.loop.submit(() -> node.server.gateway().setDiscoveryAddress(Loopback.addressOf(last))).sync();
            Message watch = await(last.received);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", watch.startLine());
            sendListLine(watch.socket(), hostList(7, true, up("s2", two)));  // which leaves out the one that drains
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
    void aBadConfigurationIsOnePlainLineAndStatus2(String what, String value, String expected) throws Exception {
        try (Server discovery = discoveryServer()) {
            String settings = what.equals("settings") ? SETTINGS.replace("\"balancers\":1", value) : SETTINGS;
            Map<String, String> environment = new HashMap<>(environment(folder, discovery, hostList(1, true), settings));
            if (!what.equals("settings")) {
                environment.put(what, value);
            }
            Process process = start(environment);
            try {
                assertTrue(process.waitFor(LIFE_SECONDS, TimeUnit.SECONDS));
                assertEquals(2, process.exitValue(), log());
                assertEquals(1, log().strip().lines().count(), log());
                assertTrue(log().contains(expected), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
