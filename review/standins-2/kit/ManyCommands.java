package kit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A few clients send 50 small requests at once each; with TROUBLE=0 they send the same requests one after the other.
    Each has to get its final answer at most half a second after its time, which counts from its last byte. */
public final class ManyCommands {

    private static final int CLIENTS = 5;
    private static final int REQUESTS_EACH = 50;
    private static final int WORK_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 2000;
    // Half a second after its time, and the sockets' 50 ms.
    private static final int LOST_AFTER_MILLIS = DEADLINE_MILLIS + 550;

    private ManyCommands() { }

    public static void main(String[] arguments) {
        Kit.main(arguments, ManyCommands::run);
    }

    private static int run(Kit kit) throws Exception {
        AtomicInteger begun = new AtomicInteger();
        String[] zones = {"caxias", "passo-fundo", "blumenau"};
        List<Kit.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            hosts.add(kit.host("s-" + i, zones[i % 3], i / 3, (connection, request) -> {
                begun.incrementAndGet();
                kit.log("run " + request.header("X-Trace-Id") + " at " + connection.host.uid + ", told "
                        + request.header("X-Expires-In-Ms") + " ms");
                Kit.sleep(WORK_MILLIS);
                connection.answer(200, "", request.header("X-Trace-Id").getBytes(StandardCharsets.ISO_8859_1));
            }));
        }
        Kit.Discovery discovery = kit.discovery(hosts);
        Kit.Gateway gateway = kit.newGateway("gateway");
        kit.configure(gateway, discovery.port, discovery.list(), 1024, Kit.settings());
        kit.start(gateway);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            threads.add(Kit.thread("client " + c, () -> send(kit, gateway, client, answered, lost)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        kit.say("requests " + CLIENTS * REQUESTS_EACH + ", begun at hosts " + begun + ", answered " + answered
                + ", answered later than " + LOST_AFTER_MILLIS + " ms after their last byte, or never: " + lost);
        gateway.copyLog(20);
        if (answered.get() == 0) {
            throw new Kit.CannotRun("nothing was answered");
        }
        return lost.get();
    }

    private static void send(Kit kit, Kit.Gateway gateway, int client, AtomicInteger answered, AtomicInteger lost)
            throws Exception {
        try (Kit.Client connection = new Kit.Client(gateway.address(), 15_000)) {
            double[] sentAt = new double[REQUESTS_EACH];
            int next = 0;
            for (int i = 0; i < REQUESTS_EACH; i++) {
                while (next < REQUESTS_EACH && (kit.trouble || next == i)) {
                    connection.send(Kit.request("leitura", trace(client, next), "m-" + (client * 7 + next) % 240,
                            "k" + trace(client, next), DEADLINE_MILLIS, new byte[100]));
                    sentAt[next] = kit.now();
                    kit.log("sent " + trace(client, next));
                    next++;
                }
                try {
                    Kit.Message answer = connection.read();
                    double took = kit.now() - sentAt[i];
                    answered.incrementAndGet();
                    boolean late = took > LOST_AFTER_MILLIS;
                    lost.addAndGet(late ? 1 : 0);
                    kit.log(String.format("%s%s %d after %.0f ms", late ? "LOST: " : "answered ", trace(client, i),
                            answer.status, took));
                } catch (IOException e) {
                    lost.addAndGet(next - i);
                    kit.log("LOST: " + (next - i) + " requests from " + trace(client, i) + " on: " + e.getMessage());
                    return;
                }
            }
        }
    }

    private static String trace(int client, int number) {
        return String.format("%08x%08x", client, number);
    }
}
