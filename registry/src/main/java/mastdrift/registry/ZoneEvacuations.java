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
final class ZoneEvacuations {

    /** Default part of all registered capacity that has to stay in service in other zones. */
    static final double DEFAULT_MIN_CAPACITY_FRACTION = 0.6;

    /** Evacuation of a zone, which lasts until it returns, or its return, which ends once all entries are in
        service. */
    private record Transition(boolean returning, long startedAt, long durationMillis) {

        /** Part of the entries that have to be moved by a log time. */
        double completedFraction(long time) {
            return durationMillis <= 0 ? 1 : Math.max(0, Math.min(1, (time - startedAt) / (double) durationMillis));
        }
    }

    private final EndpointList endpoints;
    private final LongSupplier nextRevision;
    private final Map<String, Transition> transitions = new TreeMap<>();
    // entries listed as terminating only because of their zone
    private final Set<String> evacuatedUids = new TreeSet<>();

    ZoneEvacuations(EndpointList endpoints, LongSupplier nextRevision) {
        this.endpoints = endpoints;
        this.nextRevision = nextRevision;
    }

    /** Applies a command on a zone; returns null for other commands. */
    RegistryState.CommandResult apply(Map<String, Object> command, long time, List<String> logLines) {
        return switch (Objects.toString(command.get("do"))) {
            case "evacuate" -> evacuate(command, time, logLines);
            case "return" -> returnZone(command, time, logLines);
            default -> null;
        };
    }

    private RegistryState.CommandResult evacuate(Map<String, Object> command, long time, List<String> logLines) {
        String zone = requireZone(command);
        double minFraction = command.get("keep") instanceof Number given ? given.doubleValue()
                : DEFAULT_MIN_CAPACITY_FRACTION;
        double remaining = remainingFraction(zone);
        if (remaining < minFraction && !Boolean.TRUE.equals(command.get("force"))) {
            return new RegistryState.CommandResult(409, Map.of("error", String.format(java.util.Locale.ROOT,
                    "the rest can't carry zone %s: %.0f%% of all capacity would stay in service, %.0f%% has to", zone,
                    100 * remaining,
                    100 * minFraction), "rest", remaining), logLines);
        }
        Transition transition = transitions.get(zone);
        if (transition == null || transition.returning) {
            transitions.put(zone, new Transition(false, time, RegistryState.longField(command, "over_ms", 0)));
            logLines.add("zone-evacuates " + zone);
            advance(zone, time, logLines);
        }
        return new RegistryState.CommandResult(200, describeZone(zone, time), logLines);
    }

    private RegistryState.CommandResult returnZone(Map<String, Object> command, long time, List<String> logLines) {
        String zone = requireZone(command);
        Transition transition = transitions.get(zone);
        if (transition != null && !transition.returning) {
            transitions.put(zone, new Transition(true, time, RegistryState.longField(command, "over_ms", 0)));
            logLines.add("zone-returns " + zone);
            advance(zone, time, logLines);
        }
        return new RegistryState.CommandResult(200, describeZone(zone, time), logLines);
    }

    private String requireZone(Map<String, Object> command) {
        String zone = Objects.toString(command.get("zone"));
        if (!transitions.containsKey(zone) && endpoints.entries().stream()
                .noneMatch(entry -> entry.zone().equals(zone))) {
            throw new IllegalArgumentException("no entry is in zone " + zone);
        }
        return zone;
    }

    /** Part of all registered capacity that is in service outside a zone. */
    private double remainingFraction(String zone) {
        double total = endpoints.entries().stream().mapToDouble(Entry::capacityHint).sum();
        double remaining = endpoints.entries().stream().filter(entry -> !entry.zone().equals(zone)
                && entry.state().equals(Entry.IN_SERVICE)).mapToDouble(Entry::capacityHint).sum();
        return total <= 0 ? 1 : remaining / total;
    }

