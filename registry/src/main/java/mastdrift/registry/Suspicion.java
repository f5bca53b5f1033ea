package mastdrift.registry;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.statistics.distribution.NormalDistribution;

/**
 * Phi accrual failure detection (Hayashibara, Defago, Yared and Katayama, SRDS 2004) for one peer: from the mean and
 * deviation of recent intervals between answers, phi is the negative decimal logarithm of the probability of an
 * interval as long as the present silence. Times are microseconds of one monotonic clock.
 */
final class Suspicion {

    /** Phi above which a peer counts as silent: one interval in a million is so long by chance. */
    static final double SILENT = 6;
    private static final int KEPT = 100;
    private static final int ENOUGH = 5;
    private static final double LEAST_SPREAD = 0.2;  // of the mean; intervals always vary a little

    private final Deque<Double> pauses = new ArrayDeque<>();
    private final double expected;
    private long last;
    private double sum;
    private double squares;

    /** {@code expectedInterval} is the interval between calls, used until there are enough samples. */
    Suspicion(long now, long expected) {
        this.expected = expected;
        last = now;
    }

    /** The peer has answered. */
    void heard(long now) {
        add(now - last);
        last = now;
    }

    private void add(double pause) {
        pauses.add(pause);
        sum += pause;
        squares += pause * pause;
        if (pauses.size() > KEPT) {
            double eldest = pauses.poll();
            sum -= eldest;
            squares -= eldest * eldest;
        }
    }

    /** Measures silence from now on; for a pause of the watcher itself. */
    void startedAnew(long now) {
        last = now;
    }

    double phi(long now) {
        boolean known = pauses.size() >= ENOUGH;
        double mean = known ? sum / pauses.size() : expected;
        double variance = known ? Math.max(0, squares / pauses.size() - mean * mean) : 0;
        double spread = Math.max(Math.sqrt(variance), LEAST_SPREAD * Math.max(mean, expected));
        double chance = NormalDistribution.of(mean, spread).survivalProbability(now - last);
        return chance <= 0 ? Double.MAX_VALUE : -Math.log10(chance);
    }

    /** Time since the last answer. */
    long quiet(long now) {
        return now - last;
    }
}
