package mastdrift.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import mastdrift.Balancer;
import mastdrift.Balancer.Capabilities;
import mastdrift.Balancer.ConnectionSettings;
import mastdrift.Balancer.CpuBudget;
import mastdrift.Balancer.Guarantees;
import mastdrift.Balancer.Idempotency;
import mastdrift.Balancer.Limits;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.LoadReportMode;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Penalties;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.ScoreWeights;
import mastdrift.Balancer.Scoring;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Topology;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;

/** One day of one seed: the hosts, the gateways and what goes between them, in simulated time. */
final class World {

    /** What a gateway tells a client, or the front in its place. */
    enum Answer { SERVED, REFUSED, FAILED, BROKEN }

    /** What a client wants, over all its tries. */
    static final class Request {
        final int cls;
        final Plan.ClassPlan type;
        final long key;
        final String zone;
        final double work;
        final long at;
        final long deadline;
        final long number;
        int triesLeft;
        int tried;
        boolean done;
        boolean refused;  // its last try

        Request(int cls, Plan.ClassPlan type, long key, String zone, double work, long at, long number, int triesLeft) {
            this.cls = cls;
            this.type = type;
            this.key = key;
            this.zone = zone;
            this.work = work;
            this.at = at;
            deadline = at + (long) (type.deadlineMs() * 1000);
            this.number = number;
            this.triesLeft = triesLeft;
        }
    }

    /** One of them, at one gateway. */
    static final class Try {
        final long id;
        final Request request;
        final Node node;
        final Node.Life life;
        final long ends;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean over;

        Try(long id, Request request, Node node, long ends) {
            this.id = id;
            this.request = request;
            this.node = node;
            life = node.life();
            this.ends = ends;
        }
    }

    /** One send of it to one host. */
    static final class Attempt {
        final Try of;
        final int number;
        final Machine machine;
        final long sentAt;
        boolean out = true;
        boolean neverRan;
        boolean arrived;  // the request went out whole
        Node.Link link;
        Machine.Job job;

        Attempt(Try of, Machine machine, long sentAt) {
            this.of = of;
            number = of.attempts.size();
            this.machine = machine;
            this.sentAt = sentAt;
        }
    }

    private static final LoadReport NO_REPORT =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    private static final double REPORT_NOISE = 0.05;
    private static final long DRAIN_FOR = 2_000_000;  // of a host that is replaced in a release
    private static final long START_OF_HOST = 600_000;
    private static final long HANDOVER_FOR = 3_700_000;  // the platform's time from SIGTERM to SIGKILL

    private final Plan plan;
    private final long seed;
    private final Agenda agenda = new Agenda();
    private final Brains brains;
    private final Meter meter;
    private final Referee referee;
    private final Registry registry;
    private final Consumer<String> log;
    private final List<Machine> machines = new ArrayList<>();
    private final Map<String, Machine> byAddress = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Node, Boolean> inFront = new HashMap<>();
    private final Dice traffic;
    private final Dice network;
    private final Dice clientDice;
    private final Dice trouble;
    private final long tickMicros;
    private final double sameMs;
    private final double crossMs;
    private final double farMs;
    private final double clientMs;
    private final double jitter;
    private final double handshakeRtts;
    private final double handshakeWork;
    private final double probeWork;
    private final double coldFrom;
    private final long warmWithin;
    private final double load;
    private final double swing;
    private final double honour;
    private final double impatient;
    private final double tryShare;
    private final double backoffMs;
    private final int retriesMost;
    private final long frontNotice;
    private final double[] classShare;
    private final double[] classWork;
    private final double[] classVariation;
    private final double[] zoneShare;
    private double perMicro;  // requests
    private double growth = 1;
    private double lossPart;
    private double resetPart;
    private String cutZone;
    private final Set<Node> cutNodes = new HashSet<>();
    private final double[] zoneGrowth;
    private long tick;
    private long requests;
    private long tries;

