package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** The guarantee for cold hosts at one gateway: a host that has just started is not overloaded. */
class ColdHostTest {

    /** Guards against a cold host that is overloaded along with the warm ones: those are sent far more than they
        serve. */
    @Test
    void coldHostGetsItsPartOfWhatWarmHostsServeNotOfWhatTheyAreSent() {
        TestGateway gateway = new TestGateway().start(4);
        overload(gateway, 800);
        gateway.updateList(ListUpdateType.DELTA, TestGateway.inService(9, gateway.now));
        int before = gateway.sent.size();
        overload(gateway, 400);
        long cold = gateway.sent.stream().skip(before).filter(s -> s.address().equals("h9")).count();
        // 2 s at 10 requests served by each host a second, warm fraction 0.2 to 0.36, at most doubled by saved budget
        assertTrue(cold > 0 && cold <= 10, "sent to the cold host: " + cold);
    }

    /** Guards against more requests for a cold host that answers none: the rate of warm hosts is only a guess for
        it. */
    @Test
    void coldHostWhoseClientsGiveUpIsNotSentMore() {
        TestGateway gateway = new TestGateway().start(2);
        gateway.serve(1000, 5_000, 5_000);
        gateway.updateList(ListUpdateType.DELTA, TestGateway.inService(9, gateway.now));
        int cold = 0;
        for (int i = 0; i < 400; i++) {
            int before = gateway.sent.size();
            gateway.request("read", null, 7_000_000L + i, 1_000_000);
            gateway.advance(5_000);
            boolean toCold = gateway.sent.size() > before && gateway.lastSend().address().equals("h9");
            cold += toCold ? 1 : 0;
            if (toCold) {
                gateway.balancer.clientLeft(gateway.now, gateway.lastSend().id());
            } else {
                gateway.endAttempt(gateway.lastSend(), Outcome.DELIVERED, 5_000);
            }
        }
        assertTrue(cold > 0 && cold <= 3, "sent to the silent cold host: " + cold);
    }

    /** 200 requests a second, of which a fifth is served; the clients of the others leave. */
    private static void overload(TestGateway gateway, int requests) {
        for (int i = 0; i < requests; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(5_000);
            if (gateway.sent.size() > before && i % 5 == 0) {
                gateway.endAttempt(gateway.lastSend(), Outcome.DELIVERED, 5_000);
            } else if (gateway.sent.size() > before) {
                gateway.balancer.clientLeft(gateway.now, gateway.lastSend().id());
            }
        }
    }

    /** Guards against sessions that gather on the hosts which a release has not restarted yet: a host that is warm gets
        its full share from the first request on, though it is new to the gateway. */
    @Test
    void restartedHostsThatAreWarmGetTheirShareAtOnce() {
        TestGateway gateway = new TestGateway().start(0);
        long restarted = gateway.now;
        gateway.advance(11_000_000);
        gateway.updateList(ListUpdateType.FULL, TestGateway.inService(0, 0), TestGateway.inService(2, restarted),
                TestGateway.inService(4, restarted), TestGateway.inService(6, restarted));
        for (int i = 0; i < 80; i++) {
            gateway.request(10_000L + i);
        }
        long first = gateway.sent.stream().filter(s -> s.address().equals("h0")).count();
        assertTrue(first < 40, first + " of " + gateway.sent.size() + " on the host that was not restarted");
    }
}
