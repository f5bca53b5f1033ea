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
final class Duties {

    /** Number of recorded step ids that are kept for each duty. */
    static final int STEPS_KEPT = 1000;
    /** Number of operators' orders that are kept for each duty. */
    static final int ORDERS_KEPT = 20;

    private static final class Duty {
        private String holder;
        private long token;
        private long span;
        private long until;
        private long rev;
        private final Map<String, Long> waiting = new LinkedHashMap<>();  // candidates in order of arrival, with the expiry of their place
        private Map<String, Object> state = new LinkedHashMap<>();
        private final List<String> steps = new ArrayList<>();
        private final List<Map<String, Object>> orders = new ArrayList<>();
        private long ordered;
    }

    private final Map<String, Duty> duties = new TreeMap<>();
    private long tokens;
    private long rev;

    long rev() {
        return rev;
    }

    /** Whether a token is still the current one of a duty that is held. */
    boolean current(String name, long token) {
        Duty duty = duties.get(name);
        return duty != null && duty.token == token && duty.holder != null;
    }

    /** Applies a command on a duty; returns null for other commands. */
    Catalogue.Applied apply(Map<String, Object> command, long time, List<String> news) {
        String name = Objects.toString(command.get("duty"));
        String who = Objects.toString(command.get("who"));
        long token = Catalogue.number(command, "token", 0);
        Duty duty = duties.get(name);
        switch (Objects.toString(command.get("do"))) {
            case "acquire" -> {
                return acquire(name, who, Catalogue.number(command, "span", 0), time, news);
            }
            case "hold" -> {
                if (!holds(duty, who, token)) {
                    return lost(name, duty, news);
                }
                duty.until = time + duty.span;
                return told(name, duty, who, news);
            }
            case "release" -> {
                if (duty != null) {
                    duty.waiting.remove(who);
                }
                if (!holds(duty, who, token)) {
                    return lost(name, duty, news);
                }
                news.add("duty-released " + name + " by " + who + " token " + token);
                next(name, duty, time, news);
                return told(name, duty, who, news);
            }
            case "order" -> {
                return order(name, command, news);
            }
            case "record" -> {
                if (!holds(duty, who, token)) {
                    return lost(name, duty, news);
                }
                return record(name, duty, who, command, news);
            }
            default -> {
                return null;
            }
        }
    }

    private static boolean holds(Duty duty, String who, long token) {
        return duty != null && who.equals(duty.holder) && duty.token == token;
    }

    /** Grants the duty or queues the candidate; the holder gets its token again, a waiting candidate keeps its place.
        */
    private Catalogue.Applied acquire(String name, String who, long span, long time, List<String> news) {
        if (span <= 0 || who.isBlank() || name.isBlank()) {
            throw new IllegalArgumentException("acquire needs duty, who and a span in milliseconds");
        }
        Duty duty = duties.computeIfAbsent(name, n -> new Duty());
        if (!who.equals(duty.holder)) {
            duty.span = duty.holder == null ? span : duty.span;
            duty.waiting.put(who, time + span);  // a candidate that waits already keeps its place
            if (duty.holder == null) {
                next(name, duty, time, news);
            }
        }
        return told(name, duty, who, news);
    }

    /** Grants the duty to the first candidate that still waits; to nobody if there is none. */
    private void next(String name, Duty duty, long time, List<String> news) {
        duty.waiting.values().removeIf(until -> until <= time);
        duty.holder = null;
        duty.rev = ++rev;
        if (!duty.waiting.isEmpty()) {
            duty.holder = duty.waiting.keySet().iterator().next();
            duty.waiting.remove(duty.holder);
            duty.token = ++tokens;
            duty.until = time + duty.span;
            news.add("duty-granted " + name + " to " + duty.holder + " token " + duty.token);
        }
    }

    /** Adds an operator's order to the present or next holder; orders are numbered, and repeating an id adds nothing.
        */
    private Catalogue.Applied order(String name, Map<String, Object> command, List<String> news) {
        if (!(command.get("order") instanceof Map<?, ?> given) || !(given.get("id") instanceof String id)) {
            throw new IllegalArgumentException("an order needs an id");
        }
        Duty duty = duties.computeIfAbsent(name, n -> new Duty());
        for (Map<String, Object> before : duty.orders) {
            if (id.equals(before.get("id"))) {
                return new Catalogue.Applied(200, Map.of("duty", name, "number", before.get("number")), news);
            }
        }
        Map<String, Object> order = new LinkedHashMap<>();
        given.forEach((key, value) -> order.put(key.toString(), value));
        order.put("number", ++duty.ordered);
        duty.orders.add(order);
        if (duty.orders.size() > ORDERS_KEPT) {
            duty.orders.remove(0);
        }
        duty.rev = ++rev;
        news.add("duty-ordered " + name + " " + order.get("what") + " number " + duty.ordered);
        return new Catalogue.Applied(200, Map.of("duty", name, "number", duty.ordered), news);
    }