    World(Plan plan, long seed, Brains brains, Consumer<String> log) {
        this.plan = plan;
        this.seed = seed;
        this.brains = brains;
        this.log = log;
        Dice day = new Dice(seed, "day");
        traffic = new Dice(seed, "traffic");
        network = new Dice(seed, "network");
        clientDice = new Dice(seed, "clients");
        trouble = new Dice(seed, "troubles");
        meter = new Meter(plan);
        referee = new Referee(seed, plan.rules());
        registry = new Registry(this, agenda, plan.lists(), new Dice(seed, "lists"));
        tickMicros = Math.max(1, Math.round(1000 * day.in(plan.tickMs())));
        sameMs = day.in(plan.net().sameMs());
        crossMs = day.in(plan.net().crossMs());
        farMs = plan.fleet().regions().isEmpty() ? crossMs : day.in(plan.net().farMs());
        clientMs = day.in(plan.net().clientMs());
        jitter = day.in(plan.net().jitter());
        handshakeRtts = day.in(plan.hosts().handshakeRtts());
        handshakeWork = 1000 * day.in(plan.hosts().handshakeMs());
        probeWork = 1000 * day.in(plan.hosts().probeMs());
        load = day.in(plan.traffic().load());
        swing = day.in(plan.traffic().swing());
        honour = day.in(plan.clients().honour());
        impatient = day.in(plan.clients().impatient());
        tryShare = day.in(plan.clients().tryShare());
        backoffMs = day.in(plan.clients().backoffMs());
        retriesMost = (int) Math.floor(day.in(plan.clients().retries()));
        frontNotice = (long) (1e6 * day.in(plan.front().noticeS()));
        int classes = plan.classes().size();
        classShare = plan.classes().stream().mapToDouble(type -> day.in(type.share())).toArray();
        classWork = plan.classes().stream().mapToDouble(type -> 1000 * day.in(type.workMs())).toArray();
        classVariation = plan.classes().stream().mapToDouble(type -> day.in(type.variation())).toArray();
        normalize(classShare);
        double uneven = day.in(plan.traffic().uneven());
        zoneShare = plan.fleet().zones().stream().mapToDouble(zone -> day.noise(uneven)).toArray();
        normalize(zoneShare);
        zoneGrowth = new double[zoneShare.length];
        Arrays.fill(zoneGrowth, 1);
        drawHosts(day);
        coldFrom = machines.stream().mapToDouble(machine -> machine.build.coldFrom()).min().orElse(1);
        warmWithin = machines.stream().mapToLong(machine -> machine.build.coldSpan()).max().orElse(0);
        double meanWork = IntStream.range(0, classes).mapToDouble(i -> classShare[i] * classWork[i]).sum();
        double capacity = machines.stream().mapToDouble(Machine::capacity).sum();
        perMicro = load * capacity / meanWork;
        for (int i = 0; i < plan.fleet().gateways(); i++) {
            List<String> zones = plan.fleet().zones();
            nodes.add(new Node(this, agenda, i, zones.get(i % zones.size()), day.noise(uneven)));
        }
    }

    private static void normalize(double[] parts) {
        double sum = 0;
        for (double part : parts) {
            sum += part;
        }
        for (int i = 0; i < parts.length; i++) {
            parts[i] /= sum;
        }
    }

    private static int pick(double[] parts, double at) {
        double sum = 0;
        for (int i = 0; i < parts.length; i++) {
            sum += parts[i];
            if (at < sum) {
                return i;
            }
        }
        return parts.length - 1;
    }

