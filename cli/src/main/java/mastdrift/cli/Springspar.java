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
import mastdrift.registry.DutyCommands;
import mastdrift.registry.MemberCommands;
import mastdrift.registry.RegistryCommands;
import mastdrift.registry.ZoneCommands;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The operators' command. Exit status: 0 success, 1 the gateway refused or a wait timed out, 2 wrong usage or another
    error, 3 no answer from the gateway. */
@Command(name = "springspar", mixinStandardHelpOptions = true, version = "0.1.0", synopsisSubcommandLabel = "COMMAND",
        description = "Starts and controls gateways and the services that they use.",
        subcommands = {Springspar.Serve.class, Springspar.Adapter.class, Springspar.Status.class, Springspar.Metrics.class,
            Springspar.Standby.class, Springspar.Active.class, Springspar.Drain.class, Springspar.Completion.class,
            RegistryCommands.Registry.class, RegistryCommands.StartAgent.class, RegistryCommands.Endpoints.class, DutyCommands.Duty.class,
            DutyCommands.RollCommand.class, ZoneCommands.Zone.class, MemberCommands.Members.class,
            CommandLine.HelpCommand.class})
public final class Springspar implements Runnable {

    static final int EXIT_SUCCESS = 0;
    static final int EXIT_FAILURE = 1;
    static final int EXIT_USAGE = 2;
    static final int EXIT_UNREACHABLE = 3;

    private final Map<String, String> environment;
    @Spec
    private CommandSpec spec;

    Springspar(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Runs the command, and exits with its status unless that is 0. */
    public static void main(String[] args) {
        mastdrift.registry.Main.configureLogging();
        int status = run(args, System.getenv(), new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8));
        if (status != EXIT_SUCCESS) {
            System.exit(status);  // not on success: a server started by the command has to keep running
        }
    }

