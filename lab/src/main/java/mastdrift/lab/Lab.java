package mastdrift.lab;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.IntConsumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import mastdrift.common.TomlFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The lab's commands. Exit status: 0 all held, 1 a rule was broken or a figure fell short, 2 they were misused. */
@Command(name = "lab", mixinStandardHelpOptions = true, version = "0.1.0", synopsisSubcommandLabel = "COMMAND",
        description = "Plays days of an emulated site round the decision module, in simulated time.",
        subcommands = {Lab.Run.class, Lab.Compare.class, Lab.Sweep.class, Lab.MakeReport.class, Lab.Replay.class,
            CommandLine.HelpCommand.class})
public final class Lab implements Runnable {

    static final int HELD = 0;
    static final int FELL_SHORT = 1;
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
        return new CommandLine(new Lab()).setOut(out).setErr(err)
                .setExecutionExceptionHandler((fault, command, parsed) -> {
                    command.getErr().println(fault instanceof TomlFile.ValidationException || fault instanceof IOException
                            || fault instanceof IllegalStateException ? fault.getMessage() : fault.toString());
                    return MISUSED;
                }).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Reads {@code 3}, {@code 1..8} and {@code 1,5,9..12}. */
    public static final class Seeds implements CommandLine.ITypeConverter<List<Long>> {

        private static final int MOST = 100_000;

        @Override
        public List<Long> convert(String text) {
            List<Long> seeds = new ArrayList<>();
            for (String part : text.split(",")) {
                String[] ends = part.split("\\.\\.", -1);
                try {
                    long first = Long.parseLong(ends[0].strip());
                    long last = ends.length == 1 ? first : Long.parseLong(ends[1].strip());
                    if (ends.length > 2 || last < first || last - first >= MOST) {
                        throw new NumberFormatException();
                    }
                    LongStream.rangeClosed(first, last).forEach(seeds::add);
                } catch (NumberFormatException e) {
                    throw new CommandLine.TypeConversionException("seeds like 3, 1..8 or 1,5,9..12, not " + text);
                }
            }
            return seeds;
        }
    }

    /** What all commands that play take. */
    static final class Playing {

        @Parameters(index = "0", paramLabel = "DAY", description = "the day, a TOML file")
        private Path day;

        @Option(names = "--threads", paramLabel = "N", description = "days at once (default: the cores there are)")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Option(names = "--out", paramLabel = "FILE", description = "where the results go, as JSON Lines")
        private Path out;

        @Option(names = "--quiet", description = "no progress on standard error")
        private boolean quiet;

        @Spec(Spec.Target.MIXEE)
        private CommandSpec spec;

        Plan plan() throws TomlFile.ValidationException, IOException {
            if (threads < 1) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--threads has to be 1 or more");
            }
            return DayFile.read(day);
        }

        PrintWriter print() {
            return spec.commandLine().getOut();
        }

