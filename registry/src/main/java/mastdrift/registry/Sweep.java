package mastdrift.registry;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Work of the duty {@code sweep}: probes stale entries, which were kept after their leases expired because too many
 * would have gone at once, one by one, and removes those whose hosts don't accept connections. A zone that was only
 * partitioned from the service keeps its entries; one that is down loses them gradually. The duty's state holds, for
 * each entry, its revision, its consecutive failed probes and the turn of its last probe.
 */
final class Sweep implements DutyWork {

    /** Access to the entries of the list service and to the hosts. */
    interface Entries {

        /** Describes all entries. */
        List<Map<String, Object>> all() throws IOException;

        /** Whether the endpoint accepts a connection. */
        boolean answers(String endpoint);

        /** Removes an entry if it still has that revision and the token is the newest; returns whether it did. */
        boolean remove(String uid, long rev, long token) throws IOException;
    }

    /** Consecutive failed probes after which an entry is removed; other stale entries are probed in between. */
    static final int LOOKS = 3;

    private final Entries entries;

    Sweep(Entries entries) {
        this.entries = entries;
    }

    /** Probes one entry per step: the stale one whose last probe is the longest ago. */
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

    /** A field of the entry's probe record: 1 for its failed probes, 2 for the turn of its last probe; 0 if the record
        is of an older revision, as a host that registered again starts afresh. */
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
            looks = 0;  // the host is up, only its renewals don't arrive
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
