package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mastdrift.rig.History.Event;

/** One holder at a time, and tokens that only grow: events {@code granted} and {@code effect} with {@code lease} and
    {@code token}, both as the log and those who are acted on accepted them; an effect may have a {@code step}, which takes
    place once. */
final class HolderCheck implements Check {

    @Override
    public Verdict look(History history) {
        List<String> breaches = new ArrayList<>();
        Map<String, String> holders = new HashMap<>();
        Map<String, Event> newest = new HashMap<>();
        Map<String, Event> steps = new HashMap<>();
        for (Event event : history.events()) {
            String lease = event.text("lease");
            long token = event.number("token", 0);
            if (event.op().equals("granted")) {
                String other = holders.putIfAbsent(lease + "#" + token, event.by());
                if (other != null && !other.equals(event.by())) {
                    breaches.add("token " + token + " of " + lease + " was given to " + other + " and to " + event.by());
                }
            } else if (event.op().equals("effect")) {
                Event before = newest.get(lease);
                if (before != null && token < before.number("token", 0)) {
                    breaches.add(event.by() + " had an effect with token " + token + " of " + lease + " after "
                            + before.by() + " had one with " + before.number("token", 0));
                } else {
                    newest.put(lease, event);
                }
                String step = event.text("step");
                Event twin = step == null ? null : steps.put(lease + "#" + step, event);
                if (twin != null) {
                    breaches.add("step " + step + " of " + lease + " took place with " + twin.by() + " and with " + event.by());
                }
            }
        }
        return Verdict.of("holders", breaches);
    }
}
