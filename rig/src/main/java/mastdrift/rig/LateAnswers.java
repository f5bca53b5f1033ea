package mastdrift.rig;

import java.util.ArrayList;
import java.util.List;
import mastdrift.rig.History.Event;

/** Answers that came so late that they count as lost, and how much of that the machine and the play itself did. */
final class LateAnswers {

    // Up to so long behind its time an answer only earns nothing.
    private static final long LOST_BEHIND_MICROS = 500_000;

    /**
     * One of them.
     *
     * @param request the request's event
     * @param late from the end of its time to its answer, in microseconds
     * @param starved of that, how long a thread of its gateway or of the clients waited for a core
     * @param frozen how long its gateway was stopped by a fault
     * @param unaccepted how long no call to accept could succeed, by a fault, before its connection was there
     */
    record Answer(Event request, long late, long starved, long frozen, long unaccepted) {

        /** Whether it would have been lost on a machine with a core to spare. */
        boolean lost() {
            return late - starved - frozen - unaccepted > LOST_BEHIND_MICROS;
        }

        String text() {
            return "late_answer: " + request.text("trace") + " by " + request.text("gateway") + " " + late / 1000
                    + " ms behind its time, starved of a core for " + starved / 1000 + " ms of it";
        }
    }

    private LateAnswers() { }

    /** All answers over half a second behind their time, which counts from when the request was sent last. */
    static List<Answer> of(History history) {
        List<Event> delays = history.events(RunDelays.OP);
        List<Event> faults = history.events("fault");
        List<Event> freezes = faults.stream().filter(event -> "freeze".equals(event.text("kind"))).toList();
        List<Event> unaccepted = faults.stream().filter(LateAnswers::failsEveryAccept).toList();
        List<Answer> answers = new ArrayList<>();
        for (Event request : history.events("request")) {
            long sentAt = request.number("sent_at", request.start());
            long late = request.end() - sentAt - request.number("deadline_ms", Load.DEADLINE_MILLIS) * 1000;
            if (request.number("status", 0) == 0 || late <= LOST_BEHIND_MICROS) {
                continue;
            }
            String gateway = request.text("gateway");
            long starved = RunDelays.longest(delays, gateway, sentAt, request.end())
                    + RunDelays.longest(delays, Stage.CLIENTS, sentAt, request.end());
            boolean reused = Boolean.TRUE.equals(request.facts().get("reused"));
            answers.add(new Answer(request, late, starved, overlap(freezes, gateway, sentAt, request.end()),
                    reused ? 0 : overlap(unaccepted, gateway, sentAt, request.end())));
        }
        return answers;
    }

    /** A client's connection is up before the gateway can have it: what is written meanwhile nobody can read. */
    private static boolean failsEveryAccept(Event fault) {
        return "accept".equals(fault.text("call")) && fault.facts().get("rate") instanceof Number rate && rate.doubleValue() >= 1;
    }

    /** How much of that time faults on that gateway took. */
    private static long overlap(List<Event> faults, String gateway, long from, long to) {
        return faults.stream().filter(fault -> fault.facts().get("processes") instanceof List<?> names && names.contains(gateway))
                .mapToLong(fault -> Math.max(0, Math.min(to, fault.end()) - Math.max(from, fault.start()))).sum();
    }
}
