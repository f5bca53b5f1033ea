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

/** A list with revisions: each change has one of its own, and what changed after any of the last ones can be told, many
    changes of an entry as its newest. Not for more than one thread at a time. */
public class Listing {

    /** A line of discovery and the revision that it brings its reader to. */
    public record Line(long rev, String text) { }

    /** So many that have left are remembered; who asks from before them gets the whole list. */
    static final int LEFT_MOST = 20_000;

    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<String, Long> revisions = new HashMap<>();  // of those present and those that have left
    private final NavigableMap<Long, List<String>> changed = new TreeMap<>();  // by revision, each entry at its newest alone
    private final NavigableMap<Long, List<Entry>> left = new TreeMap<>();
    private int leftCount;
    private long floor;  // what changed after this can be told
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

    /** The revision of its newest change, 0 where it is not on the list. */
    long revision(String uid) {
        return entries.containsKey(uid) ? revisions.get(uid) : 0;
    }

    /** Puts or changes it at that revision, which is the newest. */
    void put(Entry entry, long at) {
        forget(entry.uid());
        entries.put(entry.uid(), entry);
        mark(entry.uid(), at);
    }

    /** Takes it off at that revision, which is the newest. */
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

    /** Nothing changed, but the revision is known to be that. */
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

    /** What changed after that revision can no longer be told before this one. */
    void floor(long at) {
        floor = Math.max(floor, at);
    }

    long floor() {
        return floor;
    }

    /** Those that left after that revision, as {@code terminated}, by their revisions. */
    NavigableMap<Long, List<Entry>> leftAfter(long from) {
        return left.tailMap(from, false);
    }

    /** Remembers one that had left before, when a list is read back. */
    void addLeft(Entry entry, long at) {
        mark(entry.uid(), at);
        left.computeIfAbsent(at, r -> new ArrayList<>()).add(entry);
        leftCount++;
    }

    /** The whole list as a line of discovery. */
    public Line whole() {
        return line(rev, true, entries.values());
    }

    /** What changed after that revision as a line of discovery; the whole list where that can't be told. */
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
