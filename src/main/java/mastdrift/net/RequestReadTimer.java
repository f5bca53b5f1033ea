package mastdrift.net;

/** Time limits on reading one request from a client's connection. Clients may take 2 s for the head of a request and
    may send its body at 64 kB a second, in pieces; a connection that never sends a whole request has to be closed
    within 3 s of connecting. Bytes that trickle in do not extend the limits, and time in which the gateway does not
    read does not count. All times are in microseconds on the gateway's clock. */
final class RequestReadTimer {

    /** Limit for the head of a request, from its first byte or, for a connection's first request, from connecting. */
    static final long HEAD_TIMEOUT_MICROS = 2_600_000;
    // Half of the rate at which clients send, 64 kB a second, is accepted; so is a pause of this length.
    private static final double BODY_MICROS_PER_BYTE = 1e6 / 32_000;
    private static final long BODY_STALL_TIMEOUT_MICROS = 2_000_000;

    private long startedAt;  // time of the request's first byte, 0 while no request is being read
    private long lastReadAt;  // when input last arrived, or reading continued after a pause
    private long pausedAt;  // 0 while reading is not paused

    /** Whether a request has been read in part. */
    boolean isRunning() {
        return startedAt != 0;
    }

    /** Starts the timer for a new request; does nothing if it is running. */
    void start(long now) {
        startedAt = startedAt == 0 ? now : startedAt;
    }

    void stop() {
        startedAt = 0;
    }

    void dataReceived(long now) {
        lastReadAt = now;
    }

    /** Pauses or continues the timer; false if that changes nothing. */
    boolean setPaused(boolean paused, long now) {
        if (paused == (pausedAt != 0)) {
            return false;
        }
        if (!paused) {
            lastReadAt = now;
            startedAt += startedAt == 0 ? 0 : now - pausedAt;
        }
        pausedAt = paused ? now : 0;
        return true;
    }

    /** Whether the request that is being read, with {@code bodyBytes} of its body, is too slow. {@code connectedAt} is
        when the client connected, or 0 if an earlier request came on the connection. */
    boolean isExpired(long now, long connectedAt, long bodyBytes) {
        long elapsed = now - (connectedAt == 0 ? startedAt : connectedAt);
        boolean slow = elapsed > HEAD_TIMEOUT_MICROS + bodyBytes * BODY_MICROS_PER_BYTE;
        boolean stalled = elapsed > HEAD_TIMEOUT_MICROS && now - lastReadAt > BODY_STALL_TIMEOUT_MICROS;
        return isRunning() && pausedAt == 0 && (slow || stalled);
    }
}
