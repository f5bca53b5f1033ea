package mastdrift.registry;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sweeper's work: entries whose leases are over and which were kept all the same, since too many would have gone at once,
 * are looked at one by one, and taken off where the host itself does not answer. A zone that was merely cut off from the
 * service keeps its entries; one that died loses them a few at a time. All that it knows is in the duty's state: how often
 * each was seen silent, at which revision.
 */
final class Sweep implements DutyWork {

    /** The list service as the sweeper needs it, and the hosts themselves. */
    interface Entries {

        /** All entries as staff see them. */
        List<Map<String, Object>> all() throws IOException;

        /** Whether somebody accepts a connection there. */
        boolean answers(String endpoint);

        /** Takes it off if it is still at that revision and the token is the newest; false if not. */
        boolean remove(String uid, long rev, long token) throws IOException;
    }

    /** So often a host has to be silent, in looks that others come between. */
    static final int LOOKS = 3;

    private final Entries entries;

    Sweep(Entries entries) {
        this.entries = entries;
    }

    /** One entry a step: the stale one whose last look is longest ago. */
    @Override
    public Step next(Map<String, Object> duty) throws IOException {
        Map<String, Object> state = DutyRunner.state(duty);
        Map<?, ?> seen = state.get("seen") instanceof Map<?, ?> known ? known : Map.of();
        Map<String, Object> next = null;
        long eldest = Long.MAX_VALUE;
        for (Map<String, Object> entry : entries.all()) {
            long turn = fact(seen, entry, 2);
            if (Boolean.TRUE.equals(entry.get("stale")) && turn < eldest) {
                next = entry;
                eldest = turn;
            }
        }
        if (next == null) {
            return null;
        }
        return new Step("look " + (number(state.get("turn")) + 1) + " at " + next.get("uid"), "look", next);
    }

    /** Of what was seen of it: 1 for how often it was silent, 2 for the turn of its last look. Of this revision alone: a host
        that registered anew begins anew. */
    private static long fact(Map<?, ?> seen, Map<String, Object> entry, int which) {
        return seen.get(entry.get("uid")) instanceof List<?> facts && number(facts.get(0)) == number(entry.get("rev"))
                ? number(facts.get(which)) : 0;
    }

    private static long number(Object value) {
        return value instanceof Number number ? number.longValue() : 0;
    }

    @Override
    public Map<String, Object> act(Step step, Map<String, Object> state, long token, Held held) throws IOException {
        Map<String, Object> after = new LinkedHashMap<>(state);
        Map<String, Object> seen = new LinkedHashMap<>();
        if (state.get("seen") instanceof Map<?, ?> known) {
            known.forEach((uid, facts) -> seen.put(uid.toString(), facts));
        }
        Map<String, Object> entry = step.facts();
        String uid = entry.get("uid").toString();
        long turn = number(state.get("turn")) + 1;
        long looks = fact(seen, entry, 1) + 1;
        if (entries.answers(entry.get("endpoint").toString())) {
            looks = 0;  // it serves: it is we who don't hear of it
        }
        if (looks >= LOOKS) {
            held.check();
            entries.remove(uid, number(entry.get("rev")), token);
            seen.remove(uid);
        } else {
            seen.put(uid, List.of(number(entry.get("rev")), looks, turn));
        }
        after.put("seen", seen);
        after.put("turn", turn);
        return after;
    }
}
