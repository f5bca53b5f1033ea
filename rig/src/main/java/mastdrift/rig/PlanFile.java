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
        TomlFile.Section root = file.root();
        TomlFile.Section gatewaySection = root.section("gateways");
        RigPlan.Gateways gateways = new RigPlan.Gateways(gatewaySection.integer("count", 0, 0, 60),
                gatewaySection.bool("agents", false));
        gatewaySection.rejectUnknownKeys();
        TomlFile.Section hostSection = root.section("hosts");
        RigPlan.Hosts hosts = new RigPlan.Hosts(hostSection.integer("count", 0, 0, 100),
                hostSection.names("zones", List.of("a", "b", "c")),
                hostSection.integer("cores", 2, 1, 64), hostSection.range("work_ms", 4, 8, 0.01, 1000),
                hostSection.integer("lease_ms", 0, 0, 600_000));
        hostSection.rejectUnknownKeys();
        TomlFile.Section loadSection = root.section("load");
        RigPlan.Load load = new RigPlan.Load(loadSection.range("rate", 0, 0, 0, 20_000),
                loadSection.integer("keys", 250, 1, 1_000_000),
                loadSection.number("fresh", 0, 0, 1), loadSection.number("leave", 0, 0, 1),
                loadSection.range("deadline_ms", LoadGenerator.DEADLINE_MILLIS, LoadGenerator.DEADLINE_MILLIS,
                        20, 60_000),
                loadSection.range("idle", 0, 0, 0, 2000),
                loadSection.range("stuck", 0, 0, 0, 100), loadSection.number("crowd", 0, 0, 1),
                loadSection.bool("direct", false));
        loadSection.rejectUnknownKeys();
        TomlFile.Section registrySection = root.section("registry");
        RigPlan.Registry registry = new RigPlan.Registry(registrySection.integer("replicas", 0, 0, 7));
        registrySection.rejectUnknownKeys();
        TomlFile.Section workSection = root.section("work");
        RigPlan.RegistryWorkload registryWorkload = new RigPlan.RegistryWorkload(
                workSection.integer("writers", 0, 0, 64), workSection.integer("entries", 8, 1, 10_000),
                workSection.integer("watchers", 0, 0, 2000), workSection.range("rate", 20, 20, 0.1, 1000),
                workSection.integer("lease_ms", 0, 0, 600_000));
        workSection.rejectUnknownKeys();
        TomlFile.Section dutySection = root.section("duties");
        RigPlan.Duties duties = new RigPlan.Duties(dutySection.integer("candidates", 0, 0, 20),
                dutySection.integer("term_ms", 3000, 500, 60_000), dutySection.range("start_s", 1, 2, 0, 600));
        dutySection.rejectUnknownKeys();
        TomlFile.Section memberSection = root.section("members");
        RigPlan.Members members = new RigPlan.Members(memberSection.integer("count", 0, 0, 80),
                memberSection.names("zones", List.of("a", "b", "c")));
        memberSection.rejectUnknownKeys();
        if (members.count() > 0 && registry.replicas() == 0) {
            memberSection.addError("count", "needs [registry] replicas of 1 or more");
        }
        if (duties.candidates() > 0 && (registry.replicas() == 0 || gateways.count() == 0)) {
            dutySection.addError("candidates", "needs [registry] replicas and [gateways]");
        }
        if (gateways.usesAgents() && registry.replicas() == 0) {
            gatewaySection.addError("agents", "needs [registry] replicas of 1 or more");
        }
        if (load.rate().to() > 0 && (gateways.count() == 0 || hosts.count() == 0)) {
            loadSection.addError("rate", "needs [gateways] and [hosts]");
        }
        if ((registryWorkload.writers() > 0 || registryWorkload.watchers() > 0) && registry.replicas() == 0) {
            workSection.addError("writers", "needs [registry] replicas of 1 or more");
        }
        boolean usesLinks = root.bool("relay", true);
        List<RigPlan.FaultSpec> faults = new ArrayList<>();
        for (TomlFile.Section faultSection : root.sections("fault")) {
            faults.add(faultSpec(faultSection, usesLinks));
        }
        List<String> checks = root.names("check", List.of("rules"));
        for (String check : checks) {
            if (!Checks.NAMES.contains(check)) {
                root.addError("check", "expected some of " + String.join(", ", Checks.NAMES) + ", not " + check);
            }
        }
        RigPlan plan = new RigPlan(root.name("name", "plan"), root.integer("seconds", 15, 1, 3600),
                root.integer("settle_s", 3, 0, 120), usesLinks, gateways, hosts, load, registry, registryWorkload,
                duties, members, faults, checks);
        root.rejectUnknownKeys();
        file.throwIfInvalid();
        return plan;
    }

    private static RigPlan.FaultSpec faultSpec(TomlFile.Section section, boolean usesLinks) {
        Fault.Kind kind = section.enumValue("kind", Fault.Kind.class, null);
        String triggerPattern = section.string("when", null);
        if (triggerPattern != null) {
            try {
                Pattern.compile(triggerPattern);
            } catch (PatternSyntaxException e) {
                section.addError("when", "expected a regular expression: " + e.getDescription());
            }
        }
        boolean affectsLinks = kind != null && kind.affectsLinks;
        String process = section.name("process", null);
        String from = section.name("from", null);
        String to = section.name("to", null);
        if (kind != null && affectsLinks && (from == null || to == null)) {
            section.addError("kind", "needs from and to, as between two processes");
        }
        if (kind != null && !affectsLinks && process == null) {
            section.addError("kind", "needs process");
        }
        if (affectsLinks && !usesLinks) {
            section.addError("kind", "needs links, which relay = false leaves out");
        }
        RigPlan.FaultSpec spec = new RigPlan.FaultSpec(kind, process, from, to, section.integer("pick", 0, 0, 200),
                section.range("at_s", 3, 6, 0, 3600), section.range("for_s", 2, 4, 0, 3600),
                section.enumValue("way", Link.Way.class, Link.Way.BOTH),
                section.range("size", 0, 0, kind == Fault.Kind.SYSTEM_CALL ? -1e9 : 0, 1e9),
                section.number("spread", 0, 0, 1), section.enumValue("back", Fault.Back.class, Fault.Back.KEEP),
                triggerPattern, section.number("heal", 1, 0, 1), section.integer("times", 1, 1, 100),
                kind == Fault.Kind.SYSTEM_CALL ? systemCall(section) : null, section.number("chance", 1, 0, 1));
        section.rejectUnknownKeys();
        return spec;
    }

    private static SystemCall systemCall(TomlFile.Section section) {
        SystemCall.Call call = section.enumValue("call", SystemCall.Call.class, null);
        String name = section.name("error", "");
        SystemCall.Error error = SystemCall.error(name);
        if (call != null && (error == null || !call.supports(error))) {
            section.addError("error", "expected one of " + call.errorNames() + ", not " + name);
        }
        return new SystemCall(call, error, section.number("rate", 1, 0, 1),
                section.enumValue("side", SystemCall.Side.class, SystemCall.Side.ANY));
    }
}
