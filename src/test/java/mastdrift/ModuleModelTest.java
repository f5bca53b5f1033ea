package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tries every sequence of events up to a depth on the balancer, with three hosts and up to two requests, and checks
    each step against the guarantees: one final answer, no repeat that may do harm, no send to a draining host. For a
    greater depth: {@code -DargLine=-Dmodel.depth=6}. */
class ModuleModelTest {

    private static final int DEPTH = Integer.getInteger("model.depth", 4);
    private static final int REQUESTS_MOST = 2;
    private static final long GRACE = 250_000;
    private static final long LEFT = 1_000_000;
    private static final long WINDOW = 700_000;

    /** Events that may happen next. Outcomes are those of the oldest attempt in flight. The first three are a request
        of that idempotency, in the order of {@link Idempotency}. */
    private enum Event { SAFE, KEYED, UNSAFE, SERVED, ERROR, SHED, DIAL_FAILED, DROPPED, EXPIRED, DEPARTS, LEAVES, GOES, RETURNS,
        A_MOMENT, A_REFRESH }

    /** False reports to the balancer that the checks have to detect. The real gateway makes none of them. */
    private enum Lie { NONE, ERRORS_NEVER_RAN, DRAINS_UNTOLD, EXPIRIES_UNTOLD, SERVED_TWICE }

    /** What the test knows about one request. */
    private static final class Told {
        private final Idempotency repeat;
        private final List<Gateway.Sent> sends = new ArrayList<>();
        private final Map<Gateway.Sent, Outcome> ended = new LinkedHashMap<>();
        private int answers;
        private boolean departed;
        private final long ends;

        Told(Idempotency repeat, long ends) {
            this.repeat = repeat;
            this.ends = ends;
        }
    }

    /** One sequence of events from the start. */
    private static final class Case {

        private final Gateway gateway = new Gateway();
        private final Lie lie;
        private final Map<Long, Told> requests = new LinkedHashMap<>();
        private final List<Gateway.Sent> out = new ArrayList<>();
        private final Map<String, Long> drained = new LinkedHashMap<>();
        private int seen;
        private int refused;
        private int failed;
        private String fault;

        Case(Lie lie) {
            this.lie = lie;
            gateway.classes = List.of(type("safe", Idempotency.SAFE), type("keyed", Idempotency.KEYED), type("unsafe", Idempotency.UNSAFE));
            gateway.start(3);
        }

        private static RequestClass type(String name, Idempotency repeat) {
            return new RequestClass(name, 300_000, 0, LEFT, 1, 0.2, repeat, DedupScope.ZONE, WINDOW, false);
        }

        private void fault(String what) {
            fault = fault == null ? what : fault;
        }

        /** Applies an event; false if it can't happen now. */
        boolean happens(Event event) {
            switch (event) {
                case SAFE, KEYED, UNSAFE -> {
                    if (requests.size() == REQUESTS_MOST) {
                        return false;
                    }
                    // Recorded before the balancer is called, which acts within the call. The harness counts ids from 1.
                    requests.put(requests.size() + 1L, new Told(Idempotency.values()[event.ordinal()], gateway.now + LEFT));
                    gateway.request(event.name().toLowerCase(java.util.Locale.ROOT), null, 7L, LEFT);
                }
                case DEPARTS -> {
                    Long open = requests.entrySet().stream().filter(r -> r.getValue().answers == 0 && !r.getValue().departed)
                            .map(Map.Entry::getKey).findFirst().orElse(null);
                    if (open == null) {
                        return false;
                    }
                    requests.get(open).departed = true;
                    gateway.module.clientLeft(gateway.now, open);
                }
                case LEAVES -> list(HostState.TERMINATING);
                case GOES -> list(HostState.TERMINATED);
                case RETURNS -> {
                    if (drained.isEmpty()) {
                        return false;
                    }
                    list(HostState.IN_SERVICE);
                }
                case A_MOMENT -> gateway.advance(GRACE + 1000);
                case A_REFRESH -> gateway.advance(600_000);
                default -> {
                    if (out.isEmpty()) {
                        return false;
                    }
                    end(out.get(0), event == Event.SERVED ? Outcome.DELIVERED : Outcome.valueOf(event.name()));
                }
            }
            expire();
            look();
            return true;
        }

        private void list(HostState health) {
            Host host = Gateway.host(0, health, 0);
            if (health == HostState.IN_SERVICE) {
                drained.clear();
            } else {
                drained.putIfAbsent(host.address(), gateway.now);
            }
            if (lie != Lie.DRAINS_UNTOLD || health == HostState.IN_SERVICE) {
                gateway.list(ListUpdateType.DELTA, host);
            }
        }

        private void end(Gateway.Sent send, Outcome outcome) {
            out.remove(send);
            Told told = requests.get(send.id());
            told.ended.put(send, outcome);
            boolean serves = outcome == Outcome.DELIVERED && told.answers == 0 && !told.departed;
            told.answers += serves ? 1 : 0;
            if (lie == Lie.EXPIRIES_UNTOLD && outcome == Outcome.EXPIRED) {
                return;
            }
            Outcome heard = lie == Lie.ERRORS_NEVER_RAN && outcome == Outcome.ERROR ? Outcome.SHED : outcome;
            boolean over = (told.answers > 0 || told.departed) && lie != Lie.SERVED_TWICE;
            gateway.module.attemptEnded(gateway.now, send.id(), send.attempt(), send.address(),
                    lie == Lie.SERVED_TWICE && outcome == Outcome.DELIVERED ? Outcome.SHED : heard, gateway.now - send.at(), over,
                    Gateway.NO_REPORT);
        }

