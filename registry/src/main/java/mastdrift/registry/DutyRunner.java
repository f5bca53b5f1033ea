package mastdrift.registry;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import mastdrift.common.Clock;

/**
 * Follows a duty, and does its work while it holds it. One thread calls {@link #turn} again and again; nothing else is kept
 * than when the duty was granted and which step is known to be begun. A step is written down as begun before it has any
 * effect, and as done after it: who takes over knows what may have happened.
 */
final class DutyRunner {

    /** What came of a turn, for the pause until the next. */
    enum Turn { WAITS, WORKED, IDLE, FAILED }

    private final String duty;
    private final String who;
    private final long spanMillis;
    private final DutyService service;
    private final DutyWork work;
    private final Clock clock;
    private final Consumer<String> events;
    private final Tenure tenure;

    /** {@code events} hears a line of each grant, loss and step. */
    DutyRunner(String duty, String who, long spanMillis, DutyService service, DutyWork work, Clock clock,
            Consumer<String> events) {
        this.duty = duty;
        this.who = who;
        this.spanMillis = spanMillis;
        this.service = service;
        this.work = work;
        this.clock = clock;
        this.events = events;
        tenure = new Tenure(spanMillis * 1000);
    }

    boolean holds() {
        return tenure.holds(clock.monotonicMicros());
    }

    /** Keeps what it has, or asks for it; then at most one step. */
    Turn turn() {
        try {
            if (!tenure.believes()) {
                long asked = clock.monotonicMicros();
                DutyService.Answer answer = service.acquire(duty, who, spanMillis);
                if (answer.token() == 0) {
                    return Turn.WAITS;
                }
                tenure.granted(asked, answer.token());
                events.accept("duty-held " + duty + " token " + tenure.token());
            }
            keep();
            DutyService.Answer read = service.read(duty);
            Map<String, Object> state = state(read.body());
            DutyWork.Step step = work.next(read.body());
            if (step == null) {
                return Turn.IDLE;
            }
            check();
            Map<String, Object> begun = new LinkedHashMap<>(state);
            begun.put("begun", step.id());
            record("begin " + step.id(), begun);
            Map<String, Object> after = new LinkedHashMap<>(work.act(step, begun, tenure.token(), this::check));
            after.remove("begun");
            keep();
            record(step.id(), after);
            return Turn.WORKED;
        } catch (DutyWork.Lost e) {
            tenure.lost();
            events.accept("duty-lost " + duty + ": " + e.getMessage());
            return Turn.WAITS;
        } catch (IOException e) {
            events.accept("duty-failed " + duty + ": " + e.getMessage());
            return Turn.FAILED;
        }
    }

    /** Renews in time; throws Lost where the service says no. */
    private void keep() throws IOException {
        if (tenure.renews(clock.monotonicMicros())) {
            long asked = clock.monotonicMicros();
            if (!service.hold(duty, who, tenure.token()).yes()) {
                throw new DutyWork.Lost("it is another's");
            }
            tenure.granted(asked, tenure.token());
        }
        check();
    }

    private void check() throws DutyWork.Lost {
        if (!tenure.holds(clock.monotonicMicros())) {
            throw new DutyWork.Lost("its term is over");
        }
    }

    private void record(String step, Map<String, Object> state) throws IOException {
        if (!service.record(duty, who, tenure.token(), step, state).yes()) {
            throw new DutyWork.Lost("step " + step + " is not taken: it is another's");
        }
        events.accept("duty-recorded " + duty + " " + step + " token " + tenure.token());
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> state(Map<String, Object> duty) {
        return duty.get("state") instanceof Map<?, ?> state ? (Map<String, Object>) state : Map.of();
    }

    /** A clean end: the next who waits has it at once. */
    void stop() {
        try {
            service.release(duty, who, tenure.token());
        } catch (IOException e) {
            events.accept("duty-not-released " + duty + ": " + e.getMessage());
        }
        tenure.lost();
    }
}
