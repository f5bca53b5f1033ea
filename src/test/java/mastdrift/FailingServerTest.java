package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.stream.Collectors;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Which failures exclude a server from the eligible set (S*), and which don't. */
class FailingServerTest {

    /** Guards against a server that loses its share by one failure, which is a fifth of its few attempts. */
    @Test
    void oneFailureAmongFewAttemptsDoesNotExcludeAServer() {
        TestGateway gateway = new TestGateway().start(4);
        gateway.serve(8, 20_000, 10_000);
        gateway.request(null);
        String unlucky = gateway.lastSend().address();
        gateway.endAttempt(gateway.lastSend(), Outcome.ERROR);
        assertTrue(fractionOfNextRequests(gateway, unlucky) > 0.1);
    }

    /** Guards against a server that keeps its share though half of its attempts fail. */
    @Test
    void aServerThatFailsHalfOfItsAttemptsIsExcluded() {
        TestGateway gateway = new TestGateway().start(4);
        requestsWithFailures(gateway, "h1", 400, 2);
        assertTrue(fractionOfNextRequests(gateway, "h1") < 0.03);
    }

    /** Guards against an S* that shrinks to a few servers, which are then overloaded, when all servers fail alike. */
    @Test
    void failuresOfTheWholeFleetExcludeNoServer() {
        TestGateway gateway = new TestGateway().start(8);
        requestsWithFailures(gateway, "h", 600, 4);
        Map<String, Long> sends = gateway.sent.stream().skip(300)
                .collect(Collectors.groupingBy(TestGateway.Sent::address, Collectors.counting()));
        assertEquals(8, sends.size());
        assertTrue(sends.values().stream().allMatch(n -> n > 10), sends.toString());
    }

    /** Guards against a server that fails everything and gets traffic because it has no latencies, while in an overload
        all servers fail some attempts. */
    @Test
    void aServerThatFailsEverythingIsNoBlackHoleWhenOthersFailToo() {
        TestGateway gateway = new TestGateway().start(8);
        int toBlackHole = 0;
        for (int i = 0; i < 900; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                TestGateway.Sent send = gateway.sent.get(before);
                boolean isBlackHole = send.address().equals("h3");
                gateway.endAttempt(send, isBlackHole || i % 2 == 0 ? Outcome.ERROR : Outcome.DELIVERED,
                        isBlackHole ? 1_000 : 20_000);
                gateway.balancer.clientLeft(gateway.now, send.id());
                toBlackHole += isBlackHole && i >= 600 ? 1 : 0;
            }
        }
        assertTrue(toBlackHole < 28, "sent to the black hole: " + toBlackHole + " of 300");
    }

    /** Sends requests; every {@code nth} attempt at a host whose address has that prefix times out. */
    private static void requestsWithFailures(TestGateway gateway, String prefix, int requests, int nth) {
        int[] attempts = new int[1];
        for (int i = 0; i < requests; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                TestGateway.Sent send = gateway.sent.get(before);
                boolean fails = send.address().startsWith(prefix) && attempts[0]++ % nth == 0;
                gateway.endAttempt(send, fails ? Outcome.EXPIRED : Outcome.DELIVERED, 10_000);
                if (fails) {
                    gateway.balancer.clientLeft(gateway.now, send.id());
                }
            }
        }
    }

    /** The fraction of the next 200 requests that goes to the host. */
    private static double fractionOfNextRequests(TestGateway gateway, String address) {
        int before = gateway.sent.size();
        gateway.serve(200, 5_000, 5_000);
        return gateway.sent.stream().skip(before).filter(s -> s.address().equals(address)).count() / 200.0;
    }
}
