package mastdrift.net;

import static mastdrift.net.Loopback.discoveryServer;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import mastdrift.net.GatewayProcess.Limits;
import mastdrift.net.Loopback.Server;
import mastdrift.net.MemoryCrowd.Kind;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Gateway processes within drawn limits under drawn crowds: which forms are mixed, how many clients come in how many
    waves, suspensions and SIGHUP in series, kills and restarts, upgrades. By hand: {@code -Dmemory.seeds=1..50}. */
class MemoryFaultsTest {

    private static final int RUN_MILLIS = 10_000;
    private static final int EVENT_AT_MILLIS = 3_500;
    private static final int SIGNAL_PAUSE_MILLIS = 300;
    private static final int UPGRADE_MEGABYTES = 192;

    /** What happens to the process in the midst of a run. */
    private enum Event { NONE, UPGRADE, SIGTERM_AND_RESTART, KILL_AND_RESTART }

    @TempDir
    private Path folder;

    private static LongStream seeds() {
        return Seeds.of("memory.seeds", "1..4");
    }

    /** Guards against processes over their limit, faults in their log, and requests of plain clients that are lost. */
    @ParameterizedTest
    @MethodSource("seeds")
    void staysWithinItsLimits(long seed) throws Exception {
        Random random = new Random(seed * 7919);
        Event event = Event.values()[(int) (seed % Event.values().length)];
        Limits limits = new Limits(event == Event.UPGRADE ? UPGRADE_MEGABYTES : pick(random, List.of(128, 128, 144, 160, 192)),
                pick(random, List.of(256, 384, 512, 1024, 1024, 1024)));
        boolean signals = seed % 3 == 0;
        List<String> breaches = new ArrayList<>();
        List<String> logs = new ArrayList<>();
        try (Server discovery = discoveryServer(); RecordingHosts hosts = new RecordingHosts();
                PassedSocket passed = event == Event.UPGRADE ? new PassedSocket(folder) : null) {
            GatewayProcess first = new GatewayProcess(folder, "first", passed, discovery,
                    hosts.list(), RecordingHosts.settings(), limits);
            GatewayProcess second = null;
            try (MemoryMeter meter = new MemoryMeter(first)) {
                PlainClients others = new PlainClients(first);
                MemoryCrowd crowd = new MemoryCrowd(first);
                Thread waves = startWaves(crowd, limits, random);
                TimeUnit.MILLISECONDS.sleep(EVENT_AT_MILLIS);
                if (event == Event.UPGRADE) {
                    second = GatewayProcess.successor(folder, "second", passed, discovery, hosts.list(),
                            RecordingHosts.settings(), limits, meter);
                    first.terminate(PlainClients.KILL_AFTER_MILLIS);
                } else if (event != Event.NONE) {
                    others.expectEnd(event == Event.KILL_AND_RESTART);
                    first.terminate(event == Event.KILL_AND_RESTART ? 0 : PlainClients.KILL_AFTER_MILLIS);
                    second = GatewayProcess.restarted(folder, "second", first, discovery, hosts.list(),
                            RecordingHosts.settings(), limits, meter);
                }
                GatewayProcess current = second == null ? first : second;
                while (signals && waves.isAlive()) {
                    current.hangUpOrSuspend(random);
                    TimeUnit.MILLISECONDS.sleep(SIGNAL_PAUSE_MILLIS * (1 + random.nextInt(5)));
                }
                waves.join();
                others.end();
                crowd.end();
                logs.add(first.log());
                logs.add(second == null ? "" : second.log());
                logs.add(others.events());
                addBreaches(breaches, current, meter.peakMegabytes(), limits, first.log() + logs.get(1), others);
                System.out.println("memory: seed " + seed + " " + event + (signals ? " signals" : "") + " " + limits + ": peak "
                        + meter.peakMegabytes() + " MB, crowd's connections " + crowd.connections() + ", others "
                        + others.summary() + "; breaches " + breaches);
            } finally {
                first.close();
                if (second != null) {
                    second.close();
                }
            }
        }
        Files.writeString(Path.of("target", "memory-seed-" + seed + ".log"), String.join("\n", logs));
        assertEquals(List.of(), breaches);
    }

    private static <T> T pick(Random random, List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    /** Starts waves of clients, each of some of the kinds and up to half of the descriptors in all. */
    private static Thread startWaves(MemoryCrowd crowd, Limits limits, Random random) {
        int waves = 1 + random.nextInt(4);
        int share = 2 + random.nextInt(3);
        Random own = new Random(random.nextLong());
        return RecordingHost.startThread(() -> {
            for (int wave = 0; wave < waves; wave++) {
                List<Kind> kinds = new ArrayList<>(Arrays.asList(Kind.values()));
                while (kinds.size() > 1 && own.nextInt(4) != 0) {
                    kinds.remove(own.nextInt(kinds.size()));
                }
                crowd.start(limits.sockets() / share + own.nextInt(60), kinds, RUN_MILLIS / waves, own);
                TimeUnit.MILLISECONDS.sleep(RUN_MILLIS / waves);
            }
        });
    }

    private static void addBreaches(List<String> breaches, GatewayProcess current, long peakMegabytes, Limits limits,
            String log, PlainClients others) {
        if (!current.isAlive()) {
            breaches.add("ended by itself");
        }
        if (peakMegabytes >= limits.memoryMegabytes()) {
            breaches.add("peak of " + peakMegabytes + " MB");
        }
        if (GatewayProcess.tellsFault(log)) {
            breaches.add("a fault in the log");
        }
        if (others.lostForGood() > 0) {
            breaches.add("lost " + others.lostForGood());
        }
    }
}
