package mastdrift.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Short runs of plans with real processes. Verdicts depend on what happened, not on how long it took. */
class TestRunTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @TempDir
    private Path folder;

    private TestRun.Result run(String text, long seed, String variant) throws Exception {
        RigPlan plan = PlanFile.parse(text, "test.toml");
        return TestRun.run(plan, seed, FaultSchedule.draw(plan, TestBed.names(plan), seed),
                new TestBed.Options(ROOT, false, variant), 0, folder.resolve("seed-" + seed));
    }

    private static final String GATEWAY_PLAN = """
            name = "few"
            seconds = 5
            settle_s = 0
            [gateways]
            count = 2
            [hosts]
            count = 3
            [load]
            rate = 60
            [[fault]]
            kind = "cut"
            from = "gateway-*"
            to = "host-a-*"
            way = "back"
            at_s = 0.5
            for_s = 1
            [[fault]]
            kind = "kill"
            process = "gateway-*"
            pick = 1
            at_s = 2
            for_s = 0.2
            [[fault]]
            kind = "freeze"
            process = "gateway-1"
            at_s = 1
            for_s = 0.5
            """;

    @Test
    void gatewaysKeepTheRulesAndTheReportShowsFaults() throws Exception {
        TestRun.Result result = run(GATEWAY_PLAN, 1, BrokenVariants.NONE);
        assertTrue(result.held(), result.verdicts().toString());
        assertTrue((Integer) result.figures().get("served") > 0, result.figures().toString());
        Report.write(folder, folder.resolve("report.html"));
        String page = Files.readString(folder.resolve("report.html"), StandardCharsets.UTF_8);
        assertTrue(page.contains("\"kind\":\"freeze\"") && page.contains("served_share"));
    }

    private static final String REGISTRY_PLAN = """
            name = "list"
            seconds = 6
            settle_s = 0
            check = ["linearizable", "acknowledged", "watches"]
            [registry]
            replicas = 3
            [work]
            writers = 4
            entries = 3
            watchers = 3
            rate = 30
            [[fault]]
            kind = "kill"
            process = "@leader"
            at_s = 1
            for_s = 1
            [[fault]]
            kind = "refuse"
            from = "clients"
            to = "registry-*"
            at_s = 4
            for_s = 0.2
            """;

    @Test
    void listServiceLosesNothingWhenItsLeaderIsKilled() throws Exception {
        TestRun.Result result = run(REGISTRY_PLAN, 2, BrokenVariants.NONE);
        assertTrue(result.held(), result.verdicts().toString());
        assertTrue((Integer) result.figures().get("writes") > 20, result.figures().toString());
    }

    @Test
    void gatewayFedByListServiceServesWhileLeaderIsKilled() throws Exception {
        TestRun.Result result = run("""
                name = "fed"
                seconds = 5
                settle_s = 0
                [gateways]
                count = 1
                agents = true
                [hosts]
                count = 2
                zones = ["a"]
                [registry]
                replicas = 3
                [load]
                rate = 30
                [[fault]]
                kind = "kill"
                process = "@leader"
                at_s = 1
                for_s = 1
                [[fault]]
                kind = "replace"
                process = "host-a-2"
                at_s = 2
                for_s = 1
                """, 4, BrokenVariants.NONE);
        assertTrue(result.held(), result.verdicts().toString());
        assertTrue((Integer) result.figures().get("served") > 0, result.figures().toString());
    }

    /** One member is killed for good and one is frozen briefly: only the first may be removed, and all others must
        agree. */
    @Test
    void membersAgreeOnAKilledMember() throws Exception {
        TestRun.Result result = run("""
                name = "present"
                seconds = 4
                settle_s = 0
                check = ["members"]
                [registry]
                replicas = 1
                [members]
                count = 6
                [[fault]]
                kind = "kill"
                process = "member-a-2"
                back = "never"
                at_s = 0.5
                [[fault]]
                kind = "freeze"
                process = "member-b-1"
                at_s = 1
                for_s = 0.5
                """, 5, BrokenVariants.NONE);
        assertTrue(result.held(), result.verdicts().toString());
    }

    @Test
    void revisionAssignedTwiceIsDetected() throws Exception {
        TestRun.Result result = run(REGISTRY_PLAN, 3, BrokenVariants.REVISION_REUSED);
        assertFalse(result.held(), result.verdicts().toString());
    }

    /** Guards against processes that outlive a rig that was killed: the process reaper must end them. */
    @Test
    void processesEndWhenTheRigIsKilled() throws Exception {
        Path pid = folder.resolve("pid");
        Process rig = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), KilledRig.class.getName(), pid.toString()).inheritIO().start();
        for (int i = 0; i < 6000 && !(Files.exists(pid) && Files.size(pid) > 0); i++) {
            Thread.sleep(10);
        }
        ProcessHandle child = ProcessHandle.of(Long.parseLong(Files.readString(pid).strip())).orElseThrow();
        assertTrue(child.isAlive());
        rig.destroyForcibly();
        child.onExit().get(1, TimeUnit.MINUTES);
        assertFalse(child.isAlive());
    }

    /** Main class of a rig that starts a long-running process and waits to be killed. */
    static final class KilledRig {

        public static void main(String[] args) throws IOException, InterruptedException {
            Path folder = Path.of(args[0]).getParent();
            ManagedProcess process = new ManagedProcess(new ManagedProcess.Spec("long", List.of("sleep", "600"),
                    java.util.Map.of(), folder.resolve("long"), folder), new ProcessReaper());
            process.start();
            Path partFile = Path.of(args[0] + ".part");
            Files.writeString(partFile, Long.toString(process.pid()));
            Files.move(partFile, Path.of(args[0]));
            Thread.sleep(600_000);
        }
    }

    @Test
    void misuseExitsWithItsOwnStatus() throws Exception {
        Path plan = folder.resolve("odd.toml");
        Files.writeString(plan, "nmae = \"x\"\n");
        StringWriter err = new StringWriter();
        assertEquals(Rig.MISUSED, Rig.run(new String[] {"run", plan.toString()}, new PrintWriter(new StringWriter()),
                new PrintWriter(err)));
        assertTrue(err.toString().contains("odd.toml:1: nmae: unknown key"), err.toString());
        Files.writeString(plan, "name = \"x\"\n");
        assertEquals(Rig.MISUSED, Rig.run(new String[] {"run", plan.toString(), "--broken", "luck"},
                new PrintWriter(new StringWriter()), new PrintWriter(err)));
        assertTrue(err.toString().contains("--broken: expected one of repeats-anywhere"), err.toString());
    }
}