    private void drawHosts(Dice day) {
        double[] share = plan.kinds().stream().mapToDouble(kind -> day.in(kind.share())).toArray();
        normalize(share);
        List<String> zones = plan.fleet().zones();
        Plan.Hosts all = plan.hosts();
        double keyGain = day.in(all.keyGain());
        double keysPerCore = day.in(all.keysPerCore());
        double chokeAt = day.in(all.chokeAt());
        double chokeOver = day.in(all.chokeOverS());
        double chokeSlower = day.in(all.chokeSlower());
        double chokeBelow = day.in(all.chokeBelow());
        double chokeRest = day.in(all.chokeRestS());
        double connections = day.in(all.connectionsPerCore());
        for (int i = 0; i < plan.fleet().hosts(); i++) {
            Plan.Kind kind = plan.kinds().get(pick(share, (i + 0.5) / plan.fleet().hosts()));
            int zone = i % zones.size();
            machine(new Machine.Build("10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255) + ":8000",
                    zones.get(zone), zone * 100_000 + i / zones.size() / plan.fleet().hostsPerCell(), kind.name(),
                    kind.cores(), day.in(kind.speed()), (int) Math.max(1, Math.round(kind.cores() * day.in(kind.slotsPerCore()))),
                    (int) Math.round(kind.cores() * day.in(kind.queuePerCore())), day.in(kind.coldFrom()),
                    (long) (1e6 * day.in(kind.coldS())), day.in(kind.errorPart()), (int) (kind.cores() * connections), chokeAt,
                    (long) (1e6 * chokeOver), chokeSlower, chokeBelow, (long) (1e6 * chokeRest), keyGain,
                    (int) (kind.cores() * keysPerCore)), new Dice(seed, "host " + i));
        }
    }

    private Machine machine(Machine.Build build, Dice dice) {
        Machine machine = new Machine(build, agenda, dice);
        machine.fallsAt(plan.rules().fallMultiple(), (long) (1000 * plan.rules().fallMs()));
        machine.fell = knew -> {
            referee.fell(agenda.now(), machine, knew);
            registry.changed(machine, Balancer.HostState.TERMINATED, true);
        };
        machines.add(machine);
        byAddress.put(build.address(), machine);
        return machine;
    }

    // ---- what the parts share

    Plan plan() {
        return plan;
    }

    Brains brains() {
        return brains;
    }

    Meter meter() {
        return meter;
    }

    Referee referee() {
        return referee;
    }

    Registry registry() {
        return registry;
    }

    List<Machine> machines() {
        return machines;
    }

    Machine machine(String address) {
        return byAddress.get(address);
    }

    /** The clock that modules see: that of the tick that is being put together. */
    long tick() {
        return tick;
    }

    long listPhase(Node of) {
        return (long) (registry.period() * Dice.of(seed, 7_000 + of.number));
    }

    void log(Node of, String line) {
        log.accept("%8.3f gateway/%d %s".formatted(agenda.now() / 1e6, of.number, line));
    }

    Settings settings(Node of, int start) {
        List<RequestClass> classes = plan.classes().stream().map(type -> new RequestClass(type.name(), micros(type.aimMs()), 0,
                micros(type.deadlineMs()), type.worth(), type.lateWorth(), type.repeat(), type.repeat() == Idempotency.KEYED
                ? type.group() : Balancer.DedupScope.ALL, type.repeat() == Idempotency.KEYED ? micros(type.windowMs()) : 0, false)).toList();
        Plan.Rules rules = plan.rules();
        Plan.Goal goal = plan.goal();
        return new Settings(classes, List.of(), new Limits(true, rules.probes(), rules.secondCopies(), false,
                rules.maxAttempts(), 20_000, true, micros(plan.clients().maxRetryAfterMs())),
                new ConnectionSettings(micros(plan.hosts().dialTimeoutMs()), micros(plan.hosts().idleS() * 1000), 1),
                new CpuBudget(1_000_000, 0), new Guarantees(micros(rules.slackMs()), micros(rules.drainGraceMs()), 0, coldFrom,
                Math.max(1, warmWithin), rules.fallMultiple(), micros(rules.fallMs())),
                new Scoring(new ScoreWeights(goal.whole(), goal.worstWindow(), goal.worstClass(), 0), new Penalties(goal.crossZone(),
                goal.waste(), 0, goal.handshake(), 0, goal.probe(), 0, 0, 0, 0, 0), 1, false),
                new Topology(of.number, nodes.size(), of.zone, plan.fleet().zones(),
                plan.kinds().stream().map(Plan.Kind::name).toList(), 0, List.of("hosts")),
                new Capabilities(true, false, LoadReportMode.ON_PROBE, List.of("rps", "waiting", "cpu"), plan.clients().marksRetry()),
                false, plan.hosts().weights(), "proxy", tickMicros, Dice.mix(seed * 31 + of.number * 1009L + start) >>> 12);
    }

