package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Idempotency;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Late, repeated and unknown events; settings at their limits. */
class EdgeTest {

    /** Guards against errors and actions for events that no longer apply. */
    @Test
    void lateRepeatedAndUnknownEventsChangeNothing() {
        Gateway gateway = new Gateway().start(3);
        long id = gateway.request(7L);
        Gateway.Sent send = gateway.last();
        gateway.end(send, Outcome.DELIVERED);
        gateway.end(send, Outcome.ERROR);
        gateway.module.attemptEnded(gateway.now, id, 9, "h1", Outcome.EXPIRED, 1, false, Gateway.NO_REPORT);
        gateway.module.attemptEnded(gateway.now, id, -1, "nowhere", Outcome.EXPIRED, 1, false, Gateway.NO_REPORT);
        gateway.module.clientLeft(gateway.now, id);
        gateway.module.clientLeft(gateway.now, 4711);
        gateway.module.streamingStarted(gateway.now, 4711, 0);
        gateway.module.probeEnded(gateway.now, "nowhere", Outcome.DELIVERED, 1, Gateway.NO_REPORT);
        gateway.module.timerFired(gateway.now, "unknown");
        gateway.list(ListUpdateType.DELTA, Gateway.host(77, HostState.TERMINATED, 0));
        assertEquals(1, gateway.sent.size());
        assertTrue(gateway.refused.isEmpty() && gateway.failed.isEmpty() && gateway.cancelled.isEmpty());
    }

    /** Guards against one failure that counts many times when its outcome is reported again for an open request. */
    @Test
    void aRepeatedOutcomeIsCountedOnce() {
        Gateway gateway = new Gateway().start(3);
        gateway.serve(40, 5_000, 5_000);
        gateway.request(7L);
        Gateway.Sent send = gateway.last();
        for (int i = 0; i < 50; i++) {
            gateway.end(send, Outcome.ERROR);
        }
        int before = gateway.sent.size();
        gateway.serve(200, 5_000, 5_000);
        long part = gateway.sent.stream().skip(before).filter(s -> s.address().equals(send.address())).count();
        assertTrue(part > 30, "sent " + part);
    }

    /** Guards against exceptions for an empty list, and against two servers for a host that is listed twice. */
    @Test
    void anEmptyListRefusesAndARepeatedEntryIsOneHost() {
        Gateway gateway = new Gateway().start(0);
        gateway.request(7L);
        assertEquals(1, gateway.refused.size());
        gateway.list(ListUpdateType.FULL, Gateway.up(1, 0), Gateway.up(1, 0));
        gateway.request(8L);
        assertEquals("h1", gateway.last().address());
        gateway.list(ListUpdateType.FULL);
        gateway.request(9L);
        assertEquals(2, gateway.refused.size());
    }

    /** Guards against requests that are mixed up because their class or id is wrong. */
    @Test
    void anUnknownClassAndARepeatedIdAreNamed() {
        Gateway gateway = new Gateway().start(2);
        assertThrows(IllegalArgumentException.class, () -> gateway.request("other", null, 1L, 1000));
        gateway.request(1L);
        Gateway.Sent send = gateway.last();
        assertThrows(IllegalArgumentException.class, () -> gateway.module.requestReceived(gateway.now,
                new Balancer.Request(send.id(), "read", null, 1L, 1000)));
    }

    /** Guards against a backoff that overflows and ends the list requests when the registry is away for minutes. */
    @Test
    void aVeryLongRegistryOutageNeverEndsTheAsking() {
        Gateway gateway = new Gateway();
        gateway.mustAskIn = 10_000_008;  // an eighth of it is odd, so that a shifted delay doesn't overflow to zero
        gateway.start(2);
        for (int i = 0; i < 200; i++) {
            gateway.advance(20_000_000);
            int before = gateway.watches;
            gateway.module.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            gateway.advance(20_000_000);
            assertEquals(before + 1, gateway.watches, "failure " + i);
        }
    }

    /** Guards against gateways that send list requests at the same times, twice a second each, while the registry
        refuses them: pauses grow and differ between gateways. They stay short enough to learn of a drain: a change
        counts as known 6 s after the registry could be reached, and a list request may take 4 s. */
    @Test
    void callsThatAreRefusedComeInGrowingPausesOfTheirOwn() {
        Set<Long> firsts = new HashSet<>();
        for (int g = 0; g < 20; g++) {
            Gateway gateway = new Gateway();
            gateway.mustAskIn = 10_000_000;
            List<Long> pauses = refuse(gateway, g, 20_000_000);
            firsts.add(pauses.get(0) + pauses.get(1) + pauses.get(2));
            assertTrue(pauses.stream().allMatch(pause -> pause <= 2_000_000), "paused " + pauses);
            assertTrue(pauses.get(pauses.size() - 1) >= 1_000_000, "paused " + pauses);
            assertTrue(pauses.size() <= 20, "list requests: " + pauses);
        }
        assertTrue(firsts.size() >= 15, "times of the third request: " + firsts);
    }

