package mastdrift.registry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * A host as lists have it (PROTOCOL, "Discovery").
 *
 * @param uid its name, the same for every gateway
 * @param endpoint where it listens
 * @param zone {@code az} in lists
 * @param model its kind of machine
 * @param podGroup a number that hosts have in common that fail together
 * @param state {@code in_service}, {@code terminating} or, among changes alone, {@code terminated}
 * @param capacityHint what it can take, as a weight
 * @param bootMs the Unix time in milliseconds at which it last started, 0 for long ago
 */
public record Entry(String uid, String endpoint, String zone, String model, long podGroup, String state,
        double capacityHint, long bootMs) {

    static final String IN_SERVICE = "in_service";
    static final String TERMINATING = "terminating";
    static final String TERMINATED = "terminated";

    Entry in(String other) {
        return new Entry(uid, endpoint, zone, model, podGroup, other, capacityHint, bootMs);
    }

    /** As lists have it. */
    public Map<String, Object> target() {
        Map<String, Object> target = new LinkedHashMap<>();
        target.put("uid", uid);
        target.put("endpoint", endpoint);
        target.put("az", zone);
        target.put("model", model);
        target.put("pod_group", podGroup);
        target.put("state", state);
        target.put("capacity_hint", capacityHint);
        target.put("boot_ms", bootMs);
        return target;
    }

    /** Of what a list or a caller says; throws IllegalArgumentException that names all that is wrong with it. */
    public static Entry of(Map<?, ?> target) {
        StringBuilder faults = new StringBuilder();
        String uid = text(target, "uid", null, faults);
        String endpoint = text(target, "endpoint", null, faults);
        int colon = endpoint.lastIndexOf(':');
        if (!endpoint.isEmpty() && (colon < 1 || !endpoint.substring(colon + 1).matches("[0-9]{1,5}"))) {
            faults.append("; endpoint: expected address:port, not ").append(endpoint);
        }
        String state = text(target, "state", IN_SERVICE, faults);
        if (!state.equals(IN_SERVICE) && !state.equals(TERMINATING) && !state.equals(TERMINATED)) {
            faults.append("; state: expected in_service or terminating, not ").append(state);
        }
        Entry entry = new Entry(uid, endpoint, text(target, "az", "", faults), text(target, "model", "", faults),
                (long) number(target, "pod_group", 0, faults), state, number(target, "capacity_hint", 1, faults),
                (long) number(target, "boot_ms", 0, faults));
        if (faults.length() > 0) {
            throw new IllegalArgumentException(faults.substring(2));
        }
        return entry;
    }

    /** Null for {@code otherwise}: it is needed. */
    private static String text(Map<?, ?> target, String name, String otherwise, StringBuilder faults) {
        Object value = target.get(name);
        if (value == null && otherwise == null || value != null && !(value instanceof String)
                || otherwise == null && value.toString().isBlank()) {
            faults.append("; ").append(name).append(": expected a text");
            return "";
        }
        return Objects.toString(value, otherwise);
    }

    private static double number(Map<?, ?> target, String name, double otherwise, StringBuilder faults) {
        Object value = target.get(name);
        if (value != null && !(value instanceof Number)) {
            faults.append("; ").append(name).append(": expected a number");
        }
        return value instanceof Number number ? number.doubleValue() : otherwise;
    }
}