    /** Records a step and the state after it; a step id that is recorded already changes nothing. */
    private Catalogue.Applied record(String name, Duty duty, String who, Map<String, Object> command, List<String> news) {
        String step = Objects.toString(command.get("step"), null);
        boolean again = step != null && duty.steps.contains(step);
        if (!again) {
            if (command.get("state") instanceof Map<?, ?> state) {
                duty.state = new LinkedHashMap<>();
                state.forEach((key, value) -> duty.state.put(key.toString(), value));
            }
            if (step != null) {
                duty.steps.add(step);
                if (duty.steps.size() > STEPS_KEPT) {
                    duty.steps.remove(0);
                }
                news.add("duty-step " + name + " " + step + " by " + who + " token " + duty.token);
            }
            duty.rev = ++rev;
        }
        return new Catalogue.Applied(200, Map.of("duty", name, "token", duty.token, "again", again), news);
    }

    private Catalogue.Applied told(String name, Duty duty, String who, List<String> news) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("duty", name);
        answer.put("holder", duty.holder);
        answer.put("token", who.equals(duty.holder) ? duty.token : 0);
        answer.put("waits", new ArrayList<>(duty.waiting.keySet()).indexOf(who) + 1);
        return new Catalogue.Applied(200, answer, news);
    }

    private static Catalogue.Applied lost(String name, Duty duty, List<String> news) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", "duty " + name + " is not held with that token");
        answer.put("holder", duty == null ? null : duty.holder);
        return new Catalogue.Applied(409, answer, news);
    }

    /** Passes duties with expired leases on to the next candidate. */
    void tick(long time, List<String> news) {
        duties.forEach((name, duty) -> {
            if (duty.holder != null && duty.until <= time) {
                news.add("duty-lapsed " + name + " of " + duty.holder + " token " + duty.token);
                next(name, duty, time, news);
            }
        });
    }

    /** Gives every lease and every place in a queue its full duration again. */
    void reign(long time) {
        for (Duty duty : duties.values()) {
            duty.until = time + duty.span;
            duty.waiting.replaceAll((who, until) -> time + duty.span);
        }
    }

    /** Describes a duty; null if it was never acquired or ordered. */
    Map<String, Object> shown(String name) {
        Duty duty = duties.get(name);
        if (duty == null) {
            return null;
        }
        Map<String, Object> shown = new LinkedHashMap<>();
        shown.put("duty", name);
        shown.put("holder", duty.holder);
        shown.put("token", duty.token);
        shown.put("span", duty.span);
        shown.put("waiting", List.copyOf(duty.waiting.keySet()));
        shown.put("state", duty.state);
        shown.put("steps", List.copyOf(duty.steps));
        shown.put("orders", List.copyOf(duty.orders));
        return shown;
    }

    /** Line with all duties that changed after a revision. */
    Listing.Line since(long from) {
        List<Map<String, Object>> news = duties.entrySet().stream().filter(each -> each.getValue().rev > from)
                .map(each -> shown(each.getKey())).toList();
        return new Listing.Line(rev, Json.encode(Map.of("rev", rev, "duties", news)));
    }

    Map<String, Object> state() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("tokens", tokens);
        all.put("rev", rev);
        Map<String, Object> each = new LinkedHashMap<>();
        duties.forEach((name, duty) -> {
            Map<String, Object> one = shown(name);
            one.put("until", duty.until);
            one.put("rev", duty.rev);
            one.put("ordered", duty.ordered);
            one.put("waiting", new LinkedHashMap<>(duty.waiting));
            each.put(name, one);
        });
        all.put("duties", each);
        return all;
    }

    /** Restores what {@link #state} returned; null for a snapshot from before duties existed. */
    void restore(Map<?, ?> state) {
        duties.clear();
        tokens = 0;
        rev = 0;
        if (state == null) {
            return;
        }
        tokens = ((Number) state.get("tokens")).longValue();
        rev = ((Number) state.get("rev")).longValue();
        ((Map<?, ?>) state.get("duties")).forEach((name, value) -> {
            Map<?, ?> one = (Map<?, ?>) value;
            Duty duty = new Duty();
            duty.holder = (String) one.get("holder");
            duty.token = ((Number) one.get("token")).longValue();
            duty.span = ((Number) one.get("span")).longValue();
            duty.until = ((Number) one.get("until")).longValue();
            duty.rev = ((Number) one.get("rev")).longValue();
            ((Map<?, ?>) one.get("waiting")).forEach((who, until) ->
                    duty.waiting.put(who.toString(), ((Number) until).longValue()));
            ((Map<?, ?>) one.get("state")).forEach((key, val) -> duty.state.put(key.toString(), val));
            ((List<?>) one.get("steps")).forEach(step -> duty.steps.add(step.toString()));
            duty.ordered = ((Number) one.get("ordered")).longValue();
            ((List<?>) one.get("orders")).forEach(each -> {
                Map<String, Object> order = new LinkedHashMap<>();
                ((Map<?, ?>) each).forEach((key, val) -> order.put(key.toString(), val));
                duty.orders.add(order);
            });
            duties.put(name.toString(), duty);
        });
    }
}
