package mastdrift.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.Capabilities;
import mastdrift.Balancer.ConnectionSettings;
import mastdrift.Balancer.CpuBudget;
import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.Guarantees;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.Limits;
import mastdrift.Balancer.LoadReportMode;
import mastdrift.Balancer.Penalties;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.ScoreWeights;
import mastdrift.Balancer.Scoring;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Tenant;
import mastdrift.Balancer.Topology;
import mastdrift.Balancer.WeightMode;

/** Parses an instance's settings from pairs of a path and a value, as they stand in the {@code init} line. */
public final class SettingsParser {

    private final Map<String, String> values;

    /** Values by path. A list of plain values is joined by commas; a list of objects has a count and numbered items. */
    public SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** Takes all remaining fields of a line, each {@code path=value}. */
    static SettingsParser fromPairs(FieldReader fields) {
        Map<String, String> values = new HashMap<>();
        for (String pair : fields.remaining()) {
            int equalsAt = pair.indexOf('=');
            if (equalsAt < 0) {
                throw fields.expected("settings as path=value, not " + pair);
            }
            values.put(pair.substring(0, equalsAt), pair.substring(equalsAt + 1));
        }
        return new SettingsParser(values);
    }

    /** The settings, with a neutral default for each that isn't required.
     *
     * @throws IllegalArgumentException that names the setting that is missing or malformed
     */
    public Settings toSettings(long seed) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < number("classes.count"); i++) {
            classes.add(requestClass("classes." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < number("tenants.count", 0); i++) {
            String path = "tenants." + i + ".";
            tenants.add(new Tenant(string(path + "name"), decimal(path + "fraction", 0),
                    decimal(path + "quota_per_s")));
        }
        boolean listOnRequest = wordIndex("registry_mode", "pushed", "on_request") == 1;
        Limits limits = new Limits(bool("allowed.cancel"), bool("allowed.probes"), bool("allowed.parallel_tries"),
                bool("allowed.may_tell", false), integer("allowed.max_attempts"),
                integer("allowed.max_open", Integer.MAX_VALUE), bool("allowed.retry_after"),
                number("allowed.max_retry_after"));
        ConnectionSettings connections = new ConnectionSettings(number("allowed.dial_timeout"),
                number("allowed.conn_idle", Long.MAX_VALUE), integer("allowed.streams_per_conn", 1));
        CpuBudget cpu = new CpuBudget(number("allowed.cpu_us_per_s", Long.MAX_VALUE),
                decimal("allowed.cpu_us_per_request", 0));
        Guarantees guarantees = new Guarantees(number("guarantees.answer_slack", 0),
                number("guarantees.drain_grace", 0), listOnRequest ? number("guarantees.must_ask_in") : 0,
                decimal("guarantees.cold_from"),
                number("guarantees.warm_within"), decimal("guarantees.tip_multiple"), number("guarantees.fall"));
        Topology topology = new Topology(integer("me", 0), integer("balancers"), string("locality"), list("dcs"),
                list("skus"), integer("layer", 0), list("stages"));
        boolean valueByWork = values.containsKey("worth_by") && wordIndex("worth_by", "request", "work") == 1;
        Scoring scoring = new Scoring(scoreWeights(), penalties(), decimal("over_share_worth", 1), valueByWork);
        LoadReportMode loadReportMode = values.containsKey("stats.how")
                ? LoadReportMode.values()[wordIndex("stats.how", "inline", "on_probe", "off")] : LoadReportMode.OFF;
        Capabilities capabilities = new Capabilities(bool("family_info.warm_keys", false),
                bool("family_info.passes_deadline", false), loadReportMode, list("stats.names"),
                bool("client_habits.marks_retry", false));
        WeightMode weightMode = WeightMode.values()[wordIndex("weights", "off", "nominal", "rough", "live")];
        return new Settings(classes, tenants, limits, connections, cpu, guarantees, scoring, topology, capabilities,
                listOnRequest, weightMode, values.getOrDefault("service_type", ""), number("resolution", 0), seed);
    }

    private RequestClass requestClass(String path) {
        Idempotency idempotency = Idempotency.values()[wordIndex(path + "repeat", "read_like", "idempotency_key",
                "non_idempotent")];
        boolean keyed = idempotency == Idempotency.KEYED;
        DedupScope dedupScope = keyed ? DedupScope.values()[wordIndex(path + "group", "all", "zone", "cell")]
                : DedupScope.ALL;
        return new RequestClass(string(path + "name"), number(path + "target"), decimal(path + "aim_stretch", 0),
                number(path + "deadline"), decimal(path + "credit"), decimal(path + "late_share"), idempotency,
                dedupScope, keyed ? number(path + "dedup_window") : 0, bool(path + "stream", false));
    }

    private ScoreWeights scoreWeights() {
        return new ScoreWeights(decimal("goal.whole", 1), decimal("goal.worst_window", 0),
                decimal("goal.worst_class", 0), decimal("goal.worst_tenant", 0));
    }

    private Penalties penalties() {
        return new Penalties(penalty("cross_zone"), penalty("waste"), penalty("connection"), penalty("handshake"),
                penalty("origin"), penalty("probe"), penalty("peer"), penalty("late_fail"), penalty("moves"),
                penalty("registry_mode"), penalty("fleet"));
    }

    private double penalty(String name) {
        return decimal("prices." + name, 0);
    }

    private List<String> list(String path) {
        String joined = values.getOrDefault(path, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    private String string(String path) {
        String value = values.get(path);
        if (value == null) {
            throw invalid("the setting " + path);
        }
        return value;
    }

    private long number(String path) {
        try {
            return Long.parseLong(string(path));
        } catch (NumberFormatException e) {
            throw invalid(path + " as a whole number, not " + string(path));
        }
    }

    private long number(String path, long fallback) {
        return values.containsKey(path) ? number(path) : fallback;
    }

    private int integer(String path) {
        long value = number(path);
        if (value != (int) value) {
            throw invalid(path + " as a number of 32 bits, not " + value);
        }
        return (int) value;
    }

    private int integer(String path, int fallback) {
        return values.containsKey(path) ? integer(path) : fallback;
    }

    private double decimal(String path) {
        try {
            double value = Double.parseDouble(string(path));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw invalid(path + " as a number, not " + string(path));
        }
        throw invalid(path + " as a finite number");
    }

    private double decimal(String path, double fallback) {
        return values.containsKey(path) ? decimal(path) : fallback;
    }

    private boolean bool(String path) {
        return wordIndex(path, "false", "true") == 1;
    }

    private boolean bool(String path, boolean fallback) {
        return values.containsKey(path) ? bool(path) : fallback;
    }

    /** The index of the value at a path among the words that are allowed there. The words of an enum are in the order
        of its constants. */
    private int wordIndex(String path, String... words) {
        int found = List.of(words).indexOf(string(path));
        if (found < 0) {
            throw invalid(path + " as one of " + String.join(", ", words) + ", not " + string(path));
        }
        return found;
    }

    private static IllegalArgumentException invalid(String what) {
        return new IllegalArgumentException(what);
    }
}
