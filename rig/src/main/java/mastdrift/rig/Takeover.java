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
final class Takeover implements AutoCloseable {

    private static final int LANE = 251;
    private static final int LOOK_MILLIS = 3;
    private static final long WAIT_MICROS = 60_000_000;
    private static final Duration WITHIN = Duration.ofSeconds(5);
    private static final int CALLS_AT_ONCE = 200;

    private final Stage stage;
    private final int candidates;

    Takeover(int candidates, long termMillis, Path root, Path folder) throws IOException {
        this.candidates = candidates;
        try {
            RigPlan plan = PlanFile.parse("name = \"takeover\"\nrelay = false\n[registry]\nreplicas = 3", "takeover");
            Program.delete(folder);
            stage = new Stage(new RigPlan(plan.name(), plan.seconds(), plan.settleSeconds(), plan.relay(), plan.gateways(),
                    plan.hosts(), plan.load(), plan.registry(), plan.work(), new RigPlan.Duties(candidates, termMillis,
                    Range.of(0)), plan.members(), plan.faults(), plan.check()), 1, new Stage.Setting(root, true, Variants.NONE), LANE, folder,
                    new History());
        } catch (TomlFile.ValidationException e) {
            throw new IllegalStateException(e);
        }
    }

    void start() throws IOException, InterruptedException {
        stage.start();
    }

    /** Ends the holder so many times, by SIGKILL or else by SIGTERM, and measures each takeover. */
    Map<String, Object> end(int times, boolean kill) throws InterruptedException {
        Histogram all = new Histogram(WAIT_MICROS, 3);
        for (int i = 0; i < times; i++) {
            Map<String, Object> duty = settled();
            String holder = duty.get("holder").toString();
            long token = ((Number) duty.get("token")).longValue();
            Program program = stage.programs().get(holder);
            long began = History.now();
            Thread ending = new Thread(() -> {
                stage.meant(holder, true);
                if (kill) {
                    program.kill();
                } else {
                    program.term();
                }
            });
            ending.start();
            Map<String, Object> next = duty;
            while (next.get("holder") == null || ((Number) next.get("token")).longValue() <= token) {
                Thread.sleep(LOOK_MILLIS);
                Map<String, Object> seen = stage.duty("roll");
                next = seen.isEmpty() ? next : seen;
                bounded(began, "another holder than " + holder);
            }
            all.recordValue(History.now() - began);
            ending.join();
            stage.restart(holder);
            stage.meant(holder, false);
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("how", kill ? "kill" : "clean stop");
        figures.put("times", times);
        figures.put("p50_ms", all.getValueAtPercentile(50) / 1000.0);
        figures.put("p99_ms", all.getValueAtPercentile(99) / 1000.0);
        figures.put("most_ms", all.getMaxValue() / 1000.0);
        return figures;
    }

    /** Waits until one candidate holds the duty and all others wait for it; returns the duty's state. */
    private Map<String, Object> settled() throws InterruptedException {
        long from = History.now();
        while (true) {
            Map<String, Object> duty = stage.duty("roll");
            if (duty.get("holder") != null && duty.get("waiting") instanceof List<?> waiting && waiting.size() == candidates - 1) {
                return duty;
            }
            bounded(from, "a holder and " + (candidates - 1) + " waiting candidates");
            Thread.sleep(20);
        }
    }

    private static void bounded(long from, String what) {
        if (History.now() - from > WAIT_MICROS) {
            throw new IllegalStateException("timed out after " + WAIT_MICROS / 1_000_000 + " s waiting for " + what);
        }
    }

    /** Acquires so many leases, renews each three times a term for so many seconds, and measures the cost. */
    Map<String, Object> leases(int count, long termMillis, int seconds) throws IOException, InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(WITHIN).build();
        List<String> replicas = stage.replicasFor(Stage.CLIENTS);
        long[] tokens = new long[count];
        int refused = 0;
        for (int i = 0; i < count; i += CALLS_AT_ONCE) {
            List<CompletableFuture<HttpResponse<byte[]>>> calls = new ArrayList<>();
            for (int j = i; j < Math.min(count, i + CALLS_AT_ONCE); j++) {
                calls.add(call(client, replicas.get(j % replicas.size()), j, "acquire", Map.of("who", "one", "span", termMillis)));
            }
            for (int j = 0; j < calls.size(); j++) {
                HttpResponse<byte[]> answer = calls.get(j).join();
                tokens[i + j] = answer.statusCode() == 200
                        ? ((Number) Json.parse(answer.body()).get("token")).longValue() : 0;
                refused += tokens[i + j] == 0 ? 1 : 0;
            }
        }
        long applied = applied();
        Costs costs = Costs.begin(stage);
        long began = History.now();
        int renewals = 0;
        int lost = 0;
        int unknown = 0;
        List<CompletableFuture<HttpResponse<byte[]>>> calls = new ArrayList<>();
        double perSecond = 3000.0 * count / termMillis;
        for (long at = 0; History.now() - began < seconds * 1_000_000L; at++) {
            Thread.sleep(Math.max(0, (long) (1000 * at / perSecond) - (History.now() - began) / 1000));
            int lease = (int) (at % count);
            calls.add(call(client, replicas.get(lease % replicas.size()), lease, "hold", Map.of("who", "one", "token",
                    tokens[lease])));
            renewals++;
        }
        for (CompletableFuture<HttpResponse<byte[]>> each : calls) {
            int status = each.handle((answer, fault) -> fault == null ? answer.statusCode() : 0).join();
            lost += status == 409 ? 1 : 0;
            unknown += status != 200 && status != 409 ? 1 : 0;
        }
        double span = (History.now() - began) / 1e6;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("leases", count);
        figures.put("term_ms", termMillis);
        figures.put("not_granted", refused);
        figures.put("renewals", renewals);
        figures.put("lost", lost);
        figures.put("refused_or_unknown", unknown);
        figures.put("log_entries_a_second", Math.round((applied() - applied) / span));
        figures.put("cores_of_the_busiest", costs.cores());
        figures.put("rss_mb_most", Costs.megabytes(stage));
        return figures;
    }

    private long applied() {
        return ((Number) stage.askAny("/v1/registry").get("applied")).longValue();
    }

    private static CompletableFuture<HttpResponse<byte[]>> call(HttpClient client, String at, int lease, String what,
            Map<String, Object> body) {
        return client.sendAsync(HttpRequest.newBuilder(URI.create("http://" + at + "/v1/duties/lease-" + lease + "/" + what))
                .timeout(WITHIN).POST(HttpRequest.BodyPublishers.ofString(Json.encode(body))).build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    @Override
    public void close() {
        stage.close();
    }
}
