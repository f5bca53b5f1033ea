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
class DutiesTest {

    private final Catalogue catalogue = new Catalogue();

    private Catalogue.Applied apply(String name, Object... facts) {
        return catalogue.apply(Catalogue.command(name, facts));
    }

    private long acquire(String who) {
        return ((Number) apply("acquire", "duty", "roll", "who", who, "span", 1000).answer().get("token")).longValue();
    }

    private int hold(String who, long token) {
        return apply("hold", "duty", "roll", "who", who, "token", token).status();
    }

    private void pass(long millis) {
        for (long left = millis; left > 0; left -= 250) {
            apply("tick", "elapsed", Math.min(250, left));
        }
    }

    @Test
    void oneHoldsAndTheOthersWaitInOrder() {
        assertEquals(1, acquire("a"));
        assertEquals(0, acquire("b"));
        assertEquals(0, acquire("c"));
        assertEquals(1, acquire("a"));
        assertEquals(2, apply("acquire", "duty", "roll", "who", "c", "span", 1000).answer().get("waits"));
        apply("release", "duty", "roll", "who", "a", "token", 1);
        assertEquals("b", catalogue.duty("roll").get("holder"));
        assertEquals(2, acquire("b"));
        assertEquals(409, hold("a", 1));
        assertEquals(200, hold("b", 2));
    }

    @Test
    void whatIsNotRenewedGoesOnWithANewToken() {
        acquire("a");
        pass(750);
        acquire("b");
        assertEquals(200, hold("a", 1));
        pass(750);
        acquire("b");
        assertEquals("a", catalogue.duty("roll").get("holder"));
        pass(250);
        assertEquals("b", catalogue.duty("roll").get("holder"));
        assertEquals(2L, catalogue.duty("roll").get("token"));
        assertEquals(409, hold("a", 1));
        assertEquals(409, apply("record", "duty", "roll", "who", "a", "token", 1, "step", "s").status());
    }

    /** Guards against granting a duty to a candidate that no longer waits. */
    @Test
    void whoHasGoneWhileWaitingIsPassedOver() {
        acquire("a");
        acquire("b");
        pass(500);
        hold("a", 1);
        acquire("c");
        pass(500);
        hold("a", 1);
        acquire("c");
        apply("release", "duty", "roll", "who", "a", "token", 1);
        assertEquals("c", catalogue.duty("roll").get("holder"));
    }

    @Test
    void aNewLeaderGivesAHolderItsFullTerm() {
        acquire("a");
        pass(750);
        apply("reign", "term", 3);
        pass(750);
        assertEquals(200, hold("a", 1));
    }

    @Test
    void aStepIsRecordedOnceWhoeverRecordsIt() {
        acquire("a");
        Map<String, Object> first = apply("record", "duty", "roll", "who", "a", "token", 1, "step", "s1", "state",
                Map.of("done", 1)).answer();
        assertEquals(false, first.get("again"));
        pass(750);
        acquire("b");
        pass(250);
        Map<String, Object> second = apply("record", "duty", "roll", "who", "b", "token", 2, "step", "s1", "state",
                Map.of("done", 9)).answer();
        assertEquals(true, second.get("again"));
        assertEquals(Map.of("done", 1), catalogue.duty("roll").get("state"));
    }

    @Test
    void anOldTokensWriteOnAnEntryDoesNothing() {
        Map<String, Object> entry = Map.of("uid", "h", "endpoint", "127.0.0.1:9");
        acquire("a");
        assertEquals(200, apply("put", "entry", entry, "duty", "roll", "token", 1).status());
        pass(750);
        acquire("b");
        pass(250);
        assertEquals(412, apply("drain", "uid", "h", "duty", "roll", "token", 1).status());
        assertEquals("in_service", catalogue.entry("h").get("state"));
        assertEquals(200, apply("drain", "uid", "h", "duty", "roll", "token", 2).status());
        assertEquals(412, apply("remove", "uid", "h", "duty", "other", "token", 2).status());
    }

    /**
     * Every sequence of five events (eight with {@code -DargLine=-Dduties.depth=8}) on one duty with two candidates,
     * each of which uses the last token it was granted: no token has two holders, tokens only grow, and no effect is
     * accepted with a token older than one already used.
     */
    @Test
    void inEveryOrderOfEventsTokensGrowAndAnOldOneHasNoEffect() {
        int depth = Integer.getInteger("duties.depth", 5);
        long[] orders = {0};
        explore(new ArrayList<>(), depth, orders);
        assertTrue(orders[0] >= Math.pow(EVENTS.size(), depth), Long.toString(orders[0]));
    }

    private static final List<String> EVENTS = List.of("a acquire", "b acquire", "a hold", "b effect", "a effect",
            "a release", "tick", "reign");

    private void explore(List<String> path, int depth, long[] orders) {
        if (path.size() == depth) {
            orders[0]++;
            play(path);
            return;
        }
        for (String event : EVENTS) {
            path.add(event);
            explore(path, depth, orders);
            path.remove(path.size() - 1);
        }
    }

    private static void play(List<String> path) {
        Catalogue state = new Catalogue();
        state.apply(Catalogue.command("put", "entry", Map.of("uid", "h", "endpoint", "127.0.0.1:9")));
        Map<String, Long> tokens = new HashMap<>();
        Map<Long, String> holders = new HashMap<>();
        long newestEffect = 0;
        for (String event : path) {
            String who = event.substring(0, 1);
            long token = tokens.getOrDefault(who, 0L);
            switch (event.substring(event.indexOf(' ') + 1)) {
                case "acquire" -> {
                    Number told = (Number) state.apply(Catalogue.command("acquire", "duty", "d", "who", who, "span", 300))
                            .answer().get("token");
                    if (told.longValue() > 0) {
                        tokens.put(who, told.longValue());
                        String other = holders.putIfAbsent(told.longValue(), who);
                        assertTrue(other == null || other.equals(who), () -> "one token, two holders: " + path);
                    }
                }
                case "hold" -> state.apply(Catalogue.command("hold", "duty", "d", "who", who, "token", token));
                case "effect" -> {
                    int status = state.apply(Catalogue.command("drain", "uid", "h", "duty", "d", "token", token)).status();
                    if (status == 200) {
                        assertTrue(token >= newestEffect, () -> "an old token had an effect: " + path);
                        newestEffect = token;
                    }
                }
                case "release" -> state.apply(Catalogue.command("release", "duty", "d", "who", who, "token", token));
                case "tick" -> state.apply(Catalogue.command("tick", "elapsed", 301));
                default -> state.apply(Catalogue.command("reign", "term", 1));
            }
            Map<String, Object> duty = state.duty("d");
            if (duty != null && duty.get("holder") != null) {
                String other = holders.putIfAbsent((Long) duty.get("token"), duty.get("holder").toString());
                assertTrue(other == null || other.equals(duty.get("holder")), () -> "one token, two holders: " + path);
            }
        }
        assertEquals(Json.encode(state.state()), Json.encode(restored(state).state()));
    }

    private static Catalogue restored(Catalogue state) {
        Catalogue copy = new Catalogue();
        copy.restore(Json.parse(Json.encode(state.state())));
        return copy;
    }
}
