package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Host models whose size neither settings nor lists tell. */
class ModelSizeTest {

    /** Guards against small hosts that get as much as large ones, though they report twice the CPU utilization. */
    @Test
    void modelsWithHigherCpuUtilizationGetLess() {
        TestGateway gateway = new TestGateway().start(0);
        gateway.updateList(ListUpdateType.FULL, host(0, "small"), host(1, "large"), host(2, "small"), host(3, "large"));
        long small = sendsToSmallHosts(gateway, true);
        assertTrue(small < 300, "sent to small hosts: " + small + " of 1000");
    }

    /** Guards against sizes that change further without new reports: where reports come with probes only, one early
        chance difference gave a host model ten times the share of another, which stayed idle. */
    @Test
    void anOldReportDoesNotChangeSizesFurther() {
        TestGateway gateway = new TestGateway().start(0);
        gateway.updateList(ListUpdateType.FULL, host(0, "small"), host(1, "large"), host(2, "small"), host(3, "large"));
        for (int i = 0; i < 4; i++) {
            gateway.balancer.probeEnded(gateway.now, "h" + i, Outcome.DELIVERED, 1_000, cpu(i % 2 == 0 ? 0.8 : 0.4));
        }
        long small = sendsToSmallHosts(gateway, false);
        assertTrue(small > 300, "sent to small hosts: " + small + " of 1000");
    }

    /** Sends 2,000 requests, 10 ms apart; returns how many of the second half went to small hosts. */
    private static long sendsToSmallHosts(TestGateway gateway, boolean reported) {
        int before = 0;
        for (int i = 0; i < 2000; i++) {
            before = i == 1000 ? gateway.sent.size() : before;
            gateway.request(10_000L + i);
            gateway.advance(10_000);
            TestGateway.Sent send = gateway.lastSend();
            double utilization = List.of("h0", "h2").contains(send.address()) ? 0.8 : 0.4;
            gateway.balancer.attemptEnded(gateway.now, send.id(), send.attempt(), send.address(), Outcome.DELIVERED,
                    10_000, true, cpu(reported ? utilization : Double.NaN));
        }
        return gateway.sent.stream().skip(before).filter(s -> List.of("h0", "h2").contains(s.address())).count();
    }

    private static LoadReport cpu(double value) {
        return new LoadReport(Double.NaN, Double.NaN, value, Double.NaN, Double.NaN, Double.NaN);
    }

    private static Host host(int i, String model) {
        return new Host("h" + i, "z0", 0, model, 1, HostState.IN_SERVICE, 0);
    }
}
