package kit;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Hosts of which some answers come with a transfer coding that the gateway has not offered to read: gzip, in chunks. A
    gateway may decode it, pass the coding on with the answer, or take the attempt for failed; what it must not do is to
    pass the coded bytes on as the body. */
public final class CodedAnswer {

    private static final int HOSTS = 9;
    private static final int CLIENTS = 10;
    private static final int SECONDS = 15;
    private static final int WORK_MILLIS = 60;
    private static final int SPOILT_ONE_OF = 20;

    private CodedAnswer() { }

    public static void main(String[] arguments) {
        Kit.main(arguments, CodedAnswer::run);
    }

    private static int run(Kit kit) throws Exception {
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger spoilt = new AtomicInteger();
        String[] zones = {"caxias", "passo-fundo", "blumenau"};
        List<Kit.Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(kit.host("s-" + i, zones[i % 3], i / 3, (connection, request) -> {
                String trace = request.header("X-Trace-Id");
                boolean coded = kit.trouble && begun.incrementAndGet() % SPOILT_ONE_OF == 0;
                kit.log("run " + trace + " at " + connection.host.uid + (coded ? ", whose answer is coded" : ""));
                Kit.sleep(WORK_MILLIS);
                byte[] body = ("answer to " + trace).getBytes(StandardCharsets.ISO_8859_1);
                if (coded) {
                    spoilt.incrementAndGet();
                    byte[] bytes = zip(body);
                    connection.out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                            + Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    connection.out.write(bytes);
                    connection.out.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    connection.out.flush();
                } else {
                    connection.answer(200, "", body);
                }
            }));
        }
        Kit.Discovery discovery = kit.discovery(hosts);
        Kit.Gateway gateway = kit.newGateway("gateway");
        kit.configure(gateway, discovery.port, discovery.list(), 256, Kit.settings());
        kit.start(gateway);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        double end = kit.now() + SECONDS * 1000;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients.add(Kit.thread("client " + c, () -> {
                Random random = new Random(client);
                while (kit.now() < end) {
                    try (Kit.Client connection = new Kit.Client(gateway.address(), 3000)) {
                        while (kit.now() < end) {
                            String trace = String.format("%08x%08x", client, sent.incrementAndGet());
                            boolean keyed = random.nextDouble() < 0.72;
                            connection.send(Kit.request(keyed ? "leitura" : "fechamento", trace, "m-" + random.nextInt(240),
                                    keyed ? "k" + trace : null, 1500, new byte[200]));
                            kit.log("sent " + trace);
                            Kit.Message answer = connection.read();
                            boolean right = answer.status != 200 || text(answer).equals("answer to " + trace);
                            served.addAndGet(answer.status == 200 ? 1 : 0);
                            wrong.addAndGet(right ? 0 : 1);
                            kit.log((right ? "answered " : "WRONG BODY: ") + trace + " " + answer.status + " "
                                    + answer.headers + (right ? "" : " " + java.util.HexFormat.of().formatHex(answer.body)));
                        }
                    } catch (IOException e) {
                        kit.log("client " + client + ": " + e);
                    }
                }
            }));
        }
        for (Thread thread : clients) {
            thread.join();
        }
        kit.say("sent " + sent + ", served " + served + ", coded answers " + spoilt + ", served with a wrong body " + wrong);
        if (served.get() < sent.get() / 2) {
            throw new Kit.CannotRun("only " + served + " of " + sent + " were served");
        }
        return wrong.get();
    }

    private static byte[] zip(byte[] bytes) throws IOException {
        ByteArrayOutputStream zipped = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(zipped)) {
            out.write(bytes);
        }
        return zipped.toByteArray();
    }

    /** The body, decoded as the answer's own headers say. */
    private static String text(Kit.Message answer) throws IOException {
        if (!answer.header("Transfer-Encoding").contains("gzip")) {
            return answer.text();
        }
        return new String(new GZIPInputStream(new ByteArrayInputStream(answer.body)).readAllBytes(),
                StandardCharsets.ISO_8859_1);
    }
}