    private static long micros(double millis) {
        return Math.round(millis * 1000);
    }

    // ---- the day

    /** Plays it to the end; once. */
    void play() {
        tick = tickMicros;
        agenda.runUntil(tick);
        registry.begin(machines);
        nodes.forEach(node -> {
            node.start();
            inFront.put(node, true);
        });
        brains.turn(tick);
        arrive();
        plan.troubles().forEach(this::plan);
        for (int second = 0; second < plan.seconds(); second++) {
            int at = second;
            agenda.at((second + 1) * 1_000_000L - 1,
                    () -> meter.look(at, machines, (int) nodes.stream().filter(Node::running).count()));
        }
        long last = plan.seconds() * 1_000_000L
                + plan.classes().stream().mapToLong(type -> micros(type.deadlineMs())).max().orElse(0) + 1_000_000;
        while (agenda.next() <= last) {
            tick = Math.max(tick + tickMicros, (agenda.next() + tickMicros - 1) / tickMicros * tickMicros);
            agenda.runUntil(tick);
            brains.turn(tick);
        }
    }

    // ---- clients

    /** The rate swings over 10 s; drawn by thinning, so that no trouble moves the arrivals of another day. */
    private void arrive() {
        double most = perMicro * (1 + swing) * Math.max(1, plan.troubles().stream()
                .filter(t -> t.what() == Plan.What.GROW || t.what() == Plan.What.ZONE_FULL).mapToDouble(t -> Math.max(t.size().from(), t.size().to())).max()
                .orElse(1));
        DiscreteSampler ranks =
                traffic.zipf(plan.traffic().keys(), traffic.in(plan.traffic().zipf()));
        next(most, ranks, traffic.unit() * 2 * Math.PI);
    }

    private void next(double most, DiscreteSampler ranks,
            double phase) {
        long at = agenda.now() + Math.max(1, Math.round(traffic.exponential(1 / most)));
        if (at >= plan.seconds() * 1_000_000L) {
            return;
        }
        agenda.at(at, () -> {
            double[] zones = IntStream.range(0, zoneShare.length).mapToDouble(i -> zoneShare[i] * zoneGrowth[i]).toArray();
            double rate = perMicro * growth * Arrays.stream(zones).sum() * (1 + swing * Math.sin(agenda.now() / 10e6 * 2 * Math.PI + phase));
            // All is drawn whether it comes or not: what comes is the same whatever was thinned out before.
            boolean comes = traffic.unit() * most < rate;
            int cls = pick(classShare, traffic.unit());
            long key = Dice.mix(seed + ranks.sample()) >>> 11;
            normalize(zones);
            String zone = plan.fleet().zones().get(pick(zones, traffic.unit()));
            double work = classWork[cls] * traffic.noise(classVariation[cls]);
            if (comes) {
                Request request = new Request(cls, plan.classes().get(cls), key, zone, Math.max(1, work), agenda.now(),
                        ++requests, retriesMost);
                meter.offered(request.at, cls);
                ask(request);
                agenda.at(request.deadline, () -> end(request, request.refused ? Meter.End.REFUSED : Meter.End.FAILED));
            }
            next(most, ranks, phase);
        });
    }

    private void end(Request request, Meter.End end) {
        if (!request.done) {
            request.done = true;
            meter.ended(request.at, agenda.now(), request.cls, end);
        }
    }

