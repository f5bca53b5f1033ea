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

    private static String lines(Map<String, Object> shown) {
        StringBuilder lines = new StringBuilder();
        for (Object each : shown.get("members") instanceof List<?> members ? members : List.of()) {
            Map<?, ?> member = (Map<?, ?>) each;
            lines.append(String.format(Locale.ROOT, "%-20s %-10s zone %-8s %-28s #%s%s%n", member.get("name"), member.get("role"),
                    member.get("zone"), member.get("address"), member.get("incarnation"), against(shown, member.get("name"))));
        }
        return lines + "view " + shown.get("view");
    }

    private static String against(Map<String, Object> shown, Object name) {
        Object by = shown.get("reports") instanceof Map<?, ?> reports ? reports.get(name) : null;
        return by == null ? "" : "  not heard by " + by;
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the current view, one member per line.")
    static final class ListAll extends Commands.Asking {
        @Override
        int ask(Commands.Calling calling) throws Commands.NoAnswer, InterruptedException {
            Commands.Calling.Answer answer = calling.call("GET", "/v1/members", null);
            return calling.tell(answer, lines(answer.body()));
        }
    }

    @Command(name = "watch", mixinStandardHelpOptions = true, description = "Prints each new view.")
    static final class Watch extends Commands.Asking {

        private static final int LOOK_MILLIS = 300;

        @Option(names = "--views", paramLabel = "N", defaultValue = "0", description = "end after so many views (default: never)")
        private int views;

        @Override
        int ask(Commands.Calling calling) throws Commands.NoAnswer, InterruptedException {
            Object last = null;
            for (int told = 0; views == 0 || told < views;) {
                Commands.Calling.Answer answer = calling.call("GET", "/v1/members", null);
                if (!answer.body().get("view").equals(last)) {
                    last = answer.body().get("view");
                    told++;
                    calling.tell(answer, lines(answer.body()));
                }
                Thread.sleep(LOOK_MILLIS);
            }
            return Commands.YES;
        }
    }

    @Command(name = "why", mixinStandardHelpOptions = true,
            description = "Shows who reports a member now, and how it last joined or left.")
    static final class Why extends Commands.Asking {

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Override
        int ask(Commands.Calling calling) throws Commands.NoAnswer, InterruptedException {
            Commands.Calling.Answer answer = calling.call("GET", "/v1/members", null);
            StringBuilder lines = new StringBuilder();
            for (Object each : answer.body().get("events") instanceof List<?> events ? events : List.of()) {
                Map<?, ?> event = (Map<?, ?>) each;
                if (event.get("members") instanceof List<?> members && members.contains(name)) {
                    lines.append("view ").append(event.get("view")).append(": ").append(event.get("how"))
                            .append(event.get("by") instanceof List<?> by && !by.isEmpty() ? ", reported by " + by : "")
                            .append(System.lineSeparator());
                }
            }
            String now = against(answer.body(), name);
            boolean known = !lines.isEmpty() || !now.isEmpty();
            int status = calling.tell(answer, known ? lines + "now:" + (now.isEmpty() ? "  nobody reports it" : now)
                    : "nothing is known of " + name);
            return known ? status : Commands.NO;
        }
    }
}
