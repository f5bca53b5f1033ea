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
 * @param relay false if processes reach each other directly, without links; then no link fault is possible
 * @param check the names of the checkers
 */
record RigPlan(String name, int seconds, int settleSeconds, boolean relay, Gateways gateways, Hosts hosts, Load load,
        Registry registry, Work work, Duties duties, Members members, List<Trouble> faults, List<String> check) {

    /** How many gateways, spread evenly over the hosts' zones; whether they get their lists from agents of our list
        service. */
    record Gateways(int count, boolean agents) { }

    /** How many hosts, in which zones, with how many cores; a request's work on one core; and the lease of their
        entries in our list service, 0 for entries without a lease. */
    record Hosts(int count, List<String> zones, int cores, Range workMs, long leaseMs) { }

    /**
     * The clients.
     *
     * @param rate requests per second to all gateways together
     * @param keys how many different objects requests ask for
     * @param fresh the share of requests on a new connection that is closed after them
     * @param leave the share of clients that may close their connection before the response
     * @param deadlineMs the clients' deadline, and that of all classes in the gateways' settings
     * @param idle how many further connections are idle
     * @param stuck how many further clients stall in the middle of a request
     * @param crowd the probability that a seed has idle connections that use up all client descriptors of all gateways
     * @param direct whether clients reach gateways directly, without a link
     */
    record Load(Range rate, int keys, double fresh, double leave, Range deadlineMs, Range idle, Range stuck,
            double crowd, boolean direct) {

        /** The deadline that the seed draws. */
        int deadlineMs(long seed) {
            return (int) Math.round(new Dice(seed, "deadline").in(deadlineMs));
        }
    }

    /** The number of replicas of our list service, 0 for none. */
    record Registry(int replicas) { }

    /** The workload of the list service: writers, entries that they write and read, watchers; calls per second of each
        writer; the lease of an entry, 0 for none. */
    record Work(int writers, int entries, int watchers, Range rate, long leaseMs) { }

    /** Agents that take part in the membership, spread evenly over zones. */
    record Members(int count, List<String> zones) { }

    /** How many candidates there are for the duty of conductor, its term, and when a rolling restart is ordered. */
    record Duties(int candidates, long termMs, Range startS) { }

    /** A fault specification, from which a seed draws faults with probability {@code chance}; see {@link Fault} for the
        fields. Processes are named by patterns; of those that match, {@code pick} are drawn, or all if it is 0. */
    record Trouble(Fault.Kind kind, String process, String from, String to, int pick, Range atS, Range forS, Link.Way way,
            Range size, double spread, Fault.Back back, String when, double heal, int times,
            SystemCall systemCall, double chance) { }
}
