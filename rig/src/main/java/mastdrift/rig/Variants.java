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
    static final List<String> ALL = List.of(REPEATS_ANYWHERE, DRAINS_UNHEEDED, REVISION_REUSED, LEASE_BY_OWN_CLOCK, WATCH_SKIPS);

    private Variants() { }
}
