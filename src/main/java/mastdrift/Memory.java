package mastdrift;

import java.util.List;
import java.util.Map;

/**
 * What one run of a gateway has learned, for the next run of the same gateway: plain data without a decision. Told by
 * {@link Balancer#memory} and taken over by {@link Balancer#recall}. Every moment is an age in microseconds before it was
 * told, {@link #NEVER} for one that has not been; latencies and spans are in microseconds, {@code samples}, {@code share}
 * and the like in the module's own measure. Requests in flight and connections are not in it.
 *
 * @param hosts what is known of each host of the list
 * @param kinds what is known of each kind of machine, by name
 * @param usual usual latency of each class, by name
 * @param keys remembered keys, the one used last first
 * @param served what admission goes by
 * @param links what is known of idle connections
 */
public record Memory(List<KnownHost> hosts, Map<String, KnownKind> kinds, Map<String, Double> usual, Keys keys,
        Served served, Links links) {

    /** The age of what has not been. */
    public static final long NEVER = -1;

    /** One host: its samples with their ages, the newest first, where it stands, its queue, and its warming up. */
    public record KnownHost(String address, long born, long[] sampleAges, double[] samples, Standing standing, Queue queue,
            Warming warming) { }

    /** Share and set membership, the round trip of its last probe, attempts lately, and when it last answered. */
    public record Standing(double share, boolean inSet, double probeTrip, double recent, long answered, boolean down) { }

    /** The queue that its reports told, and the one that its shortest answers tell. */
    public record Queue(double told, long toldAge, double waiting, long waitAge) { }

    /** Since when and for how long it counts as cold, what it may still be sent, and how idle the list tells it. */
    public record Warming(long since, long span, double credit, long creditAge, double idle) { }

    /** Rate of a warm host, how busy its cores are and by how many reports, its size, and its highest weight listed. */
    public record KnownKind(double rate, double cpu, int reports, double size, double weightMost) { }

    /** Keys, the index in {@link Memory#hosts} of where each was served last, and when. */
    public record Keys(long[] keys, int[] hosts, long[] ages) { }

    /** Latenesses with their ages, the newest first; the pressure and what it was judged by; the part of new keys. */
    public record Served(long[] ages, double[] lateness, double pressure, boolean manyFull, double failing, double few,
            double newPart, double retryBudget) { }

    /** Losses by idle time in steps of two, the limit that they led to ({@link #NEVER} for none) and when it ends. */
    public record Links(double[] lost, double[] seen, long limit, long ends) { }
}
