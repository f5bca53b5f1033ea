package mastdrift.rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.common.Json;
import mastdrift.common.TomlFile;
import mastdrift.lab.Lab;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The rig's commands. Exit status: 0 if every check held, 1 if one was broken, 2 for misuse or a run that failed. */
@Command(name = "rig", mixinStandardHelpOptions = true, version = "0.1.0", synopsisSubcommandLabel = "COMMAND",
        description = "Runs processes of the program under injected faults, and checks what they did.",
        subcommands = {Rig.Run.class, Rig.Soak.class, Rig.ReportCommand.class, Rig.Shrink.class, Rig.CrowdCommand.class,
                Rig.TakeoverCommand.class, CommandLine.HelpCommand.class})
public final class Rig implements Runnable {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int MISUSED = 2;

    @Spec
    private CommandSpec spec;

    /** Runs and exits with the status. */
    public static void main(String[] args) {
        System.exit(run(args, new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8)));
    }

    /** As {@link #main}, on the given streams; returns the exit status. */
    static int run(String[] args, PrintWriter out, PrintWriter err) {
        return new CommandLine(new Rig()).setOut(out).setErr(err)
                .setExecutionExceptionHandler((exception, command, parseResult) -> {
                    command.getErr().println(exception instanceof TomlFile.ValidationException
                            || exception instanceof IOException
                            || exception instanceof IllegalStateException ? exception.getMessage()
                            : exception.toString());
                    return MISUSED;
                }).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    /** The arguments of the commands that run a plan. */
    abstract static class PlanCommand implements Callable<Integer> {

        @Parameters(index = "0", arity = "0..1", paramLabel = "PLAN", description = "the plan, a TOML file")
        private Path planFile;

        @Option(names = "--out", paramLabel = "DIR", defaultValue = "target/rig",
                description = "where logs, histories and results go (default: ${DEFAULT-VALUE})")
        private Path outputFolder;

        @Option(names = "--root", paramLabel = "DIR", defaultValue = ".",
                description = "the project's folder, with the program built (default: the current folder)")
        private Path root;

        @Option(names = "--broken", paramLabel = "NAME", defaultValue = BrokenVariants.NONE,
                description = "runs a variant of the program that is broken on purpose, and has to end with status 1")
        private String variant;

        @Spec
        private CommandSpec spec;

        RigPlan plan() throws TomlFile.ValidationException, IOException {
            if (!variant.equals(BrokenVariants.NONE) && !BrokenVariants.ALL.contains(variant)) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--broken: expected one of "
                        + String.join(", ", BrokenVariants.ALL) + ", not " + variant);
            }
            RigPlan plan = PlanFile.read(planFile == null ? defaultPlan() : planFile);
            if (plan.gateways().count() > 0 && !Files.exists(root.resolve("target/mastdrift.jsa"))) {
                throw new IllegalStateException(root.resolve("target/mastdrift.jsa")
                        + " is missing: run the deploy file's build first");
            }
            return plan;
        }

        /** The plan to run if none is named on the command line. */
        Path defaultPlan() {
            throw new CommandLine.ParameterException(spec.commandLine(), "Missing required parameter: 'PLAN'");
        }

        Path root() {
            return root;
        }

        Path outputFolder() {
            return outputFolder.toAbsolutePath();
        }

        PrintWriter output() {
            return spec.commandLine().getOut();
        }

        TestRun.Result execute(RigPlan plan, long seed, List<Fault> faults, int slot) throws IOException,
                InterruptedException {
            return TestRun.run(plan, seed, faults, new TestBed.Options(root.toAbsolutePath().normalize(), true,
                    variant), slot, folder(seed));
        }

        Path folder(long seed) {
            return outputFolder().resolve("seed-" + seed);
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a plan with each seed.")
    static class Run extends PlanCommand {

        @Option(names = "--seeds", paramLabel = "SEEDS", defaultValue = "1", converter = Lab.Seeds.class,
                description = "like 3, 1..8 or 1,5,9..12 (default: ${DEFAULT-VALUE})")
        private List<Long> seeds;

        @Option(names = "--jobs", paramLabel = "N", defaultValue = "1",
                description = "runs in parallel (default: ${DEFAULT-VALUE}); latencies only count with one at a time")
        private int jobs;

        private synchronized void report(TestRun.Result result, Path results) throws IOException {
            TestRun.append(results, result);
            output().println("seed " + result.seed() + ": " + (result.held() ? "held" : "BROKEN") + "  "
                    + result.figures());
            result.verdicts().stream().filter(verdict -> !verdict.held())
                    .forEach(verdict -> output().println("  " + verdict));
        }

        @Override
        public Integer call() throws Exception {
            RigPlan plan = plan();
            Files.createDirectories(outputFolder());
            Path results = outputFolder().resolve("results.jsonl");
            Files.deleteIfExists(results);
            AtomicInteger brokenSeeds = new AtomicInteger();
            AtomicInteger failedSeeds = new AtomicInteger();
            BlockingQueue<Integer> slots = new LinkedBlockingQueue<>();
            for (int slot = 0; slot < jobs; slot++) {
                slots.add(slot);
            }
            ExecutorService pool = Executors.newFixedThreadPool(jobs);
            List<Future<?>> runs = new ArrayList<>();
            for (long seed : seeds) {
                runs.add(pool.submit(() -> {
                    int slot = slots.take();
                    try {
                        TestRun.Result result = execute(plan, seed,
                                FaultSchedule.draw(plan, TestBed.names(plan), seed), slot);
                        brokenSeeds.addAndGet(result.held() ? 0 : 1);
                        report(result, results);
                    } catch (IOException | IllegalStateException e) {
                        failedSeeds.incrementAndGet();
                        output().println("seed " + seed + ": COULD NOT BE PLAYED  " + e.getMessage());
                    } finally {
                        slots.add(slot);
                    }
                    return null;
                }));
            }
            try {
                for (Future<?> each : runs) {
                    each.get();
                }
            } catch (ExecutionException e) {
                throw e.getCause() instanceof Exception cause ? cause : e;
            } finally {
                pool.shutdownNow();
            }
            output().println(String.format(Locale.ROOT, "%d of %d seeds held%s; results in %s",
                    seeds.size() - brokenSeeds.get() - failedSeeds.get(), seeds.size(),
                    failedSeeds.get() == 0 ? "" : ", " + failedSeeds + " could not be played", results));
            return brokenSeeds.get() > 0 ? BROKEN : failedSeeds.get() > 0 ? MISUSED : HELD;
        }
    }

    @Command(name = "soak", mixinStandardHelpOptions = true,
            description = "Runs gateways under all kinds of faults, which "
            + "each seed draws from rig/plans/soak.toml, or from another plan.")
    static final class Soak extends Run {

        @Override
        Path defaultPlan() {
            return root().resolve("rig/plans/soak.toml");
        }
    }

    @Command(name = "report", mixinStandardHelpOptions = true,
            description = "Writes one HTML page of the runs in a folder that 'run' wrote.")
    static final class ReportCommand implements Callable<Integer> {

        @Parameters(index = "0", paramLabel = "DIR", description = "the folder given to 'run' by --out")
        private Path folder;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            Path page = folder.resolve("report.html");
            Report.write(folder, page);
            spec.commandLine().getOut().println(page);
            return HELD;
        }
    }

    @Command(name = "shrink", mixinStandardHelpOptions = true,
            description = "Removes one fault after the other, and prints those without which a seed no longer breaks.")
    static final class Shrink extends PlanCommand {

        @Parameters(index = "1", paramLabel = "SEED")
        private long seed;

        @Override
        public Integer call() throws Exception {
            RigPlan plan = plan();
            List<Fault> faults = FaultSchedule.draw(plan, TestBed.names(plan), seed);
            if (execute(plan, seed, faults, 0).held()) {
                output().println("seed " + seed + " holds: nothing to shrink");
                return HELD;
            }
            for (int i = faults.size() - 1; i >= 0; i--) {
                List<Fault> reduced = new ArrayList<>(faults);
                Fault removed = reduced.remove(i);
                boolean held = execute(plan, seed, reduced, 0).held();
                output().println((held ? "needed:   " : "left out: ") + removed.facts());
                faults = held ? faults : reduced;
            }
            output().println("still broken with " + faults.size() + " faults:");
            faults.forEach(fault -> output().println("  " + fault.startMillis() + " ms, " + fault.durationMillis()
                    + " ms: " + fault.facts()));
            return BROKEN;
        }
    }

    @Command(name = "crowd", mixinStandardHelpOptions = true,
            description = "Measures the list service at each size: time until the last watcher has a change, memory, "
                    + "CPU, a release.")
    static final class CrowdCommand implements Callable<Integer> {

        @Option(names = "--entries", paramLabel = "N", split = ",", defaultValue = "1000,10000",
                description = "sizes of the list (default: ${DEFAULT-VALUE})")
        private List<Integer> entries;

        @Option(names = "--watches", paramLabel = "N", split = ",", defaultValue = "100,1000",
                description = "open watches, each number with each size (default: ${DEFAULT-VALUE})")
        private List<Integer> watches;

        @Option(names = "--replaced", paramLabel = "N", defaultValue = "600",
                description = "hosts that the release at the end replaces within 10 s (default: ${DEFAULT-VALUE})")
        private int replacedHosts;

        @Option(names = "--replicas", paramLabel = "N", defaultValue = "3",
                description = "replicas of the list service (default: ${DEFAULT-VALUE})")
        private int replicas;

        @Option(names = "--out", paramLabel = "DIR", defaultValue = "target/crowd",
                description = "where logs, figures and the page of plots go (default: ${DEFAULT-VALUE})")
        private Path outputFolder;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            Files.createDirectories(outputFolder);
            List<String> lines = new ArrayList<>();
            for (int entryCount : entries) {
                for (int watchCount : watches) {
                    try (RegistryBenchmark benchmark = new RegistryBenchmark(entryCount, watchCount, replacedHosts,
                            replicas, Path.of("").toAbsolutePath(),
                            outputFolder.toAbsolutePath().resolve(entryCount + "x" + watchCount))) {
                        lines.add(Json.encode(benchmark.run()));
                    }
                    spec.commandLine().getOut().println(lines.get(lines.size() - 1));
                }
            }
            Files.write(outputFolder.resolve("crowd.jsonl"), lines);
            Report.writeBenchmark(lines, outputFolder.resolve("crowd.html"));
            spec.commandLine().getOut().println(outputFolder.resolve("crowd.html"));
            return HELD;
        }
    }

    @Command(name = "takeover", mixinStandardHelpOptions = true,
            description = "Measures how long a duty has no holder after its holder is killed or stopped, and the cost "
                    + "of leases.")
    static final class TakeoverCommand implements Callable<Integer> {

        @Option(names = "--kills", paramLabel = "N", defaultValue = "50",
                description = "holders to kill (default: ${DEFAULT-VALUE})")
        private int kills;

        @Option(names = "--stops", paramLabel = "N", defaultValue = "50",
                description = "holders to stop cleanly (default: ${DEFAULT-VALUE})")
        private int stops;

        @Option(names = "--leases", paramLabel = "N", defaultValue = "1000",
                description = "leases to hold at once (default: ${DEFAULT-VALUE})")
        private int leases;

        @Option(names = "--term-ms", paramLabel = "MILLIS", defaultValue = "3000",
                description = "the duty's lease term (default: ${DEFAULT-VALUE})")
        private long termMillis;

        @Option(names = "--out", paramLabel = "DIR", defaultValue = "target/takeover",
                description = "where logs go (default: ${DEFAULT-VALUE})")
        private Path outputFolder;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            PrintWriter output = spec.commandLine().getOut();
            try (TakeoverBenchmark benchmark = new TakeoverBenchmark(3, termMillis, Path.of("").toAbsolutePath(),
                    outputFolder.toAbsolutePath())) {
                benchmark.start();
                output.println(Json.encode(benchmark.measureTakeovers(kills, true)));
                output.println(Json.encode(benchmark.measureTakeovers(stops, false)));
                output.println(Json.encode(benchmark.measureLeases(leases, 10_000, 30)));
            }
            return HELD;
        }
    }
}
