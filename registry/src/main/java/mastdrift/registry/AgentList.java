package mastdrift.registry;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.common.Json;

/** An agent's copy of the endpoint list. Refuses updates that are older than it, malformed, or an empty list in place
    of one with entries. Not thread-safe. */
final class AgentList {

    /** Result of applying a line. */
    enum ApplyResult { NEWER, SAME, OLDER, EMPTY, SPOILT }

    private final EndpointList endpoints = new EndpointList();

    long rev() {
        return endpoints.rev();
    }

    int size() {
        return endpoints.size();
    }

    EndpointList.UpdateLine updateSince(long revision) {
        return endpoints.updateSince(revision);
    }

    /** Applies a discovery line unless it has to be refused. */
    ApplyResult apply(String line) {
        long rev;
        boolean full;
        List<Entry> targets;
        try {
            Map<String, Object> object = Json.parse(line);
            rev = ((Number) object.get("rev")).longValue();
            full = (Boolean) object.get("all");
            targets = ((List<?>) object.get("targets")).stream().map(target -> Entry.parse((Map<?, ?>) target))
                    .toList();
        } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
            return ApplyResult.SPOILT;
        }
        if (rev < endpoints.rev()) {
            return ApplyResult.OLDER;
        }
        if (full && targets.isEmpty() && endpoints.size() > 0) {
            return ApplyResult.EMPTY;
        }
        if (rev == endpoints.rev() && endpoints.rev() > 0) {
            return ApplyResult.SAME;
        }
        Set<String> listed = new HashSet<>();
        for (Entry entry : targets) {
            listed.add(entry.uid());
            if (entry.state().equals(Entry.TERMINATED)) {
                if (endpoints.get(entry.uid()) != null) {
                    endpoints.remove(entry.uid(), rev);
                }
            } else if (!entry.equals(endpoints.get(entry.uid()))) {
                endpoints.put(entry, rev);
            }
        }
        if (full) {
            List<String> removed = endpoints.entries().stream().map(Entry::uid).filter(uid -> !listed.contains(uid))
                    .toList();
            removed.forEach(uid -> endpoints.remove(uid, rev));
        }
        endpoints.advanceTo(rev);
        return ApplyResult.NEWER;
    }

    /** The list as it is saved to a file. */
    byte[] encode() {
        return endpoints.fullUpdate().json().getBytes(StandardCharsets.UTF_8);
    }
}
