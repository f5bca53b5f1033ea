package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Model test of the lifecycle: every sequence of up to eight calls, against the rules of the operations manual. */
class LifecycleModelTest {

    private static final int DEPTH = 8;

    private enum Event { STARTED, STANDBY, ACTIVE, STOP }

    /** The model: a stop is final, the latest call of standby or active holds whenever it came, a start comes once. */
    private static Lifecycle.State expected(List<Event> path) {
        if (path.contains(Event.STOP)) {
            return Lifecycle.State.STOPPING;
        }
        if (!path.contains(Event.STARTED)) {
            return Lifecycle.State.STARTING;
        }
        int standby = path.lastIndexOf(Event.STANDBY);
        return standby > path.lastIndexOf(Event.ACTIVE) ? Lifecycle.State.STANDBY : Lifecycle.State.ACTIVE;
    }

    private static int explore(List<Event> path) {
        Lifecycle life = new Lifecycle();
        AtomicInteger told = new AtomicInteger();
        int calls = 0;
        boolean started = false;
        boolean stopped = false;
        for (Event event : path) {
            switch (event) {
                case STARTED -> life.markStarted(told::incrementAndGet);
                case STOP -> life.stop();
                default -> {
                    boolean wanted = event == Event.STANDBY;
                    assertEquals(!stopped || wanted, life.setStandby(wanted), path.toString());
                }
            }
            started |= event == Event.STARTED;
            stopped |= event == Event.STOP;
            calls += event == Event.STARTED || started && !stopped && event != Event.STOP ? 1 : 0;
        }
        assertEquals(expected(path), life.state(), path.toString());
        assertEquals(expected(path) == Lifecycle.State.ACTIVE, life.isReady(), path.toString());
        assertEquals(calls, told.get(), "notifications: " + path);
        int count = 1;
        for (Event next : Event.values()) {
            if (path.size() < DEPTH && !(next == Event.STARTED && path.contains(Event.STARTED))) {
                List<Event> longer = new ArrayList<>(path);
                longer.add(next);
                count += explore(longer);
            }
        }
        return count;
    }

    @Test
    void everyOrderOfCallsGivesTheStateThatThePageTells() {
        assertEquals(true, explore(List.of()) > 30_000);
    }
}
