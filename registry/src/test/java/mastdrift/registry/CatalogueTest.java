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
class CatalogueTest {

    private final Catalogue catalogue = new Catalogue();

    private Catalogue.Applied apply(String name, Object... facts) {
        return catalogue.apply(Catalogue.command(name, facts));
    }

    private static Map<String, Object> entry(String uid, String model) {
        return new LinkedHashMap<>(Map.of("uid", uid, "endpoint", "127.0.0.1:9", "az", uid.substring(0, 1), "model", model));
    }

    private long put(String uid, String model, long lease) {
        Catalogue.Applied applied = apply("put", "entry", entry(uid, model), "lease_ms", lease);
        assertEquals(200, applied.status(), applied.answer().toString());
        return (Long) applied.answer().get("rev");
    }

    private void pass(long millis) {
        for (long left = millis; left > 0; left -= 250) {
            apply("tick", "elapsed", Math.min(250, left));
        }
    }

    @Test
    void eachChangeHasARevisionOfItsOwnAndWhatIsNoChangeHasNone() {
        assertEquals(1, put("a1", "x", 0));
        assertEquals(2, put("a2", "x", 0));
        assertEquals(2, put("a2", "x", 0));
        assertEquals(3, put("a1", "y", 0));
        assertEquals(409, apply("put", "entry", entry("a1", "z"), "if_rev", 1).status());
        assertEquals(200, apply("put", "entry", entry("a1", "z"), "if_rev", 3).status());
        assertEquals(409, apply("put", "entry", entry("a1", "w"), "if_rev", 0).status());
        assertEquals(200, apply("put", "entry", entry("a9", "w"), "if_rev", 0).status());
        assertEquals(5, catalogue.rev());
    }

    @Test
    void aWatcherIsToldWhatChangedAfterItsRevisionOnce() {
        put("a1", "x", 0);
        put("a2", "x", 0);
        put("a1", "y", 0);
        apply("remove", "uid", "a2", "now", true);
        Map<String, Object> line = Json.parse(catalogue.since(1).text());
        assertEquals(List.of("a1 in_service", "a2 terminated"), targets(line));
        assertEquals(false, line.get("all"));
        assertEquals(List.of("a2 terminated"), targets(Json.parse(catalogue.since(3).text())));
        assertEquals(List.of(), targets(Json.parse(catalogue.since(4).text())));
        assertEquals(true, Json.parse(catalogue.since(99).text()).get("all"));
        assertEquals(List.of("a1 in_service"), targets(Json.parse(catalogue.since(0).text())));
    }

    private static List<String> targets(Map<String, Object> line) {
        return ((List<?>) line.get("targets")).stream().map(each -> ((Map<?, ?>) each).get("uid") + " "
                + ((Map<?, ?>) each).get("state")).toList();
    }

    @Test
    void whereTheLogNoLongerReachesTheWholeListIsTold() {
        put("keep", "x", 0);
        for (int i = 0; i <= Listing.LEFT_MOST; i++) {
            put("g" + i, "x", 0);
            apply("remove", "uid", "g" + i, "now", true);
        }
        assertEquals(true, Json.parse(catalogue.since(2).text()).get("all"));
        assertEquals(false, Json.parse(catalogue.since(catalogue.rev() - 10).text()).get("all"));
    }

    @Test
    void aLeaseThatIsNotRenewedLapsesByTheLeadersTicksAlone() {
        for (int i = 0; i < 20; i++) {
            put("a" + i, "x", 1000);
        }
        for (int i = 0; i < 3; i++) {
            pass(750);
            apply("renew", "uids", java.util.stream.IntStream.range(1, 20).mapToObj(n -> "a" + n).toList());
        }
        assertNull(catalogue.entry("a0"));
        assertEquals(19, catalogue.size());
        assertEquals(List.of("a0"), apply("renew", "uids", List.of("a0", "a1")).answer().get("unknown"));
    }

    /** Guards against leases that expire because the leader was paused or its clock jumped. */
    @Test
    void oneTickCountsForNoMoreThanItsBoundAndNeverBack() {
        put("a0", "x", Catalogue.TICK_MOST + 1);
        apply("tick", "elapsed", 3_600_000);
        apply("tick", "elapsed", -5000);
        assertEquals(1, catalogue.size());
        apply("tick", "elapsed", 1);
        assertEquals(0, catalogue.size());
    }

    @Test
    void aNewLeaderGivesEveryLeaseItsFullTerm() {
        put("a0", "x", 1000);
        pass(900);
        apply("reign", "term", 2);
        pass(900);
        assertEquals(1, catalogue.size());
        pass(200);
        assertEquals(0, catalogue.size());
    }

