package mastdrift;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mastdrift.BalancerState.Attempt;
import mastdrift.BalancerState.ModelStats;
import mastdrift.BalancerState.OpenRequest;
import mastdrift.BalancerState.Server;
import mastdrift.BalancerState.Session;
import mastdrift.BalancerState.TenantQuota;

/**
 * Splits one gateway's requests over the servers by their headroom: how far a server's estimated p95 latency
 * stays below an adaptive threshold. Also decides on admission, retries, probes and host list requests.
 * {@link Balancer} has the contract and the units. docs/design.md tells what follows the published method
 * (Bartolini et al.) and what departs from it and why.
 *
 * <p>Latencies of different classes are compared as multiples of the class's typical latency: response times,
 * the threshold (theta) and the samples are such multiples. The servers whose response time is at most theta
 * are the eligible set (S*).
 */
public final class HeadroomBalancer implements Balancer {

    // Time spans and timers.
    /** T_obs: interval at which shares are computed anew; shorter than the troubles that they answer. */
    private static final long REFRESH_INTERVAL_MICROS = 500_000;
    /** T: age up to which a sample counts; older ones would outlast most troubles. */
    private static final long SAMPLE_WINDOW_MICROS = 10_000_000;
    /** A key that was not seen for this long starts a new session. */
    private static final long SESSION_TTL_MICROS = 30_000_000;
    /** Age beyond which a reported queue length says nothing about the present. */
    private static final long REPORT_MAX_AGE_MICROS = 1_000_000;
    /** Likewise for the loads that a host list carries. */
    private static final long LISTED_LOAD_MAX_AGE_MICROS = 3_000_000;
    /** Time without any answer after which a failed dial, or silence, means that a server is down. */
    private static final long DOWN_AFTER_MICROS = 1_000_000;
    /** Attempts in a row without an answer that make a server silent after that time. */
    private static final int SILENT_ATTEMPTS = 3;
    /** Longest wait before the next list request: with a request of 4 s, news is known within 6 s. */
    private static final long MAX_BACKOFF_MICROS = 2_000_000;
    /** Shortest wait before the next list request, so that failing requests never spin. */
    private static final long MIN_BACKOFF_MICROS = 25_000;
    /** How long a server that was down counts as possibly restarted: by then the registry reports it. */
    private static final long SUSPECTED_RESTART_MICROS = 6_000_000;

    // Response time estimate and threshold. Latencies are multiples of the class's typical latency.
    /** Latency samples kept for each server, enough for a 95th percentile. */
    private static final int SAMPLES_PER_SERVER = 32;
    /** Weight of the model's percentile in samples: three of 60 lie above a 95th percentile. */
    private static final double PRIOR_SAMPLES = 60;
    /** Above this fraction of failures the 95th percentile itself is a failure, so unbounded. */
    private static final double MAX_FAILURE_FRACTION = 0.05;
    /** A rate counts as an outlier above this multiple of the rate that it is compared with. */
    private static final double OUTLIER_FACTOR = 2;
    /** Stands for an infinite response time; beyond any real one. */
    private static final double UNBOUNDED_LATENCY = 1e6;
    /** Quantile of response times that stands for r~, so that no single server decides. */
    private static final double BEST_RESPONSE_QUANTILE = 0.1;
    /** Share that a server may regain in one refresh, so that it comes back without a flood. */
    private static final double SHARE_RISE_PER_REFRESH = 0.1;

    // Admission. Lateness is 1 at the latency target and 2 at the deadline.
    /** T_AC: lateness at which refusals begin. */
    private static final double REFUSAL_START_LATENESS = 1.0;
    /** Lateness at which every request with a new key is refused. */
    private static final double FULL_REFUSAL_LATENESS = 1.6;
    /** Admission looks at requests that ended within this time... */
    private static final long ADMISSION_WINDOW_MICROS = 2_000_000;
    /** ...or, where there are too few of them, within this time. */
    private static final long MAX_ADMISSION_WINDOW_MICROS = 8_000_000;
    /** Lateness samples kept for admission. */
    private static final int ADMISSION_SAMPLES = 256;
    /** Lateness that a failed attempt counts with. */
    private static final double FAILED_LATENESS = 2;
    /** Fewer samples than this carry no 95th percentile. */
    private static final double MIN_SAMPLES_BUSY = 20;
    /** Fewest samples that do at a gateway with little traffic, which can't wait for more. */
    private static final double MIN_SAMPLES_QUIET = 8;
    /** Above this fraction of full servers, the overload is the fleet's and not that of a few servers. */
    private static final double MANY_FULL_FRACTION = 0.2;
    /** Queue wait at which refusals begin, as a fraction of the tightest latency target. */
    private static final double QUEUE_REFUSAL_START = 0.15;
    /** Queue wait, likewise, at which every new key is refused: little more would be answered in time. */
    private static final double QUEUE_FULL_REFUSAL = 0.5;
    /** Requests over quota are refused with this multiple of the pressure. */
    private static final double OVER_QUOTA_REFUSAL_FACTOR = 10;
    /** Pressure up to which only requests over quota are refused. */
    private static final double IN_QUOTA_PRESSURE_START = 0.5;
    /** The shortest of this many answers shows how long a request waits in a server's queue. */
    private static final int ANSWERS_PER_WAIT = 4;

    // Choice of a server.
    /** Bounded load: what one server may have in flight, as a multiple of its part by share. */
    private static final double IN_FLIGHT_BOUND = 1.25;
    /** Bounded load: what one server may have been sent lately, likewise. */
    private static final double RECENT_SENDS_BOUND = 1.25;
    /** Bounded load for a session's own server; higher, as a host that knows the key does less work. */
    private static final double STICKY_LOAD_BOUND = 1.3;
    /** Number of sends, for each server, that count as sent lately. */
    private static final double RECENT_SENDS_PER_SERVER = 4;
    /** Eligible servers that are drawn before the least loaded of them is taken. */
    private static final int MAX_CANDIDATES = 6;
    /** Least number of slots in the draw table, enough for even parts of 500 servers. */
    private static final int MIN_TABLE_SLOTS = 4096;
    /** Draws in all, which bounds the work that a request costs. */
    private static final int MAX_DRAWS = 64;

    // Budgets and memory.
    /** Retry budget: retries earned by each request that comes in. */
    private static final double RETRIES_PER_REQUEST = 0.1;
    /** Probe budget: probes earned by each request that comes in. */
    private static final double PROBES_PER_REQUEST = 0.02;
    /** What an unused budget may save up. */
    private static final double MAX_SAVED_BUDGET = 20;
    /** Sessions remembered at most; bounds memory. */
    private static final int MAX_SESSIONS = 50_000;

    // Cold hosts.
    /** Fraction of a warm host's rate that the cold budget is based on: keys cost a cold host more. */
    private static final double COLD_RATE_FRACTION = 0.8;
    /** Factor on a cold host's rate for each list that shows it idle. */
    private static final double COLD_RATE_INCREASE = 1.25;
    /** Factor for each list that shows it busy; undoes two increases. */
    private static final double COLD_RATE_DECREASE = 0.64;

