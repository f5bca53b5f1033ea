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

/** How a replica finds out who it is before it takes part: from its folder, and from what the others know of its name. */
public final class Peers {

    /** Where one replica reaches another: its log, and its calls. */
    public record Address(String raft, String http) {

        /** Of the form {@code ADDRESS:PORT/ADDRESS:PORT}. */
        public static Address of(String text) {
            String[] parts = text.split("/");
            if (parts.length != 2) {
                throw new IllegalArgumentException("expected RAFT/HTTP, an address:port each, not " + text);
            }
            return new Address(parts[0], parts[1]);
        }
    }

    /** Who this replica is, and whether it has to ask to be let in. */
    record Found(Identity identity, boolean joins) { }

    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);
    private static final Duration WITHIN = Duration.ofMillis(1000);
    private static final int PAUSE_MILLIS = 200;
    private static final int ALONE_ASKS = 15;  // with a folder of its own, so often it asks before it goes by that alone

    private final String name;
    private final Map<String, Address> all;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(WITHIN)
            .build();

    Peers(String name, Map<String, Address> all) {
        this.name = name;
        this.all = new LinkedHashMap<>(all);
    }

    /** What each other replica that answers says of itself. */
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
     * Waits until it is certain. A new folder begins a service only once all others say that they are new as well; where any
     * of them knows this name already, the folder was wiped. A folder with an identity is gone by, unless the others know
     * more of it: then it is an older copy, and is put aside. Where none of them answers for a while it is all there is.
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
            // One that is new, and of whom nobody knows: all others have to say so, whether they have begun or not.
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

    /** Of what was counted under this name, the newest that anyone knows. */
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

    /** Nothing is deleted: staff may want to look. */
    static void aside(Path folder, String why) throws IOException {
        Path to = folder.resolveSibling(folder.getFileName() + "." + why);
        for (int i = 1; Files.exists(to); i++) {
            to = folder.resolveSibling(folder.getFileName() + "." + why + "-" + i);
        }
        Files.move(folder, to);
        LOG.info("folder-put-aside {}", to);
        Files.createDirectories(folder);
    }

    /** Asks the others in turn to be taken for the replica of this name, until one has done so. */
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
