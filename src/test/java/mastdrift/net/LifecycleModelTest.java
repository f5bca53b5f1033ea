package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Model test of the lifecycle: every sequence of up to eight calls, against the rules of the operations manual. */
class LifecycleModelTest {

    private static final int MAX_CALLS = 8;

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
        Lifecycle lifecycle = new Lifecycle();
        AtomicInteger notifications = new AtomicInteger();
        int expectedNotifications = 0;
        boolean started = false;
        boolean stopped = false;
        for (Event event : path) {
            switch (event) {
                case STARTED -> lifecycle.markStarted(notifications::incrementAndGet);
                case STOP -> lifecycle.stop();
                default -> {
                    boolean wanted = event == Event.STANDBY;
                    assertEquals(!stopped || wanted, lifecycle.setStandby(wanted), path.toString());
                }
            }
            started |= event == Event.STARTED;
            stopped |= event == Event.STOP;
            expectedNotifications += event == Event.STARTED || started && !stopped && event != Event.STOP ? 1 : 0;
        }
        assertEquals(expected(path), lifecycle.state(), path.toString());
        assertEquals(expected(path) == Lifecycle.State.ACTIVE, lifecycle.isReady(), path.toString());
        assertEquals(expectedNotifications, notifications.get(), "notifications: " + path);
        int pathCount = 1;
        for (Event next : Event.values()) {
            if (path.size() < MAX_CALLS && !(next == Event.STARTED && path.contains(Event.STARTED))) {
                List<Event> longer = new ArrayList<>(path);
                longer.add(next);
                pathCount += explore(longer);
            }
        }
        return pathCount;
    }

    @Test
    void everySequenceOfCallsEndsInTheStateOfTheModel() {
        assertEquals(true, explore(List.of()) > 30_000);
    }
}
