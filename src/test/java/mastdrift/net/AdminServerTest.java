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
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the requests of operators and the responses to them. */
class AdminServerTest {

    @TempDir
    private Path folder;

    private Map<String, String> environmentWithAdmin(Server discovery, Server... hosts) throws Exception {
        List<String> entries = new ArrayList<>();
        for (Server host : hosts) {
            entries.add(hostEntry("s" + entries.size(), host.address(), "a", "in_service"));
        }
        Map<String, String> environment = new HashMap<>(environment(folder, discovery,
                hostList(1, true, entries.toArray(new String[0])), SETTINGS));
        environment.put("NODE_ADMIN", "127.0.0.1:0");
        return environment;
    }

    private static String metric(GatewayNode node, String name) throws Exception {
        return node.callAdmin("GET /status/metrics").bodyText().lines()
                .filter(line -> line.startsWith("edge_node_" + name + " "))
                .map(line -> line.substring(line.lastIndexOf(' ') + 1)).findFirst().orElse("missing");
    }

    /** Polls a metric until it has that value: it may lag behind the response by half a second. */
    private static void awaitMetric(GatewayNode node, String name, String value) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_SECONDS);
        for (String current = metric(node, name); !current.equals(value); current = metric(node, name)) {
            assertTrue(System.nanoTime() < deadline, name + " is " + current + ", not " + value);
        }
    }

    @ParameterizedTest
    @CsvSource({"GET /status, 200", "GET /status/metrics?x=1, 200", "POST /active, 200", "GET /elsewhere, 404",
        "POST /status, 405", "GET /standby, 405", "nonsense, 400"})
    void requestsGetTheirStatus(String requestLine, int status) throws Exception {
        try (Server discovery = discoveryServer();
                GatewayNode node = new GatewayNode(environmentWithAdmin(discovery))) {
            Message response = node.callAdmin(requestLine);
            assertEquals(status, response.status());
            assertEquals("close", response.header("Connection"));
        }
    }

    /** Guards against requests that wait for the end of the start, or for the event loop of the clients. */
    @Test
    void requestsAreAnsweredBeforeTheStartAndWhileTheGatewayIsBusy() throws Exception {
        try (Server discovery = discoveryServer()) {
            EventLoop loop = Main.newEventLoop();
            Lifecycle lifecycle = new Lifecycle();
            Config config = Config.read(environmentWithAdmin(discovery));
            AdminServer admin = AdminServer.start(config.adminAddress(), loop, lifecycle, config.newMetrics());
            try (Socket early = new Socket(admin.address().getAddress(), admin.address().getPort())) {
                write(early, "GET /status HTTP/1.1\r\nHost: s\r\n\r\n");
                assertEquals(503, Loopback.read(early).status());
            } finally {
                loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
            }
            CountDownLatch endOfBusyTask = new CountDownLatch(1);
            try (GatewayNode node = new GatewayNode(environmentWithAdmin(discovery))) {
                node.loop.execute(() -> {
                    try {
                        endOfBusyTask.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                assertEquals(200, node.callAdmin("GET /status").status());
                assertEquals("0", metric(node, "in_flight"));
                endOfBusyTask.countDown();
            }
        }
    }

    /** Guards against callers that send nothing or half a request: each is closed, and a flood of them blocks no valid
        request. */
    @Test
    void silentCallersAreClosedAndBlockNoOthers() throws Exception {
        try (Server discovery = discoveryServer();
                GatewayNode node = new GatewayNode(environmentWithAdmin(discovery))) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 3 * AdminServer.MAX_CONNECTIONS; i++) {
                Socket caller = new Socket(node.admin.address().getAddress(), node.admin.address().getPort());
                caller.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
                write(caller, i % 2 == 0 ? "" : "GET /sta");
                silent.add(caller);
            }
            assertEquals(200, node.callAdmin("GET /status").status());
            for (Socket caller : silent) {
                assertNull(Loopback.read(caller));
                caller.close();
            }
        }
    }

    @Test
    void metricsCountRequestsAndAttempts() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(environmentWithAdmin(discovery, one))) {
            assertEquals("0", metric(node, "requests_total{class=\"once\",outcome=\"failed\"}"));
            assertEquals("0", metric(node, "attempts_total"));
            assertEquals("1", metric(node, "hosts_known"));
            assertEquals(200, node.sendRequest(read(20_000)).status());
            assertEquals(200, node.sendRequest(post("once", 20_000, "body")).status());
            awaitMetric(node, "requests_total{class=\"read\",outcome=\"served\"}", "1");
            awaitMetric(node, "requests_total{class=\"once\",outcome=\"served\"}", "1");
            awaitMetric(node, "attempts_total", "2");
            awaitMetric(node, "in_flight", "0");
        }
    }

    /** Guards against metrics without the requests that were sent to no host, or whose client disconnected. */
    @Test
    void refusedAndOpenRequestsAreCounted() throws Exception {
        try (Server discovery = discoveryServer(); Server silent = new Server(message -> { });
                GatewayNode node = new GatewayNode(environmentWithAdmin(discovery, silent))) {
            Socket open = node.connect();
            write(open, read(60_000));
            await(silent.received);
            awaitMetric(node, "in_flight", "1");
            assertEquals(504, node.sendRequest(read(1).replace("9b1f", "9b20")).status());
            awaitMetric(node, "requests_total{class=\"read\",outcome=\"failed\"}", "1");
            open.close();
            awaitMetric(node, "in_flight", "0");
            assertEquals("0", metric(node, "requests_total{class=\"read\",outcome=\"served\"}"));
        }
        try (Server discovery = discoveryServer();
                GatewayNode node = new GatewayNode(environmentWithAdmin(discovery))) {
            assertEquals(503, node.sendRequest(read(20_000)).status());
            awaitMetric(node, "requests_total{class=\"read\",outcome=\"refused\"}", "1");
        }
    }

    @Test
    void drainingHostsCountAsExcluded() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(environmentWithAdmin(discovery, one))) {
            awaitMetric(node, "hosts_excluded", "0");
            Message watch = await(discovery.received);
            Loopback.sendListLine(watch.socket(), hostList(2, false, hostEntry("s0", one.address(), "a", "terminating"),
                    hostEntry("s1", one.address(), "a", "in_service")));
            awaitMetric(node, "hosts_known", "2");
            awaitMetric(node, "hosts_excluded", "1");
        }
    }

    /** Guards against a drain that loses requests or keeps clients: a response tells the client to close, idle
        connections are closed, and the gateway becomes active again without a restart. */
    @Test
    void standbyServesOpenConnectionsUntilClosedAndCanEnd() throws Exception {
        try (Server discovery = discoveryServer(); Server one = hostResponding("one");
                GatewayNode node = new GatewayNode(environmentWithAdmin(discovery, one))) {
            Socket used = node.connect();
            Socket idle = node.connect();
            write(idle, read(20_000).replace("9b1f", "9b20"));
            assertEquals(200, Loopback.read(idle).status());
            assertEquals(200, node.callAdmin("POST /standby").status());
            assertEquals(200, node.callAdmin("POST /standby").status());
            assertEquals(503, node.callAdmin("GET /status").status());
            assertEquals(503, node.sendRequest("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n").status());
            Message last;
            do {
                write(used, read(20_000));
                last = Loopback.read(used);
                assertEquals(200, last.status());
            } while (!"close".equalsIgnoreCase(last.header("Connection")));
            assertNull(Loopback.read(used));
            assertNull(Loopback.read(idle));
            assertEquals(200, node.sendRequest(read(20_000)).status());
            assertEquals(200, node.callAdmin("POST /active").status());
            assertEquals(200, node.callAdmin("GET /status").status());
            Socket back = node.connect();
            for (int i = 0; i < 2; i++) {
                write(back, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
                assertEquals(200, Loopback.read(back).status());
            }
            write(back, read(20_000));
            assertEquals(200, Loopback.read(back).status());
        }
    }

    /** Guards against a standby request during the start that is lost, and against a request that undoes a stop. */
    @Test
    void standbyDuringTheStartHoldsAndAStopIsFinal() {
        Lifecycle lifecycle = new Lifecycle();
        assertEquals(Lifecycle.State.STARTING, lifecycle.state());
        assertTrue(lifecycle.setStandby(true));
        assertEquals(Lifecycle.State.STARTING, lifecycle.state());
        List<Lifecycle.State> states = new ArrayList<>();
        lifecycle.markStarted(() -> states.add(lifecycle.state()));
        assertTrue(lifecycle.setStandby(false));
        lifecycle.stop();
        assertTrue(lifecycle.setStandby(true));
        assertEquals(false, lifecycle.setStandby(false));
        assertEquals(Lifecycle.State.STOPPING, lifecycle.state());
        assertEquals(List.of(Lifecycle.State.STANDBY, Lifecycle.State.ACTIVE), states);
    }

    @Test
    void addressInUseEndsTheStartWithOneMessage() throws Exception {
        try (Server discovery = discoveryServer(); ServerSocket occupant = new ServerSocket(0, 1,
                InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress address = (InetSocketAddress) occupant.getLocalSocketAddress();
            Config config = Config.read(environmentWithAdmin(discovery));
            EventLoop loop = Main.newEventLoop();
            try {
                IllegalArgumentException fault = assertThrows(IllegalArgumentException.class,
                        () -> AdminServer.start(address, loop, new Lifecycle(), config.newMetrics()));
                assertTrue(fault.getMessage().startsWith("no listening for operators on"), fault.getMessage());
            } finally {
                loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }
    }
}
