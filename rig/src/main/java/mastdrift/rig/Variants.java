package mastdrift.rig;

import java.util.List;

/** Variants of the program that are broken on purpose: a plan played with one has to end as broken. */
final class Variants {

    static final String NONE = "none";
    /** Gateways that take keyed requests for harmless anywhere, where a key binds them to a zone. */
    static final String REPEATS_ANYWHERE = "repeats-anywhere";
    /** Gateways that do not heed what a list tells of drains. */
    static final String DRAINS_UNHEEDED = "drains-unheeded";
    /** A list service that gives some revisions twice. */
    static final String REVISION_REUSED = "revision-reused";
    /** Replicas that let leases lapse by their own clocks. */
    static final String LEASE_BY_OWN_CLOCK = "lease-by-own-clock";
    /** A watch that leaves changes out where it resumes. */
    static final String WATCH_SKIPS = "watch-skips-on-resume";
    /** Members that take a peer for silent after a fixed time. */
    static final String FIXED_TIME_OUT = "fixed-time-out";
    /** Members that were removed and come back as the same incarnation. */
    static final String INCARNATION_KEPT = "incarnation-kept";
    /** A list service that removes a member by one report. */
    static final String ONE_REMOVES = "one-removes";
    static final List<String> ALL = List.of(REPEATS_ANYWHERE, DRAINS_UNHEEDED, REVISION_REUSED, LEASE_BY_OWN_CLOCK, WATCH_SKIPS,
            FIXED_TIME_OUT, INCARNATION_KEPT, ONE_REMOVES);
    private static final List<String> OF_REPLICAS = List.of(REVISION_REUSED, LEASE_BY_OWN_CLOCK, WATCH_SKIPS, ONE_REMOVES);
    private static final List<String> OF_MEMBERS = List.of(FIXED_TIME_OUT, INCARNATION_KEPT);

    /** What a process of that kind is told of it. */
    static String of(String kind, String variant) {
        boolean its = kind.equals("registry") && OF_REPLICAS.contains(variant) || kind.equals("member") && OF_MEMBERS.contains(variant);
        return its ? variant : NONE;
    }

    private Variants() { }
}
