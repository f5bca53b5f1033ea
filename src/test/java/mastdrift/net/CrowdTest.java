package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.response;
import static mastdrift.net.Loopback.write;
import static mastdrift.net.PlainClients.request;
import static mastdrift.net.RecordingHost.startThread;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A real gateway process beside many clients, or one at full speed, that take what they can: it lives, stays within its
    memory, and serves other clients in time. {@code -Dcrowd.seeds=1,2,3} plays further seeds by hand, {@code -Dcrowd.forms=HEADS.*} certain forms. */
class CrowdTest {

    // Clients hold no more than a third of the descriptors.
    private static final int CROWD_CLIENTS = 340;
    private static final long MEMORY_LIMIT_MEGABYTES = 128;
    private static final int CROWD_SECONDS = 4;
    private static final int LONG_RESPONSE_BYTES = 400_000;
    private static final int HEAD_PIECE_BYTES = 18;  // of a head of 7 kB, which takes 2 s in all

    @TempDir
    private Path folder;

    /** What one client of the crowd does on its connection. */
    private interface Behavior {
        void run(Socket socket, int client, Random random) throws Exception;
    }

    /** What the clients of a crowd do, and how many they are. */
    enum Form {
        BODIES_WRITTEN_SLOWLY(CROWD_CLIENTS, (socket, client, random) -> {
            write(socket, request(client, 0, 60_000, ""));
            for (int sent = 0; sent < 60_000; sent += 320) {
                socket.getOutputStream().write(new byte[320]);
                sleep(5);
            }
            GatewayProcess.discard(socket.getInputStream());
        }),
        HEADS_WRITTEN_SLOWLY(CROWD_CLIENTS, (socket, client, random) -> {
            byte[] head = request(client, 0, 0, "X-A: b\r\n".repeat(900)).getBytes(StandardCharsets.US_ASCII);
            for (int sent = 0; sent < head.length; sent += HEAD_PIECE_BYTES) {
                socket.getOutputStream().write(head, sent, Math.min(HEAD_PIECE_BYTES, head.length - sent));
                sleep(5);
            }
            GatewayProcess.discard(socket.getInputStream());
        }),
        TINY_CHUNKS_WRITTEN(CROWD_CLIENTS, (socket, client, random) -> {
            write(socket, request(client, 0, -1, ""));
            OutputStream out = socket.getOutputStream();
            byte[] chunks = "1\r\nx\r\n".repeat(100).getBytes(StandardCharsets.US_ASCII);
            for (int sent = 0; sent < 60_000; sent += 100) {
                out.write(chunks);
                sleep(2);
            }
            write(socket, "0\r\n\r\n");
            GatewayProcess.discard(socket.getInputStream());
        }),
        STOPPED_HALF_WAY(CROWD_CLIENTS, (socket, client, random) -> {
            int length = random.nextBoolean() ? 64_000 : 2_000_000;
            write(socket, request(client, 0, length, ""));
            socket.getOutputStream().write(new byte[random.nextBoolean() ? 63_000 : 32_000]);
            GatewayProcess.discard(socket.getInputStream());
        }),
        MANY_SHORT_FIELDS(CROWD_CLIENTS, (socket, client, random) -> {
            String fields = "a:\r\n".repeat(1900);
            write(socket, request(client, 0, 60_000, fields));
            socket.getOutputStream().write(new byte[30_000]);
            GatewayProcess.discard(socket.getInputStream());
        }),
        MANY_SHORT_FIELDS_PIPELINED(CROWD_CLIENTS, (socket, client, random) -> {
            for (int number = 0; number < 12; number++) {
                StringBuilder fields = new StringBuilder();
                for (int i = 0; i < 1000; i++) {
                    fields.append((char) ('a' + i % 26)).append(i).append(":\r\n");
                }
                write(socket, request(client, number, 0, fields.toString()));
            }
            GatewayProcess.discard(socket.getInputStream());
        }),
        RESPONSES_READ_SLOWLY(CROWD_CLIENTS, (socket, client, random) -> {
            write(socket, request(client, 0, 100, "").replace("/api/x", "/api/long"));
            byte[] buffer = new byte[1600];
            while (socket.getInputStream().read(buffer) > 0) {
                sleep(50);
            }
        }),
        RESPONSES_NOT_READ(CROWD_CLIENTS, (socket, client, random) -> {
            write(socket, request(client, 0, 100, "").replace("/api/x", "/api/long"));
            sleep(CROWD_SECONDS * 1000);
        }),
        SMALL_REQUESTS_AT_FULL_SPEED(1, (socket, client, random) -> {
            readAside(socket);
            String batch = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n".repeat(500);
            while (true) {
                write(socket, batch);
            }
        }),
        NEW_NAMES_AT_FULL_SPEED(1, (socket, client, random) -> {
            readAside(socket);
            for (int number = 0; true; number += 200) {
                StringBuilder batch = new StringBuilder();
                for (int i = number; i < number + 200; i++) {
                    batch.append(request(client, i, 0, "X-New-" + i + ": 1\r\n").replace("X-Qos: start", "X-Qos: class" + i)
                            .replace("X-Customer: acme", "X-Customer: customer" + i));
                }
                write(socket, batch.toString());
            }
        }),
        UNSOUND_REQUESTS_AT_FULL_SPEED(1, (socket, client, random) -> {
            readAside(socket);
            byte[] bytes = new byte[16 << 10];
            while (true) {
                random.nextBytes(bytes);
                write(socket, "GET / HTTP/1.1\r\nContent-Length: " + random.nextInt() + "x\r\n\r\n");
                socket.getOutputStream().write(bytes);
            }
        }),
        TINY_CHUNKS_AT_FULL_SPEED(1, (socket, client, random) -> {
            readAside(socket);
            byte[] chunks = "1\r\nx\r\n".repeat(5000).getBytes(StandardCharsets.US_ASCII);
            for (int number = 0; true; number++) {
                write(socket, request(client, number, -1, ""));
                socket.getOutputStream().write(chunks);
                write(socket, "0\r\n\r\n");
            }
        });

