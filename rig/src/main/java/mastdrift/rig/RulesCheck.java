package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.rig.History.Event;

/**
 * Checks the four rules for gateways (PROTOCOL and WIRE, section 14) against what clients and hosts recorded: no lost
 * request, no duplicate, drains are honoured, no host is overloaded while cold. Verdicts don't depend on the machine's
 * speed: a response half a second after its deadline is a breach unless a process waited for a core.
 */
final class RulesCheck implements Check {

    private static final long DRAIN_GRACE_MICROS = 1_500_000;
    private static final long DRAIN_SLACK_MICROS = 1_500_000;  // for a busy machine; the bench has 50 ms
    // The rules allow an attempt to start up to 0.1 s after its client has left; the rest is for a freeze of 0.15 s and
    // a busy machine.
    private static final long DEPARTURE_NOTICE_MICROS = 500_000;
    // The rules allow 3 s; the rest is for a busy machine.
    private static final long STALLED_CLIENT_LIMIT_MICROS = 4_000_000;
    private static final long FAULT_AFTERMATH_MICROS = 2_000_000;
    private static final long LIST_DELAY_MICROS = 6_000_000;

    private final List<String> breaches = new ArrayList<>();

    /** An injected fault: when, of which kind, and which processes it affected. */
    private record FaultInterval(long start, long end, Set<String> processes, Set<String> others, String kind) {
        boolean overlaps(long from, long to) {
            return start <= to && end >= from;
        }
    }

    @Override
    public Verdict evaluate(History history) {
        List<FaultInterval> faults = history.events("fault").stream().map(RulesCheck::faultInterval).toList();
        Map<String, Event> requests = new HashMap<>();
        history.events("request").forEach(event -> requests.put(event.text("trace"), event));
        checkLostRequests(requests, faults);
        checkLateAnswers(history, faults);
        checkLostOnReusedConnections(history, requests, faults);
        checkSentAfterDeparture(history, requests, faults);
        checkStalledClients(history, faults);
        checkDuplicates(history, requests, faults);
        checkDrains(history, requests, faults);
        history.events("fell").stream().filter(event -> faults.stream().noneMatch(fault ->
                fault.others.stream().anyMatch(other -> other.startsWith("discovery"))
                        && fault.overlaps(event.start() - LIST_DELAY_MICROS, event.start())))
                .forEach(event -> breaches.add("fall: " + event.by() + " pressed down while cold"));
        return Verdict.of("rules", breaches);
    }

    private static FaultInterval faultInterval(Event event) {
        return new FaultInterval(event.start(), event.end(), names(event, "processes"), names(event, "others"),
                event.text("kind"));
    }

    private static Set<String> names(Event event, String fact) {
        Set<String> names = new HashSet<>();
        if (event.facts().get(fact) instanceof List<?> list) {
            list.forEach(each -> names.add(each.toString()));
        }
        return names;
    }

    /** A gateway answers each request that it has accepted, unless it was killed or cut off from its clients. */
    private void checkLostRequests(Map<String, Event> requests, List<FaultInterval> faults) {
        for (Event request : requests.values()) {
            String outcome = request.text("outcome");
            String gateway = request.text("gateway");
            if (outcome.equals("foreign")) {
                breaches.add("lost_request: " + request.text("trace") + " was served with another's answer by " + gateway);
            } else if (outcome.equals("lost") || outcome.equals("unanswered")) {
                boolean excused = faults.stream().anyMatch(fault -> fault.kind.equals("kill")
                        ? fault.processes.contains(gateway) && fault.overlaps(request.start(), request.end())
                        : fault.processes.contains("clients") && fault.others.contains(gateway)
                                && fault.overlaps(request.start() - FAULT_AFTERMATH_MICROS, request.end()));
                if (!excused) {
                    breaches.add("lost_request: " + request.text("trace") + " " + outcome + " by " + gateway);
                }
            }
        }
    }

    /** A response half a second after its deadline counts as lost, unless the client was cut off from the gateway, or
        the delay is explained by a process that waited for a core or was frozen. */
    private void checkLateAnswers(History history, List<FaultInterval> faults) {
        for (LateAnswers.Answer answer : LateAnswers.find(history)) {
            Event request = answer.request();
            boolean cutOff = faults.stream().anyMatch(fault -> fault.processes.contains(TestBed.CLIENTS)
                    && fault.others.contains(request.text("gateway"))
                    && fault.overlaps(request.start(), request.end()));
            if (answer.isLost() && !cutOff) {
                breaches.add(answer.text());
            }
        }
    }

