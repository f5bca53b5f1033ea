package mastdrift.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the command against a fake of a gateway's admin address. */
class SpringsparTest {

    @TempDir
    private Path directory;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final Queue<String> receivedRequests = new ConcurrentLinkedQueue<>();
    private final Queue<Integer> inFlight = new ConcurrentLinkedQueue<>();
    private HttpServer server;
    private String state = "active";
    private String admin;

    @BeforeEach
    void startServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            String requestLine = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
            receivedRequests.add(requestLine);
            String body = switch (requestLine) {
                case "GET /status" -> state;
                case "GET /status/metrics" -> "# HELP edge_node_in_flight Requests.\nedge_node_in_flight " + (inFlight.size() > 1 ? inFlight.poll() : inFlight.peek())
                        + "\nedge_node_requests_total{class=\"a\\\"b\",outcome=\"served\"} 812\n";
                case "POST /standby", "POST /active" -> "done";
                default -> "unknown";
            };
            byte[] bytes = (body + "\n").getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(body.equals("unknown") || body.equals("standby") ? 503 : 200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
        admin = "127.0.0.1:" + server.getAddress().getPort();
    }

    @AfterEach
    void stopServer() {
        server.stop(0);
    }

    private int runCommand(Map<String, String> environment, String... args) {
        return Springspar.run(args, environment, new PrintWriter(out, true), new PrintWriter(err, true));
    }

    @Test
    void statusPrintsTheAnswerAndExitsWith1WhenNotActive() {
        assertEquals(Springspar.EXIT_SUCCESS, runCommand(Map.of(), "status", "--admin", admin));
        assertEquals("active", out.toString().strip());
        state = "standby";
        assertEquals(Springspar.EXIT_FAILURE, runCommand(Map.of(), "status", "--admin", admin, "--json"));
        assertTrue(out.toString().contains("{\"address\":\"" + admin + "\",\"yes\":false,\"status\":503,\"answer\":\"standby\"}"),
                out.toString());
    }

    /** The option takes precedence over the environment, and the environment over the configuration file. */
    @Test
    void adminAddressIsTakenFromOptionThenEnvironmentThenFile() throws IOException {
        Path file = Files.writeString(directory.resolve("config.json"), "{\"admin\":\"" + admin + "\"}");
        Map<String, String> environment = Map.of("NODE_CONFIG", file.toString());
        assertEquals(Springspar.EXIT_SUCCESS, runCommand(environment, "standby"));
        assertEquals(Springspar.EXIT_SUCCESS,
                runCommand(Map.of("NODE_CONFIG", "/none", "NODE_ADMIN", admin), "active"));
        assertEquals(Springspar.EXIT_SUCCESS,
                runCommand(Map.of("NODE_ADMIN", "127.0.0.1:1"), "status", "--admin", admin));
        assertEquals(List.of("POST /standby", "POST /active", "GET /status"), List.copyOf(receivedRequests));
        Files.writeString(file, "{}");
        assertEquals(Springspar.EXIT_UNREACHABLE, runCommand(environment, "status"));
        assertTrue(err.toString().contains("names no admin"), err.toString());
    }

    @Test
    void metricsArePrintedAsReceivedOrAsJson() {
        inFlight.add(14);
        assertEquals(Springspar.EXIT_SUCCESS, runCommand(Map.of(), "metrics", "--admin", admin));
        assertTrue(out.toString().contains("edge_node_in_flight 14"));
        assertEquals(Springspar.EXIT_SUCCESS, runCommand(Map.of(), "metrics", "--admin", admin, "--json"));
        assertTrue(out.toString().contains("{\"name\":\"edge_node_requests_total\",\"labels\":{\"class\":\"a\\\"b\","
                + "\"outcome\":\"served\"},\"value\":812.0}"), out.toString());
    }

    /** Guards against reporting a drain as complete after a single zero reading of a gauge that lags. */
    @Test
    void drainDoesNotEndAtTheFirstZeroInFlight() {
        inFlight.addAll(List.of(3, 0, 2, 0, 0, 0));
        assertEquals(Springspar.EXIT_SUCCESS, runCommand(Map.of(), "drain", "--wait", "--admin", admin));
        assertEquals("drained", out.toString().strip());
        assertEquals("POST /standby", receivedRequests.peek());
        assertEquals(1 + 6, receivedRequests.size());
    }

    @Test
    void drainThatTimesOutExitsWith1() {
        inFlight.add(3);
        assertEquals(Springspar.EXIT_FAILURE,
                runCommand(Map.of(), "drain", "--wait", "--timeout", "0", "--admin", admin));
        assertEquals("still 3 in flight after 0.0 s", out.toString().strip());
    }

    @Test
    void unreachableGatewayPrintsOneLineAndExitsWith3() {
        server.stop(0);
        assertEquals(Springspar.EXIT_UNREACHABLE, runCommand(Map.of(), "status", "--admin", admin));
        assertEquals(1, err.toString().strip().lines().count(), err.toString());
        assertTrue(err.toString().startsWith("no answer from " + admin), err.toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"'' | a command is needed", "fly | Unmatched argument", "status --admin here | address:port",
        "status --admim x | Unknown option", "drain --timeout soon | Invalid value"})
    void invalidArgumentsExitWith2(String arguments, String expected) {
        assertEquals(Springspar.EXIT_USAGE,
                runCommand(Map.of(), arguments.isEmpty() ? new String[0] : arguments.split(" ")));
        assertTrue(err.toString().contains(expected), err.toString());
    }

    @Test
    void completionScriptContainsCommandsAndOptions() {
        assertEquals(Springspar.EXIT_SUCCESS, runCommand(Map.of(), "completion"));
        assertTrue(out.toString().contains("drain") && out.toString().contains("--timeout"));
    }

    @Test
    void malformedSamplesAreRejected() {
        assertEquals(Double.POSITIVE_INFINITY, PrometheusText.parse("a{le=\"+Inf\"} +Inf 1700").get(0).value());
        assertThrows(IllegalArgumentException.class, () -> PrometheusText.parse("a{b=c} 1"));
        assertThrows(IllegalArgumentException.class, () -> PrometheusText.parse("a one"));
        assertThrows(IllegalArgumentException.class, () -> PrometheusText.parse("{} 1"));
    }
}
