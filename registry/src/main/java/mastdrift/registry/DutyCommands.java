package mastdrift.registry;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mastdrift.common.Clock;
import mastdrift.common.Json;
import mastdrift.common.TomlFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands for duties and for rolling restarts. */
public final class DutyCommands {

    /** Duty of rolling restarts. */
    static final String ROLL = "roll";
    /** Duty of probing and removing stale entries. */
    static final String SWEEP = "sweep";
    private static final Logger LOG = LoggerFactory.getLogger(DutyRunner.class);
    private static final int REQUEST_TIMEOUT_MILLIS = 600;

    private DutyCommands() { }

    /** Commands for duties. */
    @Command(name = "duty", mixinStandardHelpOptions = true,
            description = "Commands for duties, work that one process does at a time.",
            subcommands = {Run.class, Show.class})
    public static final class Duty implements Runnable {

        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
        }
    }

    /** Pause of a runner after a round, in milliseconds. */
    static long pauseMillis(DutyRunner.TurnResult result) {
        return switch (result) {
            case NOT_HELD -> 200;
            case WORKED -> 0;
            case IDLE -> 100;
            case FAILED -> 150;
        };
    }

    @Command(name = "run", mixinStandardHelpOptions = true,
            description = "Waits for a duty and does its work while holding it; a graceful shutdown releases it.")
    static final class Run implements Callable<Integer> {

        @Parameters(index = "0", paramLabel = "NAME", description = "the duty: roll or sweep")
        private String name;

        @Option(names = "--registry", paramLabel = "ADDRESS:PORT", split = ",", defaultValue = "127.0.0.1:9400",
                description = "addresses of the replicas (default: ${DEFAULT-VALUE})")
        private List<String> registry;

        @Option(names = "--who", paramLabel = "NAME", description = "name of this candidate (default: a random one)")
        private String candidate = "runner-" + UUID.randomUUID();

        @Option(names = "--term-ms", paramLabel = "MILLIS", defaultValue = "3000",
                description = "duration of the lease (default: ${DEFAULT-VALUE})")
        private long termMillis;

        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws InterruptedException {
            if (!name.equals(ROLL) && !name.equals(SWEEP)) {
                throw new CommandLine.ParameterException(spec.commandLine(), "expected roll or sweep, not " + name);
            }
            Main.exitOnUncaughtException();
            CountDownLatch stop = new CountDownLatch(1);
            CountDownLatch stopped = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                stop.countDown();
                try {
                    stopped.await(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
            runDuty(name, candidate, termMillis, registry, Clock.SYSTEM, stop);
            stopped.countDown();
            return RegistryCommands.EXIT_SUCCESS;
        }
    }

    /** Runs a candidate for a duty until {@code stop} opens, then releases the duty. */
    public static void runDuty(String name, String candidate, long termMillis, List<String> registry, Clock clock,
            CountDownLatch stop)
            throws InterruptedException {
        RegistryHttpClient replicas = new RegistryHttpClient(registry, Duration.ofMillis(REQUEST_TIMEOUT_MILLIS));
        DutyWork work = name.equals(SWEEP) ? new StaleEntrySweeper(new HttpEntryService(replicas, name))
                : new RollingRestart(new HttpGatewayClient(name));
        DutyRunner runner = new DutyRunner(name, candidate, termMillis, new HttpDutyService(replicas), work, clock,
                line -> LOG.info("{}", line));
        LOG.info("candidate {} for {}", candidate, name);
        while (!stop.await(0, TimeUnit.MILLISECONDS)) {
            stop.await(pauseMillis(runner.runOnce()), TimeUnit.MILLISECONDS);
        }
        runner.release();
    }

    @Command(name = "show", mixinStandardHelpOptions = true,
            description = "Shows who holds a duty and who waits for it.")
    static final class Show extends RegistryCommands.ServiceCommand {

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            RegistryCommands.ServiceConnection.Response response = service.call("GET", "/v1/duties/" + name, null);
            Map<String, Object> body = response.body();
            return service.print(response, name + ": holder " + body.get("holder") + ", token " + body.get("token")
                    + ", waiting "
                    + body.get("waiting"));
        }
    }

    /** Commands for rolling restarts. */
    @Command(name = "roll", mixinStandardHelpOptions = true,
            description = "Controls rolling restarts of gateways, done by the holder of the duty 'roll': each gateway "
                    + "in turn is taken out of service, replaced and put back.",
            subcommands = {Start.class, Status.class, Pause.class, Resume.class, Abort.class})
    public static final class RollCommand implements Runnable {

        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
        }
    }

    private static int placeOrder(RegistryCommands.ServiceConnection service, String action, Map<String, Object> fields)
            throws RegistryCommands.NoAnswerException, InterruptedException {
        Map<String, Object> order = new LinkedHashMap<>(fields);
        order.put("id", UUID.randomUUID().toString());
        order.put("what", action);
        RegistryCommands.ServiceConnection.Response response = service.call("POST", "/v1/duties/" + ROLL + "/order",
                Json.encode(Map.of("order", order)));
        return service.print(response, action + " ordered, number " + response.body().get("number"));
    }

    @Command(name = "start", mixinStandardHelpOptions = true,
            description = "Starts the rolling restart that a plan file describes.")
    static final class Start extends RegistryCommands.ServiceCommand {

        @Parameters(index = "0", paramLabel = "PLAN", description = "plan file, TOML")
        private Path file;

        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            try {
                return placeOrder(service, "start", Map.of("plan", RollingRestartPlan.read(file)));
            } catch (TomlFile.ValidationException | IOException e) {
                throw new IllegalArgumentException(e.getMessage(), e);
            }
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Shows the progress.")
    static final class Status extends RegistryCommands.ServiceCommand {
        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            RegistryCommands.ServiceConnection.Response response = service.call("GET", "/v1/duties/" + ROLL, null);
            Map<String, Object> state = DutyRunner.stateOf(response.body());
            int gatewayCount = state.get("plan") instanceof Map<?, ?> plan
                    && plan.get("gateways") instanceof List<?> gateways
                    ? gateways.size() : 0;
            return service.print(response, state.getOrDefault("phase", "idle") + ", " + state.getOrDefault("at", 0)
                    + " of " + gatewayCount
                    + " gateways, by " + response.body().get("holder")
                    + (state.get("why") == null ? "" : ": " + state.get("why")));
        }
    }

    @Command(name = "pause", mixinStandardHelpOptions = true, description = "Pauses after the current step.")
    static final class Pause extends RegistryCommands.ServiceCommand {
        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            return placeOrder(service, "pause", Map.of());
        }
    }

    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Resumes after a pause.")
    static final class Resume extends RegistryCommands.ServiceCommand {
        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            return placeOrder(service, "resume", Map.of());
        }
    }

    @Command(name = "abort", mixinStandardHelpOptions = true,
            description = "Puts the current gateway back into service and ends.")
    static final class Abort extends RegistryCommands.ServiceCommand {
        @Override
        int execute(RegistryCommands.ServiceConnection service) throws RegistryCommands.NoAnswerException,
                InterruptedException {
            return placeOrder(service, "abort", Map.of());
        }
    }
}
