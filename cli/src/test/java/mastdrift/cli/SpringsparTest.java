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

/** The command against a stand-in for a gateway's second address. */
class SpringsparTest {

    @TempDir
    private Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final Queue<String> asked = new ConcurrentLinkedQueue<>();
    private final Queue<Integer> inFlight = new ConcurrentLinkedQueue<>();
    private HttpServer server;
    private String state = "active";
    private String admin;

    @BeforeEach
    void listen() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            String line = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
            asked.add(line);
            String body = switch (line) {
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
    void close() {
        server.stop(0);
    }

    private int springspar(Map<String, String> environment, String... args) {
        return Springspar.run(args, environment, new PrintWriter(out, true), new PrintWriter(err, true));
    }

    @Test
    void aStatusIsToldAndANoIsStatus1() {
        assertEquals(Springspar.YES, springspar(Map.of(), "status", "--admin", admin));
        assertEquals("active", out.toString().strip());
        state = "standby";
        assertEquals(Springspar.NO, springspar(Map.of(), "status", "--admin", admin, "--json"));
        assertTrue(out.toString().contains("{\"address\":\"" + admin + "\",\"yes\":false,\"status\":503,\"answer\":\"standby\"}"),
                out.toString());
    }

    /** What is given goes before the environment, and that before the file. */
    @Test
    void theAddressIsFoundWhereItIsTold() throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), "{\"admin\":\"" + admin + "\"}");
        Map<String, String> told = Map.of("NODE_CONFIG", file.toString());
        assertEquals(Springspar.YES, springspar(told, "standby"));
        assertEquals(Springspar.YES, springspar(Map.of("NODE_CONFIG", "/none", "NODE_ADMIN", admin), "active"));
        assertEquals(Springspar.YES, springspar(Map.of("NODE_ADMIN", "127.0.0.1:1"), "status", "--admin", admin));
        assertEquals(List.of("POST /standby", "POST /active", "GET /status"), List.copyOf(asked));
        Files.writeString(file, "{}");
        assertEquals(Springspar.NOBODY, springspar(told, "status"));
        assertTrue(err.toString().contains("names no admin"), err.toString());
    }

    @Test
    void figuresAreToldAsTheyCameOrAsJson() {
        inFlight.add(14);
        assertEquals(Springspar.YES, springspar(Map.of(), "metrics", "--admin", admin));
        assertTrue(out.toString().contains("edge_node_in_flight 14"));
        assertEquals(Springspar.YES, springspar(Map.of(), "metrics", "--admin", admin, "--json"));
        assertTrue(out.toString().contains("{\"name\":\"edge_node_requests_total\",\"labels\":{\"class\":\"a\\\"b\","
                + "\"outcome\":\"served\"},\"value\":812.0}"), out.toString());
    }

    /** Guards against a drain that is held to be over by one look at figures that lag. */
    @Test
    void aDrainWaitsUntilNothingHasBeenInFlightForAWhile() {
        inFlight.addAll(List.of(3, 0, 2, 0, 0, 0));
        assertEquals(Springspar.YES, springspar(Map.of(), "drain", "--wait", "--admin", admin));
        assertEquals("drained", out.toString().strip());
        assertEquals("POST /standby", asked.peek());
        assertEquals(1 + 6, asked.size());
    }

    @Test
    void aDrainThatDoesNotEndIsStatus1() {
        inFlight.add(3);
        assertEquals(Springspar.NO, springspar(Map.of(), "drain", "--wait", "--timeout", "0", "--admin", admin));
        assertEquals("still 3 in flight after 0.0 s", out.toString().strip());
    }

    @Test
    void nobodyThereIsOnePlainLineAndStatus3() {
        server.stop(0);
        assertEquals(Springspar.NOBODY, springspar(Map.of(), "status", "--admin", admin));
        assertEquals(1, err.toString().strip().lines().count(), err.toString());
        assertTrue(err.toString().startsWith("no answer from " + admin), err.toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"'' | a command is needed", "fly | Unmatched argument", "status --admin here | address:port",
        "status --admim x | Unknown option", "drain --timeout soon | Invalid value"})
    void misuseIsStatus2(String line, String expected) {
        assertEquals(Springspar.MISUSED, springspar(Map.of(), line.isEmpty() ? new String[0] : line.split(" ")));
        assertTrue(err.toString().contains(expected), err.toString());
    }

    @Test
    void theCompletionScriptKnowsTheCommands() {
        assertEquals(Springspar.YES, springspar(Map.of(), "completion"));
        assertTrue(out.toString().contains("drain") && out.toString().contains("--timeout"));
    }

    @Test
    void whatIsNoFigureIsNamed() {
        assertEquals(Double.POSITIVE_INFINITY, Samples.of("a{le=\"+Inf\"} +Inf 1700").get(0).value());
        assertThrows(IllegalArgumentException.class, () -> Samples.of("a{b=c} 1"));
        assertThrows(IllegalArgumentException.class, () -> Samples.of("a one"));
        assertThrows(IllegalArgumentException.class, () -> Samples.of("{} 1"));
    }
}
