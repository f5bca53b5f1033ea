package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.hostResponding;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.response;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Transfer codings of requests and responses: what can't be decoded is not passed on as a plain body. */
class TransferCodingTest {

    // A transfer coding's bytes, in one chunk: to the gateway, they are an unknown text.
    private static final String CODED_CHUNKS = "5\r\ncoded\r\n0\r\n\r\n";

    @TempDir
    private Path folder;

    private GatewayNode startNode(Server discovery, Server host) throws Exception {
        return new GatewayNode(environment(folder, discovery,
                hostList(1, true, hostEntry("s1", host.address(), "a", "in_service")), SETTINGS));
    }

    /** Guards against coded bytes that are served as the body of a response. */
    @ParameterizedTest
    @ValueSource(strings = {"gzip, chunked", "gzip,chunked", "GZIP , Chunked", "gzip\r\nTransfer-Encoding: chunked",
        "chunked, chunked", "chunked, gzip", "gzip", "identity", "xchunked", "chunked;q=1", ""})
    void failsAttemptWhoseResponseCannotBeDecoded(String coding) throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: " + coding + "\r\n\r\n"
                    + CODED_CHUNKS);
            message.socket().close();
        }); GatewayNode node = startNode(discovery, host)) {
            assertEquals(502, node.sendRequest(post("once", 20_000, "x")).status());
        }
    }

    /** Guards against coded bytes that a host runs as the body of a request. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"501 | gzip, chunked", "501 | gzip~Transfer-Encoding: chunked",
        "400 | chunked, chunked", "400 | chunked, gzip", "400 | gzip", "400 | identity", "400 | ''"})
    void rejectsRequestThatCannotBeDecoded(int status, String coding) throws Exception {
        try (Server discovery = discoveryServer(); Server host = hostResponding("ran");
                GatewayNode node = startNode(discovery, host)) {
            Message answer = node.sendRequest(post("once", 20_000, "").replaceFirst("Content-Length: 0",
                    "Transfer-Encoding: " + coding.replace("~", "\r\n")) + CODED_CHUNKS);
            assertEquals(status, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertTrue(host.received.isEmpty());
        }
    }

    @Test
    void decodesChunksInBothDirections() throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> write(message.socket(),
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" + CODED_CHUNKS));
                GatewayNode node = startNode(discovery, host)) {
            Message answer = node.sendRequest(post("once", 20_000, "").replaceFirst("Content-Length: 0",
                    "Transfer-Encoding: CHUNKED") + CODED_CHUNKS);
            assertEquals("coded", answer.bodyText());
            assertEquals("coded", host.received.poll().bodyText());
        }
    }

    /** Guards against a body whose receiver can't tell that it is compressed: its content coding was left behind. */
    @ParameterizedTest
    @ValueSource(ints = {10, 100_000})
    void passesContentCodingOnInBothDirections(int length) throws Exception {
        String body = "x".repeat(length);
        try (Server discovery = discoveryServer(); Server host = new Server(message -> write(message.socket(),
                response("200 OK", body).replace("\r\n\r\n", "\r\nContent-Encoding: gzip\r\nContent-Encoding: br\r\n\r\n")));
                GatewayNode node = startNode(discovery, host)) {
            Message answer = node.sendRequest(post("once", 20_000, body).replace("X-Qos",
                    "Content-Encoding: deflate\r\nContent-Type: text/plain\r\nX-Qos"));
            assertEquals(body, answer.bodyText());
            assertEquals(2, answer.head().split("(?i)content-encoding: (gzip|br)\r\n", -1).length - 1, answer.head());
            Message forwarded = host.received.poll();
            assertEquals(body, forwarded.bodyText());
            assertEquals("deflate", forwarded.header("Content-Encoding"));
            assertEquals("text/plain", forwarded.header("Content-Type"));
        }
    }
}
