package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Late, repeated and unknown events; settings at their limits. */
class EdgeTest {

    /** Guards against errors and actions for events that no longer apply. */
    @Test
    void lateRepeatedAndUnknownEventsChangeNothing() {
        TestGateway gateway = new TestGateway().start(3);
        long id = gateway.request(7L);
        TestGateway.Sent send = gateway.lastSend();
        gateway.endAttempt(send, Outcome.DELIVERED);
        gateway.endAttempt(send, Outcome.ERROR);
        gateway.balancer.attemptEnded(gateway.now, id, 9, "h1", Outcome.EXPIRED, 1, false, TestGateway.NO_REPORT);
        gateway.balancer.attemptEnded(gateway.now, id, -1, "nowhere", Outcome.EXPIRED, 1, false, TestGateway.NO_REPORT);
        gateway.balancer.clientLeft(gateway.now, id);
        gateway.balancer.clientLeft(gateway.now, 4711);
        gateway.balancer.streamingStarted(gateway.now, 4711, 0);
        gateway.balancer.probeEnded(gateway.now, "nowhere", Outcome.DELIVERED, 1, TestGateway.NO_REPORT);
        gateway.balancer.timerFired(gateway.now, "unknown");
        gateway.updateList(ListUpdateType.DELTA, TestGateway.host(77, HostState.TERMINATED, 0));
        assertEquals(1, gateway.sent.size());
        assertTrue(gateway.refused.isEmpty() && gateway.failed.isEmpty() && gateway.cancelled.isEmpty());
    }

    /** Guards against one failure that counts many times when its outcome is reported again for an open request. */
    @Test
    void aRepeatedOutcomeIsCountedOnce() {
        TestGateway gateway = new TestGateway().start(3);
        gateway.serve(40, 5_000, 5_000);
        gateway.request(7L);
        TestGateway.Sent send = gateway.lastSend();
        for (int i = 0; i < 50; i++) {
            gateway.endAttempt(send, Outcome.ERROR);
        }
        int before = gateway.sent.size();
        gateway.serve(200, 5_000, 5_000);
        long part = gateway.sent.stream().skip(before).filter(s -> s.address().equals(send.address())).count();
        assertTrue(part > 30, "sent " + part);
    }

    /** Guards against exceptions for an empty list, and against two servers for a host that is listed twice. */
    @Test
    void anEmptyListRefusesAndARepeatedEntryIsOneHost() {
        TestGateway gateway = new TestGateway().start(0);
        gateway.request(7L);
        assertEquals(1, gateway.refused.size());
        gateway.updateList(ListUpdateType.FULL, TestGateway.inService(1, 0), TestGateway.inService(1, 0));
        gateway.request(8L);
        assertEquals("h1", gateway.lastSend().address());
        gateway.updateList(ListUpdateType.FULL);
        gateway.request(9L);
        assertEquals(2, gateway.refused.size());
    }

    /** Guards against requests that are mixed up because their class or id is wrong. */
    @Test
    void anUnknownClassAndARepeatedIdAreRejected() {
        TestGateway gateway = new TestGateway().start(2);
        assertThrows(IllegalArgumentException.class, () -> gateway.request("other", null, 1L, 1000));
        gateway.request(1L);
        TestGateway.Sent send = gateway.lastSend();
        assertThrows(IllegalArgumentException.class, () -> gateway.balancer.requestReceived(gateway.now,
                new Balancer.Request(send.id(), "read", null, 1L, 1000)));
    }

    /** Guards against a backoff that overflows and ends the list requests when the registry is away for minutes. */
    @Test
    void aVeryLongRegistryOutageDoesNotEndListRequests() {
        TestGateway gateway = new TestGateway();
        // an eighth of it is odd, so that a shifted delay doesn't overflow to zero
        gateway.listRequestDeadline = 10_000_008;
        gateway.start(2);
        for (int i = 0; i < 200; i++) {
            gateway.advance(20_000_000);
            int before = gateway.watchRequests;
            gateway.balancer.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            gateway.advance(20_000_000);
            assertEquals(before + 1, gateway.watchRequests, "failure " + i);
        }
    }

    /** Guards against gateways that send list requests at the same times, twice a second each, while the registry
        refuses them: pauses grow and differ between gateways. They stay short enough to learn of a drain: a change
        counts as known 6 s after the registry could be reached, and a list request may take 4 s. */
    @Test
    void listRequestsThatFailAtOnceBackOffWithJitter() {
        Set<Long> thirdRequestTimes = new HashSet<>();
        for (int g = 0; g < 20; g++) {
            TestGateway gateway = new TestGateway();
            gateway.listRequestDeadline = 10_000_000;
            List<Long> pauses = failListRequests(gateway, g, 20_000_000);
            thirdRequestTimes.add(pauses.get(0) + pauses.get(1) + pauses.get(2));
            assertTrue(pauses.stream().allMatch(pause -> pause <= 2_000_000), "paused " + pauses);
            assertTrue(pauses.get(pauses.size() - 1) >= 1_000_000, "paused " + pauses);
            assertTrue(pauses.size() <= 20, "list requests: " + pauses);
        }
        assertTrue(thirdRequestTimes.size() >= 15, "times of the third request: " + thirdRequestTimes);
    }

