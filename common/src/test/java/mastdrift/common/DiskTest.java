package mastdrift.common;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DiskTest {

    @TempDir
    private Path folder;

    @Test
    void whatWasWrittenIsReadAndEveryCutOrFlippedByteIsRefusedByName() throws IOException {
        Path file = folder.resolve("some");
        Disk disk = new Disk();
        assertNull(disk.read(file));
        disk.write(file, new byte[] {1, 2, 3});
        assertArrayEquals(new byte[] {1, 2, 3}, disk.read(file));
        byte[] all = Files.readAllBytes(file);
        for (int i = 0; i < all.length; i++) {
            byte[] flipped = all.clone();
            flipped[i] ^= 4;
            refused(disk, file, flipped);
            refused(disk, file, Arrays.copyOf(all, i));
        }
    }

    private static void refused(Disk disk, Path file, byte[] bytes) throws IOException {
        Files.write(file, bytes);
        IOException refused = assertThrows(IOException.class, () -> disk.read(file));
        assertTrue(refused.getMessage().startsWith(file + " is spoilt"), refused.getMessage());
    }

    @Test
    void aWriteThatFailsLeavesTheOldFile() throws IOException {
        Path file = folder.resolve("some");
        new Disk().write(file, new byte[] {1});
        Disk full = new Disk() {
            @Override
            protected void writeFully(FileChannel to, ByteBuffer all) throws IOException {
                all.limit(all.position() + 5);
                super.writeFully(to, all);
                throw new IOException("full");
            }
        };
        assertThrows(IOException.class, () -> full.write(file, new byte[] {2}));
        assertArrayEquals(new byte[] {1}, new Disk().read(file));
    }

    /** Those who failed together do not come back together, nor ever later than the bound. */
    @Test
    void pausesSpreadBetweenTheirBounds() {
        java.util.Random random = new java.util.Random(1);
        java.util.Set<Long> thirds = new java.util.HashSet<>();
        for (int i = 0; i < 100; i++) {
            Backoff backoff = new Backoff(50, 3000, random::nextDouble);
            for (int j = 0; j < 20; j++) {
                long pause = backoff.next();
                assertTrue(pause >= 50 && pause <= 3000, Long.toString(pause));
                if (j == 2) {
                    thirds.add(pause);
                }
            }
            backoff.reset();
            assertTrue(backoff.next() <= 150);
        }
        assertTrue(thirds.size() > 50, thirds.toString());
        assertEquals(50, new Backoff(50, 3000, () -> 0).next());
    }
}
