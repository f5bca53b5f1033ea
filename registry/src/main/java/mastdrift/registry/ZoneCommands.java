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
    static final class Span implements CommandLine.ITypeConverter<Long> {

        private static final Pattern FORM = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m)");

        @Override
        public Long convert(String text) {
            Matcher form = FORM.matcher(text);
            if (!form.matches()) {
                throw new CommandLine.TypeConversionException("a span like 60s, 2m or 500ms, not " + text);
            }
            double millis = switch (form.group(2)) {
                case "ms" -> 1;
                case "s" -> 1000;
                default -> 60_000;
            };
            return Math.round(Double.parseDouble(form.group(1)) * millis);
        }
    }

    private static String line(Map<?, ?> zone) {
        return String.format(Locale.ROOT, "%-12s %-10s %s of %s in service, capacity %s; without it %.0f%% of all would stay",
                zone.get("zone"), zone.get("standing"), zone.get("in_service"), zone.get("entries"), zone.get("capacity"),
                100 * ((Number) zone.get("rest")).doubleValue());
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Shows what is in service in each zone, and evacuations in progress.")
    static final class Status extends Commands.Asking {

        @Parameters(index = "0", arity = "0..1", paramLabel = "NAME", description = "only this zone")
        private String name;

        @Override
        int ask(Commands.Calling calling) throws Commands.NoAnswer, InterruptedException {
            Commands.Calling.Answer answer = calling.call("GET", "/v1/zones", null);
            StringBuilder lines = new StringBuilder();
            boolean found = name == null;
            if (answer.body().get("zones") instanceof List<?> zones) {
                for (Object each : zones) {
                    Map<?, ?> zone = (Map<?, ?>) each;
                    if (name == null || name.equals(zone.get("zone"))) {
                        lines.append(line(zone)).append(System.lineSeparator());
                        found = true;
                    }
                }
            }
            int status = calling.tell(answer, lines.toString().stripTrailing());
            return found ? status : Commands.NO;
        }
    }

    /** Common part of evacuation and return. */
    abstract static class Moving extends Commands.Asking {

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Option(names = "--over", paramLabel = "SPAN", converter = Span.class, defaultValue = "0s",
                description = "duration of a gradual change (default: ${DEFAULT-VALUE}, all at once)")
        private long over;

        int move(Commands.Calling calling, String what, Map<String, Object> more) throws Commands.NoAnswer, InterruptedException {
            Map<String, Object> body = new LinkedHashMap<>(more);
            body.put("over_ms", over);
            Commands.Calling.Answer answer = calling.call("POST", "/v1/zones/" + name + "/" + what, Json.encode(body));
            return calling.tell(answer, answer.yes() ? line(answer.body()) : "");
        }
    }

    @Command(name = "evacuate", mixinStandardHelpOptions = true,
            description = "Drains the hosts of a zone until it returns; refused if too little capacity would remain.")
    static final class Evacuate extends Moving {

        @Option(names = "--keep", paramLabel = "PART", defaultValue = "0.6",
                description = "part of all capacity that has to stay in service elsewhere (default: ${DEFAULT-VALUE})")
        private double keep;

        @Option(names = "--force", description = "evacuate even if less remains")
        private boolean force;

        @Override
        int ask(Commands.Calling calling) throws Commands.NoAnswer, InterruptedException {
            return move(calling, "evacuate", Map.of("keep", keep, "force", force));
        }
    }

    @Command(name = "return", mixinStandardHelpOptions = true, description = "Puts the hosts of a zone back into service.")
    static final class Return extends Moving {
        @Override
        int ask(Commands.Calling calling) throws Commands.NoAnswer, InterruptedException {
            return move(calling, "return", Map.of());
        }
    }
}
