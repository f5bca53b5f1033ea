package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import mastdrift.common.Disk;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Detection of folders that were wiped or replaced by an older copy. */
class ReplicaIdentityTest {

    @TempDir
    private Path folder;

    @Test
    void anOlderFolderIsDetectedByIdAndGeneration() {
        ReplicaIdentity mine = ReplicaIdentity.initial("registry-1").nextGeneration().nextGeneration();
        assertFalse(mine.isBehind(null));
        assertFalse(mine.isBehind(new ReplicaIdentity.RecordedIdentity("registry-1~0", 2)));
        assertFalse(mine.isBehind(new ReplicaIdentity.RecordedIdentity("registry-1~0", 1)));
        assertTrue(mine.isBehind(new ReplicaIdentity.RecordedIdentity("registry-1~0", 3)));
        assertTrue(mine.isBehind(new ReplicaIdentity.RecordedIdentity("registry-1~abc", 0)));
    }

    @Test
    void aReplacementIdentityIsNewAndIsReadBack() throws IOException {
        Disk disk = new Disk();
        assertNull(ReplicaIdentity.read(folder, disk));
        ReplicaIdentity fresh = ReplicaIdentity.createReplacement("registry-1", new Random(1));
        assertNotEquals(ReplicaIdentity.initialId("registry-1"), fresh.id());
        assertNotEquals(fresh, ReplicaIdentity.createReplacement("registry-1", new Random(2)));
        assertEquals("registry-1", ReplicaIdentity.nameOf(fresh.id()));
        fresh.nextGeneration().write(folder, disk);
        assertEquals(fresh.nextGeneration(), ReplicaIdentity.read(folder, disk));
    }
}
