package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.hostResponding;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests real processes whose standard output accepts nothing. */
class LogOutputTest {

    private static final int PROCESS_TIMEOUT_SECONDS = 60;
    private static final int REQUEST_COUNT = 14;
    // Fills the pipe byte by byte, without blocking once it is full.
    private static final String FILL_PIPE_COMMAND =
            "dd if=/dev/zero of=/dev/stdout oflag=nonblock bs=1 count=4000000 2>/dev/null; ";

    @TempDir
    private Path folder;

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a gateway whose discovery is down, so that it keeps logging. */
    private Process start(String shellPrefix, String redirect, int port, int adminPort, Server host)
            throws IOException {
        Server stoppedDiscovery = discoveryServer();
        Map<String, String> environment = new HashMap<>(environment(folder, stoppedDiscovery,
                hostList(1, true, hostEntry("s1", host.address(), "a", "in_service")), SETTINGS));
        stoppedDiscovery.close();
        environment.put("NODE_LISTEN", "127.0.0.1:" + port);
        environment.put("NODE_ADMIN", "127.0.0.1:" + adminPort);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", shellPrefix + "exec \"$0\" -cp \"$1\" mastdrift.net.Main"
                + redirect, System.getProperty("java.home") + "/bin/java", System.getProperty("java.class.path"));
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().putAll(environment);
        return builder.start();
    }

    private static Loopback.Message sendRequest(int port, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
            write(socket, request);
            return Loopback.read(socket);
        }
    }

    /** Waits until the gateway is ready; fails if it is not within the time limit. */
    private static void awaitReady(int port) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(PROCESS_TIMEOUT_SECONDS);
        while (System.nanoTime() < deadline) {
            try {
                if (sendRequest(port, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n").status() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                Thread.sleep(20);
            }
        }
        throw new AssertionError("never ready");
    }

    private static void assertServes(int port) throws IOException {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            Loopback.Message response = sendRequest(port, Loopback.withNewId(read(20_000)));
            assertEquals("one", response == null ? "no answer" : response.bodyText());
        }
    }

    private static void assertStopsCleanly(Process process) throws InterruptedException {
        process.destroy();
        assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Guards against a gateway that a full pipe blocks: at its start, under requests, or at its stop. */
    @Test
    void unreadLogBlocksNeitherRequestsNorTheStop() throws Exception {
        int port = freePort();
        try (Server one = hostResponding("one")) {
            Process process = start(FILL_PIPE_COMMAND, "", port, freePort(), one);
            try {
                awaitReady(port);
                assertServes(port);
                assertStopsCleanly(process);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against a log that stays silent after its reader has resumed. */
    @Test
    void logContinuesWhenItsReaderResumes() throws Exception {
        int port = freePort();
        try (Server one = hostResponding("one")) {
            Process process = start(FILL_PIPE_COMMAND, "", port, freePort(), one);
            try {
                awaitReady(port);
                BufferedReader log = process.inputReader(StandardCharsets.UTF_8);
                while (!log.readLine().contains("listening on")) {
                    assertTrue(process.isAlive());
                }
                assertServes(port);
                assertStopsCleanly(process);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against a gateway that a full disk blocks, and against lost lines that are not counted. */
    @Test
    void failingLogOutputBlocksNothingAndLostLinesAreCounted() throws Exception {
        int port = freePort();
        int adminPort = freePort();
        try (Server one = hostResponding("one")) {
            Process process = start("", " > /dev/full", port, adminPort, one);
            try {
                awaitReady(port);
                assertServes(port);
                String metrics = sendRequest(adminPort, "GET /status/metrics HTTP/1.1\r\nHost: s\r\n\r\n").bodyText();
                long lost = Stream.of(metrics.split("\n"))
                        .filter(line -> line.startsWith("edge_node_log_lines_dropped_total "))
                        .mapToLong(line -> Long.parseLong(line.split(" ")[1])).sum();
                assertTrue(lost > 0, metrics);
                assertStopsCleanly(process);
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
