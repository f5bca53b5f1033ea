package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** What a successor knows of what its forerunner learned. */
class MemoryTest {

    private static final int HOSTS = 8;

    /** Has learned that h1 fails and h2 is slow, and has served keys 1 to 400. */
    private static Gateway learned() {
        Gateway gateway = new Gateway().start(HOSTS);
        for (long key = 1; key <= 400; key++) {
            long id = gateway.request(key);
            gateway.advance(10_000);
            for (Gateway.Sent sent : gateway.sends(id)) {
                gateway.end(sent, sent.address().equals("h1") ? Outcome.ERROR : Outcome.DELIVERED,
                        sent.address().equals("h2") ? 260_000 : 40_000);
            }
            gateway.sends(id).stream().skip(1).forEach(retry -> gateway.end(retry, Outcome.DELIVERED, 40_000));
        }
        return gateway;
    }

    private static Gateway successor(Gateway of, long age) {
        Gateway next = new Gateway();
        next.seed = 7;
        next.now = of.now + age;
        next.start(HOSTS);
        next.module.recall(next.now, age, of.module.memory(of.now));
        return next;
    }

    private static List<String> hostsOf(Gateway gateway, long firstKey, int count) {
        List<String> hosts = new ArrayList<>();
        for (long key = firstKey; key < firstKey + count; key++) {
            gateway.request(key);
            hosts.add(gateway.last().address());
            gateway.end(gateway.last(), Outcome.DELIVERED, 40_000);
        }
        return hosts;
    }

    /** Guards against a successor that learns anew, at its clients' cost, what its forerunner knew. */
    @Test
    void aSuccessorDecidesAsItsForerunnerWouldHave() {
        Gateway old = learned();
        Gateway next = successor(old, 0);
        Gateway ignorant = new Gateway();
        ignorant.now = old.now;
        ignorant.start(HOSTS);
        List<String> remembered = hostsOf(old, 1, 400);
        assertEquals(remembered, hostsOf(next, 1, 400));
        assertNotEquals(remembered, hostsOf(ignorant, 1, 400));
        List<String> anew = hostsOf(old, 10_001, 400);
        assertEquals(anew, hostsOf(next, 10_001, 400));
        assertTrue(!anew.contains("h1"), "what failed at every try is left alone");
    }

    /** Guards against samples that outlive their window, and keys their memory, by the time between both processes. */
    @Test
    void whatWasLearnedGoesOnAging() {
        Gateway old = learned();
        Gateway next = successor(old, 30_000_000);
        next.advance(1_000_000);
        assertEquals(0, next.module.memory(next.now).keys().keys().length);
        assertTrue(hostsOf(next, 1, 400).contains("h1"), "failures of 30 s ago count for nothing");
    }

    /** Guards against a start in an overload that admits all until it has samples of its own. */
    @Test
    void aSuccessorRefusesUnderThePressureThatHolds() {
        Gateway old = new Gateway().start(HOSTS);
        for (int i = 0; i < 300; i++) {
            int before = old.sent.size();
            old.request(1_000L + i);
            old.advance(10_000);
            if (old.sent.size() > before) {
                old.end(old.last(), Outcome.DELIVERED, 10_000);
                old.now += 20_000;
            }
        }
        for (int i = 0; i < 100; i++) {  // each a second after it was asked
            old.request(5_000L + i);
        }
        old.now += 950_000;
        for (Gateway.Sent sent : List.copyOf(old.sent.subList(old.sent.size() - 100, old.sent.size()))) {
            old.end(sent, Outcome.DELIVERED, 950_000);
        }
        old.advance(500_000);
        Gateway next = successor(old, 0);
        Gateway ignorant = new Gateway();
        ignorant.now = old.now;
        ignorant.start(HOSTS);
        for (int i = 0; i < 100; i++) {
            next.request(9_000L + i);
            ignorant.request(9_000L + i);
        }
        assertEquals(0, ignorant.refused.size());
        assertTrue(next.refused.size() > 50, "refused of 100: " + next.refused.size());
    }

    /** Guards against a new process of a host that is taken for the old one, warm and in good standing. */
    @Test
    void aHostThatStartedAnewIsAStranger() {
        Gateway old = learned();
        Gateway next = new Gateway();
        next.now = old.now;
        next.start(0);
        next.list(ListForm.CACHED, Gateway.up(0, old.now - 100_000), Gateway.up(3, 0));
        next.module.recall(next.now, 0, old.module.memory(old.now));
        Memory memory = next.module.memory(next.now);
        assertEquals(0, memory.hosts().get(0).samples().length);
        assertTrue(memory.hosts().get(0).warming().since() >= 0, "cold");
        assertTrue(memory.hosts().get(1).samples().length > 0);
        for (int host : memory.keys().hosts()) {
            assertEquals(1, host);
        }
    }

    /** Guards against a list at the start that is old: of hosts that come with the next one, what is known counts then. */
    @Test
    void whatIsKnownOfHostsListedLaterCountsOnceTheyAre() {
        Gateway old = learned();
        Gateway next = new Gateway();
        next.now = old.now;
        next.start(1);
        next.module.recall(next.now, 0, old.module.memory(old.now));
        next.advance(1_000_000);
        next.list(ListForm.DELTA, Gateway.up(1, 0));
        Memory.KnownHost late = next.module.memory(next.now).hosts().get(1);
        assertEquals("h1", late.address());
        assertTrue(late.samples().length > 0);
    }
}
