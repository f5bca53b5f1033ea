package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.rig.History.Event;

/**
 * Checks the lines that watchers received (events {@code line} with {@code rev}, {@code all} and {@code values} by
 * entry): the revisions of a watcher never decrease, across reconnects too; at one revision all have the same list; and
 * a list has every acknowledged write up to its revision.
 */
final class WatchCheck implements Check {

    private final List<String> breaches = new ArrayList<>();
    private final Map<Long, Map<String, String>> listsByRevision = new TreeMap<>();
    private final Map<Long, String> firstWatcher = new HashMap<>();

    @Override
    public Verdict evaluate(History history) {
        Map<String, List<Event>> byWatcher = new TreeMap<>();
        history.events("line").forEach(event -> byWatcher.computeIfAbsent(event.by(), w -> new ArrayList<>()).add(event));
        byWatcher.forEach(this::replay);
        // By entry, the acknowledged writes ordered by revision.
        Map<String, TreeMap<Long, String>> writes = new HashMap<>();
        Map<String, List<String>> unknownWrites = new HashMap<>();
        for (Event event : history.events()) {
            if (event.op().equals("put") || event.op().equals("cas")) {
                if (!event.isKnown()) {
                    unknownWrites.computeIfAbsent(event.text("key"), k -> new ArrayList<>()).add(event.text("value"));
                } else if (Boolean.TRUE.equals(event.facts().get("ok"))) {
                    writes.computeIfAbsent(event.text("key"), k -> new TreeMap<>()).put(event.number("rev", 0),
                            event.text("value"));
                }
            }
        }
        listsByRevision.forEach((rev, list) -> writes.forEach((key, values) -> {
            Map.Entry<Long, String> expected = values.floorEntry(rev);
            if (expected != null && !expected.getValue().equals(list.get(key))
                    && !unknownWrites.getOrDefault(key, List.of()).contains(list.get(key))) {
                breaches.add(firstWatcher.get(rev) + " has " + list.get(key) + " for " + key + " at revision " + rev
                        + ", where " + expected.getValue() + " was written at " + expected.getKey());
            }
        }));
        return Verdict.of("watches", breaches);
    }

    private void replay(String watcher, List<Event> lines) {
        long rev = 0;
        Map<String, String> list = new TreeMap<>();
        for (Event line : lines) {
            long next = line.number("rev", 0);
            boolean all = Boolean.TRUE.equals(line.facts().get("all"));
            Map<?, ?> values = line.facts().get("values") instanceof Map<?, ?> given ? given : Map.of();
            if (next < rev || next == rev && !values.isEmpty() && !all) {
                breaches.add(watcher + " was told revision " + next + " after " + rev);
            }
            rev = next;
            if (all) {
                list.clear();
            }
            values.forEach((key, value) -> {
                if (value == null) {
                    list.remove(key.toString());
                } else {
                    list.put(key.toString(), value.toString());
                }
            });
            Map<String, String> before = listsByRevision.putIfAbsent(rev, Map.copyOf(list));
            if (before == null) {
                firstWatcher.put(rev, watcher);
            } else if (!before.equals(list)) {
                breaches.add("revision " + rev + " has two contents, one with " + firstWatcher.get(rev)
                        + " and one with " + watcher);
            }
        }
    }
}
