package mastdrift.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import mastdrift.common.Range;
import mastdrift.common.TomlFile;
import org.junit.jupiter.api.Test;

class DayFileTest {

    @Test
    void aFileSaysNoMoreThanDiffersFromTheSite() throws Exception {
        Plan plan = DayFile.parse("""
                name = "some"
                [fleet]
                gateways = 5
                [traffic]
                load = [0.5, 0.7]
                [[trouble]]
                kind = "zone"
                at_s = 4
                """, "some.toml");
        assertEquals("some", plan.name());
        assertEquals(5, plan.fleet().gateways());
        assertEquals(new Range(0.5, 0.7), plan.traffic().load());
        assertEquals(new Range(4, 4), plan.troubles().get(0).atS());
        assertEquals(Plan.What.ZONE, plan.troubles().get(0).what());
        assertEquals(DayFile.parse("", "empty").hosts(), plan.hosts());
        assertEquals(2, plan.classes().size());
    }

    /** Guards against a day of which a mistyped line changes nothing, and against one error told at a time. */
    @Test
    void everyFaultIsNamedWithFileLineAndKeyAllAtOnce() {
        TomlFile.ValidationException faults = assertThrows(TomlFile.ValidationException.class, () -> DayFile.parse("""
                seconds = "long"
                [fleet]
                gatways = 5
                hosts = 0
                [traffic]
                load = [0.5]
                [[trouble]]
                kind = "flood"
                [[class]]
                name = "a b"
                repeat = "safe"
                """, "bad.toml"));
        assertEquals(List.of("bad.toml:4: fleet.hosts: expected 1 to 20000, not 0",
                "bad.toml:3: fleet.gatways: unknown key; known here: gateways, hosts, hosts_per_cell, regions, start_s, zones",
                "bad.toml:6: traffic.load: expected a number or a range [from, to]",
                "bad.toml:10: class[0].name: expected a name without spaces",
                "bad.toml:8: trouble[0].kind: expected one of hang, neighbour, grow, release, join, zone, split, zone_slow, zone_full, zone_flap, region, self_cut, roll, herd, "
                + "handover, late_lists, no_lists, loss, resets", "bad.toml:1: seconds: expected a whole number"), faults.errors());
    }

    @Test
    void whatIsNoTomlIsNamedByItsLine() {
        TomlFile.ValidationException faults = assertThrows(TomlFile.ValidationException.class, () -> DayFile.parse("name = \"x\"\nseconds 4\n", "odd.toml"));
        assertTrue(faults.errors().get(0).startsWith("odd.toml:2: "), faults.getMessage());
    }

    @Test
    void theDaysThatComeWithTheLabAreDays() throws Exception {
        try (Stream<Path> days = Files.list(Path.of("days"))) {
            for (Path day : days.toList()) {
                assertEquals(day.getFileName().toString().replace(".toml", ""), DayFile.read(day).name());
            }
        }
    }
}
