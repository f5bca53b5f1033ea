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
 * Which replica a folder belongs to. A name is the same for ever; an id is of one folder, so that a replica whose folder was
 * wiped, or replaced by an older copy, comes back under another and is not counted as the one that had acknowledged entries.
 *
 * @param name the replica's
 * @param id its name and that of the folder
 * @param mark grows while it runs, here before in the log: a folder with less than the log has is an older copy
 */
record Identity(String name, String id, long mark) {

    /** What the state machine has heard of the replica with a name. */
    record Known(String id, long mark) {

        static Known of(Map<?, ?> member) {
            return new Known(member.get("id").toString(), ((Number) member.get("mark")).longValue());
        }
    }

    /** Of those who were there from the first. */
    static Identity first(String name) {
        return new Identity(name, firstId(name), 0);
    }

    static String firstId(String name) {
        return name + "~0";
    }

    /** Of one that takes the place of an earlier one of that name. */
    static Identity fresh(String name, Random random) {
        return new Identity(name, name + "~" + Integer.toHexString(random.nextInt() | 0x10000000), 0);
    }

    static String nameOf(String id) {
        return id.substring(0, id.lastIndexOf('~'));
    }

    Identity marked() {
        return new Identity(name, id, mark + 1);
    }

    /** Whether this folder is behind what the others know of it. */
    boolean older(Known known) {
        return known != null && (!known.id.equals(id) || known.mark > mark);
    }

    private static Path file(Path folder) {
        return folder.resolve("identity.json");
    }

    /** Null where the folder has none; throws IOException that names a spoilt one. */
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
