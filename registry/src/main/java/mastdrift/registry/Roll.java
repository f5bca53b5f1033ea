package mastdrift.registry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Work of the duty {@code roll}: a rolling restart, started and controlled by operators' orders. Takes the gateways of
 * a plan out of service one after the other, has each replaced, and puts it back into service. All state is in the
 * duty, so a successor continues at the same point. It aborts by itself if the gateways restarted so far fail more
 * requests than the others.
 */
final class Roll implements DutyWork {

    /** Status of a gateway: readiness, process id, requests in flight, and counts of served and of refused or failed
        requests. */
    record Seen(boolean ready, String process, double inFlight, double served, double bad) { }

    /** Access to gateways at their admin addresses. A call that changes something carries duty, token and the process
        id that it is meant for; another process refuses it, and so does one that has seen a newer token. */
    interface Gateways {
        Seen look(String admin) throws IOException;

        void standby(String admin, String process, long token) throws IOException;

        void active(String admin, String process, long token) throws IOException;

        /** Replaces that process and no other, so that a delayed holder of the duty can't end its successor. */
        void replace(String name, String process, String command) throws IOException;
    }

    private static final List<String> STAGES = List.of("standby", "quiet", "replace", "active", "ready");
    private static final double WORSE = 0.05;  // of the part of requests refused or failed, over the other gateways
    private static final double ENOUGH = 50;

    private final Gateways gateways;

    Roll(Gateways gateways) {
        this.gateways = gateways;
    }

    @Override
    public Step next(Map<String, Object> duty) throws IOException {
        Map<String, Object> state = DutyRunner.state(duty);
        long done = number(state, "order");
        for (Object each : list(duty.get("orders"))) {
            Map<?, ?> order = (Map<?, ?>) each;
            if (((Number) order.get("number")).longValue() > done) {
                Map<String, Object> facts = new LinkedHashMap<>();
                order.forEach((key, value) -> facts.put(key.toString(), value));
                return new Step("order " + order.get("number"), "order", facts);
            }
        }
        String phase = Objects.toString(state.get("phase"), "idle");
        if (phase.equals("undoing")) {
            return step(state, "undo");
        }
        if (!phase.equals("running")) {
            return null;
        }
        String stage = STAGES.get((int) number(state, "stage"));
        return may(state, stage) ? step(state, stage) : null;
    }

    private static Step step(Map<String, Object> state, String what) {
        return new Step(state.get("id") + " " + number(state, "at") + " " + what, what, Map.of());
    }

    /** Whether the condition for a stage is met. */
    private boolean may(Map<String, Object> state, String stage) throws IOException {
        Map<?, ?> target = target(state);
        switch (stage) {
            case "standby" -> {
                return mayLeave(state, target);
            }
            case "quiet" -> {
                return gateways.look(admin(target)).inFlight == 0;
            }
            case "ready" -> {
                Seen seen = gateways.look(admin(target));
                return seen.ready && seen.served + seen.bad >= number(state, "settle");
            }
            default -> {
                return true;
            }
        }
    }

    /** Whether all other gateways are ready and enough of the target's zone remain. */
    private boolean mayLeave(Map<String, Object> state, Map<?, ?> target) throws IOException {
        Map<?, ?> plan = (Map<?, ?>) state.get("plan");
        double keep = ((Number) plan.get("keep")).doubleValue();
        int zone = 0;
        int ready = 0;
        for (Object each : list(plan.get("gateways"))) {
            Map<?, ?> other = (Map<?, ?>) each;
            boolean up = other == target || gateways.look(admin(other)).ready;
            if (!up) {
                return false;
            }
            if (Objects.equals(other.get("zone"), target.get("zone"))) {
                zone++;
                ready += other == target ? 0 : 1;
            }
        }
        return ready >= Math.floor(keep * zone);
    }

    @Override
    public Map<String, Object> act(Step step, Map<String, Object> state, long token, Held held) throws IOException {
        Map<String, Object> after = new LinkedHashMap<>(state);
        if (step.what().equals("order")) {
            return ordered(step.facts(), after);
        }
        Map<?, ?> target = target(state);
        switch (step.what()) {
            case "standby" -> {
                Seen seen = gateways.look(admin(target));
                after.put("process", seen.process);
                after.put("figures", figures(state));
                held.check();
                gateways.standby(admin(target), seen.process, token);
            }
            case "replace" -> {
                Object command = ((Map<?, ?>) state.get("plan")).get("replace");
                if (command != null && Objects.equals(gateways.look(admin(target)).process, state.get("process"))) {
                    held.check();
                    gateways.replace(target.get("name").toString(), state.get("process").toString(), command.toString());
                }
            }
            case "active" -> {
                Seen seen = gateways.look(admin(target));
                held.check();
                gateways.active(admin(target), seen.process, token);
            }
            case "undo" -> {
                Seen seen = gateways.look(admin(target));
                held.check();
                gateways.active(admin(target), seen.process, token);
                after.put("phase", "aborted");
                return after;
            }
            default -> { }
        }
        return advanced(after, step.what());
    }

