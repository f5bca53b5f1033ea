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
class StaleEntrySweeperTest {

    private final RegistryState registryState = new RegistryState();
    private final Set<String> reachable = new HashSet<>();

    private final StaleEntrySweeper sweeper = new StaleEntrySweeper(new StaleEntrySweeper.EntryService() {
        @Override
        public List<Map<String, Object>> list() {
            return registryState.entries();
        }

        @Override
        public boolean acceptsConnection(String endpoint) {
            return reachable.contains(endpoint);
        }

        @Override
        public boolean remove(String uid, long rev, long token) {
            return apply("remove", "uid", uid, "if_rev", rev, "now", true, "duty", "sweep", "token", token)
                    .status() == 200;
        }
    });

    private RegistryState.CommandResult apply(String name, Object... fields) {
        return registryState.apply(RegistryState.command(name, fields));
    }

    private void expireAWholeZone() {
        for (int i = 0; i < 10; i++) {
            apply("put", "entry", Map.of("uid", "h" + i, "endpoint", "127.0.0.1:" + (9000 + i), "az", "a"), "lease_ms",
                    1000);
        }
        for (int i = 0; i < 8; i++) {
            apply("tick", "elapsed", 250);
        }
        assertEquals(10, registryState.staleCount());
    }

    /** Runs a number of steps with a token and returns the state after them. */
    private Map<String, Object> runSteps(Map<String, Object> state, int count, long token) throws IOException {
        Map<String, Object> current = state;
        for (int i = 0; i < count; i++) {
            DutyWork.Step step = sweeper.next(Map.of("state", current));
            if (step == null) {
                return current;
            }
            current = sweeper.act(step, new LinkedHashMap<>(current), token, () -> { });
        }
        return current;
    }

    /** Guards against removing hosts that serve but are partitioned from the list service. */
    @Test
    void reachableHostsStayAndOthersAreRemovedAfterThreeProbes() throws IOException {
        expireAWholeZone();
        apply("acquire", "duty", "sweep", "who", "one", "span", 1000);
        for (int i = 0; i < 6; i++) {
            reachable.add("127.0.0.1:" + (9000 + i));
        }
        Map<String, Object> state = runSteps(Map.of(), 20, 1);
        assertEquals(10, registryState.size(), "no host has failed three probes yet");
        runSteps(state, 200, 1);
        assertEquals(6, registryState.size());
    }

    /** Guards against removal by a holder that lost the duty, and of a host that registered again between probe and
        removal. */
    @Test
    void anOlderTokenOrRevisionRemovesNothing() throws IOException {
        expireAWholeZone();
        apply("acquire", "duty", "sweep", "who", "one", "span", 1000);
        apply("release", "duty", "sweep", "who", "one", "token", 1);
        apply("acquire", "duty", "sweep", "who", "two", "span", 1000);
        runSteps(Map.of(), 100, 1);
        assertEquals(10, registryState.size());
        Map<String, Object> state = runSteps(Map.of(), 20, 2);
        DutyWork.Step third = sweeper.next(Map.of("state", state));
        apply("put", "entry", Map.of("uid", third.parameters().get("uid"), "endpoint", "127.0.0.1:1", "az", "a"),
                "lease_ms", 1000);
        sweeper.act(third, new LinkedHashMap<>(state), 2, () -> { });
        assertTrue(registryState.entry(third.parameters().get("uid").toString()) != null,
                "the host had registered again");
    }
}
