package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what is logged about a late event loop, on clocks that the test sets. */
class LoopMonitorTest {

    private long now = 1_000_000;
    private ThreadTimes.Sample times = new ThreadTimes.Sample(0, 0);
    private final GatewayMetrics tally = new GatewayMetrics(List.of());
    private final List<String> log = new ArrayList<>();
    private final LoopMonitor monitor = new LoopMonitor(() -> now, () -> times, tally, new EventLog(() -> now, log::add));

    /** Lets a check interval and {@code late} pass, of which the loop ran for {@code cpu} and waited for a core for
        {@code runDelay}. */
    private void pass(long late, long cpu, long runDelay) {
        now += LoopMonitor.CHECK_INTERVAL_MICROS + late;
        times = times == null ? null
                : new ThreadTimes.Sample(times.cpuMicros() + cpu, times.runDelayMicros() + runDelay);
        monitor.check();
    }

    private String told() {
        assertEquals(1, log.size(), log.toString());
        return log.get(0);
    }

    @Test
    void aLoopThatComesRoundInTimeIsNotTold() {
        monitor.check();
        pass(LoopMonitor.MAX_DELAY_MICROS, 300_000, 0);
        assertEquals(List.of(), log);
        assertEquals(0, tally.count(GatewayMetrics.Counter.LOOP_LATE));
    }

    /** Guards against a process that is starved of its core and is reported as busy or blocked. */
    @Test
    void theCauseIsWhatTookMostOfTheTime() {
        monitor.check();
        pass(600_000, 100_000, 500_000);
        assertTrue(told().startsWith("event=loop_late late_us=600000 cause=starved wall_us=850000 cpu_us=100000 "
                + "run_delay_us=500000 blocked_us=0 collected="), told());
        log.clear();
        pass(600_000, 550_000, 20_000);
        assertTrue(told().contains(" cause=busy "), told());
        log.clear();
        pass(600_000, 30_000, 20_000);
        assertTrue(told().contains(" cause=blocked ") && told().contains(" blocked_us=550000 "), told());
        assertEquals(3, tally.count(GatewayMetrics.Counter.LOOP_LATE));
        assertEquals(1, tally.count(GatewayMetrics.Counter.LOOP_LATE_STARVED));
        assertEquals(1, tally.count(GatewayMetrics.Counter.LOOP_LATE_BUSY));
        assertEquals(1, tally.count(GatewayMetrics.Counter.LOOP_LATE_BLOCKED));
    }

    /** Guards against a delay between two checks that goes unnoticed since neither check is late. */
    @Test
    void aTaskThatTookLongIsNamedThoughTheLookIsInTime() {
        monitor.check();
        long begunAt = monitor.taskStarted();
        now += 200_000;
        monitor.taskEnded(LoopMonitor.Task.HOST_LIST, begunAt);
        now -= 200_000;
        pass(0, 200_000, 0);
        assertTrue(told().contains("late_us=200000 ") && told().endsWith(" longest_task=host_list longest_us=200000"), told());
        log.clear();
        pass(0, 0, 0);
        assertEquals(List.of(), log);
    }

    @Test
    void whereTheKernelTellsNothingTheRestIsToldAllTheSame() {
        times = null;
        monitor.check();
        pass(600_000, 0, 0);
        assertTrue(told().startsWith("event=loop_late late_us=600000 wall_us=850000 collected="), told());
        assertEquals(1, tally.count(GatewayMetrics.Counter.LOOP_LATE));
    }

    @Test
    void aLineOfSchedstatHasNanoseconds() {
        assertEquals(new ThreadTimes.Sample(75_715, 34_450), ThreadTimes.parse("75715475 34450693 300\n"));
        assertFalse(new ThreadTimes().read() != null && new ThreadTimes().read().cpuMicros() <= 0);
    }
}
