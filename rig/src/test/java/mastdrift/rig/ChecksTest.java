package mastdrift.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Gives each checker a correct history, and the same one with a breach. */
class ChecksTest {

    private final History history = new History();

    private void add(long start, long end, String by, String op, Object... facts) {
        Map<String, Object> all = new HashMap<>();
        for (int i = 0; i < facts.length; i += 2) {
            all.put(facts[i].toString(), facts[i + 1]);
        }
        history.add(start, end, by, op, all);
    }

    private Check.Verdict evaluate(String check) {
        return Checks.evaluate(List.of(check), history).get(0);
    }

    private void assertBreach(String check, String piece) {
        Check.Verdict verdict = evaluate(check);
        assertFalse(verdict.held(), check + " held");
        assertTrue(verdict.breaches().stream().anyMatch(breach -> breach.contains(piece)), verdict.breaches()
                .toString());
    }

    private void put(long start, long end, String value, long rev) {
        add(start, end, "w", "put", "key", "k", "value", value, "rev", rev, "ok", true);
    }

    private void addResponse(long sentAt, long end) {
        add(sentAt, end, "clients", "request", "trace", "7", "outcome", "served", "class", "consulta", "gateway", "gateway-1",
                "status", 200, "deadline_ms", 100, "sent_at", sentAt);
    }

    /** Guards against an event loop that delays requests unnoticed: a response counts as lost half a second after its
        deadline. */
    @Test
    void responseHalfASecondAfterItsDeadlineIsABreach() {
        addResponse(1_000_000, 1_600_000);
        assertTrue(evaluate("rules").held());
        addResponse(1_000_000, 1_601_000);
        assertBreach("rules", "late_answer: 7 by gateway-1 501 ms behind its time, starved of a core for 0 ms of it");
    }

    /** Guards against false breaches on a busy machine. Only the wait for a core that the kernel reports for one thread
        of that gateway during the request is subtracted. */
    @Test
    void waitForACoreIsNotCountedAsDelay() {
        addResponse(1_000_000, 1_801_000);
        add(900_000, 950_000, "gateway-1", RunDelaySampler.OP, "1/1", 500_000);
        add(1_100_000, 1_200_000, "gateway-2", RunDelaySampler.OP, "2/2", 500_000);
        add(1_100_000, 1_200_000, "gateway-1", RunDelaySampler.OP, "1/1", 100_000, "1/2", 100_000);
        assertBreach("rules", "starved of a core for 100 ms of it");
        add(1_300_000, 1_400_000, "gateway-1", RunDelaySampler.OP, "1/1", 101_000);
        assertTrue(evaluate("rules").held());
    }

    /** Guards against false breaches for connections that could not be accepted, and against excusing others: only new
        connections wait for accept, and only while every call fails. */
    @Test
    void failingAcceptExcusesOnlyNewConnections() {
        add(1_000_000, 1_700_000, "rig", "fault", "kind", "system_call", "call", "accept", "rate", 0.9, "processes",
                List.of("gateway-1"));
        addResponse(1_000_000, 1_800_000);
        assertBreach("rules", "late_answer: 7 by gateway-1 700 ms");
        add(1_000_000, 1_700_000, "rig", "fault", "kind", "system_call", "call", "accept", "rate", 1.0, "processes",
                List.of("gateway-1"));
        assertTrue(evaluate("rules").held());
        add(1_000_000, 1_800_000, "clients", "request", "trace", "8", "outcome", "served", "class", "consulta", "gateway",
                "gateway-1", "status", 200, "deadline_ms", 100, "sent_at", 1_000_000, "reused", true);
        assertBreach("rules", "late_answer: 8 by gateway-1 700 ms");
    }

    @Test
    void concurrentWritesMayTakeEffectInEitherOrder() {
        put(1, 10, "a", 5);
        put(2, 9, "b", 4);
        add(11, 12, "r", "read", "key", "k", "value", "a", "rev", 5L);
        assertTrue(evaluate("linearizable").held());
        add(13, 14, "r", "read", "key", "k", "value", "b", "rev", 4L);
        assertBreach("linearizable", "4 calls on k can't be put in one order");
    }

    @Test
    void staleReadIsDetected() {
        put(1, 2, "a", 1);
        put(3, 4, "b", 2);
        add(5, 6, "r", "read", "key", "k", "value", "a", "rev", 1L);
        assertBreach("linearizable", "on k");
    }

    @Test
    void twoCompareAndSetsOfOneRevisionCannotBothSucceed() {
        put(1, 2, "a", 1);
        add(3, 9, "c1", "cas", "key", "k", "if_rev", 1L, "value", "b", "rev", 2L, "ok", true);
        add(4, 8, "c2", "cas", "key", "k", "if_rev", 1L, "value", "c", "ok", false);
        assertTrue(evaluate("linearizable").held());
        add(5, 9, "c3", "cas", "key", "k", "if_rev", 1L, "value", "d", "rev", 3L, "ok", true);
        assertBreach("linearizable", "on k");
    }

