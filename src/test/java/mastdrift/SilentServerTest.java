package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Servers and zones that stop answering. Hosts with an odd number are in zone z1. */
class SilentServerTest {

    /** Guards against a lost zone that costs one request for each of its servers. */
    @Test
    void aLostZoneGetsNothingOnceHalfOfItIsDown() {
        TestGateway gateway = new TestGateway().start(120);
        gateway.serve(400, 5_000, 5_000);
        int before = gateway.sent.size();
        loseZone(gateway, 600, Outcome.DIAL_FAILED);
        long lost = gateway.sent.stream().skip(before).filter(SilentServerTest::inLostZone).count();
        assertTrue(lost < 40, lost + " sends into the lost zone");
    }

    /** Guards against retries that fail for lack of budget after a server that is down, where they add no load. */
    @Test
    void retriesFromADownServerAreFree() {
        TestGateway gateway = new TestGateway().start(120);
        gateway.serve(400, 5_000, 5_000);
        int refused = gateway.refused.size();
        loseZone(gateway, 600, Outcome.DIAL_FAILED);
        int more = gateway.refused.size() - refused;  // a few before any server is known to be down
        assertTrue(more <= 3, "refused " + more);
    }

    /** Guards against a host that hangs but accepts connections, so that it is never marked down and probed. */
    @Test
    void aHangingHostIsMarkedDownBeforeItsAttemptsTimeOut() {
        TestGateway gateway = new TestGateway().start(4);
        gateway.serve(200, 5_000, 5_000);
        gateway.probes.clear();
        Deque<TestGateway.Sent> inFlight = new ArrayDeque<>();
        for (int i = 0; i < 200; i++) {
            int before = gateway.sent.size();
            gateway.request("read", null, gateway.now, 60_000_000);
            gateway.advance(20_000);
            gateway.sent.stream().skip(before).filter(s -> !s.address().equals("h2")).forEach(inFlight::add);
            while (!inFlight.isEmpty() && gateway.now - inFlight.peek().at() >= 200_000) {
                gateway.endAttempt(inFlight.poll(), Outcome.DELIVERED);
            }
        }
        assertEquals(List.of("h2"), gateway.probes);
    }

    /** Guards against long streams taken for a silent server, a queue or an overload. */
    @Test
    void longStreamsMarkNoServerDownAndCauseNoRefusals() {
        TestGateway gateway = new TestGateway().start(4);
        gateway.serve(200, 5_000, 5_000);
        int before = gateway.sent.size();
        for (int i = 0; i < 80; i++) {
            long id = gateway.request("read", null, 5_000_000L + i, 600_000);
            gateway.balancer.streamingStarted(gateway.now, id, 0);
            gateway.advance(50_000);
        }
        List<TestGateway.Sent> streams = List.copyOf(gateway.sent.subList(before, gateway.sent.size()));
        gateway.serve(100, 5_000, 5_000);
        assertEquals(80, streams.size());
        assertEquals(List.of(), gateway.refused);
        assertEquals(0, gateway.balancer.excludedHostCount(gateway.now));
        for (TestGateway.Sent stream : streams) {
            gateway.endAttempt(stream, Outcome.DELIVERED, 5_000);
        }
        gateway.advance(1_000_000);
        gateway.serve(100, 5_000, 5_000);
        assertEquals(List.of(), gateway.refused);
    }

    /** Guards against a retry of a streamed request, of which the gateway keeps no copy. */
    @Test
    void aStreamThatFailsIsNotSentAgain() {
        TestGateway gateway = new TestGateway().start(4);
        long id = gateway.request(7L);
        gateway.balancer.streamingStarted(gateway.now, id, 0);
        gateway.endAttempt(gateway.lastSend(), Outcome.DROPPED);
        assertEquals(1, gateway.sendsOf(id).size());
        assertTrue(gateway.refusedOrFailed(id));
    }

    /** Guards against sessions that stay at a server until the next refresh after it was marked down. */
    @Test
    void sessionsLeaveADownServerAtOnce() {
        TestGateway gateway = new TestGateway().start(4);
        for (long key = 0; key < 20; key++) {
            gateway.request(key);
            gateway.advance(1_000);
            gateway.endAttempt(gateway.lastSend(), Outcome.DELIVERED);
        }
        String home = gateway.sent.get(0).address();
        gateway.advance(1_500_000);
        gateway.request(0L);
        assertEquals(home, gateway.lastSend().address());
        gateway.endAttempt(gateway.lastSend(), Outcome.DIAL_FAILED);
        int before = gateway.sent.size();
        for (long key = 1; key < 20; key++) {
            gateway.request(key);
        }
        assertTrue(gateway.sent.stream().skip(before).noneMatch(s -> s.address().equals(home)));
    }

    /** Guards against probes that reach only the first hosts of a long list, and against two probes of one host at
        once. */
    @Test
    void probesReachAllDownHostsAndNeverTwoAtOnce() {
        TestGateway gateway = new TestGateway().start(40);
        gateway.serve(2000, 2_000, 2_000);
        loseZone(gateway, 200, Outcome.DIAL_FAILED);
        for (int i = 0; i < 100; i++) {
            gateway.serve(50, 2_000, 2_000);
        }
        List<String> down = gateway.probes.stream().filter(h -> Integer.parseInt(h.substring(1)) % 2 == 1).toList();
        assertEquals(down.size(), down.stream().distinct().count());
        assertEquals(20, down.size());
    }

    private static boolean inLostZone(TestGateway.Sent send) {
        return Integer.parseInt(send.address().substring(1)) % 2 == 1;
    }

    private static void loseZone(TestGateway gateway, int requests, Outcome outcome) {
        gateway.advance(1_500_000);
        for (int i = 0; i < requests; i++) {
            long id = gateway.request(gateway.now);
            gateway.advance(5_000);
            for (int n = 0; n < gateway.sendsOf(id).size(); n++) {
                TestGateway.Sent send = gateway.sendsOf(id).get(n);
                gateway.endAttempt(send, inLostZone(send) ? outcome : Outcome.DELIVERED, 5_000);
            }
        }
    }
}
