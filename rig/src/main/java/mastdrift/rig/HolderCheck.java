package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mastdrift.rig.History.Event;

/** Checks leases: one holder at a time, and fencing tokens that never decrease. Events {@code granted} (from the log)
    and {@code effect} (as accepted by the target) have {@code lease} and {@code token}; an effect may have a
    {@code step}, which must take place only once. */
final class HolderCheck implements Check {

    @Override
    public Verdict evaluate(History history) {
        List<String> breaches = new ArrayList<>();
        Map<String, String> holders = new HashMap<>();
        Map<String, Event> latestEffects = new HashMap<>();
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
                Event before = latestEffects.get(lease);
                if (before != null && token < before.number("token", 0)) {
                    breaches.add(event.by() + " had an effect with token " + token + " of " + lease + " after "
                            + before.by() + " had one with " + before.number("token", 0));
                } else {
                    latestEffects.put(lease, event);
                }
                String step = event.text("step");
                Event earlier = step == null ? null : steps.put(lease + "#" + step, event);
                if (earlier != null) {
                    breaches.add("step " + step + " of " + lease + " took place with " + earlier.by() + " and with "
                            + event.by());
                }
            }
        }
        return Verdict.of("holders", breaches);
    }
}
