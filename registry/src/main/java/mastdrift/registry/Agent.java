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
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import mastdrift.common.LineStreamClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs beside gateways: serves discovery from its own copy of the endpoint list, and watches a replica of the list
    service for changes. Its state is confined to its event loop. */
public final class Agent implements AutoCloseable {

    /** Configuration of an agent: directory of its files, listen address, addresses of the replicas, and its
        membership; null if it is no member. */
    public record Config(Path folder, InetSocketAddress listen, List<InetSocketAddress> replicas,
            MembershipClient.Config member) { }

    private static final Logger LOG = LoggerFactory.getLogger(Agent.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int SILENCE_TIMEOUT_MILLIS = 5000;  // a replica sends an empty line every 2 s
    private static final int MIN_BACKOFF_MILLIS = 50;
    private static final int MAX_BACKOFF_MILLIS = 3000;
    // how often the addresses of the replicas are looked up
    private static final int REPLICA_LOOKUP_INTERVAL_MILLIS = 5000;
    private static final int SAVE_DELAY_MILLIS = 200;  // changes within it are saved together

    private final Config config;
    private final Clock clock;
    private final Disk disk;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ExecutorService writer = Executors.newSingleThreadExecutor();
    private final AgentList list = new AgentList();
    private final WatchHub watches;
    private final HttpServer server;
    private final Backoff backoff = new Backoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS,
            () -> ThreadLocalRandom.current().nextDouble());
    private final Path listFile;
    private final Path addressFile;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS)).build();
    private List<InetSocketAddress> replicas;  // those named by the service, then the configured ones
    private final PrometheusGauges metrics = new PrometheusGauges();
    private final MembershipClient membership;  // null where this agent is no member
    private LineStreamClient stream;
    private int replicaIndex;
    private String source = "none";
    private long lastLineAt;
    private boolean replicaHeard;
    private boolean saveScheduled;
    private long refusedOlder;
    private long refusedEmpty;
    private long refusedSpoilt;
    private long changes;
    private long failedSaves;

    /** Starts the agent; it serves the list saved in its folder even if no replica can be reached. Throws IOException
        if the address can't be bound. */
    public Agent(Config config, Clock clock, Disk disk) throws IOException {
        this.config = config;
        this.clock = clock;
        this.disk = disk;
        listFile = config.folder().resolve("list.json");
        addressFile = config.folder().resolve("replicas.json");
        replicas = config.replicas();
        Files.createDirectories(config.folder());
        try {
            byte[] saved = disk.read(listFile);
            if (saved != null && list.apply(new String(saved, StandardCharsets.UTF_8)) == AgentList.ApplyResult.NEWER) {
                source = "file";
                LOG.info("list-from-file rev={} entries={}", list.rev(), list.size());
            }
        } catch (IOException e) {
            LOG.info("list-file-refused {}", e.getMessage());
        }
        try {
            byte[] saved = disk.read(addressFile);
            if (saved != null && Json.parse(saved).get("replicas") instanceof List<?> addresses) {
                setReplicas(addresses.stream().map(Object::toString).toList());
            }
        } catch (IOException | IllegalArgumentException e) {
            LOG.info("addresses-file-refused {}", e.getMessage());
        }
        replicaIndex = ThreadLocalRandom.current().nextInt(replicas.size());
        watches = new WatchHub(loop, clock, list::rev, list::updateSince, WatchHub.DEFAULT_MAX_WATCHES);
        metrics.add("agent_revision", "Revision of the list that is served.", list::rev)
                .add("agent_entries", "Entries on it.", list::size)
                .add("agent_list_age_seconds", "Since a replica was last heard; NaN before the first.",
                this::listAgeSeconds)
                .add("agent_source_is_file", "1 where the list is from this agent's file and no replica was heard yet.",
                        () -> source.equals("file") ? 1 : 0)
                .add("agent_lists_refused", "Lists older, empty or spoilt that were not let through.",
                        () -> refusedOlder + refusedEmpty + refusedSpoilt)
                .add("agent_lists_not_kept", "Lists that could not be written to the file.", () -> failedSaves);
        server = HttpServer.listen(loop, config.listen(), this::handle);
        LOG.info("listening on {}:{}", config.listen().getHostString(), server.port());
        membership = config.member() == null ? null : new MembershipClient(config.member(), config.replicas().stream()
                .map(at -> at.getHostString() + ":" + at.getPort()).toList(), clock);
        loop.execute(this::openStream);
        loop.scheduleWithFixedDelay(this::requestReplicaAddresses, REPLICA_LOOKUP_INTERVAL_MILLIS,
                REPLICA_LOOKUP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void setReplicas(List<String> addresses) {
        Set<InetSocketAddress> ordered = new LinkedHashSet<>();
        addresses.forEach(address -> ordered.add(HttpServer.parseAddress(address)));
        ordered.addAll(config.replicas());
        replicas = List.copyOf(ordered);
    }

    /** Asks for the current addresses of the replicas, so that the agent follows replicas that move one at a time. They
        are saved for the next start. */
    private void requestReplicaAddresses() {
        if (!replicaHeard || source.equals("file") || source.equals("none")) {
            return;
        }
        client.sendAsync(HttpRequest.newBuilder(URI.create("http://" + source + "/v1/registry"))
                .timeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS)).build(), HttpResponse.BodyHandlers.ofByteArray())
                .thenAccept(answer -> loop.execute(() -> learnReplicaAddresses(answer.body())));
    }

    private void learnReplicaAddresses(byte[] body) {
        List<String> addresses = new ArrayList<>();
        try {
            if (Json.parse(body).get("members") instanceof Map<?, ?> members) {
                members.values().forEach(member -> {
                    Object http = ((Map<?, ?>) member).get("http");
                    if (http != null && http.toString().contains(":")) {
                        addresses.add(http.toString());
                    }
                });
            }
            List<InetSocketAddress> previous = replicas;
            setReplicas(addresses);
            if (!addresses.isEmpty() && !replicas.equals(previous)) {
                replicaIndex = Math.max(0, replicas.indexOf(previous.get(replicaIndex % previous.size())));
                LOG.info("replicas {}", addresses);
                byte[] bytes = Json.encode(Map.of("replicas", addresses)).getBytes(StandardCharsets.UTF_8);
                writer.execute(() -> write(addressFile, bytes));
            }
        } catch (IllegalArgumentException e) {
            LOG.info("addresses-refused {}", e.getMessage());
        }
    }

    private void openStream() {
        InetSocketAddress at = replicas.get(replicaIndex % replicas.size());
        stream = LineStreamClient.open(loop, at, "/v1/endpoints?watch=1&from=" + list.rev(),
                Map.of("X-Least-Revision", Long.toString(list.rev())), CONNECT_TIMEOUT_MILLIS, SILENCE_TIMEOUT_MILLIS,
                line -> handleLine(at, line), cause -> switchReplica(at, cause));
    }

    private void handleLine(InetSocketAddress at, String line) {
        lastLineAt = clock.monotonicMicros();
        replicaHeard = true;
        if (line.isBlank()) {
            return;
        }
        AgentList.ApplyResult result = list.apply(line);
        switch (result) {
            case NEWER -> {
                changes++;
                backoff.reset();
                source = at.getHostString() + ":" + at.getPort();
                LOG.info("list rev={} entries={} from={}", list.rev(), list.size(), source);
                watches.scheduleUpdate();
                scheduleSave();
            }
            case SAME -> {
                backoff.reset();
                source = at.getHostString() + ":" + at.getPort();
            }
            case OLDER -> refusedOlder++;
            case EMPTY -> refusedEmpty++;
            default -> refusedSpoilt++;
        }
        if (result != AgentList.ApplyResult.NEWER && result != AgentList.ApplyResult.SAME) {
            LOG.info("list-refused why={} from={}:{}", result, at.getHostString(), at.getPort());
            stream.cancel();
            switchReplica(at, "a list that is " + result);
        }
    }

    /** Connects to the next replica after a backoff. */
    private void switchReplica(InetSocketAddress at, String cause) {
        long pauseMillis = backoff.next();
        replicaIndex = (replicaIndex + 1) % replicas.size();
        LOG.info("replica-left {}:{} cause=\"{}\" pause={}", at.getHostString(), at.getPort(), cause, pauseMillis);
        loop.schedule(this::openStream, pauseMillis, TimeUnit.MILLISECONDS);
    }

    private void scheduleSave() {
        if (!saveScheduled) {
            saveScheduled = true;
            loop.schedule(() -> {
                saveScheduled = false;
                byte[] bytes = list.encode();
                writer.execute(() -> write(listFile, bytes));
            }, SAVE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void write(Path path, byte[] bytes) {
        try {
            disk.write(path, bytes);
        } catch (IOException e) {
            LOG.info("not-kept {} {}", path.getFileName(), e.toString());
            loop.execute(() -> failedSaves++);
        }
    }

    private void handle(HttpServer.Exchange exchange) {
        switch (exchange.path()) {
            case "/v1/endpoints" -> {
                if (list.rev() == 0) {
                    exchange.respondJson(503, "{\"error\":\"no list yet\"}", "Retry-After", "1");
                } else if ("1".equals(exchange.queryParameter("watch"))) {
                    watches.watch(exchange, exchange.queryLong("from", 0));
                } else {
                    exchange.respondJson(200, list.updateSince(0).json());
                }
            }
            case "/metrics" -> exchange.respond(200, "text/plain; version=0.0.4", metrics.render());
            case "/v1/agent" -> exchange.respondJson(200, Json.encode(status()));
            default -> exchange.respondJson(404, "{\"error\":\"no such call\"}");
        }
    }

    /** Fields of {@code GET /v1/agent}; the age is in seconds since the last line of a replica, null before the
        first. */
    private Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("rev", list.rev());
        status.put("entries", list.size());
        status.put("source", source);
        status.put("age_s", replicaHeard ? listAgeSeconds() : null);
        status.put("changes", changes);
        status.put("refused_older", refusedOlder);
        status.put("refused_empty", refusedEmpty);
        status.put("refused_spoilt", refusedSpoilt);
        status.put("not_kept", failedSaves);
        status.put("watches", watches.watchCount());
        if (membership != null) {
            status.put("member", membership.status());
        }
        return status;
    }

    private double listAgeSeconds() {
        return replicaHeard ? (clock.monotonicMicros() - lastLineAt) / 1e6 : Double.NaN;
    }

    @Override
    public void close() {
        if (membership != null) {
            membership.close();
        }
        server.close();
        loop.submit(() -> stream.cancel()).syncUninterruptibly();
        writer.shutdown();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
