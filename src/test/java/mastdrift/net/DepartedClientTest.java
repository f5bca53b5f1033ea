package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Gateway processes whose clients leave: nothing is sent to a host for them, and nothing runs twice. */
class DepartedClientTest {

    private static final int DEADLINE_MILLIS = 2_000;
    private static final int KILL_AFTER_MILLIS = DEADLINE_MILLIS + 700;
    // The 0.1 s after a client's close in which an attempt may begin, and the 50 ms of the sockets.
    private static final long SLACK_MILLIS = 150;

    @TempDir
    private Path folder;

    private static String request(String type, String id, String query, int bytes) {
        return post(type, DEADLINE_MILLIS, "x".repeat(bytes)).replace("9b1f", id).replace("5c0f", "key" + id)
                .replace("/api/x?y=1%20z", "/api/x?" + query);
    }

    private GatewayProcess start(String name, PassedSocket socket, Server discovery, RecordingHost host) throws Exception {
        return new GatewayProcess(folder, name, socket, discovery, hostList(1, true,
                hostEntry("s1", host.address(), "a", "in_service")),
                SETTINGS.replace("60000000", Integer.toString(DEADLINE_MILLIS * 1000)), GatewayProcess.Limits.LEAST_MEMORY);
    }

    /** Writes on a thread of its own until the connection ends: it waits where the gateway does not read. */
    private static void writeAside(Socket client, List<String> requests) {
        RecordingHost.startThread(() -> {
            for (String request : requests) {
                write(client, request);
            }
        });
    }

    private static void leave(Socket client, boolean reset) throws IOException {
        if (reset) {
            client.setSoLinger(true, 0);
        }
        client.close();
    }

    private static List<String> requests(int bytes, int each) {
        return java.util.stream.IntStream.range(0, bytes / each).mapToObj(i -> request("once", "behind" + i, "work=1", each))
                .toList();
    }

    private static long runs(RecordingHost host, String id) {
        return host.received().stream().filter(received -> received.id().equals(id) && received.whole()).count();
    }

    private static int sendAgain(GatewayProcess gateway, String id) throws IOException {
        try (Socket again = gateway.connect(DEADLINE_MILLIS * 2)) {
            write(again, request("once", id, "work=1", 1));
            return Loopback.read(again).status();
        }
    }

    /** Guards against an id that runs again after its client has left without reading the answer. */
    @ParameterizedTest
    @CsvSource({"10, false, 0", "10, true, 0", "300, false, 0", "300, true, 0", "10, false, 200000", "300, false, 2600000",
        "10, true, 2600000", "300, true, 5000000"})
    void idOfUnreadAnswerDoesNotRunAgain(int workMillis, boolean reset, int bytesBehind) throws Exception {
        try (Server discovery = discoveryServer(); RecordingHost host = new RecordingHost();
                GatewayProcess gateway = start("n0", null, discovery, host); Socket client = gateway.connect(20_000)) {
            write(client, request("once", "first", "work=" + workMillis, 1));
            writeAside(client, requests(bytesBehind, 60_000));
            TimeUnit.MILLISECONDS.sleep(150);
            leave(client, reset);
            TimeUnit.MILLISECONDS.sleep(500);
            assertEquals(409, sendAgain(gateway, "first"));
            assertEquals(1, runs(host, "first"));
        }
    }

    /** Guards against an id that runs again at the other process of an upgrade after its client has left the first. */
    @ParameterizedTest
    @CsvSource({"10, false, 0", "10, true, 0", "300, false, 0", "300, true, 2600000", "300, false, 2600000"})
    void idOfUnreadAnswerDoesNotRunAgainAtTheSuccessor(int workMillis, boolean reset, int bytesBehind) throws Exception {
        try (Server discovery = discoveryServer(); RecordingHost host = new RecordingHost();
                PassedSocket socket = new PassedSocket(folder);
                GatewayProcess predecessor = start("n0", socket, discovery, host); Socket client = predecessor.connect(20_000)) {
            write(client, request("once", "first", "work=" + workMillis, 1));
            writeAside(client, requests(bytesBehind, 60_000));
            TimeUnit.MILLISECONDS.sleep(150);
            leave(client, reset);
            try (GatewayProcess successor = start("n1", socket, discovery, host)) {
                predecessor.terminate(KILL_AFTER_MILLIS);
                assertEquals(409, sendAgain(successor, "first"));
                assertEquals(1, runs(host, "first"));
            }
        }
    }

