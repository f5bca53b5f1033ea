package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mastdrift.rig.History.Event;

/** Checks a rolling restart: it ends as done or aborted; no two gateways are out of service at once; each replica
    records a step once, with fencing tokens that never decrease. Events {@code standby} are moments at which a gateway
    reported standby, {@code recorded} are from a replica's log. */
final class RollCheck implements Check {

    // Reports of standby closer than this are one period out of service.
    private static final long NEW_STANDBY_GAP_MICROS = 1_000_000;

    @Override
    public Verdict evaluate(History history) {
        List<String> breaches = new ArrayList<>();
        List<Event> rollEvents = history.events("roll");
        if (rollEvents.isEmpty() || !rollEvents.get(0).text("phase").equals("done")
                && !rollEvents.get(0).text("phase").equals("aborted")) {
            breaches.add("the roll did not end: "
                    + (rollEvents.isEmpty() ? "phase unknown" : rollEvents.get(0).text("phase")));
        }
        Map<String, Long> standbySince = new HashMap<>();
        Map<String, Long> lastSeen = new HashMap<>();
        for (Event event : history.events("standby")) {
            if (event.start() - lastSeen.getOrDefault(event.by(), Long.MIN_VALUE / 2) > NEW_STANDBY_GAP_MICROS) {
                standbySince.put(event.by(), event.start());
            }
            lastSeen.put(event.by(), event.start());
            lastSeen.forEach((other, lastAt) -> {
                // They overlap if the one that went out first still reports standby after the other has begun to.
                boolean wentFirst = standbySince.get(event.by()) < standbySince.getOrDefault(other, Long.MAX_VALUE);
                boolean overlaps = wentFirst ? event.start() > standbySince.get(other)
                        : lastAt > standbySince.get(event.by());
                if (!other.equals(event.by()) && overlaps) {
                    breaches.add(other + " and " + event.by() + " were out at once");
                }
            });
        }
        Map<String, Event> steps = new HashMap<>();
        Map<String, Long> tokens = new HashMap<>();
        for (Event event : history.events("recorded")) {
            String replica = event.text("replica");
            Event before = steps.putIfAbsent(replica + " " + event.text("step"), event);
            if (before != null && before.number("token", 0) != event.number("token", 0)) {
                breaches.add("step " + event.text("step") + " was recorded with two tokens at " + replica);
            }
            long newest = tokens.merge(replica, event.number("token", 0), Math::max);
            if (before == null && event.number("token", 0) < newest) {
                breaches.add("step " + event.text("step") + " was recorded with an older token at " + replica);
            }
        }
        return Verdict.of("roll", breaches);
    }
}
