package mastdrift;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.Balancer.Capabilities;
import mastdrift.Balancer.ConnectionSettings;
import mastdrift.Balancer.CpuBudget;
import mastdrift.Balancer.DedupScope;
import mastdrift.Balancer.Guarantees;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.Limits;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.LoadReportMode;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Penalties;
import mastdrift.Balancer.Request;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.ScoreWeights;
import mastdrift.Balancer.Scoring;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Tenant;
import mastdrift.Balancer.Topology;
import mastdrift.Balancer.WeightMode;

/** A gateway without network: gives events to one balancer on a simulated clock and records the actions that it asks
    for. Simulates no host and no latency; tests say when attempts end. */
final class TestGateway implements Balancer.Actions {

    static final LoadReport NO_REPORT =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** One attempt that the balancer sent. */
    record Sent(long id, int attempt, String address, long timeout, long at) { }

    final Balancer balancer = new HeadroomBalancer();
    final List<Sent> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final List<Long> retryAfters = new ArrayList<>();
    final List<String> closedAddresses = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    int watchRequests;
    long now = 1_000_000;
    private final Map<Long, Integer> attempts = new LinkedHashMap<>();
    private final TreeMap<Long, List<String>> timers = new TreeMap<>();
    private long nextId = 1;

    // ---- Settings; tests change them before start

    Idempotency idempotency = Idempotency.SAFE;
    DedupScope dedupScope = DedupScope.ALL;
    long dedupWindow = 2_000_000;
    boolean mayCancel = true;
    boolean mayProbe = true;
    boolean mayHedge = true;
    int maxAttempts = 4;
    boolean sendsRetryAfter = true;
    int gatewayCount = 1;
    int instanceIndex;
    /** Guarantees, or null for the defaults. */
    Guarantees guarantees;
    long seed = 42;
    long listRequestDeadline;
    WeightMode weightMode = WeightMode.OFF;
    List<Tenant> tenants = List.of();
    List<RequestClass> classes;

    RequestClass requestClass(String name) {
        return new RequestClass(name, 300_000, 0, 1_000_000, 1, 0.2, idempotency, dedupScope, dedupWindow, false);
    }

    Settings settings() {
        return new Settings(classes == null ? List.of(requestClass("read")) : classes, tenants,
                new Limits(mayCancel, mayProbe, mayHedge, false, maxAttempts, 20_000, sendsRetryAfter, 500_000),
                new ConnectionSettings(100_000, 5_000_000, 1), new CpuBudget(500_000, 0),
                guarantees != null ? guarantees
                        : new Guarantees(20_000, 250_000, listRequestDeadline, 0.2, 10_000_000, 3, 2_000_000),
                new Scoring(new ScoreWeights(1, 0, 0, 0),
                        new Penalties(0, 0, 0, 0, 0, 0.01, 0, 0, 0, 0, 0), 0.05, false),
                new Topology(instanceIndex, gatewayCount, "z0", List.of("z0", "z1"), List.of("std"), 0,
                        List.of("servers")),
                new Capabilities(true, false, LoadReportMode.OFF, List.of(), false), listRequestDeadline > 0,
                weightMode, "proxy", 1_000, seed);
    }

    /** Starts the balancer with this many hosts in service, none of them cold. */
    TestGateway start(int hosts) {
        balancer.start(now, settings(), this);
        List<Host> list = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            list.add(inService(i, 0));
        }
        balancer.hostListReceived(now, ListUpdateType.CACHED, list);
        return this;
    }

    /** Host number i: zones z0 and z1 in turn, two hosts of a zone in each cell. */
    static Host host(int i, HostState state, long startedAt) {
        return new Host("h" + i, "z" + i % 2, i % 2 * 1000 + i / 4, "std", 1, state, startedAt);
    }

    static Host inService(int i, long startedAt) {
        return host(i, HostState.IN_SERVICE, startedAt);
    }

    void updateList(ListUpdateType updateType, Host... hosts) {
        balancer.hostListReceived(now, updateType, List.of(hosts));
    }

    long request(Long key) {
        return request("read", null, key, 1_000_000);
    }

    long request(String className, String tenant, Long key, long left) {
        long id = nextId++;
        balancer.requestReceived(now, new Request(id, className, tenant, key, left));
        return id;
    }

    /** The latest attempt. */
    Sent lastSend() {
        return sent.get(sent.size() - 1);
    }

    /** The attempts of one request. */
    List<Sent> sendsOf(long id) {
        return sent.stream().filter(s -> s.id() == id).toList();
    }

    void endAttempt(Sent send, Outcome outcome) {
        endAttempt(send, outcome, now - send.at());
    }

    void endAttempt(Sent send, Outcome outcome, long elapsed) {
        balancer.attemptEnded(now, send.id(), send.attempt(), send.address(), outcome, elapsed,
                outcome == Outcome.DELIVERED, NO_REPORT);
    }

    /** Advances the clock, firing the timers that come due. */
    void advance(long duration) {
        long until = now + duration;
        while (!timers.isEmpty() && timers.firstKey() <= until) {
            Map.Entry<Long, List<String>> due = timers.pollFirstEntry();
            now = Math.max(now, due.getKey());
            for (String handle : due.getValue()) {
                balancer.timerFired(now, handle);
            }
        }
        now = until;
    }

    /** Serves {@code count} requests with new keys, one every {@code gap}, each of them in {@code elapsed}. */
    void serve(int count, long gap, long elapsed) {
        for (int i = 0; i < count; i++) {
            int before = sent.size();
            request("read", null, 1_000_000L + nextId, 1_000_000);
            advance(gap);
            if (sent.size() > before) {
                endAttempt(lastSend(), Outcome.DELIVERED, elapsed);
            }
        }
    }

    /** Whether the balancer itself gave the final answer. */
    boolean refusedOrFailed(long id) {
        return refused.contains("" + id) || failed.contains("" + id);
    }

    // ---- Actions of the balancer

    @Override
    public void send(long id, String address, long timeout) {
        sent.add(new Sent(id, attempts.merge(id, 1, Integer::sum) - 1, address, timeout, now));
    }

    @Override
    public void cancel(long id, int attempt) {
        cancelled.add(id + "/" + attempt);
    }

    @Override
    public void refuse(long id, long retryAfter) {
        refused.add("" + id);
        retryAfters.add(retryAfter);
    }

    @Override
    public void fail(long id) {
        failed.add("" + id);
    }

    @Override
    public void scheduleTimer(long at, String handle) {
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(handle);
    }

    @Override
    public void probe(String address) {
        probes.add(address);
    }

    @Override
    public void watchHostList(boolean active) {
        watchRequests += active ? 1 : 0;
    }

    @Override
    public void fetchHostList() { }

    @Override
    public void closeIdleConnections(String address) {
        closedAddresses.add(address);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) { }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
