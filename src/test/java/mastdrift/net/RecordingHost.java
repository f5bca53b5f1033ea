package mastdrift.net;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** A host that records when each request begins and whether it comes whole, and that does what the request's query
    asks for: {@code stall} is how many milliseconds it waits before it reads the body, {@code rate} how many bytes of
    it it reads a second, {@code work} how many milliseconds it takes for the answer, {@code size} its length, {@code piece} and {@code pause} the pieces in which it writes
    it, {@code fields} how many short header fields it has, {@code framing} its framing (length, chunks or close). {@code end=reset} resets the connection instead of an
    answer, {@code cut} does so after so many bytes of the body. */
final class RecordingHost implements AutoCloseable {

    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    private static final int READ_BYTES = 2 << 10;
    private static final int PACE_MILLIS = 20;

    /** A request as a host has received it: when it began by System.nanoTime, how many milliseconds its gateway said
        that it waits, and whether all of it came. */
    record Received(String id, long begunAt, int waitMillis, boolean whole) { }

    private final ServerSocket socket;
    private final Queue<Received> received;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** What it receives is added to that queue. */
    RecordingHost(Queue<Received> received) throws IOException {
        this.received = received;
        socket = new ServerSocket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        startThread(() -> {
            while (true) {
                Socket connection = socket.accept();
                connections.add(connection);
                startThread(() -> serve(connection));
            }
        });
    }

    RecordingHost() throws IOException {
        this(new ConcurrentLinkedQueue<>());
    }

    Queue<Received> received() {
        return received;
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** What a thread does; it ends with its connection. */
    interface Body {
        void run() throws Exception;
    }

    static Thread startThread(Body body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (Exception ended) {
                return;  // by the gateway, or by the end of the test
            }
        }, "peer", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** An input that is read at a limited rate. */
    private static final class PacedInput extends InputStream {

        private final InputStream in;
        private int bytesPerSecond;  // 0: without a limit

        PacedInput(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            throw new UnsupportedOperationException("buffered reads only");
        }

        @Override
        public int read(byte[] into, int from, int length) throws IOException {
            if (bytesPerSecond == 0) {
                return in.read(into, from, length);
            }
            int count = in.read(into, from, Math.min(length, Math.max(1, bytesPerSecond * PACE_MILLIS / 1000)));
            try {
                TimeUnit.MICROSECONDS.sleep(Math.max(0, count) * 1_000_000L / bytesPerSecond);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return count;
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            PacedInput paced = new PacedInput(connection.getInputStream());
            BufferedInputStream in = new BufferedInputStream(paced, READ_BYTES);
            while (true) {
                in.mark(1);
                if (in.read() < 0) {
                    return;
                }
                in.reset();
                long begunAt = System.nanoTime();
                String head = readHead(in);
                Loopback.Message message = new Loopback.Message(head, new byte[0], connection);
                String id = message.header("X-Trace-Id");
                paced.bytesPerSecond = query(head, "rate", 0);
                int waitMillis = Integer.parseInt(message.header("X-Expires-In-Ms"));
                boolean whole = false;
                TimeUnit.MILLISECONDS.sleep(query(head, "stall", 0));
                try {
                    readBody(in, message);
                    whole = true;
                } finally {
                    received.add(new Received(id, begunAt, waitMillis, whole));
                }
                paced.bytesPerSecond = 0;
                answer(connection, head, id);
                if (head.contains("framing=close")) {
                    return;
                }
            }
        } finally {
            connections.remove(connection);
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int line = 0;
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("ended within a head");
            }
            head.write(next);
            if (next == '\n' && line == 0) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
            line = next == '\n' ? 0 : next == '\r' ? line : line + 1;
        }
    }

    private static void readBody(InputStream in, Loopback.Message message) throws IOException {
        int cut = query(message.head(), "cut", 0);
        if (cut > 0) {
            skip(in, cut);
            message.socket().setSoLinger(true, 0);
            message.socket().close();
        }
        if (message.header("Transfer-Encoding") == null) {
            String length = message.header("Content-Length");
            skip(in, length == null ? 0 : Long.parseLong(length));
            return;
        }
        while (true) {
            String line = Loopback.readLine(in);
            long size = Long.parseLong(line, 16);
            skip(in, size);
            Loopback.readLine(in);
            if (size == 0) {
                return;
            }
        }
    }

    private static void skip(InputStream in, long bytes) throws IOException {
        byte[] buffer = new byte[READ_BYTES];
        for (long left = bytes; left > 0; ) {
            int read = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (read < 0) {
                throw new IOException("ended within a body");
            }
            left -= read;
        }
    }

    private static int query(String head, String name, int otherwise) {
        java.util.regex.Matcher found = java.util.regex.Pattern.compile("[?&]" + name + "=(\\d+)").matcher(head);
        return found.find() ? Integer.parseInt(found.group(1)) : otherwise;
    }

    private static void answer(Socket connection, String head, String id) throws Exception {
        TimeUnit.MILLISECONDS.sleep(query(head, "work", 0));
        if (head.contains("end=reset")) {
            connection.setSoLinger(true, 0);
            connection.close();
            return;
        }
        int size = query(head, "size", id.length());
        int piece = query(head, "piece", Math.max(1, size));
        int pause = query(head, "pause", 0);
        boolean chunks = head.contains("framing=chunks");
        boolean untilClose = head.contains("framing=close");
        Loopback.write(connection, "HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(query(head, "fields", 0)) + (chunks ? "Transfer-Encoding: chunked"
                : untilClose ? "Connection: close" : "Content-Length: " + size) + "\r\n\r\n");
        String text = id.repeat(size / id.length() + 1);
        for (int from = 0; from < size; from += piece) {
            String part = text.substring(from, Math.min(size, from + piece));
            Loopback.write(connection, chunks ? Integer.toHexString(part.length()) + "\r\n" + part + "\r\n" : part);
            TimeUnit.MILLISECONDS.sleep(from + piece < size ? pause : 0);
        }
        if (chunks) {
            Loopback.write(connection, "0\r\n\r\n");
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
