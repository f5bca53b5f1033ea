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
 * @param mark generation, which grows while the replica runs, first on disk and then in the log: a folder whose
 * generation is lower than the log's is an older copy
 */
record Identity(String name, String id, long mark) {

    /** The id and generation that the replicated state has recorded for a replica name. */
    record Known(String id, long mark) {

        static Known of(Map<?, ?> member) {
            return new Known(member.get("id").toString(), ((Number) member.get("mark")).longValue());
        }
    }

    /** Identity of a replica of the initial group. */
    static Identity first(String name) {
        return new Identity(name, firstId(name), 0);
    }

    static String firstId(String name) {
        return name + "~0";
    }

    /** Identity of a replica that replaces an earlier one of the same name. */
    static Identity fresh(String name, Random random) {
        return new Identity(name, name + "~" + Integer.toHexString(random.nextInt() | 0x10000000), 0);
    }

    static String nameOf(String id) {
        return id.substring(0, id.lastIndexOf('~'));
    }

    Identity marked() {
        return new Identity(name, id, mark + 1);
    }

    /** Whether this folder is older than what the other replicas have recorded. */
    boolean older(Known known) {
        return known != null && (!known.id.equals(id) || known.mark > mark);
    }

    private static Path file(Path folder) {
        return folder.resolve("identity.json");
    }

    /** Reads the identity of a folder; null if it has none. Throws IOException that names the file if it is corrupted.
        */
    static Identity read(Path folder, Disk disk) throws IOException {
        byte[] content = disk.read(file(folder));
        if (content == null) {
            return null;
        }
        Map<String, Object> object = Json.parse(content);
        return new Identity(object.get("name").toString(), object.get("id").toString(),
                ((Number) object.get("mark")).longValue());
    }

    void write(Path folder, Disk disk) throws IOException {
        Files.createDirectories(folder);
        disk.write(file(folder), Json.encode(Map.of("name", name, "id", id, "mark", mark)).getBytes(StandardCharsets.UTF_8));
    }
}
