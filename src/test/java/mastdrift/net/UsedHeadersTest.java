package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is kept of a request's headers. */
class UsedHeadersTest {

    private final HttpHeaders headers = UsedHeaders.FACTORY.newHeaders();

    /** Guards against heads of very many short fields, which took some hundred bytes of the heap for each. */
    @Test
    void leavesOutWhatIsNotUsed() {
        for (int i = 0; i < 2000; i++) {
            headers.add("a" + i % 7, "");
        }
        headers.add("x-trace-ID", "9b1f");
        assertEquals(1, headers.size());
        assertEquals("9b1f", headers.get("X-Trace-Id"));
    }

    @Test
    void keepsAllLinesOfWhatIsUsed() {
        headers.add("Connection", "keep-alive").add("connection", "close").add("X-Qos", "once").add("X-Size-Hint", "3")
                .add("X-Second-Try", "1").add("Content-Encoding", "gzip").add("Expect", "100-continue").add("X-Never-Ran", "1")
                .add("Endpoint-Load-Metrics", "TEXT queue=2");
        assertEquals(9, headers.size());
        assertEquals(List.of("keep-alive", "close"), headers.getAll("Connection"));
        assertTrue(headers.contains("x-second-try"));
    }

    @Test
    void rejectsTooManyLinesOfWhatIsUsed() {
        for (int i = 0; i < UsedHeaders.MAX_LINES; i++) {
            headers.add("Connection", "a");
        }
        assertThrows(IllegalArgumentException.class, () -> headers.add("Connection", "a"));
    }

    /** A line that is left out is checked like the others: it might be meant as something else. */
    @Test
    void rejectsInvalidLinesOfWhatIsNotUsed() {
        assertThrows(IllegalArgumentException.class, () -> headers.add("not a name", "x"));
        assertThrows(IllegalArgumentException.class, () -> headers.add("X-Other", "a\r\nb: c"));
        assertFalse(headers.contains("X-Other"));
    }
}
