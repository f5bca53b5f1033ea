package mastdrift.rig;

import java.util.List;

/** Variants of the program that are broken on purpose, to test the checkers: a plan run with one has to end as
    broken. */
final class BrokenVariants {

    static final String NONE = "none";
    /** Gateways that repeat keyed requests in any zone, though a key is deduplicated only within a zone. */
    static final String REPEATS_ANYWHERE = "repeats-anywhere";
    /** Gateways that never learn that a host drains. */
    static final String DRAINS_IGNORED = "drains-unheeded";
    /** A list service that assigns some revisions twice. */
    static final String REVISION_REUSED = "revision-reused";
    /** Replicas that expire leases by their own clocks. */
    static final String LEASE_BY_OWN_CLOCK = "lease-by-own-clock";
    /** A watch that skips changes when it resumes. */
    static final String WATCH_SKIPS = "watch-skips-on-resume";
    /** Members that suspect a peer after a fixed timeout. */
    static final String FIXED_TIMEOUT = "fixed-time-out";
    /** Members that were removed and rejoin with the same incarnation. */
    static final String INCARNATION_KEPT = "incarnation-kept";
    /** A list service that removes a member after a single report. */
    static final String ONE_REMOVES = "one-removes";
    static final List<String> ALL = List.of(REPEATS_ANYWHERE, DRAINS_IGNORED, REVISION_REUSED, LEASE_BY_OWN_CLOCK,
            WATCH_SKIPS, FIXED_TIMEOUT, INCARNATION_KEPT, ONE_REMOVES);
    private static final List<String> OF_REPLICAS =
            List.of(REVISION_REUSED, LEASE_BY_OWN_CLOCK, WATCH_SKIPS, ONE_REMOVES);
    private static final List<String> OF_MEMBERS = List.of(FIXED_TIMEOUT, INCARNATION_KEPT);

    /** The variant that a process of that kind runs: the given one if it concerns that kind, else none. */
    static String forProcess(String kind, String variant) {
        boolean applies = kind.equals("registry") && OF_REPLICAS.contains(variant) || kind.equals("member")
                && OF_MEMBERS.contains(variant);
        return applies ? variant : NONE;
    }

    private BrokenVariants() { }
}
