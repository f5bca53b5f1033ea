package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mastdrift.common.Json;
import org.junit.jupiter.api.Test;

/** Leases on duties: order of grants, expiry, fencing tokens and recorded steps. */
class DutyTableTest {

    private final RegistryState state = new RegistryState();

    private RegistryState.CommandResult apply(String name, Object... fields) {
        return state.apply(RegistryState.command(name, fields));
    }

    private long acquire(String candidate) {
        return ((Number) apply("acquire", "duty", "roll", "who", candidate, "span", 1000).answer().get("token"))
                .longValue();
    }

    private int renew(String candidate, long token) {
        return apply("hold", "duty", "roll", "who", candidate, "token", token).status();
    }

    private void advance(long millis) {
        for (long remaining = millis; remaining > 0; remaining -= 250) {
            apply("tick", "elapsed", Math.min(250, remaining));
        }
    }

    @Test
    void candidatesAreGrantedInOrderOfArrival() {
        assertEquals(1, acquire("a"));
        assertEquals(0, acquire("b"));
        assertEquals(0, acquire("c"));
        assertEquals(1, acquire("a"));
        assertEquals(2, apply("acquire", "duty", "roll", "who", "c", "span", 1000).answer().get("waits"));
        apply("release", "duty", "roll", "who", "a", "token", 1);
        assertEquals("b", state.duty("roll").get("holder"));
        assertEquals(2, acquire("b"));
        assertEquals(409, renew("a", 1));
        assertEquals(200, renew("b", 2));
    }

    @Test
    void anExpiredLeaseGoesToTheNextCandidateWithANewToken() {
        acquire("a");
        advance(750);
        acquire("b");
        assertEquals(200, renew("a", 1));
        advance(750);
        acquire("b");
        assertEquals("a", state.duty("roll").get("holder"));
        advance(250);
        assertEquals("b", state.duty("roll").get("holder"));
        assertEquals(2L, state.duty("roll").get("token"));
        assertEquals(409, renew("a", 1));
        assertEquals(409, apply("record", "duty", "roll", "who", "a", "token", 1, "step", "s").status());
    }

    /** Guards against granting a duty to a candidate that no longer waits. */
    @Test
    void aCandidateThatStopsAskingIsSkipped() {
        acquire("a");
        acquire("b");
        advance(500);
        renew("a", 1);
        acquire("c");
        advance(500);
        renew("a", 1);
        acquire("c");
        apply("release", "duty", "roll", "who", "a", "token", 1);
        assertEquals("c", state.duty("roll").get("holder"));
    }

    @Test
    void aNewLeaderGivesTheHolderItsFullLease() {
        acquire("a");
        advance(750);
        apply("reign", "term", 3);
        advance(750);
        assertEquals(200, renew("a", 1));
    }

    @Test
    void aStepIsRecordedOnceByWhicheverHolder() {
        acquire("a");
        Map<String, Object> first = apply("record", "duty", "roll", "who", "a", "token", 1, "step", "s1", "state",
                Map.of("done", 1)).answer();
        assertEquals(false, first.get("again"));
        advance(750);
        acquire("b");
        advance(250);
        Map<String, Object> second = apply("record", "duty", "roll", "who", "b", "token", 2, "step", "s1", "state",
                Map.of("done", 9)).answer();
        assertEquals(true, second.get("again"));
        assertEquals(Map.of("done", 1), state.duty("roll").get("state"));
    }

    @Test
    void aWriteWithAnOldTokenIsRefused() {
        Map<String, Object> entry = Map.of("uid", "h", "endpoint", "127.0.0.1:9");
        acquire("a");
        assertEquals(200, apply("put", "entry", entry, "duty", "roll", "token", 1).status());
        advance(750);
        acquire("b");
        advance(250);
        assertEquals(412, apply("drain", "uid", "h", "duty", "roll", "token", 1).status());
        assertEquals("in_service", state.entry("h").get("state"));
        assertEquals(200, apply("drain", "uid", "h", "duty", "roll", "token", 2).status());
        assertEquals(412, apply("remove", "uid", "h", "duty", "other", "token", 2).status());
    }

    /**
     * Every sequence of five events (eight with {@code -DargLine=-Dduties.depth=8}) on one duty with two candidates,
     * each of which uses the last token it was granted: no token has two holders, tokens only grow, and no effect is
     * accepted with a token older than one already used.
     */
    @Test
    void tokensGrowAndOldOnesHaveNoEffectInEveryOrderOfEvents() {
        int depth = Integer.getInteger("duties.depth", 5);
        long[] sequences = {0};
        explore(new ArrayList<>(), depth, sequences);
        assertTrue(sequences[0] >= Math.pow(EVENTS.size(), depth), Long.toString(sequences[0]));
    }

    private static final List<String> EVENTS = List.of("a acquire", "b acquire", "a hold", "b effect", "a effect",
            "a release", "tick", "reign");

    private void explore(List<String> events, int depth, long[] sequences) {
        if (events.size() == depth) {
            sequences[0]++;
            runSequence(events);
            return;
        }
        for (String event : EVENTS) {
            events.add(event);
            explore(events, depth, sequences);
            events.remove(events.size() - 1);
        }
    }

    private static void runSequence(List<String> events) {
        RegistryState state = new RegistryState();
        state.apply(RegistryState.command("put", "entry", Map.of("uid", "h", "endpoint", "127.0.0.1:9")));
        Map<String, Long> tokens = new HashMap<>();
        Map<Long, String> holders = new HashMap<>();
        long newestEffect = 0;
        for (String event : events) {
            String candidate = event.substring(0, 1);
            long token = tokens.getOrDefault(candidate, 0L);
            switch (event.substring(event.indexOf(' ') + 1)) {
                case "acquire" -> {
                    Number granted = (Number) state.apply(RegistryState.command("acquire", "duty", "d", "who",
                            candidate, "span", 300))
                            .answer().get("token");
                    if (granted.longValue() > 0) {
                        tokens.put(candidate, granted.longValue());
                        String other = holders.putIfAbsent(granted.longValue(), candidate);
                        assertTrue(other == null || other.equals(candidate), () -> "one token, two holders: " + events);
                    }
                }
                case "hold" -> state.apply(RegistryState.command("hold", "duty", "d", "who", candidate, "token",
                        token));
                case "effect" -> {
                    int status = state.apply(RegistryState.command("drain", "uid", "h", "duty", "d", "token", token))
                            .status();
                    if (status == 200) {
                        assertTrue(token >= newestEffect, () -> "an old token had an effect: " + events);
                        newestEffect = token;
                    }
                }
                case "release" -> state.apply(RegistryState.command("release", "duty", "d", "who", candidate, "token",
                        token));
                case "tick" -> state.apply(RegistryState.command("tick", "elapsed", 301));
                default -> state.apply(RegistryState.command("reign", "term", 1));
            }
            Map<String, Object> duty = state.duty("d");
            if (duty != null && duty.get("holder") != null) {
                String other = holders.putIfAbsent((Long) duty.get("token"), duty.get("holder").toString());
                assertTrue(other == null || other.equals(duty.get("holder")), () -> "one token, two holders: "
                        + events);
            }
        }
        assertEquals(Json.encode(state.state()), Json.encode(restored(state).state()));
    }

    private static RegistryState restored(RegistryState state) {
        RegistryState copy = new RegistryState();
        copy.restore(Json.parse(Json.encode(state.state())));
        return copy;
    }
}
