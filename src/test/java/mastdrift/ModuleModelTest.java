package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tries every sequence of events up to a depth on the balancer, with three hosts and up to two requests, and checks
    each step against the guarantees: one final answer, no repeat that may do harm, no send to a draining host. For a
    greater depth: {@code -DargLine=-Dmodel.depth=6}. */
class ModuleModelTest {

    private static final int DEPTH = Integer.getInteger("model.depth", 4);
    private static final int MAX_REQUESTS = 2;
    private static final long DRAIN_GRACE_MICROS = 250_000;
    private static final long REQUEST_TIME_MICROS = 1_000_000;
    private static final long DEDUP_WINDOW_MICROS = 700_000;

    /** Events that may happen next. Outcomes are those of the oldest attempt in flight. The first three are a request
        of that idempotency, in the order of {@link Idempotency}. */
    private enum Event { SAFE, KEYED, UNSAFE, SERVED, ERROR, SHED, DIAL_FAILED, DROPPED, EXPIRED, CLIENT_LEAVES,
        HOST_DRAINS, HOST_REMOVED, HOST_RETURNS, SHORT_WAIT, REFRESH_WAIT }

    /** False reports to the balancer that the checks have to detect. The real gateway makes none of them. */
    private enum Misreport { NONE, ERROR_AS_SHED, DRAIN_OMITTED, EXPIRY_OMITTED, DELIVERY_AS_SHED }

    /** What the test knows about one request. */
    private static final class RequestRecord {
        private final Idempotency idempotency;
        private final List<TestGateway.Sent> sends = new ArrayList<>();
        private final Map<TestGateway.Sent, Outcome> outcomes = new LinkedHashMap<>();
        private int answers;
        private boolean clientLeft;
        private final long expiresAt;

        RequestRecord(Idempotency idempotency, long expiresAt) {
            this.idempotency = idempotency;
            this.expiresAt = expiresAt;
        }
    }

    /** One sequence of events from the start. */
    private static final class EventSequence {

        private final TestGateway gateway = new TestGateway();
        private final Misreport misreport;
        private final Map<Long, RequestRecord> requests = new LinkedHashMap<>();
        private final List<TestGateway.Sent> inFlight = new ArrayList<>();
        private final Map<String, Long> drainedSince = new LinkedHashMap<>();
        private int checkedSends;
        private int checkedRefusals;
        private int checkedFailures;
        private String violation;

        EventSequence(Misreport misreport) {
            this.misreport = misreport;
            gateway.classes = List.of(requestClass("safe", Idempotency.SAFE), requestClass("keyed", Idempotency.KEYED),
                    requestClass("unsafe", Idempotency.UNSAFE));
            gateway.start(3);
        }

        private static RequestClass requestClass(String name, Idempotency idempotency) {
            return new RequestClass(name, 300_000, 0, REQUEST_TIME_MICROS, 1, 0.2, idempotency, DedupScope.ZONE,
                    DEDUP_WINDOW_MICROS, false);
        }

        private void recordViolation(String what) {
            violation = violation == null ? what : violation;
        }

        /** Applies an event; false if it can't happen now. */
        boolean apply(Event event) {
            switch (event) {
                case SAFE, KEYED, UNSAFE -> {
                    if (requests.size() == MAX_REQUESTS) {
                        return false;
                    }
                    // Recorded before the balancer is called, which acts within the call. The harness counts ids
                    // from 1.
                    requests.put(requests.size() + 1L, new RequestRecord(Idempotency.values()[event.ordinal()],
                            gateway.now + REQUEST_TIME_MICROS));
                    gateway.request(event.name().toLowerCase(java.util.Locale.ROOT), null, 7L, REQUEST_TIME_MICROS);
                }
                case CLIENT_LEAVES -> {
                    Long open = requests.entrySet().stream()
                            .filter(r -> r.getValue().answers == 0 && !r.getValue().clientLeft)
                            .map(Map.Entry::getKey).findFirst().orElse(null);
                    if (open == null) {
                        return false;
                    }
                    requests.get(open).clientLeft = true;
                    gateway.balancer.clientLeft(gateway.now, open);
                }
                case HOST_DRAINS -> updateList(HostState.TERMINATING);
                case HOST_REMOVED -> updateList(HostState.TERMINATED);
                case HOST_RETURNS -> {
                    if (drainedSince.isEmpty()) {
                        return false;
                    }
                    updateList(HostState.IN_SERVICE);
                }
                case SHORT_WAIT -> gateway.advance(DRAIN_GRACE_MICROS + 1000);
                case REFRESH_WAIT -> gateway.advance(600_000);
                default -> {
                    if (inFlight.isEmpty()) {
                        return false;
                    }
                    endAttempt(inFlight.get(0),
                            event == Event.SERVED ? Outcome.DELIVERED : Outcome.valueOf(event.name()));
                }
            }
            expireAttempts();
            checkNewActions();
            return true;
        }

