package mastdrift.registry;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.statistics.distribution.NormalDistribution;

/**
 * Phi accrual failure detection (Hayashibara, Defago, Yared and Katayama, SRDS 2004) for one peer: from the mean and
 * deviation of recent intervals between answers, phi is the negative decimal logarithm of the probability of an
 * interval as long as the present silence. Times are microseconds of one monotonic clock.
 */
final class PhiAccrualEstimator {

    /** Phi above which a peer counts as silent: one interval in a million is so long by chance. */
    static final double SILENT_PHI = 6;
    private static final int MAX_SAMPLES = 100;
    private static final int MIN_SAMPLES = 5;
    private static final double MIN_DEVIATION_FRACTION = 0.2;  // of the mean; intervals always vary a little

    private final Deque<Double> intervals = new ArrayDeque<>();
    private final double expectedInterval;
    private long lastAnswerAt;
    private double sum;
    private double sumOfSquares;

    /** {@code expectedInterval} is the interval between calls, used until there are enough samples. */
    PhiAccrualEstimator(long now, long expectedInterval) {
        this.expectedInterval = expectedInterval;
        lastAnswerAt = now;
    }

    /** The peer has answered. */
    void answerReceived(long now) {
        add(now - lastAnswerAt);
        lastAnswerAt = now;
    }

    private void add(double interval) {
        intervals.add(interval);
        sum += interval;
        sumOfSquares += interval * interval;
        if (intervals.size() > MAX_SAMPLES) {
            double oldest = intervals.poll();
            sum -= oldest;
            sumOfSquares -= oldest * oldest;
        }
    }

    /** Measures silence from now on; for a pause of the watcher itself. */
    void restart(long now) {
        lastAnswerAt = now;
    }

    double phi(long now) {
        boolean enoughSamples = intervals.size() >= MIN_SAMPLES;
        double mean = enoughSamples ? sum / intervals.size() : expectedInterval;
        double variance = enoughSamples ? Math.max(0, sumOfSquares / intervals.size() - mean * mean) : 0;
        double deviation = Math.max(Math.sqrt(variance), MIN_DEVIATION_FRACTION * Math.max(mean, expectedInterval));
        double probability = NormalDistribution.of(mean, deviation).survivalProbability(now - lastAnswerAt);
        return probability <= 0 ? Double.MAX_VALUE : -Math.log10(probability);
    }

    /** Time since the last answer. */
    long silence(long now) {
        return now - lastAnswerAt;
    }
}
