package mastdrift.common;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/** Whole files that hold: written beside, synced, renamed into place, with a checksum in front. What was cut short or
    flipped is refused by name. The rig puts a failing one in its place. */
public class Disk {

    private static final int MAGIC = 0x53505331;  // "SPS1"
    private static final int HEADER = 16;

    /** Replaces the file; throws IOException where it can't be, and then the old one stands. */
    public void write(Path file, byte[] content) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".part");
        ByteBuffer all = ByteBuffer.allocate(HEADER + content.length).putInt(MAGIC).putInt(content.length)
                .putLong(sum(content)).put(content).flip();
        try (FileChannel to = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            writeFully(to, all);
            to.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        Path folder = file.toAbsolutePath().getParent();
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);  // the new name, too, has to outlast a power cut
        }
    }

    /** Where a full or failing disk shows. */
    protected void writeFully(FileChannel to, ByteBuffer all) throws IOException {
        while (all.hasRemaining()) {
            to.write(all);
        }
    }

    /** What was written last; null where there is no file. Throws IOException that names the file where it is spoilt. */
    public byte[] read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(file));
        if (all.remaining() < HEADER || all.getInt() != MAGIC) {
            throw new IOException(file + " is spoilt: its head is not that of a file of ours");
        }
        int length = all.getInt();
        long sum = all.getLong();
        byte[] content = new byte[all.remaining()];
        all.get(content);
        if (content.length != length || sum(content) != sum) {
            throw new IOException(file + " is spoilt: " + content.length + " of " + length + " bytes, or flipped ones");
        }
        return content;
    }

    private static long sum(byte[] content) {
        CRC32C sum = new CRC32C();
        sum.update(content);
        return sum.getValue();
    }
}
