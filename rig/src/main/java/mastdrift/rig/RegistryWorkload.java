package mastdrift.rig;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.common.Backoff;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import mastdrift.common.LineStreamClient;
import mastdrift.lab.Dice;

/** A workload for the list service: writers put, compare-and-set and read entries, watchers follow the list, and all
    calls and received lines are recorded in the history. An entry's model field holds the written value, unique to each
    write. */
final class RegistryWorkload implements AutoCloseable {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final int WATCH_SILENCE_MILLIS = 5000;

    private final RigPlan.RegistryWorkload plan;
    private final List<String> replicas;  // addresses
    private final History history;
    private final EventLoop loop;
    private final long seed;
    private final AtomicLong valueCount = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private volatile boolean stopped;

    RegistryWorkload(RigPlan.RegistryWorkload plan, List<String> replicas, EventLoop loop, long seed, History history) {
        this.plan = plan;
        this.replicas = replicas;
        this.loop = loop;
        this.seed = seed;
        this.history = history;
    }

    void start() {
        double rate = new Dice(seed, "work").in(plan.rate());
        for (int i = 0; i < plan.writers(); i++) {
            int number = i;
            Thread thread = new Thread(() -> runWriter("writer-" + number, new Dice(seed, "writer-" + number), rate));
            thread.start();
            threads.add(thread);
        }
        for (int i = 0; i < plan.watchers(); i++) {
            Watcher watcher = new Watcher("watcher-" + i, new Dice(seed, "watcher-" + i));
            watchers.add(watcher);
            loop.execute(watcher::connect);
        }
    }

    /** Stops the writers and waits for them; the watchers go on. */
    void stopWriting() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void runWriter(String name, Dice dice, double rate) {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CALL_TIMEOUT)
                .build();
        Map<String, Long> revisions = new HashMap<>();  // the last known revision by key, for compare-and-set
        try {
            while (!stopped) {
                String key = "entry-" + dice.below(plan.entries());
                String address = replicas.get(dice.below(replicas.size()));
                double action = dice.unit();
                if (action < 0.4) {
                    read(client, name, address, key, revisions, "read");
                } else {
                    boolean compares = action < 0.6 && revisions.containsKey(key);
                    put(client, name, address, key, compares ? revisions.get(key) : null, revisions);
                }
                Thread.sleep((long) Math.min(2000, dice.exponential(1000 / rate)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void put(HttpClient client, String name, String address, String key, Long expectedRevision,
            Map<String, Long> revisions) throws InterruptedException {
        String value = "v" + valueCount.incrementAndGet();
        Map<String, Object> facts = new HashMap<>(Map.of("key", key, "value", value, "at", address));
        if (expectedRevision != null) {
            facts.put("if_rev", expectedRevision);
        }
        String body = Json.encode(Map.of("endpoint", "127.0.0.1:1", "az", "z", "model", value, "lease_ms",
                plan.leaseMillis()));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/entries/" + key
                + (expectedRevision == null ? "" : "?if_rev=" + expectedRevision))).timeout(CALL_TIMEOUT)
                .PUT(HttpRequest.BodyPublishers.ofString(body)).build();
        long start = History.now();
        long end = History.NEVER;
        try {
            HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
            int status = answer.statusCode();
            facts.put("status", status);
            if (status == 200 || status == 409) {
                end = History.now();
                facts.put("ok", status == 200);
                long rev = ((Number) Json.parse(answer.body()).get("rev")).longValue();
                revisions.put(key, rev);
                if (status == 200) {
                    facts.put("rev", rev);
                }
            } else if (status == 503) {
                end = History.now();
                facts.put("outcome", "refused");
            }
        } catch (ConnectException | java.net.http.HttpConnectTimeoutException e) {
            end = History.now();
            facts.put("outcome", "refused");  // the request was never sent
        } catch (IOException | IllegalArgumentException e) {
            facts.put("error", String.valueOf(e.getMessage()));
        }
        history.add(start, end, name, expectedRevision == null ? "put" : "cas", facts);
    }

    private boolean read(HttpClient client, String name, String address, String key,
            Map<String, Long> revisions, String op) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/entries/" + key))
                .timeout(CALL_TIMEOUT).build();
        long start = History.now();
        try {
            HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() != 200 && answer.statusCode() != 404) {
                return false;
            }
            Map<String, Object> entry = answer.statusCode() == 404 ? Map.of() : Json.parse(answer.body());
            Map<String, Object> facts = new HashMap<>(Map.of("key", key, "at", address));
            facts.put("value", entry.get("model"));
            facts.put("rev", entry.getOrDefault("rev", 0L));
            if (entry.get("rev") instanceof Number rev) {
                revisions.put(key, rev.longValue());
            }
            history.add(start, History.now(), name, op, facts);
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }

    /** Records the final value of each entry and the final list of each replica. Throws IllegalStateException if a
        replica does not answer although all faults have ended. */
    void readFinalState() throws InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CALL_TIMEOUT)
                .build();
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        for (int i = 0; i < plan.entries(); i++) {
            int turn = 0;
            while (!read(client, "rig", replicas.get(turn++ % replicas.size()), "entry-" + i, new HashMap<>(), "final")) {
                if (System.nanoTime() > deadline) {
                    throw new IllegalStateException("the list service does not answer although all faults have ended");
                }
                Thread.sleep(50);
            }
        }
        for (String address : replicas) {
            try {
                String list = client.send(HttpRequest.newBuilder(URI.create("http://" + address + "/v1/endpoints"))
                        .timeout(CALL_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString()).body();
                recordLine("replica " + address, list);
            } catch (IOException e) {
                throw new IllegalStateException("replica " + address
                        + " does not answer although all faults have ended", e);
            }
        }
    }

