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
    private ThreadTimes.Sample threadTimes = new ThreadTimes.Sample(0, 0);
    private final GatewayMetrics metrics = new GatewayMetrics(List.of());
    private final List<String> log = new ArrayList<>();
    private final LoopMonitor monitor =
            new LoopMonitor(() -> now, () -> threadTimes, metrics, new EventLog(() -> now, log::add));

    /** Lets a check interval and {@code late} pass, of which the loop ran for {@code cpu} and waited for a core for
        {@code runDelay}. */
    private void passInterval(long late, long cpu, long runDelay) {
        now += LoopMonitor.CHECK_INTERVAL_MICROS + late;
        threadTimes = threadTimes == null ? null
                : new ThreadTimes.Sample(threadTimes.cpuMicros() + cpu, threadTimes.runDelayMicros() + runDelay);
        monitor.check();
    }

    private String onlyLogLine() {
        assertEquals(1, log.size(), log.toString());
        return log.get(0);
    }

    @Test
    void loopInTimeIsNotLogged() {
        monitor.check();
        passInterval(LoopMonitor.MAX_DELAY_MICROS, 300_000, 0);
        assertEquals(List.of(), log);
        assertEquals(0, metrics.count(GatewayMetrics.Counter.LOOP_LATE));
    }

    /** Guards against a process that is starved of its core and is reported as busy or blocked. */
    @Test
    void causeIsWhatTookMostOfTheDelay() {
        monitor.check();
        passInterval(600_000, 100_000, 500_000);
        assertTrue(onlyLogLine().startsWith("event=loop_late late_us=600000 cause=starved wall_us=850000 cpu_us=100000 "
                + "run_delay_us=500000 blocked_us=0 collected="), onlyLogLine());
        log.clear();
        passInterval(600_000, 550_000, 20_000);
        assertTrue(onlyLogLine().contains(" cause=busy "), onlyLogLine());
        log.clear();
        passInterval(600_000, 30_000, 20_000);
        assertTrue(onlyLogLine().contains(" cause=blocked ") && onlyLogLine().contains(" blocked_us=550000 "),
                onlyLogLine());
        assertEquals(3, metrics.count(GatewayMetrics.Counter.LOOP_LATE));
        assertEquals(1, metrics.count(GatewayMetrics.Counter.LOOP_LATE_STARVED));
        assertEquals(1, metrics.count(GatewayMetrics.Counter.LOOP_LATE_BUSY));
        assertEquals(1, metrics.count(GatewayMetrics.Counter.LOOP_LATE_BLOCKED));
    }

    /** Guards against a delay between two checks that goes unnoticed since neither check is late. */
    @Test
    void longTaskIsLoggedThoughTheCheckIsInTime() {
        monitor.check();
        long startedAt = monitor.taskStarted();
        now += 200_000;
        monitor.taskEnded(LoopMonitor.Task.HOST_LIST, startedAt);
        now -= 200_000;
        passInterval(0, 200_000, 0);
        assertTrue(onlyLogLine().contains("late_us=200000 ")
                && onlyLogLine().endsWith(" longest_task=host_list longest_us=200000"), onlyLogLine());
        log.clear();
        passInterval(0, 0, 0);
        assertEquals(List.of(), log);
    }

    @Test
    void lateLoopIsLoggedWithoutThreadTimes() {
        threadTimes = null;
        monitor.check();
        passInterval(600_000, 0, 0);
        assertTrue(onlyLogLine().startsWith("event=loop_late late_us=600000 wall_us=850000 collected="), onlyLogLine());
        assertEquals(1, metrics.count(GatewayMetrics.Counter.LOOP_LATE));
    }

    @Test
    void schedstatNanosecondsAreReadAsMicroseconds() {
        assertEquals(new ThreadTimes.Sample(75_715, 34_450), ThreadTimes.parse("75715475 34450693 300\n"));
        assertFalse(new ThreadTimes().read() != null && new ThreadTimes().read().cpuMicros() <= 0);
    }
}
