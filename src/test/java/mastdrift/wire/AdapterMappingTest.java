package mastdrift.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Every setting, message and action of the simulator's protocol is passed on, and what is absent gets its default. */
class AdapterMappingTest {

    private static final String REQUIRED_SETTINGS = "allowed.cancel=true allowed.probes=false"
            + " allowed.parallel_tries=true"
            + " allowed.max_attempts=3 allowed.retry_after=true allowed.max_retry_after=9 allowed.dial_timeout=8"
            + " balancers=4 locality=a registry_mode=pushed weights=off guarantees.cold_from=0.2"
            + " guarantees.warm_within=7 guarantees.tip_multiple=3.5 guarantees.fall=6 classes.count=1"
            + " classes.0.name=r classes.0.target=1 classes.0.deadline=2 classes.0.credit=3.0"
            + " classes.0.late_share=0.25 classes.0.repeat=idempotency_key classes.0.group=cell"
            + " classes.0.dedup_window=5";
    private static final String OPTIONAL_SETTINGS = " allowed.may_tell=true allowed.max_open=11 allowed.conn_idle=12"
            + " allowed.streams_per_conn=13 allowed.cpu_us_per_s=14 allowed.cpu_us_per_request=1.5"
            + " guarantees.answer_slack=16 guarantees.drain_grace=17 guarantees.must_ask_in=18 me=2 dcs=a,b"
            + " skus=k,l layer=1 stages=s,t worth_by=work over_share_worth=0.05 goal.whole=0.4"
            + " goal.worst_window=0.3 goal.worst_class=0.2 goal.worst_tenant=0.1 prices.cross_zone=0.01"
            + " prices.waste=0.02 prices.connection=0.03 prices.handshake=0.04 prices.origin=0.05 prices.probe=0.06"
            + " prices.peer=0.07 prices.late_fail=0.08 prices.moves=0.09 prices.registry_mode=0.11 prices.fleet=0.12"
            + " stats.how=on_probe stats.names=cpu,waiting family_info.warm_keys=true"
            + " family_info.passes_deadline=true client_habits.marks_retry=true classes.0.stream=true"
            + " classes.0.aim_stretch=2.5 service_type=proxy resolution=19 tenants.count=1 tenants.0.name=x"
            + " tenants.0.fraction=0.6 tenants.0.quota_per_s=7.5 a.key.of.tomorrow=1";

    private static Balancer.Settings settings(String pairs) {
        return SettingsParser.fromPairs(new FieldReader(pairs)).toSettings(5);
    }

    @Test
    void everySettingIsRead() {
        Balancer.Settings s = settings(REQUIRED_SETTINGS + OPTIONAL_SETTINGS);
        assertEquals(new Balancer.Limits(true, false, true, true, 3, 11, true, 9), s.limits());
        assertEquals(new Balancer.ConnectionSettings(8, 12, 13), s.connections());
        assertEquals(new Balancer.CpuBudget(14, 1.5), s.cpu());
        assertEquals(new Balancer.Guarantees(16, 17, 0, 0.2, 7, 3.5, 6), s.guarantees());
        assertEquals(18, settings((REQUIRED_SETTINGS + OPTIONAL_SETTINGS).replace("=pushed", "=on_request"))
                .guarantees().listRequestDeadline());
        assertEquals(new Balancer.Topology(2, 4, "a", List.of("a", "b"), List.of("k", "l"), 1, List.of("s", "t")),
                s.topology());
        assertEquals(new Balancer.Scoring(new Balancer.ScoreWeights(0.4, 0.3, 0.2, 0.1),
                new Balancer.Penalties(0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.07, 0.08, 0.09, 0.11, 0.12), 0.05, true),
                s.scoring());
        assertEquals(new Balancer.Capabilities(true, true, Balancer.LoadReportMode.ON_PROBE,
                List.of("cpu", "waiting"), true), s.capabilities());
        assertEquals(List.of(new Balancer.RequestClass("r", 1, 2.5, 2, 3, 0.25, Balancer.Idempotency.KEYED,
                Balancer.DedupScope.CELL, 5, true)), s.classes());
        assertEquals(List.of(new Balancer.Tenant("x", 0.6, 7.5)), s.tenants());
        assertEquals("proxy", s.serviceType());
        assertEquals(19, s.clockResolution());
    }

