package mastdrift.rig;

import java.util.ArrayList;
import java.util.List;
import mastdrift.rig.History.Event;

/** Finds the responses that came so late that they count as lost, and how much of the delay is explained by a busy
    machine or by injected faults. */
final class LateAnswers {

    // A response that comes up to so long after its deadline is late, but not lost.
    private static final long LOST_AFTER_DEADLINE_MICROS = 500_000;

    /**
     * A late response. Times are in microseconds.
     *
     * @param request the request's event
     * @param lateMicros from the deadline to the response
     * @param starvedMicros how long threads of the gateway and of the clients waited for a core meanwhile
     * @param frozenMicros how long its gateway was frozen by a fault
     * @param unacceptedMicros how long a fault made all calls to accept fail, if the request had a new connection
     */
    record Answer(Event request, long lateMicros, long starvedMicros, long frozenMicros, long unacceptedMicros) {

        /** Whether it counts as lost with the explained delays subtracted. */
        boolean isLost() {
            return lateMicros - starvedMicros - frozenMicros - unacceptedMicros > LOST_AFTER_DEADLINE_MICROS;
        }

        String text() {
            return "late_answer: " + request.text("trace") + " by " + request.text("gateway") + " " + lateMicros / 1000
                    + " ms behind its time, starved of a core for " + starvedMicros / 1000 + " ms of it";
        }
    }

    private LateAnswers() { }

    /** All responses that came over half a second after their deadline, which counts from when the request was last
        sent. */
    static List<Answer> find(History history) {
        List<Event> delays = history.events(RunDelaySampler.OP);
        List<Event> faults = history.events("fault");
        List<Event> freezes = faults.stream().filter(event -> "freeze".equals(event.text("kind"))).toList();
        List<Event> acceptFaults = faults.stream().filter(LateAnswers::failsEveryAccept).toList();
        List<Answer> answers = new ArrayList<>();
        for (Event request : history.events("request")) {
            long sentAt = request.number("sent_at", request.start());
            long lateMicros = request.end() - sentAt
                    - request.number("deadline_ms", LoadGenerator.DEADLINE_MILLIS) * 1000;
            if (request.number("status", 0) == 0 || lateMicros <= LOST_AFTER_DEADLINE_MICROS) {
                continue;
            }
            String gateway = request.text("gateway");
            long starvedMicros = RunDelaySampler.longestWait(delays, gateway, sentAt, request.end())
                    + RunDelaySampler.longestWait(delays, TestBed.CLIENTS, sentAt, request.end());
            boolean reused = Boolean.TRUE.equals(request.facts().get("reused"));
            answers.add(new Answer(request, lateMicros, starvedMicros, overlap(freezes, gateway, sentAt, request.end()),
                    reused ? 0 : overlap(acceptFaults, gateway, sentAt, request.end())));
        }
        return answers;
    }

    /** Whether the fault makes every accept fail: the kernel establishes a client's connection before the gateway
        accepts it, and nobody can read what the client writes until then. */
    private static boolean failsEveryAccept(Event fault) {
        return "accept".equals(fault.text("call")) && fault.facts().get("rate") instanceof Number rate && rate.doubleValue() >= 1;
    }

    /** How long faults of that gateway were active in that time. */
    private static long overlap(List<Event> faults, String gateway, long from, long to) {
        return faults.stream().filter(fault -> fault.facts().get("processes") instanceof List<?> names && names.contains(gateway))
                .mapToLong(fault -> Math.max(0, Math.min(to, fault.end()) - Math.max(from, fault.start()))).sum();
    }
}
