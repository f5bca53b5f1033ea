package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.response;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that begin and pause before any of them is passed on. */
class StalledResponseTest {

    // Over the time after which a gateway once gave such a response up.
    private static final int PAUSE_MILLIS = 400;

    @TempDir
    private Path folder;

    private GatewayNode startNode(Server discovery, Server... hosts) throws Exception {
        List<String> entries = new ArrayList<>();
        for (Server host : hosts) {
            entries.add(hostEntry("s" + entries.size(), host.address(), "a", "in_service"));
        }
        return new GatewayNode(environment(folder, discovery, hostList(1, true, entries.toArray(new String[0])),
                SETTINGS));
    }

    /** A host that pauses within each response. */
    private static Server pausingHost(String beforePause, String afterPause) throws Exception {
        return new Server(message -> {
            write(message.socket(), beforePause);
            Thread.sleep(PAUSE_MILLIS);
            write(message.socket(), afterPause);
        });
    }

    /** Guards against 502 with most of the request's time left, where the only host that may answer an unsafe request
        pauses for 0.4 s in its response. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK~Content-Length: 2~~x|x", "HTTP/1.1 200 OK~Content-Le|ngth: 2~~xx",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~x|~1~x~0~~",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~|2~xx~0~~"})
    void unsafeRequestIsAnsweredByHostThatPauses(String pieces) throws Exception {
        String[] parts = pieces.replace("~", "\r\n").split("\\|");
        try (Server discovery = discoveryServer(); Server host = pausingHost(parts[0], parts[1]);
                Server other = pausingHost(parts[0], parts[1]); GatewayNode node = startNode(discovery, host, other)) {
            assertEquals("xx", node.sendRequest(post("once", 20_000, "")).bodyText());
            assertEquals(1, host.received.size() + other.received.size());
        }
    }

    /** Guards against the same for requests that may be repeated, where each host pauses: every attempt was given up.
        */
    @Test
    void repeatableRequestIsAnsweredWhereAllHostsPause() throws Exception {
        String begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
        try (Server discovery = discoveryServer(); Server host = pausingHost(begin, "1\r\nx\r\n0\r\n\r\n");
                Server other = pausingHost(begin, "1\r\nx\r\n0\r\n\r\n");
                GatewayNode node = startNode(discovery, host, other)) {
            assertEquals("xx", node.sendRequest(read(20_000)).bodyText());
        }
    }

    /** Guards against a request that waits for a host which hangs in the middle of its response. */
    @Test
    void repeatableRequestIsAnsweredByAnotherHostThanTheOneThatHangs() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Loopback.MessageHandler firstHangs = message -> write(message.socket(),
                requests.incrementAndGet() == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
                        : response("200 OK", "whole"));
        try (Server discovery = discoveryServer(); Server one = new Server(firstHangs);
                Server two = new Server(firstHangs); GatewayNode node = startNode(discovery, one, two)) {
            assertEquals("whole", node.sendRequest(read(20_000)).bodyText());
        }
    }

    /** Guards against a response that is cut off when the attempt that hedged it ends. */
    @Test
    void responseGoesOnAfterItsHedgeHasEnded() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        CountDownLatch hedged = new CountDownLatch(1);
        CountDownLatch passedOn = new CountDownLatch(1);
        BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();
        Loopback.MessageHandler firstGoesOn = message -> {
            if (requests.incrementAndGet() > 1) {
                hedged.countDown();
                assertEquals(-1, message.socket().getInputStream().read());
                ended.add(message.socket());
                return;
            }
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
            hedged.await();
            write(message.socket(), "1\r\nb\r\n");
            passedOn.await();
            write(message.socket(), "1\r\nc\r\n0\r\n\r\n");
        };
        try (Server discovery = discoveryServer(); Server one = new Server(firstGoesOn);
                Server two = new Server(firstGoesOn); GatewayNode node = startNode(discovery, one, two)) {
            Socket client = node.connect();
            write(client, read(20_000));
            assertNotNull(await(ended));
            passedOn.countDown();
            assertEquals("abc", Loopback.read(client).bodyText());
        }
    }
}