    /** A client whose reused connection is closed sends its request again, since the gateway may not have read it. If a
        host had started the request by then, the gateway had read it and owed a response. */
    private void checkLostOnReusedConnections(History history,
            Map<String, Event> requests, List<FaultInterval> faults) {
        Set<String> reported = new HashSet<>();
        for (Event attempt : history.events("begin")) {
            Event request = requests.get(attempt.text("trace"));
            String gateway = request == null ? null : request.text("before");
            if (gateway == null || attempt.start() >= request.number("cut_at", 0)
                    || !reported.add(attempt.text("trace"))) {
                continue;
            }
            boolean excused = faults.stream().anyMatch(fault -> fault.overlaps(request.start(), request.end())
                    && (fault.kind.equals("kill") ? fault.processes.contains(gateway)
                            : fault.processes.contains("clients") && fault.others.contains(gateway)));
            if (!excused) {
                breaches.add("lost_request: " + attempt.text("trace") + " was read by " + gateway
                        + ", which ended its connection with no answer");
            }
        }
    }

    /** No attempt is sent long after its client has left. */
    private void checkSentAfterDeparture(History history, Map<String, Event> requests, List<FaultInterval> faults) {
        for (Event attempt : history.events("begin")) {
            Event request = requests.get(attempt.text("trace"));
            if (request == null || !request.text("outcome").equals("left")
                    || attempt.start() - request.end() <= DEPARTURE_NOTICE_MICROS) {
                continue;
            }
            // It may have been sent before and delayed by a faulty link.
            boolean delayed = faults.stream().anyMatch(fault -> fault.others.contains(attempt.by())
                    && fault.overlaps(request.start(), attempt.start()));
            if (!delayed) {
                breaches.add("lost_request: " + attempt.text("trace") + " was sent on "
                        + (attempt.start() - request.end()) / 1000 + " ms after its client had left");
            }
        }
    }

    /** A client that stalls in the middle of a request is disconnected in time, unless its gateway was frozen. */
    private void checkStalledClients(History history, List<FaultInterval> faults) {
        history.events("stuck-client-ended").stream()
                .filter(event -> event.end() - event.start() > STALLED_CLIENT_LIMIT_MICROS)
                .filter(event -> faults.stream().noneMatch(fault -> fault.processes.contains(event.by())
                        && fault.kind.equals("freeze") && fault.overlaps(event.start(), event.end())))
                .forEach(event -> breaches.add("stuck: " + event.by() + " left a client that had stopped in the middle of a "
                        + "request waiting for " + (event.end() - event.start()) / 1000 + " ms"));
    }

    private void checkDuplicates(History history, Map<String, Event> requests, List<FaultInterval> faults) {
        Map<String, List<Event>> attemptsByTrace = new HashMap<>();
        history.events("begin").forEach(event -> attemptsByTrace.computeIfAbsent(event.text("trace"),
                t -> new ArrayList<>()).add(event));
        attemptsByTrace.forEach((trace, attempts) -> {
            Event request = requests.get(trace);
            if (request == null) {
                breaches.add("duplicate: a host began " + trace + ", which no client sent");
                return;
            }
            // A client can't tell a connection that was closed from one whose gateway was killed while it had the
            // request: the copy is then the client's own.
            if (request.text("before") != null && faults.stream().anyMatch(fault -> fault.kind.equals("kill")
                    && fault.processes.contains(request.text("before"))
                    && fault.overlaps(request.start(), request.end()))) {
                return;
            }
            String type = request.text("class");
            if (type.equals("fechamento") && attempts.size() > 1) {
                breaches.add("duplicate: unsafe request " + trace + " begun " + attempts.size() + " times");
            }
            if (type.equals("leitura") && attempts.stream().map(event -> zone(event.by())).distinct().count() > 1) {
                breaches.add("duplicate: keyed request " + trace + " begun in more zones than one");
            }
            if (request.text("outcome").equals("refused") && !type.equals("consulta")) {
                breaches.add("duplicate: " + trace + " refused though a host had begun it");
            }
        });
    }

    private static String zone(String host) {
        return host.split("-")[1];
    }

    private void checkDrains(History history, Map<String, Event> requests, List<FaultInterval> faults) {
        Map<String, Long> drainedAt = new HashMap<>();
        for (Event event : history.events()) {
            if (event.op().equals("listed")) {
                if (event.text("state").equals("terminating")) {
                    drainedAt.put(event.text("host"), event.start());
                } else {
                    drainedAt.remove(event.text("host"));
                }
            }
            Long since = drainedAt.get(event.by());
            if ((event.op().equals("begin") || event.op().equals("shed")) && since != null
                    && event.start() - since > DRAIN_GRACE_MICROS + DRAIN_SLACK_MICROS) {
                Event request = requests.get(event.text("trace"));
                String gateway = request == null ? "" : request.text("gateway");
                // A gateway that was stopped, or cut off from discovery, need not know of the drain.
                boolean excused = faults.stream().anyMatch(fault -> fault.overlaps(since, event.start())
                        && fault.processes.contains(gateway) && (fault.others.isEmpty()
                                || fault.others.stream().anyMatch(other -> other.startsWith("discovery"))));
                if (!excused) {
                    breaches.add("drain: " + gateway + " sent to " + event.by() + " " + (event.start() - since) / 1000
                            + " ms after its drain was told");
                }
            }
        }
    }
}
