package mastdrift.rig;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
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
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import mastdrift.common.LineStreamClient;
import org.HdrHistogram.Histogram;

/**
 * Measures the list service, its replicas run as processes, with a number of entries and a number of open watches. A
 * change's latency runs from the start of its call until the last watch has received the line with it.
 */
final class RegistryBenchmark implements AutoCloseable {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final int CONCURRENT_CALLS = 24;
    private static final int WATCH_LOOPS = 2;
    private static final int ADDRESS_SLOT = 250;  // not used by runs of plans
    private static final long RETRY_MILLIS = 50;
    private static final int WATCH_SILENCE_MILLIS = 20_000;
    private static final int CHANGE_COUNT = 200;
    private static final int CHANGE_INTERVAL_MILLIS = 50;
    private static final int RELEASE_DURATION_MILLIS = 10_000;
    private static final long DELIVERY_TIMEOUT_MILLIS = 120_000;

    private final int entryCount;
    private final int watchCount;
    private final int replacedHosts;
    private final TestBed testBed;
    private final List<String> replicas;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CALL_TIMEOUT).build();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(WATCH_LOOPS, NioIoHandler.newFactory());
    private final List<WatchState> openWatches = new ArrayList<>();
    private final AtomicLong lineCount = new AtomicLong();
    private final AtomicLong byteCount = new AtomicLong();
    private final AtomicInteger endedWatches = new AtomicInteger();

    /** One watch: the revisions that it received, and when. Written on its event loop, and read by the benchmark's
        thread once all changes are delivered. */
    private static final class WatchState {
        private volatile long rev;
        private final TreeMap<Long, Long> receivedAtMicros = new TreeMap<>();  // by revision
    }

    /** An acknowledged change. */
    private record Change(long rev, long startedAt) { }

    /** {@code replacedHosts} is the number of hosts that the release at the end replaces. */
    RegistryBenchmark(int entryCount, int watchCount, int replacedHosts, int replicaCount, Path root,
            Path folder) throws IOException {
        this.entryCount = entryCount;
        this.watchCount = watchCount;
        this.replacedHosts = replacedHosts;
        try {
            RigPlan plan = PlanFile.parse("name = \"crowd\"\nrelay = false\n[registry]\nreplicas = "
                    + replicaCount, "crowd");
            ManagedProcess.deleteFolder(folder);
            testBed = new TestBed(plan, 1, new TestBed.Options(root, true, BrokenVariants.NONE), ADDRESS_SLOT, folder,
                    new History());
        } catch (mastdrift.common.TomlFile.ValidationException e) {
            throw new IllegalStateException(e);
        }
        this.replicas = testBed.replicaAddressesFor(TestBed.CLIENTS);
    }

    /** Runs the benchmark once and returns its figures; throws IllegalStateException if changes are not delivered in
        time. */
    Map<String, Object> run() throws IOException, InterruptedException {
        testBed.start();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("entries", entryCount);
        figures.put("watches", watchCount);
        figures.put("replicas", replicas.size());
        long startedAt = History.now();
        runConcurrently(entryCount, i -> put("host-" + i, i % 3, 1));
        figures.put("puts_a_second", Math.round(entryCount * 1e6 / (History.now() - startedAt)));
        long rev = revision();

        startedAt = History.now();
        IntStream.range(0, watchCount).forEach(i -> openWatch(i));
        await("all watches to have the list", () -> openWatches.stream().allMatch(watch -> watch.rev >= rev));
        figures.put("list_to_last_ms", (History.now() - startedAt) / 1000);
        figures.put("list_bytes", watchCount == 0 ? 0 : byteCount.get() / Math.max(1, lineCount.get()));
        ResourceUsage usage = ResourceUsage.start(testBed);
        figures.put("rss_mb_most", ResourceUsage.maxResidentMegabytes(testBed));

        List<Change> changes = new ArrayList<>();
        startedAt = History.now();
        for (int i = 0; i < CHANGE_COUNT; i++) {
            changes.add(put("host-" + i % Math.max(1, entryCount), i % 3, 2 + i));
            Thread.sleep(Math.max(0, (i + 1) * (long) CHANGE_INTERVAL_MILLIS - (History.now() - startedAt) / 1000));
        }
        awaitDelivery(changes);
        addLatencies(figures, "change", changes);
        figures.put("change_cpu_share", usage.busiestCores());

        release(figures);
        figures.put("rss_mb_most_after", ResourceUsage.maxResidentMegabytes(testBed));
        figures.put("watches_ended", endedWatches.get());
        return figures;
    }

    /** Replaces hosts one after the other: puts the new one, then drains and removes the old one. */
    private void release(Map<String, Object> figures) throws IOException, InterruptedException {
        int count = Math.min(replacedHosts, entryCount);
        long linesBefore = lineCount.get();
        long bytesBefore = byteCount.get();
        ResourceUsage usage = ResourceUsage.start(testBed);
        List<Change> changes = java.util.Collections.synchronizedList(new ArrayList<>());
        long startedAt = History.now();
        runConcurrently(count, i -> {
            long dueAt = startedAt + i * (RELEASE_DURATION_MILLIS * 1000L) / Math.max(1, count);
            TimeUnit.MICROSECONDS.sleep(Math.max(0, dueAt - History.now()));
            Change change = put("next-" + i, i % 3, 1);
            changes.add(change);
            long drainStartedAt = History.now();
            changes.add(new Change(call("POST", "/v1/entries/host-" + i + "/drain", ""), drainStartedAt));
            call("DELETE", "/v1/entries/host-" + i, "");
            return change;
        });
        figures.put("release_hosts", count);
        figures.put("release_took_ms", (History.now() - startedAt) / 1000);
        awaitDelivery(changes);
        addLatencies(figures, "release", changes);
        figures.put("release_lines_a_watch", watchCount == 0 ? 0 : (lineCount.get() - linesBefore) / watchCount);
        figures.put("release_mb", (byteCount.get() - bytesBefore) / 1_000_000);
        figures.put("release_cpu_share", usage.busiestCores());
    }

    private void openWatch(int number) {
        WatchState watch = new WatchState();
        openWatches.add(watch);
        InetSocketAddress address = HttpServer.parseAddress(replicas.get(number % replicas.size()));
        LineStreamClient.open(loops.next(), address, "/v1/endpoints?watch=1&from=0", Map.of(),
                (int) CALL_TIMEOUT.toMillis(), WATCH_SILENCE_MILLIS, line -> {
            if (!line.isEmpty()) {
                lineCount.incrementAndGet();
                byteCount.addAndGet(line.length());
                long rev = revision(line);
                watch.receivedAtMicros.put(rev, History.now());
                watch.rev = rev;
            }
        }, why -> endedWatches.incrementAndGet());
    }

    /** The revision of a line, found without parsing the line: a full list is long. */
    private static long revision(String line) {
        int from = line.indexOf("\"rev\":") + 6;
        int to = from;
        while (Character.isDigit(line.charAt(to))) {
            to++;
        }
        return Long.parseLong(line.substring(from, to));
    }

    private void awaitDelivery(List<Change> changes) throws InterruptedException {
        long last = changes.stream().mapToLong(Change::rev).max().orElse(0);
        await("all watches to be told revision " + last,
                () -> openWatches.stream().allMatch(watch -> watch.rev >= last));
    }

    private void addLatencies(Map<String, Object> figures, String name, List<Change> changes) {
        Histogram latencies = new Histogram(600_000_000L, 3);
        for (Change change : changes) {
            openWatches.stream()
                    .mapToLong(watch -> watch.receivedAtMicros.ceilingEntry(change.rev).getValue() - change.startedAt)
                    .max()
                    .ifPresent(micros -> latencies.recordValue(Math.max(0, micros)));
        }
        figures.put(name + "_to_last_p50_ms", latencies.getValueAtPercentile(50) / 1000.0);
        figures.put(name + "_to_last_p99_ms", latencies.getValueAtPercentile(99) / 1000.0);
    }

    private interface Task {
        Change run(int number) throws IOException, InterruptedException;
    }

    private static void runConcurrently(int count, Task task) throws InterruptedException {
        AtomicInteger next = new AtomicInteger();
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_CALLS; i++) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            all.add(done);
            new Thread(() -> {
                try {
                    for (int number = next.getAndIncrement(); number < count; number = next.getAndIncrement()) {
                        task.run(number);
                    }
                    done.complete(null);
                } catch (IOException | InterruptedException | RuntimeException e) {
                    done.completeExceptionally(e);
                }
            }).start();
        }
        all.forEach(CompletableFuture::join);
    }

    private Change put(String uid, int zone, double capacity) throws IOException, InterruptedException {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("endpoint", "127.0.0.1:9000");
        entry.put("az", "zone-" + zone);
        entry.put("model", "std");
        entry.put("capacity_hint", capacity);
        long startedAt = History.now();
        return new Change(call("PUT", "/v1/entries/" + uid, Json.encode(entry)), startedAt);
    }

    /** Calls a replica, repeats the call while the answer is 503, and returns the revision in the answer. */
    private long call(String method, String path, String body) throws IOException, InterruptedException {
        String address = replicas.get(Math.floorMod(path.hashCode(), replicas.size()));
        long deadline = History.now() + CALL_TIMEOUT.toNanos() / 1000;
        HttpResponse<byte[]> answer = send(address, method, path, body);
        while (answer.statusCode() == 503 && History.now() < deadline) {
            Thread.sleep(RETRY_MILLIS);
            answer = send(address, method, path, body);
        }
        if (answer.statusCode() != 200) {
            throw new IOException(method + " " + path + ": " + answer.statusCode() + " " + new String(answer.body(),
                    java.nio.charset.StandardCharsets.UTF_8));
        }
        return ((Number) Json.parse(answer.body()).get("rev")).longValue();
    }

    private HttpResponse<byte[]> send(String address, String method, String path, String body) throws IOException,
            InterruptedException {
        return client.send(HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(CALL_TIMEOUT)
                .method(method,
                HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    private long revision() throws IOException, InterruptedException {
        return call("GET", "/v1/registry", "");
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long startedAt = History.now();
        while (!condition.getAsBoolean()) {
            if (History.now() - startedAt > DELIVERY_TIMEOUT_MILLIS * 1000) {
                throw new IllegalStateException("timed out after " + DELIVERY_TIMEOUT_MILLIS / 1000 + " s waiting for "
                        + description);
            }
            Thread.sleep(1);
        }
    }

    @Override
    public void close() {
        testBed.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
