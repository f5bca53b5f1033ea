package mastdrift.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.WeightMode;
import mastdrift.common.Range;
import mastdrift.common.TomlFile;

/** Reads a day from TOML. Every key that is unknown, of a wrong type or out of its bounds is named with file and line,
    all of them at once. What a file leaves out is as on the site that the gateway serves. */
final class DayFile {

    private DayFile() { }

    /** Throws Faults for a file that is no day, IOException for one that can't be read. */
    static Plan read(Path file) throws TomlFile.ValidationException, IOException {
        return plan(TomlFile.read(file));
    }

    /** The same for a text. */
    static Plan parse(String text, String name) throws TomlFile.ValidationException {
        return plan(TomlFile.parse(text, name));
    }

    private static Plan plan(TomlFile file) throws TomlFile.ValidationException {
        TomlFile.Section top = file.root();
        TomlFile.Section f = top.section("fleet");
        Plan.Fleet fleet = new Plan.Fleet(f.integer("gateways", 3, 1, 5_000), f.integer("hosts", 10, 1, 20_000),
                f.names("zones", List.of("a", "b", "c")), f.names("regions", List.of()),
                f.range("start_s", 2, 4, 0.1, 60), f.integer("hosts_per_cell", 4, 1, 1_000));
        if (!fleet.regions().isEmpty() && fleet.regions().size() != fleet.zones().size()) {
            f.addError("regions", "expected one for each zone, " + fleet.zones().size());
        }
        f.rejectUnknownKeys();
        TomlFile.Section h = top.section("hosts");
        Plan.Hosts hosts = new Plan.Hosts(h.range("handshake_rtts", 2, 3, 0, 10), h.range("handshake_ms", 0.5, 1, 0, 100),
                h.range("connections_per_core", 600, 900, 1, 1e6), h.number("idle_s", 60, 0.1, 3600),
                h.number("dial_timeout_ms", 250, 1, 60_000), h.range("choke_at", 7, 4, 1, 1000),
                h.range("choke_over_s", 2.5, 1.5, 0.1, 60), h.range("choke_slower", 2, 3.5, 1, 100),
                h.range("choke_below", 0.4, 0.25, 0, 1), h.range("choke_rest_s", 2, 5, 0, 60),
                h.range("key_gain", 0.27, 0.56, 0, 0.95), h.range("keys_per_core", 6, 12, 0, 1e6),
                h.range("probe_ms", 0.4, 0.8, 0, 100), h.bool("cancels", false),
                h.enumValue("weights", WeightMode.class, WeightMode.LIVE));
        h.rejectUnknownKeys();
        List<Plan.Kind> kinds = new ArrayList<>();
        for (TomlFile.Section k : top.sections("kind")) {
            kinds.add(new Plan.Kind(k.name("name", "std"), k.range("share", 0.5, 0.5, 0.001, 1),
                    k.integer("cores", 2, 1, 256), k.range("speed", 0.85, 1.1, 0.01, 100),
                    k.range("slots_per_core", 4, 12, 1, 1000), k.range("queue_per_core", 10, 39, 0, 10_000),
                    k.range("cold_from", 0.32, 0.6, 0.01, 1), k.range("cold_s", 3, 8, 0, 600),
                    k.range("error_part", 0, 0.003, 0, 1)));
            k.rejectUnknownKeys();
        }
        TomlFile.Section t = top.section("traffic");
        Plan.Traffic traffic = new Plan.Traffic(t.range("load", 0.65, 0.85, 0.001, 10), t.range("swing", 0.1, 0.3, 0, 1),
                t.integer("keys", 250, 1, 10_000_000), t.range("zipf", 0.63, 0.87, 0.01, 5),
                t.range("uneven", 0.05, 0.3, 0, 5));
        t.rejectUnknownKeys();
        List<Plan.ClassPlan> classes = new ArrayList<>();
        for (TomlFile.Section c : top.sections("class")) {
            classes.add(new Plan.ClassPlan(c.name("name", "read"), c.range("share", 0.5, 0.5, 0.001, 1),
                    c.range("work_ms", 16, 28, 0.01, 60_000), c.range("variation", 0.96, 1.4, 0, 10),
                    c.number("aim_ms", 250, 1, 600_000), c.number("deadline_ms", 670, 1, 600_000),
                    c.number("worth", 8, 0.001, 1e6), c.number("late_worth", 0, 0, 1),
                    c.enumValue("repeat", Idempotency.class, Idempotency.KEYED), c.enumValue("group", DedupScope.class, DedupScope.ZONE),
                    c.number("window_ms", 2000, 1, 600_000)));
            c.rejectUnknownKeys();
        }
        TomlFile.Section c = top.section("clients");
        Plan.Clients clients = new Plan.Clients(c.range("retries", 1, 3, 0, 100), c.range("try_share", 0.5, 0.8, 0.01, 1),
                c.range("backoff_ms", 10, 80, 0, 60_000), c.range("honour", 0.7, 1, 0, 1),
                c.range("impatient", 0, 0.03, 0, 1), c.number("max_retry_after_ms", 2000, 0, 600_000),
                c.bool("marks_retry", true));
        c.rejectUnknownKeys();
        TomlFile.Section r = top.section("front");
        Plan.Front front = new Plan.Front(r.range("notice_s", 0.4, 1.2, 0, 600));
        r.rejectUnknownKeys();
        TomlFile.Section n = top.section("net");
        Plan.Net net = new Plan.Net(n.range("same_ms", 0.16, 0.33, 0, 10_000), n.range("cross_ms", 0.9, 1.7, 0, 10_000),
                n.range("far_ms", 12, 30, 0, 10_000), n.range("client_ms", 0.26, 0.82, 0, 10_000), n.range("jitter", 0.06, 0.33, 0, 5));
        n.rejectUnknownKeys();
        TomlFile.Section l = top.section("lists");
        Plan.Lists lists = new Plan.Lists(l.range("notice_s", 0.3, 1.8, 0, 600), l.range("silent_notice_s", 2, 5, 0, 600),
                l.range("add_s", 0.2, 1, 0, 600), l.range("period_ms", 200, 1200, 1, 60_000),
                l.range("calls_per_s", 200, 200, 0.1, 1e6));
        l.rejectUnknownKeys();
        TomlFile.Section u = top.section("rules");
        Plan.Rules rules = new Plan.Rules(u.number("slack_ms", 20, 0, 60_000), u.number("drain_grace_ms", 1500, 0, 600_000),
                u.number("fall_multiple", 4, 1, 1000), u.number("fall_ms", 1000, 1, 600_000),
                u.integer("max_attempts", 4, 1, 100), u.bool("second_copies", true), u.bool("probes", true));
        u.rejectUnknownKeys();
        TomlFile.Section g = top.section("goal");
        Plan.Goal goal = new Plan.Goal(g.number("whole", 0.35, 0, 1), g.number("worst_window", 0.45, 0, 1),
                g.number("worst_class", 0.2, 0, 1), g.number("cross_zone", 0.013, 0, 10), g.number("waste", 0.027, 0, 10),
                g.number("probe", 0.05, 0, 10), g.number("handshake", 0, 0, 10));
        g.rejectUnknownKeys();
        List<Plan.Trouble> troubles = new ArrayList<>();
        for (TomlFile.Section b : top.sections("trouble")) {
            Plan.What what = b.enumValue("kind", Plan.What.class, null);
            troubles.add(new Plan.Trouble(what, b.range("at_s", 5, 15, 0, 86_400), b.range("for_s", 5, 20, 0.01, 86_400),
                    b.range("part", 0.1, 0.3, 0, 1), b.range("size", 2, 3, 0, 1000)));
            b.rejectUnknownKeys();
        }
        String name = top.name("name", "day");
        int seconds = top.integer("seconds", 45, 1, 86_400);
        Range tick = top.range("tick_ms", 1, 1, 0.1, 1000);
        top.rejectUnknownKeys();
        file.throwIfInvalid();
        if (kinds.isEmpty()) {
            kinds.add(DEFAULT_KIND);
        }
        if (classes.isEmpty()) {
            classes.addAll(DEFAULT_CLASSES);
        }
        return new Plan(name, seconds, tick, fleet, hosts, kinds, traffic, classes, clients, front, net, lists, rules, goal,
                troubles);
    }

    private static final Plan.Kind DEFAULT_KIND = new Plan.Kind("std", Range.of(1), 2, new Range(0.85, 1.1),
            new Range(4, 12), new Range(11, 39), new Range(0.32, 0.6), new Range(1, 3),
            new Range(0, 0.003));
    private static final List<Plan.ClassPlan> DEFAULT_CLASSES = List.of(
            new Plan.ClassPlan("leitura", new Range(0.58, 0.86), new Range(16, 28), new Range(0.96, 1.4), 250,
                    670, 8, 0, Idempotency.KEYED, DedupScope.ZONE, 2000),
            new Plan.ClassPlan("fechamento", new Range(0.22, 0.34), new Range(17, 30), new Range(0.74, 1.5), 150,
                    670, 10, 0, Idempotency.UNSAFE, DedupScope.ALL, 2000));
}
