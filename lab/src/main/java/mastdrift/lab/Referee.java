package mastdrift.lab;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Idempotency;

/** Holds what gateways do against the four rules (WIRE, section 14), and names the first breach of each. */
final class Referee {

    /** The rules by their names on the pages. */
    enum Rule { LOST_REQUEST, DUPLICATE, DRAIN, FALL }

    /** The first breach of a rule: on which seed, when, by what request (0 where there is none), and how. */
    record Breach(Rule rule, long seed, long at, long request, String what) {
        @Override
        public String toString() {
            return rule.name().toLowerCase(java.util.Locale.ROOT) + ": seed " + seed + ", " + at / 1000 + " ms, request "
                    + request + ": " + what;
        }
    }

    private final long seed;
    private final Plan.Rules rules;
    private final Map<Rule, Breach> first = new EnumMap<>(Rule.class);

    Referee(long seed, Plan.Rules rules) {
        this.seed = seed;
        this.rules = rules;
    }

    private void breach(Rule rule, long now, long request, String what) {
        first.putIfAbsent(rule, new Breach(rule, seed, now, request, what));
    }

    List<Breach> breaches() {
        return List.copyOf(first.values());
    }

    /** A request is to be sent on. */
    void sends(long now, World.Try of, Machine to, Node by) {
        if (of.over) {
            breach(Rule.LOST_REQUEST, now, of.id, "sent on after its end");
        }
        mayRepeat(now, of, to);
        Node.Told told = by.told(to.build.address());
        long drained = told == null || told.health() == HostState.IN_SERVICE ? Long.MAX_VALUE : told.at();
        if (drained != Long.MAX_VALUE && now - drained > rules.drainGraceMs() * 1000) {
            breach(Rule.DRAIN, now, of.id, "sent to " + to.build.address() + " " + (now - drained) / 1000
                    + " ms after its drain was told");
        }
    }

    private void mayRepeat(long now, World.Try of, Machine to) {
        Plan.ClassPlan type = of.request.type;
        for (World.Attempt earlier : of.attempts) {
            if (earlier.out && !rules.secondCopies()) {
                breach(Rule.DUPLICATE, now, of.id, "two attempts out at once");
            }
            if (earlier.neverRan || type.repeat() == Idempotency.SAFE) {
                continue;
            }
            if (type.repeat() == Idempotency.UNSAFE) {
                breach(Rule.DUPLICATE, now, of.id, "an unsafe request sent again that may have run");
            } else if (now - earlier.sentAt >= type.windowMs() * 1000) {
                breach(Rule.DUPLICATE, now, of.id, "a keyed request sent again past the window");
            } else if (!alike(type.group(), earlier.machine, to)) {
                breach(Rule.DUPLICATE, now, of.id, "a keyed request sent again outside its group");
            }
        }
    }

    private static boolean alike(DedupScope group, Machine one, Machine other) {
        return group == DedupScope.ALL || group == DedupScope.ZONE && one.build.zone().equals(other.build.zone())
                || group == DedupScope.CELL && one.build.cell() == other.build.cell();
    }

    /** A request is refused, which tells its client that another try is harmless. */
    void refuses(long now, World.Try of) {
        Plan.ClassPlan type = of.request.type;
        boolean harmless = type.repeat() == Idempotency.SAFE || type.repeat() == Idempotency.KEYED && type.group() == DedupScope.ALL
                || of.attempts.stream().allMatch(attempt -> attempt.neverRan);
        if (!harmless) {
            breach(Rule.DUPLICATE, now, of.id, "refused though it may have run");
        }
    }

    /** Its time and the slack are over and it has no answer. */
    void unanswered(long now, World.Try of) {
        breach(Rule.LOST_REQUEST, now, of.id, "no answer in time");
    }

    /** A cold host has fallen, a part of that work being of gateways that knew of its start. */
    void fell(long now, Machine machine, double knew) {
        if (knew >= 2 / 3.0) {
            breach(Rule.FALL, now, 0, machine.build.address() + " pressed down while cold");
        }
    }
}
