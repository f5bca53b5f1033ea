package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import mastdrift.common.Json;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Evacuation and return of zones; three zones of ten hosts each, in log time. */
class EvacuationsTest {

    private Catalogue catalogue = new Catalogue();

    private Catalogue.Applied apply(String name, Object... facts) {
        return catalogue.apply(Catalogue.command(name, facts));
    }

    private void put(String zone, int number) {
        assertEquals(200, apply("put", "entry", Map.of("uid", zone + number, "endpoint", "127.0.0.1:9", "az", zone)).status());
    }

    private void pass(long millis) {
        for (long left = millis; left > 0; left -= 250) {
            apply("tick", "elapsed", 250);
        }
    }

    private long out(String zone) {
        return catalogue.shown().stream().filter(entry -> entry.get("az").equals(zone) && entry.get("state").equals("terminating"))
                .count();
    }

    @BeforeEach
    void threeZones() {
        for (String zone : new String[] {"a", "b", "c"}) {
            for (int i = 0; i < 10; i++) {
                put(zone, i);
            }
        }
    }

    /** Guards against a gradual evacuation that happens at once, and against a zone that returns because hosts register
        again or a replica restarts. */
    @Test
    void aZoneGoesStepByStepAndStaysOutUntilItIsToReturn() {
        assertEquals(200, apply("evacuate", "zone", "b", "over_ms", 10_000).status());
        assertEquals(0, out("b"));
        pass(5_000);
        assertEquals(5, out("b"));
        pass(5_000);
        assertEquals(10, out("b"));
        put("b", 3);
        put("b", 77);
        assertEquals(11, out("b"));
        Catalogue other = new Catalogue();
        other.restore(Json.parse(Json.encode(catalogue.state()).getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        catalogue = other;
        put("b", 4);
        assertEquals(11, out("b"));
        assertEquals(200, apply("return", "zone", "b", "over_ms", 4_000).status());
        pass(2_000);
        assertTrue(out("b") > 0 && out("b") < 11, "still terminating: " + out("b"));
        pass(2_000);
        assertEquals(0, out("b"));
        assertEquals(0, catalogue.zonesMoved());
    }

    /** Guards against evacuating a second zone when too little capacity would remain. */
    @Test
    void whatTheRestCanNotCarryIsRefusedUnlessForced() {
        assertEquals(200, apply("evacuate", "zone", "a").status());
        Catalogue.Applied second = apply("evacuate", "zone", "b");
        assertEquals(409, second.status());
        assertTrue(second.answer().get("error").toString().contains("33%"), second.answer().toString());
        assertEquals(0, out("b"));
        assertEquals(200, apply("evacuate", "zone", "b", "force", true).status());
        assertEquals(10, out("b"));
        assertEquals(400, apply("evacuate", "zone", "nowhere").status());
    }

    /** Guards against a return that puts hosts back into service which operators had drained. */
    @Test
    void whatStaffDrainStaysDrained() {
        apply("drain", "uid", "c1");
        apply("evacuate", "zone", "c");
        apply("drain", "uid", "c2");
        apply("return", "zone", "c");
        assertEquals(2, out("c"));
    }

    /** Guards against an evacuation by a holder whose duty went to another process. */
    @Test
    void anOlderTokenMovesNoZone() {
        apply("acquire", "duty", "keeper", "who", "one", "span", 1000);
        apply("release", "duty", "keeper", "who", "one", "token", 1);
        apply("acquire", "duty", "keeper", "who", "two", "span", 1000);
        assertEquals(412, apply("evacuate", "zone", "a", "duty", "keeper", "token", 1).status());
        assertEquals(200, apply("evacuate", "zone", "a", "duty", "keeper", "token", 2).status());
    }
}
