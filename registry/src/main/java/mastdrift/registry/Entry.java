package mastdrift.registry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * A host on the endpoint list (PROTOCOL, "Discovery").
 *
 * @param uid the host's name, the same for every gateway
 * @param endpoint address and port on which it listens
 * @param zone its zone, {@code az} in lists
 * @param model its machine type
 * @param podGroup number shared by hosts that fail together
 * @param state {@code in_service}, {@code terminating} or, only in updates, {@code terminated}
 * @param capacityHint its capacity as a relative weight
 * @param bootMs the Unix time in milliseconds at which it last started; 0 if long ago
 */
public record Entry(String uid, String endpoint, String zone, String model, long podGroup, String state,
        double capacityHint, long bootMs) {

    static final String IN_SERVICE = "in_service";
    static final String TERMINATING = "terminating";
    static final String TERMINATED = "terminated";

    Entry withState(String newState) {
        return new Entry(uid, endpoint, zone, model, podGroup, newState, capacityHint, bootMs);
    }

    /** The JSON object that lists contain. */
    public Map<String, Object> toTarget() {
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

    /** Parses a list's or caller's JSON object; throws IllegalArgumentException that names every error. */
    public static Entry parse(Map<?, ?> target) {
        StringBuilder errors = new StringBuilder();
        String uid = text(target, "uid", null, errors);
        String endpoint = text(target, "endpoint", null, errors);
        int colon = endpoint.lastIndexOf(':');
        if (!endpoint.isEmpty() && (colon < 1 || !endpoint.substring(colon + 1).matches("[0-9]{1,5}"))) {
            errors.append("; endpoint: expected address:port, not ").append(endpoint);
        }
        String state = text(target, "state", IN_SERVICE, errors);
        if (!state.equals(IN_SERVICE) && !state.equals(TERMINATING) && !state.equals(TERMINATED)) {
            errors.append("; state: expected in_service or terminating, not ").append(state);
        }
        Entry entry = new Entry(uid, endpoint, text(target, "az", "", errors), text(target, "model", "", errors),
                (long) number(target, "pod_group", 0, errors), state, number(target, "capacity_hint", 1, errors),
                (long) number(target, "boot_ms", 0, errors));
        if (errors.length() > 0) {
            throw new IllegalArgumentException(errors.substring(2));
        }
        return entry;
    }

    /** Reads a string; a null {@code defaultValue} makes the field required. */
    private static String text(Map<?, ?> target, String field, String defaultValue, StringBuilder errors) {
        Object value = target.get(field);
        if (value == null && defaultValue == null || value != null && !(value instanceof String)
                || defaultValue == null && value.toString().isBlank()) {
            errors.append("; ").append(field).append(": expected a text");
            return "";
        }
        return Objects.toString(value, defaultValue);
    }

    private static double number(Map<?, ?> target, String field, double defaultValue, StringBuilder errors) {
        Object value = target.get(field);
        if (value != null && !(value instanceof Number)) {
            errors.append("; ").append(field).append(": expected a number");
        }
        return value instanceof Number number ? number.doubleValue() : defaultValue;
    }
}