    @Test
    void aZoneThatFallsSilentStaysAndIsMarked() {
        for (int i = 0; i < 10; i++) {
            put("a" + i, "x", 1000);
            put("b" + i, "x", 0);
        }
        pass(1250);
        assertEquals(20, catalogue.size());
        assertEquals(10, catalogue.stale());
        List<String> back = apply("renew", "uids", java.util.stream.IntStream.range(0, 9).mapToObj(n -> "a" + n).toList())
                .news();
        assertEquals(9, back.size());
        assertEquals("stale-back a0", back.get(0));
        // Nine have renewed: the last one is one in ten, below the limit, and is removed.
        pass(250);
        assertNull(catalogue.entry("a9"));
        assertEquals(0, catalogue.stale());
    }

    /** Guards against a zone that is emptied by a few removals at a time. */
    @Test
    void theBoundIsOnWhatGoesWithinOneTermTogether() {
        for (int i = 0; i < 10; i++) {
            put("a" + i, "x", 1000 + 200L * i);
        }
        pass(1100);
        assertEquals(9, catalogue.size());
        pass(800);
        assertEquals(9, catalogue.size());
        assertTrue(catalogue.stale() > 0);
    }

    @Test
    void whatIsRemovedInServiceLeavesByADrain() {
        put("a0", "x", 0);
        apply("remove", "uid", "a0");
        assertEquals("terminating", catalogue.entry("a0").get("state"));
        pass(Catalogue.LEAVING_MILLIS - 250);
        assertEquals(1, catalogue.size());
        pass(250);
        assertEquals(0, catalogue.size());
        assertEquals(404, apply("remove", "uid", "a0").status());
    }

    /** Restores snapshots of random states and compares their behaviour with the original. */
    @Test
    void aSnapshotReadBackGoesOnAsTheStateDid() {
        Random random = new Random(5);
        for (int i = 0; i < 500; i++) {
            any(random, catalogue);
            if (i % 50 == 0) {
                Catalogue other = new Catalogue();
                other.restore(Json.parse(Json.encode(catalogue.state())));
                assertEquals(Json.encode(catalogue.state()), Json.encode(other.state()));
                Random one = new Random(i);
                Random two = new Random(i);
                Catalogue copy = new Catalogue();
                copy.restore(Json.parse(Json.encode(catalogue.state())));
                for (int j = 0; j < 50; j++) {
                    assertEquals(any(one, other), any(two, copy));
                }
                for (long from = 0; from <= other.rev(); from++) {
                    assertEquals(other.since(from), copy.since(from));
                }
            }
        }
    }

    private static String any(Random random, Catalogue on) {
        String uid = (random.nextBoolean() ? "a" : "b") + random.nextInt(12);
        return on.apply(switch (random.nextInt(6)) {
            case 0, 1 -> Catalogue.command("put", "entry", entry(uid, "m" + random.nextInt(3)), "lease_ms",
                    random.nextInt(3) * 700);
            case 2 -> Catalogue.command("renew", "uids", List.of(uid));
            case 3 -> Catalogue.command("remove", "uid", uid, "now", random.nextBoolean());
            case 4 -> Catalogue.command("reign", "term", random.nextInt(9));
            default -> Catalogue.command("tick", "elapsed", random.nextInt(400));
        }).text();
    }

    @Test
    void aBackupIsRestoredIntoAnEmptyServiceAndRevisionsGoOnBeyondIt() {
        put("a0", "x", 1000);
        put("a1", "x", 0);
        Map<String, Object> backup = Json.parse(Json.encode(catalogue.state()));
        assertEquals(409, apply("restore", "state", backup).status());
        Catalogue other = new Catalogue();
        other.apply(Catalogue.command("tick", "elapsed", 1500));
        other.apply(Catalogue.command("tick", "elapsed", 1500));
        assertEquals(200, other.apply(Catalogue.command("restore", "state", backup)).status());
        assertEquals(2 + Catalogue.RESTORED_JUMP, other.rev());
        assertEquals(true, Json.parse(other.since(2).text()).get("all"));
        other.apply(Catalogue.command("tick", "elapsed", 900));
        assertEquals(2, other.size());
        assertEquals(400, new Catalogue().apply(Catalogue.command("restore", "state", Map.of("format", 7))).status());
    }

    @Test
    void whatIsNoSnapshotChangesNothing() {
        put("a0", "x", 0);
        assertThrows(IllegalArgumentException.class, () -> catalogue.restore(Map.of("format", 1)));
        assertThrows(IllegalArgumentException.class, () -> catalogue.restore(Map.of()));
        assertEquals(1, catalogue.size());
    }

    @Test
    void aPoorCommandIsAnsweredAndThrowsNothing() {
        assertEquals(400, apply("dance").status());
        Catalogue.Applied applied = apply("put", "entry", Map.of("endpoint", "nowhere", "state", "asleep"));
        assertEquals(400, applied.status());
        String error = applied.answer().get("error").toString();
        assertTrue(error.contains("uid: expected a text") && error.contains("endpoint: expected address:port")
                && error.contains("state: expected in_service"), error);
        assertEquals(400, apply("renew", "uids", "a0").status());
        assertFalse(catalogue.rev() > 0);
    }
}
