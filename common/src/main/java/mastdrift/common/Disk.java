package mastdrift.common;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/** Reads and replaces whole files atomically and durably: the content is written to a temporary file with a checksum,
    synced and renamed. A truncated or corrupted file is rejected. Fault injection overrides {@link #writeFully}. */
public class Disk {

    private static final int MAGIC = 0x53505331;  // "SPS1"
    private static final int HEADER_BYTES = 16;

    /** Replaces the file. Throws IOException if that fails; the old file is then left as it was, unless only the last
        step failed, the sync of the directory. */
    public void write(Path file, byte[] content) throws IOException {
        Path temporaryFile = file.resolveSibling(file.getFileName() + ".part");
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + content.length).putInt(MAGIC).putInt(content.length)
                .putLong(checksum(content)).put(content).flip();
        try (FileChannel channel = FileChannel.open(temporaryFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            writeFully(channel, buffer);
            channel.force(true);
        }
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        Path directory = file.toAbsolutePath().getParent();
        try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
            directoryChannel.force(true);  // makes the rename survive a power failure
        }
    }

    /** Writes the whole buffer; an overriding method can simulate a full or failing disk. */
    protected void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /** Returns the content, or null if the file does not exist. Throws IOException with the file name in its message if
        the file is truncated or corrupted. */
    public byte[] read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(Files.readAllBytes(file));
        if (buffer.remaining() < HEADER_BYTES || buffer.getInt() != MAGIC) {
            throw new IOException(file + " is spoilt: header missing or unknown");
        }
        int length = buffer.getInt();
        long checksum = buffer.getLong();
        byte[] content = new byte[buffer.remaining()];
        buffer.get(content);
        if (content.length != length || checksum(content) != checksum) {
            throw new IOException(file + " is spoilt: " + content.length + " of " + length
                    + " bytes, or the checksum does not match");
        }
        return content;
    }

    private static long checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return crc.getValue();
    }
}
