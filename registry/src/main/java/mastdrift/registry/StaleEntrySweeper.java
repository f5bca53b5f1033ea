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
final class StaleEntrySweeper implements DutyWork {

    /** Access to the entries of the list service and to the hosts. */
    interface EntryService {

        /** Describes all entries. */
        List<Map<String, Object>> list() throws IOException;

        /** Whether the endpoint accepts a connection. */
        boolean acceptsConnection(String endpoint);

        /** Removes an entry if it still has that revision and the token is the newest; returns whether it did. */
        boolean remove(String uid, long rev, long token) throws IOException;
    }

    /** Consecutive failed probes after which an entry is removed; other stale entries are probed in between. */
    static final int FAILED_PROBES_TO_REMOVE = 3;

    private final EntryService entries;

    StaleEntrySweeper(EntryService entries) {
        this.entries = entries;
    }

    /** Probes one entry per step: the stale one whose last probe is the longest ago. */
    @Override
    public Step next(Map<String, Object> duty) throws IOException {
        Map<String, Object> state = DutyRunner.stateOf(duty);
        Map<?, ?> probeRecords = state.get("seen") instanceof Map<?, ?> known ? known : Map.of();
        Map<String, Object> stalest = null;
        long oldestTurn = Long.MAX_VALUE;
        for (Map<String, Object> entry : entries.list()) {
            long turn = probeRecordField(probeRecords, entry, 2);
            if (Boolean.TRUE.equals(entry.get("stale")) && turn < oldestTurn) {
                stalest = entry;
                oldestTurn = turn;
            }
        }
        if (stalest == null) {
            return null;
        }
        return new Step("look " + (number(state.get("turn")) + 1) + " at " + stalest.get("uid"), "look", stalest);
    }

    /** A field of the entry's probe record: 1 for its failed probes, 2 for the turn of its last probe; 0 if the record
        is of an older revision, as a host that registered again starts afresh. */
    private static long probeRecordField(Map<?, ?> probeRecords, Map<String, Object> entry, int index) {
        return probeRecords.get(entry.get("uid")) instanceof List<?> probeRecord
                && number(probeRecord.get(0)) == number(entry.get("rev"))
                ? number(probeRecord.get(index)) : 0;
    }

    private static long number(Object value) {
        return value instanceof Number number ? number.longValue() : 0;
    }

    @Override
    public Map<String, Object> act(Step step, Map<String, Object> state, long token, LeaseCheck leaseCheck)
            throws IOException {
        Map<String, Object> newState = new LinkedHashMap<>(state);
        Map<String, Object> probeRecords = new LinkedHashMap<>();
        if (state.get("seen") instanceof Map<?, ?> known) {
            known.forEach((uid, probeRecord) -> probeRecords.put(uid.toString(), probeRecord));
        }
        Map<String, Object> entry = step.parameters();
        String uid = entry.get("uid").toString();
        long turn = number(state.get("turn")) + 1;
        long failedProbes = probeRecordField(probeRecords, entry, 1) + 1;
        if (entries.acceptsConnection(entry.get("endpoint").toString())) {
            failedProbes = 0;  // the host is up, only its renewals don't arrive
        }
        if (failedProbes >= FAILED_PROBES_TO_REMOVE) {
            leaseCheck.check();
            entries.remove(uid, number(entry.get("rev")), token);
            probeRecords.remove(uid);
        } else {
            probeRecords.put(uid, List.of(number(entry.get("rev")), failedProbes, turn));
        }
        newState.put("seen", probeRecords);
        newState.put("turn", turn);
        return newState;
    }
}
