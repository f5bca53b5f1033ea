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
import org.apache.ratis.io.CorruptedFileException;
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
     * @param watchesMost maximum number of open watches
     */
    public record Setup(String name, Path folder, InetSocketAddress listen, InetSocketAddress raft, Map<String, Peers.Address> peers,
            int watchesMost) { }

    private static final Logger LOG = LoggerFactory.getLogger(Replica.class);
    private static final String CLUSTER = "springspar-registry";
    private static final int ELECTION_LEAST_MILLIS = 400;
    private static final int ELECTION_MOST_MILLIS = 800;
    private static final int CALL_MILLIS = 1000;  // per attempt
    private static final int TRIES = 3;  // then the caller is told that the outcome is unknown
    private static final int HEARD_MILLIS = 1000;
    private static final int CALLS_AT_ONCE = 32;
    private static final int CALLS_WAITING = 512;
    private static final int TICK_MILLIS = 250;
    private static final int MARK_MILLIS = 5000;
    private static final int SNAPSHOT_EVERY = 20_000;

    private final Setup setup;
    private final Clock clock;
    private final Catalogue catalogue;
    private final RaftGroupId groupId = RaftGroupId.valueOf(
            UUID.nameUUIDFromBytes(CLUSTER.getBytes(StandardCharsets.UTF_8)));
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ThreadPoolExecutor calls = new ThreadPoolExecutor(CALLS_AT_ONCE, CALLS_AT_ONCE, 1, TimeUnit.MINUTES,
            new ArrayBlockingQueue<>(CALLS_WAITING));
    private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor();
    private final Feed feed;
    private final Feed dutyFeed;
    private final Disk disk;
    private final HttpServer http;
    private final CountDownLatch over = new CountDownLatch(1);
    private final Gauges gauges = new Gauges();
    private volatile RaftServer server;  // null until the replica's identity is resolved
    private volatile RaftClient client;
    private volatile Identity identity;
    private volatile boolean leads;
    private boolean reigns;  // this leader's "reign" command was committed; used by the scheduler's thread alone
    private long tickedAt;

    /** Starts the HTTP API; the replica joins the Raft group with {@link #start}. Throws IOException if the address
        can't be bound. */
    public Replica(Setup setup, Clock clock, Catalogue catalogue, Disk disk) throws IOException {
        this.setup = setup;
        this.clock = clock;
        this.catalogue = catalogue;
        this.disk = disk;
        feed = new Feed(loops.next(), clock, catalogue::rev, catalogue::since, setup.watchesMost());
        dutyFeed = new Feed(loops.next(), clock, catalogue::dutiesRev, catalogue::dutiesSince, setup.watchesMost());
        gauges.put("registry_revision", "Newest revision that this replica has.", catalogue::rev)
                .put("registry_entries", "Entries on the list.", catalogue::size)
                .put("registry_entries_stale", "Entries whose leases are over and which are kept all the same.", catalogue::stale)
                .put("registry_zones_moved", "Zones that are evacuated, or on their way out or back.", catalogue::zonesMoved)
                .put("registry_view", "Number of the newest view of members.", catalogue::viewNumber)
                .put("registry_members", "Members of it.", catalogue::memberCount)
                .put("registry_leads", "1 where this replica leads.", () -> leads ? 1 : 0)
                .put("registry_watches", "Open watches.", feed::count)
                .put("registry_watches_cut", "Watches cut because nothing was taken for 10 s.", feed::cut)
                .put("registry_lines", "Lines told to watches.", feed::told)
                .put("registry_calls_waiting", "Calls that wait for a thread.", () -> calls.getQueue().size());
        http = HttpServer.listen(loops, setup.listen(), this::handle);
        LOG.info("listening on {}:{}", setup.listen().getHostString(), http.port());
    }

    /** Joins the Raft group; blocks until the replica's identity is resolved. A folder whose log or snapshot is
        corrupted is moved aside and the replica recovers from its peers; a single replica throws the IOException that
        names the file. */
    public void begin() throws IOException, InterruptedException {
        Files.createDirectories(setup.folder());
        Peers peers = new Peers(setup.name(), setup.peers());
        Peers.Found found = peers.find(setup.folder(), disk, new SecureRandom());
        try {
            take(found);
        } catch (IOException | CompletionException e) {
            if (setup.peers().size() == 1 || !spoilt(e)) {
                throw e;
            }
            LOG.info("folder-spoilt {}", e.toString());
            Peers.aside(setup.folder(), "spoilt");
            found = peers.find(setup.folder(), disk, new SecureRandom());
            take(found);
        }
        if (found.joins()) {
            peers.join(identity);
        }
        ticker.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        ticker.scheduleWithFixedDelay(this::mark, 0, MARK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.info("takes-part id={}", identity.id());
    }

    /** Whether the failure comes from corrupted files. */
    private static boolean spoilt(Throwable fault) {
        for (Throwable cause = fault; cause != null; cause = cause.getCause()) {
            if (cause instanceof ChecksumException || cause instanceof CorruptedFileException
                    || cause instanceof IOException && String.valueOf(cause.getMessage()).contains(" is spoilt")) {
                return true;
            }
        }
        return false;
    }

    private void take(Peers.Found found) throws IOException {
        identity = found.identity();
        List<RaftPeer> first = new ArrayList<>();
        setup.peers().forEach((name, address) -> first.add(RaftPeer.newBuilder().setId(Identity.firstId(name))
                .setAddress(address.raft()).build()));
        RaftGroup group = RaftGroup.valueOf(groupId, first);
        RaftProperties properties = properties();
        Path state = setup.folder().resolve("raft");
        boolean known = Files.isDirectory(state.resolve(groupId.getUuid().toString()));
        RaftServer started = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(identity.id()))
                .setGroup(found.joins() ? RaftGroup.valueOf(groupId) : group)
                .setStateMachine(new RaftCatalogue(catalogue, disk, this::changed, this::leads)).setProperties(properties)
                .setOption(known ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT).build();
        try {
            started.start();
        } catch (IOException | RuntimeException e) {
            started.close();
            throw e;
        }
        server = started;
        client = RaftClient.newBuilder().setProperties(properties).setRaftGroup(group)
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(TRIES, TimeDuration.valueOf(150,
                        TimeUnit.MILLISECONDS))).build();
    }

    /** Increments the folder's generation, first on disk, then in the log; see {@link ReplicaIdentity}. */
    private void mark() {
        try {
            Identity next = identity.marked();
            next.write(setup.folder(), disk);
            identity = next;
            Peers.Address own = setup.peers().get(setup.name());
            send(Catalogue.command("member", "name", next.name(), "id", next.id(), "mark", next.mark(), "http",
                    own == null ? "" : own.http()));
        } catch (IOException | RuntimeException e) {
            LOG.info("mark-failed {}", e.toString());
        }
    }

    private RaftProperties properties() {
        RaftProperties properties = new RaftProperties();
        RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.GRPC);
        GrpcConfigKeys.Server.setHost(properties, setup.raft().getHostString());
        GrpcConfigKeys.Server.setPort(properties, setup.raft().getPort());
        RaftServerConfigKeys.setStorageDir(properties, List.of(setup.folder().resolve("raft").toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, millis(ELECTION_LEAST_MILLIS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, millis(ELECTION_MOST_MILLIS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(properties, millis(ELECTION_LEAST_MILLIS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, millis(ELECTION_MOST_MILLIS));
        RaftServerConfigKeys.Rpc.setRequestTimeout(properties, millis(CALL_MILLIS));
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf("32MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("64KB"));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, SNAPSHOT_EVERY / 4);
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, SizeInBytes.valueOf("7MB"));
        GrpcConfigKeys.setMessageSizeMax(properties, SizeInBytes.valueOf("16MB"));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, SNAPSHOT_EVERY);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, millis(CALL_MILLIS));
        return properties;
    }

    private static TimeDuration millis(long millis) {
        return TimeDuration.valueOf(millis, TimeUnit.MILLISECONDS);
    }

    private void changed() {
        feed.changed();
        dutyFeed.changed();
    }

    private void leads(boolean yes) {
        leads = yes;
    }

    /** Writes the leader's clock to the log: a {@code reign} command when it becomes leader, then the time elapsed
        since the previous entry. */
    private void tick() {
        try {
            long now = clock.monotonicMicros();
            if (!leads) {
                reigns = false;
                return;
            }
            if (!reigns) {
                send(Catalogue.command("reign", "term", info().getCurrentTerm()));
                reigns = true;
                tickedAt = now;
                LOG.info("reigns term={}", info().getCurrentTerm());
            } else {
                long elapsed = (now - tickedAt) / 1000;
                tickedAt = now;  // before sending: a lost tick slows log time, but no time is counted twice
                send(Catalogue.command("tick", "elapsed", elapsed));
            }
        } catch (IOException | RuntimeException e) {
            LOG.info("tick-failed {}", e.toString());
        }
    }

    private DivisionInfo info() throws IOException {
        return server.getDivision(groupId).getInfo();
    }

    private Map<String, Object> send(Map<String, Object> command) throws IOException {
        RaftClientReply reply = client.io().send(Message.valueOf(Json.encode(command)));
        if (!reply.isSuccess()) {
            throw new IOException("not taken: " + reply.getException());
        }
        return Json.parse(reply.getMessage().getContent().toByteArray());
    }

    private void handle(HttpServer.Exchange call) throws IOException {
        String path = call.path();
        String method = call.method();
        if (path.equals("/v1/endpoints") && method.equals("GET")) {
            list(call);
        } else if (path.equals("/v1/registry") && method.equals("GET")) {
            call.respondJson(200, Json.encode(status()));
        } else if (path.equals("/metrics") && method.equals("GET")) {
            call.respond(200, "text/plain; version=0.0.4", gauges.text());
        } else if (path.equals("/v1/backup") && method.equals("GET")) {
            write(call, Catalogue.command("read", "what", "state"));
        } else if (path.equals("/v1/restore") && method.equals("POST")) {
            write(call, Catalogue.command("restore", "state", Json.parse(call.body())));
        } else if (path.equals("/v1/registry/join") && method.equals("POST")) {
            join(call);
        } else if (path.equals("/v1/entries") && method.equals("GET")) {
            call.respondJson(200, Json.encode(Map.of("rev", catalogue.rev(), "entries", catalogue.shown())));
        } else if (path.startsWith("/v1/entries/") && method.equals("GET")) {
            write(call, Catalogue.command("read", "what", "entry", "name", path.substring("/v1/entries/".length())));
        } else if (path.equals("/v1/renew") && method.equals("POST")) {
            write(call, Catalogue.command("renew", "uids", Json.parse(call.body()).get("uids")));
        } else if (path.startsWith("/v1/entries/") && path.endsWith("/drain") && method.equals("POST")) {
            String uid = path.substring("/v1/entries/".length(), path.length() - "/drain".length());
            write(call, conditions(call, Catalogue.command("drain", "uid", uid)));
        } else if (path.startsWith("/v1/entries/") && method.equals("PUT")) {
            put(call, path.substring("/v1/entries/".length()));
        } else if (path.startsWith("/v1/entries/") && method.equals("DELETE")) {
            write(call, conditions(call, Catalogue.command("remove", "uid", path.substring("/v1/entries/".length()), "now",
                    "1".equals(call.queryParameter("now")))));
        } else if (path.equals("/v1/zones") && method.equals("GET")) {
            write(call, Catalogue.command("read", "what", "zones"));
        } else if (path.startsWith("/v1/zones/") && method.equals("POST")) {
            named(call, path.substring("/v1/zones/".length()).split("/"), "zone", "evacuate", "return");
        } else if (path.equals("/v1/members") && method.equals("GET")) {
            if (call.queryParameter("after") != null) {
                call.respondJson(200, Json.encode(catalogue.view(call.queryLong("after", 0))));  // a stale view is fine: callers poll
            } else {
                write(call, Catalogue.command("read", "what", "members"));
            }
        } else if (path.startsWith("/v1/members/") && method.equals("POST")) {
            named(call, path.substring("/v1/members/".length()).split("/"), "name", "join", "leave", "report");
        } else if (path.equals("/v1/duties") && method.equals("GET")) {
            if ("1".equals(call.queryParameter("watch"))) {
                dutyFeed.watch(call, call.queryLong("from", 0));
            } else {
                call.respondJson(200, catalogue.dutiesSince(0).text());
            }
        } else if (path.startsWith("/v1/duties/") && method.equals("GET")) {
            write(call, Catalogue.command("read", "what", "duty", "name", path.substring("/v1/duties/".length())));
        } else if (path.startsWith("/v1/duties/") && method.equals("POST")) {
            named(call, path.substring("/v1/duties/".length()).split("/"), "duty", "acquire", "hold", "release", "record", "order");
        } else {
            call.respondJson(404, "{\"error\":\"no such call\"}");
        }
    }

    /** Handles {@code NAME/ACTION} of a member, duty or zone; the body holds the other fields of the command. */
    private void named(HttpServer.Exchange call, String[] parts, String key, String... known) throws IOException {
        if (parts.length != 2 || !List.of(known).contains(parts[1])) {
            call.respondJson(404, "{\"error\":\"no such call\"}");
            return;
        }
        Map<String, Object> command = Catalogue.command(parts[1], key, parts[0]);
        if (call.body().length > 0) {
            Json.parse(call.body()).forEach(command::putIfAbsent);
        }
        write(call, command);
    }

    /** Serves discovery. A caller whose {@code X-Least-Revision} is newer than this replica's list gets 412 and has to
        ask another replica. */
    private void list(HttpServer.Exchange call) throws IOException {
        String least = call.header("X-Least-Revision");
        long rev = catalogue.rev();
        if (least != null && Long.parseLong(least) > rev) {
            call.respondJson(412, Json.encode(Map.of("error", "this replica is behind", "rev", rev)));
        } else if ("1".equals(call.queryParameter("watch"))) {
            feed.watch(call, call.queryLong("from", 0));
        } else if ("1".equals(call.queryParameter("consistent"))) {
            write(call, Catalogue.command("read", "what", "list"));
        } else {
            call.respondJson(200, catalogue.since(0).text());
        }
    }

    /** Replaces the Raft peer of a known replica name by one with a new id. */
    private void join(HttpServer.Exchange call) throws IOException {
        Map<String, Object> body = Json.parse(call.body());
        String id = body.get("id").toString();
        later(call, () -> {
            List<RaftPeer> next = new ArrayList<>();
            for (RaftPeer peer : server.getDivision(groupId).getGroup().getPeers()) {
                if (!Identity.nameOf(peer.getId().toString()).equals(Identity.nameOf(id))) {
                    next.add(peer);
                }
            }
            next.add(RaftPeer.newBuilder().setId(id).setAddress(body.get("address").toString()).build());
            RaftClientReply reply = client.admin().setConfiguration(next);
            LOG.info("replica-replaced id={} done={}", id, reply.isSuccess());
            call.respondJson(reply.isSuccess() ? 200 : 503, Json.encode(Map.of("ids", next.stream()
                    .map(peer -> peer.getId().toString()).toList())));
        });
    }

    private void put(HttpServer.Exchange call, String uid) throws IOException {
        Map<String, Object> entry = new LinkedHashMap<>(Json.parse(call.body()));
        entry.put("uid", uid);
        Object span = entry.remove("lease_ms");
        Entry.of(entry);  // rejects an invalid entry before it is sent to the log
        write(call, conditions(call, Catalogue.command("put", "entry", entry, "lease_ms", span == null ? 0 : span)));
    }

    /** Adds the optional preconditions of a write: the entry's revision, and a duty with its fencing token. */
    private static Map<String, Object> conditions(HttpServer.Exchange call, Map<String, Object> command) {
        if (call.queryParameter("token") != null) {
            command.put("duty", call.queryParameter("duty"));
            command.put("token", call.queryLong("token", 0));
        }
        if (call.queryParameter("if_rev") != null) {
            command.put("if_rev", call.queryLong("if_rev", 0));
        }
        return command;
    }

    /** Submits a command to the log and responds with its result. Linearizable reads go through the log too: Ratis 3.2
        serves its own linearizable reads without contacting a majority if its commit index was confirmed before, so a
        leader that had been paused returned stale data ({@code rig/plans/registry-leader.toml} reproduces it). */
    private void write(HttpServer.Exchange call, Map<String, Object> command) throws IOException {
        later(call, () -> {
            Map<String, Object> applied = send(command);
            call.respondJson(((Number) applied.get("status")).intValue(), Json.encode(applied.get("answer")));
        });
    }

    private interface Work {
        void run() throws IOException;
    }

    /** Runs a task that waits for other replicas off the event loop; responds 503 at once if there is no leader or the
        queue is full. */
    private void later(HttpServer.Exchange call, Work work) throws IOException {
        if (server == null || client == null || info().getLeaderId() == null || aloneAsLeader()) {
            call.respondJson(503, "{\"error\":\"no leader\"}", "Retry-After", "0.5");
            return;
        }
        try {
            calls.execute(() -> {
                try {
                    work.run();
                } catch (IOException | RuntimeException e) {
                    call.respondJson(504, Json.encode(Map.of("error", "not known whether it was done: " + e.getMessage())));
                }
            });
        } catch (RejectedExecutionException e) {
            call.respondJson(503, "{\"error\":\"too many calls\"}", "Retry-After", "0.5");
        }
    }

    /** Whether this replica believes to be the leader but has had no contact with a majority for longer than an
        election takes: it can't commit anything. */
    private boolean aloneAsLeader() throws IOException {
        if (!info().isLeader()) {
            return false;
        }
        List<RaftProtos.ServerRpcProto> followers = info().getRoleInfoProto().getLeaderInfo().getFollowerInfoList();
        long heard = followers.stream().filter(follower -> follower.getLastRpcElapsedTimeMs() < HEARD_MILLIS).count();
        return 2 * (heard + 1) <= followers.size() + 1;
    }

    /** Fields of {@code GET /v1/registry}. */
    Map<String, Object> status() throws IOException {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("name", setup.name());
        status.put("formed", server != null && client != null);
        if (server != null) {
            RaftPeerId leader = info().getLeaderId();
            status.put("id", identity.id());
            status.put("leader", leader == null ? null : Identity.nameOf(leader.toString()));
            status.put("term", info().getCurrentTerm());
            status.put("applied", info().getLastAppliedIndex());
            status.put("ids", server.getDivision(groupId).getGroup().getPeers().stream()
                    .map(peer -> peer.getId().toString()).sorted().toList());
        }
        status.put("members", catalogue.members());
        status.put("rev", catalogue.rev());
        status.put("entries", catalogue.size());
        status.put("stale", catalogue.stale());
        status.put("watches", feed.count());
        status.put("watches_cut", feed.cut());
        status.put("lines_told", feed.told());
        return status;
    }

    /** Blocks until {@link #close}. */
    public void await() throws InterruptedException {
        over.await();
    }

    /** The port of the HTTP API, if the configured port was 0. */
    public int port() {
        return http.port();
    }

    @Override
    public void close() throws IOException {
        ticker.shutdownNow();
        calls.shutdownNow();
        http.close();
        if (client != null) {
            client.close();
            server.close();
        }
        over.countDown();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
