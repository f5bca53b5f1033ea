package mastdrift.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mastdrift.common.TomlFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Short runs of real gateways whose system calls fail. Verdicts depend on what became of the requests. */
class SystemCallFaultsTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final int GATEWAY_COUNT = 2;

    @TempDir
    private Path folder;

    /** Runs gateways with the given faults. Links to hosts are refused at times, so that gateways have to connect
        again, and some clients use a new connection for each request. */
    private TestRun.Result run(String faults) throws Exception {
        RigPlan plan = PlanFile.parse("""
                name = "system-calls"
                seconds = 4
                settle_s = 0
                [gateways]
                count = 2
                [hosts]
                count = 3
                zones = ["a"]
                cores = 4
                [load]
                rate = 120
                fresh = 0.3
                leave = 0.1
                [[fault]]
                kind = "refuse"
                from = "gateway-*"
                to = "host-*"
                at_s = [0.5, 3]
                for_s = 0.03
                times = 4
                """ + faults, "test.toml");
        return TestRun.run(plan, 1, FaultSchedule.draw(plan, TestBed.names(plan), 1),
                new TestBed.Options(ROOT, false, BrokenVariants.NONE), 0, folder);
    }

    private static String fault(String call, String error, double rate, String side) {
        return fault(call, error, rate, side, 1);
    }

    private static String fault(String call, String error, double rate, String side, int size) {
        return """
                [[fault]]
                kind = "system_call"
                process = "gateway-*"
                call = "%s"
                error = "%s"
                rate = %s
                side = "%s"
                size = %d
                at_s = 0.5
                for_s = 2.5
                """.formatted(call, error, rate, side, size);
    }

    private long countInjected(int gateway, String call) throws Exception {
        Path log = folder.resolve("gateway-" + gateway + ".faults.log");
        return Files.readString(log, StandardCharsets.UTF_8).lines().filter(line -> line.contains(" " + call + " ")).count();
    }

    private String readLog(int gateway) throws Exception {
        return Files.readString(folder.resolve("gateway-" + gateway).resolve("log.txt"), StandardCharsets.UTF_8);
    }

    private static void assertHeld(TestRun.Result result) {
        assertTrue(result.held(), result.verdicts().toString());
        assertTrue((Integer) result.figures().get("served") > 0, result.figures().toString());
    }

    /** Guards against a long pause after a failed accept. For 2.5 s every accept fails: retries 1 s apart would be
        three at most; a few ms apart they are hundreds, and at least ten on a slow machine. */
    @Test
    void failedAcceptIsRetriedWithinMilliseconds() throws Exception {
        TestRun.Result result = run(fault("accept", "ENFILE", 1, "any"));
        assertHeld(result);
        for (int gateway = 1; gateway <= GATEWAY_COUNT; gateway++) {
            assertTrue(countInjected(gateway, "accept") >= 10, "tries: " + countInjected(gateway, "accept"));
        }
    }

    @Test
    void interruptedReadIsNoEndOfStream() throws Exception {
        TestRun.Result result = run(fault("read", "EINTR", 0.2, "client"));
        assertHeld(result);
        assertTrue(countInjected(1, "read") > 0);
        assertEquals(0, ((Number) result.figures().get("sent_again")).longValue(), result.figures().toString());
    }

    @Test
    void writeWithoutBufferSpaceIsRetried() throws Exception {
        TestRun.Result result = run(fault("write", "ENOBUFS", 0.1, "any"));
        assertHeld(result);
        assertTrue(countInjected(1, "write") > 0);
        assertTrue(readLog(1).contains("event=write_deferred"));
    }

    /** Guards against connections closed because of errors that don't concern them: socket options that can't be set or
        read, interrupted calls, partial transfers, and EAGAIN on a ready socket. */
    @Test
    void transientErrorsCloseNoConnection() throws Exception {
        TestRun.Result result = run(fault("setsockopt", "EINVAL", 0.3, "any")
                + fault("getsockopt", "EINVAL", 0.3, "any")
                + fault("read", "SHORT", 0.5, "any") + fault("read", "EAGAIN", 0.2, "any") + fault("write", "SHORT", 0.5, "any")
                + fault("write", "EINTR", 0.2, "any") + fault("epoll_wait", "EINTR", 0.3, "any")
                + fault("accept", "EINTR", 0.3, "any") + fault("accept", "ECONNABORTED", 0.3, "any")
                + fault("connect", "EINTR", 0.3, "any") + fault("poll", "EINTR", 0.3, "any"));
        assertHeld(result);
        for (String call : List.of("setsockopt", "getsockopt", "read", "write", "epoll_wait", "accept", "connect")) {
            assertTrue(countInjected(1, call) > 0, call);
        }
        assertEquals(0, ((Number) result.figures().get("sent_again")).longValue(), result.figures().toString());
    }

    /** Guards against lost requests, and callbacks off the event loop, when a connect fails at once: there is no
        socket, no address or no route. */
    @Test
    void connectsThatFailAtOnceLoseNoRequest() throws Exception {
        TestRun.Result result = run(fault("socket", "ENFILE", 0.3, "any")
                + fault("connect", "EADDRNOTAVAIL", 0.2, "any")
                + fault("connect", "ENETUNREACH", 0.2, "any") + fault("connect_result", "EHOSTUNREACH", 0.2, "any"));
        assertHeld(result);
        assertTrue(countInjected(1, "socket") > 0 && countInjected(1, "connect") > 0);
        for (int gateway = 1; gateway <= GATEWAY_COUNT; gateway++) {
            assertFalse(readLog(gateway).contains("event=off_loop"), readLog(gateway));
        }
    }

    /** Guards against requests that wait for the log while its disk is full, fails, or hangs for 2 s on each line. */
    @Test
    void failingOrHangingLogDelaysNoRequest() throws Exception {
        TestRun.Result result = run(fault("write", "ENOSPC", 0.3, "log") + fault("write", "EIO", 0.3, "log")
                + fault("write", "DELAY", 1, "log", 2000) + fault("socket", "ENFILE", 0.3, "any"));
        assertHeld(result);
        assertTrue(countInjected(1, "write") > 0);
        assertEquals(0, ((Number) result.figures().get("lost_by_time")).longValue(), result.figures().toString());
    }

    /** Guards against a class or a system file that is opened for the first time while no descriptor is left. Meanwhile
        hosts and connects fail, a new list arrives, and a gateway stops. */
    @Test
    void processWithoutDescriptorsGoesOnServing() throws Exception {
        TestRun.Result result = run(fault("open_anywhere", "EMFILE", 1, "any") + fault("socket", "EMFILE", 0.5, "any")
                + fault("connect", "ECONNREFUSED", 0.1, "any") + fault("read", "ECONNRESET", 0.02, "upstream") + """
                [[fault]]
                kind = "replace"
                process = "host-a-1"
                at_s = 1
                for_s = 0.5
                [[fault]]
                kind = "stop"
                process = "gateway-1"
                at_s = 1
                for_s = 2
                """);
        assertHeld(result);
        assertFalse(readLog(1).contains("NoClassDefFound") || readLog(2).contains("NoClassDefFound"), readLog(1)
                + readLog(2));
    }

    /** An event loop that sleeps for 0.6 s at times must be found by the rules checker, and logged as blocked by the
        gateway. */
    @Test
    void blockedEventLoopIsDetected() throws Exception {
        TestRun.Result result = run(fault("epoll_wait", "DELAY", 0.05, "any", 600));
        assertTrue(result.verdicts().toString().contains("late_answer"), result.verdicts().toString());
        assertTrue(readLog(1).contains("event=loop_late") && readLog(1).contains("cause=blocked"), readLog(1));
    }

    /** Guards against connections and listening sockets that are never read again after epoll_ctl had no memory to add
        them. */
    @Test
    void socketsWithoutEpollRegistrationAreStillRead() throws Exception {
        TestRun.Result result = run(fault("epoll_add", "ENOMEM", 0.1, "any") + fault("accept", "EMFILE", 0.3, "any"));
        assertHeld(result);
        assertTrue(countInjected(1, "epoll_add") > 0);
    }

    /** Guards against an event loop that retries an aborted accept without end and does nothing else. */
    @Test
    void anAcceptThatIsAbortedWithoutEndHoldsUpNobody() throws Exception {
        TestRun.Result result = run(fault("accept", "ECONNABORTED", 1, "any"));
        assertHeld(result);
        assertTrue(countInjected(1, "accept") > 0);
        for (int gateway = 1; gateway <= GATEWAY_COUNT; gateway++) {
            assertFalse(readLog(gateway).contains("event=loop_late")
                    && readLog(gateway).contains("longest_task=accept"), readLog(gateway));
        }
    }

    @Test
    void invalidCallOrErrorIsReportedWithFileLineAndKey() {
        TomlFile.ValidationException exception =
                assertThrows(TomlFile.ValidationException.class, () -> PlanFile.parse("""
                [[fault]]
                kind = "system_call"
                process = "gateway-*"
                call = "accept"
                error = "ENOTCONN"
                """, "odd.toml"));
        assertTrue(exception.getMessage().contains("odd.toml:5: fault[0].error: expected one of ECONNABORTED"),
                exception.getMessage());
        exception = assertThrows(TomlFile.ValidationException.class, () -> PlanFile.parse("""
                [[fault]]
                kind = "system_call"
                process = "gateway-*"
                call = "acept"
                error = "ENFILE"
                """, "odd.toml"));
        assertTrue(exception.getMessage().contains("odd.toml:4: fault[0].call: expected one of accept, socket"),
                exception.getMessage());
        assertFalse(exception.getMessage().contains("unknown key"), exception.getMessage());
    }
}
