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

    private static String line(long rev, boolean all, String... uids) {
        return Json.encode(Map.of("rev", rev, "all", all, "targets", java.util.Arrays.stream(uids).map(uid -> {
            String[] parts = uid.split(" ");
            return Map.of("uid", parts[0], "endpoint", "127.0.0.1:9", "state", parts.length > 1 ? parts[1] : "in_service");
        }).toList()));
    }

    @Test
    void whatIsOlderEmptyOrSpoiltIsNotLetIn() {
        assertEquals(AgentList.Taken.NEWER, list.take(line(5, true, "a", "b")));
        assertEquals(AgentList.Taken.OLDER, list.take(line(4, true, "a")));
        assertEquals(AgentList.Taken.EMPTY, list.take(line(9, true)));
        assertEquals(AgentList.Taken.SAME, list.take(line(5, false)));
        for (String spoilt : List.of("{\"rev\":9", "{}", "[1]", "{\"rev\":9,\"all\":true,\"targets\":[{}]}",
                "{\"rev\":9,\"all\":true,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"x\"}]}")) {
            assertEquals(AgentList.Taken.SPOILT, list.take(spoilt), spoilt);
        }
        assertEquals(2, list.size());
        assertEquals(5, list.rev());
    }

    /** Guards against a gateway that resumes a watch and keeps hosts that a later full list no longer contains. */
    @Test
    void aWholeListIsToldAsWhatItChanged() {
        list.take(line(5, true, "a", "b"));
        list.take(line(8, true, "b", "c"));
        Map<String, Object> news = Json.parse(list.since(5).text());
        assertEquals(false, news.get("all"));
        assertEquals(List.of("c in_service", "a terminated"), ((List<?>) news.get("targets")).stream().map(each ->
                ((Map<?, ?>) each).get("uid") + " " + ((Map<?, ?>) each).get("state")).toList());
    }

    @Test
    void whatWentToItsFileIsReadBack() {
        list.take(line(5, true, "a", "b terminating"));
        list.take(line(6, false, "a terminated"));
        AgentList other = new AgentList();
        assertEquals(AgentList.Taken.NEWER, other.take(new String(list.bytes(), StandardCharsets.UTF_8)));
        assertEquals(6, other.rev());
        assertEquals(list.since(0), other.since(0));
    }
}
