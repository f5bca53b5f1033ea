package mastdrift.registry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import mastdrift.common.Clock;
import mastdrift.common.Disk;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.io.CorruptedFileException;
import org.apache.ratis.proto.RaftProtos;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.ChecksumException;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One replica of the list service: runs its share of the Raft group and serves the HTTP API to agents, hosts and
    operators. */
public final class Replica implements AutoCloseable {

    /**
     * Configuration of a replica.
     *
     * @param name the replica's name, a key of {@code peers}
     * @param folder directory of its files
     * @param listen address of the HTTP API
     * @param raft address on which it accepts Raft connections of other replicas
     * @param peers addresses of all replicas by name, this one included
     * @param maxWatches maximum number of open watches
     */
    public record Config(String name, Path folder, InetSocketAddress listen, InetSocketAddress raft,
            Map<String, ReplicaBootstrap.Address> peers,
            int maxWatches) { }

    private static final Logger LOG = LoggerFactory.getLogger(Replica.class);
    private static final String RAFT_GROUP_NAME = "springspar-registry";
    private static final int MIN_ELECTION_TIMEOUT_MILLIS = 400;
    private static final int MAX_ELECTION_TIMEOUT_MILLIS = 800;
    private static final int RAFT_REQUEST_TIMEOUT_MILLIS = 1000;  // per attempt
    private static final int MAX_RAFT_RETRIES = 3;  // then the caller is told that the outcome is unknown
    private static final int FOLLOWER_CONTACT_TIMEOUT_MILLIS = 1000;
    private static final int REQUEST_THREADS = 32;
    private static final int MAX_QUEUED_REQUESTS = 512;
    private static final int TICK_INTERVAL_MILLIS = 250;
    private static final int GENERATION_INTERVAL_MILLIS = 5000;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 20_000;

    private final Config config;
    private final Clock clock;
    private final RegistryState state;
    private final RaftGroupId groupId = RaftGroupId.valueOf(
            UUID.nameUUIDFromBytes(RAFT_GROUP_NAME.getBytes(StandardCharsets.UTF_8)));
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ThreadPoolExecutor requestExecutor = new ThreadPoolExecutor(REQUEST_THREADS, REQUEST_THREADS, 1,
            TimeUnit.MINUTES,
            new ArrayBlockingQueue<>(MAX_QUEUED_REQUESTS));
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final WatchHub endpointWatches;
    private final WatchHub dutyWatches;
    private final Disk disk;
    private final HttpServer httpServer;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final PrometheusGauges metrics = new PrometheusGauges();
    private volatile RaftServer raftServer;  // null until the replica's identity is resolved
    private volatile RaftClient raftClient;
    private volatile ReplicaIdentity identity;
    private volatile boolean isLeader;
    private boolean termStarted;  // this leader's "reign" command was committed; used by the scheduler's thread alone
    private long lastTickMicros;

    /** Starts the HTTP API; the replica joins the Raft group with {@link #start}. Throws IOException if the address
        can't be bound. */
    public Replica(Config config, Clock clock, RegistryState state, Disk disk) throws IOException {
        this.config = config;
        this.clock = clock;
        this.state = state;
        this.disk = disk;
        endpointWatches = new WatchHub(eventLoops.next(), clock, state::rev, state::updateSince, config.maxWatches());
        dutyWatches = new WatchHub(eventLoops.next(), clock, state::dutyRev, state::dutyUpdateSince,
                config.maxWatches());
        metrics.add("registry_revision", "Newest revision that this replica has.", state::rev)
                .add("registry_entries", "Entries on the list.", state::size)
                .add("registry_entries_stale", "Entries whose leases are over and which are kept all the same.",
                state::staleCount)
                .add("registry_zones_moved", "Zones that are evacuated, or on their way out or back.",
                state::evacuatedZoneCount)
                .add("registry_view", "Number of the newest view of members.", state::viewNumber)
                .add("registry_members", "Members of it.", state::memberCount)
                .add("registry_leads", "1 where this replica leads.", () -> isLeader ? 1 : 0)
                .add("registry_watches", "Open watches.", endpointWatches::watchCount)
                .add("registry_watches_cut", "Watches cut because nothing was taken for 10 s.",
                endpointWatches::cutCount)
                .add("registry_lines", "Lines told to watches.", endpointWatches::sentLineCount)
                .add("registry_calls_waiting", "Calls that wait for a thread.", () -> requestExecutor.getQueue()
                .size());
        httpServer = HttpServer.listen(eventLoops, config.listen(), this::handle);
        LOG.info("listening on {}:{}", config.listen().getHostString(), httpServer.port());
    }

