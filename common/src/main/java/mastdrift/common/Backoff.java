package mastdrift.common;

import java.util.function.DoubleSupplier;

/** Pauses between tries with decorrelated jitter (Brooker, "Exponential Backoff and Jitter", 2015): each is drawn evenly
    between the least and three times the one before, so that many who failed together do not come back together. */
public final class Backoff {

    private final long least;
    private final long most;
    private final DoubleSupplier unit;
    private long last;

    /** Spans in any one unit, which {@link #next} has as well; {@code unit} draws from [0, 1). */
    public Backoff(long least, long most, DoubleSupplier unit) {
        this.least = least;
        this.most = most;
        this.unit = unit;
        last = least;
    }

    /** The next pause. */
    public long next() {
        last = Math.min(most, least + (long) (unit.getAsDouble() * (3 * last - least)));
        return last;
    }

    /** After a success. */
    public void reset() {
        last = least;
    }
}
