package mastdrift.registry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntBinaryOperator;
import org.apache.commons.codec.digest.MurmurHash3;

/** The replicated membership: numbered views of the present members, and the watchers' reports of unreachable ones.
    Part of {@link RegistryState} and guarded by its lock; see docs/members.md. */
final class Members {

    /** A member process; the incarnation tells its starts apart, the address is the one that watchers call. */
    record Member(String name, String role, String zone, String address, long incarnation, String version) {

        static Member of(Map<?, ?> shown) {
            return new Member(shown.get("name").toString(), shown.get("role").toString(), shown.get("zone").toString(),
                    Objects.toString(shown.get("address"), ""), ((Number) shown.get("incarnation")).longValue(),
                    shown.get("version").toString());
        }

        Map<String, Object> shown() {
            Map<String, Object> shown = new LinkedHashMap<>();
            shown.put("name", name);
            shown.put("role", role);
            shown.put("zone", zone);
            shown.put("address", address);
            shown.put("incarnation", incarnation);
            shown.put("version", version);
            return shown;
        }
    }

    /** Number of watchers of each member, if there are that many other members. */
    static final int WATCHERS = 8;
    /** Reports that remove a member; scaled down if it has fewer watchers. */
    static final int HIGH = 6;
    /** Reports that make a member suspect; scaled down if it has fewer watchers. */
    static final int LOW = 3;
    /** How long, in log time, a member that is suspect but not removable holds up the removal of others. */
    static final long OPEN_MILLIS = 10_000;
    /** Added to the view number on restore; more views than there are between two backups. */
    static final long RESTORED_JUMP = 1_000_000;
    /** Number of view changes that are kept for operators. */
    static final int EVENTS_KEPT = 200;

    /** A change of the view: which members joined or left, how, and by whose reports. */
    private record Change(long view, String how, List<String> members, List<String> by) {

        Map<String, Object> shown() {
            Map<String, Object> shown = new LinkedHashMap<>();
            shown.put("view", view);
            shown.put("how", how);
            shown.put("members", members);
            shown.put("by", by);
            return shown;
        }
    }

    private final Deque<Change> changes = new ArrayDeque<>();
    private final Map<String, Member> present = new TreeMap<>();
    private final Map<String, Long> gone = new TreeMap<>();  // of members that have left
    private final Map<String, Set<String>> reports = new TreeMap<>();  // reporting watchers, by the member that they report
    private final Map<String, Long> openSince = new TreeMap<>();
    private final Set<String> deaf = new TreeSet<>();
    private Map<String, List<String>> watchers;  // of the current view, computed on demand; null if not yet
    private long view;
    private final IntBinaryOperator mark;

    /** {@code scaledThreshold} scales a threshold for {@link #WATCHERS_PER_MEMBER} watchers to the actual number. */
    Members(IntBinaryOperator mark) {
        this.mark = mark;
    }

    long view() {
        return view;
    }

    Collection<Member> present() {
        return present.values();
    }

    /** Applies a command on members; returns null for other commands. */
    Catalogue.Applied apply(Map<String, Object> command, long time, List<String> news) {
        String name = Objects.toString(command.get("name"));
        long incarnation = Catalogue.number(command, "incarnation", 0);
        switch (Objects.toString(command.get("do"))) {
            case "join" -> {
                return join(new Member(name, Objects.toString(command.get("role"), ""), Objects.toString(command.get("zone"), ""),
                        Objects.toString(command.get("address"), ""), incarnation, Objects.toString(command.get("version"), "")), news);
            }
            case "leave" -> {
                Catalogue.Applied refused = refused(name, incarnation, news);
                if (refused != null) {
                    return refused;
                }
                change(List.of(name), "left", news);
                return told(news);
            }
            case "report" -> {
                Catalogue.Applied refused = refused(name, incarnation, news);
                return refused != null ? refused : report(name, command, time, news);
            }
            default -> {
                return null;
            }
        }
    }

    private Catalogue.Applied join(Member member, List<String> news) {
        if (member.name.isBlank() || member.incarnation <= 0) {
            throw new IllegalArgumentException("join needs a name and an incarnation above 0");
        }
        Member before = present.get(member.name);
        long known = before != null ? before.incarnation : gone.getOrDefault(member.name, 0L);
        if (member.equals(before)) {
            return told(news);
        }
        if (member.incarnation <= known) {
            news.add("member-refused " + member.name + " incarnation " + member.incarnation + ", there was " + known);
            return new Catalogue.Applied(409, Map.of("error", "this name has had incarnation " + known, "incarnation", known,
                    "view", view), news);
        }
        present.put(member.name, member);
        gone.remove(member.name);
        turned(member.name);
        remember("joined", List.of(member.name), List.of());
        news.add("view " + view + ": joined " + member.name + "#" + member.incarnation);
        return told(news);
    }

