package mastdrift.registry;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import mastdrift.common.Clock;

/**
 * Acquires a duty and does its work while it holds the lease. One thread calls {@link #runOnce} repeatedly. Each step
 * is recorded in the log as begun before it has any effect and as done after it, so a successor knows what may have
 * happened; locally only the lease is kept.
 */
final class DutyRunner {

    /** Result of a round; decides on the pause before the next. */
    enum Turn { WAITS, WORKED, IDLE, FAILED }

    private final String duty;
    private final String who;
    private final long spanMillis;
    private final DutyService service;
    private final DutyWork work;
    private final Clock clock;
    private final Consumer<String> events;
    private final Tenure tenure;

    /** {@code eventLog} gets a line for each grant, loss and step. */
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

    /** Acquires or renews the lease, then does at most one step of the work. */
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

    /** Renews the lease if it is time; throws LeaseLostException if the service refuses. */
    private void keep() throws IOException {
        if (tenure.renews(clock.monotonicMicros())) {
            long asked = clock.monotonicMicros();
            if (!service.hold(duty, who, tenure.token()).yes()) {
                throw new DutyWork.Lost("another process holds it");
            }
            tenure.granted(asked, tenure.token());
        }
        check();
    }

    private void check() throws DutyWork.Lost {
        if (!tenure.holds(clock.monotonicMicros())) {
            throw new DutyWork.Lost("its lease has expired");
        }
    }

    private void record(String step, Map<String, Object> state) throws IOException {
        if (!service.record(duty, who, tenure.token(), step, state).yes()) {
            throw new DutyWork.Lost("step " + step + " was refused: another process holds the duty");
        }
        events.accept("duty-recorded " + duty + " " + step + " token " + tenure.token());
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> state(Map<String, Object> duty) {
        return duty.get("state") instanceof Map<?, ?> state ? (Map<String, Object>) state : Map.of();
    }

    /** Releases the duty, so that the next candidate gets it at once. */
    void stop() {
        try {
            service.release(duty, who, tenure.token());
        } catch (IOException e) {
            events.accept("duty-not-released " + duty + ": " + e.getMessage());
        }
        tenure.lost();
    }
}
