package kit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send much at once and go: each sends 40 requests of 60 KB on one connection and closes it. With TROUBLE=0
    they stay until all is answered. A host that begins one of their requests later than 0.1 s after the close, and the
    sockets' 50 ms, has been sent it for a client that had gone. */
public final class Departed {

    private static final int CLIENTS = 10;
    private static final int REQUESTS_EACH = 40;
    private static final int BODY_BYTES = 60 << 10;
    private static final int WORK_MILLIS = 300;
    private static final double ALLOWED_MILLIS = 150;

    private Departed() { }

    public static void main(String[] arguments) {
        Kit.main(arguments, Departed::run);
    }

    private static int run(Kit kit) throws Exception {
        Map<Integer, Double> closedAt = new ConcurrentHashMap<>();
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        String[] zones = {"caxias", "passo-fundo", "blumenau"};
        List<Kit.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            hosts.add(kit.host("s-" + i, zones[i % 3], i / 3, (connection, request) -> {
                String trace = request.header("X-Trace-Id");
                double at = kit.now() - (System.nanoTime() - request.firstByteAt) / 1e6;
                Double closed = closedAt.get(Integer.parseInt(trace.substring(0, 8), 16));
                begun.incrementAndGet();
                kit.log("run " + trace + " at " + connection.host.uid);
                if (closed != null && at > closed + ALLOWED_MILLIS) {
                    late.incrementAndGet();
                    kit.log(String.format("LOST: %s reaches a host %.1f ms after its client closed", trace, at - closed));
                }
                Kit.sleep(WORK_MILLIS);
                connection.answer(200, "", trace.getBytes(StandardCharsets.ISO_8859_1));
            }));
        }
        Kit.Discovery discovery = kit.discovery(hosts);
        Kit.Gateway gateway = kit.newGateway("gateway");
        kit.configure(gateway, discovery.port, discovery.list(), 1024, Kit.settings());
        kit.start(gateway);
        AtomicInteger answered = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Kit.sleep(1500);
            threads.add(Kit.thread("client " + c, () -> sendAndGo(kit, gateway, client, closedAt, answered)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Kit.sleep(4000);
        kit.say("requests that hosts began: " + begun + ", answers that clients read: " + answered + ", begun for clients"
                + " that had gone: " + late);
        gateway.copyLog(30);
        if (begun.get() == 0) {
            throw new Kit.CannotRun("no request reached a host");
        }
        return late.get();
    }

    private static void sendAndGo(Kit kit, Kit.Gateway gateway, int client, Map<Integer, Double> closedAt,
            AtomicInteger answered) throws Exception {
        try (Kit.Client connection = new Kit.Client(gateway.address(), 15_000)) {
            Thread sender = Kit.thread("sender " + client, () -> {
                for (int i = 0; i < REQUESTS_EACH; i++) {
                    String trace = String.format("%08x%08x", client, i);
                    connection.send(Kit.request("leitura", trace, "m-" + (client * 7 + i) % 240, "k" + trace, 2000,
                            new byte[BODY_BYTES]));
                    kit.log("sent " + trace);
                }
                kit.log("client " + client + " has sent all");
            });
            if (kit.trouble) {
                sender.join(1000);
                connection.close();
                closedAt.put(client, kit.now());
                kit.log("client " + client + " closes");
            } else {
                for (int i = 0; i < REQUESTS_EACH; i++) {
                    connection.read();
                    answered.incrementAndGet();
                }
            }
        } catch (IOException e) {
            kit.log("client " + client + ": " + e);
        }
    }
}
