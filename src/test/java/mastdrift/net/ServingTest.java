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
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.MessageHandler;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests through a whole gateway: what is forwarded, how attempts end, and when they may be retried. */
class ServingTest {

    @TempDir
    private Path folder;

    private GatewayNode startNode(Server discovery, String... entries) throws Exception {
        return new GatewayNode(environment(folder, discovery, hostList(1, true, entries), SETTINGS));
    }

    private static String inService(String uid, Server host) {
        return hostEntry(uid, host.address(), "a", "in_service");
    }

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("{\"answer\":1}");
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Message answer = node.sendRequest(post("start", 20_000, "{\"b\": 2}"));
            Message forwarded = await(host.received);
            assertEquals(200, answer.status());
            assertEquals("{\"answer\":1}", answer.bodyText());
            assertEquals("POST /api/x?y=1%20z HTTP/1.1", forwarded.startLine());
            assertEquals("{\"b\": 2}", forwarded.bodyText());
            assertEquals("9b1f", forwarded.header("X-Trace-Id"));
            assertEquals("5c0f", forwarded.header("Idempotency-Key"));
            int left = Integer.parseInt(forwarded.header("X-Expires-In-Ms"));
            assertTrue(left > 0 && left < 20_000, forwarded.head());
        }
    }

    /** HTTP/1.1 allows the absolute form for the target of any request; hosts are sent the origin form. */
    @Test
    void acceptsTargetInAbsoluteForm() throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            assertEquals(200, node.sendRequest(post("once", 20_000, "x").replace("/api/x", "HTTP://s:80/api/x"))
                    .status());
            assertEquals("POST /api/x?y=1%20z HTTP/1.1", await(host.received).startLine());
            assertEquals(200, node.sendRequest("GET http://s/ready HTTP/1.1\r\nHost: s\r\n\r\n").status());
        }
    }

    /** Acts as {@code what} says on the first request that reaches any of the hosts, and serves the others. */
    private static MessageHandler failingFirst(AtomicInteger requestCount, String firstReaction) {
        return message -> {
            if (requestCount.getAndIncrement() > 0) {
                write(message.socket(), response("200 OK", "late"));
            } else if (firstReaction.equals("break")) {
                message.socket().close();
            } else {
                write(message.socket(), firstReaction.replace("~", "\r\n"));
                if (firstReaction.contains("Length: 9")) {
                    message.socket().close();
                }
            }
        };
    }

    /** A request that was not started is retried at the other host even if it is not idempotent. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 No~X-Never-Ran: 1~Content-Length: 0~~",
        "HTTP/1.1 504 No~X-Never-Ran: 1~Content-Length: 0~~"})
    void retriesRequestThatHostDidNotStart(String firstReaction) throws Exception {
        AtomicInteger count = new AtomicInteger();
        try (Server discovery = discoveryServer(); Server one = new Server(failingFirst(count, firstReaction));
                Server two = new Server(failingFirst(count, firstReaction));
                GatewayNode node = startNode(discovery, inService("s1", one), inService("s2", two))) {
            assertEquals("late", node.sendRequest(post("once", 20_000, "x")).bodyText());
            assertEquals(2, count.get());
        }
    }

    /** Whichever host the key selects first, it is the closed one in one of the two cases. */
    @ParameterizedTest
    @CsvSource({"s1, s2", "s2, s1"})
    void retriesAfterRefusedConnection(String down, String up) throws Exception {
        Server closed = hostResponding("");
        closed.close();
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, inService(down, closed), inService(up, host))) {
            assertEquals(200, node.sendRequest(post("once", 20_000, "x")).status());
        }
    }

    /** Guards against a second execution: each of these requests may have run, so it fails and is not refused. */
    @ParameterizedTest
    @ValueSource(strings = {"break", "HTTP/1.1 500 Oh~Content-Length: 0~~", "HTTP/1.1 503 Oh~Content-Length: 0~~",
        "HTTP/1.1 404 Oh~Content-Length: 0~~", "HTTP/1.1 503 Oh~X-Never-Ran: 0~Content-Length: 0~~", "nonsense~~",
        "HTTP/1.1 200 OK~Content-Length: 9~~part", "HTTP/1.1 200 OK~Content-Length: 99999~~"})
    void doesNotRetryRequestThatMayHaveRun(String firstReaction) throws Exception {
        AtomicInteger count = new AtomicInteger();
        try (Server discovery = discoveryServer(); Server one = new Server(failingFirst(count, firstReaction));
                Server two = new Server(failingFirst(count, firstReaction));
                GatewayNode node = startNode(discovery, inService("s1", one), inService("s2", two))) {
            assertEquals(502, node.sendRequest(post("once", 20_000, "x")).status());
            assertEquals(1, count.get());
        }
    }

    /** A keyed request that may have run is retried only within the zone that detects duplicates. */
    @ParameterizedTest
    @CsvSource({"a, a, 200, 2", "a, b, 502, 1"})
    void retriesKeyedRequestWithinItsDedupScopeOnly(String zone, String other, int status, int sends) throws Exception {
        AtomicInteger count = new AtomicInteger();
        MessageHandler script = failingFirst(count, "break");
        try (Server discovery = discoveryServer(); Server one = new Server(script); Server two = new Server(script);
                GatewayNode node = startNode(discovery, hostEntry("s1", one.address(), zone, "in_service"),
                        hostEntry("s2", two.address(), other, "in_service"))) {
            assertEquals(status, node.sendRequest(post("start", 20_000, "x")).status());
            assertEquals(sends, count.get());
            for (Server host : List.of(one, two)) {
                assertTrue(host.received.stream().allMatch(m -> "5c0f".equals(m.header("Idempotency-Key"))));
            }
        }
    }

    @Test
    void refusesWithRetryAfterIfThereIsNoHost() throws Exception {
        try (Server discovery = discoveryServer(); GatewayNode node = startNode(discovery)) {
            Message answer = node.sendRequest(read(20_000));
            assertEquals(503, answer.status());
            assertEquals("1", answer.header("Retry-After"));
        }
    }

    /** Guards against a request that outlasts its client's deadline because its host is silent. */
    @ParameterizedTest
    @CsvSource({"read, 503", "once, 504"})
    void answersAtTheDeadlineThoughHostIsSilent(String type, int status) throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> { });
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Message answer = node.sendRequest(type.equals("read") ? read(1000) : post(type, 1000, "x"));
            assertEquals(status, answer.status());
            assertNotNull(await(host.closedConnections));
        }
    }

    /** Guards against wasted work at a host: when the client disconnects, its attempt's connection is closed. */
    @Test
    void closesAttemptWhenClientDisconnects() throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> { });
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Socket client = node.connect();
            write(client, read(60_000));
            await(host.received);
            client.close();
            assertNotNull(await(host.closedConnections));
            assertEquals(1, host.acceptedConnections.size());
        }
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Socket client = node.connect();
            write(client, read(20_000) + "GET /none HTTP/1.1\r\n\r\n" + post("start", 20_000, "x"));
            assertEquals(200, Loopback.read(client).status());
            assertEquals(404, Loopback.read(client).status());
            assertEquals(200, Loopback.read(client).status());
            assertTrue(await(host.received).startLine().startsWith("GET")
                    && await(host.received).startLine().startsWith("POST"));
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "400 | nonsense",
        "400 | GET /api HTTP/1.1~X-Trace-Id: 1~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | GET /api HTTP/1.1~X-Trace-Id: 1~X-Qos: unheard~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | GET /api HTTP/1.1~X-Qos: read~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | GET /api HTTP/1.1~X-Trace-Id: 1~X-Qos: read~X-Customer: acme",
        "400 | GET /api HTTP/1.1~X-Trace-Id: 1~X-Qos: read~X-Customer: acme~X-Expires-In-Ms: soon",
        "400 | GET /api HTTP/1.1~X-Trace-Id: 1~X-Qos: read~X-Customer: nobody~X-Expires-In-Ms: 900",
        "400 | POST /api HTTP/1.1~X-Trace-Id: 1~X-Qos: start~X-Customer: acme~X-Expires-In-Ms: 900~Content-Length: 0",
        "404 | GET /other HTTP/1.1",
        "405 | DELETE /api HTTP/1.1~X-Trace-Id: 1~X-Qos: read~X-Customer: acme~X-Expires-In-Ms: 900",
        "405 | GET /api HTTP/1.1~X-Trace-Id: 1~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900",
        "405 | POST /ready HTTP/1.1~Content-Length: 0",
        "413 | POST /api HTTP/1.1~X-Trace-Id: 1~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900~Content-Length: 33554433",
        "400 | POST /api HTTP/1.1~X-Trace-Id: 1~X-Trace-Id: 2~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | POST /api HTTP/1.1~X-Trace-Id: 1~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900~X-Expires-In-Ms: 9",
        "400 | POST /api HTTP/1.1~X-Trace-Id: 1 2~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | POST /api HTTP/1.1~X-Trace-Id: \u00e9~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | GET /api HTTP/1.1~X-Trace-Id: 1~X-Qos: read~X-Customer: acme~X-Expires-In-Ms: -9",
        "200 | GET /ready HTTP/1.1"})
    void rejectsInvalidRequestWithItsStatus(int status, String request) throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Message answer = node.sendRequest(request.replace("~", "\r\n") + "\r\n\r\n");
            assertEquals(status, answer.status());
            assertNull(host.received.peek());
        }
    }

    /** Guards against request smuggling: where the end of a request is ambiguous, nothing is forwarded and the
        connection is closed. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 5~Transfer-Encoding: chunked~~0~~", "Transfer-Encoding: gzip~~",
        "Content-Length: 5~Content-Length: 6~~12345", "Content-Length: -1~~", "Content-Length: 99999999999999999999~~",
        "Transfer-Encoding: chunked~~zz~~", "Content-Length : 5~~12345"})
    void doesNotForwardRequestWithAmbiguousEnd(String rest) throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Socket client = node.connect();
            String head = post("once", 20_000, "").replaceFirst("Content-Length.*(?s:.*)", "");
            write(client, head + rest.replace("~", "\r\n") + read(20_000));
            assertEquals(400, Loopback.read(client).status());
            assertEquals(-1, client.getInputStream().read());
            assertNull(host.received.peek());
        }
    }

    @Test
    void rejectsGetWithBody() throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Message answer = node.sendRequest(read(20_000).replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"));
            assertEquals(400, answer.status());
            assertNull(host.received.peek());
        }
    }

    /** Guards against responses confused between clients, one of which uses the trace id of the other's open request.
        */
    @Test
    void rejectsTraceIdOfOpenRequest() throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> { });
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Socket first = node.connect();
            write(first, read(60_000));
            Message forwarded = await(host.received);
            assertEquals(409, node.sendRequest(read(60_000)).status());
            write(forwarded.socket(), response("200 OK", "mine"));
            assertEquals("mine", Loopback.read(first).bodyText());
            write(first, read(60_000));
            assertNotNull(await(host.received));
        }
    }

    /** Guards against connections occupied by clients that never finish a request, even if they trickle bytes. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api HT", "POST /api HTTP/1.1~Content-Length: 99~~part"})
    void closesConnectionOfRequestThatIsTooSlow(String part) throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ok");
                GatewayNode node = startNode(discovery, inService("s1", host))) {
            Socket client = node.connect();
            write(client, part.replace("~", "\r\n"));
            assertEquals(-1, client.getInputStream().read());
            Socket trickling = node.connect();
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < Loopback.WAIT_SECONDS * 100; i++) {
                    write(trickling, "x");
                    Thread.sleep(10);
                }
            });
        }
    }
}
