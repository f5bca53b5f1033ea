import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One gateway of the project, started as a process with the command {@code run} of the deploy file. */
final class Gateway {

    /** A class of requests, as the settings tell it; times in milliseconds. */
    record RequestClass(String name, String repeat, String group, int target, int deadline, int window) {

        String json() {
            return "{\"credit\":8.0,\"deadline\":" + deadline * 1000L + ",\"dedup_window\":" + window * 1000L
                    + ",\"group\":\"" + group + "\",\"late_share\":0.0,\"name\":\"" + name + "\",\"repeat\":\"" + repeat
                    + "\",\"stream\":false,\"target\":" + target * 1000L + "}";
        }
    }

    /** The classes of the site leituras-sul, with the aims and deadlines of its page. */
    static final RequestClass[] CLASSES = {
        new RequestClass("leitura", "idempotency_key", "zone", 1000, 2000, 2000),
        new RequestClass("fechamento", "non_idempotent", "all", 600, 2000, 5000)};

    private final int port;
    private final Program program;

    /** Starts a gateway with its files in {@code folder}; {@code known} is the list of hosts as it last had it. */
    Gateway(Path folder, int port, String discovery, String known) throws IOException {
        this.port = port;
        Files.createDirectories(folder);
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(port, freePort(), discovery, known));
        Path temporary = Files.createDirectory(folder.resolve("tmp"));
        program = new Program(List.of("/bin/sh", "-c", command("run")),
                Map.of("NODE_CONFIG", config.toString(), "TMPDIR", temporary.toString()),
                folder.resolve("gateway.log"));
    }

    int port() {
        return port;
    }

    boolean isAlive() {
        return program.isAlive();
    }

    /** Waits for the gateway's yes. */
    void awaitReady(Record record) throws InterruptedException {
        long start = System.nanoTime();
        while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(30)) {
            try (Client client = new Client(port)) {
                if (client.send("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n").status() == 200) {
                    record.add("the gateway is ready");
                    return;
                }
                Thread.sleep(100);
            } catch (IOException notYet) {
                Thread.sleep(100);
            }
        }
        throw new IllegalStateException("the gateway was not ready within 30 s");
    }

    void kill() {
        program.kill();
    }

    /** A command of the deploy file, as the shell takes it. */
    private static String command(String name) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                StringBuilder command = new StringBuilder();
                for (int i = line.indexOf('"') + 1; line.charAt(i) != '"'; i++) {
                    i += line.charAt(i) == '\\' ? 1 : 0;
                    command.append(line.charAt(i));
                }
                return command.toString();
            }
        }
        throw new IOException("the deploy file has no command " + name);
    }

    /** A port on loopback that no one listens on. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static String config(int port, int adminPort, String discovery, String known) {
        StringBuilder classes = new StringBuilder();
        for (RequestClass type : CLASSES) {
            classes.append(classes.length() == 0 ? "" : ",").append(type.json());
        }
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"admin\":\"127.0.0.1:" + adminPort
                + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known + ","
                + "\"settings\":{\"allowed\":{\"cancel\":true,\"conn_idle\":60000000,\"cpu_us_per_request\":0.0,"
                + "\"cpu_us_per_s\":1000000,\"dial_timeout\":250000,\"max_attempts\":4,\"max_open\":20000,"
                + "\"max_retry_after\":2000000,\"may_tell\":false,\"parallel_tries\":true,\"probes\":true,"
                + "\"retry_after\":true,\"streams_per_conn\":1},\"balancers\":1,\"classes\":[" + classes + "],"
                + "\"client_habits\":{\"marks_retry\":true},\"dcs\":[\"caxias\",\"passo-fundo\",\"blumenau\"],"
                + "\"family_info\":{\"warm_keys\":true},\"goal\":{\"whole\":0.35,\"worst_class\":0.2,"
                + "\"worst_tenant\":0.0,\"worst_window\":0.45},\"guarantees\":{\"answer_slack\":50000,"
                + "\"cold_from\":0.32,\"drain_grace\":1500000,\"fall\":1000000,\"must_ask_in\":10000000,"
                + "\"tip_multiple\":4.0,\"warm_within\":8400000},\"layer\":0,\"locality\":\"caxias\",\"me\":0,"
                + "\"over_share_worth\":0.1,\"prices\":{\"connection\":0.0,\"cross_zone\":0.013,\"handshake\":0.0,"
                + "\"late_fail\":0.077,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.05,\"registry_mode\":0.0,"
                + "\"waste\":0.027},\"registry_mode\":\"pushed\",\"resolution\":5000,\"service_type\":\"proxy\","
                + "\"skus\":[\"padrao\",\"antigo\"],\"stages\":[\"recebedores\"],\"stats\":{\"how\":\"on_probe\","
                + "\"names\":[\"rps\",\"waiting\",\"cpu\"]},\"tenants\":[],\"weights\":\"live\",\"worth_by\":\"request\"}}";
    }
}