    /** Guards against learning of a drain too late because list requests have failed before: where lists are pushed, a
        change counts as known as soon as the registry can be reached, and list requests cost nothing. */
    @ParameterizedTest
    @ValueSource(longs = {250_000, 800_000, 1_500_000, 2_500_000})
    void pausesLeaveTimeToHeedADrainWhereListsArePushed(long grace) {
        Set<Long> sums = new HashSet<>();
        for (int g = 0; g < 20; g++) {
            Gateway gateway = new Gateway();
            gateway.rules = new Balancer.Guarantees(20_000, grace, 0, 0.2, 10_000_000, 3, 2_000_000);
            List<Long> pauses = refuse(gateway, g, 20_000_000);
            sums.add(pauses.get(0) + pauses.get(1) + pauses.get(2));
            assertTrue(pauses.stream().allMatch(pause -> pause <= grace / 2 + 1_000), "paused " + pauses);
            assertTrue(pauses.size() <= 20_000_000 / (grace / 4) + 8, "list requests: " + pauses.size());
        }
        assertTrue(sums.size() >= 15, "times of the third request: " + sums);
    }

    /** Fails each list request at once for this time; returns the pauses before the next ones. */
    private static List<Long> refuse(Gateway gateway, long seed, long span) {
        gateway.seed = seed;
        gateway.start(2);
        List<Long> pauses = new ArrayList<>();
        for (long startedAt = gateway.now; gateway.now - startedAt < span; ) {
            int before = gateway.watches;
            long failedAt = gateway.now;
            gateway.module.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            while (gateway.watches == before) {
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
    void aCallThatWasGivenUpIsFollowedSoon(long mustAskIn) {
        Gateway gateway = new Gateway();
        gateway.mustAskIn = mustAskIn;
        gateway.start(2);
        for (int call = 0; call < 70; call++) {
            int before = gateway.watches;
            gateway.module.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            gateway.advance(2_000_000);
            assertEquals(before + 1, gateway.watches);
            gateway.advance(4_000_000);
            before = gateway.watches;
            gateway.module.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            gateway.advance(1_000_000);
            assertEquals(before + 1, gateway.watches);
            gateway.advance(4_000_000);
        }
    }

    /** Guards against a broken watch that is reopened too late for the changes it missed: 3 s of silence and the pause
        have to leave time within the 6 s for the list request itself, and the wait for a refresh must not be added. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10_000_000})
    void aWatchThatBrokeIsOpenedAnewSoon(long mustAskIn) {
        Set<Long> pauses = new HashSet<>();
        for (int g = 0; g < 20; g++) {
            Gateway gateway = new Gateway();
            gateway.seed = g;
            gateway.mustAskIn = mustAskIn;
            gateway.start(2);
            gateway.advance(5_000_000);
            int before = gateway.watches;
            long brokeAt = gateway.now;
            gateway.module.hostListReceived(gateway.now, ListUpdateType.FAILED, List.of());
            while (gateway.watches == before) {
                gateway.advance(1_000);
            }
            pauses.add(gateway.now - brokeAt);
        }
        long most = mustAskIn == 0 ? 250_000 : 1_250_000;
        assertTrue(pauses.stream().allMatch(pause -> pause <= most + 2_000), "pauses " + pauses);
        assertTrue(pauses.size() >= 12, "gateways send requests at the same times: " + pauses);
    }

    /** Guards against a start with settings that can't work, and against a message that doesn't name the setting. */
    @Test
    void impossibleSettingsAreNamed() {
        Gateway gateway = new Gateway();
        gateway.gateways = 0;
        Exception fault = assertThrows(IllegalArgumentException.class, () -> gateway.start(1));
        assertTrue(fault.getMessage().contains("gateways") && fault.getMessage().contains("0"));
        Gateway none = new Gateway();
        none.maxAttempts = 0;
        assertThrows(IllegalArgumentException.class, () -> none.start(1));
    }

    /** Guards against actions that the site doesn't allow. */
    @Test
    void withNothingAllowedOneHostStillServes() {
        Gateway gateway = new Gateway();
        gateway.cancel = false;
        gateway.probing = false;
        gateway.parallel = false;
        gateway.retryAfter = false;
        gateway.maxAttempts = 1;
        gateway.repeat = Idempotency.KEYED;
        gateway.group = DedupScope.CELL;
        gateway.window = 0;
        gateway.start(1);
        for (int i = 0; i < 200; i++) {
            gateway.request(i % 2 == 0 ? null : Long.valueOf(i));
            gateway.advance(20_000);
            gateway.end(gateway.last(), i % 10 == 0 ? Outcome.ERROR : Outcome.DELIVERED, 20_000);
        }
        assertEquals(200, gateway.sent.size() + gateway.refused.size());
        assertTrue(gateway.probes.isEmpty() && gateway.cancelled.isEmpty());
    }
}
