package mastdrift.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import mastdrift.lab.Dice;
import org.HdrHistogram.Histogram;

/** One run of a plan with one seed: starts all processes, generates load, injects the faults, stops everything and
    checks the recorded history. */
final class TestRun {

    /** The verdicts and figures of one run. */
    record Result(String plan, long seed, List<Check.Verdict> verdicts, Map<String, Object> figures) {

        boolean held() {
            return verdicts.stream().allMatch(Check.Verdict::held);
        }
    }

    private static final int READY_TIMEOUT_SECONDS = 120;
    private static final int VIEW_AGREEMENT_MILLIS = 3000;  // after the last fault
    // A response that comes later than this after its deadline counts as lost.
    private static final int LOST_AFTER_DEADLINE_MILLIS = 500;
    // Between the first and the last member to learn of a view: members poll twice a second.
    private static final int VIEW_LAG_MILLIS = 1500;

    private TestRun() { }

    /**
     * Runs the plan and writes all files into the folder.
     *
     * @param slot the slot of loopback addresses; parallel runs need different ones
     * @throws IllegalStateException if the run itself failed, so that there is no verdict
     */
    static Result run(RigPlan plan, long seed, List<Fault> faults, TestBed.Options options, int slot, Path folder)
            throws IOException, InterruptedException {
        ManagedProcess.deleteFolder(folder);
        History history = new History();
        List<String> crashed;
        Map<String, Object> figures = new LinkedHashMap<>();
        try (TestBed testBed = new TestBed(plan, seed, options, slot, folder, history);
                FaultInjector faultInjector = new FaultInjector(testBed, history, seed)) {
            testBed.start();
            LoadGenerator load = createLoad(plan, seed, testBed, history);
            if (load != null && !load.awaitReady(READY_TIMEOUT_SECONDS)) {
                throw new IllegalStateException("gateways were not ready within " + READY_TIMEOUT_SECONDS
                        + " s, see their logs in " + folder);
            }
            RegistryWorkload work = new RegistryWorkload(plan.registryWorkload(),
                    testBed.replicaAddressesFor(TestBed.CLIENTS), testBed.loadLoop(), seed, history);
            long startedAt = History.now();
            Duration cpuBefore = rigCpuTime();
            history.add(startedAt, startedAt, "rig", "began",
                    Map.of("plan", plan.name(), "seed", seed, "seconds", plan.seconds()));
            faultInjector.start(faults);
            RunDelaySampler delays = new RunDelaySampler(testBed::requestPathPids, history);
            if (load != null) {
                load.start(plan.seconds() * 1_000_000L);
            }
            BadClients badClients = new BadClients(testBed.loadLoop(), plan.load(), seed, history);
            badClients.start(gatewayAddresses(plan, testBed));
            work.start();
            testBed.startLeaseRenewals();
            if (plan.duties().candidates() > 0) {
                testBed.startStandbyMonitor();
                Thread.sleep((long) (1000 * new Dice(seed, "roll").in(plan.duties().startSeconds())));
                testBed.requestRoll();
            }
            Thread.sleep(Math.max(0, plan.seconds() * 1000L - (History.now() - startedAt) / 1000));
            faultInjector.endAll();
            if (plan.members().count() > 0) {
                long healedAt = History.now();
                history.add(healedAt, healedAt, "rig", "healed",
                        Map.of("within_ms", VIEW_AGREEMENT_MILLIS, "lag_ms", VIEW_LAG_MILLIS));
            }
            work.stopWriting();
            Thread.sleep(plan.settleSeconds() * 1000L);
            if (plan.members().count() > 0) {
                figures.put("members_agree_ms", awaitMemberAgreement(testBed));
            }
            if (plan.duties().candidates() > 0) {
                String phase = awaitRollEnd(testBed);
                long now = History.now();
                history.add(now, now, "rig", "roll", Map.of("phase", phase));
                figures.put("roll", phase);
            }
            if (plan.registry().replicas() > 0) {
                work.readFinalState();
            }
            work.close();
            badClients.close();
            if (load != null) {
                load.awaitCompletion();
            }
            delays.close();
            figures.put("rig_cpu_share", rigCpuShare(rigCpuTime().minus(cpuBefore), testBed));
            testBed.recordAlive();
            crashed = testBed.stopAll();
            testBed.collectEvents();
        }
        figures.putAll(figures(history, plan.load().deadlineMillis(seed)));
        List<Check.Verdict> verdicts = new ArrayList<>(Checks.evaluate(plan.checks(), history));
        verdicts.add(Check.Verdict.of("processes", crashed));
        long now = History.now();
        history.add(now, now, "rig", "verdicts", Map.of("verdicts", verdicts.stream().map(Object::toString).toList(),
                "figures", figures));
        history.write(folder.resolve("history.jsonl"));
        return new Result(plan.name(), seed, verdicts, figures);
    }

    /** Waits up to a minute until the view has exactly the running members; returns how long that took, in
        milliseconds. */
    private static long awaitMemberAgreement(TestBed testBed) throws InterruptedException {
        long startedAt = History.now();
        for (int polls = 0; polls < 600 && !testBed.viewMatchesRunningMembers(); polls++) {
            Thread.sleep(100);
        }
        return (History.now() - startedAt) / 1000;
    }

