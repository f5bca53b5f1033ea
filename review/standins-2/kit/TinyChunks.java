package kit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Hosts write answers of 60 kB in chunks of one byte, and 120 clients read them at 64 kB a second; with TROUBLE=0 the same
    answers come in one piece with a length. Other clients send small requests, one at a time, that have small answers. */
public final class TinyChunks {

    private static final int SLOW_CLIENTS = 120;
    private static final int PLAIN_CLIENTS = 5;
    private static final int ANSWER_BYTES = 60_000;
    private static final int READ_BYTES_PER_SECOND = 64_000;
    private static final int WORK_MILLIS = 50;
    private static final int DEADLINE_MILLIS = 2000;
    // Up to half a second after its time an answer only earns nothing; with the sockets' 50 ms.
    private static final int LOST_AFTER_MILLIS = DEADLINE_MILLIS + 550;
    private static final double SLOW_CLIENTS_FROM = 3_000;
    private static final double SLOW_CLIENTS_UNTIL = 25_000;
    private static final double END_AT = 35_000;

    private TinyChunks() { }

    public static void main(String[] arguments) {
        Kit.main(arguments, TinyChunks::run);
    }

    private static byte[] longAnswer(boolean inTinyChunks) throws IOException {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        answer.write(("HTTP/1.1 200 OK\r\n" + (inTinyChunks ? "Transfer-Encoding: chunked" : "Content-Length: " + ANSWER_BYTES)
                + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        byte[] piece = (inTinyChunks ? "1\r\nx\r\n" : "x").getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < ANSWER_BYTES; i++) {
            answer.write(piece);
        }
        answer.write((inTinyChunks ? "0\r\n\r\n" : "").getBytes(StandardCharsets.ISO_8859_1));
        return answer.toByteArray();
    }

    private static int run(Kit kit) throws Exception {
        byte[] answer = longAnswer(kit.trouble);
        String[] zones = {"caxias", "passo-fundo", "blumenau"};
        List<Kit.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            hosts.add(kit.host("s-" + i, zones[i % 3], i / 3, (connection, request) -> {
                String trace = request.header("X-Trace-Id");
                kit.log("run " + trace + " at " + connection.host.uid);
                Kit.sleep(WORK_MILLIS);
                if (trace.startsWith("b")) {
                    connection.out.write(answer);
                    connection.out.flush();
                } else {
                    connection.answer(200, "", trace.getBytes(StandardCharsets.ISO_8859_1));
                }
            }));
        }
        Kit.Discovery discovery = kit.discovery(hosts);
        Kit.Gateway gateway = kit.newGateway("gateway");
        kit.configure(gateway, discovery.port, discovery.list(), 1024, Kit.settings());
        kit.start(gateway);
        double start = kit.now();
        AtomicInteger longAnswers = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < SLOW_CLIENTS; c++) {
            int client = c;
            threads.add(Kit.thread("slow client " + c, () -> readSlowly(kit, gateway, client, start, longAnswers)));
        }
        for (int c = 0; c < PLAIN_CLIENTS; c++) {
            int client = c;
            threads.add(Kit.thread("client " + c, () -> sendOneByOne(kit, gateway, client, start, answered, lost)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        kit.say("long answers read whole " + longAnswers + "; other clients: answered " + answered + ", lost " + lost
                + "; process runs: " + gateway.process.isAlive() + ", answers GET /ready in the end: "
                + kit.answers(gateway));
        gateway.copyLog(30);
        if (answered.get() == 0) {
            throw new Kit.CannotRun("nothing was answered");
        }
        return lost.get();
    }

    private static void readSlowly(Kit kit, Kit.Gateway gateway, int client, double start, AtomicInteger read)
            throws Exception {
        Kit.sleep(SLOW_CLIENTS_FROM + 10 * client);
        for (int number = 0; kit.now() < start + SLOW_CLIENTS_UNTIL; number++) {
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(16 << 10);
                socket.connect(gateway.address(), 3000);
                socket.setSoTimeout(8000);
                String trace = String.format("b%07x%08x", client, number);
                socket.getOutputStream().write(Kit.request("leitura", trace, "m-" + (client * 7 + number) % 240, "k" + trace,
                        DEADLINE_MILLIS, new byte[100]));
                kit.log("sent " + trace);
                InputStream in = socket.getInputStream();
                byte[] buffer = new byte[READ_BYTES_PER_SECOND / 20];
                int total = 0;
                String end = "";
                String head = "";
                for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
                    String text = new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
                    head = total == 0 ? text : head;
                    total += n;
                    end = (end + text).substring(Math.max(0, end.length() + n - 5));
                    boolean whole = head.toLowerCase(java.util.Locale.ROOT).contains("chunked") ? end.equals("0\r\n\r\n")
                            : !head.startsWith("HTTP/1.1 200") || total >= head.indexOf("\r\n\r\n") + 4 + ANSWER_BYTES;
                    if (whole) {
                        read.addAndGet(head.startsWith("HTTP/1.1 200") ? 1 : 0);
                        kit.log("slow client " + client + " has read " + head.split("\r\n")[0] + ", " + total + " bytes");
                        break;
                    }
                    Kit.sleep(50.0 * n / buffer.length);
                }
            } catch (IOException e) {
                kit.log("slow client " + client + ": " + e.getMessage());
            }
        }
    }

    private static void sendOneByOne(Kit kit, Kit.Gateway gateway, int client, double start, AtomicInteger answered,
            AtomicInteger lost) throws Exception {
        int number = 0;
        while (kit.now() < start + END_AT) {
            boolean firstOnConnection = true;
            try (Kit.Client connection = new Kit.Client(gateway.address(), LOST_AFTER_MILLIS)) {
                while (kit.now() < start + END_AT) {
                    String trace = String.format("a%07x%08x", client, ++number);
                    double sentAt = kit.now();
                    try {
                        connection.send(Kit.request("leitura", trace, "m-" + client, "k" + trace, DEADLINE_MILLIS,
                                new byte[100]));
                        kit.log("sent " + trace);
                        int status = connection.read().status;
                        answered.incrementAndGet();
                        kit.log("answered " + trace + " " + status + " after " + (int) (kit.now() - sentAt) + " ms");
                    } catch (IOException e) {
                        // The first request on a connection that the gateway closes has failed and is not lost.
                        boolean excused = firstOnConnection && !(e instanceof SocketTimeoutException);
                        lost.addAndGet(excused ? 0 : 1);
                        kit.log((excused ? "closed unread: " : "LOST: ") + trace + " after " + (int) (kit.now() - sentAt)
                                + " ms: " + e.getMessage());
                        break;
                    }
                    firstOnConnection = false;
                    Kit.sleep(200);
                }
            } catch (IOException e) {
                kit.log("client " + client + " has no connection: " + e.getMessage());
            }
            Kit.sleep(100);
        }
    }
}
