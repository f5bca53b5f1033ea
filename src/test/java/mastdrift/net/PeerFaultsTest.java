package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.RecordingHost.startThread;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import mastdrift.net.ClientScript.Departure;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Gateway processes under clients that leave in every way, slow peers and many requests at once, beside clients that
    do nothing unusual; some seeds with an upgrade, SIGHUP and suspensions in series, or a crowd of idle connections. By
    hand:
    {@code -Dpeers.seeds=1..50}. */
class PeerFaultsTest {

    private static final int CROWD_CLIENTS = 300;
    private static final int RUN_MILLIS = 9_000;
    private static final int UPGRADE_AT_MILLIS = 2_500;
    private static final int SIGNAL_PAUSE_MILLIS = 300;
    // The rules' limits: the 0.1 s and 0.5 s of the pages, with the 50 ms of the sockets.
    private static final long DEPARTED_SLACK_MILLIS = 150;
    private static final long LATE_MILLIS = 550;
    // The kill comes 0.7 s plus the longest deadline after SIGTERM.
    private static final int KILL_AFTER_MILLIS = ClientScript.LONGEST_DEADLINE_MILLIS + 700;

    @TempDir
    private Path folder;

    private static LongStream seeds() {
        return Seeds.of("peers.seeds", "1,2,3");
    }

    /** Guards against requests sent on for clients that have left, ids that run twice, answers that come late or never
        and long answers that are cut off. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestIsLostOrRunTwice(long seed) throws Exception {
        Random random = new Random(seed * 7919);
        Queue<RecordingHost.Received> received = new ConcurrentLinkedQueue<>();
        boolean upgrade = seed % 3 == 0;
        boolean crowd = seed % 4 == 1;
        boolean signals = seed % 2 == 0;
        String settings = SETTINGS.replace("\"quota_per_s\":1000.0", "\"quota_per_s\":100000.0")
                .replace("\"deadline\":60000000", "\"deadline\":" + ClientScript.LONGEST_DEADLINE_MILLIS * 1000);
        List<Socket> sockets = new ArrayList<>();
        try (Server discovery = discoveryServer(); RecordingHost one = new RecordingHost(received);
                RecordingHost two = new RecordingHost(received); RecordingHost three = new RecordingHost(received);
                PassedSocket passed = upgrade ? new PassedSocket(folder) : null) {
            String list = hostList(1, true, hostEntry("s1", one.address(), "a", "in_service"),
                    hostEntry("s2", two.address(), "a", "in_service"), hostEntry("s3", three.address(), "b", "in_service"));
            GatewayProcess successor = null;
            try (GatewayProcess gateway = new GatewayProcess(folder, "n" + seed, passed, discovery, list, settings, GatewayProcess.Limits.LEAST_MEMORY)) {
                long endAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RUN_MILLIS);
                ClientScript script = new ClientScript(gateway, endAt);
                List<Thread> threads = new ArrayList<>();
                for (int client = 0; client < (crowd ? CROWD_CLIENTS : 0); client++) {
                    sockets.add(gateway.connect(RUN_MILLIS));
                }
                script.startAll(threads, random);
                AtomicLong longestPauseMillis = new AtomicLong();
                startThread(() -> measurePauses(endAt, longestPauseMillis));
                if (upgrade) {
                    TimeUnit.MILLISECONDS.sleep(UPGRADE_AT_MILLIS);
                    successor = new GatewayProcess(folder, "n" + seed + "b", passed, discovery, list, settings, GatewayProcess.Limits.LEAST_MEMORY);
                    script.killAt(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_AFTER_MILLIS));
                    gateway.terminate(KILL_AFTER_MILLIS);
                }
                while (signals && System.nanoTime() < endAt) {
                    TimeUnit.MILLISECONDS.sleep(SIGNAL_PAUSE_MILLIS * (1 + random.nextInt(6)));
                    (successor == null ? gateway : successor).hangUpOrSuspend(random);
                }
                for (Thread thread : threads) {
                    thread.join();
                }
                assertTrue(successor == null ? gateway.isAlive() : successor.isAlive(), "ended by itself");
                List<String> breaches = breaches(script, received);
                Files.writeString(Path.of("target", "peers-" + seed + ".log"), gateway.log()
                        + (successor == null ? "" : successor.log()) + script.events());
                System.out.println("peers: seed " + seed + (upgrade ? " upgrade" : "") + (crowd ? " crowd" : "")
                        + (signals ? " signals" : "") + ": " + script.summary() + ", longest pause of this process " + longestPauseMillis
                        + " ms; breaches " + breaches.size());
                breaches.forEach(breach -> System.out.println("peers: seed " + seed + ": " + breach));
                assertEquals(List.of(), breaches);
            } finally {
                if (successor != null) {
                    successor.close();
                }
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    /** How long this process itself was late at most: what it measured is off by as much. */
    private static void measurePauses(long endAt, AtomicLong longestMillis) throws InterruptedException {
        while (System.nanoTime() < endAt) {
            long startedAt = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(1);
            longestMillis.accumulateAndGet(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt) - 1, Math::max);
        }
    }

    private static List<String> breaches(ClientScript script, Queue<RecordingHost.Received> received) {
        List<String> breaches = new ArrayList<>(script.breaches());
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (RecordingHost.Received request : received) {
            Departure departure = script.departures().get(request.id());
            if (departure == null) {
                continue;
            }
            if (request.whole() && departure.unsafe()) {
                runs.merge(request.id(), 1, Integer::sum);
            }
            boolean repeated = departure.repeatedAt() != 0 && request.begunAt() >= departure.repeatedAt();
            long lateMillis = TimeUnit.NANOSECONDS.toMillis(request.begunAt() - departure.leftAt());
            if (!repeated && lateMillis > DEPARTED_SLACK_MILLIS) {
                breaches.add("sent on " + lateMillis + " ms after its client left, with "
                        + request.waitMillis() + " ms to go: " + request.id() + " " + departure.how());
            }
        }
        runs.forEach((id, count) -> {
            if (count > 1) {
                breaches.add("ran " + count + " times: " + id + " " + script.departures().get(id).how());
            }
        });
        script.answers().forEach(answer -> {
            if (answer.lateMillis() > LATE_MILLIS) {
                breaches.add("answered " + answer.lateMillis() + " ms after its time: " + answer.how() + " status "
                        + answer.status());
            }
        });
        return breaches;
    }

}
