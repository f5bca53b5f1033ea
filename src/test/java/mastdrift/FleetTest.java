package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.WeightMode;
import org.junit.jupiter.api.Test;

/** What many gateways do together in simulated time, each with its own seed and keys. Their zone is z0. */
class FleetTest {

    private static final int HOSTS = 60;

    /** Guards against gateways that overload their zone's hosts while those of another zone are idle: each gateway
        sends few requests to any host and sees no load, but the list tells the load by all gateways. */
    @Test
    void gatewaysOfAnOverloadedZoneUseTheIdleZone() {
        List<TestGateway> fleet = fleet(5);
        assertTrue(remoteZoneFraction(fleet, 0, 0) < 0.35,
                "to the other zone while both are idle: " + remoteZoneFraction(fleet, 0, 0));
        double away = remoteZoneFraction(fleet, 9, 0.5);
        assertTrue(away > 0.5, "to the other zone while the own is overloaded: " + away);
        assertTrue(remoteZoneFraction(fleet, 4, 4) < 0.35, "too much to the other zone while both have the same load");
    }

    /** Guards against hosts that are overloaded before any gateway refuses: each sees a few of a host's answers, here
        quick ones, and learns of the load by all gateways from the list. */
    @Test
    void loadsInTheListCauseRefusalsBeforeOwnAnswersDo() {
        int refused = 0;
        int refusedBeforeLoad = 0;
        for (TestGateway gateway : fleet(5)) {
            for (int i = 0; i < 400; i++) {
                refusedBeforeLoad = i < 200 ? gateway.refused.size() : refusedBeforeLoad;
                if (i % 20 == 0) {
                    double load = i < 200 ? 0.5 : 9;
                    gateway.updateList(ListUpdateType.FULL, IntStream.range(0, HOSTS)
                            .mapToObj(h -> new Host("h" + h, "z" + h % 2, h / 4, "std",
                                    2 / (1 + (h < 2 ? 0 : h < 50 ? 0.5 : load)), HostState.IN_SERVICE, 0))
                            .toArray(Host[]::new));
                }
                gateway.serve(1, 40_000, 40_000);
            }
            assertTrue(refusedBeforeLoad == 0, "refused while no host is overloaded: " + refusedBeforeLoad);
            refused += gateway.refused.size();
        }
        assertTrue(refused > 50, "refused of 1000 with ten of 60 hosts overloaded: " + refused);
    }

    /** Guards against cold hosts that stay idle when all gateways start along with them, as in a release: no gateway
        has seen an answer and knows a rate. What all gateways send stays within the budget: a host with one core that
        takes 25 ms for a request serves 40 a second when warm. */
    @Test
    void aFleetThatStartsWithColdHostsUsesThemWithinTheirBudget() {
        List<TestGateway> fleet = fleet(14);
        int most = maxSendsToOneColdHostInTwoSeconds(fleet, 0);
        double capacity = 40 * (0.2 + 0.8 * 0.3);  // requests a second, 3 s into the warm-up time of 10 s
        assertTrue(most > 1, "sent to a cold host: " + most);
        assertTrue(most <= 3 * 2 * capacity, "sent to a cold host in 2 s: " + most);
    }

    /** Guards against cold hosts that stay idle beside overloaded ones: the loads in the list say when a cold host can
        take more requests, and when it can't. */
    @Test
    void coldHostsThatIdleAreSentMoreAndBusyOnesAreNot() {
        int idle = maxSendsToOneColdHostInTwoSeconds(fleet(14), 0);
        int busy = maxSendsToOneColdHostInTwoSeconds(fleet(14), 3);
        assertTrue(idle > 2 * busy, "idle " + idle + " busy " + busy);
    }

    /** Runs five seconds with hosts that have just started and have this load. Returns the most requests that all
        gateways sent to one host in the last two seconds. Each gateway gets 40 requests a second, served in 25 ms. */
    private static int maxSendsToOneColdHostInTwoSeconds(List<TestGateway> fleet, double load) {
        Map<String, Integer> sent = new HashMap<>();
        for (TestGateway gateway : fleet) {
            long startedAt = gateway.now;
            for (int i = 0; i < 200; i++) {
                if (i % 20 == 0) {
                    gateway.updateList(ListUpdateType.FULL, IntStream.range(0, HOSTS)
                            .mapToObj(h -> new Host("h" + h, "z" + h % 2, h / 4, "std",
                                    2 / (1 + (h < 10 ? 0 : load)), HostState.IN_SERVICE, startedAt))
                            .toArray(Host[]::new));
                }
                gateway.serve(1, 25_000, 25_000);
            }
            gateway.sent.stream().filter(s -> s.at() >= startedAt + 3_000_000 && s.address().length() == 3)
                    .forEach(s -> sent.merge(s.address(), 1, Integer::sum));
        }
        return sent.values().stream().mapToInt(n -> n).max().orElse(0);
    }

    /** Guards against hosts or gateways left out by a limit on their number, and against parts that get more uneven
        with that number: as many of each as a site may list. */
    @Test
    void aThousandGatewaysSplitRequestsEvenlyOverAThousandHosts() {
        int[] sendsByHost = new int[1024];
        for (int g = 0; g < 1024; g++) {
            TestGateway gateway = new TestGateway();
            gateway.instanceIndex = g;
            gateway.seed = g;
            gateway.gatewayCount = 1024;
            gateway.start(sendsByHost.length);
            for (int i = 0; i < 64; i++) {
                gateway.request((long) g * 64 + i);
                sendsByHost[Integer.parseInt(gateway.lastSend().address().substring(1))]++;
                gateway.endAttempt(gateway.lastSend(), Outcome.DELIVERED, 20_000);
            }
        }
        double largest = IntStream.of(sendsByHost).max().orElse(0);
        double smallest = IntStream.of(sendsByHost).min().orElse(0);
        assertTrue(largest < 4 * smallest, "largest part " + largest + ", smallest " + smallest);
    }

    private static List<TestGateway> fleet(int gateways) {
        List<TestGateway> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            TestGateway gateway = new TestGateway();
            gateway.seed = 100 + i;
            gateway.gatewayCount = gateways;
            gateway.weightMode = WeightMode.LIVE;
            fleet.add(gateway.start(0));
        }
        return fleet;
    }

    /** Runs ten seconds with lists that carry these loads twice a second, and requests that both zones serve alike.
        Returns the fraction that went to z1 in the second half. One host of each zone is idle, which its weight
        shows. */
    private static double remoteZoneFraction(List<TestGateway> fleet, double homeLoad, double awayLoad) {
        int away = 0;
        int all = 0;
        for (TestGateway gateway : fleet) {
            int before = 0;
            for (int i = 0; i < 400; i++) {
                before = i == 200 ? gateway.sent.size() : before;
                if (i % 20 == 0) {
                    gateway.updateList(ListUpdateType.FULL, hosts(homeLoad, awayLoad));
                }
                gateway.serve(1, 25_000, 25_000);
            }
            all += gateway.sent.size() - before;
            away += (int) gateway.sent.stream().skip(before)
                    .filter(s -> Integer.parseInt(s.address().substring(1)) % 2 == 1).count();
        }
        return (double) away / all;
    }

    private static Host[] hosts(double homeLoad, double awayLoad) {
        return IntStream.range(0, HOSTS).mapToObj(i -> {
            double load = i < 2 ? 0 : i % 2 == 0 ? homeLoad : awayLoad;
            return new Host("h" + i, "z" + i % 2, i / 4, "std", 2 / (1 + load), HostState.IN_SERVICE, 0);
        }).toArray(Host[]::new);
    }
}
