package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import mastdrift.common.Json;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Evacuation and return of zones; three zones of ten hosts each, in log time. */
class ZoneEvacuationsTest {

    private RegistryState state = new RegistryState();

    private RegistryState.CommandResult apply(String name, Object... fields) {
        return state.apply(RegistryState.command(name, fields));
    }

    private void put(String zone, int number) {
        assertEquals(200, apply("put", "entry", Map.of("uid", zone + number, "endpoint", "127.0.0.1:9", "az", zone))
                .status());
    }

    private void advance(long millis) {
        for (long remaining = millis; remaining > 0; remaining -= 250) {
            apply("tick", "elapsed", 250);
        }
    }

    private long terminatingCount(String zone) {
        return state.entries().stream().filter(entry -> entry.get("az").equals(zone)
                && entry.get("state").equals("terminating"))
                .count();
    }

    @BeforeEach
    void putThreeZones() {
        for (String zone : new String[] {"a", "b", "c"}) {
            for (int i = 0; i < 10; i++) {
                put(zone, i);
            }
        }
    }

    /** Guards against a gradual evacuation that happens at once, and against a zone that returns because hosts register
        again or a replica restarts. */
    @Test
    void anEvacuationIsGradualAndLastsUntilTheReturn() {
        assertEquals(200, apply("evacuate", "zone", "b", "over_ms", 10_000).status());
        assertEquals(0, terminatingCount("b"));
        advance(5_000);
        assertEquals(5, terminatingCount("b"));
        advance(5_000);
        assertEquals(10, terminatingCount("b"));
        put("b", 3);
        put("b", 77);
        assertEquals(11, terminatingCount("b"));
        RegistryState restored = new RegistryState();
        restored.restore(Json.parse(Json.encode(state.state()).getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        state = restored;
        put("b", 4);
        assertEquals(11, terminatingCount("b"));
        assertEquals(200, apply("return", "zone", "b", "over_ms", 4_000).status());
        advance(2_000);
        assertTrue(terminatingCount("b") > 0 && terminatingCount("b") < 11, "still terminating: "
                + terminatingCount("b"));
        advance(2_000);
        assertEquals(0, terminatingCount("b"));
        assertEquals(0, state.evacuatedZoneCount());
    }

    /** Guards against evacuating a second zone when too little capacity would remain. */
    @Test
    void anEvacuationThatLeavesTooLittleCapacityIsRefusedUnlessForced() {
        assertEquals(200, apply("evacuate", "zone", "a").status());
        RegistryState.CommandResult second = apply("evacuate", "zone", "b");
        assertEquals(409, second.status());
        assertTrue(second.answer().get("error").toString().contains("33%"), second.answer().toString());
        assertEquals(0, terminatingCount("b"));
        assertEquals(200, apply("evacuate", "zone", "b", "force", true).status());
        assertEquals(10, terminatingCount("b"));
        assertEquals(400, apply("evacuate", "zone", "nowhere").status());
    }

    /** Guards against a return that puts hosts back into service which operators had drained. */
    @Test
    void entriesDrainedByOperatorsStayDrainedAfterTheReturn() {
        apply("drain", "uid", "c1");
        apply("evacuate", "zone", "c");
        apply("drain", "uid", "c2");
        apply("return", "zone", "c");
        assertEquals(2, terminatingCount("c"));
    }

    /** Guards against an evacuation by a holder whose duty went to another process. */
    @Test
    void anOlderTokenCannotEvacuateAZone() {
        apply("acquire", "duty", "keeper", "who", "one", "span", 1000);
        apply("release", "duty", "keeper", "who", "one", "token", 1);
        apply("acquire", "duty", "keeper", "who", "two", "span", 1000);
        assertEquals(412, apply("evacuate", "zone", "a", "duty", "keeper", "token", 1).status());
        assertEquals(200, apply("evacuate", "zone", "a", "duty", "keeper", "token", 2).status());
    }
}
