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

    private static final long CROWDED = 9;
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @TempDir
    private Path folder;

    private static RigPlan plan() throws Exception {
        return PlanFile.read(ROOT.resolve("rig/plans/soak.toml"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, CROWDED, 45})
    void gatewaysKeepTheRulesUnderAllFaults(long seed) throws Exception {
        RigPlan plan = plan();
        Play.Outcome outcome = Play.of(plan, seed, Draw.faults(plan, Stage.names(plan), seed),
                new Stage.Setting(ROOT, false, Variants.NONE), 0, folder);
        assertTrue(outcome.held(), outcome.verdicts().toString());
        assertTrue((Integer) outcome.figures().get("served") > 0, outcome.figures().toString());
    }

    /** Guards against a soak in which no seed exhausts the gateways' descriptors any more. */
    @Test
    void someSeedsHaveACrowd() throws Exception {
        RigPlan.Load load = plan().load();
        assertTrue(new BadClients(null, load, CROWDED, new History()).crowd());
        assertFalse(new BadClients(null, load, 1, new History()).crowd());
    }

    @Test
    void eachSeedDrawsFaultsAndADeadlineOfItsOwn() throws Exception {
        RigPlan plan = plan();
        List<String> names = Stage.names(plan);
        assertEquals(Draw.faults(plan, names, 1), Draw.faults(plan, names, 1));
        assertFalse(Draw.faults(plan, names, 1).equals(Draw.faults(plan, names, 2)));
        assertFalse(plan.load().deadlineMs(1) == plan.load().deadlineMs(2));
    }

    /** A stopped gateway must get its longest deadline and 0.7 s before it is killed. */
    @Test
    void aStopIsFollowedByAKillAtTheEarliest() throws Exception {
        RigPlan plan = plan();
        for (long seed = 1; seed <= 20; seed++) {
            double earliest = plan.load().deadlineMs(seed) + 700;
            Draw.faults(plan, Stage.names(plan), seed).stream().filter(fault -> fault.kind() == Fault.Kind.STOP)
                    .forEach(fault -> assertEquals(earliest, fault.size()));
        }
    }
}
