package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.common.Json;
import org.junit.jupiter.api.Test;

/** Revisions, leases, snapshots and backups of the replicated state. */
class RegistryStateTest {

    private final RegistryState state = new RegistryState();

    private RegistryState.CommandResult apply(String name, Object... fields) {
        return state.apply(RegistryState.command(name, fields));
    }

    private static Map<String, Object> entry(String uid, String model) {
        return new LinkedHashMap<>(Map.of("uid", uid, "endpoint", "127.0.0.1:9", "az", uid.substring(0, 1), "model",
                model));
    }

    private long put(String uid, String model, long leaseMillis) {
        RegistryState.CommandResult applied = apply("put", "entry", entry(uid, model), "lease_ms", leaseMillis);
        assertEquals(200, applied.status(), applied.answer().toString());
        return (Long) applied.answer().get("rev");
    }

    private void advance(long millis) {
        for (long remaining = millis; remaining > 0; remaining -= 250) {
            apply("tick", "elapsed", Math.min(250, remaining));
        }
    }

    @Test
    void eachChangeGetsOneRevisionAndANoOpNone() {
        assertEquals(1, put("a1", "x", 0));
        assertEquals(2, put("a2", "x", 0));
        assertEquals(2, put("a2", "x", 0));
        assertEquals(3, put("a1", "y", 0));
        assertEquals(409, apply("put", "entry", entry("a1", "z"), "if_rev", 1).status());
        assertEquals(200, apply("put", "entry", entry("a1", "z"), "if_rev", 3).status());
        assertEquals(409, apply("put", "entry", entry("a1", "w"), "if_rev", 0).status());
        assertEquals(200, apply("put", "entry", entry("a9", "w"), "if_rev", 0).status());
        assertEquals(5, state.rev());
    }

    @Test
    void anUpdateContainsEachChangedEntryOnce() {
        put("a1", "x", 0);
        put("a2", "x", 0);
        put("a1", "y", 0);
        apply("remove", "uid", "a2", "now", true);
        Map<String, Object> line = Json.parse(state.updateSince(1).json());
        assertEquals(List.of("a1 in_service", "a2 terminated"), targets(line));
        assertEquals(false, line.get("all"));
        assertEquals(List.of("a2 terminated"), targets(Json.parse(state.updateSince(3).json())));
        assertEquals(List.of(), targets(Json.parse(state.updateSince(4).json())));
        assertEquals(true, Json.parse(state.updateSince(99).json()).get("all"));
        assertEquals(List.of("a1 in_service"), targets(Json.parse(state.updateSince(0).json())));
    }

    private static List<String> targets(Map<String, Object> line) {
        return ((List<?>) line.get("targets")).stream().map(each -> ((Map<?, ?>) each).get("uid") + " "
                + ((Map<?, ?>) each).get("state")).toList();
    }

    @Test
    void aReaderFromBeforeTheKnownChangesGetsTheFullList() {
        put("keep", "x", 0);
        for (int i = 0; i <= EndpointList.MAX_REMOVED_ENTRIES; i++) {
            put("g" + i, "x", 0);
            apply("remove", "uid", "g" + i, "now", true);
        }
        assertEquals(true, Json.parse(state.updateSince(2).json()).get("all"));
        assertEquals(false, Json.parse(state.updateSince(state.rev() - 10).json()).get("all"));
    }

    @Test
    void aLeaseThatIsNotRenewedExpiresByLeaderTicksOnly() {
        for (int i = 0; i < 20; i++) {
            put("a" + i, "x", 1000);
        }
        for (int i = 0; i < 3; i++) {
            advance(750);
            apply("renew", "uids", java.util.stream.IntStream.range(1, 20).mapToObj(n -> "a" + n).toList());
        }
        assertNull(state.entry("a0"));
        assertEquals(19, state.size());
        assertEquals(List.of("a0"), apply("renew", "uids", List.of("a0", "a1")).answer().get("unknown"));
    }

    /** Guards against leases that expire because the leader was paused or its clock jumped. */
    @Test
    void aTickIsBoundedAndNeverMovesTimeBack() {
        put("a0", "x", RegistryState.MAX_TICK_MILLIS + 1);
        apply("tick", "elapsed", 3_600_000);
        apply("tick", "elapsed", -5000);
        assertEquals(1, state.size());
        apply("tick", "elapsed", 1);
        assertEquals(0, state.size());
    }

    @Test
    void aNewLeaderGivesEveryLeaseItsFullDuration() {
        put("a0", "x", 1000);
        advance(900);
        apply("reign", "term", 2);
        advance(900);
        assertEquals(1, state.size());
        advance(200);
        assertEquals(0, state.size());
    }