    /** Guards against requests that are sent on for a client that has left: it closed its connection while nothing was
        read from it, since its host took none of a long request. */
    @ParameterizedTest
    @CsvSource({"4000, 0, false", "4000, 200000, false", "4000, 1200000, false", "4000, 1200000, true", "1000, 600000, false",
        "60000, 1200000, false"})
    void doesNotSendOnBehindALongRequestThatItsHostReadsLate(int pieceBytes, int bytesBehind, boolean reset)
            throws Exception {
        try (Server discovery = discoveryServer(); RecordingHost host = new RecordingHost();
                GatewayProcess gateway = start("n0", null, discovery, host); Socket client = gateway.connect(20_000)) {
            byte[] first = request("once", "first", "stall=1500", 400_000).getBytes(StandardCharsets.ISO_8859_1);
            for (int from = 0; from < first.length; from += pieceBytes) {
                client.getOutputStream().write(first, from, Math.min(pieceBytes, first.length - from));
                TimeUnit.MILLISECONDS.sleep(2);
            }
            writeAside(client, requests(bytesBehind, 20_000));
            TimeUnit.MILLISECONDS.sleep(100);
            leave(client, reset);
            long leftAt = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(3_000);
            List<String> late = host.received().stream().filter(received -> received.begunAt() - leftAt
                    > TimeUnit.MILLISECONDS.toNanos(SLACK_MILLIS)).map(RecordingHost.Received::id).toList();
            assertEquals(List.of(), late, gateway.log());
        }
    }

    /** Sends a first request of each client, with more behind it, and leaves while the process is suspended; returns the
        ids that hosts were sent all the same. */
    private List<String> sendAndLeaveDuringASuspension(int firstBytes, int bytesBehind, int each, int clients,
            boolean reset) throws Exception {
        try (Server discovery = discoveryServer(); RecordingHost host = new RecordingHost();
                GatewayProcess gateway = start("n0", null, discovery, host)) {
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                sockets.add(gateway.connect(20_000));
                write(sockets.get(i), "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
                assertEquals(200, Loopback.read(sockets.get(i)).status());
            }
            gateway.signal("STOP");
            for (Socket client : sockets) {
                List<String> requests = new ArrayList<>(requests(bytesBehind, each));
                requests.add(0, request("once", "first" + client.getLocalPort(), "work=1", firstBytes));
                writeAside(client, requests);
            }
            TimeUnit.MILLISECONDS.sleep(100);
            for (Socket client : sockets) {
                leave(client, reset);
            }
            TimeUnit.MILLISECONDS.sleep(SLACK_MILLIS);
            gateway.signal("CONT");
            TimeUnit.MILLISECONDS.sleep(1_000);
            return host.received().stream().map(RecordingHost.Received::id).toList();
        }
    }

    /** Guards against requests that are sent on for clients that have left while the process was suspended: their close
        lies behind more input than is read at once. */
    @ParameterizedTest
    @CsvSource({"0, 20000, 1, false", "60000, 20000, 1, false", "60000, 20000, 1, true", "1000000, 20000, 5, false",
        "2600000, 60000, 3, false", "2600000, 1000, 1, true", "200000, 100, 10, false"})
    void doesNotSendOnForClientsThatLeftDuringASuspension(int bytesBehind, int each, int clients, boolean reset)
            throws Exception {
        assertEquals(List.of(), sendAndLeaveDuringASuspension(1, bytesBehind, each, clients, reset));
    }

    /** The same with a long first request, behind which more is left than there is memory to read. */
    @ParameterizedTest
    @CsvSource({"100000, 200000, 1", "1500000, 60000, 1", "300000, 2600000, 4", "2000000, 1000000, 4"})
    void doesNotSendOnLongRequestsOfClientsThatLeftDuringASuspension(int firstBytes, int bytesBehind, int clients)
            throws Exception {
        assertEquals(List.of(), sendAndLeaveDuringASuspension(firstBytes, bytesBehind, 20_000, clients, false));
    }
}
