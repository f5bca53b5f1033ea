package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import mastdrift.common.Json;
import org.junit.jupiter.api.Test;

/** Views and removals of members, by single commands and with the failure detector in simulated time. */
class MembersTest {

    private final Catalogue catalogue = new Catalogue();

    private Catalogue.Applied apply(String name, Object... facts) {
        return catalogue.apply(Catalogue.command(name, facts));
    }

    private int join(String name, String zone, long incarnation) {
        return apply("join", "name", name, "role", "agent", "zone", zone, "incarnation", incarnation, "version", "1").status();
    }

    private Map<String, Object> shown() {
        return apply("read", "what", "members").answer();
    }

    private int report(String by, long incarnation, List<String> silent) {
        return apply("report", "name", by, "incarnation", incarnation, "silent", silent).status();
    }

    private void ten() {
        for (int i = 0; i < 10; i++) {
            assertEquals(200, join("p" + i, "z" + i % 3, 1));
        }
    }

    @Test
    void namesComeBackWithNewIncarnationsAlone() {
        ten();
        assertEquals(10L, shown().get("view"));
        assertEquals(200, join("p1", "z1", 1));
        assertEquals(10L, shown().get("view"));
        assertEquals(409, apply("join", "name", "p1", "role", "other", "zone", "z1", "incarnation", 1, "version", "1").status());
        assertEquals(200, join("p1", "z1", 2));
        assertEquals(409, report("p1", 1, List.of()));
        assertEquals(200, apply("leave", "name", "p1", "incarnation", 2).status());
        assertEquals(410, report("p1", 2, List.of()));
        assertEquals(409, join("p1", "z1", 2));
        assertEquals(200, join("p1", "z1", 3));
        assertEquals(13L, shown().get("view"));
    }

    private List<String> watchersOf(String name) {
        List<Members.Member> view = new ArrayList<>();
        ((List<?>) shown().get("members")).forEach(each -> {
            Map<?, ?> one = (Map<?, ?>) each;
            view.add(new Members.Member(one.get("name").toString(), "", one.get("zone").toString(), "", 1, ""));
        });
        return Members.watching(view).get(name);
    }

    @Test
    void aMemberGoesOnceEnoughOfItsWatchersReportItAndNotBefore() {
        ten();
        List<String> watchers = watchersOf("p4");
        assertEquals(Members.WATCHERS, watchers.size());
        for (int i = 0; i < Members.HIGH; i++) {
            assertEquals(10L, shown().get("view"), "after " + i + " reports");
            report(watchers.get(i), 1, List.of("p4"));
        }
        assertEquals(11L, shown().get("view"));
        assertEquals(410, report("p4", 1, List.of()));
    }

    /** Guards against counting reports of processes that are no watchers, and reports that were withdrawn. */
    @Test
    void onlyWatchersCountAndOnlyWhileTheySaySo() {
        ten();
        List<String> watchers = watchersOf("p4");
        for (int i = 0; i < 10; i++) {
            if (!watchers.contains("p" + i) && i != 4) {
                report("p" + i, 1, List.of("p4"));
            }
        }
        assertEquals(Map.of(), shown().get("reports"));
        for (int i = 0; i < Members.HIGH - 1; i++) {
            report(watchers.get(i), 1, List.of("p4"));
        }
        report(watchers.get(0), 1, List.of());
        report(watchers.get(Members.HIGH - 1), 1, List.of("p4"));
        assertEquals(10L, shown().get("view"));
    }

    @Test
    void moreThanHalfNeverGoAtOnce() {
        for (int i = 0; i < 3; i++) {
            join("p" + i, "z", 1);
        }
        report("p0", 1, List.of("p1", "p2"));
        assertTrue(report("p1", 1, List.of("p0", "p2")) == 200);
        report("p2", 1, List.of("p0", "p1"));
        assertTrue(((List<?>) shown().get("members")).size() >= 2, shown().toString());
    }

    @Test
    void whatWasKnownOutlastsASnapshot() {
        ten();
        report(watchersOf("p4").get(0), 1, List.of("p4"));
        Catalogue copy = new Catalogue();
        copy.restore(Json.parse(Json.encode(catalogue.state())));
        assertEquals(Json.encode(catalogue.state()), Json.encode(copy.state()));
    }

