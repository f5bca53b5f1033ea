package mastdrift.common;

import java.util.function.DoubleSupplier;

/** Exponential backoff with decorrelated jitter (Brooker, "Exponential Backoff and Jitter", 2015): each pause is drawn
    uniformly between the minimum and three times the previous pause, and capped at the maximum, so that clients that
    failed at the same time do not retry at the same time. */
public final class Backoff {

    private final long minimum;
    private final long maximum;
    private final DoubleSupplier random;
    private long lastPause;

    /** The minimum and maximum pause, in the unit that {@link #next} returns; {@code random} draws from [0, 1). */
    public Backoff(long minimum, long maximum, DoubleSupplier random) {
        this.minimum = minimum;
        this.maximum = maximum;
        this.random = random;
        lastPause = minimum;
    }

    /** Returns the pause before the next retry. */
    public long next() {
        lastPause = Math.min(maximum, minimum + (long) (random.getAsDouble() * (3 * lastPause - minimum)));
        return lastPause;
    }

    /** Starts again from the minimum; to be called after a success. */
    public void reset() {
        lastPause = minimum;
    }
}
