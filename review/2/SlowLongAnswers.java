import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Hosts write long answers slowly, at 64 kB a second, in pieces of different sizes. Each client checks that its answer
    comes to its end. */
final class SlowLongAnswers extends Case {

    private static final int CLIENTS = 12;
    private static final int SERVICE_MILLIS = 100;
    private static final int BYTES_PER_SECOND = 64_000;
    private static final int SMALL_PIECE = 4_000;
    private static final int SMALL_PIECES = 13;
    private static final int LARGE_PIECE = 20_000;
    private static final int ANSWER_BYTES = SMALL_PIECES * SMALL_PIECE + 12 * LARGE_PIECE;
    private static final int EXPIRES_MILLIS = 1000;

    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cutOff = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();

    public static void main(String[] arguments) {
        new SlowLongAnswers().run(arguments[0]);
    }

    @Override
    Host.Behaviour behaviour() {
        return this::answer;
    }

    private void answer(Host host, HttpMessage request, Socket connection, OutputStream out)
            throws IOException, InterruptedException {
        record.add("run       %s by %s", request.traceId(), host.uid);
        Thread.sleep(SERVICE_MILLIS);
        Host.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int sent = 0;
        try {
            while (sent < ANSWER_BYTES) {
                int size = sent < SMALL_PIECES * SMALL_PIECE ? SMALL_PIECE : LARGE_PIECE;
                if (trouble && sent > 0) {
                    Thread.sleep(1000L * size / BYTES_PER_SECOND);
                }
                Host.write(out, Discovery.chunk("x".repeat(size)));
                sent += size;
                record.add("written   %s: %d of %d bytes", request.traceId(), sent, ANSWER_BYTES);
            }
            Host.write(out, "0\r\n\r\n");
        } catch (IOException ended) {
            record.add("given up  %s: the gateway closed the connection while %s had written %d of %d bytes",
                    request.traceId(), host.uid, sent, ANSWER_BYTES);
            throw ended;
        }
    }

    @Override
    boolean play() throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Threads.start(() -> sendRequest(client)));
            Thread.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.add("total: %d whole, %d cut off, %d not served", whole.get(), cutOff.get(), notServed.get());
        return cutOff.get() == 0;
    }

    private void sendRequest(int client) throws IOException {
        String traceId = String.format("%016x", client);
        try (Client connection = new Client(gateway.port())) {
            record.add("sent      %s leitura, expires in %d ms", traceId, EXPIRES_MILLIS);
            connection.write(Client.request("leitura", traceId, "meter-" + client, EXPIRES_MILLIS, "reading"));
            HttpMessage head = HttpMessage.readHead(connection.in);
            if (head == null || head.status() != 200) {
                record.add("answered  %s: %s", traceId, head == null ? "no answer" : head.startLine);
                notServed.incrementAndGet();
                return;
            }
            record.add("begun     %s: the first bytes of an answer 200 have come", traceId);
            try {
                head.readBody(connection.in);
                record.add("answered  %s: 200, whole, %d bytes", traceId, head.body.length);
                whole.incrementAndGet();
            } catch (IOException ended) {
                record.add("CUT OFF   %s: %s", traceId, ended.getMessage());
                cutOff.incrementAndGet();
            }
        }
    }
}