    /** Error result for a sender that was removed or whose name has a newer incarnation; null if the sender is current.
        */
    private Catalogue.Applied refused(String name, long incarnation, List<String> news) {
        Member member = present.get(name);
        if (member != null && member.incarnation == incarnation) {
            return null;
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", member == null ? "not a member" : "incarnation " + member.incarnation + " is");
        answer.put("view", view);
        return new Catalogue.Applied(member == null ? 410 : 409, answer, news);
    }

    private Catalogue.Applied told(List<String> news) {
        return new Catalogue.Applied(200, Map.of("view", view), news);
    }

    /** Takes a watcher's complete report: which of the members that it watches don't answer it; {@code deaf} if none
        does. */
    private Catalogue.Applied report(String by, Map<String, Object> command, long time, List<String> news) {
        Set<String> silent = new TreeSet<>();
        if (command.get("silent") instanceof List<?> names) {
            names.forEach(each -> silent.add(each.toString()));
        }
        if (Boolean.TRUE.equals(command.get("deaf"))) {
            deaf.add(by);
            silent.clear();
        } else {
            deaf.remove(by);
        }
        watchers().forEach((subject, watching) -> {
            if (watching.contains(by)) {
                if (silent.contains(subject)) {
                    reports.computeIfAbsent(subject, s -> new TreeSet<>()).add(by);
                } else if (reports.containsKey(subject)) {
                    reports.get(subject).remove(by);
                }
            }
        });
        reports.values().removeIf(Set::isEmpty);
        decide(time, news);
        return told(news);
    }

    /** Number of watchers that count against a member. For a suspect member, watchers that are suspect themselves count
        too: they may be down and then never report. For other members they don't, as that would only make more members
        suspect. */
    private int against(String subject, Set<String> suspects) {
        Set<String> reporting = reports.getOrDefault(subject, Set.of());
        if (!suspects.contains(subject)) {
            return reporting.size();
        }
        return (int) watchers().getOrDefault(subject, List.of()).stream()
                .filter(by -> reporting.contains(by) || suspects.contains(by)).count();
    }

    private void decide(long time, List<String> news) {
        Set<String> suspects = new TreeSet<>();
        reports.forEach((subject, by) -> {
            if (by.size() >= mark.applyAsInt(LOW, watchers().getOrDefault(subject, List.of()).size())) {
                suspects.add(subject);
            }
        });
        List<String> sure = new ArrayList<>();
        List<String> open = new ArrayList<>();
        for (String subject : reports.keySet()) {
            int watching = watchers().getOrDefault(subject, List.of()).size();
            int against = against(subject, suspects);
            if (against >= mark.applyAsInt(HIGH, watching)) {
                sure.add(subject);
            } else if (against >= mark.applyAsInt(LOW, watching)) {
                open.add(subject);
            }
        }
        openSince.keySet().retainAll(open);
        open.forEach(subject -> openSince.putIfAbsent(subject, time));
        // A member that stays suspect has a problem with a few watchers only: it no longer holds up others and isn't removed.
        open.removeIf(subject -> time - openSince.get(subject) >= OPEN_MILLIS);
        if (sure.isEmpty() || !open.isEmpty()) {
            return;
        }
        if (2 * sure.size() > present.size()) {
            news.add("members-held " + sure.size() + " of " + present.size() + " would go at once");
            return;
        }
        change(sure, "removed", news);
    }

    /** Re-evaluates reports in log time, so that members suspect for too long no longer hold up removals. */
    void tick(long time, List<String> news) {
        if (!openSince.isEmpty()) {
            decide(time, news);
        }
    }

    private void change(List<String> leaving, String how, List<String> news) {
        Set<String> by = new TreeSet<>();
        leaving.forEach(name -> by.addAll(reports.getOrDefault(name, Set.of())));
        leaving.forEach(name -> gone.put(name, present.remove(name).incarnation));
        leaving.forEach(this::forget);
        turned(null);
        remember(how, leaving, how.equals("removed") ? by : Set.of());
        news.add("view " + view + ": " + how + " " + String.join(" ", leaving));
    }

    private void remember(String how, Collection<String> who, Collection<String> by) {
        changes.add(new Change(view, how, List.copyOf(who), List.copyOf(by)));
        if (changes.size() > EVENTS_KEPT) {
            changes.poll();
        }
    }

    private void forget(String name) {
        reports.remove(name);
        reports.values().forEach(by -> by.remove(name));
        reports.values().removeIf(Set::isEmpty);
        openSince.remove(name);
        deaf.remove(name);
    }

    /** Starts a new view and drops the reports of members that are no longer watchers of their subjects. */
    private void turned(String fresh) {
        view++;
        if (fresh != null) {
            forget(fresh);
        }
        watchers = null;
        if (!reports.isEmpty()) {
            reports.forEach((subject, by) -> by.retainAll(watchers().getOrDefault(subject, List.of())));
            reports.values().removeIf(Set::isEmpty);
        }
    }

    /** Watchers of each member in the current view. */
    Map<String, List<String>> watchers() {
        watchers = watchers == null ? watching(present.values()) : watchers;
        return watchers;
    }

    private record Weighed(Member of, long weight) { }

    /** Assigns watchers to each member of a view by rendezvous hashing; the result depends on the view alone. */
    static Map<String, List<String>> watching(Collection<Member> view) {
        Map<String, List<String>> watching = new HashMap<>();
        for (Member subject : view) {
            Map<String, List<Member>> byZone = new TreeMap<>();
            view.stream().filter(other -> !other.name.equals(subject.name))
                    .map(other -> new Weighed(other, weight(other.name, subject.name)))
                    .sorted(Comparator.comparingLong(Weighed::weight))
                    .forEach(other -> byZone.computeIfAbsent(other.of.zone, z -> new ArrayList<>()).add(other.of));
            // Watchers come from the zones in turn; the order of zones is hashed for each member.
            List<List<Member>> zones = new ArrayList<>(byZone.values());
            zones.sort(Comparator.comparingLong(zone -> weight(zone.get(0).zone, subject.name)));
            List<String> chosen = new ArrayList<>();
            for (int round = 0; chosen.size() < WATCHERS && chosen.size() < view.size() - 1; round++) {
                for (List<Member> zone : zones) {
                    if (round < zone.size() && chosen.size() < WATCHERS) {
                        chosen.add(zone.get(round).name);
                    }
                }
            }
            watching.put(subject.name, chosen);
        }
        return watching;
    }

    private static long weight(String of, String with) {
        return MurmurHash3.hash128x64((of + '\0' + with).getBytes(StandardCharsets.UTF_8))[0];
    }

    /** The current view with its reports and recent events. */
    Map<String, Object> shown() {
        Map<String, Object> shown = new LinkedHashMap<>();
        shown.put("view", view);
        shown.put("members", present.values().stream().map(Member::shown).toList());
        Map<String, Object> why = new TreeMap<>();
        reports.forEach((subject, by) -> why.put(subject, List.copyOf(by)));
        shown.put("reports", why);
        shown.put("deaf", List.copyOf(deaf));
        shown.put("events", changes.stream().map(Change::shown).toList());
        return shown;
    }

    Map<String, Object> state() {
        Map<String, Object> state = shown();
        state.put("gone", new TreeMap<>(gone));
        state.put("open", new TreeMap<>(openSince));
        return state;
    }

    /** Restores what {@link #state} returned; null for a snapshot from before membership existed. */
    void restore(Map<?, ?> state) {
        present.clear();
        gone.clear();
        reports.clear();
        openSince.clear();
        deaf.clear();
        changes.clear();
        view = 0;
        if (state != null) {
            ((List<?>) state.get("members")).forEach(each -> {
                Member member = Member.of((Map<?, ?>) each);
                present.put(member.name, member);
            });
            ((Map<?, ?>) state.get("gone")).forEach((name, last) -> gone.put(name.toString(), ((Number) last).longValue()));
            ((Map<?, ?>) state.get("reports")).forEach((subject, by) -> {
                Set<String> all = new TreeSet<>();
                ((List<?>) by).forEach(each -> all.add(each.toString()));
                reports.put(subject.toString(), all);
            });
            ((Map<?, ?>) state.get("open")).forEach((name, at) -> openSince.put(name.toString(), ((Number) at).longValue()));
            ((List<?>) state.get("deaf")).forEach(each -> deaf.add(each.toString()));
            if (state.get("events") instanceof List<?> known) {
                known.forEach(each -> {
                    Map<?, ?> change = (Map<?, ?>) each;
                    changes.add(new Change(((Number) change.get("view")).longValue(), change.get("how").toString(),
                            texts(change.get("members")), texts(change.get("by"))));
                });
            }
            view = ((Number) state.get("view")).longValue();
        }
        watchers = null;
    }

    private static List<String> texts(Object list) {
        return ((List<?>) list).stream().map(Object::toString).toList();
    }

    /** Raises the view number after a restore above any view seen since the backup. */
    void jump() {
        view += RESTORED_JUMP;
    }
}