    /** A try, at a gateway that the front holds to be there. */
    private void ask(Request request) {
        if (request.done) {
            return;
        }
        request.tried++;
        double[] parts = new double[nodes.size()];
        double sum = 0;
        for (int pass = 0; pass < 2 && sum == 0; pass++) {
            for (int i = 0; i < parts.length; i++) {
                Node node = nodes.get(i);
                parts[i] = inFront.get(node) && (pass > 0 || node.zone.equals(request.zone)) ? node.part : 0;
                sum += parts[i];
            }
        }
        long there = travel(clientMs);
        if (sum == 0) {
            agenda.in(there, () -> heard(request, Answer.BROKEN, 0, true));
            return;
        }
        normalize(parts);
        Node node = nodes.get(pick(parts, clientDice.unit()));
        long now = agenda.now();
        long left = request.tried > 1 || request.triesLeft > 0
                ? Math.min(request.deadline - now, (long) (tryShare * (request.deadline - request.at)))
                : request.deadline - now;
        boolean leaves = Dice.of(seed, request.number * 64 + request.tried) < impatient;
        agenda.in(there, () -> {
            if (!node.running()) {
                agenda.in(there, () -> heard(request, Answer.BROKEN, 0, true));
                return;
            }
            Try of = new Try(++tries, request, node, now + left);
            if (of.ends <= tick) {
                heard(request, Answer.FAILED, 0, false);
                return;
            }
            node.take(of, new Balancer.Request(of.id, request.type.name(), null, request.key, of.ends - tick, 0,
                    request.tried > 1 && plan.clients().marksRetry(), request.type.repeat() != Idempotency.SAFE));
            agenda.at(of.ends + micros(plan.rules().slackMs()), () -> {
                if (!of.over && !of.life.over()) {
                    referee.unanswered(agenda.now(), of);
                    of.over = true;
                    node.departed(of.life, of);
                    heard(request, Answer.FAILED, 0, false);
                }
            });
            if (leaves) {
                agenda.in((long) (clientDice.unit() * left), () -> {
                    if (!of.over) {
                        of.over = true;
                        node.departed(of.life, of);
                        end(request, Meter.End.FAILED);
                    }
                });
            }
        });
    }

    /** A gateway's final answer to a try. */
    void answered(Try of, Answer answer, long retryAfter) {
        of.over = true;
        of.life.forget(of);
        agenda.in(travel(clientMs), () -> heard(of.request, answer, retryAfter, false));
    }

    /** The gateway died with it. */
    void broken(Try of) {
        if (!of.over) {
            of.over = true;
            agenda.in(travel(clientMs), () -> heard(of.request, Answer.BROKEN, 0, false));
        }
    }

    /** What a client does with an answer: see WIRE, section 16. */
    private void heard(Request request, Answer answer, long retryAfter, boolean neverTaken) {
        if (request.done) {
            return;
        }
        long now = agenda.now();
        if (answer == Answer.SERVED) {
            end(request, now - request.at <= micros(request.type.aimMs()) ? Meter.End.SERVED : Meter.End.LATE);
            return;
        }
        request.refused = answer == Answer.REFUSED;
        boolean harmless = answer == Answer.REFUSED || neverTaken || request.type.repeat() == Idempotency.SAFE
                || request.type.repeat() == Idempotency.KEYED && request.type.group() == Balancer.DedupScope.ALL
                && now - request.at < micros(request.type.windowMs());
        long wait = (long) (1000 * backoffMs * (1 << Math.min(6, request.tried - 1)) * (0.5 + clientDice.unit()));
        if (answer == Answer.REFUSED && retryAfter > 0 && clientDice.chance(honour)) {
            wait = Math.max(wait, Math.min(retryAfter, micros(plan.clients().maxRetryAfterMs())));
        }
        if (harmless && request.triesLeft > 0 && now + wait < request.deadline) {
            request.triesLeft--;
            agenda.in(wait, () -> ask(request));
        } else {
            end(request, request.refused ? Meter.End.REFUSED : Meter.End.FAILED);
        }
    }

    // ---- between gateways and hosts

    private long travel(double millis) {
        return Math.max(1, Math.round(1000 * millis * network.noise(jitter)));
    }

    private long travel(Node node, Machine machine) {
        String there = machine.build.zone();
        return travel(node.zone.equals(there) ? sameMs : plan.fleet().near(node.zone, there) ? crossMs : farMs);
    }

    private boolean reaches(Node node, Machine machine) {
        boolean across = !node.zone.equals(machine.build.zone());
        boolean cut = across && (node.zone.equals(cutZone) || machine.build.zone().equals(cutZone));
        return !machine.silent && !cut && !cutNodes.contains(node);
    }

    /** An attempt that is not made, as the request is over or has had its share of them. */
    void unsent(Node.Life by, Try of, Machine to) {
        Attempt attempt = new Attempt(of, to, agenda.now());
        of.attempts.add(attempt);
        ended(attempt, Outcome.UNUSED);
    }

