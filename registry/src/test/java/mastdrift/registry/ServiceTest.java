package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mastdrift.common.Clock;
import mastdrift.common.Disk;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A single replica, an agent and the commands within this process. Timeouts are far longer than the awaited events
    take. */
class ServiceTest {

    private static final int WAIT_SECONDS = 60;

    @TempDir
    private Path folder;
    private Replica replica;
    private int port;

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private void start(String name) throws Exception {
        int raft = freePort();
        replica = new Replica(new Replica.Config("registry-1", folder.resolve(name),
                new InetSocketAddress("127.0.0.1", 0),
                new InetSocketAddress("127.0.0.1", raft), Map.of("registry-1", new ReplicaBootstrap.Address("127.0.0.1:"
                + raft, "-")),
                100), Clock.SYSTEM, new RegistryState(), new Disk());
        port = replica.port();
        replica.start();
        await(() -> replica.status().get("leader") != null);
    }

    @AfterEach
    void close() throws IOException {
        if (replica != null) {
            replica.close();
        }
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + WAIT_SECONDS * 1_000_000_000L;
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, "the condition was not met in time");
            Thread.sleep(10);
        }
    }

    private String out = "";
    private String err = "";

    private int run(String... args) {
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        List<String> arguments = new java.util.ArrayList<>(List.of(args));
        arguments.add("--registry");
        arguments.add("127.0.0.1:" + port);
        int status = Main.run(arguments.toArray(String[]::new), new PrintWriter(output, true),
                new PrintWriter(errors, true));
        out = output.toString();
        err = errors.toString();
        return status;
    }

    @Test
    void commandsPutListDrainRemoveBackUpAndRestore() throws Exception {
        start("one");
        assertEquals(0, run("endpoints", "put", "host-1", "127.0.0.1:9000", "--zone", "a"));
        assertEquals("host-1 at revision 1", out.strip());
        assertEquals(1, run("endpoints", "put", "host-1", "127.0.0.1:9001", "--if-rev", "7"));
        assertEquals("its revision is another", err.strip());
        assertEquals(1, run("endpoints", "put", "host-2", "nowhere"));
        assertTrue(err.contains("endpoint: expected address:port, not nowhere"), err);
        assertEquals(0, run("endpoints", "drain", "host-1"));
        assertEquals(0, run("endpoints", "list"));
        assertTrue(out.contains("host-1") && out.contains("terminating") && out.contains("revision 2"), out);
        assertEquals(0, run("endpoints", "list", "--json"));
        assertEquals(2, Json.parse(out).get("rev"));
        assertEquals(0, run("endpoints", "watch", "--lines", "1"));
        assertTrue(out.contains("\"uid\":\"host-1\""), out);
        Path backup = folder.resolve("backup");
        assertEquals(0, run("registry", "backup", backup.toString()));
        assertEquals(1, run("registry", "restore", backup.toString()));
        assertTrue(err.contains("the list is not empty"), err);
        assertEquals(0, run("endpoints", "remove", "host-1", "--now"));
        assertEquals(1, run("endpoints", "remove", "host-1"));
        assertEquals("no entry host-1", err.strip());
        assertEquals(0, run("registry", "restore", backup.toString()));
        assertTrue(out.contains("1 entries, at revision " + (2 + RegistryState.RESTORE_REVISION_GAP)), out);
        byte[] bytes = Files.readAllBytes(backup);
        bytes[20] ^= 1;
        Files.write(backup, bytes);
        assertEquals(2, run("registry", "restore", backup.toString()));
        assertTrue(err.contains(backup + " is spoilt"), err);
        assertEquals(0, run("registry", "status"));
        assertTrue(out.contains("leader registry-1"), out);
        await(() -> run("registry", "members") == 0 && out.contains("registry-1~0  leads"));
        HttpResponse<String> metrics = HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create(
                "http://127.0.0.1:" + port + "/metrics")).build(), HttpResponse.BodyHandlers.ofString());
        assertTrue(metrics.body().contains("registry_entries 1.0"), metrics.body());
    }

    @Test
    void rollingRestartOrdersAreAcceptedAndShown() throws Exception {
        start("one");
        Path plan = folder.resolve("roll.toml");
        Files.writeString(plan, "[[gateway]]\nname = \"g\"\nadmin = \"127.0.0.1:1\"\n");
        assertEquals(0, run("roll", "start", plan.toString()));
        assertEquals("start ordered, number 1", out.strip());
        assertEquals(0, run("roll", "status"));
        assertEquals("idle, 0 of 0 gateways, by null", out.strip());
        Files.writeString(plan, "[[gateway]]\nadmin = \"x\"\n");
        assertEquals(2, run("roll", "start", plan.toString()));
        assertTrue(err.contains("roll.toml:2: gateway[0].admin: expected address:port, not x"), err);
    }

    @Test
    void commandsEvacuateAZoneAndReturnIt() throws Exception {
        start("one");
        for (String zone : new String[] {"a", "b", "c"}) {
            assertEquals(0, run("endpoints", "put", "host-" + zone, "127.0.0.1:9000", "--zone", zone));
        }
        assertEquals(0, run("zone", "evacuate", "b"));
        assertTrue(out.contains("out") && out.contains("0 of 1 in service"), out);
        assertEquals(1, run("zone", "evacuate", "c"));
        assertTrue(err.contains("the rest can't carry zone c: 33%"), err);
        assertEquals(0, run("zone", "status"));
        assertEquals(3, out.lines().count(), out);
        assertEquals(1, run("zone", "status", "nowhere"));
        assertEquals(2, run("zone", "evacuate", "a", "--over", "soon"));
        assertTrue(err.contains("a span like 60s, 2m or 500ms, not soon"), err);
        assertEquals(0, run("zone", "return", "b"));
        assertTrue(out.contains("1 of 1 in service"), out);
    }

    /** The agent joins on start and leaves on close; {@code members why} shows both. */
    @Test
    void anAgentWithANameJoinsAndLeavesTheMembership() throws Exception {
        start("one");
        int own = freePort();
        Agent.Config config = new Agent.Config(folder.resolve("agent"), new InetSocketAddress("127.0.0.1", own),
                List.of(new InetSocketAddress("127.0.0.1", port)),
                new MembershipClient.Config("agent-1", "agent", "a", "127.0.0.1:" + own + "/v1/agent"));
        try (Agent agent = new Agent(config, Clock.SYSTEM, new Disk())) {
            await(() -> run("members", "list") == 0 && out.contains("agent-1"));
            assertTrue(out.contains("view 1"), out);
        }
        await(() -> run("members", "list") == 0 && !out.contains("agent-1"));
        assertEquals(0, run("members", "why", "agent-1"));
        assertTrue(out.contains("view 1: joined") && out.contains("view 2: left"), out);
        assertEquals(1, run("members", "why", "nobody"));
    }

    /** Guards against a member that is stopped while its join is in progress and stays in the view. */
    @Test
    void aMemberStoppedWhileJoiningLeaves() throws Exception {
        CountDownLatch joining = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpServer service = HttpServer.listen(loops, new InetSocketAddress("127.0.0.1", 0), exchange -> {
            if (exchange.path().endsWith("/join")) {
                joining.countDown();  // without a response
            } else if (exchange.path().endsWith("/leave")) {
                left.countDown();
                exchange.respondJson(200, "{}");
            }
        });
        MembershipClient member = new MembershipClient(new MembershipClient.Config("agent-1", "agent", "a",
                "127.0.0.1:1/v1/agent"),
                List.of("127.0.0.1:" + service.port()), Clock.SYSTEM);
        assertTrue(joining.await(WAIT_SECONDS, TimeUnit.SECONDS));
        member.close();
        assertEquals(0, left.getCount());
        service.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Guards against agents that lose the service when their configured replica addresses are gone, also after a
        restart. */
    @Test
    void anAgentFollowsReplicasThatMove() throws Exception {
        int newPort = freePort();
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpServer.Handler service = exchange -> {
            if (exchange.path().equals("/v1/registry")) {
                exchange.respondJson(200,
                        "{\"members\":{\"registry-1\":{\"id\":\"r~1\",\"mark\":1,\"http\":\"127.0.0.1:"
                        + newPort + "\"}}}");
            } else {
                exchange.startLineStream().writeLine(
                        "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"h\",\"endpoint\":\"127.0.0.1:1\"}]}");
            }
        };
        HttpServer before = HttpServer.listen(loops, new InetSocketAddress("127.0.0.1", 0), service);
        Agent.Config config = new Agent.Config(folder.resolve("agent"), new InetSocketAddress("127.0.0.1", freePort()),
                List.of(new InetSocketAddress("127.0.0.1", before.port())), null);
        try (Agent agent = new Agent(config, Clock.SYSTEM, new Disk())) {
            await(() -> Files.exists(config.folder().resolve("replicas.json")));
        }
        before.close();
        CountDownLatch asked = new CountDownLatch(1);
        HttpServer after = HttpServer.listen(loops, new InetSocketAddress("127.0.0.1", newPort), exchange -> {
            asked.countDown();
            service.handle(exchange);
        });
        try (Agent agent = new Agent(config, Clock.SYSTEM, new Disk())) {
            assertTrue(asked.await(WAIT_SECONDS, TimeUnit.SECONDS));
        }
        after.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void anUnreachableServiceHasItsOwnExitStatus() throws Exception {
        port = freePort();
        assertEquals(3, run("registry", "status"));
        assertTrue(err.startsWith("no replica answers"), err);
    }

    /** Guards against a replica that loses entries or revisions when it restarts. */
    @Test
    void aReplicaRestartsFromItsFolder() throws Exception {
        start("one");
        run("endpoints", "put", "host-1", "127.0.0.1:9000");
        replica.close();
        start("one");
        assertEquals(0, run("endpoints", "put", "host-2", "127.0.0.1:9000"));
        assertEquals("host-2 at revision 2", out.strip());
        assertEquals(2, replica.status().get("entries"));
    }

    @Test
    void anAgentServesTheSavedListWithoutReplicas() throws Exception {
        start("one");
        run("endpoints", "put", "host-1", "127.0.0.1:9000");
        Agent.Config config = new Agent.Config(folder.resolve("agent"), new InetSocketAddress("127.0.0.1", freePort()),
                List.of(new InetSocketAddress("127.0.0.1", port)), null);
        String at = "http://127.0.0.1:" + config.listen().getPort();
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest request = HttpRequest.newBuilder(URI.create(at + "/v1/endpoints")).build();
        try (Agent agent = new Agent(config, Clock.SYSTEM, new Disk())) {
            await(() -> client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200);
            await(() -> Files.exists(config.folder().resolve("list.json")));
        }
        replica.close();
        replica = null;
        try (Agent agent = new Agent(config, Clock.SYSTEM, new Disk())) {
            HttpResponse<String> list = client.send(request, HttpResponse.BodyHandlers.ofString());
            assertEquals(200, list.statusCode());
            assertTrue(list.body().contains("\"uid\":\"host-1\""), list.body());
            String status = client.send(HttpRequest.newBuilder(URI.create(at + "/v1/agent")).build(),
                    HttpResponse.BodyHandlers.ofString()).body();
            assertEquals("file", Json.parse(status).get("source"));
        }
        Path file = config.folder().resolve("list.json");
        byte[] bytes = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(bytes, bytes.length - 1));
        try (Agent agent = new Agent(config, Clock.SYSTEM, new Disk())) {
            assertEquals(503, client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
        }
    }

    /** Guards against gateways of a large fleet being refused by the one agent of their machine. */
    @Test
    void anAgentAcceptsAThousandWatches() throws Exception {
        start("one");
        run("endpoints", "put", "host-1", "127.0.0.1:9000");
        Agent.Config config = new Agent.Config(folder.resolve("agent"), new InetSocketAddress("127.0.0.1", freePort()),
                List.of(new InetSocketAddress("127.0.0.1", port)), null);
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest request = HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + config.listen().getPort() + "/v1/endpoints")).build();
        List<Socket> watches = new ArrayList<>();
        try (Agent agent = new Agent(config, Clock.SYSTEM, new Disk())) {
            await(() -> client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200);
            for (int i = 0; i < 1024; i++) {
                Socket watch = new Socket("127.0.0.1", config.listen().getPort());
                watches.add(watch);
                watch.setSoTimeout(WAIT_SECONDS * 1000);
                watch.getOutputStream().write(
                        "GET /v1/endpoints?watch=1&from=0 HTTP/1.1\r\nHost: a\r\n\r\n"
                                .getBytes(StandardCharsets.UTF_8));
            }
            for (Socket watch : watches) {
                BufferedReader answer = new BufferedReader(
                        new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
                assertEquals("HTTP/1.1 200 OK", answer.readLine());
                while (!answer.readLine().contains("\"uid\":\"host-1\"")) {
                    continue;
                }
            }
        } finally {
            for (Socket watch : watches) {
                watch.close();
            }
        }
    }
}