    private Map<String, Object> advanced(Map<String, Object> after, String stage) throws IOException {
        int next = STAGES.indexOf(stage) + 1;
        after.put("stage", next % STAGES.size());
        if (next == STAGES.size()) {
            String why = worse(after);
            int at = (int) number(after, "at") + 1;
            after.remove("process");
            if (why != null) {
                after.put("phase", "aborted");
                after.put("why", why);
            } else if (at == list(((Map<?, ?>) after.get("plan")).get("gateways")).size()) {
                after.put("phase", "done");
            }
            after.put("at", at);
        }
        return after;
    }

    private static Map<String, Object> ordered(Map<String, Object> order, Map<String, Object> after) {
        String phase = Objects.toString(after.get("phase"), "idle");
        boolean on = phase.equals("running") || phase.equals("paused");
        after.put("order", order.get("number"));
        switch (Objects.toString(order.get("what"))) {
            case "start" -> {
                if (!on && !phase.equals("undoing")) {
                    after.keySet().retainAll(List.of("order", "begun"));
                    after.put("id", order.get("id"));
                    after.put("plan", order.get("plan"));
                    after.put("settle", ((Map<?, ?>) order.get("plan")).get("settle"));
                    after.put("phase", "running");
                    after.put("at", 0);
                    after.put("stage", 0);
                }
            }
            case "pause" -> after.put("phase", phase.equals("running") ? "paused" : phase);
            case "resume" -> after.put("phase", phase.equals("paused") ? "running" : phase);
            case "abort" -> {
                // A gateway that is out of service has to be put back; between two gateways there is nothing to undo.
                boolean out = number(after, "stage") > 0;
                after.put("phase", !on ? phase : out ? "undoing" : "aborted");
                after.put("why", "ordered");
            }
            default -> { }
        }
        return after;
    }

    private static Map<?, ?> target(Map<String, Object> state) {
        return (Map<?, ?>) list(((Map<?, ?>) state.get("plan")).get("gateways")).get((int) number(state, "at"));
    }

    private static String admin(Map<?, ?> target) {
        return target.get("admin").toString();
    }

    /** Current counts of served and of failed requests, by gateway. */
    private Map<String, Object> figures(Map<String, Object> state) throws IOException {
        Map<String, Object> figures = new LinkedHashMap<>();
        for (Object each : list(((Map<?, ?>) state.get("plan")).get("gateways"))) {
            Map<?, ?> gateway = (Map<?, ?>) each;
            Seen seen = gateways.look(admin(gateway));
            figures.put(gateway.get("name").toString(), List.of(seen.served, seen.bad));
        }
        return figures;
    }

    /** Compares the requests refused or failed since the current gateway was taken out, between the gateways restarted
        so far and the others; returns a reason to abort, or null. */
    private String worse(Map<String, Object> state) throws IOException {
        Map<?, ?> before = (Map<?, ?>) state.get("figures");
        double[] served = new double[2];
        double[] bad = new double[2];
        List<?> all = list(((Map<?, ?>) state.get("plan")).get("gateways"));
        for (int i = 0; i < all.size(); i++) {
            Map<?, ?> gateway = (Map<?, ?>) all.get(i);
            Seen seen = gateways.look(admin(gateway));
            List<?> then = list(before.get(gateway.get("name")));
            int side = i <= number(state, "at") ? 0 : 1;
            // The counters of a replaced process start at 0.
            double servedThen = ((Number) then.get(0)).doubleValue();
            served[side] += seen.served >= servedThen ? seen.served - servedThen : seen.served;
            double badThen = ((Number) then.get(1)).doubleValue();
            bad[side] += seen.bad >= badThen ? seen.bad - badThen : seen.bad;
        }
        if (served[0] + bad[0] < ENOUGH || served[1] + bad[1] < ENOUGH) {
            return null;
        }
        double touched = bad[0] / (served[0] + bad[0]);
        double untouched = bad[1] / (served[1] + bad[1]);
        return touched > untouched + WORSE ? String.format(java.util.Locale.ROOT,
                "%.0f%% refused or failed at gateways touched, %.0f%% at the others", 100 * touched, 100 * untouched) : null;
    }

    private static long number(Map<String, Object> state, String name) {
        return state.get(name) instanceof Number number ? number.longValue() : 0;
    }

    private static List<?> list(Object value) {
        return value instanceof List<?> list ? list : new ArrayList<>();
    }
}