    // Moving averages, zones, sizes and the log.
    /** Weight of the newest refresh in averages over refreshes. */
    private static final double REFRESH_EWMA_WEIGHT = 0.2;
    /** Weight of one sample in a class's typical latency. */
    private static final double LATENCY_EWMA_WEIGHT = 0.01;
    /** Factor on earlier counts of losses on idle connections with each new outcome. */
    private static final double IDLE_LOSS_DECAY = 0.9;
    /** Weight of one report in the CPU utilization of its host model. */
    private static final double CPU_EWMA_WEIGHT = 0.1;
    /** Factor on the share of a server in another zone. */
    private static final double REMOTE_ZONE_FACTOR = 0.3;
    /** Exponent that moves a model's size only part of the way to even utilization in one step. */
    private static final double RESIZE_EXPONENT = 0.2;
    /** Bound on a model's size relative to the mean, up and down. */
    private static final double MAX_SIZE_RATIO = 8;
    /** Refreshes between two log lines about refusals. */
    private static final int REFRESHES_PER_LOG_LINE = 10;
    private static final String REFRESH_TIMER = "refresh";
    private static final String LIST_REQUEST_TIMER = "ask";

    private Settings settings;
    private Actions actions;
    private SplittableRandom random;
    /** Index of each class in the settings, by its name. */
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, TenantQuota> tenantQuotas = new HashMap<>();
    /** Moving average of each class's latency, in microseconds. */
    private double[] typicalLatency;
    private double maxClassValue;
    /** Whether the list's weights tell how large hosts are. */
    private boolean weightsAreSizes;
    /** The servers of the list, by address. */
    private final Map<String, Server> servers = new LinkedHashMap<>();
    /** By the name of the host model. */
    private final Map<String, ModelStats> modelStats = new LinkedHashMap<>();
    /** Slots that a request's key is hashed to; each server holds as many as any other. */
    private Server[] drawTable = new Server[0];
    private double totalShare;
    private double maxShare;
    private double totalQueue;
    private int totalInFlight;
    private double totalRecentSends;
    /** 0 while nothing has to be refused, 1 where all new keys are. */
    private double fleetPressure;
    private boolean manyServersFull;
    /** Theta: a server with a longer response time gets no share. */
    private double threshold = UNBOUNDED_LATENCY;
    /** The lowest latency target of any class, as a multiple of that class's typical latency. */
    private double tightestRelativeTarget = UNBOUNDED_LATENCY;
    private double fleetFailureFraction;
    /** Whether the list's weights tell how busy hosts are. */
    private boolean weightsAreLoads;
    private long listReceivedAt;
    /** Time in microseconds that a request takes on a host that serves no other. */
    private double unloadedLatency;
    /** Mean number of requests for each core in a zone, as told by the list. */
    private Map<String, Double> zoneLoads = Map.of();
    /** Requests without a final answer, by id. */
    private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
    /** The server that each key was sent to last, least recently used first. */
    private final LinkedHashMap<Long, Session> sessions = new LinkedHashMap<>(64, 0.75f, true);
    /** Ring buffers of the lateness of ended attempts, for admission. */
    private final long[] admissionSampleTimes = new long[ADMISSION_SAMPLES];
    private final double[] admissionSamples = new double[ADMISSION_SAMPLES];
    private int admissionSampleCount;
    /** Requests since the last refresh, and those of them without a session. */
    private int arrivedRequests;
    private int arrivedWithNewKey;
    /** Fraction of requests without a session; half until it is known. */
    private double newKeyFraction = 0.5;
    /** Fewest samples that admission judges by: from MIN_SAMPLES_QUIET to MIN_SAMPLES_BUSY, following the
        number of requests in a refresh. */
    private double minAdmissionSamples = MIN_SAMPLES_QUIET;
    private long tightestTarget = Long.MAX_VALUE;
    private double retryBudget = MAX_SAVED_BUDGET / 2;
    private double probeBudget;
    private long refreshedAt;
    private long nextListRequestAt = Long.MAX_VALUE;
    private long lastListRequestAt;
    private int listRequestFailures;
    /** Attempts lost, and all that ended, by the power of two of the connection's idle time in
        microseconds. */
    private final double[] idleLosses = new double[64];
    private final double[] idleUses = new double[64];
    /** Idle time in microseconds from which connections are closed rather than used; expires. */
    private long idleLimit = Long.MAX_VALUE;
    private long idleLimitExpiresAt;
    // Refusals since the last log line, by cause.
    private int refreshCount;
    private int refusedByPressure;
    private int withoutServer;
    private int notRetried;

    // ---- Events

    @Override
    public void start(long now, Settings newSettings, Actions newActions) {
        validate(newSettings);
        settings = newSettings;
        actions = newActions;
        random = new SplittableRandom(newSettings.seed());
        typicalLatency = new double[newSettings.classes().size()];
        for (RequestClass requestClass : newSettings.classes()) {
            typicalLatency[classIndexes.size()] = requestClass.latencyTarget() / 4.0;
            classIndexes.put(requestClass.name(), classIndexes.size());
            maxClassValue = Math.max(maxClassValue, requestClass.value());
            tightestTarget = Math.min(tightestTarget, requestClass.latencyTarget());
        }
        for (Tenant tenant : newSettings.tenants()) {
            tenantQuotas.put(tenant.name(),
                    new TenantQuota(tenant.quotaPerSecond() / newSettings.topology().gatewayCount(), now));
        }
        refreshedAt = now;
        actions.scheduleTimer(now + 1 + random.nextLong(REFRESH_INTERVAL_MICROS), REFRESH_TIMER);
        weightsAreSizes = newSettings.weightMode() == WeightMode.NOMINAL
                || newSettings.weightMode() == WeightMode.ROUGH;
        weightsAreLoads = newSettings.weightMode() == WeightMode.LIVE;
        if (newSettings.listOnRequest()) {
            nextListRequestAt = now + random.nextLong(newSettings.guarantees().listRequestDeadline() / 4 + 1);
        }
    }

    private static void validate(Settings newSettings) {
        requirePositive(newSettings.classes().size(), "classes");
        for (RequestClass requestClass : newSettings.classes()) {
            requirePositive(requestClass.latencyTarget(), requestClass.name() + " latency target");
            requirePositive(requestClass.deadline(), requestClass.name() + " deadline");
        }
        requirePositive(newSettings.topology().gatewayCount(), "gateways");
        requirePositive(newSettings.limits().maxAttempts(), "max attempts");
        requirePositive(newSettings.guarantees().coldCapacityFraction(), "cold capacity fraction");
        requirePositive(newSettings.guarantees().overloadMultiple(), "overload multiple");
    }

