package mastdrift.rig;

import java.util.List;

/** Variants of the program that are broken on purpose: a plan played with one has to end as broken. */
final class Variants {

    static final String NONE = "none";
    /** A gateway that takes every class for safe to repeat. */
    static final String REPEATS_ALL = "repeats-all";
    /** A gateway that takes a drain's grace for a minute. */
    static final String DRAINS_LATE = "drains-late";
    /** A list service that gives some revisions twice. */
    static final String REVISION_REUSED = "revision-reused";
    /** Replicas that let leases lapse by their own clocks. */
    static final String LEASE_BY_OWN_CLOCK = "lease-by-own-clock";
    /** A watch that leaves changes out where it resumes. */
    static final String WATCH_SKIPS = "watch-skips-on-resume";
    static final List<String> ALL = List.of(REPEATS_ALL, DRAINS_LATE, REVISION_REUSED, LEASE_BY_OWN_CLOCK, WATCH_SKIPS);

    private Variants() { }
}
