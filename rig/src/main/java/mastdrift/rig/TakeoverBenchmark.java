package mastdrift.rig;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import mastdrift.common.Json;
import mastdrift.common.Range;
import mastdrift.common.TomlFile;
import org.HdrHistogram.Histogram;

/** Measures how long a duty is without a holder after its holder, one of several candidate processes, is killed or
    stopped; and the cost of many leases. A takeover's time runs from the signal until the replicas report another
    holder. */
final class TakeoverBenchmark implements AutoCloseable {

    private static final int ADDRESS_SLOT = 251;
    private static final int POLL_MILLIS = 3;
    private static final long TIMEOUT_MICROS = 60_000_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int CONCURRENT_CALLS = 200;

    private final TestBed testBed;
    private final int candidateCount;

    TakeoverBenchmark(int candidateCount, long termMillis, Path root, Path folder) throws IOException {
        this.candidateCount = candidateCount;
        try {
            RigPlan plan = PlanFile.parse("name = \"takeover\"\nrelay = false\n[registry]\nreplicas = 3", "takeover");
            ManagedProcess.deleteFolder(folder);
            testBed = new TestBed(new RigPlan(plan.name(), plan.seconds(), plan.settleSeconds(), plan.usesLinks(),
                    plan.gateways(), plan.hosts(), plan.load(), plan.registry(), plan.registryWorkload(),
                    new RigPlan.Duties(candidateCount, termMillis, Range.of(0)), plan.members(), plan.faults(),
                    plan.checks()), 1,
                    new TestBed.Options(root, true, BrokenVariants.NONE), ADDRESS_SLOT, folder, new History());
        } catch (TomlFile.ValidationException e) {
            throw new IllegalStateException(e);
        }
    }

    void start() throws IOException, InterruptedException {
        testBed.start();
    }

    /** Ends the holder so many times, by SIGKILL or else by SIGTERM, and measures each takeover. */
    Map<String, Object> measureTakeovers(int times, boolean kill) throws InterruptedException {
        Histogram latencies = new Histogram(TIMEOUT_MICROS, 3);
        for (int i = 0; i < times; i++) {
            Map<String, Object> duty = awaitSettled();
            String holder = duty.get("holder").toString();
            long token = ((Number) duty.get("token")).longValue();
            ManagedProcess process = testBed.processes().get(holder);
            long startedAt = History.now();
            Thread stopper = new Thread(() -> {
                testBed.setExpectedDown(holder, true);
                if (kill) {
                    process.kill();
                } else {
                    process.terminateAndWait();
                }
            });
            stopper.start();
            Map<String, Object> next = duty;
            while (next.get("holder") == null || ((Number) next.get("token")).longValue() <= token) {
                Thread.sleep(POLL_MILLIS);
                Map<String, Object> current = testBed.dutyState("roll");
                next = current.isEmpty() ? next : current;
                throwIfTimedOut(startedAt, "another holder than " + holder);
            }
            latencies.recordValue(History.now() - startedAt);
            stopper.join();
            testBed.restart(holder);
            testBed.setExpectedDown(holder, false);
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("how", kill ? "kill" : "clean stop");
        figures.put("times", times);
        figures.put("p50_ms", latencies.getValueAtPercentile(50) / 1000.0);
        figures.put("p99_ms", latencies.getValueAtPercentile(99) / 1000.0);
        figures.put("most_ms", latencies.getMaxValue() / 1000.0);
        return figures;
    }

    /** Waits until one candidate holds the duty and all others wait for it; returns the duty's state. */
    private Map<String, Object> awaitSettled() throws InterruptedException {
        long startedAt = History.now();
        while (true) {
            Map<String, Object> duty = testBed.dutyState("roll");
            if (duty.get("holder") != null && duty.get("waiting") instanceof List<?> waiting
                    && waiting.size() == candidateCount - 1) {
                return duty;
            }
            throwIfTimedOut(startedAt, "a holder and " + (candidateCount - 1) + " waiting candidates");
            Thread.sleep(20);
        }
    }

    private static void throwIfTimedOut(long startedAt, String description) {
        if (History.now() - startedAt > TIMEOUT_MICROS) {
            throw new IllegalStateException("timed out after " + TIMEOUT_MICROS / 1_000_000 + " s waiting for "
                    + description);
        }
    }

    /** Acquires so many leases, renews each three times a term for so many seconds, and measures the cost. */
    Map<String, Object> measureLeases(int count, long termMillis, int seconds) throws IOException,
            InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CALL_TIMEOUT)
                .build();
        List<String> replicas = testBed.replicaAddressesFor(TestBed.CLIENTS);
        long[] tokens = new long[count];
        int refused = 0;
        for (int i = 0; i < count; i += CONCURRENT_CALLS) {
            List<CompletableFuture<HttpResponse<byte[]>>> calls = new ArrayList<>();
            for (int j = i; j < Math.min(count, i + CONCURRENT_CALLS); j++) {
                calls.add(call(client, replicas.get(j % replicas.size()), j, "acquire",
                        Map.of("who", "one", "span", termMillis)));
            }
            for (int j = 0; j < calls.size(); j++) {
                HttpResponse<byte[]> answer = calls.get(j).join();
                tokens[i + j] = answer.statusCode() == 200
                        ? ((Number) Json.parse(answer.body()).get("token")).longValue() : 0;
                refused += tokens[i + j] == 0 ? 1 : 0;
            }
        }
        long appliedBefore = appliedIndex();
        ResourceUsage usage = ResourceUsage.start(testBed);
        long startedAt = History.now();
        int renewals = 0;
        int lost = 0;
        int unknown = 0;
        List<CompletableFuture<HttpResponse<byte[]>>> calls = new ArrayList<>();
        double perSecond = 3000.0 * count / termMillis;
        for (long number = 0; History.now() - startedAt < seconds * 1_000_000L; number++) {
            Thread.sleep(Math.max(0, (long) (1000 * number / perSecond) - (History.now() - startedAt) / 1000));
            int lease = (int) (number % count);
            calls.add(call(client, replicas.get(lease % replicas.size()), lease, "hold", Map.of("who", "one", "token",
                    tokens[lease])));
            renewals++;
        }
        for (CompletableFuture<HttpResponse<byte[]>> each : calls) {
            int status = each.handle((answer, fault) -> fault == null ? answer.statusCode() : 0).join();
            lost += status == 409 ? 1 : 0;
            unknown += status != 200 && status != 409 ? 1 : 0;
        }
        double elapsedSeconds = (History.now() - startedAt) / 1e6;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("leases", count);
        figures.put("term_ms", termMillis);
        figures.put("not_granted", refused);
        figures.put("renewals", renewals);
        figures.put("lost", lost);
        figures.put("refused_or_unknown", unknown);
        figures.put("log_entries_a_second", Math.round((appliedIndex() - appliedBefore) / elapsedSeconds));
        figures.put("cores_of_the_busiest", usage.busiestCores());
        figures.put("rss_mb_most", ResourceUsage.maxResidentMegabytes(testBed));
        return figures;
    }

    private long appliedIndex() {
        return ((Number) testBed.getFromAnyReplica("/v1/registry").get("applied")).longValue();
    }

    private static CompletableFuture<HttpResponse<byte[]>> call(HttpClient client, String address, int lease,
            String action, Map<String, Object> body) {
        return client.sendAsync(HttpRequest.newBuilder(URI.create("http://" + address + "/v1/duties/lease-" + lease
                + "/" + action)).timeout(CALL_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(Json.encode(body))).build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    @Override
    public void close() {
        testBed.close();
    }
}