    /** Waits up to a minute for the rolling restart to end; returns the phase it is in then. */
    private static String awaitRollEnd(TestBed testBed) throws InterruptedException {
        String phase = null;
        for (int polls = 0; polls < 600; polls++) {
            phase = testBed.rollPhase();
            if ("done".equals(phase) || "aborted".equals(phase)) {
                return phase;
            }
            Thread.sleep(100);
        }
        return String.valueOf(phase);
    }

    private static LoadGenerator createLoad(RigPlan plan, long seed, TestBed testBed, History history) {
        if (plan.load().rate().to() == 0) {
            return null;
        }
        return new LoadGenerator(testBed.loadLoop(), gatewayAddresses(plan, testBed),
                new Dice(seed, "rate").in(plan.load().rate()), plan.load(), seed, history);
    }

    /** The address at which clients reach each gateway, by the gateway's name. */
    private static Map<String, InetSocketAddress> gatewayAddresses(RigPlan plan, TestBed testBed) {
        Map<String, InetSocketAddress> gateways = new TreeMap<>();
        for (String name : FaultSchedule.matching(TestBed.names(plan), "gateway-*")) {
            gateways.put(name, HttpServer.parseAddress(plan.load().bypassesLinks() ? testBed.address(name)
                    : testBed.linkedAddress(TestBed.CLIENTS, name)));
        }
        return gateways;
    }

    private static Duration rigCpuTime() {
        return ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** The share of all CPU time that the rig itself took, for its clients, links and discovery server. */
    private static double rigCpuShare(Duration rigCpu, TestBed testBed) {
        double otherMillis = testBed.processes().values().stream().mapToDouble(process -> process.cpuTime().toMillis())
                .sum();
        return Math.round(1000.0 * rigCpu.toMillis() / Math.max(1, rigCpu.toMillis() + otherMillis)) / 1000.0;
    }

    /** Counts by outcome, and latencies in milliseconds from when a request was due. "served" counts only those in
        time. */
    private static Map<String, Object> figures(History history, int deadlineMillis) {
        Map<String, Object> figures = new LinkedHashMap<>();
        Map<String, Integer> outcomes = new TreeMap<>();
        Histogram latencies = new Histogram(60_000_000L, 3);
        int late = 0;
        List<History.Event> requests = history.events("request");
        for (History.Event request : requests) {
            String outcome = request.text("outcome");
            long micros = request.end() - request.start();
            if (outcome.equals("served")) {
                latencies.recordValue(Math.min(micros, 60_000_000L));
                if (micros > deadlineMillis * 1000L) {
                    outcome = "late";
                    late++;
                }
            }
            outcomes.merge(outcome, 1, Integer::sum);
        }
        addWriteFigures(history, figures);
        if (!requests.isEmpty()) {
            figures.put("requests", requests.size());
            figures.putAll(outcomes);
            figures.put("served_share",
                    Math.round(1000.0 * outcomes.getOrDefault("served", 0) / requests.size()) / 1000.0);
            figures.put("lost_by_time", requests.stream().filter(request -> request.end() - request.start()
                    > (deadlineMillis + LOST_AFTER_DEADLINE_MILLIS) * 1000L).count());
            figures.put("late_starved", LateAnswers.find(history).stream().filter(answer -> !answer.isLost()).count());
            figures.put("sent_again", requests.stream().filter(request -> request.text("before") != null).count());
            figures.put("late_share", Math.round(1000.0 * late / requests.size()) / 1000.0);
            figures.put("p50_ms", latencies.getValueAtPercentile(50) / 1000.0);
            figures.put("p99_ms", latencies.getValueAtPercentile(99) / 1000.0);
        }
        return figures;
    }

    /** Counts of writes to the list service, and for each kill of a replica how long it took until a write that began
        after it was acknowledged. */
    private static void addWriteFigures(History history, Map<String, Object> figures) {
        List<History.Event> writes = history.events().stream()
                .filter(event -> event.op().equals("put") || event.op().equals("cas")).toList();
        if (writes.isEmpty()) {
            return;
        }
        figures.put("writes", writes.size());
        figures.put("writes_unknown", writes.stream().filter(event -> !event.isKnown()).count());
        figures.put("writes_refused", writes.stream().filter(event -> "refused".equals(event.text("outcome"))).count());
        List<Long> recoveryMillis = new ArrayList<>();
        for (History.Event fault : history.events("fault")) {
            if (fault.text("kind").equals("kill") && fault.facts().get("processes").toString().contains("registry")) {
                writes.stream().filter(event -> event.start() > fault.start()
                        && Boolean.TRUE.equals(event.facts().get("ok")))
                        .mapToLong(History.Event::end).min().ifPresent(end ->
                        recoveryMillis.add((end - fault.start()) / 1000));
            }
        }
        if (!recoveryMillis.isEmpty()) {
            figures.put("write_again_ms", recoveryMillis);
        }
    }

    /** The result as one line of results.jsonl. */
    static String toJsonLine(Result result) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("plan", result.plan());
        all.put("seed", result.seed());
        all.put("held", result.held());
        all.put("verdicts", result.verdicts().stream().map(Object::toString).toList());
        all.put("figures", result.figures());
        return Json.encode(all);
    }

    static void append(Path file, Result result) throws IOException {
        Files.writeString(file, toJsonLine(result) + "\n", StandardCharsets.UTF_8,
                java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND);
    }
}
