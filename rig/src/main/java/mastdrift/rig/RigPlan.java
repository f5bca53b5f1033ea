package mastdrift.rig;

import java.util.List;
import mastdrift.common.Range;
import mastdrift.lab.Dice;

/**
 * A test plan as read from its file: the processes, the load, and fault specifications with ranges from which each seed
 * draws.
 *
 * @param seconds how long clients send requests
 * @param settleSeconds how long the rig waits after all faults have ended before it checks what all agree on
 * @param usesLinks false if processes reach each other directly, without links; then no link fault is possible
 * @param checks the names of the checkers
 */
record RigPlan(String name, int seconds, int settleSeconds, boolean usesLinks, Gateways gateways, Hosts hosts,
        Load load, Registry registry, RegistryWorkload registryWorkload, Duties duties, Members members,
        List<FaultSpec> faults, List<String> checks) {

    /** How many gateways, spread evenly over the hosts' zones; whether they get their lists from agents of our list
        service. */
    record Gateways(int count, boolean usesAgents) { }

    /** How many hosts, in which zones, with how many cores; a request's work on one core; and the lease of their
        entries in our list service, 0 for entries without a lease. */
    record Hosts(int count, List<String> zones, int cores, Range workMillis, long leaseMillis) { }

    /**
     * The load that clients generate.
     *
     * @param rate requests per second to all gateways together
     * @param objectCount how many different objects requests ask for
     * @param newConnectionShare the share of requests on a new connection that is closed after them
     * @param abandonShare the share of clients that may close their connection before the response
     * @param deadlineMillis the clients' deadline, and that of all classes in the gateways' settings
     * @param idleConnections how many further connections are idle
     * @param stalledClients how many further clients stall in the middle of a request
     * @param exhaustionChance the probability that a seed has idle connections that use up all gateways' descriptors
     * @param bypassesLinks whether clients reach gateways directly, without a link
     */
    record Load(Range rate, int objectCount, double newConnectionShare, double abandonShare, Range deadlineMillis,
            Range idleConnections, Range stalledClients, double exhaustionChance, boolean bypassesLinks) {

        /** The deadline that the seed draws. */
        int deadlineMillis(long seed) {
            return (int) Math.round(new Dice(seed, "deadline").in(deadlineMillis));
        }
    }

    /** The number of replicas of our list service, 0 for none. */
    record Registry(int replicas) { }

    /** The workload of the list service: writers, entries that they write and read, watchers; calls per second of each
        writer; the lease of an entry, 0 for none. */
    record RegistryWorkload(int writers, int entries, int watchers, Range rate, long leaseMillis) { }

    /** Agents that take part in the membership, spread evenly over zones. */
    record Members(int count, List<String> zones) { }

    /** How many candidates there are for the duty of conductor, its term, and when a rolling restart is ordered. */
    record Duties(int candidates, long termMillis, Range startSeconds) { }

    /** A fault specification, from which a seed draws faults with probability {@code chance}; see {@link Fault} for the
        fields. Processes are named by patterns; of those that match, {@code sampleSize} are drawn, or all if 0. */
    record FaultSpec(Fault.Kind kind, String process, String from, String to, int sampleSize, Range startSeconds,
            Range durationSeconds, Link.Way direction,
            Range magnitude, double jitter, Fault.Back restartState, String triggerPattern, double healShare,
            int repetitions, SystemCall systemCall, double chance) { }
}
