package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.rig.History.Event;

/** Checks that no acknowledged write is lost: the final read of each entry (event {@code final}) has the newest
    acknowledged write, or one whose outcome is unknown; and that no revision was assigned twice. */
final class AcknowledgedCheck implements Check {

    @Override
    public Verdict evaluate(History history) {
        List<String> breaches = new ArrayList<>();
        Map<String, Event> newest = new HashMap<>();
        Map<String, Set<String>> unknownWrites = new HashMap<>();
        Map<Long, Event> byRevision = new HashMap<>();
        for (Event event : history.events()) {
            if (!event.op().equals("put") && !event.op().equals("cas")) {
                continue;
            }
            String key = event.text("key");
            if (!event.isKnown()) {
                unknownWrites.computeIfAbsent(key, k -> new HashSet<>()).add(event.text("value"));
            } else if (Boolean.TRUE.equals(event.facts().get("ok"))) {
                Event other = byRevision.put(event.number("rev", 0), event);
                if (other != null) {
                    breaches.add("revision " + event.number("rev", 0) + " was given to " + other.text("value") + " and to "
                            + event.text("value"));
                }
                newest.merge(key, event, (a, b) -> a.number("rev", 0) > b.number("rev", 0) ? a : b);
            }
        }
        Map<String, Event> finalReads = new HashMap<>();
        history.events("final").forEach(event -> finalReads.put(event.text("key"), event));
        newest.forEach((key, write) -> {
            Event read = finalReads.get(key);
            if (finalReads.isEmpty()) {
                breaches.add("there is no last read");
            } else if (read == null || !write.text("value").equals(read.text("value"))
                    && !unknownWrites.getOrDefault(key, Set.of()).contains(read.text("value"))) {
                breaches.add("acknowledged write " + write.text("value") + " of " + key + ", revision " + write.number("rev", 0)
                        + ", is lost: there is " + (read == null ? "nothing" : read.text("value")));
            }
        });
        return Verdict.of("acknowledged", breaches);
    }
}
