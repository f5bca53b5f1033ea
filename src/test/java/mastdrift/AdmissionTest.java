package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Which requests are refused in an overload. Latency target 300 ms, deadline 1 s. */
class AdmissionTest {

    /** Guards against a full server that makes the gateway refuse requests for other servers. */
    @Test
    void aFullServerCausesRefusalsOnlyOfItsOwnRequests() {
        TestGateway gateway = new TestGateway().start(4);
        warmUp(gateway, 400, 20_000);
        for (int i = 0; i < 200; i++) {
            requestAndAnswer(gateway, i, "h2", 290_000);
        }
        assertTrue(gateway.refused.size() > 10 && gateway.refused.size() < 80, "refused " + gateway.refused.size());
        int before = gateway.sent.size();
        gateway.serve(100, 5_000, 5_000);
        assertTrue(gateway.sent.size() - before > 70);
    }

    /** Guards against long requests taken for a queue: they raise a percentile, but not the shortest answers. */
    @Test
    void longRequestsAloneCauseNoRefusals() {
        TestGateway gateway = new TestGateway().start(4);
        for (int i = 0; i < 400; i++) {
            long id = gateway.request(1_000L + i);
            gateway.advance(5_000);
            gateway.endAttempt(gateway.sendsOf(id).get(0), Outcome.DELIVERED, i % 8 == 0 ? 290_000 : 30_000);
        }
        assertEquals(0, gateway.refused.size());
    }

