package mastdrift.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import mastdrift.common.TomlFile;
import org.junit.jupiter.api.Test;

/** Tests the reading of plans and the drawing of faults. */
class PlanTest {

    private static final String PLAN = """
            name = "some"
            [gateways]
            count = 4
            [hosts]
            count = 6
            [load]
            rate = 100
            [[fault]]
            kind = "cut"
            from = "gateway-1|gateway-2"
            to = "host-a-*"
            way = "back"
            at_s = [1, 3]
            [[fault]]
            kind = "kill"
            process = "gateway-*"
            pick = 2
            times = 2
            """;

    @Test
    void sameSeedDrawsSameFaults() throws Exception {
        RigPlan plan = PlanFile.parse(PLAN, "some.toml");
        List<String> names = TestBed.names(plan);
        List<Fault> faults = FaultSchedule.draw(plan, names, 7);
        assertEquals(faults, FaultSchedule.draw(PlanFile.parse(PLAN, "some.toml"), names, 7));
        assertNotEquals(faults, FaultSchedule.draw(plan, names, 8));
        assertEquals(3, faults.size());
        assertEquals(List.of("gateway-1", "gateway-2"), faults.get(0).processes());
        assertEquals(List.of("host-a-1", "host-a-2"), faults.get(0).targets());
        assertEquals(Link.Way.BACK, faults.get(0).direction());
        assertEquals(2, faults.get(1).processes().size());
    }

    /** Guards against a fault added to a plan that changes what earlier faults draw: the plan's seeds would lose their
        meaning. */
    @Test
    void addedFaultChangesNoOther() throws Exception {
        RigPlan plan = PlanFile.parse(PLAN, "some.toml");
        RigPlan more = PlanFile.parse(PLAN + "[[fault]]\nkind = \"freeze\"\nprocess = \"gateway-*\"\n", "more.toml");
        assertEquals(FaultSchedule.draw(plan, TestBed.names(plan), 3), FaultSchedule.draw(more, TestBed.names(more), 3)
                .subList(0, 3));
    }

    @Test
    void allErrorsAreReportedWithTheirLines() {
        TomlFile.ValidationException exception =
                assertThrows(TomlFile.ValidationException.class, () -> PlanFile.parse("""
                name = "odd"
                relay = false
                check = ["rules", "luck"]
                [load]
                rate = 5
                [[fault]]
                kind = "cut"
                from = "gateway-*"
                [[fault]]
                kind = "melt"
                [[fault]]
                kind = "kill"
                process = "gateway-1"
                when = "("
                pikc = 2
                """, "odd.toml"));
        String all = exception.getMessage();
        for (String part : List.of("odd.toml:5: load.rate: needs [gateways] and [hosts]",
                "odd.toml:3: check: expected some of", "odd.toml:7: fault[0].kind: needs from and to",
                "odd.toml:7: fault[0].kind: needs links", "odd.toml:10: fault[1].kind: expected one of cut",
                "odd.toml:14: fault[2].when: expected a regular expression", "odd.toml:15: fault[2].pikc: unknown key")) {
            assertEquals(true, all.contains(part), part + " is not in:\n" + all);
        }
    }
}
