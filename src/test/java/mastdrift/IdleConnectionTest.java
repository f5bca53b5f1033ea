package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Connections that are lost unnoticed once they have been idle for a while. */
class IdleConnectionTest {

    private final TestGateway gateway = new TestGateway().start(20);
    private final Map<String, Long> usedAt = new HashMap<>();

    /** Sends a request after each pause; what is sent on a connection idle for over a second ends with the given
        outcome. Returns the number of losses. */
    private int requestAfterPauses(int times, long pause, Outcome lossOutcome) {
        int lost = 0;
        for (int i = 0; i < times; i++) {
            gateway.closedAddresses.clear();
            gateway.advance(pause);
            for (TestGateway.Sent send : gateway.sendsOf(gateway.request(null))) {
                gateway.closedAddresses.forEach(usedAt::remove);
                boolean dead = gateway.now - usedAt.getOrDefault(send.address(), gateway.now) > 1_000_000;
                usedAt.put(send.address(), gateway.now);
                lost += dead ? 1 : 0;
                gateway.endAttempt(send, dead ? lossOutcome : Outcome.DELIVERED, 20_000);
            }
        }
        return lost;
    }

    /** Guards against requests that are lost again and again on connections that a firewall has dropped. */
    @Test
    void connectionsIdleAsLongAsLostOnesAreClosedBeforeASend() {
        assertTrue(requestAfterPauses(40, 100_000, Outcome.DROPPED) > 1);
        assertTrue(requestAfterPauses(100, 100_000, Outcome.DROPPED) < 10);
        gateway.closedAddresses.clear();
        requestAfterPauses(20, 1_000, Outcome.DROPPED);
        assertTrue(gateway.closedAddresses.size() < 20, "busy connections were closed");
    }

    /** Guards against losses that aren't counted because the request expires instead of failing at once. */
    @Test
    void requestsThatExpireOnIdleConnectionsCountAsLosses() {
        assertTrue(requestAfterPauses(40, 100_000, Outcome.EXPIRED) > 1);
        assertTrue(requestAfterPauses(100, 100_000, Outcome.EXPIRED) < 10);
    }

    /** Guards against needless handshakes: where busy connections lose as much, idleness is not the cause. Few of the
        200 sends may close a connection. */
    @Test
    void lossesOnBusyConnectionsTooCloseNoIdleOnes() {
        for (int i = 0; i < 100; i++) {
            gateway.advance(200_000);
            long one = gateway.request((long) i % 10);
            long two = gateway.request((long) i % 10);
            for (long id : new long[] {two, one}) {
                for (TestGateway.Sent send : gateway.sendsOf(id)) {
                    gateway.endAttempt(send, i % 5 == 0 ? Outcome.DROPPED : Outcome.DELIVERED, 20_000);
                }
            }
        }
        assertTrue(gateway.closedAddresses.size() < 60, "closed " + gateway.closedAddresses.size());
    }
}
