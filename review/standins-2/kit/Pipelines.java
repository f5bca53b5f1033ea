package kit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients on a fifth of the descriptors send 16 requests of 60 KB at once each; with TROUBLE=0 they send the same
    requests one after the other. Other clients send small requests, one at a time, before, meanwhile and long after. */
public final class Pipelines {

    private static final int SOCKETS = 1024;
    private static final int PIPELINING_CLIENTS = 200;
    private static final int REQUESTS_EACH = 16;
    private static final int BODY_BYTES = 60 << 10;
    private static final int PLAIN_CLIENTS = 5;
    private static final int WORK_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 2000;
    // Up to half a second after its time an answer only earns nothing; with the sockets' 50 ms.
    private static final int LOST_AFTER_MILLIS = DEADLINE_MILLIS + 550;
    private static final double PIPELINES_AT = 3_000;
    private static final double PIPELINES_LEAVE_AT = 13_000;
    private static final double END_AT = 45_000;

    private Pipelines() { }

    public static void main(String[] arguments) {
        Kit.main(arguments, Pipelines::run);
    }

    private static int run(Kit kit) throws Exception {
        String[] zones = {"caxias", "passo-fundo", "blumenau"};
        List<Kit.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            hosts.add(kit.host("s-" + i, zones[i % 3], i / 3, (connection, request) -> {
                kit.log("run " + request.header("X-Trace-Id") + " at " + connection.host.uid);
                Kit.sleep(WORK_MILLIS);
                connection.answer(200, "", request.header("X-Trace-Id").getBytes(StandardCharsets.ISO_8859_1));
            }));
        }
        Kit.Discovery discovery = kit.discovery(hosts);
        Kit.Gateway gateway = kit.newGateway("gateway");
        kit.configure(gateway, discovery.port, discovery.list(), SOCKETS, Kit.settings());
        kit.start(gateway);
        double start = kit.now();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger plainAnswered = new AtomicInteger();
        AtomicInteger pipelinedAnswered = new AtomicInteger();
        AtomicInteger lostAfterwards = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        CountDownLatch burst = new CountDownLatch(1);
        for (int c = 0; c < PIPELINING_CLIENTS; c++) {
            int client = c;
            threads.add(Kit.thread("pipelining client " + c, () -> sendMany(kit, gateway, client, burst, start,
                    pipelinedAnswered)));
        }
        for (int c = 0; c < PLAIN_CLIENTS; c++) {
            int client = c;
            threads.add(Kit.thread("client " + c, () -> sendOneByOne(kit, gateway, client, start, plainAnswered, lost,
                    lostAfterwards)));
        }
        Kit.sleep(start + PIPELINES_AT - kit.now());
        kit.log("the burst begins");
        burst.countDown();
        for (Thread thread : threads) {
            thread.join();
        }
        boolean ready = kit.answers(gateway);
        kit.say("answers to " + PIPELINING_CLIENTS + " clients of " + REQUESTS_EACH + " requests: " + pipelinedAnswered
                + "; answers to other clients: " + plainAnswered + ", lost: " + lost + ", of these sent over 5 s after the"
                + " burst's clients had left: " + lostAfterwards + "; process runs: " + gateway.process.isAlive()
                + ", answers GET /ready in the end: " + ready);
        gateway.copyLog(40);
        if (plainAnswered.get() == 0) {
            throw new Kit.CannotRun("nothing was served before the burst");
        }
        return lost.get();
    }

    private static void sendMany(Kit kit, Kit.Gateway gateway, int client, CountDownLatch burst, double start,
            AtomicInteger answered) throws Exception {
        try (Kit.Client connection = new Kit.Client(gateway.address(), 10_000)) {
            // A connection without a request may be closed after 2 s: one that has had a request is kept longer.
            Kit.sleep(Math.max(1, start + PIPELINES_AT - 1500 - kit.now()));
            connection.send(Kit.request("leitura", trace(client, 0), "m-" + client, "k" + trace(client, 0),
                    DEADLINE_MILLIS, new byte[100]));
            connection.read();
            burst.await();
            Thread sender = Kit.thread("sender " + client, () -> {
                for (int i = 1; kit.trouble && i <= REQUESTS_EACH; i++) {
                    send(kit, connection, client, i);
                }
            });
            for (int i = 1; i <= REQUESTS_EACH && kit.now() < start + PIPELINES_LEAVE_AT; i++) {
                if (!kit.trouble) {
                    send(kit, connection, client, i);
                }
                Kit.Message answer = connection.read();
                answered.incrementAndGet();
                kit.log("answered " + trace(client, i) + " " + answer.status);
            }
            sender.join();
        } catch (IOException e) {
            kit.log("client " + client + " of the burst: " + e);
        }
    }

    private static void send(Kit kit, Kit.Client connection, int client, int number) throws IOException {
        connection.send(Kit.request("leitura", trace(client, number), "m-" + (client * 7 + number) % 240,
                "k" + trace(client, number), DEADLINE_MILLIS, new byte[BODY_BYTES]));
        kit.log("sent " + trace(client, number));
    }

    private static String trace(int client, int number) {
        return String.format("%08x%08x", client, number);
    }

    private static void sendOneByOne(Kit kit, Kit.Gateway gateway, int client, double start, AtomicInteger answered,
            AtomicInteger lost, AtomicInteger lostAfterwards) throws Exception {
        int number = 0;
        while (kit.now() < start + END_AT) {
            boolean firstOnConnection = true;
            try (Kit.Client connection = new Kit.Client(gateway.address(), LOST_AFTER_MILLIS)) {
                while (kit.now() < start + END_AT) {
                    String trace = trace(1000 + client, ++number);
                    double sentAt = kit.now();
                    try {
                        connection.send(Kit.request("leitura", trace, "m-" + client, "k" + trace, DEADLINE_MILLIS,
                                new byte[100]));
                        kit.log("sent " + trace);
                        Kit.Message answer = connection.read();
                        kit.log("answered " + trace + " " + answer.status + " after " + (int) (kit.now() - sentAt) + " ms");
                        answered.incrementAndGet();
                    } catch (IOException e) {
                        boolean closed = !(e instanceof java.net.SocketTimeoutException);
                        // The first request on a connection that the gateway closes has failed and is not lost.
                        boolean excused = closed && firstOnConnection;
                        kit.log((excused ? "closed unread: " : "LOST: ") + trace + " after " + (int) (kit.now() - sentAt)
                                + " ms: " + e.getMessage());
                        if (!excused) {
                            lost.incrementAndGet();
                            lostAfterwards.addAndGet(sentAt > start + PIPELINES_LEAVE_AT + 5_000 ? 1 : 0);
                        }
                        break;
                    }
                    firstOnConnection = false;
                    Kit.sleep(200);
                }
            } catch (IOException e) {
                kit.log("client " + client + " has no connection: " + e.getMessage());
            }
            Kit.sleep(200);
        }
    }
}
