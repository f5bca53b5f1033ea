package mastdrift.net;

import static mastdrift.net.Loopback.discoveryServer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import mastdrift.net.GatewayProcess.Limits;
import mastdrift.net.Loopback.Server;
import mastdrift.net.MemoryCrowd.Kind;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Gateway processes at their memory limit, started as the deploy file says, beside crowds that make them hold as much
    as they can. */
class MemoryLimitTest {

    private static final int RUN_MILLIS = 6_000;
    private static final int UPGRADE_AT_MILLIS = 3_000;
    // Of the two processes together.
    private static final Limits UPGRADE = new Limits(192, 1024);

    @TempDir
    private Path folder;

    /** What the clients of a crowd do, how many come at once, and in how many waves. */
    enum Crowd {
        WRITES_SLOWLY(450, 1, Kind.WRITES_SLOWLY),
        STOPS_HALF_WAY(450, 1, Kind.STOPS_HALF_WAY),
        SENDS_MANY_FIELDS(450, 1, Kind.SENDS_MANY_FIELDS),
        SENDS_LONG_FIELDS(450, 1, Kind.SENDS_LONG_FIELDS),
        READS_SLOWLY(450, 1, Kind.READS_SLOWLY),
        GETS_MANY_FIELDS(450, 1, Kind.GETS_MANY_FIELDS),
        UPLOADS_TO_SLOW_HOSTS_AND_READS_NOTHING(480, 1, Kind.UPLOADS_TO_SLOW_HOSTS, Kind.READS_NOTHING),
        ALL_FORMS(480, 1, Kind.values()),
        ALL_FORMS_IN_WAVES(300, 3, Kind.values());

        private final int clients;
        private final int waves;
        private final List<Kind> kinds;

        Crowd(int clients, int waves, Kind... kinds) {
            this.clients = clients;
            this.waves = waves;
            this.kinds = List.of(kinds);
        }

        private void play(MemoryCrowd script, int millis, Random random) throws InterruptedException {
            for (int wave = 0; wave < waves; wave++) {
                script.start(clients, kinds, millis / waves, random);
                TimeUnit.MILLISECONDS.sleep(millis / waves);
            }
        }
    }

    /** Guards against a process that passes its memory limit, and other clients' requests that are lost beside it. */
    @ParameterizedTest
    @EnumSource
    void staysWithinTheLeastMemoryBesideACrowd(Crowd crowd) throws Exception {
        try (Server discovery = discoveryServer(); RecordingHosts hosts = new RecordingHosts();
                GatewayProcess gateway = new GatewayProcess(folder, discovery, hosts.list(), RecordingHosts.settings(),
                        Limits.LEAST_MEMORY)) {
            PlainClients others = new PlainClients(gateway);
            MemoryCrowd script = new MemoryCrowd(gateway);
            crowd.play(script, RUN_MILLIS, new Random(crowd.ordinal()));
            others.end();
            script.end();
            assertTrue(gateway.isAlive(), gateway.log());
            check("beside " + crowd, gateway.peakMegabytes(), Limits.LEAST_MEMORY, gateway.log(), others);
        }
    }

    /** Guards against two processes of an upgrade that pass their one memory limit together. */
    @ParameterizedTest
    @EnumSource(names = {"READS_SLOWLY", "UPLOADS_TO_SLOW_HOSTS_AND_READS_NOTHING", "ALL_FORMS"})
    void staysWithinOneLimitDuringAnUpgrade(Crowd crowd) throws Exception {
        try (Server discovery = discoveryServer(); RecordingHosts hosts = new RecordingHosts();
                PassedSocket passed = new PassedSocket(folder);
                GatewayProcess gateway = new GatewayProcess(folder, "old", passed, discovery, hosts.list(),
                        RecordingHosts.settings(), UPGRADE);
                MemoryMeter meter = new MemoryMeter(gateway)) {
            PlainClients others = new PlainClients(gateway);
            MemoryCrowd script = new MemoryCrowd(gateway);
            Thread play = RecordingHost.startThread(() ->
                    crowd.play(script, UPGRADE_AT_MILLIS + RUN_MILLIS, new Random(crowd.ordinal())));
            TimeUnit.MILLISECONDS.sleep(UPGRADE_AT_MILLIS);
            try (GatewayProcess successor = GatewayProcess.successor(folder, "new", passed, discovery, hosts.list(),
                    RecordingHosts.settings(), UPGRADE, meter)) {
                gateway.terminate(PlainClients.KILL_AFTER_MILLIS);
                play.join();
                others.end();
                script.end();
                assertTrue(successor.isAlive(), successor.log());
                check("upgrade beside " + crowd, meter.peakMegabytes(), UPGRADE, gateway.log() + successor.log(), others);
            }
        }
    }

    private static void check(String play, long peakMegabytes, Limits limits, String log, PlainClients others)
            throws Exception {
        System.out.println("memory: " + play + ": peak " + peakMegabytes + " of " + limits.memoryMegabytes()
                + " MB, others " + others.summary());
        Files.writeString(Path.of("target", "memory-" + play.replace(' ', '-') + ".log"), log);
        assertTrue(peakMegabytes < limits.memoryMegabytes(), "peak of " + peakMegabytes + " MB");
        assertFalse(GatewayProcess.tellsFault(log), "a fault in the log");
        assertEquals(0, others.lostForGood(), others.summary());
    }
}