    @Test
    void aSilentZoneIsKeptAsStale() {
        for (int i = 0; i < 10; i++) {
            put("a" + i, "x", 1000);
            put("b" + i, "x", 0);
        }
        advance(1250);
        assertEquals(20, state.size());
        assertEquals(10, state.staleCount());
        List<String> back = apply("renew", "uids", java.util.stream.IntStream.range(0, 9).mapToObj(n -> "a" + n)
                .toList())
                .logLines();
        assertEquals(9, back.size());
        assertEquals("stale-back a0", back.get(0));
        // Nine have renewed: the last one is one in ten, below the limit, and is removed.
        advance(250);
        assertNull(state.entry("a9"));
        assertEquals(0, state.staleCount());
    }

    /** Guards against a zone that is emptied by a few removals at a time. */
    @Test
    void theExpiryLimitCoversAWholeLeaseDuration() {
        for (int i = 0; i < 10; i++) {
            put("a" + i, "x", 1000 + 200L * i);
        }
        advance(1100);
        assertEquals(9, state.size());
        advance(800);
        assertEquals(9, state.size());
        assertTrue(state.staleCount() > 0);
    }

    @Test
    void anEntryRemovedInServiceDrainsFirst() {
        put("a0", "x", 0);
        apply("remove", "uid", "a0");
        assertEquals("terminating", state.entry("a0").get("state"));
        advance(RegistryState.REMOVAL_DRAIN_MILLIS - 250);
        assertEquals(1, state.size());
        advance(250);
        assertEquals(0, state.size());
        assertEquals(404, apply("remove", "uid", "a0").status());
    }

    /** Restores snapshots of random states and compares their behaviour with the original. */
    @Test
    void aRestoredSnapshotBehavesLikeTheOriginal() {
        Random random = new Random(5);
        for (int i = 0; i < 500; i++) {
            applyRandomCommand(random, state);
            if (i % 50 == 0) {
                RegistryState restored = new RegistryState();
                restored.restore(Json.parse(Json.encode(state.state())));
                assertEquals(Json.encode(state.state()), Json.encode(restored.state()));
                Random one = new Random(i);
                Random two = new Random(i);
                RegistryState copy = new RegistryState();
                copy.restore(Json.parse(Json.encode(state.state())));
                for (int j = 0; j < 50; j++) {
                    assertEquals(applyRandomCommand(one, restored), applyRandomCommand(two, copy));
                }
                for (long from = 0; from <= restored.rev(); from++) {
                    assertEquals(restored.updateSince(from), copy.updateSince(from));
                }
            }
        }
    }

    private static String applyRandomCommand(Random random, RegistryState target) {
        String uid = (random.nextBoolean() ? "a" : "b") + random.nextInt(12);
        return target.apply(switch (random.nextInt(6)) {
            case 0, 1 -> RegistryState.command("put", "entry", entry(uid, "m" + random.nextInt(3)), "lease_ms",
                    random.nextInt(3) * 700);
            case 2 -> RegistryState.command("renew", "uids", List.of(uid));
            case 3 -> RegistryState.command("remove", "uid", uid, "now", random.nextBoolean());
            case 4 -> RegistryState.command("reign", "term", random.nextInt(9));
            default -> RegistryState.command("tick", "elapsed", random.nextInt(400));
        }).toJson();
    }

    @Test
    void aBackupRestoresOnlyIntoAnEmptyServiceAndRevisionsContinueBeyondIt() {
        put("a0", "x", 1000);
        put("a1", "x", 0);
        Map<String, Object> backup = Json.parse(Json.encode(state.state()));
        assertEquals(409, apply("restore", "state", backup).status());
        RegistryState restored = new RegistryState();
        restored.apply(RegistryState.command("tick", "elapsed", 1500));
        restored.apply(RegistryState.command("tick", "elapsed", 1500));
        assertEquals(200, restored.apply(RegistryState.command("restore", "state", backup)).status());
        assertEquals(2 + RegistryState.RESTORE_REVISION_GAP, restored.rev());
        assertEquals(true, Json.parse(restored.updateSince(2).json()).get("all"));
        restored.apply(RegistryState.command("tick", "elapsed", 900));
        assertEquals(2, restored.size());
        assertEquals(400, new RegistryState().apply(RegistryState.command("restore", "state", Map.of("format", 7)))
                .status());
    }

    @Test
    void anInvalidSnapshotChangesNothing() {
        put("a0", "x", 0);
        assertThrows(IllegalArgumentException.class, () -> state.restore(Map.of("format", 1)));
        assertThrows(IllegalArgumentException.class, () -> state.restore(Map.of()));
        assertEquals(1, state.size());
    }

    @Test
    void anInvalidCommandGetsAnErrorAndThrowsNothing() {
        assertEquals(400, apply("dance").status());
        RegistryState.CommandResult applied = apply("put", "entry", Map.of("endpoint", "nowhere", "state", "asleep"));
        assertEquals(400, applied.status());
        String error = applied.answer().get("error").toString();
        assertTrue(error.contains("uid: expected a text") && error.contains("endpoint: expected address:port")
                && error.contains("state: expected in_service"), error);
        assertEquals(400, apply("renew", "uids", "a0").status());
        assertFalse(state.rev() > 0);
    }
}