    @Test
    void optionalSettingsHaveNeutralDefaults() {
        Balancer.Settings s = settings(REQUIRED_SETTINGS);
        assertEquals(new Balancer.ScoreWeights(1, 0, 0, 0), s.scoring().weights());
        assertEquals(0, s.scoring().penalties().probe());
        assertEquals(1, s.scoring().overQuotaValueFraction());
        assertEquals(Balancer.LoadReportMode.OFF, s.capabilities().loadReportMode());
        assertFalse(s.capabilities().hostsCacheKeys() || s.limits().mayMessagePeers()
                || s.classes().get(0).streaming());
        assertEquals(Long.MAX_VALUE, s.connections().idleTimeout());
        assertTrue(s.tenants().isEmpty() && s.topology().zones().isEmpty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"allowed.max_open=many", "prices.probe=cheap", "stats.how=often", "me=4294967296",
        "family_info.warm_keys=perhaps", "classes.0.aim_stretch=NaN", "goal.whole=-"})
    void aMalformedSettingIsNamed(String pair) {
        Exception fault = assertThrows(IllegalArgumentException.class, () -> settings(REQUIRED_SETTINGS + " " + pair));
        assertTrue(fault.getMessage().startsWith(pair.substring(0, pair.indexOf('='))), fault.getMessage());
    }

    /** A balancer that responds to a request with every action and records requests and peer messages. */
    private static final class Recorder implements Balancer {
        private Actions actions;
        private final List<Object> received = new ArrayList<>();

        @Override
        public void start(long now, Settings settings, Actions newActions) {
            actions = newActions;
        }

        @Override
        public void hostListReceived(long now, ListUpdateType updateType, List<Host> hosts) { }

        @Override
        public void requestReceived(long now, Request request) {
            received.add(request);
            actions.watchHostList(true);
            actions.watchHostList(false);
            actions.fetchHostList();
            actions.closeIdleConnections("h:1");
            actions.sendToPeer(3, new byte[] {1, (byte) 0xab});
            actions.sendToPeer(-1, new byte[0]);
            actions.log("two\nlines");
        }

        @Override
        public void streamingStarted(long now, long id, int attempt) { }

        @Override
        public void attemptEnded(long now, long id, int attempt, String address, Outcome outcome, long elapsed,
                boolean requestEnded, LoadReport report) { }

        @Override
        public void clientLeft(long now, long id) { }

        @Override
        public void probeEnded(long now, String address, Outcome outcome, long elapsed, LoadReport report) { }

        @Override
        public int excludedHostCount(long now) {
            return 0;
        }

        @Override
        public void peerMessageReceived(long now, int peer, byte[] message) {
            received.add(List.of(peer, (int) message[0], message.length));
        }

        @Override
        public void timerFired(long now, String handle) { }
    }

    @Test
    void everyActionIsPrintedAndARequestArrivesComplete() throws IOException {
        Recorder balancer = new Recorder();
        StringWriter out = new StringWriter();
        String input = "tick 1 1\ninit g/0 5 " + REQUIRED_SETTINGS + "\nfrom_peer g/0 2 0a0b\n"
                + "call g/0 7 r x 9 100 50 7\ncall g/0 8 r 0 - 100 50 0\nyour_turn\n";
        new Adapter(new BufferedReader(new StringReader(input)), out, new PrintStream(PrintStream.nullOutputStream()),
                () -> balancer).run();
        String actionLines = "watch g/0 1\nwatch g/0 0\npull g/0\nfree_links g/0 h:1\nnotify g/0 3 01ab\n"
                + "notify g/0 * -\nlog g/0 two lines\n";
        assertEquals(actionLines + actionLines + "end 1\n", out.toString());
        assertEquals(List.of(List.of(2, 10, 2), new Balancer.Request(7, "r", "x", 9L, 100, 50, true, true),
                new Balancer.Request(8, "r", null, null, 100, 0, false, false)), balancer.received);
    }

    @Test
    void anUnknownLoadReportValueIsIgnored() throws IOException {
        String input = "tick 1 1\ninit g/0 5 " + REQUIRED_SETTINGS
                + "\nresolved g/0 7 0 h shed 1 1 cpu:0.5,mood:fine\nyour_turn\n";
        StringWriter out = new StringWriter();
        new Adapter(new BufferedReader(new StringReader(input)), out, new PrintStream(PrintStream.nullOutputStream()),
                Recorder::new).run();
        assertEquals("end 1\n", out.toString());
    }
}
