package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.rig.History.Event;

/** Checks views (events {@code view} with {@code number} and {@code members}): a number has one content, no member goes
    back to an older view, and within {@code within_ms} of the event {@code healed} all members that are {@code alive}
    at the end have the newest view. Views that nobody had {@code lag_ms} before that bound are not required. */
final class ViewCheck implements Check {

    @Override
    public Verdict evaluate(History history) {
        List<String> breaches = new ArrayList<>();
        Map<Long, Event> firstByNumber = new HashMap<>();
        Map<String, Long> latestByMember = new HashMap<>();
        Set<String> processes = new HashSet<>();
        Event healed = null;
        Map<String, Long> atBound = new HashMap<>();
        long newest = 0;
        for (Event event : history.events()) {
            if (event.op().equals("healed")) {
                healed = event;
            }
            if (!event.op().equals("view")) {
                continue;
            }
            processes.add(event.by());
            long number = event.number("number", 0);
            Event before = firstByNumber.putIfAbsent(number, event);
            if (before != null && !before.facts().get("members").equals(event.facts().get("members"))) {
                breaches.add("view " + number + " has two contents, one with " + before.by() + " and one with " + event.by());
            }
            Long last = latestByMember.put(event.by(), number);
            if (last != null && number < last) {
                breaches.add(event.by() + " went back from view " + last + " to " + number);
            }
            long bound = healed == null ? Long.MAX_VALUE : healed.start() + healed.number("within_ms", 0) * 1000;
            if (event.start() <= bound) {
                atBound.put(event.by(), number);
            }
            if (healed == null || event.start() <= bound - healed.number("lag_ms", 0) * 1000) {
                newest = Math.max(newest, number);
            }
        }
        history.events("alive").forEach(event -> processes.retainAll((List<?>) event.facts().get("names")));
        if (healed != null) {
            for (String by : processes) {
                if (atBound.getOrDefault(by, 0L) < newest) {
                    breaches.add(by + " had view " + atBound.get(by) + " when others had " + newest + ", "
                            + healed.number("within_ms", 0) + " ms after the healing");
                }
            }
        }
        return Verdict.of("views", breaches);
    }
}