        List<Result> play(Plan plan, List<Long> seeds, List<Experiment.Build> builds) throws IOException {
            int all = seeds.size() * builds.size();
            PrintWriter err = spec.commandLine().getErr();
            IntConsumer done = over -> {
                if (!quiet) {
                    synchronized (err) {
                        err.println(over + " of " + all + " days played");
                    }
                }
            };
            List<Result> results = Experiment.play(plan, seeds, builds, threads, done);
            if (out != null) {
                try (BufferedWriter to = Files.newBufferedWriter(out, StandardCharsets.UTF_8)) {
                    Journal.write(to, results);
                }
            }
            return results;
        }
    }

    /** The module of this build for {@code self}, or that of a folder in which a version of the program was built. */
    private static Experiment.Build build(String name) throws IOException {
        return new Experiment.Build(name, name.equals("self") ? Brains.Direct::new : Wire.build(Path.of(name)));
    }

    private static String line(Result result) {
        long offered = Math.max(1, result.offered());
        return String.format(Locale.ROOT, "%-20s seed %-4d figure %.3f  whole %.3f  worst 10 s %.3f  class %.3f  of %d: "
                + "%.1f%% served, %.1f%% late, %.1f%% refused, %.1f%% failed%s", result.build(), result.seed(),
                result.figure(), result.whole(), result.worstWindow(), result.worstClass(), result.offered(),
                100.0 * result.served() / offered, 100.0 * result.late() / offered, 100.0 * result.refused() / offered,
                100.0 * result.failed() / offered, result.held() ? "" : "  BROKEN " + result.breaches());
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a day for each seed.")
    static final class Run implements Callable<Integer> {

        @Mixin
        private Playing playing;

        @Option(names = "--seeds", paramLabel = "SEEDS", defaultValue = "1", converter = Seeds.class,
                description = "like 3, 1..8 or 1,5,9..12 (default: ${DEFAULT-VALUE})")
        private List<Long> seeds;

        @Option(names = "--build", paramLabel = "BUILD", defaultValue = "self",
                description = "self, or the folder of a built version (default: ${DEFAULT-VALUE})")
        private String build;

        @Option(names = "--want", paramLabel = "FIGURE", description = "fall short where the mean figure is under this")
        private double want = Double.NEGATIVE_INFINITY;

        @Override
        public Integer call() throws Exception {
            List<Result> results = playing.play(playing.plan(), seeds, List.of(build(build)));
            results.forEach(result -> playing.print().println(line(result)));
            Experiment.Mean mean = Experiment.Mean.of(results.stream().mapToDouble(Result::figure).toArray());
            playing.print().println("figure " + mean);
            return results.stream().allMatch(Result::held) && mean.mean() >= want ? HELD : FELL_SHORT;
        }
    }

    @Command(name = "compare", mixinStandardHelpOptions = true,
            description = "Plays the same days with two builds, and tells the difference B less A.")
    static final class Compare implements Callable<Integer> {

        @Mixin
        private Playing playing;

        @Option(names = "--a", paramLabel = "BUILD", required = true, description = "self, or the folder of a built version")
        private String a;

        @Option(names = "--b", paramLabel = "BUILD", defaultValue = "self", description = "likewise (default: self)")
        private String b;

        @Option(names = "--seeds", paramLabel = "SEEDS", defaultValue = "1..8", converter = Seeds.class,
                description = "like 3, 1..8 or 1,5,9..12 (default: ${DEFAULT-VALUE})")
        private List<Long> seeds;

        @Override
        public Integer call() throws Exception {
            List<Result> results = playing.play(playing.plan(), seeds, List.of(build(a), build(b)));
            results.forEach(result -> playing.print().println(line(result)));
            playing.print().println("B less A, mean and 95% confidence interval over seeds:");
            tell("figure", results, Result::figure);
            tell("whole", results, Result::whole);
            tell("worst 10 s", results, Result::worstWindow);
            tell("worst class", results, Result::worstClass);
            tell("refused part", results, r -> r.refused() / (double) Math.max(1, r.offered()));
            tell("failed part", results, r -> r.failed() / (double) Math.max(1, r.offered()));
            tell("dials a request", results, r -> r.dials() / (double) Math.max(1, r.offered()));
            tell("probes a request", results, r -> r.probes() / (double) Math.max(1, r.offered()));
            tell("crossings", results, r -> r.crossed() / (double) Math.max(1, r.attempts()));
            tell("into nothing", results, r -> r.intoNothing() / (double) Math.max(1, r.attempts()));
            if (results.stream().noneMatch(r -> Double.isNaN(r.leftMs()))) {
                tell("left after ms", results, Result::leftMs);
            }
            for (int side = 0; side < 2; side++) {
                double[] sums = new double[4];
                for (int i = side; i < results.size(); i += 2) {
                    Result r = results.get(i);
                    sums[0] += r.figure();
                    sums[1] += r.crossed() / (double) Math.max(1, r.attempts());
                    sums[2] += r.intoNothing() / (double) Math.max(1, r.attempts());
                    sums[3] += r.leftMs();
                }
                playing.print().printf(Locale.ROOT, "  %s: figure %.4f, crossings %.3f, into nothing %.4f, left after %.0f ms%n",
                        side == 0 ? "A" : "B", sums[0] * 2 / results.size(), sums[1] * 2 / results.size(),
                        sums[2] * 2 / results.size(), sums[3] * 2 / results.size());
            }
            boolean worse = Experiment.difference(results, Result::figure).most() < 0;
            boolean held = results.stream().filter(result -> result.build().equals(b)).allMatch(Result::held);
            return held && !worse ? HELD : FELL_SHORT;
        }

        private void tell(String what, List<Result> results, ToDoubleFunction<Result> figure) {
            playing.print().printf(Locale.ROOT, "  %-17s %s%n", what, Experiment.difference(results, figure));
        }
    }

    @Command(name = "sweep", mixinStandardHelpOptions = true,
            description = "Plays a day at several sizes, and tells what each takes.")
    static final class Sweep implements Callable<Integer> {

        @Mixin
        private Playing playing;

        @Option(names = "--sizes", paramLabel = "GxH", split = ",", required = true,
                description = "gateways and hosts, like 10x20,100x200")
        private List<String> sizes;

        @Option(names = "--seeds", paramLabel = "SEEDS", defaultValue = "1", converter = Seeds.class,
                description = "like 3, 1..8 or 1,5,9..12 (default: ${DEFAULT-VALUE})")
        private List<Long> seeds;

        @Override
        public Integer call() throws Exception {
            Plan plan = playing.plan();
            boolean held = true;
            playing.print().println("gateways hosts   seconds  MiB used  requests  figure");
            for (String size : sizes) {
                String[] parts = size.split("x");
                if (parts.length != 2 || !parts[0].matches("[1-9]\\d{0,4}") || !parts[1].matches("[1-9]\\d{0,4}")) {
                    throw new CommandLine.ParameterException(playing.spec.commandLine(), "a size like 10x20, not " + size);
                }
                Plan sized = plan.sized(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
                long begun = System.nanoTime();
                List<Result> results = playing.play(sized, seeds, List.of(build("self")));
                double seconds = (System.nanoTime() - begun) / 1e9;
                Runtime machine = Runtime.getRuntime();
                playing.print().printf(Locale.ROOT, "%8s %5s %9.1f %9d %9d  %s%n", parts[0], parts[1], seconds,
                        (machine.totalMemory() - machine.freeMemory()) >> 20,
                        results.stream().mapToLong(Result::offered).sum(),
                        Experiment.Mean.of(results.stream().mapToDouble(Result::figure).toArray()));
                held &= results.stream().allMatch(Result::held);
            }
            return held ? HELD : FELL_SHORT;
        }
    }

    @Command(name = "report", mixinStandardHelpOptions = true, description = "Makes one page with plots of the results.")
    static final class MakeReport implements Callable<Integer> {

        @Parameters(index = "0", paramLabel = "RESULTS", description = "a file that --out named")
        private Path results;

        @Parameters(index = "1", paramLabel = "PAGE", description = "the page to make")
        private Path page;

        @Override
        public Integer call() throws Exception {
            Report.write(results, page);
            return HELD;
        }
    }

    @Command(name = "replay", mixinStandardHelpOptions = true,
            description = "Plays one seed of a day, with all that modules and troubles say.")
    static final class Replay implements Callable<Integer> {

        @Mixin
        private Playing playing;

        @Parameters(index = "1", paramLabel = "SEED", description = "the seed")
        private long seed;

        @Option(names = "--build", paramLabel = "BUILD", defaultValue = "self",
                description = "self, or the folder of a built version (default: ${DEFAULT-VALUE})")
        private String build;

        @Override
        public Integer call() throws Exception {
            Result result = Experiment.play(playing.plan(), seed, build(build), playing.print()::println);
            playing.print().println("  s offered served late refused failed   p95 ms  held mean most  choked  up");
            for (Meter.Window w : result.windows()) {
                playing.print().printf(Locale.ROOT, "%3d %7d %6d %4d %7d %6d %8.1f %10.2f %5.1f %6d %4d+%d%n", w.second(),
                        w.offered(), w.served(), w.late(), w.refused(), w.failed(), w.p95(), w.heldMean(), w.heldMost(),
                        w.choked(), w.hostsUp(), w.gatewaysUp());
            }
            playing.print().println(line(result));
            return result.held() ? HELD : FELL_SHORT;
        }
    }
}