    /** Guards against two slow hosts, h1 and h10, that raise the p95 of all so that requests for the other nine hosts
        are refused. */
    @Test
    void twoSlowServersOfElevenDoNotMakeTheGatewayRefuse() {
        TestGateway gateway = new TestGateway().start(11);
        warmUp(gateway, 400, 20_000);
        Deque<TestGateway.Sent> slow = new ArrayDeque<>();
        for (int i = 0; i < 1000; i++) {
            long id = gateway.request("read", null, 10_000L + i, 2_000_000);
            gateway.advance(30_000);
            for (TestGateway.Sent send : gateway.sendsOf(id)) {
                if (send.address().startsWith("h1")) {
                    slow.add(send);
                } else {
                    gateway.endAttempt(send, Outcome.DELIVERED);
                }
            }
            while (!slow.isEmpty() && gateway.now - slow.peek().at() > 700_000) {
                gateway.endAttempt(slow.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() < 200, "refused " + gateway.refused.size() + " of 1000");
    }

    /** Guards against lost answers taken for an overload, which refused most requests: a fifth of the answers never
        comes, the others are quick. Only a server whose latest answer is missing may look full for a while. */
    @Test
    void lostAnswersAloneCauseFewRefusals() {
        TestGateway gateway = new TestGateway().start(12);
        warmUp(gateway, 400, 20_000);
        Deque<TestGateway.Sent> lost = new ArrayDeque<>();
        for (int i = 0; i < 1000; i++) {
            long id = gateway.request("read", null, 10_000L + i, 1_000_000);
            gateway.advance(20_000);
            for (TestGateway.Sent send : gateway.sendsOf(id)) {
                if (i % 5 == 0 && send.attempt() == 0) {
                    lost.add(send);
                } else {
                    gateway.endAttempt(send, Outcome.DELIVERED);
                }
            }
            while (!lost.isEmpty() && gateway.now - lost.peek().at() >= 1_000_000) {
                gateway.endAttempt(lost.poll(), Outcome.EXPIRED);
            }
        }
        long refusedWithoutSend = gateway.refused.stream().filter(r -> gateway.sendsOf(Long.parseLong(r)).isEmpty())
                .count();
        assertTrue(refusedWithoutSend < 300, "refused at once: " + refusedWithoutSend);
    }

    /** Guards against a gateway that never refuses for lack of samples: at five requests a second, all served late, two
        seconds give too few for a percentile. */
    @Test
    void aQuietGatewayRefusesInAnOverloadToo() {
        TestGateway gateway = new TestGateway().start(300);
        Deque<TestGateway.Sent> inFlight = new ArrayDeque<>();
        for (int i = 0; i < 200; i++) {
            long id = gateway.request("read", null, 10_000L + i, 1_000_000);
            inFlight.addAll(gateway.sendsOf(id));
            gateway.advance(200_000);
            while (!inFlight.isEmpty() && gateway.now - inFlight.peek().at() >= 900_000) {
                gateway.endAttempt(inFlight.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() > 20, "refused " + gateway.refused.size());
    }

    /** Guards against refusals that begin too late: queues grow until then, so a few samples have to be enough. */
    @Test
    void aQuietGatewayDoesNotWaitForTwentySamples() {
        TestGateway gateway = new TestGateway().start(300);
        Deque<TestGateway.Sent> inFlight = new ArrayDeque<>();
        for (int i = 0; i < 20; i++) {
            inFlight.addAll(gateway.sendsOf(gateway.request(10_000L + i)));
            gateway.advance(200_000);
            while (!inFlight.isEmpty() && gateway.now - inFlight.peek().at() >= 900_000) {
                gateway.endAttempt(inFlight.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() > 2, "refused " + gateway.refused.size());
    }

    /** Guards against refusals for a single long answer among the few of a quiet gateway. */
    @Test
    void aSingleLongAnswerCausesNoRefusalAtAQuietGateway() {
        TestGateway gateway = new TestGateway().start(300);
        for (int i = 0; i < 60; i++) {
            long id = gateway.request(10_000L + i);
            gateway.advance(i % 30 == 20 ? 600_000 : 20_000);
            gateway.endAttempt(gateway.sendsOf(id).get(0), Outcome.DELIVERED);
            gateway.advance(300_000);
        }
        assertEquals(0, gateway.refused.size());
    }

    @Test
    void newSessionsAreRefusedBeforeRememberedOnes() {
        TestGateway gateway = new TestGateway().start(4);
        warmUp(gateway, 400, 130_000);
        int refusedOld = 0;
        int refusedNew = 0;
        for (int i = 0; i < 300; i++) {
            int before = gateway.refused.size();
            requestAndAnswer(gateway, i % 100, "h", 130_000);
            refusedOld += gateway.refused.size() - before;
            before = gateway.refused.size();
            requestAndAnswer(gateway, 50_000L + i, "h", 130_000);
            refusedNew += gateway.refused.size() - before;
        }
        assertTrue(refusedNew > 20, "new " + refusedNew);
        assertTrue(refusedOld < refusedNew / 5, "old " + refusedOld + " new " + refusedNew);
    }

    /** Guards against refusals that begin only with full queues where all keys have a session and there are no new keys
        to refuse: with queues half full, some requests with a session are refused. */
    @Test
    void rememberedSessionsAreRefusedBeforeAllQueuesAreFull() {
        TestGateway gateway = new TestGateway().start(4);
        warmUp(gateway, 400, 20_000);
        for (int i = 0; i < 600; i++) {
            requestAndAnswer(gateway, i % 100, "h", 100_000);
        }
        assertTrue(gateway.refused.size() > 10, "refused " + gateway.refused.size());
    }

    private static void warmUp(TestGateway gateway, int requests, long elapsed) {
        for (int i = 0; i < requests; i++) {
            requestAndAnswer(gateway, i % 100, "h", i < 100 ? 20_000 : elapsed);
        }
        gateway.refused.clear();
    }

    /** One request; hosts whose address has that prefix answer in {@code elapsed}, others in 20 ms. */
    private static void requestAndAnswer(TestGateway gateway, long key, String prefix, long elapsed) {
        long id = gateway.request(key);
        gateway.advance(10_000);
        if (!gateway.refusedOrFailed(id)) {
            TestGateway.Sent send = gateway.sendsOf(id).get(0);
            gateway.endAttempt(send, Outcome.DELIVERED, send.address().startsWith(prefix) ? elapsed : 20_000);
        }
    }
}
