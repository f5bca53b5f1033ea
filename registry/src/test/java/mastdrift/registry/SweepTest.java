package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The sweeper on the replicated state: a zone of ten hosts whose leases have all expired. */
class SweepTest {

    private final Catalogue catalogue = new Catalogue();
    private final Set<String> alive = new HashSet<>();

    private final Sweep sweep = new Sweep(new Sweep.Entries() {
        @Override
        public List<Map<String, Object>> all() {
            return catalogue.shown();
        }

        @Override
        public boolean answers(String endpoint) {
            return alive.contains(endpoint);
        }

        @Override
        public boolean remove(String uid, long rev, long token) {
            return apply("remove", "uid", uid, "if_rev", rev, "now", true, "duty", "sweep", "token", token).status() == 200;
        }
    });

    private Catalogue.Applied apply(String name, Object... facts) {
        return catalogue.apply(Catalogue.command(name, facts));
    }

    private void aZoneThatLapses() {
        for (int i = 0; i < 10; i++) {
            apply("put", "entry", Map.of("uid", "h" + i, "endpoint", "127.0.0.1:" + (9000 + i), "az", "a"), "lease_ms", 1000);
        }
        for (int i = 0; i < 8; i++) {
            apply("tick", "elapsed", 250);
        }
        assertEquals(10, catalogue.stale());
    }

    /** Runs a number of steps with a token and returns the state after them. */
    private Map<String, Object> steps(Map<String, Object> state, int count, long token) throws IOException {
        Map<String, Object> now = state;
        for (int i = 0; i < count; i++) {
            DutyWork.Step step = sweep.next(Map.of("state", now));
            if (step == null) {
                return now;
            }
            now = sweep.act(step, new LinkedHashMap<>(now), token, () -> { });
        }
        return now;
    }

    /** Guards against removing hosts that serve but are partitioned from the list service. */
    @Test
    void hostsThatAnswerStayAndThoseThatDoNotAreTakenOffAfterThreeLooks() throws IOException {
        aZoneThatLapses();
        apply("acquire", "duty", "sweep", "who", "one", "span", 1000);
        for (int i = 0; i < 6; i++) {
            alive.add("127.0.0.1:" + (9000 + i));
        }
        Map<String, Object> state = steps(Map.of(), 20, 1);
        assertEquals(10, catalogue.size(), "no host has failed three probes yet");
        steps(state, 200, 1);
        assertEquals(6, catalogue.size());
    }

    /** Guards against removal by a holder that lost the duty, and of a host that registered again between probe and
        removal. */
    @Test
    void anOlderTokenAndAnOlderRevisionTakeNobodyOff() throws IOException {
        aZoneThatLapses();
        apply("acquire", "duty", "sweep", "who", "one", "span", 1000);
        apply("release", "duty", "sweep", "who", "one", "token", 1);
        apply("acquire", "duty", "sweep", "who", "two", "span", 1000);
        steps(Map.of(), 100, 1);
        assertEquals(10, catalogue.size());
        Map<String, Object> state = steps(Map.of(), 20, 2);
        DutyWork.Step third = sweep.next(Map.of("state", state));
        apply("put", "entry", Map.of("uid", third.facts().get("uid"), "endpoint", "127.0.0.1:1", "az", "a"), "lease_ms", 1000);
        sweep.act(third, new LinkedHashMap<>(state), 2, () -> { });
        assertTrue(catalogue.entry(third.facts().get("uid").toString()) != null, "the host had registered again");
    }
}
