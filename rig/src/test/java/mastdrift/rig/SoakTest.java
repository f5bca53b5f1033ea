package mastdrift.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak test: the plan of the soak with a few seeds, some of which exhaust the gateways' descriptors. */
class SoakTest {

    private static final long SEED_THAT_EXHAUSTS_DESCRIPTORS = 9;
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @TempDir
    private Path folder;

    private static RigPlan plan() throws Exception {
        return PlanFile.read(ROOT.resolve("rig/plans/soak.toml"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, SEED_THAT_EXHAUSTS_DESCRIPTORS, 45})
    void gatewaysKeepTheRulesUnderAllFaults(long seed) throws Exception {
        RigPlan plan = plan();
        TestRun.Result result = TestRun.run(plan, seed, FaultSchedule.draw(plan, TestBed.names(plan), seed),
                new TestBed.Options(ROOT, false, BrokenVariants.NONE), 0, folder);
        assertTrue(result.held(), result.verdicts().toString());
        assertTrue((Integer) result.figures().get("served") > 0, result.figures().toString());
    }

    /** Guards against a soak in which no seed exhausts the gateways' descriptors any more. */
    @Test
    void someSeedsExhaustDescriptors() throws Exception {
        RigPlan.Load load = plan().load();
        assertTrue(new BadClients(null, load, SEED_THAT_EXHAUSTS_DESCRIPTORS, new History()).exhaustsDescriptors());
        assertFalse(new BadClients(null, load, 1, new History()).exhaustsDescriptors());
    }

    @Test
    void seedsDrawDifferentFaultsAndDeadlines() throws Exception {
        RigPlan plan = plan();
        List<String> names = TestBed.names(plan);
        assertEquals(FaultSchedule.draw(plan, names, 1), FaultSchedule.draw(plan, names, 1));
        assertFalse(FaultSchedule.draw(plan, names, 1).equals(FaultSchedule.draw(plan, names, 2)));
        assertFalse(plan.load().deadlineMillis(1) == plan.load().deadlineMillis(2));
    }

    /** A stopped gateway must get its longest deadline and 0.7 s before it is killed. */
    @Test
    void stopIsFollowedByKillAtTheEarliestTime() throws Exception {
        RigPlan plan = plan();
        for (long seed = 1; seed <= 20; seed++) {
            double earliest = plan.load().deadlineMillis(seed) + 700;
            FaultSchedule.draw(plan, TestBed.names(plan), seed).stream()
                    .filter(fault -> fault.kind() == Fault.Kind.STOP)
                    .forEach(fault -> assertEquals(earliest, fault.magnitude()));
        }
    }
}