    /** Guards against learning of a drain too late because list requests have failed before: where lists are pushed, a
        change counts as known as soon as the registry can be reached, and list requests cost nothing. */
    @ParameterizedTest
    @ValueSource(longs = {250_000, 800_000, 1_500_000, 2_500_000})
    void backoffLeavesTimeToLearnOfADrainWhereListsArePushed(long grace) {
        Set<Long> thirdRequestTimes = new HashSet<>();
        for (int g = 0; g < 20; g++) {
            TestGateway gateway = new TestGateway();
            gateway.guarantees = new Balancer.Guarantees(20_000, grace, 0, 0.2, 10_000_000, 3, 2_000_000);
            List<Long> pauses = failListRequests(gateway, g, 20_000_000);
            thirdRequestTimes.add(pauses.get(0) + pauses.get(1) + pauses.get(2));
            assertTrue(pauses.stream().allMatch(pause -> pause <= grace / 2 + 1_000), "paused " + pauses);
            assertTrue(pauses.size() <= 20_000_000 / (grace / 4) + 8, "list requests: " + pauses.size());
        }
        assertTrue(thirdRequestTimes.size() >= 15, "times of the third request: " + thirdRequestTimes);
    }

    /** Fails each list request at once for this time; returns the pauses before the next ones. */
    private static List<Long> failListRequests(TestGateway gateway, long seed, long duration) {
        gateway.seed = seed;
        gateway.start(2);
        List<Long> pauses = new ArrayList<>();
        for (long startedAt = gateway.now; gateway.now - startedAt < duration; ) {
            int before = gateway.watchRequests;
            long failedAt = gateway.now;
            gateway.balancer.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            while (gateway.watchRequests == before) {
                gateway.advance(1_000);
            }
            pauses.add(gateway.now - failedAt);
        }
        return pauses;
    }

    /** Guards against a list that comes later than 6 s after the registry could be reached: after a list request that
        timed out after its 4 s, the next one follows soon, however many have failed. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000_000, 10_000_000, 60_000_000})
    void aListRequestThatTimedOutIsFollowedSoon(long listRequestDeadline) {
        TestGateway gateway = new TestGateway();
        gateway.listRequestDeadline = listRequestDeadline;
        gateway.start(2);
        for (int call = 0; call < 70; call++) {
            int before = gateway.watchRequests;
            gateway.balancer.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            gateway.advance(2_000_000);
            assertEquals(before + 1, gateway.watchRequests);
            gateway.advance(4_000_000);
            before = gateway.watchRequests;
            gateway.balancer.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            gateway.advance(1_000_000);
            assertEquals(before + 1, gateway.watchRequests);
            gateway.advance(4_000_000);
        }
    }

    /** Guards against a broken watch that is reopened too late for the changes it missed: 3 s of silence and the pause
        have to leave time within the 6 s for the list request itself, and the wait for a refresh must not be added. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10_000_000})
    void aBrokenWatchIsReopenedSoon(long listRequestDeadline) {
        Set<Long> pauses = new HashSet<>();
        for (int g = 0; g < 20; g++) {
            TestGateway gateway = new TestGateway();
            gateway.seed = g;
            gateway.listRequestDeadline = listRequestDeadline;
            gateway.start(2);
            gateway.advance(5_000_000);
            int before = gateway.watchRequests;
            long brokeAt = gateway.now;
            gateway.balancer.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            while (gateway.watchRequests == before) {
                gateway.advance(1_000);
            }
            pauses.add(gateway.now - brokeAt);
        }
        long maxPause = listRequestDeadline == 0 ? 250_000 : 1_250_000;
        assertTrue(pauses.stream().allMatch(pause -> pause <= maxPause + 2_000), "pauses " + pauses);
        assertTrue(pauses.size() >= 12, "gateways send requests at the same times: " + pauses);
    }

    /** Guards against a start with settings that can't work, and against a message that doesn't name the setting. */
    @Test
    void invalidSettingsAreRejected() {
        TestGateway gateway = new TestGateway();
        gateway.gatewayCount = 0;
        Exception fault = assertThrows(IllegalArgumentException.class, () -> gateway.start(1));
        assertTrue(fault.getMessage().contains("gateways") && fault.getMessage().contains("0"));
        TestGateway none = new TestGateway();
        none.maxAttempts = 0;
        assertThrows(IllegalArgumentException.class, () -> none.start(1));
    }

    /** Guards against actions that the site doesn't allow. */
    @Test
    void oneHostServesWithAllOptionalFeaturesForbidden() {
        TestGateway gateway = new TestGateway();
        gateway.mayCancel = false;
        gateway.mayProbe = false;
        gateway.mayHedge = false;
        gateway.sendsRetryAfter = false;
        gateway.maxAttempts = 1;
        gateway.idempotency = Idempotency.KEYED;
        gateway.dedupScope = DedupScope.CELL;
        gateway.dedupWindow = 0;
        gateway.start(1);
        for (int i = 0; i < 200; i++) {
            gateway.request(i % 2 == 0 ? null : Long.valueOf(i));
            gateway.advance(20_000);
            gateway.endAttempt(gateway.lastSend(), i % 10 == 0 ? Outcome.ERROR : Outcome.DELIVERED, 20_000);
        }
        assertEquals(200, gateway.sent.size() + gateway.refused.size());
        assertTrue(gateway.probes.isEmpty() && gateway.cancelled.isEmpty());
    }
}
