package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Attempts whose answer has begun and paused before any of it was passed on. */
class StalledResponseTest {

    private static final int REQUESTS = 400;
    private final TestGateway gateway = new TestGateway();

    private boolean stall(long id) {
        gateway.advance(250_000);
        return gateway.balancer.responseStalled(gateway.now, id, 0);
    }

    /** Guards against a request that fails although its host goes on after a pause: nothing else may answer it. */
    @Test
    void unsafeRequestWaitsForItsHost() {
        gateway.idempotency = Idempotency.UNSAFE;
        gateway.start(8);
        long id = gateway.request(null);
        assertFalse(stall(id));
        assertEquals(1, gateway.sendsOf(id).size());
        gateway.endAttempt(gateway.lastSend(), Outcome.DELIVERED);
        assertFalse(gateway.refusedOrFailed(id));
    }

    /** Guards against giving up a host that writes slowly, and against waiting for one that hangs: either answer
        counts, once. */
    @Test
    void repeatableRequestIsHedgedOnce() {
        gateway.start(8);
        long id = gateway.request(null);
        assertFalse(stall(id));
        assertFalse(stall(id));
        List<TestGateway.Sent> sends = gateway.sendsOf(id);
        assertEquals(2, sends.size());
        assertTrue(!sends.get(0).address().equals(sends.get(1).address()));
        gateway.endAttempt(sends.get(0), Outcome.DELIVERED);
        assertEquals(List.of(id + "/1"), gateway.cancelled);
    }

    /** Guards against a response that is cut off by the end of the attempt that hedged it. */
    @Test
    void hedgeEndsOnceTheResponseGoesOn() {
        gateway.start(8);
        long id = gateway.request(null);
        stall(id);
        gateway.balancer.streamingStarted(gateway.now, id, 0);
        assertEquals(List.of(id + "/1"), gateway.cancelled);
        gateway.endAttempt(gateway.sendsOf(id).get(1), Outcome.REVOKED);
        assertEquals(List.of(id + "/1"), gateway.cancelled);
        assertFalse(gateway.refusedOrFailed(id));
        assertEquals(2, gateway.sendsOf(id).size());
    }

    /** Guards against refusals at a host that pauses within its answers: the time since the send is no wait in its
        queue. */
    @Test
    void ageOfAStalledAttemptIsNoSignOfAQueue() {
        gateway.idempotency = Idempotency.UNSAFE;
        gateway.start(1);
        gateway.serve(50, 20_000, 20_000);
        long id = gateway.request(null);
        stall(id);
        gateway.advance(700_000);
        for (int i = 0; i < 50; i++) {
            gateway.request(null);
        }
        assertTrue(gateway.refused.isEmpty(), gateway.refused.size() + " of 50 refused");
    }

    /** Guards against hedges that multiply the load where all hosts pause. */
    @Test
    void hedgesStayWithinTheRetryBudget() {
        gateway.start(8);
        for (int i = 0; i < REQUESTS; i++) {
            long id = gateway.request(null);
            gateway.advance(1_000);
            gateway.balancer.responseStalled(gateway.now, id, 0);
            gateway.endAttempt(gateway.sendsOf(id).get(0), Outcome.DELIVERED);
        }
        long hedges = gateway.sent.stream().filter(send -> send.attempt() > 0).count();
        assertTrue(hedges > 0 && hedges <= REQUESTS * 0.1 + 20, hedges + " hedges");
        assertTrue(gateway.refused.isEmpty());
    }

    /** Where attempts may not overlap, one is given up only for another. */
    @Test
    void attemptIsGivenUpWithoutHedgingIfAnotherMayFollow() {
        gateway.mayHedge = false;
        gateway.start(2);
        long id = gateway.request(null);
        assertTrue(stall(id));
        gateway.endAttempt(gateway.lastSend(), Outcome.DROPPED);
        assertEquals(2, gateway.sendsOf(id).size());
        gateway.advance(250_000);
        assertFalse(gateway.balancer.responseStalled(gateway.now, id, 1));
    }
}
