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
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A gateway in a process of its own, started by the deploy file's {@code run}, so that its limits of memory hold. Hosts
    and discovery stay in the test's process. */
final class GatewayProcess implements AutoCloseable {

    private static final int START_TRIES = 300;
    private static final int RETRY_MILLIS = 50;
    private static final int KIBIBYTES_PER_MEGABYTE = 1024;
    private static final int SUSPENSION_MILLIS = 140;  // and what it takes to send two signals

    /** The limits in a gateway's settings. */
    record Limits(int memoryMegabytes, int sockets) {

        /** The least memory that the operators' pages name for this program, and the most descriptors. */
        static final Limits LEAST_MEMORY = new Limits(128, 1024);
    }

    private final int port;
    private final int adminPort;
    private final Path log;
    private final ProcessHandle process;

    /** Starts a gateway and waits until it is ready; {@code folder} takes its configuration and its log. */
    GatewayProcess(Path folder, Loopback.Server discovery, String knownList, String settings, Limits limits)
            throws Exception {
        this(folder, "gateway", null, discovery, knownList, settings, limits);
    }

    /** Starts a gateway of that name behind a listening socket that it inherits, or one that listens itself if
        {@code socket} is null, and waits until it is ready. */
    GatewayProcess(Path folder, String name, PassedSocket socket, Loopback.Server discovery, String knownList,
            String settings, Limits limits) throws Exception {
        this(folder, name, socket, socket == null ? freePort() : socket.port(), discovery, knownList, settings, limits);
        awaitReady();
    }

    /** Starts a gateway, which is not ready yet. */
    private GatewayProcess(Path folder, String name, PassedSocket socket, int port, Loopback.Server discovery,
            String knownList, String settings, Limits limits) throws Exception {
        this.port = port;
        adminPort = freePort();
        log = folder.resolve(name + ".log");
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"seed\":\"8c1f30d27a5be964\",\"listen\":\"127.0.0.1:" + port
                + "\",\"admin\":\"127.0.0.1:" + adminPort + "\",\"discovery\":\"" + discovery.address()
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + limits.memoryMegabytes + ",\"sockets\":" + limits.sockets
                + "},\"known\":" + knownList + ",\"settings\":" + settings + "}");
        String command = GatewayInstallation.pathWithJava() + "export NODE_CONFIG=" + config + " TMPDIR=" + folder
                + (socket == null ? "" : " NODE_PASSED_SOCKET=0") + "; " + GatewayInstallation.runCommand() + " > " + log
                + " 2>&1";
        process = socket == null ? new ProcessBuilder("/bin/sh", "-c", command)
                .redirectInput(new File("/dev/null")).start().toHandle() : socket.start(command);
    }

    /** Starts a gateway at the address of another that has ended, and waits until it is ready. */
    static GatewayProcess restarted(Path folder, String name, GatewayProcess ended, Loopback.Server discovery,
            String knownList, String settings, Limits limits, MemoryMeter meter) throws Exception {
        return new GatewayProcess(folder, name, null, ended.port, discovery, knownList, settings, limits).sampledBy(meter);
    }

    /** Starts a successor behind the same socket, whose memory is sampled from its start on, and waits until it is
        ready. */
    static GatewayProcess successor(Path folder, String name, PassedSocket socket, Loopback.Server discovery,
            String knownList, String settings, Limits limits, MemoryMeter meter) throws Exception {
        return new GatewayProcess(folder, name, socket, socket.port(), discovery, knownList, settings, limits).sampledBy(meter);
    }

    /** Has its memory sampled from its start on, and waits until it is ready. */
    private GatewayProcess sampledBy(MemoryMeter meter) throws Exception {
        meter.add(this);
        awaitReady();
        return this;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void awaitReady() throws Exception {
        for (int tries = 0; tries < START_TRIES; tries++) {
            if (!process.isAlive()) {
                throw new IllegalStateException("the gateway ended at its start: " + log());
            }
            try (Socket socket = connect(adminPort, 1000, 0)) {
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
        return connect(port, timeoutMillis, 0);
    }

    /** Connects as a client whose system holds about that much of what it has not read; 0 for the system's default. */
    Socket connect(int timeoutMillis, int receiveBufferBytes) throws IOException {
        return connect(port, timeoutMillis, receiveBufferBytes);
    }

    private static Socket connect(int port, int timeoutMillis, int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        try {
            if (receiveBufferBytes > 0) {
                socket.setReceiveBufferSize(receiveBufferBytes);
            }
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

    /** Whether a log tells a fault of the program: an error, or memory that was returned more than once. */
    static boolean tellsFault(String log) {
        return log.contains("fault") || log.contains("Error") || log.contains("held_kib=-");
    }

    /** The most memory that the process has had resident, in megabytes. */
    long peakMegabytes() throws IOException {
        return statusKibibytes("VmHWM:") / KIBIBYTES_PER_MEGABYTE;
    }

    /** The memory that the process has resident, in kibibytes. */
    long residentKibibytes() throws IOException {
        return statusKibibytes("VmRSS:");
    }

    private long statusKibibytes(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith(key)) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no " + key);
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

    /** Sends SIGHUP, or suspends the process for as long as the platform may. */
    void hangUpOrSuspend(Random random) throws Exception {
        if (random.nextBoolean()) {
            signal("HUP");
            return;
        }
        signal("STOP");
        TimeUnit.MILLISECONDS.sleep(SUSPENSION_MILLIS);
        signal("CONT");
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
