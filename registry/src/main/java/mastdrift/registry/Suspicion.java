package mastdrift.registry;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.statistics.distribution.NormalDistribution;

/**
 * How unlikely a peer's silence is, by phi accrual (Hayashibara, Defago, Yared and Katayama, SRDS 2004): of the pauses between
 * its answers the mean and the spread are kept, and phi is the negative decimal logarithm of the chance of a pause as long as
 * the present one. Times in microseconds of one monotonic clock.
 */
final class Suspicion {

    /** Above this a peer counts as silent: one pause in a million is so long by chance. */
    static final double SILENT = 6;
    private static final int KEPT = 100;
    private static final int ENOUGH = 5;
    private static final double LEAST_SPREAD = 0.2;  // of the mean: answers never come by the clock

    private final Deque<Double> pauses = new ArrayDeque<>();
    private final double expected;
    private long last;
    private double sum;
    private double squares;

    /** {@code expected} is the pause that is asked for; it counts until there are enough others. */
    Suspicion(long now, long expected) {
        this.expected = expected;
        last = now;
    }

    /** It has answered. */
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

    /** The watcher itself was stopped: what it did not hear meanwhile says nothing. */
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

    /** Since its last answer. */
    long quiet(long now) {
        return now - last;
    }
}
