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
    private final Map<Long, Map<String, String>> lists = new TreeMap<>();
    private final Map<Long, String> firstTold = new HashMap<>();

    @Override
    public Verdict look(History history) {
        Map<String, List<Event>> byWatcher = new TreeMap<>();
        history.events("line").forEach(event -> byWatcher.computeIfAbsent(event.by(), w -> new ArrayList<>()).add(event));
        byWatcher.forEach(this::follow);
        // By entry, the acknowledged writes ordered by revision.
        Map<String, TreeMap<Long, String>> writes = new HashMap<>();
        Map<String, List<String>> unheard = new HashMap<>();
        for (Event event : history.events()) {
            if (event.op().equals("put") || event.op().equals("cas")) {
                if (!event.known()) {
                    unheard.computeIfAbsent(event.text("key"), k -> new ArrayList<>()).add(event.text("value"));
                } else if (Boolean.TRUE.equals(event.facts().get("ok"))) {
                    writes.computeIfAbsent(event.text("key"), k -> new TreeMap<>()).put(event.number("rev", 0),
                            event.text("value"));
                }
            }
        }
        lists.forEach((rev, list) -> writes.forEach((key, values) -> {
            Map.Entry<Long, String> due = values.floorEntry(rev);
            if (due != null && !due.getValue().equals(list.get(key))
                    && !unheard.getOrDefault(key, List.of()).contains(list.get(key))) {
                breaches.add(firstTold.get(rev) + " has " + list.get(key) + " for " + key + " at revision " + rev
                        + ", where " + due.getValue() + " was written at " + due.getKey());
            }
        }));
        return Verdict.of("watches", breaches);
    }

    private void follow(String watcher, List<Event> lines) {
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
            Map<String, String> before = lists.putIfAbsent(rev, Map.copyOf(list));
            if (before == null) {
                firstTold.put(rev, watcher);
            } else if (!before.equals(list)) {
                breaches.add("revision " + rev + " has two contents, one with " + firstTold.get(rev) + " and one with "
                        + watcher);
            }
        }
    }
}