    /** Joins the Raft group; blocks until the replica's identity is resolved. A folder whose log or snapshot is
        corrupted is moved aside and the replica recovers from its peers; a single replica throws the IOException that
        names the file. */
    public void start() throws IOException, InterruptedException {
        Files.createDirectories(config.folder());
        ReplicaBootstrap peers = new ReplicaBootstrap(config.name(), config.peers());
        ReplicaBootstrap.Result resolved = peers.resolveIdentity(config.folder(), disk, new SecureRandom());
        try {
            startRaft(resolved);
        } catch (IOException | CompletionException e) {
            if (config.peers().size() == 1 || !isCorrupted(e)) {
                throw e;
            }
            LOG.info("folder-spoilt {}", e.toString());
            ReplicaBootstrap.setAside(config.folder(), "spoilt");
            resolved = peers.resolveIdentity(config.folder(), disk, new SecureRandom());
            startRaft(resolved);
        }
        if (resolved.mustJoin()) {
            peers.join(identity);
        }
        scheduler.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        scheduler.scheduleWithFixedDelay(this::advanceGeneration, 0, GENERATION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        LOG.info("takes-part id={}", identity.id());
    }

    /** Whether the failure comes from corrupted files. */
    private static boolean isCorrupted(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ChecksumException || cause instanceof CorruptedFileException
                    || cause instanceof IOException && String.valueOf(cause.getMessage()).contains(" is spoilt")) {
                return true;
            }
        }
        return false;
    }

    private void startRaft(ReplicaBootstrap.Result resolved) throws IOException {
        identity = resolved.identity();
        List<RaftPeer> initialPeers = new ArrayList<>();
        config.peers().forEach((name, address) -> initialPeers.add(RaftPeer.newBuilder()
                .setId(ReplicaIdentity.initialId(name))
                .setAddress(address.raft()).build()));
        RaftGroup group = RaftGroup.valueOf(groupId, initialPeers);
        RaftProperties properties = properties();
        Path raftFolder = config.folder().resolve("raft");
        boolean hasLog = Files.isDirectory(raftFolder.resolve(groupId.getUuid().toString()));
        RaftServer started = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(identity.id()))
                .setGroup(resolved.mustJoin() ? RaftGroup.valueOf(groupId) : group)
                .setStateMachine(new RegistryStateMachine(state, disk, this::notifyWatches, this::setLeader))
                .setProperties(properties)
                .setOption(hasLog ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT).build();
        try {
            started.start();
        } catch (IOException | RuntimeException e) {
            started.close();
            throw e;
        }
        raftServer = started;
        raftClient = RaftClient.newBuilder().setProperties(properties).setRaftGroup(group)
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(MAX_RAFT_RETRIES,
                TimeDuration.valueOf(150,
                        TimeUnit.MILLISECONDS))).build();
    }

    /** Increments the folder's generation, first on disk, then in the log; see {@link ReplicaIdentity}. */
    private void advanceGeneration() {
        try {
            ReplicaIdentity next = identity.nextGeneration();
            next.write(config.folder(), disk);
            identity = next;
            ReplicaBootstrap.Address own = config.peers().get(config.name());
            submit(RegistryState.command("member", "name", next.name(), "id", next.id(), "mark", next.generation(),
                    "http",
                    own == null ? "" : own.http()));
        } catch (IOException | RuntimeException e) {
            LOG.info("mark-failed {}", e.toString());
        }
    }

    private RaftProperties properties() {
        RaftProperties properties = new RaftProperties();
        RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.GRPC);
        GrpcConfigKeys.Server.setHost(properties, config.raft().getHostString());
        GrpcConfigKeys.Server.setPort(properties, config.raft().getPort());
        RaftServerConfigKeys.setStorageDir(properties, List.of(config.folder().resolve("raft").toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, millis(MIN_ELECTION_TIMEOUT_MILLIS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, millis(MAX_ELECTION_TIMEOUT_MILLIS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(properties, millis(MIN_ELECTION_TIMEOUT_MILLIS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, millis(MAX_ELECTION_TIMEOUT_MILLIS));
        RaftServerConfigKeys.Rpc.setRequestTimeout(properties, millis(RAFT_REQUEST_TIMEOUT_MILLIS));
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf("32MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("64KB"));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, SNAPSHOT_INTERVAL_ENTRIES / 4);
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, SizeInBytes.valueOf("7MB"));
        GrpcConfigKeys.setMessageSizeMax(properties, SizeInBytes.valueOf("16MB"));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, SNAPSHOT_INTERVAL_ENTRIES);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, millis(RAFT_REQUEST_TIMEOUT_MILLIS));
        return properties;
    }

    private static TimeDuration millis(long millis) {
        return TimeDuration.valueOf(millis, TimeUnit.MILLISECONDS);
    }

    private void notifyWatches() {
        endpointWatches.scheduleUpdate();
        dutyWatches.scheduleUpdate();
    }

    private void setLeader(boolean leader) {
        isLeader = leader;
    }

    /** Writes the leader's clock to the log: a {@code reign} command when it becomes leader, then the time elapsed
        since the previous entry. */
    private void tick() {
        try {
            long now = clock.monotonicMicros();
            if (!isLeader) {
                termStarted = false;
                return;
            }
            if (!termStarted) {
                submit(RegistryState.command("reign", "term", divisionInfo().getCurrentTerm()));
                termStarted = true;
                lastTickMicros = now;
                LOG.info("reigns term={}", divisionInfo().getCurrentTerm());
            } else {
                long elapsed = (now - lastTickMicros) / 1000;
                lastTickMicros = now;  // before sending: a lost tick slows log time, but no time is counted twice
                submit(RegistryState.command("tick", "elapsed", elapsed));
            }
        } catch (IOException | RuntimeException e) {
            LOG.info("tick-failed {}", e.toString());
        }
    }

    private DivisionInfo divisionInfo() throws IOException {
        return raftServer.getDivision(groupId).getInfo();
    }

    private Map<String, Object> submit(Map<String, Object> command) throws IOException {
        RaftClientReply reply = raftClient.io().send(Message.valueOf(Json.encode(command)));
        if (!reply.isSuccess()) {
            throw new IOException("not taken: " + reply.getException());
        }
        return Json.parse(reply.getMessage().getContent().toByteArray());
    }

    private void handle(HttpServer.Exchange exchange) throws IOException {
        String path = exchange.path();
        String method = exchange.method();
        if (path.equals("/v1/endpoints") && method.equals("GET")) {
            serveEndpoints(exchange);
        } else if (path.equals("/v1/registry") && method.equals("GET")) {
            exchange.respondJson(200, Json.encode(status()));
        } else if (path.equals("/metrics") && method.equals("GET")) {
            exchange.respond(200, "text/plain; version=0.0.4", metrics.render());
        } else if (path.equals("/v1/backup") && method.equals("GET")) {
            submitAndRespond(exchange, RegistryState.command("read", "what", "state"));
        } else if (path.equals("/v1/restore") && method.equals("POST")) {
            submitAndRespond(exchange, RegistryState.command("restore", "state", Json.parse(exchange.body())));
        } else if (path.equals("/v1/registry/join") && method.equals("POST")) {
            replacePeer(exchange);
        } else if (path.equals("/v1/entries") && method.equals("GET")) {
            exchange.respondJson(200, Json.encode(Map.of("rev", state.rev(), "entries", state.entries())));
        } else if (path.startsWith("/v1/entries/") && method.equals("GET")) {
            submitAndRespond(exchange, RegistryState.command("read", "what", "entry", "name",
                    path.substring("/v1/entries/".length())));
        } else if (path.equals("/v1/renew") && method.equals("POST")) {
            submitAndRespond(exchange, RegistryState.command("renew", "uids", Json.parse(exchange.body()).get("uids")));
        } else if (path.startsWith("/v1/entries/") && path.endsWith("/drain") && method.equals("POST")) {
            String uid = path.substring("/v1/entries/".length(), path.length() - "/drain".length());
            submitAndRespond(exchange, addConditions(exchange, RegistryState.command("drain", "uid", uid)));
        } else if (path.startsWith("/v1/entries/") && method.equals("PUT")) {
            putEntry(exchange, path.substring("/v1/entries/".length()));
        } else if (path.startsWith("/v1/entries/") && method.equals("DELETE")) {
            submitAndRespond(exchange, addConditions(exchange, RegistryState.command("remove", "uid",
                    path.substring("/v1/entries/".length()), "now",
                    "1".equals(exchange.queryParameter("now")))));
        } else if (path.equals("/v1/zones") && method.equals("GET")) {
            submitAndRespond(exchange, RegistryState.command("read", "what", "zones"));
        } else if (path.startsWith("/v1/zones/") && method.equals("POST")) {
            handleNamed(exchange, path.substring("/v1/zones/".length()).split("/"), "zone", "evacuate", "return");
        } else if (path.equals("/v1/members") && method.equals("GET")) {
            if (exchange.queryParameter("after") != null) {
                // a stale view is fine: callers poll
                exchange.respondJson(200, Json.encode(state.membershipView(exchange.queryLong("after", 0))));
            } else {
                submitAndRespond(exchange, RegistryState.command("read", "what", "members"));
            }
        } else if (path.startsWith("/v1/members/") && method.equals("POST")) {
            handleNamed(exchange, path.substring("/v1/members/".length()).split("/"), "name", "join", "leave",
                    "report");
        } else if (path.equals("/v1/duties") && method.equals("GET")) {
            if ("1".equals(exchange.queryParameter("watch"))) {
                dutyWatches.watch(exchange, exchange.queryLong("from", 0));
            } else {
                exchange.respondJson(200, state.dutyUpdateSince(0).json());
            }
        } else if (path.startsWith("/v1/duties/") && method.equals("GET")) {
            submitAndRespond(exchange, RegistryState.command("read", "what", "duty", "name",
                    path.substring("/v1/duties/".length())));
        } else if (path.startsWith("/v1/duties/") && method.equals("POST")) {
            handleNamed(exchange, path.substring("/v1/duties/".length()).split("/"), "duty", "acquire", "hold",
                    "release", "record", "order");
        } else {
            exchange.respondJson(404, "{\"error\":\"no such call\"}");
        }
    }

    /** Handles {@code NAME/ACTION} of a member, duty or zone; the body holds the other fields of the command. */
    private void handleNamed(HttpServer.Exchange exchange, String[] parts, String key, String... actions)
            throws IOException {
        if (parts.length != 2 || !List.of(actions).contains(parts[1])) {
            exchange.respondJson(404, "{\"error\":\"no such call\"}");
            return;
        }
        Map<String, Object> command = RegistryState.command(parts[1], key, parts[0]);
        if (exchange.body().length > 0) {
            Json.parse(exchange.body()).forEach(command::putIfAbsent);
        }
        submitAndRespond(exchange, command);
    }

    /** Serves discovery. A caller whose {@code X-Least-Revision} is newer than this replica's list gets 412 and has to
        ask another replica. */
    private void serveEndpoints(HttpServer.Exchange exchange) throws IOException {
        String minRevision = exchange.header("X-Least-Revision");
        long rev = state.rev();
        if (minRevision != null && Long.parseLong(minRevision) > rev) {
            exchange.respondJson(412, Json.encode(Map.of("error", "this replica is behind", "rev", rev)));
        } else if ("1".equals(exchange.queryParameter("watch"))) {
            endpointWatches.watch(exchange, exchange.queryLong("from", 0));
        } else if ("1".equals(exchange.queryParameter("consistent"))) {
            submitAndRespond(exchange, RegistryState.command("read", "what", "list"));
        } else {
            exchange.respondJson(200, state.updateSince(0).json());
        }
    }

    /** Replaces the Raft peer of a known replica name by one with a new id. */
    private void replacePeer(HttpServer.Exchange exchange) throws IOException {
        Map<String, Object> body = Json.parse(exchange.body());
        String id = body.get("id").toString();
        runAsync(exchange, () -> {
            List<RaftPeer> peers = new ArrayList<>();
            for (RaftPeer peer : raftServer.getDivision(groupId).getGroup().getPeers()) {
                if (!ReplicaIdentity.nameOf(peer.getId().toString()).equals(ReplicaIdentity.nameOf(id))) {
                    peers.add(peer);
                }
            }
            peers.add(RaftPeer.newBuilder().setId(id).setAddress(body.get("address").toString()).build());
            RaftClientReply reply = raftClient.admin().setConfiguration(peers);
            LOG.info("replica-replaced id={} done={}", id, reply.isSuccess());
            exchange.respondJson(reply.isSuccess() ? 200 : 503, Json.encode(Map.of("ids", peers.stream()
                    .map(peer -> peer.getId().toString()).toList())));
        });
    }

    private void putEntry(HttpServer.Exchange exchange, String uid) throws IOException {
        Map<String, Object> entry = new LinkedHashMap<>(Json.parse(exchange.body()));
        entry.put("uid", uid);
        Object leaseMillis = entry.remove("lease_ms");
        Entry.parse(entry);  // rejects an invalid entry before it is sent to the log
        submitAndRespond(exchange, addConditions(exchange, RegistryState.command("put", "entry", entry, "lease_ms",
                leaseMillis == null ? 0 : leaseMillis)));
    }

    /** Adds the optional preconditions of a write: the entry's revision, and a duty with its fencing token. */
    private static Map<String, Object> addConditions(HttpServer.Exchange exchange, Map<String, Object> command) {
        if (exchange.queryParameter("token") != null) {
            command.put("duty", exchange.queryParameter("duty"));
            command.put("token", exchange.queryLong("token", 0));
        }
        if (exchange.queryParameter("if_rev") != null) {
            command.put("if_rev", exchange.queryLong("if_rev", 0));
        }
        return command;
    }

    /** Submits a command to the log and responds with its result. Linearizable reads go through the log too: Ratis 3.2
        serves its own linearizable reads without contacting a majority if its commit index was confirmed before, so a
        leader that had been paused returned stale data ({@code rig/plans/registry-leader.toml} reproduces it). */
    private void submitAndRespond(HttpServer.Exchange exchange, Map<String, Object> command) throws IOException {
        runAsync(exchange, () -> {
            Map<String, Object> applied = submit(command);
            exchange.respondJson(((Number) applied.get("status")).intValue(), Json.encode(applied.get("answer")));
        });
    }

    private interface RequestTask {
        void run() throws IOException;
    }

    /** Runs a task that waits for other replicas off the event loop; responds 503 at once if there is no leader or the
        queue is full. */
    private void runAsync(HttpServer.Exchange exchange, RequestTask task) throws IOException {
        if (raftServer == null || raftClient == null || divisionInfo().getLeaderId() == null
                || isLeaderWithoutQuorum()) {
            exchange.respondJson(503, "{\"error\":\"no leader\"}", "Retry-After", "0.5");
            return;
        }
        try {
            requestExecutor.execute(() -> {
                try {
                    task.run();
                } catch (IOException | RuntimeException e) {
                    exchange.respondJson(504, Json.encode(Map.of("error", "not known whether it was done: "
                            + e.getMessage())));
                }
            });
        } catch (RejectedExecutionException e) {
            exchange.respondJson(503, "{\"error\":\"too many calls\"}", "Retry-After", "0.5");
        }
    }

    /** Whether this replica believes to be the leader but has had no contact with a majority for longer than an
        election takes: it can't commit anything. */
    private boolean isLeaderWithoutQuorum() throws IOException {
        if (!divisionInfo().isLeader()) {
            return false;
        }
        List<RaftProtos.ServerRpcProto> followers = divisionInfo().getRoleInfoProto().getLeaderInfo()
                .getFollowerInfoList();
        long reachable = followers.stream()
                .filter(follower -> follower.getLastRpcElapsedTimeMs() < FOLLOWER_CONTACT_TIMEOUT_MILLIS).count();
        return 2 * (reachable + 1) <= followers.size() + 1;
    }

    /** Fields of {@code GET /v1/registry}. */
    Map<String, Object> status() throws IOException {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("name", config.name());
        status.put("formed", raftServer != null && raftClient != null);
        if (raftServer != null) {
            RaftPeerId leader = divisionInfo().getLeaderId();
            status.put("id", identity.id());
            status.put("leader", leader == null ? null : ReplicaIdentity.nameOf(leader.toString()));
            status.put("term", divisionInfo().getCurrentTerm());
            status.put("applied", divisionInfo().getLastAppliedIndex());
            status.put("ids", raftServer.getDivision(groupId).getGroup().getPeers().stream()
                    .map(peer -> peer.getId().toString()).sorted().toList());
        }
        status.put("members", state.replicas());
        status.put("rev", state.rev());
        status.put("entries", state.size());
        status.put("stale", state.staleCount());
        status.put("watches", endpointWatches.watchCount());
        status.put("watches_cut", endpointWatches.cutCount());
        status.put("lines_told", endpointWatches.sentLineCount());
        return status;
    }

    /** Blocks until {@link #close}. */
    public void await() throws InterruptedException {
        closed.await();
    }

    /** The port of the HTTP API, if the configured port was 0. */
    public int port() {
        return httpServer.port();
    }

    @Override
    public void close() throws IOException {
        scheduler.shutdownNow();
        requestExecutor.shutdownNow();
        httpServer.close();
        if (raftClient != null) {
            raftClient.close();
            raftServer.close();
        }
        closed.countDown();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