    /** A write of unknown outcome may take effect at any later time, but once read it can't be undone. */
    @Test
    void writeOfUnknownOutcomeMayTakeEffectOrNotButNotBeUndone() {
        put(1, 2, "a", 1);
        add(3, History.NEVER, "w", "put", "key", "k", "value", "lost");
        add(5, 6, "r", "read", "key", "k", "value", "a", "rev", 1L);
        add(7, 8, "r", "read", "key", "k", "value", "lost", "rev", 2L);
        assertTrue(evaluate("linearizable").held());
        add(9, 10, "r", "read", "key", "k", "value", "a", "rev", 1L);
        assertBreach("linearizable", "on k");
    }

    @Test
    void searchOverBudgetIsReported() {
        record Any(long start, long end) implements Linearizability.Call<Integer> {
            @Override
            public java.util.Optional<Integer> after(Integer state) {
                return state >= 10 ? java.util.Optional.empty() : java.util.Optional.of(state + 1);
            }
        }

        List<Any> calls = java.util.stream.IntStream.range(0, 12).mapToObj(i -> new Any(1, 2)).toList();
        assertEquals(Linearizability.Answer.OUT_OF_BUDGET, Linearizability.check(calls, 0, 1000));
        assertEquals(Linearizability.Answer.NO, Linearizability.check(calls.subList(0, 11), 0, 100_000_000));
        assertEquals(Linearizability.Answer.YES, Linearizability.check(calls.subList(0, 10), 0, 1000));
    }

    @Test
    void lostAcknowledgedWriteIsDetected() {
        put(1, 2, "a", 1);
        put(3, 4, "b", 2);
        add(9, 9, "rig", "final", "key", "k", "value", "b");
        assertTrue(evaluate("acknowledged").held());
        add(10, 10, "rig", "final", "key", "k", "value", "a");
        assertBreach("acknowledged", "acknowledged write b of k, revision 2, is lost");
    }

    @Test
    void revisionAssignedTwiceIsDetected() {
        put(1, 2, "a", 1);
        put(3, 4, "b", 1);
        add(9, 9, "rig", "final", "key", "k", "value", "b");
        assertBreach("acknowledged", "revision 1 was given to a and to b");
    }

    @Test
    void decreasingWatchRevisionIsDetected() {
        put(1, 2, "a", 1);
        put(3, 4, "b", 2);
        add(2, 2, "one", "line", "rev", 1L, "all", true, "values", Map.of("k", "a"));
        add(5, 5, "one", "line", "rev", 2L, "all", false, "values", Map.of("k", "b"));
        add(5, 5, "two", "line", "rev", 2L, "all", true, "values", Map.of("k", "b"));
        assertTrue(evaluate("watches").held());
        add(6, 6, "one", "line", "rev", 1L, "all", false, "values", Map.of("k", "a"));
        assertBreach("watches", "one was told revision 1 after 2");
    }

    @Test
    void changeMissedByAWatcherIsDetected() {
        put(1, 2, "a", 1);
        put(3, 4, "b", 2);
        add(2, 2, "one", "line", "rev", 1L, "all", true, "values", Map.of("k", "a"));
        add(5, 5, "one", "line", "rev", 3L, "all", false, "values", Map.of("other", "x"));
        assertBreach("watches", "one has a for k at revision 3, where b was written at 2");
    }

    @Test
    void revisionWithTwoContentsIsDetected() {
        add(2, 2, "one", "line", "rev", 1L, "all", true, "values", Map.of("k", "a"));
        add(2, 2, "two", "line", "rev", 1L, "all", true, "values", Map.of("k", "b"));
        assertBreach("watches", "revision 1 has two contents");
    }

    @Test
    void effectOfAFormerHolderIsDetected() {
        add(1, 1, "one", "granted", "lease", "roll", "token", 1L);
        add(2, 2, "one", "effect", "lease", "roll", "token", 1L, "step", "s1");
        add(3, 3, "two", "granted", "lease", "roll", "token", 2L);
        add(4, 4, "two", "effect", "lease", "roll", "token", 2L, "step", "s2");
        assertTrue(evaluate("holders").held());
        add(5, 5, "one", "effect", "lease", "roll", "token", 1L, "step", "s2");
        assertBreach("holders", "one had an effect with token 1 of roll after two");
        assertBreach("holders", "step s2 of roll took place with two and with one");
        add(6, 6, "three", "granted", "lease", "roll", "token", 2L);
        assertBreach("holders", "token 2 of roll was given to two and to three");
    }

    @Test
    void membersWithDifferentViewsAreDetected() {
        add(1, 1, "a", "view", "number", 1L, "members", List.of("a", "b"));
        add(2, 2, "b", "view", "number", 1L, "members", List.of("a", "b"));
        add(3, 3, "rig", "healed", "within_ms", 10L);
        add(4, 4, "a", "view", "number", 2L, "members", List.of("a"));
        add(5, 5, "b", "view", "number", 2L, "members", List.of("a"));
        assertTrue(evaluate("views").held());
        add(6, 6, "a", "view", "number", 3L, "members", List.of("a", "c"));
        assertBreach("views", "b had view 2 when others had 3");
        add(7, 7, "b", "view", "number", 3L, "members", List.of("b"));
        assertBreach("views", "view 3 has two contents");
    }