    private void recordLine(String by, String line) {
        Map<String, Object> list = Json.parse(line);
        Map<String, Object> values = new HashMap<>();
        for (Object each : (List<?>) list.get("targets")) {
            Map<?, ?> target = (Map<?, ?>) each;
            values.put(target.get("uid").toString(), "terminated".equals(target.get("state")) ? null : target.get("model"));
        }
        long now = History.now();
        history.add(now, now, by, "line", Map.of("rev", ((Number) list.get("rev")).longValue(), "all", list.get("all"),
                "values", values));
    }

    @Override
    public void close() {
        stopped = true;
        threads.forEach(Thread::interrupt);
        loop.submit(() -> watchers.forEach(Watcher::stop)).syncUninterruptibly();
    }

    /** Watches one replica at a time; when the stream ends, it resumes with another from the revision that it has. */
    private final class Watcher {

        private final String name;
        private final Dice dice;
        private final Backoff backoff;
        private LineStreamClient stream;
        private long rev;
        private boolean stopped;

        Watcher(String name, Dice dice) {
            this.name = name;
            this.dice = dice;
            backoff = new Backoff(20, 500, dice::unit);
        }

        void connect() {
            if (stopped) {
                return;
            }
            InetSocketAddress address = HttpServer.parseAddress(replicas.get(dice.below(replicas.size())));
            stream = LineStreamClient.open(loop, address, "/v1/endpoints?watch=1&from=" + rev,
                    Map.of("X-Least-Revision", Long.toString(rev)), 1000, WATCH_SILENCE_MILLIS, this::onLine,
                    cause -> loop.schedule(this::connect, backoff.next(), TimeUnit.MILLISECONDS));
        }

        private void onLine(String line) {
            if (!line.isBlank()) {
                backoff.reset();
                recordLine(name, line);
                rev = ((Number) Json.parse(line).get("rev")).longValue();
            }
        }

        void stop() {
            stopped = true;
            if (stream != null) {
                stream.cancel();
            }
        }
    }
}
