package mastdrift.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import mastdrift.common.Json;

/** Endpoint list with revisions: each change gets a revision, and the changes after any recent revision can be
    computed, an entry that changed several times once in its newest form. Not thread-safe. */
public class EndpointList {

    /** A discovery line and the revision that its reader has after it. */
    public record UpdateLine(long rev, String json) { }

    /** Number of removed entries that are kept; a reader from before the oldest of them gets the full list. */
    static final int MAX_REMOVED_ENTRIES = 20_000;

    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<String, Long> revisions = new HashMap<>();  // of present and of removed entries
    // each entry under its newest revision
    private final NavigableMap<Long, List<String>> uidsByRevision = new TreeMap<>();
    private final NavigableMap<Long, List<Entry>> removedByRevision = new TreeMap<>();
    private int removedCount;
    private long compactedRevision;  // oldest revision after which all changes are known
    private long rev;

    public long rev() {
        return rev;
    }

    public int size() {
        return entries.size();
    }

    Collection<Entry> entries() {
        return entries.values();
    }

    Entry get(String uid) {
        return entries.get(uid);
    }

    /** The revision of an entry's newest change; 0 if it is not on the list. */
    long revisionOf(String uid) {
        return entries.containsKey(uid) ? revisions.get(uid) : 0;
    }

    /** Adds or changes an entry at a revision, which has to be the newest. */
    void put(Entry entry, long revision) {
        dropChange(entry.uid());
        entries.put(entry.uid(), entry);
        recordChange(entry.uid(), revision);
    }

    /** Removes an entry at a revision, which has to be the newest. */
    void remove(String uid, long revision) {
        Entry entry = entries.remove(uid);
        dropChange(uid);
        recordChange(uid, revision);
        removedByRevision.computeIfAbsent(revision, r -> new ArrayList<>()).add(entry.withState(Entry.TERMINATED));
        removedCount++;
        while (removedCount > MAX_REMOVED_ENTRIES) {
            Map.Entry<Long, List<Entry>> oldest = removedByRevision.firstEntry();
            compactedRevision = oldest.getKey();
            for (Entry removed : List.copyOf(oldest.getValue())) {
                dropChange(removed.uid());
            }
        }
    }

    void clear() {
        entries.clear();
        revisions.clear();
        uidsByRevision.clear();
        removedByRevision.clear();
        removedCount = 0;
        compactedRevision = 0;
        rev = 0;
    }

    /** Raises the list's revision without a change. */
    void advanceTo(long revision) {
        rev = Math.max(rev, revision);
    }

    private void recordChange(String uid, long revision) {
        revisions.put(uid, revision);
        uidsByRevision.computeIfAbsent(revision, r -> new ArrayList<>()).add(uid);
        advanceTo(revision);
    }

    private void dropChange(String uid) {
        Long revision = revisions.remove(uid);
        if (revision == null) {
            return;
        }
        List<String> uids = uidsByRevision.get(revision);
        uids.remove(uid);
        if (uids.isEmpty()) {
            uidsByRevision.remove(revision);
        }
        List<Entry> removed = removedByRevision.get(revision);
        if (removed != null && removed.removeIf(entry -> entry.uid().equals(uid))) {
            removedCount--;
            if (removed.isEmpty()) {
                removedByRevision.remove(revision);
            }
        }
    }

    /** Gives up the changes up to a revision: readers from before it get the full list. */
    void compactTo(long revision) {
        compactedRevision = Math.max(compactedRevision, revision);
    }

    long compactedRevision() {
        return compactedRevision;
    }

    /** Entries removed after a revision, as {@code terminated}, by the revision of their removal. */
    NavigableMap<Long, List<Entry>> removedAfter(long revision) {
        return removedByRevision.tailMap(revision, false);
    }

    /** Adds an entry that had been removed already, when a snapshot is loaded. */
    void addRemoved(Entry entry, long revision) {
        recordChange(entry.uid(), revision);
        removedByRevision.computeIfAbsent(revision, r -> new ArrayList<>()).add(entry);
        removedCount++;
    }

    /** The full list as a discovery line. */
    public UpdateLine fullUpdate() {
        return encode(rev, true, entries.values());
    }

    /** The changes after a revision as a discovery line; the full list if they are no longer known. */
    public UpdateLine updateSince(long revision) {
        if (revision <= 0 || revision < compactedRevision || revision > rev) {
            return fullUpdate();
        }
        List<Entry> changed = new ArrayList<>();
        uidsByRevision.tailMap(revision, false).values().forEach(uids -> uids.forEach(uid -> {
            if (entries.containsKey(uid)) {
                changed.add(entries.get(uid));
            }
        }));
        removedByRevision.tailMap(revision, false).values().forEach(changed::addAll);
        return encode(rev, false, changed);
    }

    private static UpdateLine encode(long rev, boolean full, Collection<Entry> targets) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("rev", rev);
        line.put("all", full);
        line.put("targets", targets.stream().map(Entry::toTarget).toList());
        return new UpdateLine(rev, Json.encode(line));
    }
}
