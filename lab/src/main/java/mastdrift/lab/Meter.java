package mastdrift.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What clients got, second by second of when they first asked, and what it cost. Latencies count from the first try of a
    request on, whatever was asked when: no omission is coordinated with a slow gateway. */
final class Meter {

    /** How a request ended for its client. */
    enum End { SERVED, LATE, REFUSED, FAILED }

    /** One second; latencies of what was served in milliseconds, NaN where nothing was; held is a core. */
    record Window(int second, long offered, long served, long late, long refused, long failed, double p50, double p95,
            double p99, long attempts, long probes, long dials, long listCalls, double heldMean, double heldMost, int choked,
            int hostsUp, int gatewaysUp) { }

    private static final long LATENCY_MOST = 60_000_000;

    private final Plan plan;
    private final long[][] ended;
    private final long[] offered;
    private final Histogram[] latency;
    private final double[] earned;
    private final double[] worth;
    private final double[][] classWorth;
    final long[] attempts;
    final long[] probes;
    final long[] dials;
    final long[] listCalls;
    final long[] crossZone;
    final long[] farZone;
    private long cutAt = -1;
    private final Map<Integer, Histogram> unreached = new TreeMap<>();
    private long intoNothing;
    private final double[] heldMean;
    private final double[] heldMost;
    private final int[] choked;
    private final int[] hostsUp;
    private final int[] gatewaysUp;
    /** Load a core of every host, in tenths, by second. */
    final List<int[]> loads = new ArrayList<>();

    Meter(Plan plan) {
        this.plan = plan;
        int seconds = plan.seconds();
        ended = new long[End.values().length][seconds];
        offered = new long[seconds];
        latency = new Histogram[seconds];
        earned = new double[seconds];
        worth = new double[seconds];
        classWorth = new double[2][plan.classes().size()];
        attempts = new long[seconds];
        probes = new long[seconds];
        dials = new long[seconds];
        listCalls = new long[seconds];
        crossZone = new long[seconds];
        farZone = new long[seconds];
        heldMean = new double[seconds];
        heldMost = new double[seconds];
        choked = new int[seconds];
        hostsUp = new int[seconds];
        gatewaysUp = new int[seconds];
    }

    /** The window of that time; what comes after the last belongs to it. */
    int second(long at) {
        return (int) Math.min(plan.seconds() - 1L, at / 1_000_000);
    }

    /** Some hosts can't be reached from now on; the first such time of a day counts. */
    void cutAt(long at) {
        cutAt = cutAt < 0 ? at : cutAt;
    }

    /** A gateway sent to a host that it does not reach. */
    void unreached(int gateway, long at) {
        intoNothing++;
        if (cutAt >= 0) {
            unreached.computeIfAbsent(gateway, g -> new Histogram(LATENCY_MOST * 60, 3)).recordValue(at - cutAt);
        }
    }

    /** Milliseconds from when some could not be reached until a gateway had sent nine tenths of all that it sent there:
        the median gateway's. NaN where nothing was sent there. */
    double leftMs() {
        double[] each = unreached.values().stream().mapToDouble(h -> h.getValueAtPercentile(90) / 1000.0).sorted().toArray();
        return each.length == 0 ? Double.NaN : each[each.length / 2];
    }

    /** Attempts at hosts that could not be reached. */
    long intoNothing() {
        return intoNothing;
    }

    void offered(long at, int cls) {
        offered[second(at)]++;
        worth[second(at)] += plan.classes().get(cls).worth();
        classWorth[1][cls] += plan.classes().get(cls).worth();
    }

    void ended(long asked, long now, int cls, End end) {
        int second = second(asked);
        ended[end.ordinal()][second]++;
        if (end == End.SERVED || end == End.LATE) {
            if (latency[second] == null) {
                latency[second] = new Histogram(LATENCY_MOST, 2);
            }
            latency[second].recordValue(Math.min(LATENCY_MOST, now - asked));
            Plan.ClassPlan type = plan.classes().get(cls);
            double gain = type.worth() * (end == End.SERVED ? 1 : type.lateWorth());
            earned[second] += gain;
            classWorth[0][cls] += gain;
        }
    }

    /** The state of the hosts at the end of that second. */
    void look(int second, List<Machine> machines, int gateways) {
        int[] load = new int[machines.size()];
        double sum = 0;
        for (int i = 0; i < load.length; i++) {
            Machine machine = machines.get(i);
            double held = machine.held() / (double) machine.build.cores();
            load[i] = machine.up ? (int) Math.round(10 * held) : -1;
            if (machine.up) {
                hostsUp[second]++;
                choked[second] += machine.choked() ? 1 : 0;
                sum += held;
                heldMost[second] = Math.max(heldMost[second], held);
            }
        }
        heldMean[second] = hostsUp[second] == 0 ? 0 : sum / hostsUp[second];
        gatewaysUp[second] = gateways;
        loads.add(load);
    }

    List<Window> windows() {
        List<Window> all = new ArrayList<>();
        for (int i = 0; i < plan.seconds(); i++) {
            all.add(new Window(i, offered[i], ended[0][i], ended[1][i], ended[2][i], ended[3][i], latency(i, 50),
                    latency(i, 95), latency(i, 99), attempts[i], probes[i], dials[i], listCalls[i], heldMean[i], heldMost[i],
                    choked[i], hostsUp[i], gatewaysUp[i]));
        }
        return all;
    }

    private double latency(int second, double percentile) {
        return latency[second] == null ? Double.NaN : latency[second].getValueAtPercentile(percentile) / 1000.0;
    }

    private static double part(double of, double all) {
        return all <= 0 ? 1 : of / all;
    }

    private static double sum(double[] values, int from, int to) {
        double sum = 0;
        for (int i = from; i < to; i++) {
            sum += values[i];
        }
        return sum;
    }

    double whole() {
        return part(sum(earned, 0, earned.length), sum(worth, 0, worth.length));
    }

    /** Of the poorest 10 s, or of the whole where there are fewer. */
    double worstWindow() {
        int span = Math.min(10, earned.length);
        double worst = Double.MAX_VALUE;
        for (int i = 0; i + span <= earned.length; i++) {
            worst = Math.min(worst, part(sum(earned, i, i + span), sum(worth, i, i + span)));
        }
        return worst;
    }

    double worstClass() {
        double worst = Double.MAX_VALUE;
        for (int i = 0; i < classWorth[0].length; i++) {
            worst = Math.min(worst, part(classWorth[0][i], classWorth[1][i]));
        }
        return worst;
    }

    static long sum(long[] values) {
        long sum = 0;
        for (long value : values) {
            sum += value;
        }
        return sum;
    }

    long ended(End end) {
        return sum(ended[end.ordinal()]);
    }

    /** The day's figure: the goal's parts less the prices, each by first tries or by work. */
    double figure(double workDone, double workLost) {
        double first = Math.max(1, sum(offered));
        Plan.Goal goal = plan.goal();
        return goal.whole() * whole() + goal.worstWindow() * worstWindow() + goal.worstClass() * worstClass()
                - goal.crossZone() * sum(crossZone) / first - goal.probe() * sum(probes) / first
                - goal.handshake() * sum(dials) / first - goal.waste() * workLost / Math.max(1, workDone + workLost);
    }
}