    /** Returns the entry as it has to be listed: an evacuated one stays {@code terminating} whatever its host
        registers, and so does a new entry of an evacuated zone. */
    Entry effectiveEntry(Entry entry, long time) {
        Transition transition = transitions.get(entry.zone());
        boolean evacuated = evacuatedUids.contains(entry.uid()) || transition != null && !transition.returning
                && transition.completedFraction(time) == 1;
        if (!evacuated || !entry.state().equals(Entry.IN_SERVICE)) {
            return entry;
        }
        evacuatedUids.add(entry.uid());
        return entry.withState(Entry.TERMINATING);
    }

    /** Stops tracking an entry that an operator drained or that was removed: a return of its zone leaves it as it
        is. */
    void release(String uid) {
        evacuatedUids.remove(uid);
    }

    void tick(long time, List<String> logLines) {
        for (String zone : List.copyOf(transitions.keySet())) {
            advance(zone, time, logLines);
        }
    }

    private void advance(String zone, long time, List<String> logLines) {
        Transition transition = transitions.get(zone);
        List<Entry> entries = endpoints.entries().stream().filter(entry -> entry.zone().equals(zone)).toList();
        int movedCount = (int) Math.ceil(transition.completedFraction(time) * entries.size());
        for (Entry entry : entries.subList(0, movedCount)) {
            if (!transition.returning && entry.state().equals(Entry.IN_SERVICE)) {
                evacuatedUids.add(entry.uid());
                endpoints.put(entry.withState(Entry.TERMINATING), nextRevision.getAsLong());
            } else if (transition.returning && evacuatedUids.remove(entry.uid())) {
                endpoints.put(entry.withState(Entry.IN_SERVICE), nextRevision.getAsLong());
            }
        }
        if (transition.returning && movedCount == entries.size()) {
            transitions.remove(zone);
            logLines.add("zone-back " + zone);
        }
    }

    /** Fields of {@code GET /v1/zones}. */
    Map<String, Object> describeZones(long time) {
        Set<String> names = new TreeSet<>(transitions.keySet());
        endpoints.entries().forEach(entry -> names.add(entry.zone()));
        return Map.of("rev", endpoints.rev(), "zones", names.stream().map(name -> describeZone(name, time)).toList());
    }

    int count() {
        return transitions.size();
    }

    private Map<String, Object> describeZone(String name, long time) {
        Transition transition = transitions.get(name);
        Map<String, Object> fields = new LinkedHashMap<>();
        List<Entry> entries = endpoints.entries().stream().filter(entry -> entry.zone().equals(name)).toList();
        fields.put("zone", name);
        fields.put("standing", transition == null ? "in service" : transition.returning ? "returning"
                : transition.completedFraction(time) < 1 ? "leaving" : "out");
        fields.put("entries", entries.size());
        fields.put("in_service", entries.stream().filter(entry -> entry.state().equals(Entry.IN_SERVICE)).count());
        fields.put("capacity", entries.stream().mapToDouble(Entry::capacityHint).sum());
        fields.put("rest", remainingFraction(name));
        return fields;
    }

    Map<String, Object> state() {
        Map<String, Object> zones = new TreeMap<>();
        transitions.forEach((zone, transition) -> zones.put(zone, Map.of("back", transition.returning, "began",
                transition.startedAt, "span", transition.durationMillis)));
        return Map.of("moves", zones, "out", new ArrayList<>(evacuatedUids));
    }

    /** Restores what {@link #state} returned; null for a snapshot from before evacuations existed. */
    void restore(Map<?, ?> state) {
        transitions.clear();
        evacuatedUids.clear();
        if (state != null) {
            ((Map<?, ?>) state.get("moves")).forEach((zone, value) -> {
                Map<?, ?> transition = (Map<?, ?>) value;
                transitions.put(zone.toString(), new Transition(Boolean.TRUE.equals(transition.get("back")),
                        ((Number) transition.get("began")).longValue(), ((Number) transition.get("span")).longValue()));
            });
            ((List<?>) state.get("out")).forEach(uid -> evacuatedUids.add(uid.toString()));
        }
    }

    /** Completes all transitions at once: a restored backup came from a log with another time. */
    void finishTransitions(long time) {
        transitions.replaceAll((zone, transition) -> new Transition(transition.returning, time, 0));
    }
}