    @Test
    void overlappingOrUnfinishedRollIsDetected() {
        add(1, 1, "gateway-1", "standby");
        add(100, 100, "gateway-1", "standby");
        add(2_000_000, 2_000_000, "gateway-2", "standby");
        add(1, 1, "c1", "recorded", "lease", "roll", "step", "r 0 standby", "token", 1L, "replica", "registry-1");
        add(2, 2, "c2", "recorded", "lease", "roll", "step", "r 0 quiet", "token", 2L, "replica", "registry-1");
        add(9, 9, "rig", "roll", "phase", "done");
        assertTrue(evaluate("roll").held(), evaluate("roll").toString());
        add(2_000_100, 2_000_100, "gateway-3", "standby");
        add(2_000_200, 2_000_200, "gateway-2", "standby");
        assertBreach("roll", "gateway-3 and gateway-2 were out at once");
        add(3, 3, "c1", "recorded", "lease", "roll", "step", "r 0 active", "token", 1L, "replica", "registry-1");
        assertBreach("roll", "recorded with an older token");
        add(0, 0, "rig", "roll", "phase", "running");
        assertBreach("roll", "did not end: running");
    }

    private void request(long start, String trace, String type, String outcome) {
        add(start, start + 100, "clients", "request", "trace", trace, "class", type, "outcome", outcome, "gateway",
                "gateway-1");
    }

    @Test
    void requestLostByAKilledGatewayIsNoBreach() {
        request(1, "1", "fechamento", "served");
        add(2, 2, "host-a-1", "begin", "trace", "1");
        request(200, "2", "consulta", "lost");
        add(250, 900, "rig", "fault", "kind", "kill", "processes", List.of("gateway-1"));
        assertTrue(evaluate("rules").held(), evaluate("rules").toString());
    }

    /** A request that the client sends again since its gateway was killed is no duplicate; without the kill
        it is one. */
    @Test
    void clientRetryAfterAKillIsNoDuplicate() {
        add(1, 50, "clients", "request", "trace", "1", "class", "leitura", "outcome", "served", "gateway", "gateway-2",
                "before", "gateway-1");
        add(2, 2, "host-a-1", "begin", "trace", "1");
        add(9, 9, "host-b-1", "begin", "trace", "1");
        assertBreach("rules", "keyed request 1 begun in more zones");
        add(5, 900, "rig", "fault", "kind", "kill", "processes", List.of("gateway-1"));
        assertTrue(evaluate("rules").held(), evaluate("rules").toString());
    }

    @Test
    void eachBrokenRuleIsDetected() {
        request(1, "1", "fechamento", "served");
        add(2, 2, "host-a-1", "begin", "trace", "1");
        add(3, 3, "host-a-2", "begin", "trace", "1");
        assertBreach("rules", "unsafe request 1 begun 2 times");
        request(10, "2", "leitura", "served");
        add(11, 11, "host-a-1", "begin", "trace", "2");
        add(12, 12, "host-b-1", "begin", "trace", "2");
        assertBreach("rules", "keyed request 2 begun in more zones");
        request(20, "3", "leitura", "refused");
        add(21, 21, "host-a-1", "begin", "trace", "3");
        assertBreach("rules", "3 refused though a host had begun it");
        request(30, "4", "consulta", "unanswered");
        assertBreach("rules", "4 unanswered by gateway-1");
        request(40, "5", "consulta", "foreign");
        assertBreach("rules", "5 was served with another's answer");
        add(100, 100, "discovery", "listed", "host", "host-a-1", "state", "terminating");
        request(9_000_000, "6", "consulta", "served");
        add(9_000_001, 9_000_001, "host-a-1", "begin", "trace", "6");
        assertBreach("rules", "sent to host-a-1 8999 ms after its drain was told");
        add(9_000_002, 9_000_002, "host-b-1", "fell", "part", 1.0);
        assertBreach("rules", "host-b-1 pressed down while cold");
    }

    private void view(long at, String by, long number, String... members) {
        add(at, at, by, "view", "number", number, "members", List.of(members));
    }

    /** Guards against the removal of a member that no fault, or only a delay, has affected; and against a last view
        that differs from the running members. */
    @Test
    void unexplainedRemovalOrWrongLastViewIsDetected() {
        view(10, "member-a-1", 1, "member-a-1#5", "member-b-1#5", "member-c-1#5");
        add(15, 30, "rig", "fault", "kind", "delay", "processes", List.of("member-b-1"), "others", List.of("member-a-1"));
        view(20, "member-a-1", 2, "member-a-1#5", "member-c-1#5");
        assertBreach("members", "member-b-1 left with view 2, and nothing had been done to it");
        add(15, 30, "rig", "fault", "kind", "freeze", "processes", List.of("member-b-1"));
        assertTrue(evaluate("members").held(), evaluate("members").toString());
        add(40, 40, "rig", "alive", "names", List.of("member-a-1", "member-b-1", "registry-1"));
        assertBreach("members", "member-b-1 runs, and is not in the last view");
        assertBreach("members", "member-c-1 is in the last view, and does not run");
    }
}