        private final int clients;
        private final Behavior behavior;

        Form(int clients, Behavior behavior) {
            this.clients = clients;
            this.behavior = behavior;
        }
    }

    private static void sleep(int millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    /** Reads and discards on a thread of its own what comes on the socket. */
    private static void readAside(Socket socket) {
        startThread(() -> GatewayProcess.discard(socket.getInputStream()));
    }

    private static Server host() throws IOException {
        String longBody = "x".repeat(LONG_RESPONSE_BYTES);
        return new Server(message -> write(message.socket(), message.startLine().contains("/api/long")
                ? response("200 OK", longBody) : response("200 OK", "ok")));
    }

    private static List<Form> forms() {
        return Arrays.stream(Form.values()).filter(form -> form.name().matches(System.getProperty("crowd.forms", ".*")))
                .toList();
    }

    /** Guards against a process that passes its memory limit, and against other clients that are not answered. */
    @ParameterizedTest
    @MethodSource("forms")
    void othersAreServedAndMemoryIsBounded(Form form) throws Exception {
        for (long seed : Seeds.of("crowd.seeds", "1").toArray()) {
            play(form, seed);
        }
    }

    private void play(Form form, long seed) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        String settings = SETTINGS.replace("\"quota_per_s\":1000.0", "\"quota_per_s\":100000.0");
        try (Server discovery = discoveryServer(); Server one = host(); Server two = host(); Server three = host();
                GatewayProcess gateway = new GatewayProcess(folder, discovery, hostList(1, true,
                        hostEntry("s1", one.address(), "a", "in_service"), hostEntry("s2", two.address(), "a", "in_service"),
                        hostEntry("s3", three.address(), "b", "in_service")), settings, GatewayProcess.Limits.LEAST_MEMORY)) {
            PlainClients others = new PlainClients(gateway);
            sleep(500);
            Random random = new Random(seed);
            for (int client = 0; client < form.clients; client++) {
                int number = client;
                Random own = new Random(random.nextLong());
                startThread(() -> {
                    try (Socket socket = gateway.connect(30_000)) {
                        synchronized (sockets) {
                            sockets.add(socket);
                        }
                        form.behavior.run(socket, number, own);
                    }
                });
            }
            sleep(CROWD_SECONDS * 1000);
            others.end();
            boolean alive = gateway.isAlive();
            long peak = alive ? gateway.peakMegabytes() : -1;
            System.out.println("crowd: " + form + " seed " + seed + ": alive " + alive + ", peak " + peak + " of "
                    + MEMORY_LIMIT_MEGABYTES + " MB, others: " + others.summary());
            String log = gateway.log();
            assertTrue(alive, log);
            assertTrue(peak < MEMORY_LIMIT_MEGABYTES, "peak of " + peak + " MB");
            assertEquals(0, others.lost(), log.substring(Math.max(0, log.length() - 2000)));
            assertTrue(others.slowestMillis() < PlainClients.LOST_AFTER_MILLIS, "slowest " + others.slowestMillis());
            assertTrue(!log.contains("OutOfMemoryError"), log);
        } finally {
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }
}
