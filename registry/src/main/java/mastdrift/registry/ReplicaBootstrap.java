package mastdrift.registry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.common.Disk;
import mastdrift.common.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Resolves a replica's identity before it joins the Raft group: from its folder and from what the other replicas
    recorded. */
public final class ReplicaBootstrap {

    /** Addresses at which other replicas reach a replica: Raft and HTTP API. */
    public record Address(String raft, String http) {

        /** Parses {@code ADDRESS:PORT/ADDRESS:PORT}. */
        public static Address parse(String text) {
            String[] parts = text.split("/");
            if (parts.length != 2) {
                throw new IllegalArgumentException("expected RAFT/HTTP, an address:port each, not " + text);
            }
            return new Address(parts[0], parts[1]);
        }
    }

    /** The resolved identity, and whether the replica has to ask the others to add it to the Raft group. */
    record Result(ReplicaIdentity identity, boolean mustJoin) { }

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaBootstrap.class);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1000);
    private static final int RETRY_INTERVAL_MILLIS = 200;
    private static final int MAX_UNANSWERED_ROUNDS = 15;  // then a replica with an identity starts without answers

    private final String name;
    private final Map<String, Address> replicas;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .build();

    ReplicaBootstrap(String name, Map<String, Address> replicas) {
        this.name = name;
        this.replicas = new LinkedHashMap<>(replicas);
    }

    /** Queries all other replicas; returns the status of those that answer, by name. */
    private Map<String, Map<String, Object>> queryPeers() throws InterruptedException {
        Map<String, Map<String, Object>> answers = new HashMap<>();
        for (Map.Entry<String, Address> peer : replicas.entrySet()) {
            if (!peer.getKey().equals(name)) {
                try {
                    HttpResponse<byte[]> response = client.send(HttpRequest.newBuilder(URI.create("http://"
                            + peer.getValue().http + "/v1/registry")).timeout(REQUEST_TIMEOUT).build(),
                            HttpResponse.BodyHandlers.ofByteArray());
                    answers.put(peer.getKey(), Json.parse(response.body()));
                } catch (IOException | IllegalArgumentException e) {
                    LOG.debug("{} does not answer: {}", peer.getKey(), e.toString());
                }
            }
        }
        return answers;
    }

    /**
     * Blocks until the identity is certain. A replica with an empty folder starts a new service only after all others
     * have answered that they are new as well; if any of them has this name recorded, the folder was wiped. An existing
     * identity is used unless the others have a newer one recorded: then the folder is an older copy and is moved
     * aside. If nobody answers for a while, the existing identity is used.
     */
    Result resolveIdentity(Path folder, Disk disk, Random random) throws IOException, InterruptedException {
        ReplicaIdentity own = readIdentity(folder, disk);
        for (int round = 1; ; round++) {
            Map<String, Map<String, Object>> answers = queryPeers();
            ReplicaIdentity.RecordedIdentity recorded = newestRecord(answers);
            boolean formed = answers.values().stream().anyMatch(answer -> Boolean.TRUE.equals(answer.get("formed")));
            if (recorded != null && (own == null || own.isBehind(recorded))) {
                if (own != null) {
                    setAside(folder, "older");
                    LOG.info("folder-older id={} mark={} known-id={} known-mark={}", own.id(), own.generation(),
                            recorded.id(),
                            recorded.generation());
                }
                ReplicaIdentity replacement = ReplicaIdentity.createReplacement(name, random);
                replacement.write(folder, disk);
                LOG.info("joins id={}", replacement.id());
                return new Result(replacement, true);
            }
            boolean allAnswered = answers.size() == replicas.size() - 1;
            if (own != null && (formed || allAnswered || round >= MAX_UNANSWERED_ROUNDS)) {
                return new Result(own, !own.id().equals(ReplicaIdentity.initialId(name)) && !isMember(own, answers));
            }
            // A new replica that nobody has recorded: all others have to confirm it, started or not.
            if (own == null && allAnswered) {
                ReplicaIdentity initial = ReplicaIdentity.initial(name);
                initial.write(folder, disk);
                return new Result(initial, false);
            }
            if (round % 25 == 0) {
                LOG.info("waits for replicas: {} of {} answer", answers.size(), replicas.size() - 1);
            }
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        }
    }

    private ReplicaIdentity readIdentity(Path folder, Disk disk) throws IOException {
        try {
            return ReplicaIdentity.read(folder, disk);
        } catch (IOException e) {
            LOG.info("folder-spoilt {}", e.getMessage());
            setAside(folder, "spoilt");
            return null;
        }
    }

    /** The record of this replica's name from the replica that has applied the most of the log. */
    private ReplicaIdentity.RecordedIdentity newestRecord(Map<String, Map<String, Object>> answers) {
        ReplicaIdentity.RecordedIdentity newest = null;
        long newestIndex = -1;
        for (Map<String, Object> response : answers.values()) {
            long index = ((Number) response.getOrDefault("applied", -1)).longValue();
            if (index > newestIndex && response.get("members") instanceof Map<?, ?> members
                    && members.get(name) instanceof Map<?, ?> member) {
                newest = ReplicaIdentity.RecordedIdentity.parse(member);
                newestIndex = index;
            }
        }
        return newest;
    }

    private static boolean isMember(ReplicaIdentity own, Map<String, Map<String, Object>> answers) {
        return answers.values().stream().anyMatch(answer -> answer.get("ids") instanceof List<?> ids
                && ids.contains(own.id()));
    }

    /** Moves a folder aside instead of deleting it, so that operators can inspect it. */
    static void setAside(Path folder, String suffix) throws IOException {
        Path target = folder.resolveSibling(folder.getFileName() + "." + suffix);
        for (int i = 1; Files.exists(target); i++) {
            target = folder.resolveSibling(folder.getFileName() + "." + suffix + "-" + i);
        }
        Files.move(folder, target);
        LOG.info("folder-put-aside {}", target);
        Files.createDirectories(folder);
    }

    /** Asks the other replicas in turn to replace the peer of this name by this identity, until one has done so. */
    void join(ReplicaIdentity identity) throws InterruptedException {
        List<Address> others = new ArrayList<>();
        replicas.forEach((peer, address) -> {
            if (!peer.equals(name)) {
                others.add(address);
            }
        });
        String body = Json.encode(Map.of("id", identity.id(), "address", replicas.get(name).raft));
        for (int attempt = 0; ; attempt++) {
            try {
                HttpResponse<String> response = client.send(HttpRequest.newBuilder(URI.create("http://"
                        + others.get(attempt % others.size()).http + "/v1/registry/join"))
                        .timeout(Duration.ofSeconds(15))
                        .POST(HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.ofString());
                if (response.statusCode() == 200) {
                    LOG.info("joined id={}", identity.id());
                    return;
                }
                LOG.info("not-joined status={} {}", response.statusCode(), response.body());
            } catch (IOException e) {
                LOG.info("not-joined {}", e.toString());
            }
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        }
    }
}
