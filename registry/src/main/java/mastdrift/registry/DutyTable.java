package mastdrift.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import mastdrift.common.Json;

/**
 * The duties: work that one process at a time does under a lease. Holds for each duty the holder, the lease's expiry in
 * log time, the queue of candidates and the state of the work. Every grant gets a fencing token, which grows over all
 * duties; a request with a duty's older token is refused. Part of {@link RegistryState} and guarded by its lock.
 */
final class DutyTable {

    /** Number of recorded step ids that are kept for each duty. */
    static final int MAX_RECORDED_STEPS = 1000;
    /** Number of operators' orders that are kept for each duty. */
    static final int MAX_ORDERS = 20;

    private static final class Duty {
        private String holder;
        private long token;
        private long leaseMillis;
        private long expiresAt;
        private long rev;
        // candidates in order of arrival, with the expiry of their place
        private final Map<String, Long> waitQueue = new LinkedHashMap<>();
        private Map<String, Object> state = new LinkedHashMap<>();
        private final List<String> steps = new ArrayList<>();
        private final List<Map<String, Object>> orders = new ArrayList<>();
        private long orderCount;
    }

    private final Map<String, Duty> duties = new TreeMap<>();
    private long lastToken;
    private long rev;

    long rev() {
        return rev;
    }

    /** Whether a token is still the current one of a duty that is held. */
    boolean isCurrentToken(String name, long token) {
        Duty duty = duties.get(name);
        return duty != null && duty.token == token && duty.holder != null;
    }

    /** Applies a command on a duty; returns null for other commands. */
    RegistryState.CommandResult apply(Map<String, Object> command, long time, List<String> logLines) {
        String name = Objects.toString(command.get("duty"));
        String candidate = Objects.toString(command.get("who"));
        long token = RegistryState.longField(command, "token", 0);
        Duty duty = duties.get(name);
        switch (Objects.toString(command.get("do"))) {
            case "acquire" -> {
                return acquire(name, candidate, RegistryState.longField(command, "span", 0), time, logLines);
            }
            case "hold" -> {
                if (!isHolder(duty, candidate, token)) {
                    return notHeldResult(name, duty, logLines);
                }
                duty.expiresAt = time + duty.leaseMillis;
                return leaseResult(name, duty, candidate, logLines);
            }
            case "release" -> {
                if (duty != null) {
                    duty.waitQueue.remove(candidate);
                }
                if (!isHolder(duty, candidate, token)) {
                    return notHeldResult(name, duty, logLines);
                }
                logLines.add("duty-released " + name + " by " + candidate + " token " + token);
                grantNext(name, duty, time, logLines);
                return leaseResult(name, duty, candidate, logLines);
            }
            case "order" -> {
                return addOrder(name, command, logLines);
            }
            case "record" -> {
                if (!isHolder(duty, candidate, token)) {
                    return notHeldResult(name, duty, logLines);
                }
                return recordStep(name, duty, candidate, command, logLines);
            }
            default -> {
                return null;
            }
        }
    }

    private static boolean isHolder(Duty duty, String candidate, long token) {
        return duty != null && candidate.equals(duty.holder) && duty.token == token;
    }

    /** Grants the duty or queues the candidate; the holder gets its token again, a waiting candidate keeps its
        place. */
    private RegistryState.CommandResult acquire(String name, String candidate, long leaseMillis, long time,
            List<String> logLines) {
        if (leaseMillis <= 0 || candidate.isBlank() || name.isBlank()) {
            throw new IllegalArgumentException("acquire needs duty, who and a span in milliseconds");
        }
        Duty duty = duties.computeIfAbsent(name, n -> new Duty());
        if (!candidate.equals(duty.holder)) {
            duty.leaseMillis = duty.holder == null ? leaseMillis : duty.leaseMillis;
            duty.waitQueue.put(candidate, time + leaseMillis);  // put keeps the place of a candidate that waits already
            if (duty.holder == null) {
                grantNext(name, duty, time, logLines);
            }
        }
        return leaseResult(name, duty, candidate, logLines);
    }

    /** Grants the duty to the first candidate that still waits; to nobody if there is none. */
    private void grantNext(String name, Duty duty, long time, List<String> logLines) {
        duty.waitQueue.values().removeIf(until -> until <= time);
        duty.holder = null;
        duty.rev = ++rev;
        if (!duty.waitQueue.isEmpty()) {
            duty.holder = duty.waitQueue.keySet().iterator().next();
            duty.waitQueue.remove(duty.holder);
            duty.token = ++lastToken;
            duty.expiresAt = time + duty.leaseMillis;
            logLines.add("duty-granted " + name + " to " + duty.holder + " token " + duty.token);
        }
    }

    /** Adds an operator's order to the present or next holder; orders are numbered, and repeating an id adds
        nothing. */
    private RegistryState.CommandResult addOrder(String name, Map<String, Object> command, List<String> logLines) {
        if (!(command.get("order") instanceof Map<?, ?> fields) || !(fields.get("id") instanceof String id)) {
            throw new IllegalArgumentException("an order needs an id");
        }
        Duty duty = duties.computeIfAbsent(name, n -> new Duty());
        for (Map<String, Object> existing : duty.orders) {
            if (id.equals(existing.get("id"))) {
                return new RegistryState.CommandResult(200, Map.of("duty", name, "number", existing.get("number")),
                        logLines);
            }
        }
        Map<String, Object> order = new LinkedHashMap<>();
        fields.forEach((key, value) -> order.put(key.toString(), value));
        order.put("number", ++duty.orderCount);
        duty.orders.add(order);
        if (duty.orders.size() > MAX_ORDERS) {
            duty.orders.remove(0);
        }
        duty.rev = ++rev;
        logLines.add("duty-ordered " + name + " " + order.get("what") + " number " + duty.orderCount);
        return new RegistryState.CommandResult(200, Map.of("duty", name, "number", duty.orderCount), logLines);
    }

