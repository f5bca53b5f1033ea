package mastdrift.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.ToDoubleFunction;
import org.apache.commons.statistics.distribution.TDistribution;

/** Plays days of many seeds side by side, each in one thread, and says how sure a difference is. */
final class Experiment {

    /** A build by its name and where its modules come from. */
    record Build(String name, Brains.Source source) { }

    /** A mean over seeds and the half width of its 95% confidence interval, infinite where there is one seed. */
    record Mean(double mean, double half, int seeds) {

        static Mean of(double... values) {
            double sum = 0;
            for (double value : values) {
                sum += value;
            }
            double mean = sum / values.length;
            if (values.length < 2) {
                return new Mean(mean, Double.POSITIVE_INFINITY, values.length);
            }
            double squares = 0;
            for (double value : values) {
                squares += (value - mean) * (value - mean);
            }
            double error = Math.sqrt(squares / (values.length - 1) / values.length);
            return new Mean(mean, error * TDistribution.of(values.length - 1).inverseCumulativeProbability(0.975),
                    values.length);
        }

        double least() {
            return mean - half;
        }

        double most() {
            return mean + half;
        }

        @Override
        public String toString() {
            return String.format(java.util.Locale.ROOT, "%+.4f [%+.4f, %+.4f] over %d", mean, least(), most(), seeds);
        }
    }

    private Experiment() { }

    /** One day, with a line for the log of each thing that a module or a trouble says. */
    static Result play(Plan plan, long seed, Build build, Consumer<String> log) {
        try (Brains brains = build.source().open()) {
            World world = new World(plan, seed, brains, log);
            world.play();
            return Result.of(build.name(), plan, seed, world);
        }
    }

    /** All of them, in the order of seeds and, within one, of builds; {@code done} hears of how many are over, from any
        thread. Throws IllegalStateException with the cause of the first that failed. */
    static List<Result> play(Plan plan, List<Long> seeds, List<Build> builds, int threads, IntConsumer done) {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            AtomicInteger over = new AtomicInteger();
            List<Future<Result>> all = new ArrayList<>();
            for (long seed : seeds) {
                for (Build build : builds) {
                    all.add(pool.submit(() -> {
                        Result result = play(plan, seed, build, line -> { });
                        done.accept(over.incrementAndGet());
                        return result;
                    }));
                }
            }
            List<Result> results = new ArrayList<>();
            for (Future<Result> each : all) {
                results.add(each.get());
            }
            return results;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause().toString(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            pool.shutdownNow();
        }
    }

    /** B less A, seed by seed, of results that {@link #play(Plan, List, List, int, IntConsumer)} gave for two builds. */
    static Mean difference(List<Result> results, ToDoubleFunction<Result> figure) {
        double[] differences = new double[results.size() / 2];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = figure.applyAsDouble(results.get(2 * i + 1)) - figure.applyAsDouble(results.get(2 * i));
        }
        return Mean.of(differences);
    }
}
