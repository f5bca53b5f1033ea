package mastdrift.registry;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands that show the membership of processes. */
public final class MemberCommands {

    private MemberCommands() { }

    /** Commands for the membership. */
    @Command(name = "members", mixinStandardHelpOptions = true,
            description = "Shows the membership of processes as numbered views; for replicas see 'registry members'.",
            subcommands = {ListAll.class, Watch.class, Why.class})
    public static final class Members implements Runnable {

        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
        }
    }

    private static String format(Map<String, Object> view) {
        StringBuilder lines = new StringBuilder();
        for (Object each : view.get("members") instanceof List<?> members ? members : List.of()) {
            Map<?, ?> member = (Map<?, ?>) each;
            lines.append(String.format(Locale.ROOT, "%-20s %-10s zone %-8s %-28s #%s%s%n", member.get("name"),
                    member.get("role"),
                    member.get("zone"), member.get("address"), member.get("incarnation"),
                    formatReports(view, member.get("name"))));
        }
        return lines + "view " + view.get("view");
    }

    private static String formatReports(Map<String, Object> view, Object name) {
        Object by = view.get("reports") instanceof Map<?, ?> reports ? reports.get(name) : null;
        return by == null ? "" : "  not heard by " + by;
    }

    @Command(name = "list", mixinStandardHelpOptions = true,
            description = "Lists the current view, one member per line.")
    static final class ListAll extends RegistryCommands.ServiceCommand {
        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            RegistryCommands.ServiceConnection.Response response = service.call("GET", "/v1/members", null);
            return service.print(response, format(response.body()));
        }
    }

    @Command(name = "watch", mixinStandardHelpOptions = true, description = "Prints each new view.")
    static final class Watch extends RegistryCommands.ServiceCommand {

        private static final int POLL_INTERVAL_MILLIS = 300;

        @Option(names = "--views", paramLabel = "N", defaultValue = "0",
                description = "end after so many views (default: never)")
        private int views;

        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            Object last = null;
            for (int printed = 0; views == 0 || printed < views;) {
                RegistryCommands.ServiceConnection.Response response = service.call("GET", "/v1/members", null);
                if (!response.body().get("view").equals(last)) {
                    last = response.body().get("view");
                    printed++;
                    service.print(response, format(response.body()));
                }
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
            return RegistryCommands.EXIT_SUCCESS;
        }
    }

    @Command(name = "why", mixinStandardHelpOptions = true,
            description = "Shows who reports a member now, and how it last joined or left.")
    static final class Why extends RegistryCommands.ServiceCommand {

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            RegistryCommands.ServiceConnection.Response response = service.call("GET", "/v1/members", null);
            StringBuilder lines = new StringBuilder();
            for (Object each : response.body().get("events") instanceof List<?> events ? events : List.of()) {
                Map<?, ?> event = (Map<?, ?>) each;
                if (event.get("members") instanceof List<?> members && members.contains(name)) {
                    lines.append("view ").append(event.get("view")).append(": ").append(event.get("how"))
                            .append(event.get("by") instanceof List<?> by && !by.isEmpty() ? ", reported by " + by : "")
                            .append(System.lineSeparator());
                }
            }
            String reports = formatReports(response.body(), name);
            boolean known = !lines.isEmpty() || !reports.isEmpty();
            int status = service.print(response, known ? lines + "now:"
                    + (reports.isEmpty() ? "  nobody reports it" : reports)
                    : "nothing is known of " + name);
            return known ? status : RegistryCommands.EXIT_REFUSED;
        }
    }
}
