package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Weights;
import org.junit.jupiter.api.Test;

/** What many gateways do together, each with seed and keys of its own and in simulated time. Their zone is z0. */
class FleetTest {

    private static final int HOSTS = 60;

    /** Guards against a zone whose gateways choke its hosts while those of the next zone idle: each gateway sends few
        requests to any host and sees no crowd, but the list tells what all of them hold. */
    @Test
    void aCrowdedZonesGatewaysGoToTheIdleOne() {
        List<Gateway> fleet = fleet(5);
        assertTrue(partAway(fleet, 0, 0) < 0.35, "away while both zones hold nothing: " + partAway(fleet, 0, 0));
        double away = partAway(fleet, 9, 0.5);
        assertTrue(away > 0.5, "away from the crowded zone: " + away);
        assertTrue(partAway(fleet, 4, 4) < 0.35, "away while both are alike crowded");
    }

    private static List<Gateway> fleet(int gateways) {
        List<Gateway> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            Gateway gateway = new Gateway();
            gateway.seed = 100 + i;
            gateway.gateways = gateways;
            gateway.weights = Weights.LIVE;
            fleet.add(gateway.start(0));
        }
        return fleet;
    }

    /** Ten seconds of lists that tell these loads, twice a second, and requests that are served alike in both zones:
        the part that went to z1 in the second half. One host of each zone holds nothing, as its weight tells. */
    private static double partAway(List<Gateway> fleet, double homeLoad, double awayLoad) {
        int away = 0;
        int all = 0;
        for (Gateway gateway : fleet) {
            int before = 0;
            for (int i = 0; i < 400; i++) {
                before = i == 200 ? gateway.sent.size() : before;
                if (i % 20 == 0) {
                    gateway.list(ListForm.FULL, hosts(homeLoad, awayLoad));
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
            return new Host("h" + i, "z" + i % 2, i / 4, "std", 2 / (1 + load), Health.UP, 0);
        }).toArray(Host[]::new);
    }
}