    void send(Node by, Try of, Machine to, long timeout) {
        long now = agenda.now();
        int second = meter.second(now);
        meter.attempts[second]++;
        meter.crossZone[second] += by.zone.equals(to.build.zone()) ? 0 : 1;
        meter.farZone[second] += plan.fleet().near(by.zone, to.build.zone()) ? 0 : 1;
        if (!reaches(by, to)) {
            meter.unreached(by.number, now);
        }
        Attempt attempt = new Attempt(of, to, now);
        of.attempts.add(attempt);
        long left = of.ends - now;
        long limit = timeout == 0 ? left : Math.min(timeout, left);
        if (limit <= 0) {
            ended(attempt, Outcome.UNUSED);
            return;
        }
        agenda.in(limit, () -> ended(attempt, attempt.arrived ? Outcome.EXPIRED : Outcome.DIAL_FAILED));
        attempt.link = by.idleLink(to);
        if (attempt.link != null) {
            attempt.arrived = true;
            agenda.in(travel(by, to), () -> reach(by, attempt, 0));
            return;
        }
        meter.dials[second]++;
        long failsAt = micros(plan.hosts().dialTimeoutMs());
        if (!reaches(by, to)) {
            agenda.in(failsAt, () -> ended(attempt, Outcome.DIAL_FAILED));
        } else if (!to.up) {
            agenda.in(2 * travel(by, to), () -> ended(attempt, Outcome.DIAL_FAILED));
        } else if (to.connections >= to.build.connectionsMost()) {
            agenda.in(failsAt, () -> ended(attempt, Outcome.DIAL_FAILED));
        } else {
            attempt.link = new Node.Link(to);
            agenda.in((long) (travel(by, to) * (1 + 2 * handshakeRtts)), () -> {
                if (attempt.out) {
                    attempt.arrived = true;
                    reach(by, attempt, handshakeWork);
                }
            });
        }
    }

    /** The request comes to its host, or where that was. */
    private void reach(Node by, Attempt attempt, double more) {
        Machine to = attempt.machine;
        if (!reaches(by, to)) {
            return;
        }
        if (resetPart > 0 && network.chance(resetPart) || !attempt.link.whole()) {
            agenda.in(travel(by, to), () -> ended(attempt, Outcome.DROPPED));
            return;
        }
        double work = attempt.of.request.work * (0.7 + 0.6 * Dice.of(seed, attempt.of.id * 8 + attempt.number)) + more;
        Node.Told told = by.told(to.build.address());
        boolean informed = told != null && told.born() == to.born;
        attempt.job = new Machine.Job(attempt.of.request.key, work, outcome -> {
            if (reaches(by, to) && !(lossPart > 0 && network.chance(lossPart))) {
                agenda.in(travel(by, to), () -> ended(attempt, outcome));
            }
        });
        if (!attempt.out) {
            attempt.job.drop(plan.hosts().cancels());
        }
        to.arrive(attempt.job, informed);
    }

    /** However it ended; only the first time counts. */
    void ended(Attempt attempt, Outcome outcome) {
        if (!attempt.out) {
            return;
        }
        attempt.out = false;
        attempt.neverRan = outcome.neverRan();
        Try of = attempt.of;
        boolean answer = outcome == Outcome.DELIVERED || outcome == Outcome.ERROR || outcome == Outcome.SHED;
        if (attempt.link != null) {
            if (answer && attempt.link.whole()) {
                of.node.keep(of.life, attempt.link);
            } else {
                attempt.link.close();
            }
        }
        if (!answer && attempt.job != null) {
            attempt.job.drop(plan.hosts().cancels());
        }
        boolean serves = outcome == Outcome.DELIVERED && !of.over && !of.life.over();
        if (serves) {
            answered(of, Answer.SERVED, 0);
        }
        // Modules hear of it with the tick that is being put together, or with the next where its turn has come.
        agenda.in(0, () -> {
            of.life.resolved(attempt, outcome, of.over, NO_REPORT);
            of.life.forget(of);
        });
    }