    /** Records a step and the state after it; a step id that is recorded already changes nothing. */
    private RegistryState.CommandResult recordStep(String name, Duty duty, String candidate,
            Map<String, Object> command, List<String> logLines) {
        String step = Objects.toString(command.get("step"), null);
        boolean alreadyRecorded = step != null && duty.steps.contains(step);
        if (!alreadyRecorded) {
            if (command.get("state") instanceof Map<?, ?> state) {
                duty.state = new LinkedHashMap<>();
                state.forEach((key, value) -> duty.state.put(key.toString(), value));
            }
            if (step != null) {
                duty.steps.add(step);
                if (duty.steps.size() > MAX_RECORDED_STEPS) {
                    duty.steps.remove(0);
                }
                logLines.add("duty-step " + name + " " + step + " by " + candidate + " token " + duty.token);
            }
            duty.rev = ++rev;
        }
        return new RegistryState.CommandResult(200, Map.of("duty", name, "token", duty.token, "again", alreadyRecorded),
                logLines);
    }

    private RegistryState.CommandResult leaseResult(String name, Duty duty, String candidate, List<String> logLines) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("duty", name);
        answer.put("holder", duty.holder);
        answer.put("token", candidate.equals(duty.holder) ? duty.token : 0);
        answer.put("waits", new ArrayList<>(duty.waitQueue.keySet()).indexOf(candidate) + 1);
        return new RegistryState.CommandResult(200, answer, logLines);
    }

    private static RegistryState.CommandResult notHeldResult(String name, Duty duty, List<String> logLines) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", "duty " + name + " is not held with that token");
        answer.put("holder", duty == null ? null : duty.holder);
        return new RegistryState.CommandResult(409, answer, logLines);
    }

    /** Passes duties with expired leases on to the next candidate. */
    void tick(long time, List<String> logLines) {
        duties.forEach((name, duty) -> {
            if (duty.holder != null && duty.expiresAt <= time) {
                logLines.add("duty-lapsed " + name + " of " + duty.holder + " token " + duty.token);
                grantNext(name, duty, time, logLines);
            }
        });
    }

    /** Gives every lease and every place in a queue its full duration again. */
    void extendLeases(long time) {
        for (Duty duty : duties.values()) {
            duty.expiresAt = time + duty.leaseMillis;
            duty.waitQueue.replaceAll((who, until) -> time + duty.leaseMillis);
        }
    }

    /** Describes a duty; null if it was never acquired or ordered. */
    Map<String, Object> describe(String name) {
        Duty duty = duties.get(name);
        if (duty == null) {
            return null;
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("duty", name);
        fields.put("holder", duty.holder);
        fields.put("token", duty.token);
        fields.put("span", duty.leaseMillis);
        fields.put("waiting", List.copyOf(duty.waitQueue.keySet()));
        fields.put("state", duty.state);
        fields.put("steps", List.copyOf(duty.steps));
        fields.put("orders", List.copyOf(duty.orders));
        return fields;
    }

    /** Line with all duties that changed after a revision. */
    EndpointList.UpdateLine updateSince(long revision) {
        List<Map<String, Object>> changed = duties.entrySet().stream().filter(each -> each.getValue().rev > revision)
                .map(each -> describe(each.getKey())).toList();
        return new EndpointList.UpdateLine(rev, Json.encode(Map.of("rev", rev, "duties", changed)));
    }

    Map<String, Object> state() {
        Map<String, Object> table = new LinkedHashMap<>();
        table.put("tokens", lastToken);
        table.put("rev", rev);
        Map<String, Object> dutyMaps = new LinkedHashMap<>();
        duties.forEach((name, duty) -> {
            Map<String, Object> fields = describe(name);
            fields.put("until", duty.expiresAt);
            fields.put("rev", duty.rev);
            fields.put("ordered", duty.orderCount);
            fields.put("waiting", new LinkedHashMap<>(duty.waitQueue));
            dutyMaps.put(name, fields);
        });
        table.put("duties", dutyMaps);
        return table;
    }

    /** Restores what {@link #state} returned; null for a snapshot from before duties existed. */
    void restore(Map<?, ?> state) {
        duties.clear();
        lastToken = 0;
        rev = 0;
        if (state == null) {
            return;
        }
        lastToken = ((Number) state.get("tokens")).longValue();
        rev = ((Number) state.get("rev")).longValue();
        ((Map<?, ?>) state.get("duties")).forEach((name, value) -> {
            Map<?, ?> fields = (Map<?, ?>) value;
            Duty duty = new Duty();
            duty.holder = (String) fields.get("holder");
            duty.token = ((Number) fields.get("token")).longValue();
            duty.leaseMillis = ((Number) fields.get("span")).longValue();
            duty.expiresAt = ((Number) fields.get("until")).longValue();
            duty.rev = ((Number) fields.get("rev")).longValue();
            ((Map<?, ?>) fields.get("waiting")).forEach((who, until) ->
                    duty.waitQueue.put(who.toString(), ((Number) until).longValue()));
            ((Map<?, ?>) fields.get("state")).forEach((key, val) -> duty.state.put(key.toString(), val));
            ((List<?>) fields.get("steps")).forEach(step -> duty.steps.add(step.toString()));
            duty.orderCount = ((Number) fields.get("ordered")).longValue();
            ((List<?>) fields.get("orders")).forEach(each -> {
                Map<String, Object> order = new LinkedHashMap<>();
                ((Map<?, ?>) each).forEach((key, val) -> order.put(key.toString(), val));
                duty.orders.add(order);
            });
            duties.put(name.toString(), duty);
        });
    }
}
