package mastdrift.net;

import static mastdrift.net.RecordingHost.startThread;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that make a gateway hold memory, drawn from a seed: such that write slowly, stop half way, send heads of many
    or long fields, read long answers slowly, or only connect. */
final class MemoryCrowd {

    /** What a client does on a connection. */
    enum Kind {
        WRITES_SLOWLY, STOPS_HALF_WAY, SENDS_MANY_FIELDS, SENDS_LONG_FIELDS, READS_SLOWLY, READS_NOTHING,
        GETS_MANY_FIELDS, UPLOADS_TO_SLOW_HOSTS, CONNECTS_ONLY
    }

    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final int RECONNECT_MILLIS = 20;
    private static final int MAX_PIECE_PAUSE_MILLIS = 200;
    private static final int CHUNK_FRAME_BYTES = 8;

    private final GatewayProcess gateway;
    private final AtomicInteger clients = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile boolean ended;

    /** Clients of that gateway, and of its successor at the same address. */
    MemoryCrowd(GatewayProcess gateway) {
        this.gateway = gateway;
    }

    /** How many connections the clients have made. */
    int connections() {
        return connections.get();
    }

    /** Starts clients of those kinds at once, which go on until {@link #end} or until that many milliseconds have
        passed. */
    void start(int count, List<Kind> kinds, int millis, Random random) {
        long endAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (int i = 0; i < count; i++) {
            Random own = new Random(random.nextLong());
            int client = clients.incrementAndGet();
            startThread(() -> run(client, kinds, endAt, own));
        }
    }

    /** Ends the clients with the connections that they have. */
    void end() {
        ended = true;
    }

    private boolean goesOn(long endAt) {
        return !ended && System.nanoTime() < endAt;
    }

    private void run(int client, List<Kind> kinds, long endAt, Random random) throws Exception {
        for (int number = 0; goesOn(endAt); number++) {
            Kind kind = pick(random, kinds);
            int receiveBuffer = kind == Kind.READS_SLOWLY ? pick(random, List.of(0, 4_000, 16_000)) : 0;
            try (Socket socket = gateway.connect(READ_TIMEOUT_MILLIS, receiveBuffer)) {
                connections.incrementAndGet();
                if (random.nextInt(8) == 0) {
                    socket.setSoLinger(true, 0);  // its end is a reset
                }
                act(kind, socket, client, number, endAt, random);
            } catch (IOException closedByGateway) {
                TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
            }
        }
    }

    private void act(Kind kind, Socket socket, int client, int number, long endAt, Random random) throws Exception {
        switch (kind) {
            case WRITES_SLOWLY -> upload(socket, client, number, endAt, random, 1.0);
            case STOPS_HALF_WAY -> upload(socket, client, number, endAt, random, pick(random, List.of(0.02, 0.5, 0.9, 0.99)));
            case SENDS_MANY_FIELDS -> sendManyFields(socket, client, number, endAt, random);
            case READS_SLOWLY -> readSlowly(socket, client, number, endAt, random);
            case CONNECTS_ONLY -> stay(socket, endAt, random);
            case UPLOADS_TO_SLOW_HOSTS -> uploadToSlowHost(socket, client, number, endAt, random);
            case READS_NOTHING -> readNothing(socket, client, number, endAt, random);
            case GETS_MANY_FIELDS -> getManyFields(socket, client, number, endAt, random);
            case SENDS_LONG_FIELDS -> sendLongFields(socket, client, number, endAt, random);
        }
    }