    void probe(Node by, Node.Life life, Machine to) {
        long now = agenda.now();
        meter.probes[meter.second(now)]++;
        long there = travel(by, to);
        long back = travel(by, to);
        if (!reaches(by, to) || to.hung) {
            agenda.in(micros(plan.hosts().dialTimeoutMs()), () -> life.probed(to, Outcome.EXPIRED, agenda.now() - now, NO_REPORT));
            return;
        }
        agenda.in(there, () -> {
            boolean up = to.up && !to.leaving;
            if (up) {
                to.arrive(new Machine.Job(-1, Math.max(1, probeWork), outcome -> { }), true);
            }
            double noise = 1 + REPORT_NOISE * (2 * network.unit() - 1);
            LoadReport report = up ? new LoadReport(Double.NaN, to.waitingNow(), Math.min(1, to.busy() * noise), Double.NaN,
                    to.served() * 1e6 / Math.max(1, agenda.now()), Double.NaN) : NO_REPORT;
            agenda.in(back, () -> life.probed(to, up ? Outcome.DELIVERED : Outcome.DIAL_FAILED, agenda.now() - now, report));
        });
    }

    // ---- troubles

    private static <T> List<T> some(Dice dice, List<T> from, double part) {
        List<T> left = new ArrayList<>(from);
        List<T> taken = new ArrayList<>();
        for (int i = (int) Math.round(part * from.size()); i > 0; i--) {
            taken.add(left.remove(dice.below(left.size())));
        }
        return taken;
    }

    private void plan(Plan.Trouble of) {
        long at = (long) (1e6 * trouble.in(of.atS()));
        long span = (long) (1e6 * trouble.in(of.forS()));
        double part = trouble.in(of.part());
        double size = trouble.in(of.size());
        List<Machine> hosts = some(trouble, machines, part);
        List<Node> gateways = some(trouble, nodes, part);
        String zone = plan.fleet().zones().get(trouble.below(plan.fleet().zones().size()));
        long begins = at;
        agenda.at(begins, () -> log.accept("%8.3f trouble %s for %.1f s, part %.2f, size %.2f, zone %s".formatted(begins / 1e6,
                of.what(), span / 1e6, part, size, zone)));
        switch (of.what()) {
            case HANG -> during(at, span, () -> hosts.forEach(host -> change(host, () -> host.hung = true)),
                    () -> hosts.forEach(host -> change(host, () -> host.hung = false)));
            case NEIGHBOUR -> {
                long step = 1_000_000 + (long) (4e6 * trouble.unit());
                for (long on = at; on < at + span; on += 2 * step) {
                    during(on, step, () -> hosts.forEach(host -> change(host, () -> host.taken = Math.min(0.95, size))),
                            () -> hosts.forEach(host -> change(host, () -> host.taken = 0)));
                }
            }
            case GROW -> during(at, span, () -> growth = size, () -> growth = 1);
            case RELEASE -> {
                for (int i = 0; i < hosts.size(); i++) {
                    Machine host = hosts.get(i);
                    agenda.at(at + span * i / Math.max(1, hosts.size()), () -> replace(host));
                }
            }
            case JOIN -> {
                for (int i = 0; i < hosts.size(); i++) {
                    Machine host = hosts.get(i);
                    String address = "10.200." + (i >> 8) + "." + (i & 255) + ":8000";
                    agenda.at(at + span * i / Math.max(1, hosts.size()), () -> succeed(host, address));
                }
            }
            case ZONE -> lose(at, span, inZone(zone));
            case REGION -> lose(at, span, machines.stream().filter(host -> plan.fleet().region(host.build.zone())
                    .equals(plan.fleet().region(zone))).toList());
            case SPLIT -> during(at, span, () -> begin(() -> cutZone = zone), () -> cutZone = null);
            case ZONE_SLOW -> {
                List<Machine> slow = inZone(zone);
                during(at, span, () -> slow.forEach(host -> change(host, () -> host.taken = Math.min(0.95, size))),
                        () -> slow.forEach(host -> change(host, () -> host.taken = 0)));
            }
            case ZONE_FULL -> {
                int full = plan.fleet().zones().indexOf(zone);
                during(at, span, () -> zoneGrowth[full] = size, () -> zoneGrowth[full] = 1);
            }
            case ZONE_FLAP -> {
                List<Machine> flapping = inZone(zone);
                long step = (long) (1e6 * size);
                for (long on = at; on < at + span; on += 2 * step) {
                    during(on, step, () -> begin(() -> flapping.forEach(host -> host.silent = true)),
                            () -> flapping.forEach(host -> host.silent = false));
                }
            }
            case SELF_CUT -> during(at, span, () -> begin(() -> cutNodes.addAll(gateways)), () -> cutNodes.removeAll(gateways));
            case ROLL -> {
                for (int i = 0; i < nodes.size(); i++) {
                    Node node = nodes.get(i);
                    int step = 10 * i / nodes.size();
                    agenda.at(at + span * step / 10, () -> restart(node));
                }
            }
            case HANDOVER -> {
                for (int i = 0; i < nodes.size(); i++) {
                    Node node = nodes.get(i);
                    agenda.at(at + span * i / nodes.size(), () -> node.succeed(HANDOVER_FOR, nodes.size()));
                }
            }
            case HERD -> agenda.at(at, () -> gateways.forEach(this::restart));
            case LATE_LISTS -> during(at, span, () -> registry.late = Math.max(1, size), () -> registry.late = 1);
            case NO_LISTS -> during(at, span, () -> registry.down = true, () -> registry.down = false);
            case LOSS -> during(at, span, () -> lossPart = part, () -> lossPart = 0);
            case RESETS -> during(at, span, () -> resetPart = part, () -> resetPart = 0);
        }
    }

