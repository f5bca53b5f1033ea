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
final class MembershipState {

    /** A member process; the incarnation tells its starts apart, the address is the one that watchers call. */
    record Member(String name, String role, String zone, String address, long incarnation, String version) {

        static Member parse(Map<?, ?> fields) {
            return new Member(fields.get("name").toString(), fields.get("role").toString(), fields.get("zone")
                    .toString(),
                    Objects.toString(fields.get("address"), ""), ((Number) fields.get("incarnation")).longValue(),
                    fields.get("version").toString());
        }

        Map<String, Object> toMap() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("name", name);
            fields.put("role", role);
            fields.put("zone", zone);
            fields.put("address", address);
            fields.put("incarnation", incarnation);
            fields.put("version", version);
            return fields;
        }
    }

    /** Number of watchers of each member, if there are that many other members. */
    static final int WATCHERS_PER_MEMBER = 8;
    /** Reports that remove a member; scaled down if it has fewer watchers. */
    static final int REMOVAL_REPORTS = 6;
    /** Reports that make a member suspect; scaled down if it has fewer watchers. */
    static final int SUSPECT_REPORTS = 3;
    /** How long, in log time, a member that is suspect but not removable holds up the removal of others. */
    static final long MAX_SUSPECT_MILLIS = 10_000;
    /** Added to the view number on restore; more views than there are between two backups. */
    static final long RESTORE_VIEW_GAP = 1_000_000;
    /** Number of view changes that are kept for operators. */
    static final int MAX_EVENTS = 200;

    /** A change of the view: which members joined or left, how, and by whose reports. */
    private record Event(long view, String how, List<String> members, List<String> by) {

        Map<String, Object> toMap() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("view", view);
            fields.put("how", how);
            fields.put("members", members);
            fields.put("by", by);
            return fields;
        }
    }

    private final Deque<Event> events = new ArrayDeque<>();
    private final Map<String, Member> present = new TreeMap<>();
    private final Map<String, Long> lastIncarnations = new TreeMap<>();  // of members that have left
    // reporting watchers, by the member that they report
    private final Map<String, Set<String>> reportersBySubject = new TreeMap<>();
    private final Map<String, Long> suspectSince = new TreeMap<>();
    private final Set<String> deafWatchers = new TreeSet<>();
    private Map<String, List<String>> watchersBySubject;  // of the current view, computed on demand; null if not yet
    private long view;
    private final IntBinaryOperator scaledThreshold;

    /** {@code scaledThreshold} scales a threshold for {@link #WATCHERS_PER_MEMBER} watchers to the actual number. */
    MembershipState(IntBinaryOperator scaledThreshold) {
        this.scaledThreshold = scaledThreshold;
    }

    long view() {
        return view;
    }

    Collection<Member> present() {
        return present.values();
    }

    /** Applies a command on members; returns null for other commands. */
    RegistryState.CommandResult apply(Map<String, Object> command, long time, List<String> logLines) {
        String name = Objects.toString(command.get("name"));
        long incarnation = RegistryState.longField(command, "incarnation", 0);
        switch (Objects.toString(command.get("do"))) {
            case "join" -> {
                return join(new Member(name, Objects.toString(command.get("role"), ""),
                        Objects.toString(command.get("zone"), ""),
                        Objects.toString(command.get("address"), ""), incarnation,
                        Objects.toString(command.get("version"), "")), logLines);
            }
            case "leave" -> {
                RegistryState.CommandResult refused = staleSenderResult(name, incarnation, logLines);
                if (refused != null) {
                    return refused;
                }
                removeMembers(List.of(name), "left", logLines);
                return viewResult(logLines);
            }
            case "report" -> {
                RegistryState.CommandResult refused = staleSenderResult(name, incarnation, logLines);
                return refused != null ? refused : report(name, command, time, logLines);
            }
            default -> {
                return null;
            }
        }
    }

    private RegistryState.CommandResult join(Member member, List<String> logLines) {
        if (member.name.isBlank() || member.incarnation <= 0) {
            throw new IllegalArgumentException("join needs a name and an incarnation above 0");
        }
        Member current = present.get(member.name);
        long lastIncarnation = current != null ? current.incarnation : lastIncarnations.getOrDefault(member.name, 0L);
        if (member.equals(current)) {
            return viewResult(logLines);
        }
        if (member.incarnation <= lastIncarnation) {
            logLines.add("member-refused " + member.name + " incarnation " + member.incarnation + ", there was "
                    + lastIncarnation);
            return new RegistryState.CommandResult(409, Map.of("error", "this name has had incarnation "
                    + lastIncarnation, "incarnation", lastIncarnation,
                    "view", view), logLines);
        }
        present.put(member.name, member);
        lastIncarnations.remove(member.name);
        startNextView(member.name);
        addEvent("joined", List.of(member.name), List.of());
        logLines.add("view " + view + ": joined " + member.name + "#" + member.incarnation);
        return viewResult(logLines);
    }

    /** Error result for a sender that was removed or whose name has a newer incarnation; null if the sender is
        current. */
    private RegistryState.CommandResult staleSenderResult(String name, long incarnation, List<String> logLines) {
        Member member = present.get(name);
        if (member != null && member.incarnation == incarnation) {
            return null;
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", member == null ? "not a member" : "incarnation " + member.incarnation + " is");
        answer.put("view", view);
        return new RegistryState.CommandResult(member == null ? 410 : 409, answer, logLines);
    }

    private RegistryState.CommandResult viewResult(List<String> logLines) {
        return new RegistryState.CommandResult(200, Map.of("view", view), logLines);
    }

    /** Takes a watcher's complete report: which of the members that it watches don't answer it; {@code deaf} if none
        does. */
    private RegistryState.CommandResult report(String reporter, Map<String, Object> command, long time,
            List<String> logLines) {
        Set<String> silent = new TreeSet<>();
        if (command.get("silent") instanceof List<?> names) {
            names.forEach(each -> silent.add(each.toString()));
        }
        if (Boolean.TRUE.equals(command.get("deaf"))) {
            deafWatchers.add(reporter);
            silent.clear();
        } else {
            deafWatchers.remove(reporter);
        }
        watchersBySubject().forEach((subject, watchers) -> {
            if (watchers.contains(reporter)) {
                if (silent.contains(subject)) {
                    reportersBySubject.computeIfAbsent(subject, s -> new TreeSet<>()).add(reporter);
                } else if (reportersBySubject.containsKey(subject)) {
                    reportersBySubject.get(subject).remove(reporter);
                }
            }
        });
        reportersBySubject.values().removeIf(Set::isEmpty);
        evaluateReports(time, logLines);
        return viewResult(logLines);
    }

    /** Number of watchers that count against a member. For a suspect member, watchers that are suspect themselves count
        too: they may be down and then never report. For other members they don't, as that would only make more members
        suspect. */
    private int reportCount(String subject, Set<String> suspects) {
        Set<String> reporters = reportersBySubject.getOrDefault(subject, Set.of());
        if (!suspects.contains(subject)) {
            return reporters.size();
        }
        return (int) watchersBySubject().getOrDefault(subject, List.of()).stream()
                .filter(by -> reporters.contains(by) || suspects.contains(by)).count();
    }

    private void evaluateReports(long time, List<String> logLines) {
        Set<String> suspects = new TreeSet<>();
        reportersBySubject.forEach((subject, by) -> {
            if (by.size() >= scaledThreshold.applyAsInt(SUSPECT_REPORTS, watchersBySubject()
                    .getOrDefault(subject, List.of()).size())) {
                suspects.add(subject);
            }
        });
        List<String> removable = new ArrayList<>();
        List<String> undecided = new ArrayList<>();
        for (String subject : reportersBySubject.keySet()) {
            int watcherCount = watchersBySubject().getOrDefault(subject, List.of()).size();
            int count = reportCount(subject, suspects);
            if (count >= scaledThreshold.applyAsInt(REMOVAL_REPORTS, watcherCount)) {
                removable.add(subject);
            } else if (count >= scaledThreshold.applyAsInt(SUSPECT_REPORTS, watcherCount)) {
                undecided.add(subject);
            }
        }
        suspectSince.keySet().retainAll(undecided);
        undecided.forEach(subject -> suspectSince.putIfAbsent(subject, time));
        // A member that stays suspect has a problem with a few watchers only: it isn't removed, and it no longer holds
        // up the removal of others.
        undecided.removeIf(subject -> time - suspectSince.get(subject) >= MAX_SUSPECT_MILLIS);
        if (removable.isEmpty() || !undecided.isEmpty()) {
            return;
        }
        if (2 * removable.size() > present.size()) {
            logLines.add("members-held " + removable.size() + " of " + present.size() + " would go at once");
            return;
        }
        removeMembers(removable, "removed", logLines);
    }

    /** Re-evaluates reports in log time, so that members suspect for too long no longer hold up removals. */
    void tick(long time, List<String> logLines) {
        if (!suspectSince.isEmpty()) {
            evaluateReports(time, logLines);
        }
    }

    private void removeMembers(List<String> leaving, String how, List<String> logLines) {
        Set<String> by = new TreeSet<>();
        leaving.forEach(name -> by.addAll(reportersBySubject.getOrDefault(name, Set.of())));
        leaving.forEach(name -> lastIncarnations.put(name, present.remove(name).incarnation));
        leaving.forEach(this::dropReports);
        startNextView(null);
        addEvent(how, leaving, how.equals("removed") ? by : Set.of());
        logLines.add("view " + view + ": " + how + " " + String.join(" ", leaving));
    }

    private void addEvent(String how, Collection<String> names, Collection<String> by) {
        events.add(new Event(view, how, List.copyOf(names), List.copyOf(by)));
        if (events.size() > MAX_EVENTS) {
            events.poll();
        }
    }

    private void dropReports(String name) {
        reportersBySubject.remove(name);
        reportersBySubject.values().forEach(by -> by.remove(name));
        reportersBySubject.values().removeIf(Set::isEmpty);
        suspectSince.remove(name);
        deafWatchers.remove(name);
    }

    /** Starts a new view and drops the reports of members that are no longer watchers of their subjects. */
    private void startNextView(String joined) {
        view++;
        if (joined != null) {
            dropReports(joined);
        }
        watchersBySubject = null;
        if (!reportersBySubject.isEmpty()) {
            reportersBySubject.forEach((subject, by) -> by.retainAll(watchersBySubject()
                    .getOrDefault(subject, List.of())));
            reportersBySubject.values().removeIf(Set::isEmpty);
        }
    }

    /** Watchers of each member in the current view. */
    Map<String, List<String>> watchersBySubject() {
        watchersBySubject = watchersBySubject == null ? assignWatchers(present.values()) : watchersBySubject;
        return watchersBySubject;
    }

    private record WeightedMember(Member member, long weight) { }

    /** Assigns watchers to each member of a view by rendezvous hashing; the result depends on the view alone. */
    static Map<String, List<String>> assignWatchers(Collection<Member> members) {
        Map<String, List<String>> assignment = new HashMap<>();
        for (Member subject : members) {
            Map<String, List<Member>> byZone = new TreeMap<>();
            members.stream().filter(other -> !other.name.equals(subject.name))
                    .map(other -> new WeightedMember(other, weight(other.name, subject.name)))
                    .sorted(Comparator.comparingLong(WeightedMember::weight))
                    .forEach(other -> byZone.computeIfAbsent(other.member.zone, z -> new ArrayList<>())
                    .add(other.member));
            // Watchers come from the zones in turn; the order of zones is hashed for each member.
            List<List<Member>> zones = new ArrayList<>(byZone.values());
            zones.sort(Comparator.comparingLong(zone -> weight(zone.get(0).zone, subject.name)));
            List<String> watchers = new ArrayList<>();
            for (int round = 0; watchers.size() < WATCHERS_PER_MEMBER
                    && watchers.size() < members.size() - 1; round++) {
                for (List<Member> zone : zones) {
                    if (round < zone.size() && watchers.size() < WATCHERS_PER_MEMBER) {
                        watchers.add(zone.get(round).name);
                    }
                }
            }
            assignment.put(subject.name, watchers);
        }
        return assignment;
    }

    private static long weight(String first, String second) {
        return MurmurHash3.hash128x64((first + '\0' + second).getBytes(StandardCharsets.UTF_8))[0];
    }

    /** The current view with its reports and recent events. */
    Map<String, Object> describe() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("view", view);
        fields.put("members", present.values().stream().map(Member::toMap).toList());
        Map<String, Object> reports = new TreeMap<>();
        reportersBySubject.forEach((subject, by) -> reports.put(subject, List.copyOf(by)));
        fields.put("reports", reports);
        fields.put("deaf", List.copyOf(deafWatchers));
        fields.put("events", events.stream().map(Event::toMap).toList());
        return fields;
    }

    Map<String, Object> state() {
        Map<String, Object> state = describe();
        state.put("gone", new TreeMap<>(lastIncarnations));
        state.put("open", new TreeMap<>(suspectSince));
        return state;
    }

    /** Restores what {@link #state} returned; null for a snapshot from before membership existed. */
    void restore(Map<?, ?> state) {
        present.clear();
        lastIncarnations.clear();
        reportersBySubject.clear();
        suspectSince.clear();
        deafWatchers.clear();
        events.clear();
        view = 0;
        if (state != null) {
            ((List<?>) state.get("members")).forEach(each -> {
                Member member = Member.parse((Map<?, ?>) each);
                present.put(member.name, member);
            });
            ((Map<?, ?>) state.get("gone")).forEach((name, last) -> lastIncarnations.put(name.toString(),
                    ((Number) last).longValue()));
            ((Map<?, ?>) state.get("reports")).forEach((subject, by) -> {
                Set<String> reporters = new TreeSet<>();
                ((List<?>) by).forEach(each -> reporters.add(each.toString()));
                reportersBySubject.put(subject.toString(), reporters);
            });
            ((Map<?, ?>) state.get("open")).forEach((name, at) -> suspectSince.put(name.toString(), ((Number) at)
                    .longValue()));
            ((List<?>) state.get("deaf")).forEach(each -> deafWatchers.add(each.toString()));
            if (state.get("events") instanceof List<?> eventMaps) {
                eventMaps.forEach(each -> {
                    Map<?, ?> event = (Map<?, ?>) each;
                    events.add(new Event(((Number) event.get("view")).longValue(), event.get("how").toString(),
                            stringList(event.get("members")), stringList(event.get("by"))));
                });
            }
            view = ((Number) state.get("view")).longValue();
        }
        watchersBySubject = null;
    }

    private static List<String> stringList(Object list) {
        return ((List<?>) list).stream().map(Object::toString).toList();
    }

    /** Raises the view number after a restore above any view seen since the backup. */
    void skipViews() {
        view += RESTORE_VIEW_GAP;
    }
}
