package mastdrift.registry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.common.HttpServer;
import mastdrift.common.TomlFile;

/** Reads the TOML plan of a rolling restart; reports all errors together, with file, line and key. */
final class RollingRestartPlan {

    private RollingRestartPlan() { }

    /** Reads a plan file; returns the plan in the form that the log stores. */
    static Map<String, Object> read(Path file) throws TomlFile.ValidationException, IOException {
        return toMap(TomlFile.read(file));
    }

    /** Parses the text of a plan; {@code name} is used in error messages. */
    static Map<String, Object> parse(String text, String name) throws TomlFile.ValidationException {
        return toMap(TomlFile.parse(text, name));
    }

    private static Map<String, Object> toMap(TomlFile file) throws TomlFile.ValidationException {
        TomlFile.Section root = file.root();
        Map<String, Object> plan = new LinkedHashMap<>();
        plan.put("keep", root.number("keep", 0.5, 0, 1));
        plan.put("settle", root.integer("settle_requests", 0, 0, 1_000_000));
        String replace = root.string("replace", null);
        if (replace != null) {
            plan.put("replace", replace);
        }
        List<Map<String, Object>> gateways = new ArrayList<>();
        List<TomlFile.Section> sections = root.sections("gateway");
        for (TomlFile.Section section : sections) {
            Map<String, Object> gateway = new LinkedHashMap<>();
            gateway.put("name", section.name("name", "gateway-" + (gateways.size() + 1)));
            String admin = section.name("admin", null);
            try {
                HttpServer.parseAddress(String.valueOf(admin));
            } catch (IllegalArgumentException e) {
                section.addError("admin", e.getMessage());
            }
            gateway.put("admin", admin);
            gateway.put("zone", section.name("zone", "one"));
            section.rejectUnknownKeys();
            gateways.add(gateway);
        }
        if (sections.isEmpty()) {
            root.addError("gateway", "expected at least one [[gateway]] section");
        }
        plan.put("gateways", gateways);
        root.rejectUnknownKeys();
        file.throwIfInvalid();
        return plan;
    }
}
