package mastdrift.registry;

/**
 * A holder's local view of its lease on a duty: valid on its own monotonic clock from the time of the request, a tenth
 * shorter than the lease in the log. Safety doesn't depend on it: targets of an action refuse older fencing tokens.
 * Times are microseconds.
 */
final class Tenure {

    private final long span;
    private long token;
    private long until;
    private long renewAt;

    /** {@code durationMicros} is the duration of the lease in the log. */
    Tenure(long span) {
        this.span = span;
    }

    /** The service granted or renewed the lease in response to a request sent at {@code requestedAt}. */
    void granted(long askedAt, long given) {
        token = given;
        until = askedAt + span - span / 10;
        renewAt = askedAt + span / 3;
    }

    void lost() {
        token = 0;
    }

    /** Whether the holder may act now. */
    boolean holds(long now) {
        return token > 0 && now < until;
    }

    /** Whether the lease was granted and is not known to be lost; it may have expired. */
    boolean believes() {
        return token > 0;
    }

    boolean renews(long now) {
        return token > 0 && now >= renewAt;
    }

    long token() {
        return token;
    }
}