        private void updateList(HostState state) {
            Host host = TestGateway.host(0, state, 0);
            if (state == HostState.IN_SERVICE) {
                drainedSince.clear();
            } else {
                drainedSince.putIfAbsent(host.address(), gateway.now);
            }
            if (misreport != Misreport.DRAIN_OMITTED || state == HostState.IN_SERVICE) {
                gateway.updateList(ListUpdateType.DELTA, host);
            }
        }

        private void endAttempt(TestGateway.Sent send, Outcome outcome) {
            inFlight.remove(send);
            RequestRecord request = requests.get(send.id());
            request.outcomes.put(send, outcome);
            boolean answers = outcome == Outcome.DELIVERED && request.answers == 0 && !request.clientLeft;
            request.answers += answers ? 1 : 0;
            if (misreport == Misreport.EXPIRY_OMITTED && outcome == Outcome.EXPIRED) {
                return;
            }
            Outcome reported = misreport == Misreport.ERROR_AS_SHED && outcome == Outcome.ERROR ? Outcome.SHED
                    : outcome;
            boolean requestEnded = (request.answers > 0 || request.clientLeft)
                    && misreport != Misreport.DELIVERY_AS_SHED;
            gateway.balancer.attemptEnded(gateway.now, send.id(), send.attempt(), send.address(),
                    misreport == Misreport.DELIVERY_AS_SHED && outcome == Outcome.DELIVERED ? Outcome.SHED : reported,
                    gateway.now - send.at(), requestEnded, TestGateway.NO_REPORT);
        }

        /** Ends attempts whose request is out of time, as the gateway does. */
        private void expireAttempts() {
            for (TestGateway.Sent send : List.copyOf(inFlight)) {
                if (gateway.now >= requests.get(send.id()).expiresAt) {
                    endAttempt(send, Outcome.EXPIRED);
                }
            }
        }

        /** Checks the actions of the balancer since the last check. */
        private void checkNewActions() {
            while (checkedSends < gateway.sent.size()) {
                TestGateway.Sent send = gateway.sent.get(checkedSends++);
                checkSend(send, requests.get(send.id()));
                inFlight.add(send);
                requests.get(send.id()).sends.add(send);
            }
            for (; checkedRefusals < gateway.refused.size(); checkedRefusals++) {
                RequestRecord request = requests.get(Long.parseLong(gateway.refused.get(checkedRefusals)));
                if (request.idempotency != Idempotency.SAFE
                        && request.sends.stream().anyMatch(send -> mayHaveRun(request, send))) {
                    recordViolation("refused though it may have run");
                }
                countAnswer(request);
            }
            for (; checkedFailures < gateway.failed.size(); checkedFailures++) {
                countAnswer(requests.get(Long.parseLong(gateway.failed.get(checkedFailures))));
            }
            for (String cancelled : gateway.cancelled) {
                inFlight.removeIf(send -> cancelled.equals(send.id() + "/" + send.attempt()));
            }
        }

        private void countAnswer(RequestRecord request) {
            request.answers++;
            if (request.answers > 1) {
                recordViolation("answered twice");
            }
        }

        private static boolean mayHaveRun(RequestRecord request, TestGateway.Sent send) {
            Outcome outcome = request.outcomes.get(send);
            return outcome == null || !outcome.neverRan();
        }