        /** Ends attempts whose request is out of time, as the gateway does. */
        private void expire() {
            for (Gateway.Sent send : List.copyOf(out)) {
                if (gateway.now >= requests.get(send.id()).ends) {
                    end(send, Outcome.EXPIRED);
                }
            }
        }

        /** Checks the actions of the balancer since the last check. */
        private void look() {
            while (seen < gateway.sent.size()) {
                Gateway.Sent send = gateway.sent.get(seen++);
                sends(send, requests.get(send.id()));
                out.add(send);
                requests.get(send.id()).sends.add(send);
            }
            for (; refused < gateway.refused.size(); refused++) {
                Told told = requests.get(Long.parseLong(gateway.refused.get(refused)));
                if (told.repeat != Idempotency.SAFE && told.sends.stream().anyMatch(send -> mayHaveRun(told, send))) {
                    fault("refused though it may have run");
                }
                answer(told);
            }
            for (; failed < gateway.failed.size(); failed++) {
                answer(requests.get(Long.parseLong(gateway.failed.get(failed))));
            }
            for (String cancelled : gateway.cancelled) {
                out.removeIf(send -> cancelled.equals(send.id() + "/" + send.attempt()));
            }
        }

        private void answer(Told told) {
            told.answers++;
            if (told.answers > 1) {
                fault("answered twice");
            }
        }

        private static boolean mayHaveRun(Told told, Gateway.Sent send) {
            Outcome outcome = told.ended.get(send);
            return outcome == null || !outcome.neverRan();
        }

        private void sends(Gateway.Sent send, Told told) {
            if (told.answers > 0 || told.departed) {
                fault("sent after its end");
            }
            Long since = drained.get(send.address());
            if (since != null && gateway.now - since > GRACE) {
                fault("sent to a draining host");
            }
            for (Gateway.Sent earlier : told.sends) {
                if (told.repeat == Idempotency.SAFE || !mayHaveRun(told, earlier)) {
                    continue;
                }
                if (told.repeat == Idempotency.UNSAFE) {
                    fault("an unsafe request sent again");
                } else if (send.at() - earlier.at() >= WINDOW || !zone(earlier).equals(zone(send))) {
                    fault("a keyed request sent again outside its zone or window");
                }
            }
        }

        private static String zone(Gateway.Sent send) {
            return "z" + Integer.parseInt(send.address().substring(1)) % 2;
        }

        /** Lets all time run out after the last event, when every request must have one answer. Returns the first
            violation, or null. */
        String close() {
            gateway.advance(LEFT + 1);
            expire();
            look();
            for (Told told : requests.values()) {
                if (told.answers == 0 && !told.departed) {
                    fault("never answered");
                }
            }
            return fault;
        }
    }

    private static String text(Event[] path, int length) {
        return String.join(" ", Arrays.stream(path, 0, length).map(Event::name).toList());
    }

    /** Tries all sequences that begin with this path; returns their number. Stores the first path to each violation. */
    private static int explore(Event[] path, int length, Lie lie, Map<String, String> faults) {
        Case now = new Case(lie);
        for (int i = 0; i < length; i++) {
            if (!now.happens(path[i])) {
                return 0;
            }
        }
        String fault = now.close();
        if (fault != null) {
            faults.putIfAbsent(fault, text(path, length));
        }
        int count = 1;
        for (int next = 0; length < path.length && next < Event.values().length; next++) {
            path[length] = Event.values()[next];
            count += explore(path, length + 1, lie, faults);
        }
        return count;
    }

    /** Tries all sequences in parallel by their first event; each has a balancer of its own. */
    private static int exploreAll(int depth, Lie lie, Map<String, String> faults) {
        List<Map<String, String>> each = Arrays.stream(Event.values())
                .<Map<String, String>>map(first -> new LinkedHashMap<>()).toList();
        int count = Arrays.stream(Event.values()).parallel().mapToInt(first -> {
            Event[] path = new Event[depth];
            path[0] = first;
            return explore(path, 1, lie, each.get(first.ordinal()));
        }).sum();
        each.forEach(some -> some.forEach(faults::putIfAbsent));
        return count;
    }

    /** Guards against a sequence of events that breaks a guarantee. */
    @Test
    void noOrderOfEventsBreaksARule() {
        Map<String, String> faults = new LinkedHashMap<>();
        int count = exploreAll(DEPTH, Lie.NONE, faults);
        assertEquals(Map.of(), faults);
        assertTrue(count > 10_000, "sequences tried: " + count);
    }

    /** Guards against checks that detect nothing: false reports make the balancer break a guarantee, and that is
        found. */
    @ParameterizedTest
    @EnumSource(value = Lie.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aModuleThatIsLiedToIsCaught(Lie lie) {
        Map<String, String> faults = new LinkedHashMap<>();
        exploreAll(4, lie, faults);
        String expected = switch (lie) {
            case ERRORS_NEVER_RAN -> "an unsafe request sent again";
            case DRAINS_UNTOLD -> "sent to a draining host";
            case EXPIRIES_UNTOLD -> "never answered";
            default -> "sent after its end";
        };
        assertTrue(faults.containsKey(expected), lie + ": " + faults);
    }
}
