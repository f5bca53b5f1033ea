package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** The response time threshold (theta) and the eligible set (S*). */
class ThresholdTest {

    /** Guards against slower hosts that are excluded from S* though they answer in time, with three times the median
        p95. */
    @Test
    void serversThatAnswerInTimeStayEligible() {
        assertTrue(slowHostFraction(120_000) > 0.1);
    }

    /** Guards against requests for a server that answers after the deadline. */
    @Test
    void aServerSlowerThanTheDeadlineIsExcluded() {
        assertEquals(0, slowHostFraction(1_100_000), 0.04);
    }

    /** Three hosts answer in 20 to 40 ms, h3 in the given time; the deadline is 1 s. Returns the fraction sent to
        h3. */
    private static double slowHostFraction(long slow) {
        TestGateway gateway = new TestGateway().start(4);
        Map<String, Long> latency = Map.of("h0", 20_000L, "h1", 40_000L, "h2", 20_000L, "h3", slow);
        int counted = 0;
        for (int i = 0; i < 600; i++) {
            int before = gateway.sent.size();
            gateway.request("read", null, gateway.now, 3_000_000);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                TestGateway.Sent send = gateway.lastSend();
                gateway.endAttempt(send, Outcome.DELIVERED, latency.get(send.address()));
                counted += i >= 400 && send.address().equals("h3") ? 1 : 0;
            }
        }
        return counted / 200.0;
    }
}
