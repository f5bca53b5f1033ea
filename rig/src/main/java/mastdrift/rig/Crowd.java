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
import mastdrift.common.LineStreamClient;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import org.HdrHistogram.Histogram;

/**
 * Measures the list service, its replicas run as processes, with a number of entries and a number of open watches. A
 * change's latency runs from the start of its call until the last watch has received the line with it.
 */
final class Crowd implements AutoCloseable {

    private static final Duration WITHIN = Duration.ofSeconds(10);
    private static final int CALLS_AT_ONCE = 24;
    private static final int WATCH_LOOPS = 2;
    private static final int LANE = 250;  // not used by runs of plans
    private static final long AGAIN_MILLIS = 50;
    private static final int SILENCE_MILLIS = 20_000;
    private static final int CHANGES = 200;
    private static final int CHANGE_EVERY_MILLIS = 50;
    private static final int RELEASE_MILLIS = 10_000;
    private static final long WAIT_MILLIS = 120_000;

    private final int entries;
    private final int watches;
    private final int replaced;
    private final Stage stage;
    private final List<String> replicas;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(WITHIN).build();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(WATCH_LOOPS, NioIoHandler.newFactory());
    private final List<Reader> readers = new ArrayList<>();
    private final AtomicLong lines = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicInteger ended = new AtomicInteger();

    /** One watch: the revisions that it received, and when. Written on its event loop, and read by the benchmark's
        thread once all changes are delivered. */
    private static final class Reader {
        private volatile long rev;
        private final TreeMap<Long, Long> at = new TreeMap<>();  // microseconds by revision
    }

    /** An acknowledged change. */
    private record Change(long rev, long began) { }

    /** {@code replaced} is the number of hosts that the release at the end replaces. */
    Crowd(int entries, int watches, int replaced, int replicas, Path root, Path folder) throws IOException {
        this.entries = entries;
        this.watches = watches;
        this.replaced = replaced;
        try {
            RigPlan plan = PlanFile.parse("name = \"crowd\"\nrelay = false\n[registry]\nreplicas = " + replicas, "crowd");
            Program.delete(folder);
            stage = new Stage(plan, 1, new Stage.Setting(root, true, Variants.NONE), LANE, folder, new History());
        } catch (mastdrift.common.TomlFile.ValidationException e) {
            throw new IllegalStateException(e);
        }
        this.replicas = stage.replicasFor(Stage.CLIENTS);
    }

    /** Runs the benchmark once and returns its figures; throws IllegalStateException if changes are not delivered in
        time. */
    Map<String, Object> play() throws IOException, InterruptedException {
        stage.start();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("entries", entries);
        figures.put("watches", watches);
        figures.put("replicas", replicas.size());
        long began = History.now();
        each(entries, i -> put("host-" + i, i % 3, 1));
        figures.put("puts_a_second", Math.round(entries * 1e6 / (History.now() - began)));
        long rev = revision();

        began = History.now();
        IntStream.range(0, watches).forEach(i -> watch(i));
        await("all watches to have the list", () -> readers.stream().allMatch(reader -> reader.rev >= rev));
        figures.put("list_to_last_ms", (History.now() - began) / 1000);
        figures.put("list_bytes", watches == 0 ? 0 : bytes.get() / Math.max(1, lines.get()));
        Costs costs = Costs.begin(stage);
        figures.put("rss_mb_most", Costs.megabytes(stage));

        List<Change> changes = new ArrayList<>();
        began = History.now();
        for (int i = 0; i < CHANGES; i++) {
            changes.add(put("host-" + i % Math.max(1, entries), i % 3, 2 + i));
            Thread.sleep(Math.max(0, (i + 1) * (long) CHANGE_EVERY_MILLIS - (History.now() - began) / 1000));
        }
        settle(changes);
        tell(figures, "change", changes);
        figures.put("change_cpu_share", costs.cores());

        release(figures);
        figures.put("rss_mb_most_after", Costs.megabytes(stage));
        figures.put("watches_ended", ended.get());
        return figures;
    }

