package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Hosts that write long responses, or read long requests, slowly. */
class SlowHostTest {

    private static final int DEADLINE_MILLIS = 1000;
    private static final int LOST_AFTER_MILLIS = DEADLINE_MILLIS + 500;

    @TempDir
    private Path folder;

    private GatewayNode startNode(Server discovery, String host) throws Exception {
        return new GatewayNode(environment(folder, discovery,
                hostList(1, true, hostEntry("s1", host, "a", "in_service")), SETTINGS));
    }

    /** Guards against a long response that is cut off while its host goes on writing it. */
    @ParameterizedTest
    @CsvSource({"length, 4000, 60", "length, 20000, 310", "length, 1000, 60", "chunks, 4000, 60", "chunks, 20000, 310",
        "chunks, 1000, 30", "close, 4000, 60", "close, 20000, 310"})
    void longResponseWrittenSlowlyComesWhole(String framing, int pieceBytes, int pauseMillis) throws Exception {
        int pieces = 200_000 / pieceBytes;
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            Socket socket = message.socket();
            write(socket, "HTTP/1.1 200 OK\r\n" + (framing.equals("length") ? "Content-Length: " + pieces * pieceBytes
                    : framing.equals("chunks") ? "Transfer-Encoding: chunked" : "Connection: close") + "\r\n\r\n");
            String piece = "x".repeat(pieceBytes);
            for (int i = 0; i < pieces; i++) {
                write(socket, framing.equals("chunks") ? Integer.toHexString(pieceBytes) + "\r\n" + piece + "\r\n" : piece);
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
            }
            if (framing.equals("chunks")) {
                write(socket, "0\r\n\r\n");
            } else if (framing.equals("close")) {
                socket.close();
            }
        }); GatewayNode node = startNode(discovery, host.address())) {
            Loopback.Message answer = node.sendRequest(post("start", DEADLINE_MILLIS, "x"));
            assertEquals(pieces * pieceBytes, answer.body().length);
        }
    }

    /** Guards against an answer that comes seconds after its time: its host reads a long request slowly. */
    @ParameterizedTest
    @CsvSource({"length, 200000, 50", "length, 300000, 100", "length, 1000000, 100", "length, 1000000, 400",
        "chunks, 300000, 100", "chunks, 1000000, 400"})
    void longRequestReadSlowlyIsAnsweredInTime(String framing, int bytes, int kilobytesPerSecond) throws Exception {
        try (Server discovery = discoveryServer();
                ServerSocket host = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            host.setReceiveBufferSize(16 << 10);
            try (GatewayNode node = startNode(discovery, "127.0.0.1:" + host.getLocalPort())) {
                Thread reader = new Thread(() -> {
                    try (Socket connection = host.accept()) {
                        InputStream in = connection.getInputStream();
                        while (in.readNBytes(kilobytesPerSecond * 20).length > 0) {
                            TimeUnit.MILLISECONDS.sleep(20);
                        }
                    } catch (Exception ended) {
                        return;  // by the gateway
                    }
                });
                reader.setDaemon(true);
                reader.start();
                Socket client = node.connect();
                String body = "x".repeat(bytes);
                write(client, post("start", DEADLINE_MILLIS, "").replaceFirst("Content-Length: 0\r\n\r\n",
                        framing.equals("length") ? "Content-Length: " + bytes + "\r\n\r\n" + body
                                : "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bytes) + "\r\n" + body
                                + "\r\n0\r\n\r\n"));
                long sentAt = System.nanoTime();
                client.getInputStream().read();
                long tookMillis = (System.nanoTime() - sentAt) / 1_000_000;
                System.out.println("slow host: " + framing + " " + bytes + " at " + kilobytesPerSecond + " kB/s: " + tookMillis);
                assertTrue(tookMillis < LOST_AFTER_MILLIS, "answered after " + tookMillis + " ms");
            }
        }
    }
}
