import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers of hosts are spoilt: they never end, a few bytes come every tenth of a second. Each client waits for
    the end of its answer, or of its connection, for half a second after its time and much longer. */
final class EndlessAnswers extends Case {

    private static final int CLIENTS = 12;
    private static final int REQUESTS_PER_CLIENT = 8;
    private static final int SPOILT_ONE_IN = 8;
    private static final int SERVICE_MILLIS = 60;
    private static final int PIECE_MILLIS = 100;
    private static final int EXPIRES_MILLIS = 1500;
    private static final int LATE_MILLIS = 500;  // after its time, an answer only earns nothing for this long
    private static final int SLACK_MILLIS = 50;  // on sockets, every time limit is 50 ms longer
    private static final int PATIENCE_MILLIS = 15_000;
    private static final int LONG_BYTES = 64 << 10;  // of a longer answer the first bytes are timed

    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) {
        new EndlessAnswers().run(arguments[0]);
    }

    @Override
    Host.Behaviour behaviour() {
        return this::answer;
    }

    private void answer(Host host, HttpMessage request, Socket connection, OutputStream out)
            throws IOException, InterruptedException {
        Thread.sleep(SERVICE_MILLIS);
        String body = "receipt of " + host.uid + " for " + request.traceId();
        boolean spoilt = trouble && answers.incrementAndGet() % SPOILT_ONE_IN == 0;
        record.add("run       %s by %s%s", request.traceId(), host.uid, spoilt ? ": an answer that never ends" : "");
        if (!spoilt) {
            Host.write(out, Host.response("200 OK", body));
            return;
        }
        Host.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Discovery.chunk(body));
        while (true) {  // until the gateway closes the connection
            Thread.sleep(PIECE_MILLIS);
            Host.write(out, Discovery.chunk("........"));
        }
    }

    @Override
    boolean play() throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Threads.start(() -> sendRequests(client)));
        }
        for (Thread client : clients) {
            client.join();
        }
        record.add("total: %d answered in time or ended, %d lost", answered.get(), lost.get());
        return lost.get() == 0;
    }

    /** Sends one request after the other; ends with the first whose answer does not end. */
    private void sendRequests(int client) throws IOException, InterruptedException {
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            String traceId = String.format("%04x%012x", client, i);
            String requestClass = i % 4 == 0 ? "fechamento" : "leitura";
            try (Client connection = new Client(gateway.port())) {
                record.add("sent      %s %s, expires in %d ms", traceId, requestClass, EXPIRES_MILLIS);
                connection.write(Client.request(requestClass, traceId, "meter-" + (client * 31 + i) % 250,
                        EXPIRES_MILLIS, "reading"));
                if (!awaitEnd(traceId, connection, System.nanoTime())) {
                    return;
                }
            }
        }
    }

    /** Waits for the end of the answer or the connection; returns whether it came. */
    private boolean awaitEnd(String traceId, Client connection, long sentAt) throws IOException {
        Tally tally = new Tally(connection.in);
        connection.socket.setSoTimeout(PATIENCE_MILLIS);
        boolean lateNoted = false;
        Thread reader = Threads.start(tally::read);
        for (long waited = 0; waited < PATIENCE_MILLIS; waited = (System.nanoTime() - sentAt) / 1_000_000) {
            try {
                reader.join(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
            if (!reader.isAlive()) {
                break;
            }
            if (!lateNoted && waited > EXPIRES_MILLIS + LATE_MILLIS + SLACK_MILLIS) {
                lateNoted = true;
                record.add("OVERDUE   %s: %d ms after it was sent the answer has not ended; %d bytes so far", traceId,
                        waited, tally.bytes);
            }
        }
        long waited = (System.nanoTime() - sentAt) / 1_000_000;
        record.add("%s %s: %s after %d ms, %d bytes", reader.isAlive() ? "NO END   " : "answered ", traceId,
                reader.isAlive() ? "no end" : tally.end, waited, tally.bytes);
        boolean isLost = lateNoted && tally.bytes < LONG_BYTES;
        (isLost ? lost : answered).incrementAndGet();
        return !isLost;
    }

    /** Reads an answer and counts its bytes. */
    private static final class Tally {

        private final InputStream in;
        private volatile int bytes;
        private volatile String end = "the connection ended";

        Tally(InputStream in) {
            this.in = in;
        }

        private void read() {
            try {
                HttpMessage head = HttpMessage.readHead(counting());
                if (head != null) {
                    end = "status " + head.status() + ", cut off";
                    head.readBody(counting());
                    end = "status " + head.status() + ", whole";
                }
            } catch (SocketTimeoutException silent) {
                end += ", silent";
            } catch (IOException ended) {
                end += ", " + ended.getMessage();
            }
        }

        private InputStream counting() {
            return new InputStream() {
                @Override
                public int read() throws IOException {
                    int next = in.read();
                    bytes += next < 0 ? 0 : 1;
                    return next;
                }
            };
        }
    }
}
