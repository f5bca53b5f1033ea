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
    enum Taken { NEWER, SAME, OLDER, EMPTY, SPOILT }

    private final Listing listing = new Listing();

    long rev() {
        return listing.rev();
    }

    int size() {
        return listing.size();
    }

    Listing.Line since(long from) {
        return listing.since(from);
    }

    /** Applies a discovery line unless it has to be refused. */
    Taken take(String line) {
        long rev;
        boolean all;
        List<Entry> targets;
        try {
            Map<String, Object> object = Json.parse(line);
            rev = ((Number) object.get("rev")).longValue();
            all = (Boolean) object.get("all");
            targets = ((List<?>) object.get("targets")).stream().map(target -> Entry.of((Map<?, ?>) target)).toList();
        } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
            return Taken.SPOILT;
        }
        if (rev < listing.rev()) {
            return Taken.OLDER;
        }
        if (all && targets.isEmpty() && listing.size() > 0) {
            return Taken.EMPTY;
        }
        if (rev == listing.rev() && listing.rev() > 0) {
            return Taken.SAME;
        }
        Set<String> named = new HashSet<>();
        for (Entry entry : targets) {
            named.add(entry.uid());
            if (entry.state().equals(Entry.TERMINATED)) {
                if (listing.get(entry.uid()) != null) {
                    listing.remove(entry.uid(), rev);
                }
            } else if (!entry.equals(listing.get(entry.uid()))) {
                listing.put(entry, rev);
            }
        }
        if (all) {
            List<String> gone = listing.entries().stream().map(Entry::uid).filter(uid -> !named.contains(uid)).toList();
            gone.forEach(uid -> listing.remove(uid, rev));
        }
        listing.advance(rev);
        return Taken.NEWER;
    }

    /** The list as it is saved to a file. */
    byte[] bytes() {
        return listing.whole().text().getBytes(StandardCharsets.UTF_8);
    }
}
