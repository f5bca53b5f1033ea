package mastdrift.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mastdrift.registry.RegistryCommands;
import mastdrift.registry.DutyCommands;
import mastdrift.registry.MemberCommands;
import mastdrift.registry.ZoneCommands;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command for staff. Exit status: 0 yes, 1 the gateway says no or a wait ran out, 2 misuse, 3 nobody answers. */
@Command(name = "springspar", mixinStandardHelpOptions = true, version = "0.1.0", synopsisSubcommandLabel = "COMMAND",
        description = "Starts a gateway and what goes with it, and calls them.",
        subcommands = {Springspar.Serve.class, Springspar.Adapter.class, Springspar.Status.class, Springspar.Metrics.class,
            Springspar.Standby.class, Springspar.Active.class, Springspar.Drain.class, Springspar.Completion.class,
            RegistryCommands.Registry.class, RegistryCommands.StartAgent.class, RegistryCommands.Endpoints.class, DutyCommands.Duty.class,
            DutyCommands.RollCommand.class, ZoneCommands.Zone.class, MemberCommands.Members.class,
            CommandLine.HelpCommand.class})
public final class Springspar implements Runnable {

    static final int YES = 0;
    static final int NO = 1;
    static final int MISUSED = 2;
    static final int NOBODY = 3;

    private final Map<String, String> environment;
    @Spec
    private CommandSpec spec;

    Springspar(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Runs and exits with the status. */
    public static void main(String[] args) {
        mastdrift.registry.Main.configureLogging();
        int status = run(args, System.getenv(), new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8));
        if (status != YES) {
            System.exit(status);  // a gateway that was started here goes on
        }
    }

    /** As {@link #main}, in the given surroundings; returns the exit status. */
    static int run(String[] args, Map<String, String> environment, PrintWriter out, PrintWriter err) {
        return new CommandLine(new Springspar(environment)).setOut(out).setErr(err)
                .setExecutionExceptionHandler((fault, command, parsed) -> {
                    command.getErr().println(fault instanceof Calls.NoAnswer || fault instanceof IllegalArgumentException
                            ? fault.getMessage() : fault.toString());
                    return fault instanceof Calls.NoAnswer ? NOBODY : MISUSED;
                }).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    /** What all calls take. */
    static final class Calling {

        @Option(names = "--admin", paramLabel = "ADDRESS:PORT",
                description = "where operators call (default: $NODE_ADMIN, else admin in $NODE_CONFIG)")
        private String admin;

        @Option(names = "--json", description = "as JSON, for scripts")
        private boolean json;

        @Spec(Spec.Target.MIXEE)
        private CommandSpec spec;

        Calls calls() throws Calls.NoAnswer {
            return Calls.to(admin, ((Springspar) spec.root().userObject()).environment);
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** A line, or the same as an object. */
        void tell(String line, Map<String, ?> object) throws IOException {
            out().println(json ? JSON.std.asString(object) : line);
        }

        int tell(Calls calls, Calls.Answer answer) throws IOException {
            Map<String, Object> object = new LinkedHashMap<>();
            object.put("address", calls.address());
            object.put("yes", answer.yes());
            object.put("status", answer.status());
            object.put("answer", answer.body());
            tell(answer.body(), object);
            return answer.yes() ? YES : NO;
        }
    }

    @Command(name = "serve", description = "Starts a gateway, as 'run' in the deploy file does; it reads its environment.")
    static final class Serve implements Runnable {
        @Override
        public void run() {
            mastdrift.net.Main.main(new String[0]);
        }
    }

    @Command(name = "adapter", description = "Speaks the simulator's wire on standard input and output.")
    static final class Adapter implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            mastdrift.wire.Main.main(new String[] {"adapter"});
            return YES;
        }
    }

    /** Asks once, and tells the answer. */
    abstract static class OneCall implements Callable<Integer> {

        @Mixin
        private Calling calling;

        abstract Calls.Answer ask(Calls calls) throws Calls.NoAnswer;

        @Override
        public Integer call() throws Exception {
            Calls calls = calling.calls();
            return calling.tell(calls, ask(calls));
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Tells whether the gateway is ready to serve.")
    static final class Status extends OneCall {
        @Override
        Calls.Answer ask(Calls calls) throws Calls.NoAnswer {
            return calls.get("/status");
        }
    }

    @Command(name = "metrics", mixinStandardHelpOptions = true, description = "Tells the figures.")
    static final class Metrics implements Callable<Integer> {

        @Mixin
        private Calling calling;

        @Override
        public Integer call() throws Exception {
            Calls.Answer answer = calling.calls().get("/status/metrics");
            if (!calling.json || !answer.yes()) {
                calling.out().println(answer.body());
                return answer.yes() ? YES : NO;
            }
            List<Map<String, Object>> figures = Samples.of(answer.body()).stream().map(sample -> {
                Map<String, Object> figure = new LinkedHashMap<>();
                figure.put("name", sample.name());
                figure.put("labels", sample.labels());
                figure.put("value", sample.value());
                return figure;
            }).toList();
            calling.out().println(JSON.std.asString(figures));
            return YES;
        }
    }

    @Command(name = "standby", mixinStandardHelpOptions = true, description = "Drains the gateway; nothing restarts.")
    static final class Standby extends OneCall {
        @Override
        Calls.Answer ask(Calls calls) throws Calls.NoAnswer {
            return calls.post("/standby");
        }
    }

    @Command(name = "active", mixinStandardHelpOptions = true, description = "Takes the gateway back to work.")
    static final class Active extends OneCall {
        @Override
        Calls.Answer ask(Calls calls) throws Calls.NoAnswer {
            return calls.post("/active");
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true,
            description = "Drains the gateway, and with --wait until it has no request any more.")
    static final class Drain implements Callable<Integer> {

        private static final int LOOK_MILLIS = 200;
        private static final int QUIET_LOOKS = 3;  // figures lag by up to half a second

        @Mixin
        private Calling calling;

        @Option(names = "--wait", description = "until nothing has been in flight for 0.6 s")
        private boolean wait;

        @Option(names = "--timeout", paramLabel = "SECONDS", defaultValue = "10",
                description = "wait no longer (default: ${DEFAULT-VALUE})")
        private double timeout;

        @Override
        public Integer call() throws Exception {
            Calls calls = calling.calls();
            Calls.Answer answer = calls.post("/standby");
            if (!answer.yes() || !wait) {
                return calling.tell(calls, answer);
            }
            long until = System.nanoTime() + (long) (timeout * 1e9);
            double inFlight = Double.NaN;
            for (int quiet = 0; quiet < QUIET_LOOKS;) {
                inFlight = Samples.sum(Samples.of(calls.get("/status/metrics").body()), "edge_node_in_flight");
                quiet = inFlight == 0 ? quiet + 1 : 0;
                if (quiet < QUIET_LOOKS && System.nanoTime() > until) {
                    calling.tell(String.format(Locale.ROOT, "still %.0f in flight after %.1f s", inFlight, timeout),
                            Map.of("drained", false, "in_flight", inFlight));
                    return NO;
                }
                Thread.sleep(LOOK_MILLIS);
            }
            calling.tell("drained", Map.of("drained", true, "in_flight", inFlight));
            return YES;
        }
    }

    @Command(name = "completion", description = "Prints the completion script for bash and zsh.")
    static final class Completion implements Runnable {

        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            spec.commandLine().getOut().print(AutoComplete.bash("springspar", spec.root().commandLine()));
            spec.commandLine().getOut().flush();
        }
    }
}