    /** Runs the command with the given environment and output; returns the exit status. */
    static int run(String[] args, Map<String, String> environment, PrintWriter out, PrintWriter err) {
        return new CommandLine(new Springspar(environment)).setOut(out).setErr(err)
                .setExecutionExceptionHandler((exception, command, parsed) -> {
                    command.getErr().println(exception instanceof AdminClient.GatewayUnreachableException
                            || exception instanceof IllegalArgumentException
                            ? exception.getMessage() : exception.toString());
                    return exception instanceof AdminClient.GatewayUnreachableException ? EXIT_UNREACHABLE : EXIT_USAGE;
                }).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    /** The options and output of the commands that call a gateway's admin address. */
    static final class AdminOptions {

        @Option(names = "--admin", paramLabel = "ADDRESS:PORT",
                description = "the gateway's admin address (default: $NODE_ADMIN, else admin in $NODE_CONFIG)")
        private String admin;

        @Option(names = "--json", description = "print JSON, for scripts")
        private boolean json;

        @Spec(Spec.Target.MIXEE)
        private CommandSpec spec;

        AdminClient client() throws AdminClient.GatewayUnreachableException {
            return AdminClient.create(admin, ((Springspar) spec.root().userObject()).environment);
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Prints the line, or with --json the object. */
        void print(String line, Map<String, ?> object) throws IOException {
            out().println(json ? JSON.std.asString(object) : line);
        }

        int print(AdminClient client, AdminClient.Response response) throws IOException {
            Map<String, Object> object = new LinkedHashMap<>();
            object.put("address", client.address());
            object.put("yes", response.isSuccess());
            object.put("status", response.status());
            object.put("answer", response.body());
            print(response.body(), object);
            return response.isSuccess() ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }

    @Command(name = "serve",
            description = "Starts a gateway, as 'run' in the deploy file does; configured by the environment.")
    static final class Serve implements Runnable {
        @Override
        public void run() {
            mastdrift.net.Main.main(new String[0]);
        }
    }

    @Command(name = "adapter", description = "Speaks the simulator's protocol on standard input and output.")
    static final class Adapter implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            mastdrift.wire.Main.main(new String[] {"adapter"});
            return EXIT_SUCCESS;
        }
    }

    /** A command that sends one request to the gateway and prints the response. */
    abstract static class AdminCommand implements Callable<Integer> {

        @Mixin
        private AdminOptions options;

        abstract AdminClient.Response send(AdminClient client) throws AdminClient.GatewayUnreachableException;

        @Override
        public Integer call() throws Exception {
            AdminClient client = options.client();
            return options.print(client, send(client));
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Shows whether the gateway is ready to serve.")
    static final class Status extends AdminCommand {
        @Override
        AdminClient.Response send(AdminClient client) throws AdminClient.GatewayUnreachableException {
            return client.get("/status");
        }
    }

    @Command(name = "metrics", mixinStandardHelpOptions = true, description = "Prints the gateway's metrics.")
    static final class Metrics implements Callable<Integer> {

        @Mixin
        private AdminOptions options;

        @Override
        public Integer call() throws Exception {
            AdminClient.Response response = options.client().get("/status/metrics");
            if (!options.json || !response.isSuccess()) {
                options.out().println(response.body());
                return response.isSuccess() ? EXIT_SUCCESS : EXIT_FAILURE;
            }
            List<Map<String, Object>> samples = PrometheusText.parse(response.body()).stream().map(sample -> {
                Map<String, Object> object = new LinkedHashMap<>();
                object.put("name", sample.name());
                object.put("labels", sample.labels());
                object.put("value", sample.value());
                return object;
            }).toList();
            options.out().println(JSON.std.asString(samples));
            return EXIT_SUCCESS;
        }
    }

    @Command(name = "standby", mixinStandardHelpOptions = true, description = "Drains the gateway without stopping it.")
    static final class Standby extends AdminCommand {
        @Override
        AdminClient.Response send(AdminClient client) throws AdminClient.GatewayUnreachableException {
            return client.post("/standby");
        }
    }

    @Command(name = "active", mixinStandardHelpOptions = true,
            description = "Puts a drained gateway back into service.")
    static final class Active extends AdminCommand {
        @Override
        AdminClient.Response send(AdminClient client) throws AdminClient.GatewayUnreachableException {
            return client.post("/active");
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true,
            description = "Drains the gateway; with --wait, waits until no request is left.")
    static final class Drain implements Callable<Integer> {

        private static final int POLL_INTERVAL_MILLIS = 200;
        private static final int CONSECUTIVE_ZERO_READINGS = 3;  // the gauge lags by up to 0.5 s

        @Mixin
        private AdminOptions options;

        @Option(names = "--wait", description = "wait until no request has been in flight for 0.6 s")
        private boolean wait;

        @Option(names = "--timeout", paramLabel = "SECONDS", defaultValue = "10",
                description = "how long to wait at most (default: ${DEFAULT-VALUE})")
        private double timeout;

        @Override
        public Integer call() throws Exception {
            AdminClient client = options.client();
            AdminClient.Response response = client.post("/standby");
            if (!response.isSuccess() || !wait) {
                return options.print(client, response);
            }
            long deadlineNanos = System.nanoTime() + (long) (timeout * 1e9);
            double inFlight = Double.NaN;
            for (int zeroReadings = 0; zeroReadings < CONSECUTIVE_ZERO_READINGS;) {
                inFlight = PrometheusText.sum(PrometheusText.parse(client.get("/status/metrics").body()),
                        "edge_node_in_flight");
                zeroReadings = inFlight == 0 ? zeroReadings + 1 : 0;
                if (zeroReadings < CONSECUTIVE_ZERO_READINGS && System.nanoTime() > deadlineNanos) {
                    options.print(String.format(Locale.ROOT, "still %.0f in flight after %.1f s", inFlight, timeout),
                            Map.of("drained", false, "in_flight", inFlight));
                    return EXIT_FAILURE;
                }
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
            options.print("drained", Map.of("drained", true, "in_flight", inFlight));
            return EXIT_SUCCESS;
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
