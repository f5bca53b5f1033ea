package mastdrift.net;

/** How a request comes in on a client's connection, and when it has taken too long. Clients may take 2 s for a head and send
    a body at 64 kB a second, in pieces; what never becomes a request is owed an end within 3 s of connecting. Bounds aren't
    moved by what trickles in, and time in which nothing is read from the client is not the client's. All times are in
    microseconds on the gateway's clock. */
final class Arrival {

    /** A head has to be there by then, from its first byte or, on a connection's first request, from its coming. */
    static final long HEAD_IN_MICROS = 2_600_000;
    // Half of the pace that clients keep is borne, in microseconds a byte, and so is a pause.
    private static final double BODY_MICROS_A_BYTE = 1e6 / 32_000;
    private static final long BODY_PAUSE_MICROS = 2_000_000;

    private long since;  // the first byte, 0 while there is no part of a request
    private long readAt;
    private long pausedAt;  // 0 while the client is read from

    /** Whether there is a part of a request. */
    boolean begun() {
        return since != 0;
    }

    void begin(long now) {
        since = since == 0 ? now : since;
    }

    void end() {
        since = 0;
    }

    void read(long now) {
        readAt = now;
    }

    /** False where this changes nothing. */
    boolean pause(boolean paused, long now) {
        if (paused == (pausedAt != 0)) {
            return false;
        }
        if (!paused) {
            readAt = now;
            since += since == 0 ? 0 : now - pausedAt;
        }
        pausedAt = paused ? now : 0;
        return true;
    }

    /** Whether the part that there is, with so many bytes of its body, is too slow; {@code came} is when its connection
        came, or 0 where that has been asked on before. */
    boolean overdue(long now, long came, long bytes) {
        long taken = now - (came == 0 ? since : came);
        boolean slow = taken > HEAD_IN_MICROS + bytes * BODY_MICROS_A_BYTE;
        boolean stalled = taken > HEAD_IN_MICROS && now - readAt > BODY_PAUSE_MICROS;
        return begun() && pausedAt == 0 && (slow || stalled);
    }
}
