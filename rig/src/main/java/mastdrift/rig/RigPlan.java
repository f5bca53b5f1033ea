package mastdrift.rig;

import java.util.List;
import mastdrift.common.Range;
import mastdrift.lab.Dice;

/**
 * A plan as its file has it: what runs, what comes, and ranges of faults of which each seed draws its own.
 *
 * @param seconds how long clients come
 * @param settleSeconds how long after the last fault's end the rig waits before it looks at what all agree on
 * @param relay false where processes reach each other with no link between; then no fault of a link is possible
 * @param check the checkers, by name
 */
record RigPlan(String name, int seconds, int settleSeconds, boolean relay, Gateways gateways, Hosts hosts, Load load,
        Registry registry, Work work, Duties duties, Members members, List<Trouble> faults, List<String> check) {

    /** How many gateways, dealt out over the hosts' zones in turn; whether agents of our list service feed them. */
    record Gateways(int count, boolean agents) { }

    /** How many hosts, in which zones, of how many cores, the work of a request on one core, and how long their entries
        of our list service live without renewal, 0 for as long as nobody removes them. */
    record Hosts(int count, List<String> zones, int cores, Range workMs, long leaseMs) { }

    /**
     * The clients.
     *
     * @param rate requests a second to all gateways together
     * @param keys how many objects requests are about
     * @param fresh the share of requests on a new connection, which they end
     * @param leave the share of clients that close their connection before their answer
     * @param deadlineMs how long clients wait, and the deadline of all classes in the gateways' settings
     * @param idle how many further connections rest without a request
     * @param stuck how many further clients stop in the middle of a request
     * @param crowd the share of seeds in which idle connections take all descriptors of all gateways
     * @param direct whether clients reach gateways without a link between
     */
    record Load(Range rate, int keys, double fresh, double leave, Range deadlineMs, Range idle, Range stuck,
            double crowd, boolean direct) {

        /** The deadline of that seed's play. */
        int deadlineMs(long seed) {
            return (int) Math.round(new Dice(seed, "deadline").in(deadlineMs));
        }
    }

    /** Replicas of our list service, 0 for none. */
    record Registry(int replicas) { }

    /** Callers of the list service: how many write and read, on how many entries, and how many watch; calls a second of
        each; how long an entry lives without renewal, 0 for as long as nobody removes it. */
    record Work(int writers, int entries, int watchers, Range rate, long leaseMs) { }

    /** Agents that take part in the membership, dealt out over zones in turn. */
    record Members(int count, List<String> zones) { }

    /** So many candidates for the conductor's duty, its term, and when a roll over all gateways is ordered. */
    record Duties(int candidates, long termMs, Range startS) { }

    /** A fault that seeds draw from, each with the chance; processes are named by patterns with a star. */
    record Trouble(Fault.Kind kind, String process, String from, String to, int pick, Range atS, Range forS, Link.Way way,
            Range size, double spread, Fault.Back back, String when, double heal, int times,
            SystemCall systemCall, double chance) { }
}
