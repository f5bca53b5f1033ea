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

    private static final long DRAIN_GRACE = 1_500_000;
    private static final long DRAIN_SLACK = 1_500_000;  // for a busy machine; the bench has 50 ms
    // The rules allow an attempt to start up to 0.1 s after its client has left; the rest is for a freeze of 0.15 s and
    // a busy machine.
    private static final long DEPARTURE_HEARD = 500_000;
    // The rules allow 3 s; the rest is for a busy machine.
    private static final long STUCK_ENDED_WITHIN = 4_000_000;
    private static final long AFTER_FAULT = 2_000_000;
    private static final long TOLD_AT_THE_LATEST = 6_000_000;

    private final List<String> breaches = new ArrayList<>();

    /** An injected fault: when, of which kind, and which processes it affected. */
    private record Trouble(long start, long end, Set<String> processes, Set<String> others, String kind) {
        boolean overlaps(long from, long to) {
            return start <= to && end >= from;
        }
    }

    @Override
    public Verdict look(History history) {
        List<Trouble> troubles = history.events("fault").stream().map(RulesCheck::trouble).toList();
        Map<String, Event> requests = new HashMap<>();
        history.events("request").forEach(event -> requests.put(event.text("trace"), event));
        lost(requests, troubles);
        late(history, troubles);
        lostOnReuse(history, requests, troubles);
        forNobody(history, requests, troubles);
        stuckClients(history, troubles);
        duplicates(history, requests, troubles);
        drains(history, requests, troubles);
        history.events("fell").stream().filter(event -> troubles.stream().noneMatch(trouble ->
                trouble.others.stream().anyMatch(other -> other.startsWith("discovery"))
                        && trouble.overlaps(event.start() - TOLD_AT_THE_LATEST, event.start())))
                .forEach(event -> breaches.add("fall: " + event.by() + " pressed down while cold"));
        return Verdict.of("rules", breaches);
    }

    private static Trouble trouble(Event event) {
        return new Trouble(event.start(), event.end(), names(event, "processes"), names(event, "others"),
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
    private void lost(Map<String, Event> requests, List<Trouble> troubles) {
        for (Event request : requests.values()) {
            String outcome = request.text("outcome");
            String gateway = request.text("gateway");
            if (outcome.equals("foreign")) {
                breaches.add("lost_request: " + request.text("trace") + " was served with another's answer by " + gateway);
            } else if (outcome.equals("lost") || outcome.equals("unanswered")) {
                boolean excused = troubles.stream().anyMatch(trouble -> trouble.kind.equals("kill")
                        ? trouble.processes.contains(gateway) && trouble.overlaps(request.start(), request.end())
                        : trouble.processes.contains("clients") && trouble.others.contains(gateway)
                                && trouble.overlaps(request.start() - AFTER_FAULT, request.end()));
                if (!excused) {
                    breaches.add("lost_request: " + request.text("trace") + " " + outcome + " by " + gateway);
                }
            }
        }
    }

    /** A response half a second after its deadline counts as lost, unless the client was cut off from the gateway, or
        the delay is explained by a process that waited for a core or was frozen. */
    private void late(History history, List<Trouble> troubles) {
        for (LateAnswers.Answer answer : LateAnswers.of(history)) {
            Event request = answer.request();
            boolean cutOff = troubles.stream().anyMatch(trouble -> trouble.processes.contains(Stage.CLIENTS)
                    && trouble.others.contains(request.text("gateway")) && trouble.overlaps(request.start(), request.end()));
            if (answer.lost() && !cutOff) {
                breaches.add(answer.text());
            }
        }
    }

    /** A client whose reused connection is closed sends its request again, since the gateway may not have read it. If a
        host had started the request by then, the gateway had read it and owed a response. */
    private void lostOnReuse(History history, Map<String, Event> requests, List<Trouble> troubles) {
        Set<String> told = new HashSet<>();
        for (Event begun : history.events("begin")) {
            Event request = requests.get(begun.text("trace"));
            String gateway = request == null ? null : request.text("before");
            if (gateway == null || begun.start() >= request.number("cut_at", 0) || !told.add(begun.text("trace"))) {
                continue;
            }
            boolean excused = troubles.stream().anyMatch(trouble -> trouble.overlaps(request.start(), request.end())
                    && (trouble.kind.equals("kill") ? trouble.processes.contains(gateway)
                            : trouble.processes.contains("clients") && trouble.others.contains(gateway)));
            if (!excused) {
                breaches.add("lost_request: " + begun.text("trace") + " was read by " + gateway
                        + ", which ended its connection with no answer");
            }
        }
    }

    /** No attempt is sent long after its client has left. */
    private void forNobody(History history, Map<String, Event> requests, List<Trouble> troubles) {
        for (Event begun : history.events("begin")) {
            Event request = requests.get(begun.text("trace"));
            if (request == null || !request.text("outcome").equals("left")
                    || begun.start() - request.end() <= DEPARTURE_HEARD) {
                continue;
            }
            // It may have been sent before and delayed by a faulty link.
            boolean held = troubles.stream().anyMatch(trouble -> trouble.others.contains(begun.by())
                    && trouble.overlaps(request.start(), begun.start()));
            if (!held) {
                breaches.add("lost_request: " + begun.text("trace") + " was sent on " + (begun.start() - request.end()) / 1000
                        + " ms after its client had left");
            }
        }
    }

    /** A client that stalls in the middle of a request is disconnected in time, unless its gateway was frozen. */
    private void stuckClients(History history, List<Trouble> troubles) {
        history.events("stuck-client-ended").stream().filter(event -> event.end() - event.start() > STUCK_ENDED_WITHIN)
                .filter(event -> troubles.stream().noneMatch(trouble -> trouble.processes.contains(event.by())
                        && trouble.kind.equals("freeze") && trouble.overlaps(event.start(), event.end())))
                .forEach(event -> breaches.add("stuck: " + event.by() + " left a client that had stopped in the middle of a "
                        + "request waiting for " + (event.end() - event.start()) / 1000 + " ms"));
    }

    private void duplicates(History history, Map<String, Event> requests, List<Trouble> troubles) {
        Map<String, List<Event>> begun = new HashMap<>();
        history.events("begin").forEach(event -> begun.computeIfAbsent(event.text("trace"), t -> new ArrayList<>()).add(event));
        begun.forEach((trace, times) -> {
            Event request = requests.get(trace);
            if (request == null) {
                breaches.add("duplicate: a host began " + trace + ", which no client sent");
                return;
            }
            // A client can't tell a connection that was closed from one whose gateway was killed while it had the
            // request: the copy is then the client's own.
            if (request.text("before") != null && troubles.stream().anyMatch(trouble -> trouble.kind.equals("kill")
                    && trouble.processes.contains(request.text("before")) && trouble.overlaps(request.start(), request.end()))) {
                return;
            }
            String type = request.text("class");
            if (type.equals("fechamento") && times.size() > 1) {
                breaches.add("duplicate: unsafe request " + trace + " begun " + times.size() + " times");
            }
            if (type.equals("leitura") && times.stream().map(event -> zone(event.by())).distinct().count() > 1) {
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

    private void drains(History history, Map<String, Event> requests, List<Trouble> troubles) {
        Map<String, Long> drained = new HashMap<>();
        for (Event event : history.events()) {
            if (event.op().equals("listed")) {
                if (event.text("state").equals("terminating")) {
                    drained.put(event.text("host"), event.start());
                } else {
                    drained.remove(event.text("host"));
                }
            }
            Long since = drained.get(event.by());
            if ((event.op().equals("begin") || event.op().equals("shed")) && since != null
                    && event.start() - since > DRAIN_GRACE + DRAIN_SLACK) {
                Event request = requests.get(event.text("trace"));
                String gateway = request == null ? "" : request.text("gateway");
                // A gateway that was stopped, or cut off from discovery, need not know of the drain.
                boolean excused = troubles.stream().anyMatch(trouble -> trouble.overlaps(since, event.start())
                        && trouble.processes.contains(gateway) && (trouble.others.isEmpty()
                                || trouble.others.stream().anyMatch(other -> other.startsWith("discovery"))));
                if (!excused) {
                    breaches.add("drain: " + gateway + " sent to " + event.by() + " " + (event.start() - since) / 1000
                            + " ms after its drain was told");
                }
            }
        }
    }
}
