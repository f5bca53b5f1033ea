package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import mastdrift.common.Json;
import org.junit.jupiter.api.Test;

/** Which discovery lines an agent accepts, and what it passes on. */
class AgentListTest {

    private final AgentList list = new AgentList();

    private static String line(long rev, boolean full, String... uids) {
        return Json.encode(Map.of("rev", rev, "all", full, "targets", java.util.Arrays.stream(uids).map(uid -> {
            String[] parts = uid.split(" ");
            return Map.of("uid", parts[0], "endpoint", "127.0.0.1:9", "state", parts.length > 1 ? parts[1]
                    : "in_service");
        }).toList()));
    }

    @Test
    void olderEmptyAndMalformedListsAreRefused() {
        assertEquals(AgentList.ApplyResult.NEWER, list.apply(line(5, true, "a", "b")));
        assertEquals(AgentList.ApplyResult.OLDER, list.apply(line(4, true, "a")));
        assertEquals(AgentList.ApplyResult.EMPTY, list.apply(line(9, true)));
        assertEquals(AgentList.ApplyResult.SAME, list.apply(line(5, false)));
        for (String malformed : List.of("{\"rev\":9", "{}", "[1]", "{\"rev\":9,\"all\":true,\"targets\":[{}]}",
                "{\"rev\":9,\"all\":true,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"x\"}]}")) {
            assertEquals(AgentList.ApplyResult.SPOILT, list.apply(malformed), malformed);
        }
        assertEquals(2, list.size());
        assertEquals(5, list.rev());
    }

    /** Guards against a gateway that resumes a watch and keeps hosts that a later full list no longer contains. */
    @Test
    void aFullListIsPassedOnAsItsChanges() {
        list.apply(line(5, true, "a", "b"));
        list.apply(line(8, true, "b", "c"));
        Map<String, Object> update = Json.parse(list.updateSince(5).json());
        assertEquals(false, update.get("all"));
        assertEquals(List.of("c in_service", "a terminated"), ((List<?>) update.get("targets")).stream().map(each ->
                ((Map<?, ?>) each).get("uid") + " " + ((Map<?, ?>) each).get("state")).toList());
    }

    @Test
    void aSavedListIsReadBack() {
        list.apply(line(5, true, "a", "b terminating"));
        list.apply(line(6, false, "a terminated"));
        AgentList loaded = new AgentList();
        assertEquals(AgentList.ApplyResult.NEWER, loaded.apply(new String(list.encode(), StandardCharsets.UTF_8)));
        assertEquals(6, loaded.rev());
        assertEquals(list.updateSince(0), loaded.updateSince(0));
    }
}
