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
    enum TurnResult { NOT_HELD, WORKED, IDLE, FAILED }

    private final String duty;
    private final String candidate;
    private final long leaseMillis;
    private final DutyService service;
    private final DutyWork work;
    private final Clock clock;
    private final Consumer<String> eventLog;
    private final ClientLease lease;

    /** {@code eventLog} gets a line for each grant, loss and step. */
    DutyRunner(String duty, String candidate, long leaseMillis, DutyService service, DutyWork work, Clock clock,
            Consumer<String> eventLog) {
        this.duty = duty;
        this.candidate = candidate;
        this.leaseMillis = leaseMillis;
        this.service = service;
        this.work = work;
        this.clock = clock;
        this.eventLog = eventLog;
        lease = new ClientLease(leaseMillis * 1000);
    }

    boolean holdsDuty() {
        return lease.isValid(clock.monotonicMicros());
    }

    /** Acquires or renews the lease, then does at most one step of the work. */
    TurnResult runOnce() {
        try {
            if (!lease.isGranted()) {
                long requestedAt = clock.monotonicMicros();
                DutyService.Response response = service.acquire(duty, candidate, leaseMillis);
                if (response.token() == 0) {
                    return TurnResult.NOT_HELD;
                }
                lease.granted(requestedAt, response.token());
                eventLog.accept("duty-held " + duty + " token " + lease.token());
            }
            renewIfDue();
            DutyService.Response current = service.read(duty);
            Map<String, Object> state = stateOf(current.body());
            DutyWork.Step step = work.next(current.body());
            if (step == null) {
                return TurnResult.IDLE;
            }
            requireLease();
            Map<String, Object> started = new LinkedHashMap<>(state);
            started.put("begun", step.id());
            record("begin " + step.id(), started);
            Map<String, Object> newState = new LinkedHashMap<>(work.act(step, started, lease.token(),
                    this::requireLease));
            newState.remove("begun");
            renewIfDue();
            record(step.id(), newState);
            return TurnResult.WORKED;
        } catch (DutyWork.LeaseLostException e) {
            lease.clear();
            eventLog.accept("duty-lost " + duty + ": " + e.getMessage());
            return TurnResult.NOT_HELD;
        } catch (IOException e) {
            eventLog.accept("duty-failed " + duty + ": " + e.getMessage());
            return TurnResult.FAILED;
        }
    }

    /** Renews the lease if it is time; throws LeaseLostException if the service refuses. */
    private void renewIfDue() throws IOException {
        if (lease.isRenewalDue(clock.monotonicMicros())) {
            long requestedAt = clock.monotonicMicros();
            if (!service.renew(duty, candidate, lease.token()).success()) {
                throw new DutyWork.LeaseLostException("another process holds it");
            }
            lease.granted(requestedAt, lease.token());
        }
        requireLease();
    }

    private void requireLease() throws DutyWork.LeaseLostException {
        if (!lease.isValid(clock.monotonicMicros())) {
            throw new DutyWork.LeaseLostException("its lease has expired");
        }
    }

    private void record(String step, Map<String, Object> state) throws IOException {
        if (!service.record(duty, candidate, lease.token(), step, state).success()) {
            throw new DutyWork.LeaseLostException("step " + step + " was refused: another process holds the duty");
        }
        eventLog.accept("duty-recorded " + duty + " " + step + " token " + lease.token());
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> stateOf(Map<String, Object> duty) {
        return duty.get("state") instanceof Map<?, ?> state ? (Map<String, Object>) state : Map.of();
    }

    /** Releases the duty, so that the next candidate gets it at once. */
    void release() {
        try {
            service.release(duty, candidate, lease.token());
        } catch (IOException e) {
            eventLog.accept("duty-not-released " + duty + ": " + e.getMessage());
        }
        lease.clear();
    }
}