        private void checkSend(TestGateway.Sent send, RequestRecord request) {
            if (request.answers > 0 || request.clientLeft) {
                recordViolation("sent after its end");
            }
            Long since = drainedSince.get(send.address());
            if (since != null && gateway.now - since > DRAIN_GRACE_MICROS) {
                recordViolation("sent to a draining host");
            }
            for (TestGateway.Sent earlier : request.sends) {
                if (request.idempotency == Idempotency.SAFE || !mayHaveRun(request, earlier)) {
                    continue;
                }
                if (request.idempotency == Idempotency.UNSAFE) {
                    recordViolation("an unsafe request sent again");
                } else if (send.at() - earlier.at() >= DEDUP_WINDOW_MICROS || !zone(earlier).equals(zone(send))) {
                    recordViolation("a keyed request sent again outside its zone or window");
                }
            }
        }

        private static String zone(TestGateway.Sent send) {
            return "z" + Integer.parseInt(send.address().substring(1)) % 2;
        }

        /** Lets all time run out after the last event, when every request must have one answer. Returns the first
            violation, or null. */
        String finish() {
            gateway.advance(REQUEST_TIME_MICROS + 1);
            expireAttempts();
            checkNewActions();
            for (RequestRecord request : requests.values()) {
                if (request.answers == 0 && !request.clientLeft) {
                    recordViolation("never answered");
                }
            }
            return violation;
        }
    }

    private static String describe(Event[] path, int length) {
        return String.join(" ", Arrays.stream(path, 0, length).map(Event::name).toList());
    }

    /** Tries all sequences that begin with this path; returns their number. Stores the first path to each violation. */
    private static int explore(Event[] path, int length, Misreport misreport, Map<String, String> violations) {
        EventSequence sequence = new EventSequence(misreport);
        for (int i = 0; i < length; i++) {
            if (!sequence.apply(path[i])) {
                return 0;
            }
        }
        String violation = sequence.finish();
        if (violation != null) {
            violations.putIfAbsent(violation, describe(path, length));
        }
        int count = 1;
        for (int next = 0; length < path.length && next < Event.values().length; next++) {
            path[length] = Event.values()[next];
            count += explore(path, length + 1, misreport, violations);
        }
        return count;
    }

    /** Tries all sequences in parallel by their first event; each has a balancer of its own. */
    private static int exploreAll(int depth, Misreport misreport, Map<String, String> violations) {
        List<Map<String, String>> violationsByFirstEvent = Arrays.stream(Event.values())
                .<Map<String, String>>map(first -> new LinkedHashMap<>()).toList();
        int count = Arrays.stream(Event.values()).parallel().mapToInt(first -> {
            Event[] path = new Event[depth];
            path[0] = first;
            return explore(path, 1, misreport, violationsByFirstEvent.get(first.ordinal()));
        }).sum();
        violationsByFirstEvent.forEach(some -> some.forEach(violations::putIfAbsent));
        return count;
    }

    /** Guards against a sequence of events that breaks a guarantee. */
    @Test
    void noOrderOfEventsBreaksARule() {
        Map<String, String> violations = new LinkedHashMap<>();
        int count = exploreAll(DEPTH, Misreport.NONE, violations);
        assertEquals(Map.of(), violations);
        assertTrue(count > 10_000, "sequences tried: " + count);
    }

    /** Guards against checks that detect nothing: false reports make the balancer break a guarantee, and that is
        found. */
    @ParameterizedTest
    @EnumSource(value = Misreport.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void everyMisreportIsDetected(Misreport misreport) {
        Map<String, String> violations = new LinkedHashMap<>();
        exploreAll(4, misreport, violations);
        String expected = switch (misreport) {
            case ERROR_AS_SHED -> "an unsafe request sent again";
            case DRAIN_OMITTED -> "sent to a draining host";
            case EXPIRY_OMITTED -> "never answered";
            default -> "sent after its end";
        };
        assertTrue(violations.containsKey(expected), misreport + ": " + violations);
    }
}
