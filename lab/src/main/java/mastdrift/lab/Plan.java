package mastdrift.lab;

import java.util.List;
import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.WeightMode;
import mastdrift.common.Range;

/**
 * A day as its file has it: ranges, of which each seed draws one day. Spans are in seconds or milliseconds as the names
 * say, parts are from 0 to 1.
 *
 * @param name what the day is called
 * @param seconds how long clients come
 * @param tickMs how often events are handed to the modules
 */
record Plan(String name, int seconds, Range tickMs, Fleet fleet, Hosts hosts, List<Kind> kinds, Traffic traffic,
        List<ClassPlan> classes, Clients clients, Front front, Net net, Lists lists, Rules rules, Goal goal,
        List<Trouble> troubles) {

    /** The same day for a fleet of another size, which its name tells. */
    Plan sized(int gateways, int hostCount) {
        return new Plan(name + "-" + gateways + "x" + hostCount, seconds, tickMs,
                new Fleet(gateways, hostCount, fleet.zones, fleet.regions, fleet.startS, fleet.hostsPerCell), hosts, kinds, traffic, classes,
                clients, front, net, lists, rules, goal, troubles);
    }

    /** How many gateways and hosts, their zones by name, the region of each zone (none named: all are one), and how long a
        gateway takes to start. */
    record Fleet(int gateways, int hosts, List<String> zones, List<String> regions, Range startS, int hostsPerCell) {

        boolean near(String one, String other) {
            return regions.isEmpty() || region(one).equals(region(other));
        }

        String region(String zone) {
            return regions.isEmpty() ? "" : regions.get(zones.indexOf(zone));
        }
    }

    /** What all hosts have in common: connections, choking, warm keys. */
    record Hosts(Range handshakeRtts, Range handshakeMs, Range connectionsPerCore, double idleS, double dialTimeoutMs,
            Range chokeAt, Range chokeOverS, Range chokeSlower, Range chokeBelow, Range chokeRestS, Range keyGain,
            Range keysPerCore, Range probeMs, boolean cancels, WeightMode weights) { }

    /** One kind of machine and its share of all. */
    record Kind(String name, Range share, int cores, Range speed, Range slotsPerCore, Range queuePerCore, Range coldFrom,
            Range coldS, Range errorPart) { }

    /** What comes: the part of all hosts' capacity, its swing in 10 s, keys, and how unlike gateways are. */
    record Traffic(Range load, Range swing, int keys, Range zipf, Range uneven) { }

    /** A class of requests; work is on one core of speed 1. */
    record ClassPlan(String name, Range share, Range workMs, Range variation, double aimMs, double deadlineMs, double worth,
            double lateWorth, Idempotency repeat, DedupScope group, double windowMs) { }

    /** What clients do after an answer that is none. */
    record Clients(Range retries, Range tryShare, Range backoffMs, Range honour, Range impatient, double maxRetryAfterMs,
            boolean marksRetry) { }

    /** How late the front learns of a gateway that has gone. */
    record Front(Range noticeS) { }

    /** One way, in milliseconds, within a zone, between zones of a region and between regions, and the part by which it
        varies. */
    record Net(Range sameMs, Range crossMs, Range farMs, Range clientMs, Range jitter) { }

    /** How late the list tells, how often it is told, and how many calls a second discovery answers. */
    record Lists(Range noticeS, Range silentNoticeS, Range addS, Range periodMs, Range callsPerS) { }

    /** The figures of the rules. */
    record Rules(double slackMs, double drainGraceMs, double fallMultiple, double fallMs, int maxAttempts,
            boolean secondCopies, boolean probes) { }

    /** Weights of the whole day, the worst 10 s and the worst class, and prices a unit. */
    record Goal(double whole, double worstWindow, double worstClass, double crossZone, double waste, double probe,
            double handshake) { }

    /** What goes wrong. */
    enum What { HANG, NEIGHBOUR, GROW, RELEASE, JOIN, ZONE, SPLIT, ZONE_SLOW, ZONE_FULL, ZONE_FLAP, REGION, SELF_CUT, ROLL,
        HERD, HANDOVER, LATE_LISTS, NO_LISTS, LOSS, RESETS }

    /** When it begins, how long it lasts, the part of hosts or gateways it takes, and how hard. */
    record Trouble(What what, Range atS, Range forS, Range part, Range size) { }
}
