package mastdrift.registry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import mastdrift.common.Disk;
import mastdrift.common.Json;

/**
 * Identity of a replica's folder. The name is permanent; the id belongs to one folder, so that a replica whose folder
 * was wiped or replaced by an older copy rejoins under a new id and doesn't count as the one that had acknowledged log
 * entries.
 *
 * @param name the replica's name
 * @param id the name and a suffix for the folder
 * @param generation grows while the replica runs, first on disk and then in the log: a folder whose generation is lower
 *     than the log's is an older copy
 */
record ReplicaIdentity(String name, String id, long generation) {

    /** The id and generation that the replicated state has recorded for a replica name. */
    record RecordedIdentity(String id, long generation) {

        static RecordedIdentity parse(Map<?, ?> member) {
            return new RecordedIdentity(member.get("id").toString(), ((Number) member.get("mark")).longValue());
        }
    }

    /** Identity of a replica of the initial group. */
    static ReplicaIdentity initial(String name) {
        return new ReplicaIdentity(name, initialId(name), 0);
    }

    static String initialId(String name) {
        return name + "~0";
    }

    /** Identity of a replica that replaces an earlier one of the same name. */
    static ReplicaIdentity createReplacement(String name, Random random) {
        return new ReplicaIdentity(name, name + "~" + Integer.toHexString(random.nextInt() | 0x10000000), 0);
    }

    static String nameOf(String id) {
        return id.substring(0, id.lastIndexOf('~'));
    }

    ReplicaIdentity nextGeneration() {
        return new ReplicaIdentity(name, id, generation + 1);
    }

    /** Whether this folder is older than what the other replicas have recorded. */
    boolean isBehind(RecordedIdentity recorded) {
        return recorded != null && (!recorded.id.equals(id) || recorded.generation > generation);
    }

    private static Path path(Path folder) {
        return folder.resolve("identity.json");
    }

    /** Reads the identity of a folder; null if it has none. Throws IOException that names the file if it is
        corrupted. */
    static ReplicaIdentity read(Path folder, Disk disk) throws IOException {
        byte[] content = disk.read(path(folder));
        if (content == null) {
            return null;
        }
        Map<String, Object> object = Json.parse(content);
        return new ReplicaIdentity(object.get("name").toString(), object.get("id").toString(),
                ((Number) object.get("mark")).longValue());
    }

    void write(Path folder, Disk disk) throws IOException {
        Files.createDirectories(folder);
        disk.write(path(folder), Json.encode(Map.of("name", name, "id", id, "mark", generation))
                .getBytes(StandardCharsets.UTF_8));
    }
}
