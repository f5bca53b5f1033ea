package mastdrift.net;

/** Time limits on a response whose body is being streamed from a host. A long response, of more than 64 KiB, may take
    any time as long as its host goes on sending: only its first bytes have a deadline. A shorter one has to end by the
    deadline of its request. A response of unknown length counts as long once that much of its body has been read;
    until then it may take longer than its deadline only while its host sends it at a rate, and with pauses, at which a
    long response comes. All times are in microseconds on the gateway's clock. */
final class ResponseReadTimer {

    // How long the host of a long response may pause.
    static final long LONG_RESPONSE_PAUSE_MICROS = 5_000_000;
    // How long the host may pause before the response is known to be long: a little more than 64 KiB take at 64 kB a
    // second, the rate of slow peers, in one piece.
    static final long MAX_PAUSE_MICROS = 1_100_000;
    // A response that comes more slowly, an eighth of that rate, counts as one that trickles in and never ends.
    private static final double MICROS_PER_BYTE = 1e6 / 8_000;
    // A response that ends up to half a second after its deadline is late, but not lost.
    static final long MAX_LATENESS_MICROS = 400_000;

    private final long deadline;
    private final boolean lengthKnown;
    private long startedAt;  // time of the first part of the body, later by the time in which reading was paused
    private long lastReadAt;  // when data last arrived, or reading continued after a pause
    private long bytes;  // of the body
    private long pausedAt;  // 0 while reading is not paused

    /** Starts the timer for a response of which {@code bytes} of the body have arrived between {@code startedAt} and
        {@code lastReadAt}; {@code deadline} is that of its request. */
    ResponseReadTimer(long startedAt, long lastReadAt, long bytes, boolean lengthKnown, long deadline) {
        this.startedAt = startedAt;
        this.lastReadAt = lastReadAt;
        this.bytes = bytes;
        this.lengthKnown = lengthKnown;
        this.deadline = deadline;
    }

    /** Data has been read, with which {@code bytes} of the body have come. If {@code moreWaiting}, the host has sent
        more than was read: what is late is this gateway, and the time does not count. */
    void dataReceived(long now, long bytes, boolean moreWaiting) {
        startedAt += moreWaiting ? now - lastReadAt : 0;
        lastReadAt = now;
        this.bytes = bytes;
    }

    /** Pauses or continues the timer: while the client takes no more, the host can't go on sending. */
    void setPaused(boolean paused, long now) {
        if (paused == isPaused()) {
            return;
        }
        if (!paused) {
            lastReadAt = now;
            startedAt += now - pausedAt;
        }
        pausedAt = paused ? now : 0;
    }

    boolean isPaused() {
        return pausedAt != 0;
    }

    /** When the response has to be given up unless more of it arrives before. */
    long expiresAt() {
        if (lengthKnown || bytes > MessageAggregator.MAX_AGGREGATED_BYTES) {
            return lastReadAt + LONG_RESPONSE_PAUSE_MICROS;
        }
        long slowAt = startedAt + MAX_PAUSE_MICROS + (long) (bytes * MICROS_PER_BYTE);
        long progressExpiresAt = Math.min(lastReadAt + MAX_PAUSE_MICROS, slowAt);
        return Math.max(deadline + MAX_LATENESS_MICROS, progressExpiresAt);
    }
}