    private static <T> T pick(Random random, List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    private static String request(int client, int number, int length, String query, String fields) {
        return PlainClients.request(client, number, length, fields).replace("/api/x?y=1%20z", "/api/x?" + query);
    }

    /** Sends a part of a request with a body, in pieces, and waits for what comes, or leaves after a while. */
    private void upload(Socket socket, int client, int number, long endAt, Random random, double part) throws Exception {
        int length = pick(random, List.of(5_000, 20_000, 60_000, 64_000, 65_000, 100_000, 400_000, 2_000_000));
        int chunk = pick(random, List.of(0, 0, 0, 1, 100, 4_000, 60_000));
        int hostRate = pick(random, List.of(0, 0, 0, 30_000, 200_000));
        String query = "work=" + pick(random, List.of(0, 20, 300)) + (hostRate > 0 ? "&rate=" + hostRate : "")
                + (random.nextInt(6) == 0 ? "&stall=500" : "");
        int piece = pick(random, List.of(100, 320, 1_400, 8_000, 60_000));
        int pause = Math.min(MAX_PIECE_PAUSE_MILLIS, piece * 1000 / pick(random, List.of(64_000, 64_000, 300_000, 2_000_000)));
        Loopback.write(socket, request(client, number, chunk > 0 ? -1 : length, query, ""));
        long toSend = (long) (length * part);
        for (long sent = 0; sent < toSend && goesOn(endAt); sent += piece) {
            writePiece(socket.getOutputStream(), (int) Math.min(piece, toSend - sent), chunk);
            TimeUnit.MILLISECONDS.sleep(pause);
        }
        if (part == 1.0 && chunk > 0) {
            Loopback.write(socket, "0\r\n\r\n");
        }
        stay(socket, endAt, random);
    }

    private static void writePiece(OutputStream out, int bytes, int chunk) throws IOException {
        if (chunk == 0) {
            out.write(new byte[bytes]);
            return;
        }
        StringBuilder piece = new StringBuilder(bytes + CHUNK_FRAME_BYTES);
        for (int left = bytes; left > 0; left -= chunk) {
            int size = Math.min(left, chunk);
            piece.append(Integer.toHexString(size)).append("\r\n").append("x".repeat(size)).append("\r\n");
        }
        out.write(piece.toString().getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends requests with as many header fields as fit, or with long ones, at once or slowly. */
    private void sendManyFields(Socket socket, int client, int number, long endAt, Random random) throws Exception {
        String fields = pick(random, List.of("a:\r\n".repeat(1900), distinctFields(), "X-A: b\r\n".repeat(900),
                "X-Props: " + "p".repeat(7_000) + "\r\n", "X-Size-Hint:" + " ".repeat(7_000) + "1\r\n"));
        int length = pick(random, List.of(0, 0, 4_000, 60_000));
        int requests = pick(random, List.of(1, 1, 3, 12));
        int piece = pick(random, List.of(18, 700, 8_000, 8_000));
        for (int i = 0; i < requests && goesOn(endAt); i++) {
            byte[] head = request(client, number * 100 + i, length, "work=100", fields).getBytes(StandardCharsets.US_ASCII);
            for (int sent = 0; sent < head.length && goesOn(endAt); sent += piece) {
                socket.getOutputStream().write(head, sent, Math.min(piece, head.length - sent));
                TimeUnit.MILLISECONDS.sleep(piece < 8_000 ? 5 : 0);
            }
            boolean stops = random.nextInt(4) == 0;
            socket.getOutputStream().write(new byte[stops ? length / 2 : length]);
            if (stops && length > 0) {
                break;
            }
        }
        stay(socket, endAt, random);
    }

    private static String distinctFields() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            fields.append((char) ('a' + i % 26)).append(i).append(":\r\n");
        }
        return fields.toString();
    }

    /** Asks for long answers and reads them slowly, or not at all. */
    private void readSlowly(Socket socket, int client, int number, long endAt, Random random) throws Exception {
        int size = pick(random, List.of(20_000, 60_000, 64_000, 70_000, 400_000, 1_500_000));
        int piece = pick(random, List.of(1, 300, 4_000, 100_000));
        piece = Math.max(piece, size / 5_000);
        String query = "size=" + size + "&piece=" + piece + "&framing=" + pick(random, List.of("length", "chunks", "close"))
                + "&pause=" + (size / piece > 500 ? 0 : pick(random, List.of(0, 2, 20)));
        int requests = pick(random, List.of(1, 1, 1, 4));
        for (int i = 0; i < requests; i++) {
            Loopback.write(socket, request(client, number * 100 + i, 10, query, "") + "0123456789");
        }
        if (random.nextInt(4) == 0) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(6_000));
        }
        int rate = pick(random, List.of(30_000, 64_000, 64_000, 400_000));
        byte[] buffer = new byte[1600];
        InputStream in = socket.getInputStream();
        for (int read = in.read(buffer); read > 0 && goesOn(endAt); read = in.read(buffer)) {
            TimeUnit.MILLISECONDS.sleep(read * 1000L / rate);
        }
    }

    /** Sends long bodies at full speed, which hosts read late and slowly. */
    private void uploadToSlowHost(Socket socket, int client, int number, long endAt, Random random) throws Exception {
        int length = pick(random, List.of(60_000, 64_000, 200_000, 2_000_000));
        String query = "stall=" + pick(random, List.of(500, 1_500)) + "&rate=" + pick(random, List.of(20_000, 60_000));
        startThread(() -> GatewayProcess.discard(socket.getInputStream()));
        for (int i = 0; i < 50 && goesOn(endAt); i++) {
            Loopback.write(socket, request(client, number * 100 + i, length, query, ""));
            socket.getOutputStream().write(new byte[length]);
        }
    }

    /** Asks for long answers and reads nothing of them. */
    private void readNothing(Socket socket, int client, int number, long endAt, Random random) throws Exception {
        int size = pick(random, List.of(64_000, 400_000, 1_500_000));
        String query = "size=" + size + "&piece=16000&framing=" + pick(random, List.of("length", "chunks", "close"));
        for (int i = 0; i < 9; i++) {
            Loopback.write(socket, request(client, number * 100 + i, 10, query, "") + "0123456789");
        }
        while (goesOn(endAt)) {
            TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
        }
    }

    /** Asks for answers with as many header fields as fit, which their hosts write slowly. */
    private void getManyFields(Socket socket, int client, int number, long endAt, Random random) throws Exception {
        int pause = pick(random, List.of(20, 60, 190));
        for (int i = 0; goesOn(endAt); i++) {
            String query = "fields=1900&size=100&piece=10&pause=" + pause + "&framing=" + pick(random, List.of("length", "chunks"));
            Loopback.write(socket, request(client, number * 100 + i, 10, query, "") + "0123456789");
            if (Loopback.read(socket) == null) {
                return;
            }
        }
    }

    /** Sends requests at once with fields of all the length that a head may have, which are kept with their request. */
    private void sendLongFields(Socket socket, int client, int number, long endAt, Random random) throws Exception {
        String field = pick(random, List.of("X-Size-Hint: ", "Content-Type: ", "Expect: ", "X-Second-Try: ")) + "p".repeat(7_000) + "\r\n";
        boolean longId = random.nextInt(4) == 0;
        for (int i = 0; i < 12; i++) {
            String request = request(client, number * 100 + i, 0, "work=" + (longId ? 1 : 1500) + "&q=" + "u".repeat(3_000),
                    longId ? "" : field);
            Loopback.write(socket, longId ? request.replace("X-Trace-Id: ", "X-Trace-Id: " + "i".repeat(7_000)) : request);
        }
        GatewayProcess.discard(socket.getInputStream());
    }

    /** Waits until the gateway closes the connection, or for a while; half of the clients read what comes. */
    private void stay(Socket socket, long endAt, Random random) throws Exception {
        if (random.nextBoolean()) {
            long leaveAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(random.nextInt(4_000));
            while (goesOn(Math.min(endAt, leaveAt))) {
                TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
            }
            return;
        }
        GatewayProcess.discard(socket.getInputStream());
    }
}
