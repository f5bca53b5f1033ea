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
final class RollingRestart implements DutyWork {

    /** Status of a gateway: readiness, process id, requests in flight, and counts of served and of refused or failed
        requests. */
    record GatewayStatus(boolean ready, String process, double inFlight, double served, double failed) { }

    /** Access to gateways at their admin addresses. A call that changes something carries duty, token and the process
        id that it is meant for; another process refuses it, and so does one that has seen a newer token. */
    interface GatewayClient {
        GatewayStatus status(String admin) throws IOException;

        void standby(String admin, String process, long token) throws IOException;

        void active(String admin, String process, long token) throws IOException;

        /** Replaces that process and no other, so that a delayed holder of the duty can't end its successor. */
        void replace(String name, String process, String command) throws IOException;
    }

    private static final List<String> STAGES = List.of("standby", "quiet", "replace", "active", "ready");
    // of the part of requests refused or failed, over the other gateways
    private static final double MAX_FAILURE_INCREASE = 0.05;
    private static final double MIN_REQUESTS_TO_COMPARE = 50;

    private final GatewayClient gateways;

    RollingRestart(GatewayClient gateways) {
        this.gateways = gateways;
    }

    @Override
    public Step next(Map<String, Object> duty) throws IOException {
        Map<String, Object> state = DutyRunner.stateOf(duty);
        long lastOrder = number(state, "order");
        for (Object each : list(duty.get("orders"))) {
            Map<?, ?> order = (Map<?, ?>) each;
            if (((Number) order.get("number")).longValue() > lastOrder) {
                Map<String, Object> parameters = new LinkedHashMap<>();
                order.forEach((key, value) -> parameters.put(key.toString(), value));
                return new Step("order " + order.get("number"), "order", parameters);
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
        return isStageReady(state, stage) ? step(state, stage) : null;
    }

    private static Step step(Map<String, Object> state, String what) {
        return new Step(state.get("id") + " " + number(state, "at") + " " + what, what, Map.of());
    }

    /** Whether the condition for a stage is met. */
    private boolean isStageReady(Map<String, Object> state, String stage) throws IOException {
        Map<?, ?> target = target(state);
        switch (stage) {
            case "standby" -> {
                return canTakeOut(state, target);
            }
            case "quiet" -> {
                return gateways.status(admin(target)).inFlight == 0;
            }
            case "ready" -> {
                GatewayStatus status = gateways.status(admin(target));
                return status.ready && status.served + status.failed >= number(state, "settle");
            }
            default -> {
                return true;
            }
        }
    }

    /** Whether all other gateways are ready and enough of the target's zone remain. */
    private boolean canTakeOut(Map<String, Object> state, Map<?, ?> target) throws IOException {
        Map<?, ?> plan = (Map<?, ?>) state.get("plan");
        double minReadyFraction = ((Number) plan.get("keep")).doubleValue();
        int zoneSize = 0;
        int zoneReady = 0;
        for (Object each : list(plan.get("gateways"))) {
            Map<?, ?> other = (Map<?, ?>) each;
            boolean ready = other == target || gateways.status(admin(other)).ready;
            if (!ready) {
                return false;
            }
            if (Objects.equals(other.get("zone"), target.get("zone"))) {
                zoneSize++;
                zoneReady += other == target ? 0 : 1;
            }
        }
        return zoneReady >= Math.floor(minReadyFraction * zoneSize);
    }

    @Override
    public Map<String, Object> act(Step step, Map<String, Object> state, long token, LeaseCheck leaseCheck)
            throws IOException {
        Map<String, Object> newState = new LinkedHashMap<>(state);
        if (step.what().equals("order")) {
            return applyOrder(step.parameters(), newState);
        }
        Map<?, ?> target = target(state);
        switch (step.what()) {
            case "standby" -> {
                GatewayStatus status = gateways.status(admin(target));
                newState.put("process", status.process);
                newState.put("figures", requestCounts(state));
                leaseCheck.check();
                gateways.standby(admin(target), status.process, token);
            }
            case "replace" -> {
                Object command = ((Map<?, ?>) state.get("plan")).get("replace");
                if (command != null && Objects.equals(gateways.status(admin(target)).process, state.get("process"))) {
                    leaseCheck.check();
                    gateways.replace(target.get("name").toString(), state.get("process").toString(),
                            command.toString());
                }
            }
            case "active" -> {
                GatewayStatus status = gateways.status(admin(target));
                leaseCheck.check();
                gateways.active(admin(target), status.process, token);
            }
            case "undo" -> {
                GatewayStatus status = gateways.status(admin(target));
                leaseCheck.check();
                gateways.active(admin(target), status.process, token);
                newState.put("phase", "aborted");
                return newState;
            }
            default -> { }
        }
        return advanceStage(newState, step.what());
    }

    private Map<String, Object> advanceStage(Map<String, Object> newState, String stage) throws IOException {
        int next = STAGES.indexOf(stage) + 1;
        newState.put("stage", next % STAGES.size());
        if (next == STAGES.size()) {
            String failureReason = failureIncrease(newState);
            int gatewayIndex = (int) number(newState, "at") + 1;
            newState.remove("process");
            if (failureReason != null) {
                newState.put("phase", "aborted");
                newState.put("why", failureReason);
            } else if (gatewayIndex == list(((Map<?, ?>) newState.get("plan")).get("gateways")).size()) {
                newState.put("phase", "done");
            }
            newState.put("at", gatewayIndex);
        }
        return newState;
    }

    private static Map<String, Object> applyOrder(Map<String, Object> order, Map<String, Object> newState) {
        String phase = Objects.toString(newState.get("phase"), "idle");
        boolean inProgress = phase.equals("running") || phase.equals("paused");
        newState.put("order", order.get("number"));
        switch (Objects.toString(order.get("what"))) {
            case "start" -> {
                if (!inProgress && !phase.equals("undoing")) {
                    newState.keySet().retainAll(List.of("order", "begun"));
                    newState.put("id", order.get("id"));
                    newState.put("plan", order.get("plan"));
                    newState.put("settle", ((Map<?, ?>) order.get("plan")).get("settle"));
                    newState.put("phase", "running");
                    newState.put("at", 0);
                    newState.put("stage", 0);
                }
            }
            case "pause" -> newState.put("phase", phase.equals("running") ? "paused" : phase);
            case "resume" -> newState.put("phase", phase.equals("paused") ? "running" : phase);
            case "abort" -> {
                // A gateway that is out of service has to be put back; between two gateways there is nothing to undo.
                boolean gatewayIsOut = number(newState, "stage") > 0;
                newState.put("phase", !inProgress ? phase : gatewayIsOut ? "undoing" : "aborted");
                newState.put("why", "ordered");
            }
            default -> { }
        }
        return newState;
    }

    private static Map<?, ?> target(Map<String, Object> state) {
        return (Map<?, ?>) list(((Map<?, ?>) state.get("plan")).get("gateways")).get((int) number(state, "at"));
    }

    private static String admin(Map<?, ?> target) {
        return target.get("admin").toString();
    }

    /** Current counts of served and of failed requests, by gateway. */
    private Map<String, Object> requestCounts(Map<String, Object> state) throws IOException {
        Map<String, Object> counts = new LinkedHashMap<>();
        for (Object each : list(((Map<?, ?>) state.get("plan")).get("gateways"))) {
            Map<?, ?> gateway = (Map<?, ?>) each;
            GatewayStatus status = gateways.status(admin(gateway));
            counts.put(gateway.get("name").toString(), List.of(status.served, status.failed));
        }
        return counts;
    }

    /** Compares the requests refused or failed since the current gateway was taken out, between the gateways restarted
        so far and the others; returns a reason to abort, or null. */
    private String failureIncrease(Map<String, Object> state) throws IOException {
        Map<?, ?> countsBefore = (Map<?, ?>) state.get("figures");
        double[] served = new double[2];
        double[] failed = new double[2];
        List<?> gatewayMaps = list(((Map<?, ?>) state.get("plan")).get("gateways"));
        for (int i = 0; i < gatewayMaps.size(); i++) {
            Map<?, ?> gateway = (Map<?, ?>) gatewayMaps.get(i);
            GatewayStatus status = gateways.status(admin(gateway));
            List<?> previous = list(countsBefore.get(gateway.get("name")));
            int group = i <= number(state, "at") ? 0 : 1;
            // The counters of a replaced process start at 0.
            double previousServed = ((Number) previous.get(0)).doubleValue();
            served[group] += status.served >= previousServed ? status.served - previousServed : status.served;
            double previousFailed = ((Number) previous.get(1)).doubleValue();
            failed[group] += status.failed >= previousFailed ? status.failed - previousFailed : status.failed;
        }
        if (served[0] + failed[0] < MIN_REQUESTS_TO_COMPARE || served[1] + failed[1] < MIN_REQUESTS_TO_COMPARE) {
            return null;
        }
        double restartedFraction = failed[0] / (served[0] + failed[0]);
        double otherFraction = failed[1] / (served[1] + failed[1]);
        return restartedFraction > otherFraction + MAX_FAILURE_INCREASE ? String.format(java.util.Locale.ROOT,
                "%.0f%% refused or failed at gateways touched, %.0f%% at the others", 100 * restartedFraction,
                100 * otherFraction) : null;
    }

    private static long number(Map<String, Object> state, String field) {
        return state.get(field) instanceof Number number ? number.longValue() : 0;
    }

    private static List<?> list(Object value) {
        return value instanceof List<?> list ? list : new ArrayList<>();
    }
}