    /** Replaces hosts one after the other: puts the new one, then drains and removes the old one. */
    private void release(Map<String, Object> figures) throws IOException, InterruptedException {
        int count = Math.min(replaced, entries);
        long linesBefore = lines.get();
        long bytesBefore = bytes.get();
        Costs costs = Costs.begin(stage);
        List<Change> changes = java.util.Collections.synchronizedList(new ArrayList<>());
        long began = History.now();
        each(count, i -> {
            long due = began + i * (RELEASE_MILLIS * 1000L) / Math.max(1, count);
            TimeUnit.MICROSECONDS.sleep(Math.max(0, due - History.now()));
            Change put = put("next-" + i, i % 3, 1);
            changes.add(put);
            long at = History.now();
            changes.add(new Change(call("POST", "/v1/entries/host-" + i + "/drain", ""), at));
            call("DELETE", "/v1/entries/host-" + i, "");
            return put;
        });
        figures.put("release_hosts", count);
        figures.put("release_took_ms", (History.now() - began) / 1000);
        settle(changes);
        tell(figures, "release", changes);
        figures.put("release_lines_a_watch", watches == 0 ? 0 : (lines.get() - linesBefore) / watches);
        figures.put("release_mb", (bytes.get() - bytesBefore) / 1_000_000);
        figures.put("release_cpu_share", costs.cores());
    }

    private void watch(int number) {
        Reader reader = new Reader();
        readers.add(reader);
        InetSocketAddress at = HttpServer.parseAddress(replicas.get(number % replicas.size()));
        LineStreamClient.open(loops.next(), at, "/v1/endpoints?watch=1&from=0", Map.of(), (int) WITHIN.toMillis(), SILENCE_MILLIS, line -> {
            if (!line.isEmpty()) {
                lines.incrementAndGet();
                bytes.addAndGet(line.length());
                long rev = revision(line);
                reader.at.put(rev, History.now());
                reader.rev = rev;
            }
        }, why -> ended.incrementAndGet());
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

    private void settle(List<Change> changes) throws InterruptedException {
        long last = changes.stream().mapToLong(Change::rev).max().orElse(0);
        await("all watches to be told revision " + last, () -> readers.stream().allMatch(reader -> reader.rev >= last));
    }

    private void tell(Map<String, Object> figures, String name, List<Change> changes) {
        Histogram last = new Histogram(600_000_000L, 3);
        for (Change change : changes) {
            readers.stream().mapToLong(reader -> reader.at.ceilingEntry(change.rev).getValue() - change.began).max()
                    .ifPresent(micros -> last.recordValue(Math.max(0, micros)));
        }
        figures.put(name + "_to_last_p50_ms", last.getValueAtPercentile(50) / 1000.0);
        figures.put(name + "_to_last_p99_ms", last.getValueAtPercentile(99) / 1000.0);
    }

    private interface One {
        Change run(int number) throws IOException, InterruptedException;
    }

    private static void each(int count, One one) throws InterruptedException {
        AtomicInteger next = new AtomicInteger();
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < CALLS_AT_ONCE; i++) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            all.add(done);
            new Thread(() -> {
                try {
                    for (int number = next.getAndIncrement(); number < count; number = next.getAndIncrement()) {
                        one.run(number);
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
        long began = History.now();
        return new Change(call("PUT", "/v1/entries/" + uid, Json.encode(entry)), began);
    }

    /** Calls a replica, repeats the call while the answer is 503, and returns the revision in the answer. */
    private long call(String method, String path, String body) throws IOException, InterruptedException {
        String at = replicas.get(Math.floorMod(path.hashCode(), replicas.size()));
        long until = History.now() + WITHIN.toNanos() / 1000;
        HttpResponse<byte[]> answer = send(at, method, path, body);
        while (answer.statusCode() == 503 && History.now() < until) {
            Thread.sleep(AGAIN_MILLIS);
            answer = send(at, method, path, body);
        }
        if (answer.statusCode() != 200) {
            throw new IOException(method + " " + path + ": " + answer.statusCode() + " " + new String(answer.body(),
                    java.nio.charset.StandardCharsets.UTF_8));
        }
        return ((Number) Json.parse(answer.body()).get("rev")).longValue();
    }

    private HttpResponse<byte[]> send(String at, String method, String path, String body) throws IOException,
            InterruptedException {
        return client.send(HttpRequest.newBuilder(URI.create("http://" + at + path)).timeout(WITHIN).method(method,
                HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    private long revision() throws IOException, InterruptedException {
        return call("GET", "/v1/registry", "");
    }

    private static void await(String what, BooleanSupplier until) throws InterruptedException {
        long from = History.now();
        while (!until.getAsBoolean()) {
            if (History.now() - from > WAIT_MILLIS * 1000) {
                throw new IllegalStateException("timed out after " + WAIT_MILLIS / 1000 + " s waiting for " + what);
            }
            Thread.sleep(1);
        }
    }

    @Override
    public void close() {
        stage.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
