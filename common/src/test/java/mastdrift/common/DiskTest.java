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
    private Path directory;

    /** Guards against reading back a file that a crash cut short or the disk altered. */
    @Test
    void everyTruncatedOrCorruptedFileIsRejectedWithItsName() throws IOException {
        Path file = directory.resolve("some");
        Disk disk = new Disk();
        assertNull(disk.read(file));
        disk.write(file, new byte[] {1, 2, 3});
        assertArrayEquals(new byte[] {1, 2, 3}, disk.read(file));
        byte[] intact = Files.readAllBytes(file);
        for (int i = 0; i < intact.length; i++) {
            byte[] corrupted = intact.clone();
            corrupted[i] ^= 4;
            assertRejected(disk, file, corrupted);
            assertRejected(disk, file, Arrays.copyOf(intact, i));
        }
    }

    private static void assertRejected(Disk disk, Path file, byte[] bytes) throws IOException {
        Files.write(file, bytes);
        IOException exception = assertThrows(IOException.class, () -> disk.read(file));
        assertTrue(exception.getMessage().startsWith(file + " is spoilt"), exception.getMessage());
    }

    @Test
    void failedWriteLeavesTheOldFile() throws IOException {
        Path file = directory.resolve("some");
        new Disk().write(file, new byte[] {1});
        Disk failingDisk = new Disk() {
            @Override
            protected void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
                buffer.limit(buffer.position() + 5);
                super.writeFully(channel, buffer);
                throw new IOException("full");
            }
        };
        assertThrows(IOException.class, () -> failingDisk.write(file, new byte[] {2}));
        assertArrayEquals(new byte[] {1}, new Disk().read(file));
    }

    /** Guards against clients that failed together retrying together, and against pauses above the maximum. */
    @Test
    void backoffPausesAreSpreadWithinTheirBounds() {
        java.util.Random random = new java.util.Random(1);
        java.util.Set<Long> thirdPauses = new java.util.HashSet<>();
        for (int i = 0; i < 100; i++) {
            Backoff backoff = new Backoff(50, 3000, random::nextDouble);
            for (int j = 0; j < 20; j++) {
                long pause = backoff.next();
                assertTrue(pause >= 50 && pause <= 3000, Long.toString(pause));
                if (j == 2) {
                    thirdPauses.add(pause);
                }
            }
            backoff.reset();
            assertTrue(backoff.next() <= 150);
        }
        assertTrue(thirdPauses.size() > 50, thirdPauses.toString());
        assertEquals(50, new Backoff(50, 3000, () -> 0).next());
    }
}
