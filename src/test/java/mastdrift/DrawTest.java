package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** The choice of a server by shares and keys. */
class DrawTest {

    /** Guards against gateways that send a key to different servers because their lists are ordered differently. */
    @Test
    void orderOfTheListDoesNotChangeTheServerOfAKey() {
        assertEquals(addressesByKey(hosts(40), 300), addressesByKey(reversed(hosts(40)), 300));
    }

    /** Guards against a removed host that moves the keys of other hosts too. */
    @Test
    void aRemovedHostMovesFewKeysOfOtherHosts() {
        Map<Long, String> all = addressesByKey(hosts(33), 1000);
        Map<Long, String> less = addressesByKey(hosts(32), 1000);
        long moved = all.entrySet().stream()
                .filter(e -> !e.getValue().equals("h32") && !e.getValue().equals(less.get(e.getKey()))).count();
        assertTrue(moved < 80, "moved " + moved);
    }

    /** Guards against uneven parts in a small fleet, and against requests for which no server is drawn. */
    @Test
    void equalSharesGetEqualPartsAndEveryRequestIsSent() {
        Map<String, Long> sends = addressesByKey(hosts(3), 3000).values().stream()
                .collect(Collectors.groupingBy(h -> h, Collectors.counting()));
        assertEquals(3000, sends.values().stream().mapToLong(n -> n).sum());
        assertTrue(sends.values().stream().allMatch(n -> n > 900 && n < 1100), sends.toString());
    }

    private static List<Host> hosts(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(TestGateway.inService(i, 0));
        }
        return hosts;
    }

    private static List<Host> reversed(List<Host> hosts) {
        Collections.reverse(hosts);
        return hosts;
    }

    private static Map<Long, String> addressesByKey(List<Host> hosts, int keys) {
        TestGateway gateway = new TestGateway();
        gateway.balancer.start(gateway.now, gateway.settings(), gateway);
        gateway.balancer.hostListReceived(gateway.now, ListUpdateType.CACHED, hosts);
        for (long key = 0; key < keys; key++) {
            gateway.request(key);
            gateway.endAttempt(gateway.lastSend(), Outcome.DELIVERED, 10_000);
        }
        return gateway.sent.stream().collect(Collectors.toMap(s -> s.id() - 1, TestGateway.Sent::address));
    }

    /** Guards against a popular key that overloads its server: half of the requests have it, though at a quiet gateway
        few are in flight at any time. */
    @Test
    void aPopularKeyIsSpreadThoughFewAttemptsAreInFlight() {
        TestGateway gateway = new TestGateway().start(20);
        for (int i = 0; i < 400; i++) {
            gateway.request(i % 2 == 0 ? 7L : 1_000L + i);
            gateway.advance(100_000);
            gateway.endAttempt(gateway.lastSend(), Outcome.DELIVERED, 20_000);
        }
        long most = gateway.sent.stream().collect(Collectors.groupingBy(TestGateway.Sent::address,
                Collectors.counting())).values().stream().max(Long::compare).orElse(0L);
        assertTrue(most < 100, "to one server " + most + " of 400");
    }

    /** Guards against needless traffic between zones, and against an own zone that gets everything. */
    @Test
    void theOwnZoneGetsMoreThanAnother() {
        TestGateway gateway = new TestGateway().start(20);
        gateway.serve(500, 5_000, 5_000);
        int before = gateway.sent.size();
        gateway.serve(1000, 5_000, 5_000);
        long own = gateway.sent.stream().skip(before)
                .filter(s -> Integer.parseInt(s.address().substring(1)) % 2 == 0).count();
        assertTrue(own > 600 && own < 900, "to the own zone " + own + " of 1000");
    }
}
