package mastdrift.registry;

/**
 * What a process may believe of a duty that it was granted: until when it may act, on its own monotonic clock, counted from
 * before it asked, and a tenth less. It rests no safety on that: whoever is acted on refuses an older token. Times in
 * microseconds.
 */
final class Tenure {

    private final long span;
    private long token;
    private long until;
    private long renewAt;

    /** {@code span} as the log has it. */
    Tenure(long span) {
        this.span = span;
    }

    /** The service said so to what was asked at that time. */
    void granted(long askedAt, long given) {
        token = given;
        until = askedAt + span - span / 10;
        renewAt = askedAt + span / 3;
    }

    void lost() {
        token = 0;
    }

    /** Whether it may act now. */
    boolean holds(long now) {
        return token > 0 && now < until;
    }

    /** Whether it was granted and not told that it is lost; it may be over all the same. */
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
