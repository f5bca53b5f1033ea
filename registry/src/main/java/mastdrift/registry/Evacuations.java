package mastdrift.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Evacuation of zones, and their return, step by step in log time. A transition is one entry of the log: any leader
 * continues it, and no other process has to run for it. An entry of an evacuated zone is listed as {@code terminating},
 * whatever state its host registers; entries that operators drained themselves stay drained on return. Part of
 * {@link RegistryState} and guarded by its lock. Times are milliseconds.
 */
final class Evacuations {

    /** Default part of all registered capacity that has to stay in service in other zones. */
    static final double KEEP = 0.6;

    /** Evacuation of a zone, which lasts until it returns, or its return, which ends once all entries are in service.
        */
    private record Move(boolean back, long began, long span) {

        /** Part of the entries that have to be moved by a log time. */
        double part(long time) {
            return span <= 0 ? 1 : Math.max(0, Math.min(1, (time - began) / (double) span));
        }
    }

    private final Listing listing;
    private final LongSupplier nextRevision;
    private final Map<String, Move> moves = new TreeMap<>();
    private final Set<String> out = new TreeSet<>();  // entries listed as terminating only because of their zone

    Evacuations(Listing listing, LongSupplier nextRevision) {
        this.listing = listing;
        this.nextRevision = nextRevision;
    }

    /** Applies a command on a zone; returns null for other commands. */
    Catalogue.Applied apply(Map<String, Object> command, long time, List<String> news) {
        return switch (Objects.toString(command.get("do"))) {
            case "evacuate" -> evacuate(command, time, news);
            case "return" -> comeBack(command, time, news);
            default -> null;
        };
    }

    private Catalogue.Applied evacuate(Map<String, Object> command, long time, List<String> news) {
        String zone = known(command);
        double keep = command.get("keep") instanceof Number given ? given.doubleValue() : KEEP;
        double rest = rest(zone);
        if (rest < keep && !Boolean.TRUE.equals(command.get("force"))) {
            return new Catalogue.Applied(409, Map.of("error", String.format(java.util.Locale.ROOT,
                    "the rest can't carry zone %s: %.0f%% of all capacity would stay in service, %.0f%% has to", zone, 100 * rest,
                    100 * keep), "rest", rest), news);
        }
        Move move = moves.get(zone);
        if (move == null || move.back) {
            moves.put(zone, new Move(false, time, Catalogue.number(command, "over_ms", 0)));
            news.add("zone-evacuates " + zone);
            carryOn(zone, time, news);
        }
        return new Catalogue.Applied(200, zone(zone, time), news);
    }

    private Catalogue.Applied comeBack(Map<String, Object> command, long time, List<String> news) {
        String zone = known(command);
        Move move = moves.get(zone);
        if (move != null && !move.back) {
            moves.put(zone, new Move(true, time, Catalogue.number(command, "over_ms", 0)));
            news.add("zone-returns " + zone);
            carryOn(zone, time, news);
        }
        return new Catalogue.Applied(200, zone(zone, time), news);
    }

    private String known(Map<String, Object> command) {
        String zone = Objects.toString(command.get("zone"));
        if (!moves.containsKey(zone) && listing.entries().stream().noneMatch(entry -> entry.zone().equals(zone))) {
            throw new IllegalArgumentException("no entry is in zone " + zone);
        }
        return zone;
    }

    /** Part of all registered capacity that is in service outside a zone. */
    private double rest(String zone) {
        double all = listing.entries().stream().mapToDouble(Entry::capacityHint).sum();
        double rest = listing.entries().stream().filter(entry -> !entry.zone().equals(zone)
                && entry.state().equals(Entry.IN_SERVICE)).mapToDouble(Entry::capacityHint).sum();
        return all <= 0 ? 1 : rest / all;
    }

    /** Returns the entry as it has to be listed: an evacuated one stays {@code terminating} whatever its host
        registers, and so does a new entry of an evacuated zone. */
    Entry listed(Entry entry, long time) {
        Move move = moves.get(entry.zone());
        boolean held = out.contains(entry.uid()) || move != null && !move.back && move.part(time) == 1;
        if (!held || !entry.state().equals(Entry.IN_SERVICE)) {
            return entry;
        }
        out.add(entry.uid());
        return entry.in(Entry.TERMINATING);
    }

    /** Stops tracking an entry that an operator drained or that was removed: a return of its zone leaves it as it is.
        */
    void forget(String uid) {
        out.remove(uid);
    }

    void tick(long time, List<String> news) {
        for (String zone : List.copyOf(moves.keySet())) {
            carryOn(zone, time, news);
        }
    }

    private void carryOn(String zone, long time, List<String> news) {
        Move move = moves.get(zone);
        List<Entry> entries = listing.entries().stream().filter(entry -> entry.zone().equals(zone)).toList();
        int due = (int) Math.ceil(move.part(time) * entries.size());
        for (Entry entry : entries.subList(0, due)) {
            if (!move.back && entry.state().equals(Entry.IN_SERVICE)) {
                out.add(entry.uid());
                listing.put(entry.in(Entry.TERMINATING), nextRevision.getAsLong());
            } else if (move.back && out.remove(entry.uid())) {
                listing.put(entry.in(Entry.IN_SERVICE), nextRevision.getAsLong());
            }
        }
        if (move.back && due == entries.size()) {
            moves.remove(zone);
            news.add("zone-back " + zone);
        }
    }

    /** Fields of {@code GET /v1/zones}. */
    Map<String, Object> shown(long time) {
        Set<String> names = new TreeSet<>(moves.keySet());
        listing.entries().forEach(entry -> names.add(entry.zone()));
        return Map.of("rev", listing.rev(), "zones", names.stream().map(name -> zone(name, time)).toList());
    }

    int count() {
        return moves.size();
    }

    private Map<String, Object> zone(String name, long time) {
        Move move = moves.get(name);
        Map<String, Object> shown = new LinkedHashMap<>();
        List<Entry> entries = listing.entries().stream().filter(entry -> entry.zone().equals(name)).toList();
        shown.put("zone", name);
        shown.put("standing", move == null ? "in service" : move.back ? "returning" : move.part(time) < 1 ? "leaving" : "out");
        shown.put("entries", entries.size());
        shown.put("in_service", entries.stream().filter(entry -> entry.state().equals(Entry.IN_SERVICE)).count());
        shown.put("capacity", entries.stream().mapToDouble(Entry::capacityHint).sum());
        shown.put("rest", rest(name));
        return shown;
    }

    Map<String, Object> state() {
        Map<String, Object> all = new TreeMap<>();
        moves.forEach((zone, move) -> all.put(zone, Map.of("back", move.back, "began", move.began, "span", move.span)));
        return Map.of("moves", all, "out", new ArrayList<>(out));
    }

    /** Restores what {@link #state} returned; null for a snapshot from before evacuations existed. */
    void restore(Map<?, ?> state) {
        moves.clear();
        out.clear();
        if (state != null) {
            ((Map<?, ?>) state.get("moves")).forEach((zone, value) -> {
                Map<?, ?> move = (Map<?, ?>) value;
                moves.put(zone.toString(), new Move(Boolean.TRUE.equals(move.get("back")),
                        ((Number) move.get("began")).longValue(), ((Number) move.get("span")).longValue()));
            });
            ((List<?>) state.get("out")).forEach(uid -> out.add(uid.toString()));
        }
    }

    /** Completes all transitions at once: a restored backup came from a log with another time. */
    void rebase(long time) {
        moves.replaceAll((zone, move) -> new Move(move.back, time, 0));
    }
}
