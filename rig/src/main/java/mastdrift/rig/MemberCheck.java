package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import mastdrift.rig.History.Event;

/** Checks views against the injected faults: no member is removed that no fault has affected, and at the end the newest
    view has exactly the running members. */
final class MemberCheck implements Check {

    /** A fault explains a removal for so long after its end, since the last report of a silent member may come late. */
    private static final long FAULT_AFTERMATH_MICROS = 6_000_000;

    @Override
    public Verdict evaluate(History history) {
        List<String> breaches = new ArrayList<>();
        TreeMap<Long, Set<String>> views = new TreeMap<>();
        Map<Long, Long> firstSeen = new HashMap<>();
        for (Event event : history.events("view")) {
            long number = event.number("number", 0);
            views.putIfAbsent(number, names(event));
            firstSeen.merge(number, event.start(), Math::min);
        }
        Set<String> previousMembers = Set.of();
        for (Map.Entry<Long, Set<String>> view : views.entrySet()) {
            for (String name : previousMembers) {
                if (!view.getValue().contains(name) && !isExcused(history, name, firstSeen.get(view.getKey()))) {
                    breaches.add(name + " left with view " + view.getKey() + ", and nothing had been done to it");
                }
            }
            previousMembers = view.getValue();
        }
        for (Event alive : history.events("alive")) {
            Set<String> running = new TreeSet<>();
            ((List<?>) alive.facts().get("names")).forEach(name -> running.add(name.toString()));
            running.removeIf(name -> !name.startsWith("member-"));
            Set<String> missing = new TreeSet<>(running);
            missing.removeAll(previousMembers);
            Set<String> unexpected = new TreeSet<>(previousMembers);
            unexpected.removeAll(running);
            missing.forEach(name -> breaches.add(name + " runs, and is not in the last view"));
            unexpected.forEach(name -> breaches.add(name + " is in the last view, and does not run"));
        }
        return Verdict.of("members", breaches);
    }

    private static Set<String> names(Event view) {
        Set<String> names = new HashSet<>();
        ((List<?>) view.facts().get("members")).forEach(each -> names.add(each.toString().split("#")[0]));
        return names;
    }

    private static boolean isExcused(History history, String name, long at) {
        return history.events("fault").stream().anyMatch(fault -> fault.start() <= at
                && (!fault.isKnown() || at <= fault.end() + FAULT_AFTERMATH_MICROS) && !isDelay(fault)
                && (affects(fault, "processes", name) || affects(fault, "others", name)));
    }

    /** A delay explains no removal: a slow member has to be waited for. */
    private static boolean isDelay(Event fault) {
        return "delay".equals(fault.text("kind"));
    }

    private static boolean affects(Event fault, String side, String name) {
        return fault.facts().get(side) instanceof List<?> names && names.contains(name);
    }
}
