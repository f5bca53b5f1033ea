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
public final class Peers {

    /** Addresses at which other replicas reach a replica: Raft and HTTP API. */
    public record Address(String raft, String http) {

        /** Parses {@code ADDRESS:PORT/ADDRESS:PORT}. */
        public static Address of(String text) {
            String[] parts = text.split("/");
            if (parts.length != 2) {
                throw new IllegalArgumentException("expected RAFT/HTTP, an address:port each, not " + text);
            }
            return new Address(parts[0], parts[1]);
        }
    }

    /** The resolved identity, and whether the replica has to ask the others to add it to the Raft group. */
    record Found(Identity identity, boolean joins) { }

    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);
    private static final Duration WITHIN = Duration.ofMillis(1000);
    private static final int PAUSE_MILLIS = 200;
    private static final int ALONE_ASKS = 15;  // then a replica with an identity starts without answers

    private final String name;
    private final Map<String, Address> all;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(WITHIN)
            .build();

    Peers(String name, Map<String, Address> all) {
        this.name = name;
        this.all = new LinkedHashMap<>(all);
    }

    /** Queries all other replicas; returns the status of those that answer, by name. */
    private Map<String, Map<String, Object>> ask() throws InterruptedException {
        Map<String, Map<String, Object>> answers = new HashMap<>();
        for (Map.Entry<String, Address> peer : all.entrySet()) {
            if (!peer.getKey().equals(name)) {
                try {
                    HttpResponse<byte[]> answer = client.send(HttpRequest.newBuilder(URI.create("http://"
                            + peer.getValue().http + "/v1/registry")).timeout(WITHIN).build(),
                            HttpResponse.BodyHandlers.ofByteArray());
                    answers.put(peer.getKey(), Json.parse(answer.body()));
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
    Found find(Path folder, Disk disk, Random random) throws IOException, InterruptedException {
        Identity mine = read(folder, disk);
        for (int asks = 1; ; asks++) {
            Map<String, Map<String, Object>> answers = ask();
            Identity.Known known = newest(answers);
            boolean formed = answers.values().stream().anyMatch(answer -> Boolean.TRUE.equals(answer.get("formed")));
            if (known != null && (mine == null || mine.older(known))) {
                if (mine != null) {
                    aside(folder, "older");
                    LOG.info("folder-older id={} mark={} known-id={} known-mark={}", mine.id(), mine.mark(), known.id(),
                            known.mark());
                }
                Identity fresh = Identity.fresh(name, random);
                fresh.write(folder, disk);
                LOG.info("joins id={}", fresh.id());
                return new Found(fresh, true);
            }
            boolean allAnswer = answers.size() == all.size() - 1;
            if (mine != null && (formed || allAnswer || asks >= ALONE_ASKS)) {
                return new Found(mine, !mine.id().equals(Identity.firstId(name)) && !isMember(mine, answers));
            }
            // A new replica that nobody has recorded: all others have to confirm it, started or not.
            if (mine == null && allAnswer) {
                Identity first = Identity.first(name);
                first.write(folder, disk);
                return new Found(first, false);
            }
            if (asks % 25 == 0) {
                LOG.info("waits for replicas: {} of {} answer", answers.size(), all.size() - 1);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private Identity read(Path folder, Disk disk) throws IOException {
        try {
            return Identity.read(folder, disk);
        } catch (IOException e) {
            LOG.info("folder-spoilt {}", e.getMessage());
            aside(folder, "spoilt");
            return null;
        }
    }

    /** The record of this replica's name from the replica that has applied the most of the log. */
    private Identity.Known newest(Map<String, Map<String, Object>> answers) {
        Identity.Known newest = null;
        long rev = -1;
        for (Map<String, Object> answer : answers.values()) {
            long at = ((Number) answer.getOrDefault("applied", -1)).longValue();
            if (at > rev && answer.get("members") instanceof Map<?, ?> members
                    && members.get(name) instanceof Map<?, ?> member) {
                newest = Identity.Known.of(member);
                rev = at;
            }
        }
        return newest;
    }

    private static boolean isMember(Identity mine, Map<String, Map<String, Object>> answers) {
        return answers.values().stream().anyMatch(answer -> answer.get("ids") instanceof List<?> ids
                && ids.contains(mine.id()));
    }

    /** Moves a folder aside instead of deleting it, so that operators can inspect it. */
    static void aside(Path folder, String why) throws IOException {
        Path to = folder.resolveSibling(folder.getFileName() + "." + why);
        for (int i = 1; Files.exists(to); i++) {
            to = folder.resolveSibling(folder.getFileName() + "." + why + "-" + i);
        }
        Files.move(folder, to);
        LOG.info("folder-put-aside {}", to);
        Files.createDirectories(folder);
    }

    /** Asks the other replicas in turn to replace the peer of this name by this identity, until one has done so. */
    void join(Identity identity) throws InterruptedException {
        List<Address> others = new ArrayList<>();
        all.forEach((peer, address) -> {
            if (!peer.equals(name)) {
                others.add(address);
            }
        });
        String body = Json.encode(Map.of("id", identity.id(), "address", all.get(name).raft));
        for (int turn = 0; ; turn++) {
            try {
                HttpResponse<String> answer = client.send(HttpRequest.newBuilder(URI.create("http://"
                        + others.get(turn % others.size()).http + "/v1/registry/join")).timeout(Duration.ofSeconds(15))
                        .POST(HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() == 200) {
                    LOG.info("joined id={}", identity.id());
                    return;
                }
                LOG.info("not-joined status={} {}", answer.statusCode(), answer.body());
            } catch (IOException e) {
                LOG.info("not-joined {}", e.toString());
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }
}