    private static void requirePositive(double value, String name) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " can't be " + value);
        }
    }

    @Override
    public void requestReceived(long now, Request request) {
        Integer classIndex = classIndexes.get(request.className());
        if (classIndex == null || openRequests.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or repeated id: " + request);
        }
        long key = request.key() == null ? random.nextLong() : request.key();
        OpenRequest req = new OpenRequest(request, settings.classes().get(classIndex), classIndex, key, now);
        openRequests.put(req.id, req);
        TenantQuota quota = request.tenant() == null ? null : tenantQuotas.get(request.tenant());
        req.withinQuota = quota != null && quota.refillAndCheck(now);
        arrivedRequests++;
        retryBudget = Math.min(MAX_SAVED_BUDGET, retryBudget + RETRIES_PER_REQUEST);
        probeBudget = Math.min(MAX_SAVED_BUDGET, probeBudget + PROBES_PER_REQUEST);
        Session session = req.hasKey ? sessions.get(key) : null;
        arrivedWithNewKey += session == null ? 1 : 0;
        Server server = session == null ? null : stickyServer(now, req, session);
        server = server == null ? drawServer(now, req) : server;
        boolean refused = server != null && shouldRefuse(now, req, quota, session != null, server);
        refusedByPressure += refused ? 1 : 0;
        withoutServer += server == null ? 1 : 0;
        sendOrAnswer(now, req, refused ? null : server);
    }

    private void sendOrAnswer(long now, OpenRequest req, Server server) {
        if (server == null || !trySend(now, req, server)) {
            refuseOrFail(req);
        } else if (req.hasKey) {
            sessions.put(req.key, new Session(server, now));
        }
    }

    @Override
    public void streamingStarted(long now, long id, int attemptNumber) {
        OpenRequest req = openRequests.get(id);
        if (req == null || attemptNumber < 0 || attemptNumber >= req.attempts.size()
                || !req.attempts.get(attemptNumber).pending) {
            return;
        }
        Attempt attempt = req.attempts.get(attemptNumber);
        markStreaming(attempt);
        req.streaming = true;
        IntStream.range(0, req.attempts.size())
                .filter(i -> req.attempts.get(i) != attempt && settings.limits().mayCancel())
                .forEach(i -> actions.cancel(req.id, i));
    }

    private static void markStreaming(Attempt attempt) {
        if (!attempt.streaming && attempt.server.unansweredSends > 0) {
            attempt.server.unansweredSends--;  // a long stream is no sign of a silent server
        }
        attempt.streaming = true;
    }

    /** Hedges the attempt: its host may have hung, or may write slowly. Where attempts may not overlap, gives
        it up if another may follow. */
    @Override
    public boolean responseStalled(long now, long id, int attemptNumber) {
        OpenRequest req = openRequests.get(id);
        if (req == null || req.attempts.stream().filter(a -> a.pending).count() != 1) {
            return false;
        }
        Attempt stalled = req.attempts.get(attemptNumber);
        markStreaming(stalled);  // the host has worked on it: its age is no sign of a queue
        boolean hedge = settings.limits().mayHedge();
        stalled.pending = hedge;  // without hedging, only an attempt that has ended is followed by another
        Server server = retryServer(now, req);
        stalled.pending = true;
        if (server != null && hedge) {
            retryBudget -= retryCost(req);
            recordFailure(now, stalled.server, Outcome.DROPPED);
            trySend(now, req, server);
        }
        return server != null && !hedge;
    }

    @Override
    public void attemptEnded(long now, long id, int attemptNumber, String address, Outcome outcome,
            long elapsed, boolean requestEnded, LoadReport report) {
        OpenRequest req = openRequests.get(id);
        recordReport(now, servers.get(address), report);
        boolean known = req != null && attemptNumber >= 0 && attemptNumber < req.attempts.size();
        Attempt attempt = known ? req.attempts.get(attemptNumber) : null;
        if (attempt == null || !attempt.pending) {
            return;  // late or repeated; counted twice, the sums of attempts in flight would be wrong
        }
        recordAttemptEnd(now, req, attempt, outcome, elapsed);
        if (countsForAdmission(now, attempt.server) && outcome != Outcome.REVOKED
                && outcome != Outcome.UNUSED) {
            admissionSampleTimes[admissionSampleCount % ADMISSION_SAMPLES] = now;
            double sampleLateness = lateness(attempt.streaming ? req.arrivedAt + elapsed : now, req);
            admissionSamples[admissionSampleCount++ % ADMISSION_SAMPLES] =
                    outcome == Outcome.DELIVERED ? sampleLateness : FAILED_LATENESS;
        }
        if (requestEnded) {
            endRequest(req);
        } else if (req.attempts.stream().noneMatch(a -> a.pending)) {
            retry(now, req);
        }
    }

    @Override
    public boolean mayWrite(long now, long id, int attemptNumber) {
        OpenRequest req = openRequests.get(id);
        if (req == null || attemptNumber < 0 || attemptNumber >= req.attempts.size()
                || !req.attempts.get(attemptNumber).pending) {
            return false;
        }
        Attempt attempt = req.attempts.get(attemptNumber);
        return isListed(attempt.server) && req.expiresAt > now
                && mayRepeat(now, req, attempt.server, attempt);
    }

    @Override
    public void clientLeft(long now, long id) {
        if (openRequests.containsKey(id)) {
            endRequest(openRequests.get(id));
        }
    }

    @Override
    public void timerFired(long now, String handle) {
        if (handle.equals(REFRESH_TIMER)) {
            // Before anything else: an exception in what follows must not end the refreshes.
            actions.scheduleTimer(now + REFRESH_INTERVAL_MICROS, REFRESH_TIMER);
            refresh(now);
            sendProbes();
        }
        if (now >= nextListRequestAt) {
            nextListRequestAt = Long.MAX_VALUE;
            lastListRequestAt = now;
            actions.watchHostList(true);
        }
    }

    @Override
    public int excludedHostCount(long now) {
        return (int) servers.values().stream().filter(server -> targetShare(now, server) == 0).count();
    }

    // ---- Response time estimate of a server: resp_time(s)

    private void recordAttemptEnd(long now, OpenRequest req, Attempt attempt, Outcome outcome, long elapsed) {
        Server server = attempt.server;
        attempt.pending = false;
        attempt.neverRan = outcome.neverRan();
        server.inFlight.remove(attempt);
        totalInFlight--;
        if (outcome == Outcome.DELIVERED || outcome == Outcome.DROPPED || outcome == Outcome.EXPIRED) {
            recordIdleOutcome(now, attempt, outcome != Outcome.DELIVERED);
        }
        if (outcome == Outcome.SHED || outcome == Outcome.DIAL_FAILED) {
            setQueueWait(now, server, tightestTarget);
        } else if (outcome == Outcome.DELIVERED || outcome == Outcome.EXPIRED) {
            recordQueueWait(now, server, elapsed);
        }
        switch (outcome) {
            case DELIVERED -> {
                server.lastDeliveryAt = now;
                typicalLatency[req.classIndex] +=
                        LATENCY_EWMA_WEIGHT * (elapsed - typicalLatency[req.classIndex]);
                server.deliveredCount++;
                server.overtakenSentAt = Math.max(server.overtakenSentAt, attempt.sentAt - elapsed);
                recordAnswer(now, server);
                addSample(now, server, elapsed / typicalLatency[req.classIndex]);
            }
            case REVOKED, UNUSED -> { }
            default -> recordFailure(now, server, outcome);
        }
    }

    private void recordFailure(long now, Server server, Outcome outcome) {
        if (outcome == Outcome.ERROR || outcome == Outcome.SHED) {
            recordAnswer(now, server);
        } else if (outcome == Outcome.DIAL_FAILED && now - server.lastAnswerAt > DOWN_AFTER_MICROS) {
            markDown(now, server);
        }
        addSample(now, server, UNBOUNDED_LATENCY);
        summarizeSamples(now, server);
        estimateResponseTime(server);
        server.share = Math.min(server.share, targetShare(now, server));
    }

    /** Marks a server down. Once more than half of its zone is down, so are the zone's servers that have not
        answered for as long: a lost zone should not cost a request for each of its servers. */
    private void markDown(long now, Server server) {
        server.down = true;
        String zoneName = server.host.zone();
        List<Server> zoneServers = servers.values().stream().filter(s -> s.host.zone().equals(zoneName))
                .toList();
        if (2 * zoneServers.stream().filter(s -> s.down).count() > zoneServers.size()) {
            zoneServers.stream().filter(s -> now - s.lastAnswerAt > DOWN_AFTER_MICROS)
                    .forEach(s -> s.down = true);
        }
        zoneServers.stream().filter(s -> s.down).forEach(s -> s.share = 0);
    }

    /** A server that was down may have restarted, which the registry reports later: it comes back as cold. */
    private void recordAnswer(long now, Server server) {
        server.lastAnswerAt = now;
        server.unansweredSends = 0;
        if (server.down) {
            server.down = false;
            markCold(now, server, now, SUSPECTED_RESTART_MICROS);
        }
    }

    private void addSample(long now, Server server, double value) {
        int slot = server.sampleCount++ % SAMPLES_PER_SERVER;
        server.sampleTimes[slot] = now;
        server.sampleValues[slot] = value;
    }

    private static void recordReport(long now, Server server, LoadReport report) {
        if (server != null && !Double.isNaN(report.cpuUtilization()) && server.coldSince == 0) {
            ModelStats stats = server.modelStats;
            stats.reportedSinceResize = true;
            stats.cpuUtilization += (stats.reportCount++ == 0 ? 1 : CPU_EWMA_WEIGHT)
                    * (report.cpuUtilization() - stats.cpuUtilization);
        }
        if (server != null && !Double.isNaN(report.queuedRequests())) {
            server.reportedQueue = report.queuedRequests();
            server.queueReportedAt = now;
        }
    }

    /** Derives loads from the list's weights, which in live mode are size / (1 + requests per core). They
        count the requests of all gateways, of which each knows only its own. The size is a model's highest
        weight. A new list that shows a cold host idle raises its rate; one that shows it busy lowers it. */
    private void updateListedLoads(long now, boolean newList) {
        for (Server server : servers.values()) {
            server.modelStats.maxWeight = Math.max(server.modelStats.maxWeight, server.host.weight());
        }
        boolean fresh = listedLoadsAreFresh(now);
        for (Server server : servers.values()) {
            // Under one request per core.
            boolean idle = 2 * server.host.weight() > server.modelStats.maxWeight;
            if (!fresh || server.coldSince == 0) {
                server.coldRateFactor = 1;
            } else if (newList) {
                double factor = server.coldRateFactor * (idle ? COLD_RATE_INCREASE : COLD_RATE_DECREASE);
                server.coldRateFactor =
                        Math.max(1, Math.min(settings.guarantees().overloadMultiple(), factor));
            }
        }
        double meanLoad = servers.values().stream()
                .filter(s -> s.host.state() == HostState.IN_SERVICE && s.host.weight() > 0)
                .mapToDouble(s -> s.modelStats.maxWeight / s.host.weight()).average().orElse(1);
        unloadedLatency = Arrays.stream(typicalLatency).average().orElse(0) / meanLoad;
        zoneLoads = !fresh ? Map.of() : servers.values().stream()
                .filter(s -> s.host.state() == HostState.IN_SERVICE && !s.down && s.host.weight() > 0)
                .collect(Collectors.groupingBy(s -> s.host.zone(),
                        Collectors.averagingDouble(s -> s.modelStats.maxWeight / s.host.weight() - 1)));
    }

    private boolean listedLoadsAreFresh(long now) {
        return weightsAreLoads && listReceivedAt > 0 && now - listReceivedAt < LISTED_LOAD_MAX_AGE_MICROS;
    }

    /** Computes the p95 and the failures of a server's own samples. Attempts in flight count with their age
        if that exceeds the estimate, so that a server that hangs shows early. */
    private void summarizeSamples(long now, Server server) {
        double[] values = new double[SAMPLES_PER_SERVER + server.inFlight.size()];
        int count = 0;
        int failures = 0;
        for (int i = 0; i < Math.min(SAMPLES_PER_SERVER, server.sampleCount); i++) {
            if (now - server.sampleTimes[i] > SAMPLE_WINDOW_MICROS) {
                continue;
            }
            if (server.sampleValues[i] >= UNBOUNDED_LATENCY) {
                failures++;
            } else {
                values[count++] = server.sampleValues[i];
            }
        }
        for (Attempt attempt : server.inFlight) {
            double age = (now - attempt.sentAt) / typicalLatency[attempt.classIndex];
            if (age > server.responseTime && !attempt.streaming) {
                values[count++] = age;
            }
        }
        Arrays.sort(values, 0, count);
        server.ownP95 = count == 0 ? 0 : values[(int) Math.ceil(0.95 * count) - 1];
        server.ownSampleCount = count;
        server.ownFailureCount = failures;
    }

    /** resp_time(s): the server's own p95 blended with that of its model, which counts as PRIOR_SAMPLES. */
    private void estimateResponseTime(Server server) {
        int ownSamples = server.ownSampleCount;
        ModelStats stats = server.modelStats;
        double modelP95 = stats.sampleCount == 0 ? 1 : stats.weightedP95Sum / stats.sampleCount;
        double blended = (ownSamples * server.ownP95
                + PRIOR_SAMPLES * (modelP95 + (ownSamples == 0 ? server.probeRoundTrip : 0)))
                / (ownSamples + PRIOR_SAMPLES);
        server.responseTime = isFailing(server) ? UNBOUNDED_LATENCY : blended;
        server.successFraction = (ownSamples + PRIOR_SAMPLES)
                / (ownSamples + server.ownFailureCount + PRIOR_SAMPLES);
    }

    /** Whether failures exceed MAX_FAILURE_FRACTION by more than chance explains. Where the whole fleet
        fails more, as in an overload, the limit rises with it: emptying S* would overload the servers left
        in it. */
    private boolean isFailing(Server server) {
        double expected = Math.max(MAX_FAILURE_FRACTION, OUTLIER_FACTOR * fleetFailureFraction)
                * (server.ownSampleCount + server.ownFailureCount);
        return server.ownFailureCount - 1 > expected + Math.sqrt(expected);
    }

    // ---- Shares and the eligible set (S*)

    /** Computes estimates, threshold, shares and pressure anew; once every REFRESH_INTERVAL_MICROS
        (T_obs). */
    private void refresh(long now) {
        double seconds = Math.max(1, now - refreshedAt) / 1e6;
        refreshedAt = now;
        minAdmissionSamples += REFRESH_EWMA_WEIGHT * (Math.max(MIN_SAMPLES_QUIET,
                Math.min(MIN_SAMPLES_BUSY, arrivedRequests)) - minAdmissionSamples);
        newKeyFraction += arrivedRequests == 0 ? 0
                : REFRESH_EWMA_WEIGHT * ((double) arrivedWithNewKey / arrivedRequests - newKeyFraction);
        arrivedRequests = arrivedWithNewKey = 0;
        modelStats.values().forEach(ModelStats::resetSums);
        for (Server server : servers.values()) {
            if (server.unansweredSends >= SILENT_ATTEMPTS && now - server.unansweredSince > DOWN_AFTER_MICROS
                    && !server.down) {
                markDown(now, server);
            }
            summarizeSamples(now, server);
            long oldest = server.inFlight.stream()
                    .filter(a -> a.sentAt > server.overtakenSentAt && !a.streaming)
                    .findFirst().map(a -> now - a.sentAt).orElse(0L);
            if (oldest > estimatedQueueWait(now, server)) {
                setQueueWait(now, server, oldest);
            }
            server.modelStats.weightedP95Sum += server.ownSampleCount * server.ownP95;
            server.modelStats.sampleCount += server.ownSampleCount;
            if (server.coldSince == 0 && server.host.state() == HostState.IN_SERVICE) {
                server.modelStats.warmServers++;
                server.modelStats.deliveredCount += server.deliveredCount;
            }
            server.deliveredCount = 0;
        }
        for (ModelStats stats : modelStats.values()) {
            double rate = stats.warmServers == 0 ? 0 : stats.deliveredCount / stats.warmServers / seconds;
            double weight = rate > stats.deliveredPerSecond ? REFRESH_EWMA_WEIGHT
                    : REFRESH_INTERVAL_MICROS / (double) settings.guarantees().warmUpTime();
            stats.deliveredPerSecond += stats.warmServers == 0 ? 0
                    : weight * (rate - stats.deliveredPerSecond);
        }
        updateListedLoads(now, false);
        if (now > idleLimitExpiresAt) {
            idleLimit = Long.MAX_VALUE;
        }
        fleetFailureFraction = medianFailureFraction();
        resizeModels();
        servers.values().forEach(this::estimateResponseTime);
        updateThreshold();
        double rise = Math.max(SHARE_RISE_PER_REFRESH,
                REFRESH_INTERVAL_MICROS / (double) settings.guarantees().warmUpTime());
        double decay = Math.min(1, RECENT_SENDS_PER_SERVER * servers.size() / Math.max(1, totalRecentSends));
        totalRecentSends = 0;
        totalShare = 0;
        maxShare = 0;
        totalQueue = 0;
        for (Server server : servers.values()) {
            double target = targetShare(now, server);
            server.share = Math.min(target, server.share + rise);
            server.eligible = target > 0;
            totalShare += server.share;
            maxShare = Math.max(maxShare, server.share);
            totalQueue += freshReportedQueue(now, server);
            server.recentSends *= decay;
            totalRecentSends += server.recentSends;
        }
        long sampled = servers.values().stream()
                .filter(s -> s.ownSampleCount + s.ownFailureCount > 0).count();
        manyServersFull = servers.values().stream().filter(s -> isFull(now, s)).count()
                > MANY_FULL_FRACTION * sampled;
        updateFleetPressure(now);
        expireSessions(now);
        logRefusals(now);
    }

    /** Logs for operators why requests were refused; at most one line in REFRESHES_PER_LOG_LINE refreshes. */
    private void logRefusals(long now) {
        if (++refreshCount % REFRESHES_PER_LOG_LINE != 0
                || refusedByPressure + withoutServer + notRetried == 0) {
            return;
        }
        long up = servers.values().stream().filter(s -> s.host.state() == HostState.IN_SERVICE).count();
        long eligible = servers.values().stream().filter(s -> s.eligible).count();
        long down = servers.values().stream().filter(s -> s.down).count();
        long cold = servers.values().stream().filter(s -> s.coldSince > 0).count();
        long full = servers.values().stream().filter(s -> isFull(now, s)).count();
        actions.log("turned away: " + refusedByPressure + " by pressure, "
                + withoutServer + " with no host, " + notRetried
                + " after a failed attempt; pressure " + Math.round(100 * fleetPressure) + "%; hosts "
                + servers.size() + ": " + up + " up, " + eligible + " in S*, " + down + " down, "
                + cold + " cold, " + full + " full");
        refusedByPressure = withoutServer = notRetried = 0;
    }

    /** Adjusts the relative sizes of host models until all report the same CPU utilization. Works by model,
        as one gateway of many gets too few reports of a single server. Each step waits for a new report of
        every model: steps on old reports would go on without end. */
    private void resizeModels() {
        if (modelStats.values().stream().anyMatch(k -> !k.reportedSinceResize)) {
            return;
        }
        modelStats.values().forEach(k -> k.reportedSinceResize = false);
        double meanCpu = modelStats.values().stream().filter(k -> k.reportCount > 0)
                .mapToDouble(k -> k.cpuUtilization).average().orElse(0);
        for (ModelStats stats : modelStats.values()) {
            if (stats.reportCount > 0 && meanCpu > 0) {
                double change = Math.pow(meanCpu / Math.max(stats.cpuUtilization, meanCpu / MAX_SIZE_RATIO),
                        RESIZE_EXPONENT);
                stats.relativeSize = Math.max(1 / MAX_SIZE_RATIO,
                        Math.min(MAX_SIZE_RATIO, stats.relativeSize * change));
            }
        }
    }

    private double medianFailureFraction() {
        double[] fractions = servers.values().stream()
                .filter(s -> !s.down && s.ownSampleCount + s.ownFailureCount > 0)
                .mapToDouble(s -> (double) s.ownFailureCount / (s.ownSampleCount + s.ownFailureCount))
                .sorted().toArray();
        return fractions.length == 0 ? 0 : fractions[fractions.length / 2];
    }

    /** theta = k * T_SS with k = ceil(r~ / T_SS). T_SS is the tightest deadline, the highest value that the
        method allows: S* holds every server that answers in time, and the shares of healthy servers don't
        follow the noise of a p95, which would move keys away from the servers that have them cached. */
    private void updateThreshold() {
        double[] responseTimes = servers.values().stream()
                .filter(s -> !s.down && s.host.state() == HostState.IN_SERVICE)
                .mapToDouble(s -> s.responseTime).sorted().toArray();
        if (responseTimes.length == 0) {
            return;
        }
        double systemThreshold = UNBOUNDED_LATENCY;
        tightestRelativeTarget = UNBOUNDED_LATENCY;
        for (int i = 0; i < typicalLatency.length; i++) {
            systemThreshold = Math.min(systemThreshold,
                    settings.classes().get(i).deadline() / typicalLatency[i]);
            tightestRelativeTarget = Math.min(tightestRelativeTarget,
                    settings.classes().get(i).latencyTarget() / typicalLatency[i]);
        }
        threshold = systemThreshold * Math.ceil(
                responseTimes[(int) (BEST_RESPONSE_QUANTILE * responseTimes.length)] * 1.01
                / systemThreshold);
    }

    /** The share a server should have: its headroom (theta - resp_time(s)) / theta, times its size, its
        warm fraction, the fraction of attempts that succeed (failures leave no latencies) and the zone's
        factor. */
    private double targetShare(long now, Server server) {
        if (server.down || server.host.state() != HostState.IN_SERVICE || server.responseTime > threshold) {
            return 0;
        }
        double zoneFactor = zoneFactor(server.host.zone());
        double size = zoneFactor * server.modelStats.relativeSize
                * (weightsAreSizes ? server.host.weight() : 1);
        return (threshold - server.responseTime) / threshold * size * warmFraction(now, server)
                * server.successFraction;
    }

    /** Lower for another zone, as crossing zones costs time and a penalty; the less so the busier the own
        zone is than the other. All gateways of a zone prefer it and would overload it while other zones
        are idle. */
    private double zoneFactor(String zone) {
        String ownZone = settings.topology().zone();
        double loadRatio = (1 + zoneLoads.getOrDefault(ownZone, 0.0))
                / (1 + zoneLoads.getOrDefault(zone, 0.0));
        return zone.equals(ownZone) ? 1 : REMOTE_ZONE_FACTOR * loadRatio;
    }

    private double freshReportedQueue(long now, Server server) {
        return now - server.queueReportedAt < REPORT_MAX_AGE_MICROS ? server.reportedQueue : 0;
    }

    // ---- Choice of a server, and sessions

    /** Draws servers in proportion to their shares, by rejection, until one is not too loaded, else takes the
        least loaded of those drawn; null if no server may be used. The key seeds the draw, so gateways that
        agree on the shares choose the same server for it. A request within its tenant's quota also avoids
        servers with a queue, where it might be refused while other servers have none. Requests over quota
        don't: they would fill those servers too. */
    private Server drawServer(long now, OpenRequest req) {
        Server leastLoaded = null;
        double leastLoad = Double.MAX_VALUE;
        int candidates = 0;
        for (int i = 0; i < MAX_DRAWS && candidates < MAX_CANDIDATES && drawTable.length > 0; i++) {
            long hash = mix64(req.key + i * 0x9E3779B97F4A7C15L);
            Server server = drawTable[(int) hash & (drawTable.length - 1)];
            if ((mix64(hash) >>> 11) * 0x1.0p-53 * maxShare >= server.share || !maySend(now, req, server)) {
                continue;
            }
            candidates++;
            double load = relativeLoad(now, server)
                    + (req.withinQuota ? Math.max(0, queuePressure(now, server)) : 0);
            if (load <= 1) {
                return server;
            }
            if (load < leastLoad) {
                leastLoaded = server;
                leastLoad = load;
            }
        }
        return leastLoaded;
    }

    /** Bounded load: attempts in flight and queued, with one more, relative to the server's part of all by
        share; up to 2 are always allowed. Recent sends are bounded likewise, as one gateway of many has few
        attempts in flight: this spreads a popular key over the next servers in its order. Above 1 is too
        much. */
    private double relativeLoad(long now, Server server) {
        double inFlight = server.inFlight.size() + freshReportedQueue(now, server) + 1;
        double sharePart = server.share / Math.max(totalShare, 1e-9);
        double recentLoad = (server.recentSends + 1) / (totalRecentSends * sharePart + 1);
        double inFlightLoad = inFlight <= 2 ? inFlight / 2
                : inFlight / Math.max((totalInFlight + totalQueue + 1) * sharePart, 1);
        return Math.max(recentLoad / RECENT_SENDS_BOUND, inFlightLoad / IN_FLIGHT_BOUND);
    }

    /** The session's server, or null if it can't be used or is too loaded. */
    private Server stickyServer(long now, OpenRequest req, Session session) {
        Server server = session.server();
        boolean usable = server.eligible && !server.down && maySend(now, req, server);
        return usable && relativeLoad(now, server) <= STICKY_LOAD_BOUND ? server : null;
    }

    private void expireSessions(long now) {
        Iterator<Session> eldest = sessions.values().iterator();
        while (eldest.hasNext()) {
            if (now - eldest.next().lastUsedAt() < SESSION_TTL_MICROS && sessions.size() <= MAX_SESSIONS) {
                return;
            }
            eldest.remove();
        }
    }

    /** Fills the draw table (Maglev hashing): servers take slots in turn, each in a pseudo-random order of
        its own. All get equally many, the table is the same at every gateway whatever the order of its list,
        and a server that is added or removed moves few slots of others. */
    private void buildDrawTable() {
        Server[] sorted = servers.values().toArray(new Server[0]);
        Arrays.sort(sorted, Comparator.comparing(server -> server.host.address()));
        int size = MIN_TABLE_SLOTS;
        while (size < 8 * sorted.length) {
            size *= 8;
        }
        drawTable = new Server[sorted.length == 0 ? 0 : size];
        long[] nextProbe = new long[sorted.length];
        for (int filled = 0; filled < drawTable.length; filled++) {
            int index = filled % sorted.length;
            long hash = mix64(sorted[index].host.address().hashCode() + 0x9E3779B97F4A7C15L);
            int slot;
            do {
                slot = (int) (hash + nextProbe[index]++ * (hash >>> 32 | 1)) & size - 1;
            } while (drawTable[slot] != null);
            drawTable[slot] = sorted[index];
        }
    }

    /** The 64-bit finalizer of SplitMix64. */
    private static long mix64(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    // ---- Admission

    /** Pressure from the 95th percentile of the lateness of what S* served lately. While only a few servers
        are full, these are left out: a tenth of the servers would make the whole gateway refuse. Requests in
        flight that are late and not overtaken count as served. Failed attempts count only in a second figure,
        the median of all: it is high once half of all are late or failed, when hardly anything is served. */
    private void updateFleetPressure(long now) {
        int available = Math.min(ADMISSION_SAMPLES, admissionSampleCount);
        double[] deliveredLateness = new double[available + openRequests.size()];
        double[] allLateness = new double[available + openRequests.size()];
        int deliveredCount = 0;
        int allCount = 0;
        for (int i = admissionSampleCount - 1; i >= admissionSampleCount - available; i--) {
            long age = now - admissionSampleTimes[i % ADMISSION_SAMPLES];
            if (age >= ADMISSION_WINDOW_MICROS
                    && (allCount >= minAdmissionSamples || age >= MAX_ADMISSION_WINDOW_MICROS)) {
                break;
            }
            allLateness[allCount++] = admissionSamples[i % ADMISSION_SAMPLES];
            if (admissionSamples[i % ADMISSION_SAMPLES] < FAILED_LATENESS) {
                deliveredLateness[deliveredCount++] = admissionSamples[i % ADMISSION_SAMPLES];
            }
        }
        for (OpenRequest req : openRequests.values()) {
            Attempt attempt = req.attempts.get(req.attempts.size() - 1);
            if (now - req.arrivedAt > req.requestClass.latencyTarget() && !attempt.streaming
                    && countsForAdmission(now, attempt.server)) {
                allLateness[allCount++] = lateness(now, req);
                if (attempt.sentAt > attempt.server.overtakenSentAt) {
                    deliveredLateness[deliveredCount++] = lateness(now, req);
                }
            }
        }
        double tailLateness = Math.max(quantile(deliveredLateness, deliveredCount, 0.95),
                quantile(allLateness, allCount, 0.5));
        fleetPressure = Math.max(0, Math.min(1,
                (tailLateness - REFUSAL_START_LATENESS) / (FULL_REFUSAL_LATENESS - REFUSAL_START_LATENESS)));
    }

    /** Sorts the first {@code count} values; 0 for too few. The highest value is never taken. */
    private double quantile(double[] values, int count, double quantile) {
        Arrays.sort(values, 0, count);
        return count < minAdmissionSamples ? 0
                : values[Math.min(count - 2, (int) Math.ceil(quantile * count) - 1)];
    }

    /** Elapsed time relative to the latency target up to 1, then 1 plus the fraction of the way from the
        target to the deadline. */
    private static double lateness(long now, OpenRequest req) {
        double waited = now - req.arrivedAt;
        long target = req.requestClass.latencyTarget();
        return waited <= target ? waited / target
                : 1 + (waited - target) / Math.max(1, req.requestClass.deadline() - target);
    }

    /** The higher of the fleet's pressure and that of the server's queue, at most 1. */
    private double serverPressure(long now, Server server) {
        return Math.max(fleetPressure, Math.min(1, queuePressure(now, server)));
    }

    /** Whether a server's latencies count for the fleet's pressure. */
    private boolean countsForAdmission(long now, Server server) {
        return server.eligible && (manyServersFull || !isFull(now, server));
    }

    /** Judged by its queue and by its own p95, as a slow server that gets few requests shows no queue. */
    private boolean isFull(long now, Server server) {
        return queuePressure(now, server) > 0 || server.ownP95 > tightestRelativeTarget;
    }

    /** Pressure of a server's queue: 0 where refusals begin, 1 where all new keys are refused; unbounded both
        ways. The queue wait comes from the shortest answers: long requests raise a percentile, but only a
        queue raises the shortest answer. */
    private double queuePressure(long now, Server server) {
        return (estimatedQueueWait(now, server) / tightestTarget - QUEUE_REFUSAL_START)
                / (QUEUE_FULL_REFUSAL - QUEUE_REFUSAL_START);
    }

    /** Sets the queue wait to the shortest of ANSWERS_PER_WAIT answers; a shorter answer counts at once. */
    private void recordQueueWait(long now, Server server, double wait) {
        server.shortestAnswer = Math.min(server.shortestAnswer, wait);
        if (++server.answersCompared >= ANSWERS_PER_WAIT || wait < estimatedQueueWait(now, server)) {
            setQueueWait(now, server, server.shortestAnswer);
        }
    }

    private void setQueueWait(long now, Server server, double wait) {
        server.queueWait = wait;
        server.queueWaitAt = now;
        server.shortestAnswer = Double.MAX_VALUE;
        server.answersCompared = 0;
    }

    /** The last known queue wait less the time since, as the queue drains. Where the list carries loads, at
        least the wait that they imply: requests beyond one per core wait as long as one takes without load.
        They count the requests of all gateways, while each sees few answers, and those late. */
    private double estimatedQueueWait(long now, Server server) {
        double listedWait = listedLoadsAreFresh(now) && server.host.weight() > 0
                ? (server.modelStats.maxWeight / server.host.weight() - 2) * unloadedLatency : 0;
        return Math.max(Math.max(0, listedWait), server.queueWait - (now - server.queueWaitAt));
    }

    /** Refuses requests over quota first, and only those up to IN_QUOTA_PRESSURE_START. Of the others, a part
        as large as the pressure: new keys first, then sessions for the part that refusing all new keys
        leaves. That depends on the fraction of new keys: where nearly all requests have a session, too few
        would be refused before hosts are overloaded. Classes of higher value are refused less. Takes a token
        for a request within quota that is admitted. */
    private boolean shouldRefuse(long now, OpenRequest req, TenantQuota quota, boolean hasSession,
            Server server) {
        boolean overQuota = quota != null && !req.withinQuota;
        double pressure = serverPressure(now, server);
        double ownPressure = quota == null ? pressure
                : Math.max(0, (pressure - IN_QUOTA_PRESSURE_START) / (1 - IN_QUOTA_PRESSURE_START));
        double chance = overQuota ? OVER_QUOTA_REFUSAL_FACTOR * pressure
                : hasSession ? (ownPressure - newKeyFraction) / Math.max(1e-9, 1 - newKeyFraction)
                : ownPressure / Math.max(1e-9, newKeyFraction);
        if (chance > 0
                && random.nextDouble() < chance * (1.2 - 0.4 * req.requestClass.value() / maxClassValue)) {
            return true;
        }
        if (quota != null && !overQuota) {
            quota.tokens--;
        }
        return false;
    }

    // ---- Guarantees: single final answer, no unsafe repeat, drain, cold hosts

    /** Sends an attempt if the guarantees allow it. All sends pass here, so that the rules on draining hosts,
        repeats, hedging and cold hosts hold for each. */
    private boolean trySend(long now, OpenRequest req, Server server) {
        if (!maySend(now, req, server)) {
            return false;
        }
        if (server.coldSince > 0) {
            server.coldBudget--;
        }
        Attempt attempt = new Attempt(server, req.classIndex, now);
        req.attempts.add(attempt);
        server.inFlight.add(attempt);
        closeStaleConnections(now, server, attempt);
        if (server.unansweredSends++ == 0) {
            server.unansweredSince = now;
        }
        server.lastSendAt = now;
        server.recentSends++;
        totalRecentSends++;
        totalInFlight++;
        actions.send(req.id, server.host.address(), req.expiresAt - now);
        return true;
    }

    /** Idle connections can be lost unnoticed (by the shorter limit of a firewall or of a host): a request
        on one is reset or never answered. Connections that have been idle for longer than earlier losses
        allow are closed before the send. Where those had another cause, this costs a handshake; the limit
        expires. */
    private void closeStaleConnections(long now, Server server, Attempt attempt) {
        long idleTime = server.inFlight.size() > 1 || server.lastDeliveryAt == 0 ? 0
                : now - server.lastDeliveryAt;
        if (idleTime >= idleLimit) {
            actions.closeIdleConnections(server.host.address());
        } else if (idleTime < settings.connections().idleTimeout()) {
            attempt.connectionIdleTime = idleTime;
        }
    }

    /** Counts losses by the connection's idle time, in powers of two. From the longest idle time down, the
        limit is lowered to each at which half of the attempts were lost, and far more than on busy
        connections (bucket 0), once about two were lost. */
    private void recordIdleOutcome(long now, Attempt attempt, boolean lost) {
        int bucket = attempt.connectionIdleTime <= 0 ? 0
                : 63 - Long.numberOfLeadingZeros(attempt.connectionIdleTime);
        idleLosses[bucket] = (lost ? 1 : 0) + idleLosses[bucket] * IDLE_LOSS_DECAY;
        idleUses[bucket] = 1 + idleUses[bucket] * IDLE_LOSS_DECAY;
        double minLossFraction = Math.max(0.5, OUTLIER_FACTOR * idleLosses[0] / Math.max(1, idleUses[0]));
        double losses = 0;
        for (int i = idleLosses.length - 1; lost && i > 0; i--) {
            losses += idleLosses[i];
            if (idleLosses[i] > 0.5 && idleLosses[i] >= minLossFraction * idleUses[i] && losses > 1.5
                    && 1L << i < idleLimit) {
                idleLimit = 1L << i;
                idleLimitExpiresAt = now + SESSION_TTL_MICROS * 2;
            }
        }
    }

    /** Whether a request may be sent to a server as its next attempt. */
    private boolean maySend(long now, OpenRequest req, Server server) {
        return isListed(server) && req.expiresAt > now && !req.streaming
                && req.attempts.size() < settings.limits().maxAttempts()
                && mayRepeat(now, req, server, null) && coldBudgetAllows(now, req, server);
    }

    /** Whether this very process of the host is listed as in service. */
    private boolean isListed(Server server) {
        return server.host.state() == HostState.IN_SERVICE && servers.get(server.host.address()) == server;
    }

    /** Whether the earlier attempts allow another one at this server: those that may have run forbid it for
        UNSAFE, and outside their dedup scope or window for KEYED. {@code unwritten} is the attempt that is
        checked if it exists already and waits to be written, or null. */
    private boolean mayRepeat(long now, OpenRequest req, Server server, Attempt unwritten) {
        for (Attempt attempt : req.attempts) {
            if (attempt == unwritten) {
                continue;
            }
            if (attempt.pending && !settings.limits().mayHedge() || attempt.server == server) {
                return false;
            }
            if (attempt.neverRan || req.requestClass.idempotency() == Idempotency.SAFE) {
                continue;
            }
            if (req.requestClass.idempotency() == Idempotency.UNSAFE
                    || now - attempt.sentAt >= req.requestClass.dedupWindow()
                    || !inSameDedupScope(req.requestClass.dedupScope(), attempt.server.host, server.host)) {
                return false;
            }
        }
        return true;
    }

    private static boolean inSameDedupScope(DedupScope scope, Host one, Host other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone().equals(other.zone());
            case CELL -> one.cell() == other.cell();
        };
    }

    /** Gives the final answer: a refusal where a new try is known to do no harm, else a failure. */
    private void refuseOrFail(OpenRequest req) {
        boolean harmless = req.requestClass.idempotency() == Idempotency.SAFE
                || req.requestClass.idempotency() == Idempotency.KEYED
                && req.requestClass.dedupScope() == DedupScope.ALL
                || req.attempts.stream().allMatch(a -> a.neverRan);
        if (harmless) {
            actions.refuse(req.id,
                    settings.limits().sendsRetryAfter() ? settings.limits().maxRetryAfter() : 0);
        } else {
            actions.fail(req.id);
        }
        endRequest(req);
    }

    /** Forgets a request and its attempts in flight, which are cancelled where that is allowed. */
    private void endRequest(OpenRequest req) {
        openRequests.remove(req.id);
        for (int i = 0; i < req.attempts.size(); i++) {
            Attempt attempt = req.attempts.get(i);
            if (attempt.pending) {
                attempt.pending = false;
                attempt.server.inFlight.remove(attempt);
                totalInFlight--;
                if (settings.limits().mayCancel()) {
                    actions.cancel(req.id, i);
                }
            }
        }
    }

    /** Whether the cold budget of a host allows one more attempt. It grows with the rate of warm hosts of the
        model, times the warm fraction, from a random start, so that the first requests of many gateways don't
        arrive together. As that rate is a guess (warm hosts have keys cached, clients give up), unanswered
        attempts are bounded too. */
    private boolean coldBudgetAllows(long now, OpenRequest req, Server server) {
        if (server.coldSince == 0 || warmFraction(now, server) == 1) {
            return true;
        }
        double rate = COLD_RATE_FRACTION * server.coldRateFactor * warmFraction(now, server)
                * warmRateOfModel(server);
        double maxBudget = Math.max(1, rate * settings.guarantees().overloadWindow() / 2e6);
        server.coldBudget = Math.min(maxBudget,
                server.coldBudget + rate * (now - server.coldBudgetUpdatedAt) / 1e6);
        server.coldBudgetUpdatedAt = now;
        double maxUnanswered = 2 * rate * typicalLatency[req.classIndex] / 1e6;
        return server.coldBudget >= 1
                && (server.unansweredSends == 0 || server.unansweredSends < maxUnanswered
                || now - server.lastSendAt >= settings.guarantees().overloadWindow());
    }

    /** Requests per second that a warm host of the model serves. Not what it is sent: in an overload that is
        many times its capacity, and a cold host given its part of that would be overloaded. Kept while no
        host is warm, and for about a warm-up time when warm hosts serve less, as in a collapse only the new
        hosts can end it. At least this gateway's part of what one core serves: the gateway may have just
        started, or all warm hosts may be overloaded. */
    private double warmRateOfModel(Server server) {
        double modelRate = server.modelStats.deliveredPerSecond > 0 ? server.modelStats.deliveredPerSecond
                : modelStats.values().stream().filter(k -> k.deliveredPerSecond > 0)
                .mapToDouble(k -> k.deliveredPerSecond).min().orElse(0);
        double oneCore = 1e6 / Arrays.stream(typicalLatency).max().orElse(1e6);
        return Math.max(modelRate, oneCore / settings.topology().gatewayCount());
    }

    /** Fraction of its capacity that a host is certain to have by now; 1 when warm. A server that is down
        counts as started now. */
    private double warmFraction(long now, Server server) {
        if (server.down) {
            server.coldSince = now;
        }
        if (server.coldSince == 0 || now - server.coldSince >= server.coldDuration) {
            server.coldSince = 0;
            return 1;
        }
        double initialFraction = settings.guarantees().coldCapacityFraction();
        return initialFraction
                + (1 - initialFraction) * (now - server.coldSince) / settings.guarantees().warmUpTime();
    }

    /** Treats a host as cold from {@code since} on, unless that ended already. */
    private void markCold(long now, Server server, long since, long duration) {
        if (now - since < duration) {
            server.coldSince = Math.max(1, since);
            server.coldDuration = duration;
            server.coldBudget = random.nextDouble();
            server.coldBudgetUpdatedAt = now;
        }
    }

    // ---- Retries

    /** Sends a request again within the retry budget, or answers it. */
    private void retry(long now, OpenRequest req) {
        Server server = retryServer(now, req);
        retryBudget -= server == null ? 0 : retryCost(req);
        notRetried += server == null ? 1 : 0;
        sendOrAnswer(now, req, server);
    }

    /** The server for a further attempt that the retry budget allows, or null. */
    private Server retryServer(long now, OpenRequest req) {
        boolean enoughTime = req.expiresAt - now > typicalLatency[req.classIndex] / 2;
        return enoughTime && retryBudget >= retryCost(req) ? drawServer(now, req) : null;
    }

    /** A retry costs nothing only after a server that is down. Dials also fail at full connection tables,
        which free retries would keep full. */
    private static double retryCost(OpenRequest req) {
        return req.attempts.get(req.attempts.size() - 1).server.down ? 0 : 1;
    }

    // ---- Probes and the host list

    /** Probes servers that are down, then those without samples, within the probe budget and one probe at a
        time for each. Starts at a random server, so that the end of a long list is reached too. */
    private void sendProbes() {
        if (!settings.limits().mayProbe()) {
            return;
        }
        Server[] all = servers.values().toArray(new Server[0]);
        int from = random.nextInt(Math.max(1, all.length));
        for (int i = 0; i < 2 * all.length && probeBudget >= 1; i++) {
            Server server = all[(from + i) % all.length];
            boolean needsProbe = i < all.length ? server.down : server.ownSampleCount == 0;
            if (needsProbe && !server.probePending && server.host.state() == HostState.IN_SERVICE) {
                probeBudget--;
                server.probePending = true;
                actions.probe(server.host.address());
            }
        }
    }

    @Override
    public void probeEnded(long now, String address, Outcome outcome, long elapsed, LoadReport report) {
        Server server = servers.get(address);
        if (server == null) {
            return;
        }
        server.probePending = false;
        recordReport(now, server, report);
        if (outcome == Outcome.DELIVERED) {
            recordAnswer(now, server);
            server.probeRoundTrip = elapsed / typicalLatency[0];
        } else {
            recordFailure(now, server, outcome);
        }
    }

    @Override
    public void hostListReceived(long now, ListUpdateType updateType, List<Host> hosts) {
        if (updateType == ListUpdateType.FAILED) {
            listRequestFailures++;
            long delay = listRequestBackoff(now);
            nextListRequestAt = now + delay / 2 + random.nextLong(delay / 2 + 1);
            actions.scheduleTimer(nextListRequestAt, LIST_REQUEST_TIMER);
            return;
        }
        listRequestFailures = 0;
        Map<String, Server> previous = new LinkedHashMap<>(servers);
        if (updateType != ListUpdateType.DELTA) {
            servers.clear();
        }
        hosts.forEach(host -> updateServer(now, host, previous.get(host.address())));
        listReceivedAt = updateType == ListUpdateType.CACHED ? listReceivedAt : now;
        updateListedLoads(now, weightsAreLoads && updateType != ListUpdateType.CACHED);
        buildDrawTable();
    }

    /** Time until the next list request after a failed one. Grows while requests fail at once; after one that
        timed out, or a watch that broke, enough time has passed already. With a registry that pushes, a
        change counts as known as soon as the registry can be reached: there the wait is at most half of the
        drain grace, within which sends to a draining host must end. */
    private long listRequestBackoff(long now) {
        Guarantees guarantees = settings.guarantees();
        boolean pushed = !settings.listOnRequest();
        long longest = pushed ? Math.min(MAX_BACKOFF_MICROS, guarantees.drainGrace() / 2)
                : MAX_BACKOFF_MICROS;
        long shortest = Math.min(longest / 2,
                pushed ? REFRESH_INTERVAL_MICROS / 2 : guarantees.listRequestDeadline() / 8);
        boolean failedAtOnce = now - lastListRequestAt < MAX_BACKOFF_MICROS;
        // The shift is bounded: after 63 failures the delay would be negative and the requests would end.
        long delay = failedAtOnce ? Math.min(longest, shortest << Math.min(3, listRequestFailures - 1))
                : shortest;
        return Math.max(MIN_BACKOFF_MICROS, delay);
    }

    /** Applies one entry of a host list; a host with a later start is a new server. */
    private void updateServer(long now, Host host, Server existing) {
        if (host.state() == HostState.TERMINATED) {
            servers.remove(host.address());
            return;
        }
        Server server = existing;
        if (server == null || host.startedAt() > server.host.startedAt()) {
            server = new Server(SAMPLES_PER_SERVER);
            server.lastAnswerAt = now;
            server.share = 0.5;
        }
        boolean isNew = server != existing;
        server.host = host;
        server.modelStats = modelStats.computeIfAbsent(host.model(), k -> new ModelStats());
        servers.put(host.address(), server);
        if (isNew && host.startedAt() > 0) {
            markCold(now, server, host.startedAt(), settings.guarantees().warmUpTime());
            server.share *= warmFraction(now, server);
        }
    }
}
