package mastdrift.net;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway in a process of its own, with the options of the deploy file's {@code run} for the virtual machine, so
    that its limits of memory hold. Hosts and discovery stay in the test's process. */
final class GatewayProcess implements AutoCloseable {

    private static final int START_TRIES = 300;
    private static final int RETRY_MILLIS = 50;
    private static final Pattern OPTION = Pattern.compile(" (-X[^ ]+|-D(?!java\\.io\\.tmpdir)[^ ]+)");

    private final int port;
    private final int adminPort;
    private final Path log;
    private final ProcessHandle process;

    /** Starts a gateway and waits until it is ready; {@code folder} takes its configuration and its log. */
    GatewayProcess(Path folder, Loopback.Server discovery, String knownList, String settings, int sockets)
            throws Exception {
        this(folder, "gateway", null, discovery, knownList, settings, sockets);
    }

    /** Starts a gateway of that name behind a listening socket that it inherits, or one that listens itself if
        {@code socket} is null, and waits until it is ready. */
    GatewayProcess(Path folder, String name, PassedSocket socket, Loopback.Server discovery, String knownList,
            String settings, int sockets) throws Exception {
        port = socket == null ? freePort() : socket.port();
        adminPort = freePort();
        log = folder.resolve(name + ".log");
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"seed\":\"8c1f30d27a5be964\",\"listen\":\"127.0.0.1:" + port
                + "\",\"admin\":\"127.0.0.1:" + adminPort + "\",\"discovery\":\"" + discovery.address()
                + "\",\"limits\":{\"sockets\":" + sockets + "},\"known\":" + knownList + ",\"settings\":" + settings + "}");
        String command = "exec env NODE_CONFIG=" + config + " TMPDIR=" + folder
                + (socket == null ? "" : " NODE_PASSED_SOCKET=0") + " " + Path.of(System.getProperty("java.home"), "bin", "java")
                + " " + String.join(" ", deployOptions()) + " -cp " + System.getProperty("java.class.path")
                + " mastdrift.net.Main > " + log + " 2>&1";
        process = socket == null ? new ProcessBuilder("/bin/sh", "-c", command)
                .redirectInput(new File("/dev/null")).start().toHandle() : socket.start(command);
        awaitReady();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** The virtual machine's options in the deploy file, but for the archive of classes, which the tests don't build. */
    private static List<String> deployOptions() throws IOException {
        String run = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        List<String> options = new ArrayList<>();
        for (Matcher option = OPTION.matcher(run); option.find(); ) {
            if (!option.group(1).contains("Shared") && !option.group(1).contains("share:")) {
                options.add(option.group(1));
            }
        }
        return options;
    }

    private void awaitReady() throws Exception {
        for (int tries = 0; tries < START_TRIES; tries++) {
            if (!process.isAlive()) {
                throw new IllegalStateException("the gateway ended at its start: " + log());
            }
            try (Socket socket = connect(adminPort, 1000)) {
                Loopback.write(socket, "GET /status HTTP/1.1\r\nHost: s\r\n\r\n");
                Loopback.Message answer = Loopback.read(socket);
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
            }
        }
        throw new IllegalStateException("the gateway is not ready: " + log());
    }

    /** Connects as a client. */
    Socket connect(int timeoutMillis) throws IOException {
        return connect(port, timeoutMillis);
    }

    private static Socket connect(int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String log() throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8);
    }

    /** The most memory that the process has had resident, in megabytes. */
    long peakMegabytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        throw new IOException("no VmHWM");
    }

    /** Sends SIGTERM, and SIGKILL that much later if the process still runs. Returns once it has ended. */
    void terminate(long killAfterMillis) throws Exception {
        process.destroy();
        try {
            process.onExit().get(killAfterMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException stillRunning) {
            close();
        }
    }

    /** Sends a signal by its name. */
    void signal(String name) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly();
        process.onExit().get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Discards what comes until the connection ends. */
    static void discard(InputStream in) throws IOException {
        in.transferTo(java.io.OutputStream.nullOutputStream());
    }
}
