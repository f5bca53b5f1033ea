package mastdrift.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import mastdrift.common.TomlFile;

/** Reads a plan from TOML. All errors are reported together, with file, line and key. */
final class PlanFile {

    private PlanFile() { }

    static RigPlan read(Path file) throws TomlFile.ValidationException, IOException {
        return plan(TomlFile.read(file));
    }

    /** Reads a plan from a text; {@code name} stands for the file in error messages. */
    static RigPlan parse(String text, String name) throws TomlFile.ValidationException {
        return plan(TomlFile.parse(text, name));
    }

    private static RigPlan plan(TomlFile file) throws TomlFile.ValidationException {
        TomlFile.Section top = file.root();
        TomlFile.Section g = top.section("gateways");
        RigPlan.Gateways gateways = new RigPlan.Gateways(g.integer("count", 0, 0, 60), g.bool("agents", false));
        g.rejectUnknownKeys();
        TomlFile.Section h = top.section("hosts");
        RigPlan.Hosts hosts = new RigPlan.Hosts(h.integer("count", 0, 0, 100), h.names("zones", List.of("a", "b", "c")),
                h.integer("cores", 2, 1, 64), h.range("work_ms", 4, 8, 0.01, 1000),
                h.integer("lease_ms", 0, 0, 600_000));
        h.rejectUnknownKeys();
        TomlFile.Section l = top.section("load");
        RigPlan.Load load = new RigPlan.Load(l.range("rate", 0, 0, 0, 20_000), l.integer("keys", 250, 1, 1_000_000),
                l.number("fresh", 0, 0, 1), l.number("leave", 0, 0, 1),
                l.range("deadline_ms", Load.DEADLINE_MILLIS, Load.DEADLINE_MILLIS, 20, 60_000), l.range("idle", 0, 0, 0, 2000),
                l.range("stuck", 0, 0, 0, 100), l.number("crowd", 0, 0, 1), l.bool("direct", false));
        l.rejectUnknownKeys();
        TomlFile.Section r = top.section("registry");
        RigPlan.Registry registry = new RigPlan.Registry(r.integer("replicas", 0, 0, 7));
        r.rejectUnknownKeys();
        TomlFile.Section w = top.section("work");
        RigPlan.Work work = new RigPlan.Work(w.integer("writers", 0, 0, 64), w.integer("entries", 8, 1, 10_000),
                w.integer("watchers", 0, 0, 2000), w.range("rate", 20, 20, 0.1, 1000), w.integer("lease_ms", 0, 0, 600_000));
        w.rejectUnknownKeys();
        TomlFile.Section d = top.section("duties");
        RigPlan.Duties duties = new RigPlan.Duties(d.integer("candidates", 0, 0, 20), d.integer("term_ms", 3000, 500, 60_000),
                d.range("start_s", 1, 2, 0, 600));
        d.rejectUnknownKeys();
        TomlFile.Section m = top.section("members");
        RigPlan.Members members = new RigPlan.Members(m.integer("count", 0, 0, 80), m.names("zones", List.of("a", "b", "c")));
        m.rejectUnknownKeys();
        if (members.count() > 0 && registry.replicas() == 0) {
            m.addError("count", "needs [registry] replicas of 1 or more");
        }
        if (duties.candidates() > 0 && (registry.replicas() == 0 || gateways.count() == 0)) {
            d.addError("candidates", "needs [registry] replicas and [gateways]");
        }
        if (gateways.agents() && registry.replicas() == 0) {
            g.addError("agents", "needs [registry] replicas of 1 or more");
        }
        if (load.rate().to() > 0 && (gateways.count() == 0 || hosts.count() == 0)) {
            l.addError("rate", "needs [gateways] and [hosts]");
        }
        if ((work.writers() > 0 || work.watchers() > 0) && registry.replicas() == 0) {
            w.addError("writers", "needs [registry] replicas of 1 or more");
        }
        boolean relay = top.bool("relay", true);
        List<RigPlan.Trouble> faults = new ArrayList<>();
        for (TomlFile.Section f : top.sections("fault")) {
            faults.add(fault(f, relay));
        }
        List<String> checks = top.names("check", List.of("rules"));
        for (String check : checks) {
            if (!Checks.NAMES.contains(check)) {
                top.addError("check", "expected some of " + String.join(", ", Checks.NAMES) + ", not " + check);
            }
        }
        RigPlan plan = new RigPlan(top.name("name", "plan"), top.integer("seconds", 15, 1, 3600),
                top.integer("settle_s", 3, 0, 120), relay, gateways, hosts, load, registry, work, duties, members,
                faults, checks);
        top.rejectUnknownKeys();
        file.throwIfInvalid();
        return plan;
    }

    private static RigPlan.Trouble fault(TomlFile.Section f, boolean relay) {
        Fault.Kind kind = f.enumValue("kind", Fault.Kind.class, null);
        String when = f.string("when", null);
        if (when != null) {
            try {
                Pattern.compile(when);
            } catch (PatternSyntaxException e) {
                f.addError("when", "expected a regular expression: " + e.getDescription());
            }
        }
        boolean link = kind != null && kind.link;
        String process = f.name("process", null);
        String from = f.name("from", null);
        String to = f.name("to", null);
        if (kind != null && link && (from == null || to == null)) {
            f.addError("kind", "needs from and to, as between two processes");
        }
        if (kind != null && !link && process == null) {
            f.addError("kind", "needs process");
        }
        if (link && !relay) {
            f.addError("kind", "needs links, which relay = false leaves out");
        }
        RigPlan.Trouble trouble = new RigPlan.Trouble(kind, process, from, to, f.integer("pick", 0, 0, 200),
                f.range("at_s", 3, 6, 0, 3600), f.range("for_s", 2, 4, 0, 3600), f.enumValue("way", Link.Way.class, Link.Way.BOTH),
                f.range("size", 0, 0, kind == Fault.Kind.SYSTEM_CALL ? -1e9 : 0, 1e9), f.number("spread", 0, 0, 1), f.enumValue("back", Fault.Back.class, Fault.Back.KEEP),
                when, f.number("heal", 1, 0, 1), f.integer("times", 1, 1, 100),
                kind == Fault.Kind.SYSTEM_CALL ? systemCall(f) : null, f.number("chance", 1, 0, 1));
        f.rejectUnknownKeys();
        return trouble;
    }

    private static SystemCall systemCall(TomlFile.Section f) {
        SystemCall.Call call = f.enumValue("call", SystemCall.Call.class, null);
        String name = f.name("error", "");
        SystemCall.Error error = SystemCall.error(name);
        if (call != null && (error == null || !call.fails(error))) {
            f.addError("error", "expected one of " + call.errorNames() + ", not " + name);
        }
        return new SystemCall(call, error, f.number("rate", 1, 0, 1), f.enumValue("side", SystemCall.Side.class, SystemCall.Side.ANY));
    }
}