    private List<Machine> inZone(String zone) {
        return machines.stream().filter(host -> host.build.zone().equals(zone)).toList();
    }

    /** They fall silent, and come back cold. */
    private void lose(long at, long span, List<Machine> lost) {
        during(at, span, () -> begin(() -> lost.forEach(host -> {
            host.silent = true;
            host.end();
            registry.changed(host, Balancer.HostState.TERMINATED, true);
        })), () -> lost.forEach(this::restart));
    }

    /** From now on some can't be reached: how long do gateways take to leave them? */
    private void begin(Runnable what) {
        meter.cutAt(agenda.now());
        what.run();
    }

    private void during(long at, long span, Runnable begin, Runnable end) {
        agenda.at(at, begin);
        agenda.at(at + span, end);
    }

    private static void change(Machine host, Runnable what) {
        host.settle();
        what.run();
        host.schedule();
    }

    /** Drains, ends, and comes back as a new process. */
    private void replace(Machine host) {
        if (!host.up) {
            return;
        }
        change(host, () -> host.leaving = true);
        registry.changed(host, Balancer.HostState.TERMINATING, false);
        agenda.in(DRAIN_FOR, () -> {
            host.end();
            agenda.in(START_OF_HOST, () -> restart(host));
        });
    }

    /** A new machine of the same make comes, cold, and the old one drains and is gone for good. */
    private void succeed(Machine host, String address) {
        if (!host.up || byAddress.containsKey(address)) {
            return;
        }
        Machine next = machine(host.build.at(address), new Dice(seed, "host " + address));
        next.start();
        registry.changed(next, Balancer.HostState.IN_SERVICE, false);
        change(host, () -> host.leaving = true);
        registry.changed(host, Balancer.HostState.TERMINATING, false);
        agenda.in(DRAIN_FOR, () -> {
            host.end();
            registry.changed(host, Balancer.HostState.TERMINATED, false);
        });
    }

    private void restart(Machine host) {
        host.start();
        registry.changed(host, Balancer.HostState.IN_SERVICE, false);
    }

    /** Killed, missed by the front for a while, and back once it has started. */
    private void restart(Node node) {
        if (!node.running()) {
            return;
        }
        node.kill();
        long back = (long) (1e6 * trouble.in(plan.fleet().startS()));
        agenda.in(Math.min(frontNotice, back), () -> inFront.put(node, node.running()));
        agenda.in(back, () -> {
            node.start();
            inFront.put(node, true);
        });
    }
}
