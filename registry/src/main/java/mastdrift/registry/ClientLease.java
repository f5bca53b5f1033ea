package mastdrift.registry;

/**
 * A holder's local view of its lease on a duty: valid on its own monotonic clock from the time of the request, a tenth
 * shorter than the lease in the log. Safety doesn't depend on it: targets of an action refuse older fencing tokens.
 * Times are microseconds.
 */
final class ClientLease {

    private final long durationMicros;
    private long token;
    private long expiresAt;
    private long renewAt;

    /** {@code durationMicros} is the duration of the lease in the log. */
    ClientLease(long durationMicros) {
        this.durationMicros = durationMicros;
    }

    /** The service granted or renewed the lease in response to a request sent at {@code requestedAt}. */
    void granted(long requestedAt, long newToken) {
        token = newToken;
        expiresAt = requestedAt + durationMicros - durationMicros / 10;
        renewAt = requestedAt + durationMicros / 3;
    }

    void clear() {
        token = 0;
    }

    /** Whether the holder may act now. */
    boolean isValid(long now) {
        return token > 0 && now < expiresAt;
    }

    /** Whether the lease was granted and is not known to be lost; it may have expired. */
    boolean isGranted() {
        return token > 0;
    }

    boolean isRenewalDue(long now) {
        return token > 0 && now >= renewAt;
    }

    long token() {
        return token;
    }
}
