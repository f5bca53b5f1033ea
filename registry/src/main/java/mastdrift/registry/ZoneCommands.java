package mastdrift.registry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mastdrift.common.Json;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands for evacuating a zone through the list service, and for returning it. */
public final class ZoneCommands {

    private ZoneCommands() { }

    /** Commands for zones. */
    @Command(name = "zone", mixinStandardHelpOptions = true,
            description = "Evacuates a zone through the list service, and returns it.",
            subcommands = {Status.class, Evacuate.class, Return.class})
    public static final class Zone implements Runnable {

        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
        }
    }

    /** Converts durations like {@code 60s}, {@code 1.5m} and {@code 500ms} to milliseconds. */
    static final class DurationConverter implements CommandLine.ITypeConverter<Long> {

        private static final Pattern PATTERN = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m)");

        @Override
        public Long convert(String text) {
            Matcher matcher = PATTERN.matcher(text);
            if (!matcher.matches()) {
                throw new CommandLine.TypeConversionException("a span like 60s, 2m or 500ms, not " + text);
            }
            double millis = switch (matcher.group(2)) {
                case "ms" -> 1;
                case "s" -> 1000;
                default -> 60_000;
            };
            return Math.round(Double.parseDouble(matcher.group(1)) * millis);
        }
    }

    private static String format(Map<?, ?> zone) {
        return String.format(Locale.ROOT,
                "%-12s %-10s %s of %s in service, capacity %s; without it %.0f%% of all would stay",
                zone.get("zone"), zone.get("standing"), zone.get("in_service"), zone.get("entries"),
                zone.get("capacity"),
                100 * ((Number) zone.get("rest")).doubleValue());
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Shows what is in service in each zone, and evacuations in progress.")
    static final class Status extends RegistryCommands.ServiceCommand {

        @Parameters(index = "0", arity = "0..1", paramLabel = "NAME", description = "only this zone")
        private String name;

        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            RegistryCommands.ServiceConnection.Response response = service.call("GET", "/v1/zones", null);
            StringBuilder lines = new StringBuilder();
            boolean found = name == null;
            if (response.body().get("zones") instanceof List<?> zones) {
                for (Object each : zones) {
                    Map<?, ?> zone = (Map<?, ?>) each;
                    if (name == null || name.equals(zone.get("zone"))) {
                        lines.append(format(zone)).append(System.lineSeparator());
                        found = true;
                    }
                }
            }
            int status = service.print(response, lines.toString().stripTrailing());
            return found ? status : RegistryCommands.EXIT_REFUSED;
        }
    }

    /** Common part of evacuation and return. */
    abstract static class ZoneTransition extends RegistryCommands.ServiceCommand {

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Option(names = "--over", paramLabel = "SPAN", converter = DurationConverter.class, defaultValue = "0s",
                description = "duration of a gradual change (default: ${DEFAULT-VALUE}, all at once)")
        private long overMillis;

        int request(RegistryCommands.ServiceConnection service, String action, Map<String, Object> fields)
                throws RegistryCommands.NoAnswerException, InterruptedException {
            Map<String, Object> body = new LinkedHashMap<>(fields);
            body.put("over_ms", overMillis);
            RegistryCommands.ServiceConnection.Response response = service.call("POST", "/v1/zones/" + name + "/"
                    + action, Json.encode(body));
            return service.print(response, response.isSuccess() ? format(response.body()) : "");
        }
    }

    @Command(name = "evacuate", mixinStandardHelpOptions = true,
            description = "Drains the hosts of a zone until it returns; refused if too little capacity would remain.")
    static final class Evacuate extends ZoneTransition {

        @Option(names = "--keep", paramLabel = "PART", defaultValue = "0.6",
                description = "part of all capacity that has to stay in service elsewhere (default: ${DEFAULT-VALUE})")
        private double minFraction;

        @Option(names = "--force", description = "evacuate even if less remains")
        private boolean force;

        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            return request(service, "evacuate", Map.of("keep", minFraction, "force", force));
        }
    }

    @Command(name = "return", mixinStandardHelpOptions = true,
            description = "Puts the hosts of a zone back into service.")
    static final class Return extends ZoneTransition {
        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            return request(service, "return", Map.of());
        }
    }
}
