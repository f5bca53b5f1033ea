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
public class Listing {

    /** A discovery line and the revision that its reader has after it. */
    public record Line(long rev, String text) { }

    /** Number of removed entries that are kept; a reader from before the oldest of them gets the full list. */
    static final int LEFT_MOST = 20_000;

    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<String, Long> revisions = new HashMap<>();  // of present and of removed entries
    private final NavigableMap<Long, List<String>> changed = new TreeMap<>();  // each entry under its newest revision
    private final NavigableMap<Long, List<Entry>> left = new TreeMap<>();
    private int leftCount;
    private long floor;  // oldest revision after which all changes are known
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
    long revision(String uid) {
        return entries.containsKey(uid) ? revisions.get(uid) : 0;
    }

    /** Adds or changes an entry at a revision, which has to be the newest. */
    void put(Entry entry, long at) {
        forget(entry.uid());
        entries.put(entry.uid(), entry);
        mark(entry.uid(), at);
    }

    /** Removes an entry at a revision, which has to be the newest. */
    void remove(String uid, long at) {
        Entry entry = entries.remove(uid);
        forget(uid);
        mark(uid, at);
        left.computeIfAbsent(at, r -> new ArrayList<>()).add(entry.in(Entry.TERMINATED));
        leftCount++;
        while (leftCount > LEFT_MOST) {
            Map.Entry<Long, List<Entry>> eldest = left.firstEntry();
            floor = eldest.getKey();
            for (Entry gone : List.copyOf(eldest.getValue())) {
                forget(gone.uid());
            }
        }
    }

    void clear() {
        entries.clear();
        revisions.clear();
        changed.clear();
        left.clear();
        leftCount = 0;
        floor = 0;
        rev = 0;
    }

    /** Raises the list's revision without a change. */
    void advance(long at) {
        rev = Math.max(rev, at);
    }

    private void mark(String uid, long at) {
        revisions.put(uid, at);
        changed.computeIfAbsent(at, r -> new ArrayList<>()).add(uid);
        advance(at);
    }

    private void forget(String uid) {
        Long before = revisions.remove(uid);
        if (before == null) {
            return;
        }
        List<String> then = changed.get(before);
        then.remove(uid);
        if (then.isEmpty()) {
            changed.remove(before);
        }
        List<Entry> gone = left.get(before);
        if (gone != null && gone.removeIf(entry -> entry.uid().equals(uid))) {
            leftCount--;
            if (gone.isEmpty()) {
                left.remove(before);
            }
        }
    }

    /** Gives up the changes up to a revision: readers from before it get the full list. */
    void floor(long at) {
        floor = Math.max(floor, at);
    }

    long floor() {
        return floor;
    }

    /** Entries removed after a revision, as {@code terminated}, by the revision of their removal. */
    NavigableMap<Long, List<Entry>> leftAfter(long from) {
        return left.tailMap(from, false);
    }

    /** Adds an entry that had been removed already, when a snapshot is loaded. */
    void addLeft(Entry entry, long at) {
        mark(entry.uid(), at);
        left.computeIfAbsent(at, r -> new ArrayList<>()).add(entry);
        leftCount++;
    }

    /** The full list as a discovery line. */
    public Line whole() {
        return line(rev, true, entries.values());
    }

    /** The changes after a revision as a discovery line; the full list if they are no longer known. */
    public Line since(long from) {
        if (from <= 0 || from < floor || from > rev) {
            return whole();
        }
        List<Entry> news = new ArrayList<>();
        changed.tailMap(from, false).values().forEach(uids -> uids.forEach(uid -> {
            if (entries.containsKey(uid)) {
                news.add(entries.get(uid));
            }
        }));
        left.tailMap(from, false).values().forEach(news::addAll);
        return line(rev, false, news);
    }

    private static Line line(long rev, boolean all, Collection<Entry> of) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("rev", rev);
        line.put("all", all);
        line.put("targets", of.stream().map(Entry::target).toList());
        return new Line(rev, Json.encode(line));
    }
}
