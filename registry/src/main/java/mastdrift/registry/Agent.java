package mastdrift.registry;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import mastdrift.common.Backoff;
import mastdrift.common.Clock;
import mastdrift.common.Disk;
import mastdrift.common.LineStreamClient;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs beside gateways: serves discovery from its own copy of the endpoint list, and watches a replica of the list
    service for changes. Its state is confined to its event loop. */
public final class Agent implements AutoCloseable {

    /** Configuration of an agent: directory of its files, listen address, addresses of the replicas, and its
        membership; null if it is no member. */
    public record Setup(Path folder, InetSocketAddress listen, List<InetSocketAddress> replicas, Membership.Setup member) { }

    private static final Logger LOG = LoggerFactory.getLogger(Agent.class);
    private static final int DIAL_MILLIS = 1000;
    private static final int SILENCE_MILLIS = 5000;  // a replica sends an empty line every 2 s
    private static final int PAUSE_LEAST_MILLIS = 50;
    private static final int PAUSE_MOST_MILLIS = 3000;
    private static final int ASK_MILLIS = 5000;  // how often the addresses of the replicas are looked up
    private static final int KEEP_MILLIS = 200;  // changes within it are saved together

    private final Setup setup;
    private final Clock clock;
    private final Disk disk;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ExecutorService writer = Executors.newSingleThreadExecutor();
    private final AgentList list = new AgentList();
    private final Feed feed;
    private final HttpServer http;
    private final Backoff backoff = new Backoff(PAUSE_LEAST_MILLIS, PAUSE_MOST_MILLIS,
            () -> ThreadLocalRandom.current().nextDouble());
    private final Path file;
    private final Path addressFile;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(DIAL_MILLIS)).build();
    private List<InetSocketAddress> replicas;  // those named by the service, then the configured ones
    private final Gauges gauges = new Gauges();
    private final Membership membership;  // null where this agent is no member
    private LineStreamClient follow;
    private int replica;
    private String source = "none";
    private long heardAt;
    private boolean heard;
    private boolean keeping;
    private long refusedOlder;
    private long refusedEmpty;
    private long refusedSpoilt;
    private long changes;
    private long unkept;

    /** Starts the agent; it serves the list saved in its folder even if no replica can be reached. Throws IOException
        if the address can't be bound. */
    public Agent(Setup setup, Clock clock, Disk disk) throws IOException {
        this.setup = setup;
        this.clock = clock;
        this.disk = disk;
        file = setup.folder().resolve("list.json");
        addressFile = setup.folder().resolve("replicas.json");
        replicas = setup.replicas();
        Files.createDirectories(setup.folder());
        try {
            byte[] kept = disk.read(file);
            if (kept != null && list.take(new String(kept, StandardCharsets.UTF_8)) == AgentList.Taken.NEWER) {
                source = "file";
                LOG.info("list-from-file rev={} entries={}", list.rev(), list.size());
            }
        } catch (IOException e) {
            LOG.info("list-file-refused {}", e.getMessage());
        }
        try {
            byte[] kept = disk.read(addressFile);
            if (kept != null && Json.parse(kept).get("replicas") instanceof List<?> addresses) {
                order(addresses.stream().map(Object::toString).toList());
            }
        } catch (IOException | IllegalArgumentException e) {
            LOG.info("addresses-file-refused {}", e.getMessage());
        }
        replica = ThreadLocalRandom.current().nextInt(replicas.size());
        feed = new Feed(loop, clock, list::rev, list::since, Feed.WATCHES_MOST);
        gauges.put("agent_revision", "Revision of the list that is served.", list::rev)
                .put("agent_entries", "Entries on it.", list::size)
                .put("agent_list_age_seconds", "Since a replica was last heard; NaN before the first.", this::age)
                .put("agent_source_is_file", "1 where the list is from this agent's file and no replica was heard yet.",
                        () -> source.equals("file") ? 1 : 0)
                .put("agent_lists_refused", "Lists older, empty or spoilt that were not let through.",
                        () -> refusedOlder + refusedEmpty + refusedSpoilt)
                .put("agent_lists_not_kept", "Lists that could not be written to the file.", () -> unkept);
        http = HttpServer.listen(loop, setup.listen(), this::handle);
        LOG.info("listening on {}:{}", setup.listen().getHostString(), http.port());
        membership = setup.member() == null ? null : new Membership(setup.member(), setup.replicas().stream()
                .map(at -> at.getHostString() + ":" + at.getPort()).toList(), clock);
        loop.execute(this::follow);
        loop.scheduleWithFixedDelay(this::ask, ASK_MILLIS, ASK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void order(List<String> named) {
        Set<InetSocketAddress> all = new LinkedHashSet<>();
        named.forEach(address -> all.add(HttpServer.parseAddress(address)));
        all.addAll(setup.replicas());
        replicas = List.copyOf(all);
    }

    /** Asks for the current addresses of the replicas, so that the agent follows replicas that move one at a time. They
        are saved for the next start. */
    private void ask() {
        if (!heard || source.equals("file") || source.equals("none")) {
            return;
        }
        client.sendAsync(HttpRequest.newBuilder(URI.create("http://" + source + "/v1/registry"))
                .timeout(Duration.ofMillis(DIAL_MILLIS)).build(), HttpResponse.BodyHandlers.ofByteArray())
                .thenAccept(answer -> loop.execute(() -> learn(answer.body())));
    }

    private void learn(byte[] body) {
        List<String> named = new ArrayList<>();
        try {
            if (Json.parse(body).get("members") instanceof Map<?, ?> members) {
                members.values().forEach(member -> {
                    Object http = ((Map<?, ?>) member).get("http");
                    if (http != null && http.toString().contains(":")) {
                        named.add(http.toString());
                    }
                });
            }
            List<InetSocketAddress> before = replicas;
            order(named);
            if (!named.isEmpty() && !replicas.equals(before)) {
                replica = Math.max(0, replicas.indexOf(before.get(replica % before.size())));
                LOG.info("replicas {}", named);
                byte[] bytes = Json.encode(Map.of("replicas", named)).getBytes(StandardCharsets.UTF_8);
                writer.execute(() -> write(addressFile, bytes));
            }
        } catch (IllegalArgumentException e) {
            LOG.info("addresses-refused {}", e.getMessage());
        }
    }

    private void follow() {
        InetSocketAddress at = replicas.get(replica % replicas.size());
        follow = LineStreamClient.open(loop, at, "/v1/endpoints?watch=1&from=" + list.rev(),
                Map.of("X-Least-Revision", Long.toString(list.rev())), DIAL_MILLIS, SILENCE_MILLIS,
                line -> take(at, line), cause -> turn(at, cause));
    }

    private void take(InetSocketAddress at, String line) {
        heardAt = clock.monotonicMicros();
        heard = true;
        if (line.isBlank()) {
            return;
        }
        AgentList.Taken taken = list.take(line);
        switch (taken) {
            case NEWER -> {
                changes++;
                backoff.reset();
                source = at.getHostString() + ":" + at.getPort();
                LOG.info("list rev={} entries={} from={}", list.rev(), list.size(), source);
                feed.changed();
                keep();
            }
            case SAME -> {
                backoff.reset();
                source = at.getHostString() + ":" + at.getPort();
            }
            case OLDER -> refusedOlder++;
            case EMPTY -> refusedEmpty++;
            default -> refusedSpoilt++;
        }
        if (taken != AgentList.Taken.NEWER && taken != AgentList.Taken.SAME) {
            LOG.info("list-refused why={} from={}:{}", taken, at.getHostString(), at.getPort());
            follow.cancel();
            turn(at, "a list that is " + taken);
        }
    }

    /** Connects to the next replica after a backoff. */
    private void turn(InetSocketAddress at, String cause) {
        long pause = backoff.next();
        replica = (replica + 1) % replicas.size();
        LOG.info("replica-left {}:{} cause=\"{}\" pause={}", at.getHostString(), at.getPort(), cause, pause);
        loop.schedule(this::follow, pause, TimeUnit.MILLISECONDS);
    }

    private void keep() {
        if (!keeping) {
            keeping = true;
            loop.schedule(() -> {
                keeping = false;
                byte[] bytes = list.bytes();
                writer.execute(() -> write(file, bytes));
            }, KEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void write(Path to, byte[] bytes) {
        try {
            disk.write(to, bytes);
        } catch (IOException e) {
            LOG.info("not-kept {} {}", to.getFileName(), e.toString());
            loop.execute(() -> unkept++);
        }
    }

    private void handle(HttpServer.Exchange call) {
        switch (call.path()) {
            case "/v1/endpoints" -> {
                if (list.rev() == 0) {
                    call.respondJson(503, "{\"error\":\"no list yet\"}", "Retry-After", "1");
                } else if ("1".equals(call.queryParameter("watch"))) {
                    feed.watch(call, call.queryLong("from", 0));
                } else {
                    call.respondJson(200, list.since(0).text());
                }
            }
            case "/metrics" -> call.respond(200, "text/plain; version=0.0.4", gauges.text());
            case "/v1/agent" -> call.respondJson(200, Json.encode(status()));
            default -> call.respondJson(404, "{\"error\":\"no such call\"}");
        }
    }

    /** Fields of {@code GET /v1/agent}; the age is in seconds since the last line of a replica, null before the first.
        */
    private Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("rev", list.rev());
        status.put("entries", list.size());
        status.put("source", source);
        status.put("age_s", heard ? age() : null);
        status.put("changes", changes);
        status.put("refused_older", refusedOlder);
        status.put("refused_empty", refusedEmpty);
        status.put("refused_spoilt", refusedSpoilt);
        status.put("not_kept", unkept);
        status.put("watches", feed.count());
        if (membership != null) {
            status.put("member", membership.status());
        }
        return status;
    }

    private double age() {
        return heard ? (clock.monotonicMicros() - heardAt) / 1e6 : Double.NaN;
    }

    @Override
    public void close() {
        if (membership != null) {
            membership.close();
        }
        http.close();
        loop.submit(() -> follow.cancel()).syncUninterruptibly();
        writer.shutdown();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
