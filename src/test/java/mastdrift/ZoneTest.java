package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Zones as wholes. Hosts with an odd number are in zone z1, the gateway is in z0. */
class ZoneTest {

    private static final long NEVER = -1;
    private static final long LEFT = 600_000;  // of each request

    /** Hosts that answer after so long, or never; requests come evenly, and what never is answered expires. */
    private static final class Day {

        private final Gateway gateway;
        private final TreeMap<Long, Deque<Runnable>> due = new TreeMap<>();
        private int seen;

        Day(Gateway gateway) {
            this.gateway = gateway;
        }

        /** Returns what was sent into z1 meanwhile. */
        int play(long span, int perSecond, ToLongFunction<String> answersAfter) {
            int before = gateway.sent.size();
            long until = gateway.now + span;
            for (long next = gateway.now; next < until; next += 1_000_000 / perSecond) {
                pass(next);
                gateway.request("read", null, gateway.now * 31, LEFT);
                for (; seen < gateway.sent.size(); seen++) {
                    Gateway.Sent sent = gateway.sent.get(seen);
                    long after = answersAfter.applyAsLong(sent.address());
                    due.computeIfAbsent(gateway.now + (after == NEVER ? LEFT : after), at -> new ArrayDeque<>()).add(() ->
                            gateway.end(sent, after == NEVER ? Outcome.EXPIRED : Outcome.DELIVERED));
                }
            }
            pass(until);
            return (int) gateway.sent.stream().skip(before).filter(s -> away(s.address())).count();
        }

        private void pass(long until) {
            while (!due.isEmpty() && due.firstKey() <= until) {
                long at = due.firstKey();
                gateway.advance(at - gateway.now);
                due.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            gateway.advance(until - gateway.now);
        }
    }

    private static boolean away(String address) {
        return Integer.parseInt(address.substring(1)) % 2 == 1;
    }

    private static Day day(Gateway gateway) {
        Day day = new Day(gateway.start(24));
        day.play(8_000_000, 40, address -> 20_000);
        return day;
    }

    private static boolean left(Gateway gateway) {
        return gateway.logged.stream().anyMatch(line -> line.startsWith("zone z1 left"));
    }

    /** Guards against a zone that is learned host by host: each costs a request, and a second of silence. */
    @Test
    void aZoneThatOwesAnswersWhileOthersGiveThemIsLeftWhole() {
        Day day = day(new Gateway());
        day.play(1_000_000, 40, address -> away(address) ? NEVER : 20_000);
        assertTrue(left(day.gateway), "left: " + day.gateway.logged);
        assertEquals(0, day.play(2_000_000, 40, address -> away(address) ? NEVER : 20_000));
        assertEquals(12, day.gateway.module.excluded(day.gateway.now));
    }

    /** Guards against leaving a zone that is slow or crowded, which crowds the next. */
    @Test
    void aZoneThatAnswersLateIsNotLeft() {
        Day day = day(new Gateway());
        int sent = day.play(4_000_000, 40, address -> away(address) ? 350_000 : 20_000);
        assertTrue(!left(day.gateway), "left: " + day.gateway.logged);
        assertTrue(sent > 0);
    }

    /** Guards against a gateway that takes its own silence for everybody's, and has nobody left when it is over. */
    @Test
    void aGatewayThatNobodyAnswersLeavesNobody() {
        Day day = day(new Gateway());
        day.play(3_000_000, 40, address -> NEVER);
        assertTrue(!left(day.gateway), "left: " + day.gateway.logged);
        String probed = day.gateway.probes.isEmpty() ? "h0" : day.gateway.probes.get(0);
        day.gateway.module.probed(day.gateway.now, probed, Outcome.DELIVERED, 1_000, Gateway.NO_REPORT);
        assertEquals(0, day.gateway.module.excluded(day.gateway.now));
        long last = day.gateway.request("read", null, 1L, LEFT);
        day.play(1_000_000, 40, address -> 20_000);
        assertTrue(day.gateway.refused.stream().noneMatch(id -> Long.parseLong(id) > last), "refused " + day.gateway.refused);
    }

    /** Guards against two zones left on evidence alone: the rest could not carry both. */
    @Test
    void ofTwoZonesThatOweOneIsLeft() {
        Gateway gateway = new Gateway().start(0);
        gateway.list(ListForm.FULL, IntStream.range(0, 36).mapToObj(i -> new Host("h" + i, "z" + i % 3, i, "std", 1, Health.UP, 0))
                .toArray(Host[]::new));
        Day day = new Day(gateway);
        day.play(8_000_000, 40, address -> 20_000);
        day.play(900_000, 40, address -> Integer.parseInt(address.substring(1)) % 3 == 0 ? 20_000 : NEVER);
        assertEquals(1, gateway.logged.stream().filter(line -> line.contains(" left: ")).count(), "left: " + gateway.logged);
    }

    /** Guards against a zone that all come back to at once, and against one that flaps and is believed each time. */
    @Test
    void aZoneComesBackByDoublingAndMoreSlowlyWhereItFlaps() {
        Day day = day(new Gateway());
        int all = day.play(300_000, 500, address -> 20_000);
        int first = comesBack(day);
        day.play(2_000_000, 200, address -> 20_000);
        int later = day.play(300_000, 500, address -> 20_000);
        assertTrue(first * 3 < all * 2, "at first " + first + ", at rest " + all);
        assertTrue(later > first, "then " + later);
        int second = comesBack(day);
        assertTrue(second < first, "after it flapped " + second + ", before " + first);
        day.play(60_000_000, 40, address -> 20_000);
        int forgiven = comesBack(day);
        assertTrue(forgiven > second, "after a minute's health " + forgiven + ", before " + second);
    }

    /** It falls silent, and a new process of each of its hosts is told by the list; what it is sent then. */
    private static int comesBack(Day day) {
        day.play(2_000_000, 200, address -> away(address) ? NEVER : 20_000);
        long born = day.gateway.now - 20_000_000;  // long warm: the zone's own part shows
        day.gateway.list(ListForm.DELTA, IntStream.range(0, 24).filter(i -> i % 2 == 1)
                .mapToObj(i -> Gateway.host(i, Health.GONE, 0)).toArray(Host[]::new));
        day.gateway.list(ListForm.DELTA, IntStream.range(0, 24).filter(i -> i % 2 == 1)
                .mapToObj(i -> Gateway.up(i, Math.max(1, born))).toArray(Host[]::new));
        return day.play(300_000, 500, address -> 20_000);
    }

    /** Guards against hosts that are lost for good where a gateway may not probe. */
    @Test
    void withoutProbesASilentZoneIsTriedAgain() {
        Gateway gateway = new Gateway();
        gateway.probing = false;
        Day day = day(gateway);
        day.play(2_000_000, 40, address -> away(address) ? NEVER : 20_000);
        assertTrue(left(gateway), "left: " + gateway.logged);
        day.play(8_000_000, 40, address -> 20_000);
        assertEquals(0, gateway.module.excluded(gateway.now));
        assertEquals(List.of(), gateway.probes);
    }
}