    @Test
    void whoWatchesWhomHangsOnTheViewAlone() {
        List<Members.Member> view = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            view.add(new Members.Member("p" + i, "agent", "z" + i % 4, "", 1, ""));
        }
        Map<String, List<String>> before = Members.watching(view);
        List<Members.Member> other = new ArrayList<>(view);
        java.util.Collections.shuffle(other, new Random(1));
        assertEquals(before, Members.watching(other));
        Map<String, Integer> watched = new TreeMap<>();
        before.values().forEach(all -> all.forEach(by -> watched.merge(by, 1, Integer::sum)));
        assertTrue(watched.values().stream().mapToInt(Integer::intValue).max().orElse(0) <= 3 * Members.WATCHERS,
                watched.toString());
        other.removeIf(member -> member.name().equals("p7"));
        Map<String, List<String>> after = Members.watching(other);
        long moved = after.entrySet().stream().filter(each -> !before.get(each.getKey()).contains("p7")
                && !before.get(each.getKey()).equals(each.getValue())).count();
        assertEquals(0, moved);
    }

    // ---- failure detectors in simulated time

    private static final long SECOND = 1_000_000;

    private static final class Process {
        private final String name;
        private final Detector detector;
        private boolean dead;
        private Detector.Opinion told = new Detector.Opinion(Set.of(), false);

        Process(String name) {
            this.name = name;
            detector = new Detector(name, SECOND);
        }
    }

    /** Result of a simulation. */
    private record Shown(int removedAlive, List<Long> millis, int changes, double messages) { }

    /** Simulates members in four zones. A call is lost with probability {@code loss} in each direction;
        {@code cutPercent} of all directed pairs never reach each other; the victims die after 20 s. */
    private static Shown play(long seed, int count, double loss, int cuts, Set<String> victims, int seconds) {
        Random random = new Random(seed);
        Catalogue log = new Catalogue();
        Map<String, Process> processes = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            String name = String.format("p%04d", i);
            processes.put(name, new Process(name));
            log.apply(Catalogue.command("join", "name", name, "role", "agent", "zone", "z" + i % 4, "incarnation", 1, "version",
                    "1"));
        }
        Set<String> present = new HashSet<>(processes.keySet());
        int removedAlive = 0;
        int changes = 0;
        long calls = 0;
        List<Long> millis = new ArrayList<>();
        Object view = null;
        for (int second = 0; second < seconds; second++) {
            long now = second * SECOND;
            Map<String, Object> shown = log.apply(Catalogue.command("read", "what", "members")).answer();
            if (!shown.get("view").equals(view)) {
                view = shown.get("view");
                List<Members.Member> members = ((List<?>) shown.get("members")).stream()
                        .map(each -> Members.Member.of((Map<?, ?>) each)).toList();
                processes.values().forEach(process -> process.detector.take(now, (Long) shown.get("view"), members));
            }
            if (second == 20) {
                victims.forEach(name -> processes.get(name).dead = true);
            }
            for (Process process : processes.values()) {
                if (process.dead || !present.contains(process.name)) {
                    continue;
                }
                for (String subject : process.detector.turn(now)) {
                    calls++;
                    long at = now + random.nextInt(200_000);
                    boolean cut = Math.floorMod((process.name + subject).hashCode(), 100) < cuts;
                    if (!processes.get(subject).dead && !cut && random.nextDouble() >= loss && random.nextDouble() >= loss) {
                        process.detector.heard(at, subject);
                    }
                }
                Detector.Opinion opinion = process.detector.opinion(now + SECOND);
                if (!opinion.equals(process.told)) {
                    process.told = opinion;
                    log.apply(Catalogue.command("report", "name", process.name, "incarnation", 1, "silent",
                            List.copyOf(opinion.silent()), "deaf", opinion.deaf()));
                }
            }
            log.apply(Catalogue.command("tick", "elapsed", 1000));
            Set<String> next = new HashSet<>();
            ((List<?>) log.apply(Catalogue.command("read", "what", "members")).answer().get("members")).forEach(each ->
                    next.add(((Map<?, ?>) each).get("name").toString()));
            changes += next.equals(present) ? 0 : 1;
            for (String name : present) {
                if (!next.contains(name)) {
                    removedAlive += processes.get(name).dead ? 0 : 1;
                    millis.add((second + 1 - 20) * 1000L);
                }
            }
            present = next;
        }
        return new Shown(removedAlive, millis, changes, calls / (double) seconds / count);
    }

    private static Set<String> zone(int count, int zone) {
        Set<String> names = new TreeSet<>();
        for (int i = zone; i < count; i += 4) {
            names.add(String.format("p%04d", i));
        }
        return names;
    }

    @Test
    void nobodyAliveIsRemovedUnderLossOrCutsAndTheDeadAreSoonGone() {
        int count = Integer.getInteger("members.count", 100);
        for (double loss : new double[] {0, 0.01, 0.05, 0.2}) {
            for (int cuts : new int[] {0, 10}) {
                Shown shown = play(1, count, loss, cuts, Set.of("p0003", "p0040"), 60);
                String what = "loss " + loss + ", cuts " + cuts + "%: " + shown;
                System.out.println("members " + count + ", " + what);
                assertEquals(0, shown.removedAlive, what);
                assertEquals(2, shown.millis.size(), what);
                assertTrue(loss > 0.05 || shown.millis.stream().allMatch(each -> each <= 5000), what);
            }
        }
    }

    @Test
    void aZoneThatIsLostLeavesInAtMostTwoChanges() {
        int count = Integer.getInteger("members.count", 100);
        Shown shown = play(2, count, 0.01, 0, zone(count, 1), 60);
        assertEquals(count / 4, shown.millis.size(), shown.toString());
        assertTrue(shown.changes <= 2, shown.toString());
        assertEquals(0, shown.removedAlive, shown.toString());
    }

    /** Baseline for comparison: one heartbeat per second to a central place, removal after three missed ones. */
    @Test
    void aFixedTimeOutRemovesTheLivingUnderLoss() {
        Random random = new Random(1);
        int removed = 0;
        int[] missed = new int[100];
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < missed.length; i++) {
                missed[i] = random.nextDouble() < 0.2 ? missed[i] + 1 : 0;
                removed += missed[i] == 3 ? 1 : 0;
            }
        }
        System.out.println("members 100, loss 0.2, fixed timeout of 3 s: " + removed + " removed alive in 60 s");
        assertTrue(removed > 10, Integer.toString(removed));
    }
}
