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
class IdentityTest {

    @TempDir
    private Path folder;

    @Test
    void aFolderThatIsBehindWhatIsKnownOfItsNameIsAnOlderOne() {
        Identity mine = Identity.first("registry-1").marked().marked();
        assertFalse(mine.older(null));
        assertFalse(mine.older(new Identity.Known("registry-1~0", 2)));
        assertFalse(mine.older(new Identity.Known("registry-1~0", 1)));
        assertTrue(mine.older(new Identity.Known("registry-1~0", 3)));
        assertTrue(mine.older(new Identity.Known("registry-1~abc", 0)));
    }

    @Test
    void aFreshIdentityIsNobodysAndIsReadBack() throws IOException {
        Disk disk = new Disk();
        assertNull(Identity.read(folder, disk));
        Identity fresh = Identity.fresh("registry-1", new Random(1));
        assertNotEquals(Identity.firstId("registry-1"), fresh.id());
        assertNotEquals(fresh, Identity.fresh("registry-1", new Random(2)));
        assertEquals("registry-1", Identity.nameOf(fresh.id()));
        fresh.marked().write(folder, disk);
        assertEquals(fresh.marked(), Identity.read(folder, disk));
    }
}
