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
import mastdrift.BalancerState.Attempt;
import mastdrift.BalancerState.Held;
import mastdrift.BalancerState.Pool;
import mastdrift.BalancerState.Server;
import mastdrift.BalancerState.Session;

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
    private static final long REFRESH = 500_000;
    /** T: age up to which a sample counts; older ones would outlast most troubles. */
    private static final long WINDOW = 10_000_000;
    /** A key that was not seen for this long starts a new session. */
    private static final long KEY_MEMORY = 30_000_000;
    /** Age beyond which a reported queue length says nothing about the present. */
    private static final long REPORT_FRESH = 1_000_000;
    /** Likewise for the loads that a host list carries. */
    private static final long LIST_FRESH = 3_000_000;
    /** Time without any answer after which a failed dial, or silence, means that a server is down. */
    private static final long DOWN_AFTER = 1_000_000;
    /** Attempts in a row without an answer that make a server silent after that time. */
    private static final int SILENT = 3;
    /** Longest wait before the next list request: with a request of 4 s, news is known within 6 s. */
    private static final long BACKOFF_MOST = 2_000_000;
    /** Shortest wait before the next list request, so that failing requests never spin. */
    private static final long BACKOFF_LEAST = 25_000;
    /** How long a server that was down counts as possibly restarted: by then the registry reports it. */
    private static final long SUSPECT_SPAN = 6_000_000;

    // Response time estimate and threshold. Latencies are multiples of the class's typical latency.
    /** Latency samples kept for each server, enough for a 95th percentile. */
    private static final int SAMPLES = 32;
    /** Weight of the model's percentile in samples: three of 60 lie above a 95th percentile. */
    private static final double PRIOR = 60;
    /** Above this fraction of failures the 95th percentile itself is a failure, so unbounded. */
    private static final double FAILING = 0.05;
    /** A rate counts as an outlier above this multiple of the rate that it is compared with. */
    private static final double FAR = 2;
    /** Stands for an infinite response time; beyond any real one. */
    private static final double UNBOUNDED = 1e6;
    /** Quantile of response times that stands for r~, so that no single server decides. */
    private static final double LOWEST = 0.1;
    /** Share that a server may regain in one refresh, so that it comes back without a flood. */
    private static final double RISE = 0.1;

    // Admission. Lateness is 1 at the latency target and 2 at the deadline.
    /** T_AC: lateness at which refusals begin. */
    private static final double T_AC = 1.0;
    /** Lateness at which every request with a new key is refused. */
    private static final double T_FULL = 1.6;
    /** Admission looks at requests that ended within this time... */
    private static final long SERVED_SPAN = 2_000_000;
    /** ...or, where there are too few of them, within this time. */
    private static final long SERVED_MOST = 8_000_000;
    /** Lateness samples kept for admission. */
    private static final int SERVED = 256;
    /** Lateness that a failed attempt counts with. */
    private static final double LOST = 2;
    /** Fewer samples than this carry no 95th percentile. */
    private static final double SERVED_FEW = 20;
    /** Fewest samples that do at a gateway with little traffic, which can't wait for more. */
    private static final double SERVED_LEAST = 8;
    /** Above this fraction of full servers, the overload is the fleet's and not that of a few servers. */
    private static final double MANY = 0.2;
    /** Queue wait at which refusals begin, as a fraction of the tightest latency target. */
    private static final double QUEUE_AC = 0.15;
    /** Queue wait, likewise, at which every new key is refused: little more would be answered in time. */
    private static final double QUEUE_FULL = 0.5;
    /** Requests over quota are refused with this multiple of the pressure. */
    private static final double OVER = 10;
    /** Pressure up to which only requests over quota are refused. */
    private static final double FIRST = 0.5;
    /** Requests that a tenant may save up, however small its quota. */
    private static final double BURST = 6;
    /** The shortest of this many answers shows how long a request waits in a server's queue. */
    private static final int LEAST_OF = 4;

    // Choice of a server.
    /** Bounded load: what one server may have in flight, as a multiple of its part by share. */
    private static final double BOUND = 1.25;
    /** Bounded load: what one server may have been sent lately, likewise. */
    private static final double CROWD = 1.25;
    /** Bounded load for a session's own server; higher, as a host that knows the key does less work. */
    private static final double STICKY = 1.3;
    /** Number of sends, for each server, that count as sent lately. */
    private static final double HISTORY = 4;
    /** Eligible servers that are drawn before the least loaded of them is taken. */
    private static final int CANDIDATES = 6;
    /** Least number of slots in the draw table, enough for even parts of 500 servers. */
    private static final int PLACES = 4096;
    /** Draws in all, which bounds the work that a request costs. */
    private static final int DRAWS = 64;

    // Budgets and memory.
    /** Retry budget: retries earned by each request that comes in. */
    private static final double RETRY_SHARE = 0.1;
    /** Probe budget: probes earned by each request that comes in. */
    private static final double PROBE_SHARE = 0.02;
    /** What an unused budget may save up. */
    private static final double BUDGET_MOST = 20;
    /** Sessions remembered at most; bounds memory. */
    private static final int KEYS_MOST = 50_000;

    // Cold hosts.
    /** Fraction of a warm host's rate that the cold budget is based on: keys cost a cold host more. */
    private static final double CREDIT = 0.8;
    /** Factor on a cold host's rate for each list that shows it idle. */
    private static final double IDLE_MORE = 1.25;
    /** Factor for each list that shows it busy; undoes two increases. */
    private static final double BUSY_LESS = 0.64;

    // Moving averages, zones, sizes and the log.
    /** Weight of the newest refresh in averages over refreshes. */
    private static final double EWMA = 0.2;
    /** Weight of one sample in a class's typical latency. */
    private static final double USUAL = 0.01;
    /** Factor on earlier counts of losses on idle connections with each new outcome. */
    private static final double IDLE_KEEP = 0.9;
    /** Weight of one report in the CPU utilization of its host model. */
    private static final double USUAL_CPU = 0.1;
    /** Factor on the share of a server in another zone. */
    private static final double AWAY = 0.3;
    /** Exponent that moves a model's size only part of the way to even utilization in one step. */
    private static final double EVEN = 0.2;
    /** Bound on a model's size relative to the mean, up and down. */
    private static final double UNEVEN = 8;
    /** Refreshes between two log lines about refusals. */
    private static final int LOG_EVERY = 10;
    private static final String TIMER = "refresh";
    private static final String ASK = "ask";

    /** Token bucket for a tenant's quota at this gateway. Only admitted requests take a token: clients whose
        requests are refused try again, and these tries must not use up the quota of a quiet tenant. */
    private static final class Share {
        private final double perSecond;
        private double left;
        private long at;

        Share(double perSecond, long now) {
            this.perSecond = perSecond;
            left = Math.max(perSecond, BURST);
            at = now;
        }

        /** Adds the tokens earned since the last call; returns whether a request is within the quota. */
        boolean holds(long now) {
            left = Math.min(Math.max(perSecond, BURST), left + perSecond * (now - at) / 1e6);
            at = now;
            return left >= 1;
        }
    }

    private Settings settings;
    private Actions actions;
    private SplittableRandom random;
    /** Index of each class in the settings, by its name. */
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Share> tenants = new HashMap<>();
    /** Moving average of each class's latency, in microseconds. */
    private double[] usual;
    private double mostWorth;
    /** Whether the list's weights tell how large hosts are. */
    private boolean weighted;
    /** The servers of the list, by address. */
    private final Map<String, Server> servers = new LinkedHashMap<>();
    /** By the name of the host model. */
    private final Map<String, Pool> kinds = new LinkedHashMap<>();
    /** Slots that a request's key is hashed to; each server holds as many as any other. */
    private Server[] table = new Server[0];
    private double shareSum;
    private double shareMost;
    private double queueSum;
    private int outSum;
    private double recentSum;
    /** 0 while nothing has to be refused, 1 where all new keys are. */
    private double fleetPressure;
    private boolean manyFull;
    /** Theta: a server with a longer response time gets nothing. */
    private double theta = UNBOUNDED;
    /** The least latency target of a class, as a multiple of its typical latency. */
    private double aimUsual = UNBOUNDED;
    private double fleetFailing;
    /** Whether the list's weights tell how busy hosts are. */
    private boolean loadsListed;
    private long listedAt;
    /** Time in microseconds that a request takes on a host that serves no other. */
    private double unhindered;
    /** Mean number of requests for each core in a zone, as told by the list. */
    private Map<String, Double> zoneLoads = Map.of();
    /** Requests without a final answer, by id. */
    private final Map<Long, Held> held = new LinkedHashMap<>();
    /** The server that each key was sent to last, least recently used first. */
    private final LinkedHashMap<Long, Session> sessions = new LinkedHashMap<>(64, 0.75f, true);
    /** Ring buffers of the lateness of ended attempts, for admission. */
    private final long[] servedAt = new long[SERVED];
    private final double[] served = new double[SERVED];
    private int servedCount;
    /** Requests since the last refresh, and those of them without a session. */
    private int arrived;
    private int arrivedNew;
    /** Fraction of requests without a session; half until it is known. */
    private double newPart = 0.5;
    /** Samples that admission waits for; between the two limits, by the requests of a refresh. */
    private double few = SERVED_LEAST;
    private long tightestAim = Long.MAX_VALUE;
    private double retryBudget = BUDGET_MOST / 2;
    private double probeBudget;
    private long refreshedAt;
    private long askAt = Long.MAX_VALUE;
    private long askedAt;
    private int askFailures;
    /** Attempts lost, and all that ended, by the power of two of the connection's idle time in
        microseconds. */
    private final double[] idleLost = new double[64];
    private final double[] idleSeen = new double[64];
    /** Idle time in microseconds from which connections are closed rather than used; expires. */
    private long idleLimit = Long.MAX_VALUE;
    private long idleUntil;
    // Refusals since the last log line, by cause.
    private int refreshes;
    private int pressed;
    private int homeless;
    private int givenUp;

    // ---- Events

    @Override
    public void start(long now, Settings given, Actions asked) {
        check(given);
        settings = given;
        actions = asked;
        random = new SplittableRandom(given.seed());
        usual = new double[given.classes().size()];
        for (RequestClass type : given.classes()) {
            usual[classes.size()] = type.latencyTarget() / 4.0;
            classes.put(type.name(), classes.size());
            mostWorth = Math.max(mostWorth, type.value());
            tightestAim = Math.min(tightestAim, type.latencyTarget());
        }
        for (Tenant tenant : given.tenants()) {
            tenants.put(tenant.name(), new Share(tenant.quotaPerSecond() / given.topology().gatewayCount(), now));
        }
        refreshedAt = now;
        actions.scheduleTimer(now + 1 + random.nextLong(REFRESH), TIMER);
        weighted = given.weightMode() == WeightMode.NOMINAL || given.weightMode() == WeightMode.ROUGH;
        loadsListed = given.weightMode() == WeightMode.LIVE;
        if (given.listOnRequest()) {
            askAt = now + random.nextLong(given.guarantees().listRequestDeadline() / 4 + 1);
        }
    }

    private static void check(Settings given) {
        require(given.classes().size(), "classes");
        for (RequestClass type : given.classes()) {
            require(type.latencyTarget(), type.name() + " latency target");
            require(type.deadline(), type.name() + " deadline");
        }
        require(given.topology().gatewayCount(), "gateways");
        require(given.limits().maxAttempts(), "max attempts");
        require(given.guarantees().coldCapacityFraction(), "cold capacity fraction");
        require(given.guarantees().overloadMultiple(), "overload multiple");
    }

    private static void require(double value, String name) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " can't be " + value);
        }
    }

    @Override
    public void requestReceived(long now, Request request) {
        Integer cls = classes.get(request.className());
        if (cls == null || held.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or repeated id: " + request);
        }
        long key = request.key() == null ? random.nextLong() : request.key();
        Held req = new Held(request, settings.classes().get(cls), cls, key, now);
        held.put(req.id, req);
        Share share = request.tenant() == null ? null : tenants.get(request.tenant());
        req.within = share != null && share.holds(now);
        arrived++;
        retryBudget = Math.min(BUDGET_MOST, retryBudget + RETRY_SHARE);
        probeBudget = Math.min(BUDGET_MOST, probeBudget + PROBE_SHARE);
        Session session = req.keyed ? sessions.get(key) : null;
        arrivedNew += session == null ? 1 : 0;
        Server server = session == null ? null : stick(now, req, session);
        server = server == null ? draw(now, req) : server;
        boolean refused = server != null && refuses(now, req, share, session != null, server);
        pressed += refused ? 1 : 0;
        homeless += server == null ? 1 : 0;
        place(now, req, refused ? null : server);
    }

    private void place(long now, Held req, Server server) {
        if (server == null || !send(now, req, server)) {
            answer(req);
        } else if (req.keyed) {
            sessions.put(req.key, new Session(server, now));
        }
    }

    @Override
    public void streamingStarted(long now, long id, int attempt) {
        Held req = held.get(id);
        if (req == null || attempt < 0 || attempt >= req.attempts.size() || !req.attempts.get(attempt).out) {
            return;
        }
        Attempt mine = req.attempts.get(attempt);
        if (!mine.streaming && mine.server.unanswered > 0) {
            mine.server.unanswered--;  // a long stream is no sign of a silent server
        }
        req.streaming = true;
        mine.streaming = true;
    }

    @Override
    public void attemptEnded(long now, long id, int number, String address, Outcome outcome, long elapsed,
            boolean over, LoadReport report) {
        Held req = held.get(id);
        learnReport(now, servers.get(address), report);
        boolean known = req != null && number >= 0 && number < req.attempts.size();
        Attempt attempt = known ? req.attempts.get(number) : null;
        if (attempt == null || !attempt.out) {
            return;  // late or repeated; counted twice, the sums of attempts in flight would be wrong
        }
        settle(now, req, attempt, outcome, elapsed);
        if (counts(now, attempt.server) && outcome != Outcome.REVOKED && outcome != Outcome.UNUSED) {
            servedAt[servedCount % SERVED] = now;
            double late = lateness(attempt.streaming ? req.since + elapsed : now, req);
            served[servedCount++ % SERVED] = outcome == Outcome.DELIVERED ? late : LOST;
        }
        if (over) {
            end(req);
        } else if (req.attempts.stream().noneMatch(a -> a.out)) {
            retry(now, req);
        }
    }

    @Override
    public boolean mayWrite(long now, long id, int number) {
        Held req = held.get(id);
        if (req == null || number < 0 || number >= req.attempts.size() || !req.attempts.get(number).out) {
            return false;
        }
        Attempt mine = req.attempts.get(number);
        return listed(mine.server) && req.ends > now && mayRepeat(now, req, mine.server, mine);
    }

    @Override
    public void clientLeft(long now, long id) {
        if (held.containsKey(id)) {
            end(held.get(id));
        }
    }

    @Override
    public void timerFired(long now, String handle) {
        if (handle.equals(TIMER)) {
            // Before anything else: an exception in what follows must not end the refreshes.
            actions.scheduleTimer(now + REFRESH, TIMER);
            refresh(now);
            probeSome();
        }
        if (now >= askAt) {
            askAt = Long.MAX_VALUE;
            askedAt = now;
            actions.watchHostList(true);
        }
    }

    @Override
    public int excludedHostCount(long now) {
        return (int) servers.values().stream().filter(server -> target(now, server) == 0).count();
    }

    // ---- Response time estimate of a server: resp_time(s)

    private void settle(long now, Held req, Attempt attempt, Outcome outcome, long elapsed) {
        Server server = attempt.server;
        attempt.out = false;
        attempt.neverRan = outcome.neverRan();
        server.out.remove(attempt);
        outSum--;
        if (outcome == Outcome.DELIVERED || outcome == Outcome.DROPPED || outcome == Outcome.EXPIRED) {
            learnIdle(now, attempt, outcome != Outcome.DELIVERED);
        }
        if (outcome == Outcome.SHED || outcome == Outcome.DIAL_FAILED) {
            setWait(now, server, tightestAim);
        } else if (outcome == Outcome.DELIVERED || outcome == Outcome.EXPIRED) {
            learnWait(now, server, elapsed);
        }
        switch (outcome) {
            case DELIVERED -> {
                server.usedAt = now;
                usual[req.cls] += USUAL * (elapsed - usual[req.cls]);
                server.delivered++;
                server.overtook = Math.max(server.overtook, attempt.sentAt - elapsed);
                answered(now, server);
                learn(now, server, elapsed / usual[req.cls]);
            }
            case REVOKED, UNUSED -> { }
            default -> failed(now, server, outcome);
        }
    }

    private void failed(long now, Server server, Outcome outcome) {
        if (outcome == Outcome.ERROR || outcome == Outcome.SHED) {
            answered(now, server);
        } else if (outcome == Outcome.DIAL_FAILED && now - server.answeredAt > DOWN_AFTER) {
            markDown(now, server);
        }
        learn(now, server, UNBOUNDED);
        measure(now, server);
        estimate(server);
        server.share = Math.min(server.share, target(now, server));
    }

    /** Marks a server down. Once more than half of its zone is down, so are the zone's servers that have not
        answered for as long: a lost zone should not cost a request for each of its servers. */
    private void markDown(long now, Server server) {
        server.down = true;
        String name = server.host.zone();
        List<Server> zone = servers.values().stream().filter(s -> s.host.zone().equals(name)).toList();
        if (2 * zone.stream().filter(s -> s.down).count() > zone.size()) {
            zone.stream().filter(s -> now - s.answeredAt > DOWN_AFTER).forEach(s -> s.down = true);
        }
        zone.stream().filter(s -> s.down).forEach(s -> s.share = 0);
    }

    /** A server that was down may have restarted, which the registry reports later: it comes back as cold. */
    private void answered(long now, Server server) {
        server.answeredAt = now;
        server.unanswered = 0;
        if (server.down) {
            server.down = false;
            chill(now, server, now, SUSPECT_SPAN);
        }
    }

    private void learn(long now, Server server, double value) {
        int at = server.samples++ % SAMPLES;
        server.sampleAt[at] = now;
        server.sample[at] = value;
    }

    private static void learnReport(long now, Server server, LoadReport report) {
        if (server != null && !Double.isNaN(report.cpuUtilization()) && server.coldSince == 0) {
            Pool kind = server.kind;
            kind.heard = true;
            kind.cpu += (kind.reports++ == 0 ? 1 : USUAL_CPU) * (report.cpuUtilization() - kind.cpu);
        }
        if (server != null && !Double.isNaN(report.queuedRequests())) {
            server.queue = report.queuedRequests();
            server.queueAt = now;
        }
    }

    /** Derives loads from the list's weights, which in live mode are size / (1 + requests per core). They
        count the requests of all gateways, of which each knows only its own. The size is a model's highest
        weight. A new list that shows a cold host idle raises its rate; one that shows it busy lowers it. */
    private void learnLoads(long now, boolean listed) {
        for (Server server : servers.values()) {
            server.kind.weightMost = Math.max(server.kind.weightMost, server.host.weight());
        }
        boolean told = loadsTold(now);
        for (Server server : servers.values()) {
            boolean idle = 2 * server.host.weight() > server.kind.weightMost;  // under one request per core
            if (!told || server.coldSince == 0) {
                server.idle = 1;
            } else if (listed) {
                double part = server.idle * (idle ? IDLE_MORE : BUSY_LESS);
                server.idle = Math.max(1, Math.min(settings.guarantees().overloadMultiple(), part));
            }
        }
        double mean = servers.values().stream()
                .filter(s -> s.host.state() == HostState.IN_SERVICE && s.host.weight() > 0)
                .mapToDouble(s -> s.kind.weightMost / s.host.weight()).average().orElse(1);
        unhindered = Arrays.stream(usual).average().orElse(0) / mean;
        zoneLoads = !told ? Map.of() : servers.values().stream()
                .filter(s -> s.host.state() == HostState.IN_SERVICE && !s.down && s.host.weight() > 0)
                .collect(Collectors.groupingBy(s -> s.host.zone(),
                        Collectors.averagingDouble(s -> s.kind.weightMost / s.host.weight() - 1)));
    }

    private boolean loadsTold(long now) {
        return loadsListed && listedAt > 0 && now - listedAt < LIST_FRESH;
    }

    /** Computes the p95 and the failures of a server's own samples. Attempts in flight count with their age
        if that exceeds the estimate, so that a server that hangs shows early. */
    private void measure(long now, Server server) {
        double[] values = new double[SAMPLES + server.out.size()];
        int count = 0;
        int failures = 0;
        for (int i = 0; i < Math.min(SAMPLES, server.samples); i++) {
            if (now - server.sampleAt[i] > WINDOW) {
                continue;
            }
            if (server.sample[i] >= UNBOUNDED) {
                failures++;
            } else {
                values[count++] = server.sample[i];
            }
        }
        for (Attempt attempt : server.out) {
            double age = (now - attempt.sentAt) / usual[attempt.cls];
            if (age > server.respTime && !attempt.streaming) {
                values[count++] = age;
            }
        }
        Arrays.sort(values, 0, count);
        server.ownP95 = count == 0 ? 0 : values[(int) Math.ceil(0.95 * count) - 1];
        server.ownCount = count;
        server.ownFailures = failures;
    }

    /** resp_time(s): the server's own p95 blended with that of its model, which counts as PRIOR_SAMPLES. */
    private void estimate(Server server) {
        int n = server.ownCount;
        Pool kind = server.kind;
        double peers = kind.samples == 0 ? 1 : kind.latency / kind.samples;
        double finite = (n * server.ownP95 + PRIOR * (peers + (n == 0 ? server.probeTrip : 0))) / (n + PRIOR);
        server.respTime = failing(server) ? UNBOUNDED : finite;
        server.serving = (n + PRIOR) / (n + server.ownFailures + PRIOR);
    }

    /** Whether failures exceed MAX_FAILURE_FRACTION by more than chance explains. Where the whole fleet
        fails more, as in an overload, the limit rises with it: emptying S* would overload the servers left
        in it. */
    private boolean failing(Server server) {
        double expected = Math.max(FAILING, FAR * fleetFailing) * (server.ownCount + server.ownFailures);
        return server.ownFailures - 1 > expected + Math.sqrt(expected);
    }

    // ---- Shares and the eligible set (S*)

    /** Computes estimates, threshold, shares and pressure anew; once every REFRESH_INTERVAL_MICROS
        (T_obs). */
    private void refresh(long now) {
        double span = Math.max(1, now - refreshedAt) / 1e6;
        refreshedAt = now;
        few += EWMA * (Math.max(SERVED_LEAST, Math.min(SERVED_FEW, arrived)) - few);
        newPart += arrived == 0 ? 0 : EWMA * ((double) arrivedNew / arrived - newPart);
        arrived = arrivedNew = 0;
        kinds.values().forEach(Pool::clear);
        for (Server server : servers.values()) {
            if (server.unanswered >= SILENT && now - server.unansweredSince > DOWN_AFTER && !server.down) {
                markDown(now, server);
            }
            measure(now, server);
            long oldest = server.out.stream().filter(a -> a.sentAt > server.overtook && !a.streaming)
                    .findFirst().map(a -> now - a.sentAt).orElse(0L);
            if (oldest > waiting(now, server)) {
                setWait(now, server, oldest);
            }
            server.kind.latency += server.ownCount * server.ownP95;
            server.kind.samples += server.ownCount;
            if (server.coldSince == 0 && server.host.state() == HostState.IN_SERVICE) {
                server.kind.warm++;
                server.kind.delivered += server.delivered;
            }
            server.delivered = 0;
        }
        for (Pool kind : kinds.values()) {
            double rate = kind.warm == 0 ? 0 : kind.delivered / kind.warm / span;
            double weight = rate > kind.rate ? EWMA : REFRESH / (double) settings.guarantees().warmUpTime();
            kind.rate += kind.warm == 0 ? 0 : weight * (rate - kind.rate);
        }
        learnLoads(now, false);
        if (now > idleUntil) {
            idleLimit = Long.MAX_VALUE;
        }
        fleetFailing = medianFailing();
        sizeKinds();
        servers.values().forEach(this::estimate);
        setThreshold();
        double rise = Math.max(RISE, REFRESH / (double) settings.guarantees().warmUpTime());
        double fade = Math.min(1, HISTORY * servers.size() / Math.max(1, recentSum));
        recentSum = 0;
        shareSum = 0;
        shareMost = 0;
        queueSum = 0;
        for (Server server : servers.values()) {
            double target = target(now, server);
            server.share = Math.min(target, server.share + rise);
            server.inSet = target > 0;
            shareSum += server.share;
            shareMost = Math.max(shareMost, server.share);
            queueSum += queue(now, server);
            server.recent *= fade;
            recentSum += server.recent;
        }
        long known = servers.values().stream().filter(s -> s.ownCount + s.ownFailures > 0).count();
        manyFull = servers.values().stream().filter(s -> full(now, s)).count() > MANY * known;
        setPressure(now);
        forget(now);
        report(now);
    }

    /** Logs for operators why requests were refused; at most one line in REFRESHES_PER_LOG_LINE refreshes. */
    private void report(long now) {
        if (++refreshes % LOG_EVERY != 0 || pressed + homeless + givenUp == 0) {
            return;
        }
        long up = servers.values().stream().filter(s -> s.host.state() == HostState.IN_SERVICE).count();
        long in = servers.values().stream().filter(s -> s.inSet).count();
        long down = servers.values().stream().filter(s -> s.down).count();
        long cold = servers.values().stream().filter(s -> s.coldSince > 0).count();
        long full = servers.values().stream().filter(s -> full(now, s)).count();
        actions.log("turned away: " + pressed + " by pressure, " + homeless + " with no host, " + givenUp
                + " after a failed attempt; pressure " + Math.round(100 * fleetPressure) + "%; hosts "
                + servers.size() + ": " + up + " up, " + in + " in S*, " + down + " down, " + cold + " cold, "
                + full + " full");
        pressed = homeless = givenUp = 0;
    }

    /** Adjusts the relative sizes of host models until all report the same CPU utilization. Works by model,
        as one gateway of many gets too few reports of a single server. Each step waits for a new report of
        every model: steps on old reports would go on without end. */
    private void sizeKinds() {
        if (kinds.values().stream().anyMatch(k -> !k.heard)) {
            return;
        }
        kinds.values().forEach(k -> k.heard = false);
        double mean = kinds.values().stream().filter(k -> k.reports > 0).mapToDouble(k -> k.cpu)
                .average().orElse(0);
        for (Pool kind : kinds.values()) {
            if (kind.reports > 0 && mean > 0) {
                double turn = Math.pow(mean / Math.max(kind.cpu, mean / UNEVEN), EVEN);
                kind.size = Math.max(1 / UNEVEN, Math.min(UNEVEN, kind.size * turn));
            }
        }
    }

    private double medianFailing() {
        double[] parts = servers.values().stream().filter(s -> !s.down && s.ownCount + s.ownFailures > 0)
                .mapToDouble(s -> (double) s.ownFailures / (s.ownCount + s.ownFailures)).sorted().toArray();
        return parts.length == 0 ? 0 : parts[parts.length / 2];
    }

    /** theta = k * T_SS with k = ceil(r~ / T_SS). T_SS is the tightest deadline, the highest value that the
        method allows: S* holds every server that answers in time, and the shares of healthy servers don't
        follow the noise of a p95, which would move keys away from the servers that have them cached. */
    private void setThreshold() {
        double[] times = servers.values().stream()
                .filter(s -> !s.down && s.host.state() == HostState.IN_SERVICE)
                .mapToDouble(s -> s.respTime).sorted().toArray();
        if (times.length == 0) {
            return;
        }
        double tss = UNBOUNDED;
        aimUsual = UNBOUNDED;
        for (int i = 0; i < usual.length; i++) {
            tss = Math.min(tss, settings.classes().get(i).deadline() / usual[i]);
            aimUsual = Math.min(aimUsual, settings.classes().get(i).latencyTarget() / usual[i]);
        }
        theta = tss * Math.ceil(times[(int) (LOWEST * times.length)] * 1.01 / tss);
    }

    /** The share a server should have: its headroom (theta - resp_time(s)) / theta, times its size, its
        warm fraction, the fraction of attempts that succeed (failures leave no latencies) and the zone's
        factor. */
    private double target(long now, Server server) {
        if (server.down || server.host.state() != HostState.IN_SERVICE || server.respTime > theta) {
            return 0;
        }
        double near = near(server.host.zone());
        double size = near * server.kind.size * (weighted ? server.host.weight() : 1);
        return (theta - server.respTime) / theta * size * warmth(now, server) * server.serving;
    }

    /** Lower for another zone, as crossing zones costs time and a penalty; the less so the busier the own
        zone is than the other. All gateways of a zone prefer it and would overload it while other zones
        idle. */
    private double near(String zone) {
        String home = settings.topology().zone();
        double crowd = (1 + zoneLoads.getOrDefault(home, 0.0)) / (1 + zoneLoads.getOrDefault(zone, 0.0));
        return zone.equals(home) ? 1 : AWAY * crowd;
    }

    private double queue(long now, Server server) {
        return now - server.queueAt < REPORT_FRESH ? server.queue : 0;
    }

    // ---- Choice of a server, and sessions

    /** Draws servers in proportion to their shares, by rejection, until one is not too loaded; null if no
        server may be used. The key seeds the draw, so gateways that agree on the shares choose the same
        server for it. A request within its tenant's quota also avoids servers with a queue, where it might
        be refused while other servers have none. Requests over quota don't: they would fill those servers
        too. */
    private Server draw(long now, Held req) {
        Server least = null;
        double leastBurden = Double.MAX_VALUE;
        int found = 0;
        for (int i = 0; i < DRAWS && found < CANDIDATES && table.length > 0; i++) {
            long hash = mix(req.key + i * 0x9E3779B97F4A7C15L);
            Server server = table[(int) hash & (table.length - 1)];
            if ((mix(hash) >>> 11) * 0x1.0p-53 * shareMost >= server.share || !maySend(now, req, server)) {
                continue;
            }
            found++;
            double burden = burden(now, server) + (req.within ? Math.max(0, filled(now, server)) : 0);
            if (burden <= 1) {
                return server;
            }
            if (burden < leastBurden) {
                least = server;
                leastBurden = burden;
            }
        }
        return least;
    }

    /** Bounded load: attempts in flight and queued, with one more, relative to the server's part of all by
        share; up to 2 are always allowed. Recent sends are bounded likewise, as one gateway of many has few
        attempts in flight: this spreads a popular key over the next servers in its order. Above 1 is too
        much. */
    private double burden(long now, Server server) {
        double holds = server.out.size() + queue(now, server) + 1;
        double part = server.share / Math.max(shareSum, 1e-9);
        double crowd = (server.recent + 1) / (recentSum * part + 1);
        double burden = holds <= 2 ? holds / 2 : holds / Math.max((outSum + queueSum + 1) * part, 1);
        return Math.max(crowd / CROWD, burden / BOUND);
    }

    /** The session's server, or null if it can't be used or is too loaded. */
    private Server stick(long now, Held req, Session session) {
        Server server = session.server();
        boolean fits = server.inSet && !server.down && maySend(now, req, server);
        return fits && burden(now, server) <= STICKY ? server : null;
    }

    private void forget(long now) {
        Iterator<Session> eldest = sessions.values().iterator();
        while (eldest.hasNext()) {
            if (now - eldest.next().at() < KEY_MEMORY && sessions.size() <= KEYS_MOST) {
                return;
            }
            eldest.remove();
        }
    }

    /** Fills the draw table (Maglev hashing): servers take slots in turn, each in a pseudo-random order of
        its own. All get equally many, the table is the same at every gateway whatever the order of its list,
        and a server that is added or removed moves few slots of others. */
    private void seat() {
        Server[] order = servers.values().toArray(new Server[0]);
        Arrays.sort(order, Comparator.comparing(server -> server.host.address()));
        int size = PLACES;
        while (size < 8 * order.length) {
            size *= 8;
        }
        table = new Server[order.length == 0 ? 0 : size];
        long[] next = new long[order.length];
        for (int taken = 0; taken < table.length; taken++) {
            int turn = taken % order.length;
            long own = mix(order[turn].host.address().hashCode() + 0x9E3779B97F4A7C15L);
            int place;
            do {
                place = (int) (own + next[turn]++ * (own >>> 32 | 1)) & size - 1;
            } while (table[place] != null);
            table[place] = order[turn];
        }
    }

    /** The 64-bit finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    // ---- Admission

    /** Pressure from the 95th percentile of the lateness of what S* served lately. While only a few servers
        are full, these are left out: a tenth of the servers would make the whole gateway refuse. Requests in
        flight that are late and not overtaken count as served. Failed attempts count only in a second figure,
        the median of all: it is high once half of all are late or failed, when hardly anything is served. */
    private void setPressure(long now) {
        int kept = Math.min(SERVED, servedCount);
        double[] values = new double[kept + held.size()];
        double[] all = new double[kept + held.size()];
        int count = 0;
        int total = 0;
        for (int i = servedCount - 1; i >= servedCount - kept; i--) {
            long age = now - servedAt[i % SERVED];
            if (age >= SERVED_SPAN && (total >= few || age >= SERVED_MOST)) {
                break;
            }
            all[total++] = served[i % SERVED];
            if (served[i % SERVED] < LOST) {
                values[count++] = served[i % SERVED];
            }
        }
        for (Held req : held.values()) {
            Attempt attempt = req.attempts.get(req.attempts.size() - 1);
            if (now - req.since > req.type.latencyTarget() && !attempt.streaming
                    && counts(now, attempt.server)) {
                all[total++] = lateness(now, req);
                if (attempt.sentAt > attempt.server.overtook) {
                    values[count++] = lateness(now, req);
                }
            }
        }
        double late = Math.max(quantile(values, count, 0.95), quantile(all, total, 0.5));
        fleetPressure = Math.max(0, Math.min(1, (late - T_AC) / (T_FULL - T_AC)));
    }

    /** Sorts the first {@code count} values; 0 for too few. The highest value is never taken. */
    private double quantile(double[] values, int count, double part) {
        Arrays.sort(values, 0, count);
        return count < few ? 0 : values[Math.min(count - 2, (int) Math.ceil(part * count) - 1)];
    }

    /** Elapsed time relative to the latency target up to 1, then 1 plus the fraction of the way from the
        target to the deadline. */
    private static double lateness(long now, Held req) {
        double waited = now - req.since;
        long aim = req.type.latencyTarget();
        return waited <= aim ? waited / aim : 1 + (waited - aim) / Math.max(1, req.type.deadline() - aim);
    }

    /** The higher of the fleet's pressure and that of the server's queue, at most 1. */
    private double pressure(long now, Server server) {
        return Math.max(fleetPressure, Math.min(1, filled(now, server)));
    }

    /** Whether a server's latencies count for the fleet's pressure. */
    private boolean counts(long now, Server server) {
        return server.inSet && (manyFull || !full(now, server));
    }

    /** Judged by its queue and by its own p95, as a slow server that gets few requests shows no queue. */
    private boolean full(long now, Server server) {
        return filled(now, server) > 0 || server.ownP95 > aimUsual;
    }

    /** Pressure of a server's queue: 0 where refusals begin, 1 where all new keys are refused; unbounded both
        ways. The queue wait comes from the shortest answers: long requests raise a percentile, but only a
        queue raises the shortest answer. */
    private double filled(long now, Server server) {
        return (waiting(now, server) / tightestAim - QUEUE_AC) / (QUEUE_FULL - QUEUE_AC);
    }

    /** Sets the queue wait to the shortest of ANSWERS_PER_WAIT answers; a shorter answer counts at once. */
    private void learnWait(long now, Server server, double wait) {
        server.least = Math.min(server.least, wait);
        if (++server.leastOf >= LEAST_OF || wait < waiting(now, server)) {
            setWait(now, server, server.least);
        }
    }

    private void setWait(long now, Server server, double wait) {
        server.wait = wait;
        server.waitAt = now;
        server.least = Double.MAX_VALUE;
        server.leastOf = 0;
    }

    /** The last known queue wait less the time since, as the queue drains. Where the list carries loads, at
        least the wait that they imply: requests beyond one per core wait as long as one takes without load.
        They count the requests of all gateways, while each sees few answers, and those late. */
    private double waiting(long now, Server server) {
        double told = loadsTold(now) && server.host.weight() > 0
                ? (server.kind.weightMost / server.host.weight() - 2) * unhindered : 0;
        return Math.max(Math.max(0, told), server.wait - (now - server.waitAt));
    }

    /** Refuses requests over quota first, and only those up to IN_QUOTA_PRESSURE_START. Of the others, a part
        as large as the pressure: new keys first, then sessions for the part that refusing all new keys
        leaves. That depends on the fraction of new keys: where nearly all requests have a session, too few
        would be refused before hosts are overloaded. Classes of higher value are refused less. Takes a token
        for a request within quota that is admitted. */
    private boolean refuses(long now, Held req, Share share, boolean remembered, Server server) {
        boolean over = share != null && !req.within;
        double pressure = pressure(now, server);
        double own = share == null ? pressure : Math.max(0, (pressure - FIRST) / (1 - FIRST));
        double chance = over ? OVER * pressure
                : remembered ? (own - newPart) / Math.max(1e-9, 1 - newPart) : own / Math.max(1e-9, newPart);
        if (chance > 0 && random.nextDouble() < chance * (1.2 - 0.4 * req.type.value() / mostWorth)) {
            return true;
        }
        if (share != null && !over) {
            share.left--;
        }
        return false;
    }

    // ---- Guarantees: single final answer, no unsafe repeat, drain, cold hosts

    /** Sends an attempt if the guarantees allow it. All sends pass here, so that the rules on draining hosts,
        repeats, hedging and cold hosts hold for each. */
    private boolean send(long now, Held req, Server server) {
        if (!maySend(now, req, server)) {
            return false;
        }
        if (server.coldSince > 0) {
            server.coldCredit--;
        }
        Attempt attempt = new Attempt(server, req.cls, now);
        req.attempts.add(attempt);
        server.out.add(attempt);
        freshen(now, server, attempt);
        if (server.unanswered++ == 0) {
            server.unansweredSince = now;
        }
        server.sentAt = now;
        server.recent++;
        recentSum++;
        outSum++;
        actions.send(req.id, server.host.address(), req.ends - now);
        return true;
    }

    /** Idle connections can be lost unnoticed (by the shorter limit of a firewall or of a host): a request
        on one is reset or never answered. Connections that have been idle for longer than earlier losses
        allow are closed before the send. Where those had another cause, this costs a handshake; the limit
        expires. */
    private void freshen(long now, Server server, Attempt attempt) {
        long idle = server.out.size() > 1 || server.usedAt == 0 ? 0 : now - server.usedAt;
        if (idle >= idleLimit) {
            actions.closeIdleConnections(server.host.address());
        } else if (idle < settings.connections().idleTimeout()) {
            attempt.idle = idle;
        }
    }

    /** Counts losses by the connection's idle time, in powers of two. From the longest idle time down, the
        limit is lowered to each at which half of the attempts were lost, and far more than on busy
        connections (bucket 0), once about two were lost. */
    private void learnIdle(long now, Attempt attempt, boolean lost) {
        int step = attempt.idle <= 0 ? 0 : 63 - Long.numberOfLeadingZeros(attempt.idle);
        idleLost[step] = (lost ? 1 : 0) + idleLost[step] * IDLE_KEEP;
        idleSeen[step] = 1 + idleSeen[step] * IDLE_KEEP;
        double bar = Math.max(0.5, FAR * idleLost[0] / Math.max(1, idleSeen[0]));
        double seen = 0;
        for (int i = idleLost.length - 1; lost && i > 0; i--) {
            seen += idleLost[i];
            if (idleLost[i] > 0.5 && idleLost[i] >= bar * idleSeen[i] && seen > 1.5 && 1L << i < idleLimit) {
                idleLimit = 1L << i;
                idleUntil = now + KEY_MEMORY * 2;
            }
        }
    }

    /** Whether a request may be sent to a server as its next attempt. */
    private boolean maySend(long now, Held req, Server server) {
        return listed(server) && req.ends > now && !req.streaming
                && req.attempts.size() < settings.limits().maxAttempts()
                && mayRepeat(now, req, server, null) && coldAllows(now, req, server);
    }

    /** Whether this very process of the host is listed as in service. */
    private boolean listed(Server server) {
        return server.host.state() == HostState.IN_SERVICE && servers.get(server.host.address()) == server;
    }

    /** Whether the earlier attempts allow another one at this server: those that may have run forbid it for
        UNSAFE, and outside their dedup scope or window for KEYED. {@code unwritten} is the attempt that is
        checked if it exists already and waits to be written, or null. */
    private boolean mayRepeat(long now, Held req, Server server, Attempt waiting) {
        for (Attempt attempt : req.attempts) {
            if (attempt == waiting) {
                continue;
            }
            if (attempt.out && !settings.limits().mayHedge() || attempt.server == server) {
                return false;
            }
            if (attempt.neverRan || req.type.idempotency() == Idempotency.SAFE) {
                continue;
            }
            if (req.type.idempotency() == Idempotency.UNSAFE || now - attempt.sentAt >= req.type.dedupWindow()
                    || !sameGroup(req.type.dedupScope(), attempt.server.host, server.host)) {
                return false;
            }
        }
        return true;
    }

    private static boolean sameGroup(DedupScope group, Host one, Host other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> one.zone().equals(other.zone());
            case CELL -> one.cell() == other.cell();
        };
    }

    /** Gives the final answer: a refusal where a new try is known to do no harm, else a failure. */
    private void answer(Held req) {
        boolean harmless = req.type.idempotency() == Idempotency.SAFE
                || req.type.idempotency() == Idempotency.KEYED && req.type.dedupScope() == DedupScope.ALL
                || req.attempts.stream().allMatch(a -> a.neverRan);
        if (harmless) {
            actions.refuse(req.id,
                    settings.limits().sendsRetryAfter() ? settings.limits().maxRetryAfter() : 0);
        } else {
            actions.fail(req.id);
        }
        end(req);
    }

    /** Forgets a request and its attempts in flight, which are cancelled where that is allowed. */
    private void end(Held req) {
        held.remove(req.id);
        for (int i = 0; i < req.attempts.size(); i++) {
            Attempt attempt = req.attempts.get(i);
            if (attempt.out) {
                attempt.out = false;
                attempt.server.out.remove(attempt);
                outSum--;
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
    private boolean coldAllows(long now, Held req, Server server) {
        if (server.coldSince == 0 || warmth(now, server) == 1) {
            return true;
        }
        double rate = CREDIT * server.idle * warmth(now, server) * likeRate(server);
        double most = Math.max(1, rate * settings.guarantees().overloadWindow() / 2e6);
        server.coldCredit = Math.min(most, server.coldCredit + rate * (now - server.creditAt) / 1e6);
        server.creditAt = now;
        double answering = 2 * rate * usual[req.cls] / 1e6;
        return server.coldCredit >= 1 && (server.unanswered == 0 || server.unanswered < answering
                || now - server.sentAt >= settings.guarantees().overloadWindow());
    }

    /** Requests per second that a warm host of the model serves. Not what it is sent: in an overload that is
        many times its capacity, and a cold host given its part of that would be overloaded. Kept while no
        host is warm, and for about a warm-up time when warm hosts serve less, as in a collapse only the new
        hosts can end it. At least this gateway's part of what one core serves: the gateway may have just
        started, or all warm hosts may be overloaded. */
    private double likeRate(Server server) {
        double known = server.kind.rate > 0 ? server.kind.rate
                : kinds.values().stream().filter(k -> k.rate > 0).mapToDouble(k -> k.rate).min().orElse(0);
        double oneCore = 1e6 / Arrays.stream(usual).max().orElse(1e6);
        return Math.max(known, oneCore / settings.topology().gatewayCount());
    }

    /** Fraction of its capacity that a host is certain to have by now; 1 when warm. A down server starts
        anew. */
    private double warmth(long now, Server server) {
        if (server.down) {
            server.coldSince = now;
        }
        if (server.coldSince == 0 || now - server.coldSince >= server.coldSpan) {
            server.coldSince = 0;
            return 1;
        }
        double from = settings.guarantees().coldCapacityFraction();
        return from + (1 - from) * (now - server.coldSince) / settings.guarantees().warmUpTime();
    }

    /** Treats a host as cold from {@code since} on, unless that ended already. */
    private void chill(long now, Server server, long since, long span) {
        if (now - since < span) {
            server.coldSince = Math.max(1, since);
            server.coldSpan = span;
            server.coldCredit = random.nextDouble();
            server.creditAt = now;
        }
    }

    // ---- Retries

    /** Sends a request again within the retry budget, or answers it. */
    private void retry(long now, Held req) {
        boolean pays = req.ends - now > usual[req.cls] / 2;
        // A retry costs nothing only after a server that is down. Dials also fail at full connection tables,
        // which free retries would keep full.
        double cost = req.attempts.get(req.attempts.size() - 1).server.down ? 0 : 1;
        Server server = pays && retryBudget >= cost ? draw(now, req) : null;
        if (server != null) {
            retryBudget -= cost;
        } else {
            givenUp++;
        }
        place(now, req, server);
    }

    // ---- Probes and the host list

    /** Probes servers that are down, then those without samples, within the probe budget and one probe at a
        time for each. Starts at a random server, so that the end of a long list is reached too. */
    private void probeSome() {
        if (!settings.limits().mayProbe()) {
            return;
        }
        Server[] all = servers.values().toArray(new Server[0]);
        int from = random.nextInt(Math.max(1, all.length));
        for (int i = 0; i < 2 * all.length && probeBudget >= 1; i++) {
            Server server = all[(from + i) % all.length];
            boolean wanted = i < all.length ? server.down : server.ownCount == 0;
            if (wanted && !server.probing && server.host.state() == HostState.IN_SERVICE) {
                probeBudget--;
                server.probing = true;
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
        server.probing = false;
        learnReport(now, server, report);
        if (outcome == Outcome.DELIVERED) {
            answered(now, server);
            server.probeTrip = elapsed / usual[0];
        } else {
            failed(now, server, outcome);
        }
    }

    @Override
    public void hostListReceived(long now, ListUpdateType form, List<Host> hosts) {
        if (form == ListUpdateType.FAILED) {
            askFailures++;
            long backoff = backoff(now);
            askAt = now + backoff / 2 + random.nextLong(backoff / 2 + 1);
            actions.scheduleTimer(askAt, ASK);
            return;
        }
        askFailures = 0;
        Map<String, Server> before = new LinkedHashMap<>(servers);
        if (form != ListUpdateType.DELTA) {
            servers.clear();
        }
        hosts.forEach(host -> admit(now, host, before.get(host.address())));
        listedAt = form == ListUpdateType.CACHED ? listedAt : now;
        learnLoads(now, loadsListed && form != ListUpdateType.CACHED);
        seat();
    }

    /** Time until the next list request after a failed one. Grows while requests fail at once; after one that
        timed out, or a watch that broke, enough time has passed already. With a registry that pushes, a
        change counts as known as soon as the registry can be reached: there the wait is at most half of the
        drain grace, within which sends to a draining host must end. */
    private long backoff(long now) {
        Guarantees rules = settings.guarantees();
        boolean pushed = !settings.listOnRequest();
        long most = pushed ? Math.min(BACKOFF_MOST, rules.drainGrace() / 2) : BACKOFF_MOST;
        long least = Math.min(most / 2, pushed ? REFRESH / 2 : rules.listRequestDeadline() / 8);
        boolean atOnce = now - askedAt < BACKOFF_MOST;
        // The shift is bounded: after 63 failures the delay would be negative and the requests would end.
        long backoff = atOnce ? Math.min(most, least << Math.min(3, askFailures - 1)) : least;
        return Math.max(BACKOFF_LEAST, backoff);
    }

    /** Applies one entry of a host list; a host with a later start is a new server. */
    private void admit(long now, Host host, Server known) {
        if (host.state() == HostState.TERMINATED) {
            servers.remove(host.address());
            return;
        }
        Server server = known;
        if (server == null || host.startedAt() > server.host.startedAt()) {
            server = new Server(SAMPLES);
            server.answeredAt = now;
            server.share = 0.5;
        }
        boolean fresh = server != known;
        server.host = host;
        server.kind = kinds.computeIfAbsent(host.model(), k -> new Pool());
        servers.put(host.address(), server);
        if (fresh && host.startedAt() > 0) {
            chill(now, server, host.startedAt(), settings.guarantees().warmUpTime());
            server.share *= warmth(now, server);
        }
    }
}
