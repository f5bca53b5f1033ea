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

/** Real gateways whose system calls fail. Each play is short; verdicts hang on what became of requests. */
class SystemCallFaultsTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final int GATEWAYS = 2;

    @TempDir
    private Path folder;

    /** Hosts' links are refused now and then, so that gateways dial; part of the clients connect anew for each request. */
    private Play.Outcome play(String faults) throws Exception {
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
        return Play.of(plan, 1, Draw.faults(plan, Stage.names(plan), 1), new Stage.Setting(ROOT, false, Variants.NONE), 0,
                folder);
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

    private long injected(int gateway, String call) throws Exception {
        Path log = folder.resolve("gateway-" + gateway + ".faults.log");
        return Files.readString(log, StandardCharsets.UTF_8).lines().filter(line -> line.contains(" " + call + " ")).count();
    }

    private String logOf(int gateway) throws Exception {
        return Files.readString(folder.resolve("gateway-" + gateway).resolve("log.txt"), StandardCharsets.UTF_8);
    }

    private static void assertHeld(Play.Outcome outcome) {
        assertTrue(outcome.held(), outcome.verdicts().toString());
        assertTrue((Integer) outcome.figures().get("served") > 0, outcome.figures().toString());
    }

    /** For 2.5 s no connection can be accepted. Tries that are 1 s apart would be three at the most; some ms apart they are
        hundreds, and ten on the slowest machine. */
    @Test
    void aFailedAcceptIsTriedAgainWithinMilliseconds() throws Exception {
        Play.Outcome outcome = play(fault("accept", "ENFILE", 1, "any"));
        assertHeld(outcome);
        for (int gateway = 1; gateway <= GATEWAYS; gateway++) {
            assertTrue(injected(gateway, "accept") >= 10, "tries: " + injected(gateway, "accept"));
        }
    }

    @Test
    void anInterruptedReadIsNoEndOfStream() throws Exception {
        Play.Outcome outcome = play(fault("read", "EINTR", 0.2, "client"));
        assertHeld(outcome);
        assertTrue(injected(1, "read") > 0);
        assertEquals(0, ((Number) outcome.figures().get("sent_again")).longValue(), outcome.figures().toString());
    }

    @Test
    void aWriteThatMeetsAShortageIsMadeAgain() throws Exception {
        Play.Outcome outcome = play(fault("write", "ENOBUFS", 0.1, "any"));
        assertHeld(outcome);
        assertTrue(injected(1, "write") > 0);
        assertTrue(logOf(1).contains("event=write_deferred"));
    }

    /** Options that can't be set or read, calls that are interrupted, moved in pieces, or met by nothing though ready. */
    @Test
    void callsThatSayNothingOfAConnectionEndNone() throws Exception {
        Play.Outcome outcome = play(fault("setsockopt", "EINVAL", 0.3, "any") + fault("getsockopt", "EINVAL", 0.3, "any")
                + fault("read", "SHORT", 0.5, "any") + fault("read", "EAGAIN", 0.2, "any") + fault("write", "SHORT", 0.5, "any")
                + fault("write", "EINTR", 0.2, "any") + fault("epoll_wait", "EINTR", 0.3, "any")
                + fault("accept", "EINTR", 0.3, "any") + fault("accept", "ECONNABORTED", 0.3, "any")
                + fault("connect", "EINTR", 0.3, "any") + fault("poll", "EINTR", 0.3, "any"));
        assertHeld(outcome);
        for (String call : List.of("setsockopt", "getsockopt", "read", "write", "epoll_wait", "accept", "connect")) {
            assertTrue(injected(1, call) > 0, call);
        }
        assertEquals(0, ((Number) outcome.figures().get("sent_again")).longValue(), outcome.figures().toString());
    }

    /** No socket, no address, no route: requests are answered all the same, and nothing runs on a wrong thread. */
    @Test
    void dialsThatFailAtOnceLoseNoRequest() throws Exception {
        Play.Outcome outcome = play(fault("socket", "ENFILE", 0.3, "any") + fault("connect", "EADDRNOTAVAIL", 0.2, "any")
                + fault("connect", "ENETUNREACH", 0.2, "any") + fault("connect_result", "EHOSTUNREACH", 0.2, "any"));
        assertHeld(outcome);
        assertTrue(injected(1, "socket") > 0 && injected(1, "connect") > 0);
        for (int gateway = 1; gateway <= GATEWAYS; gateway++) {
            assertFalse(logOf(gateway).contains("event=off_loop"), logOf(gateway));
        }
    }

    /** Guards against requests that wait for the log: its disk is full, broken, or hangs for 2 s a line. */
    @Test
    void aLogThatFailsOrHangsHoldsUpNoRequest() throws Exception {
        Play.Outcome outcome = play(fault("write", "ENOSPC", 0.3, "log") + fault("write", "EIO", 0.3, "log")
                + fault("write", "DELAY", 1, "log", 2000) + fault("socket", "ENFILE", 0.3, "any"));
        assertHeld(outcome);
        assertTrue(injected(1, "write") > 0);
        assertEquals(0, ((Number) outcome.figures().get("lost_by_time")).longValue(), outcome.figures().toString());
    }

    /** Guards against a class, or a file of the machine's, that is needed for the first time while no descriptor is left: hosts
        fail, dials too, a new list comes, and a gateway stops. */
    @Test
    void aProcessThatCanOpenNothingGoesOnServing() throws Exception {
        Play.Outcome outcome = play(fault("open_anywhere", "EMFILE", 1, "any") + fault("socket", "EMFILE", 0.5, "any")
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
        assertHeld(outcome);
        assertFalse(logOf(1).contains("NoClassDefFound") || logOf(2).contains("NoClassDefFound"), logOf(1) + logOf(2));
    }

    /** A loop that sleeps for 0.6 s now and then has to be caught by the rules, and told by the gateway as blocked. */
    @Test
    void aLoopThatSleepsIsCaught() throws Exception {
        Play.Outcome outcome = play(fault("epoll_wait", "DELAY", 0.05, "any", 600));
        assertTrue(outcome.verdicts().toString().contains("late_answer"), outcome.verdicts().toString());
        assertTrue(logOf(1).contains("event=loop_late") && logOf(1).contains("cause=blocked"), logOf(1));
    }

    /** Guards against connections that stay unread, and a listening socket that nobody looks at again: the system had no memory
        to watch them. */
    @Test
    void whatTheSystemDoesNotWatchIsReadAllTheSame() throws Exception {
        Play.Outcome outcome = play(fault("epoll_add", "ENOMEM", 0.1, "any") + fault("accept", "EMFILE", 0.3, "any"));
        assertHeld(outcome);
        assertTrue(injected(1, "epoll_add") > 0);
    }

    /** Guards against a loop that one call holds for as long as the system goes on failing it. */
    @Test
    void anAcceptThatIsAbortedWithoutEndHoldsUpNobody() throws Exception {
        Play.Outcome outcome = play(fault("accept", "ECONNABORTED", 1, "any"));
        assertHeld(outcome);
        assertTrue(injected(1, "accept") > 0);
        for (int gateway = 1; gateway <= GATEWAYS; gateway++) {
            assertFalse(logOf(gateway).contains("event=loop_late") && logOf(gateway).contains("longest_task=accept"), logOf(gateway));
        }
    }

    @Test
    void anUnknownErrorIsNamedWithFileLineAndKey() {
        TomlFile.ValidationException faults = assertThrows(TomlFile.ValidationException.class, () -> PlanFile.parse("""
                [[fault]]
                kind = "system_call"
                process = "gateway-*"
                call = "accept"
                error = "ENOTCONN"
                """, "odd.toml"));
        assertTrue(faults.getMessage().contains("odd.toml:5: fault[0].error: expected one of ECONNABORTED"),
                faults.getMessage());
        faults = assertThrows(TomlFile.ValidationException.class, () -> PlanFile.parse("""
                [[fault]]
                kind = "system_call"
                process = "gateway-*"
                call = "acept"
                error = "ENFILE"
                """, "odd.toml"));
        assertTrue(faults.getMessage().contains("odd.toml:4: fault[0].call: expected one of accept, socket"),
                faults.getMessage());
        assertFalse(faults.getMessage().contains("unknown key"), faults.getMessage());
    }
}
