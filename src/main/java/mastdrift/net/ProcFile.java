package mastdrift.net;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;

/** A small file of the kernel's process information that is read again and again. Not thread-safe: used on one thread
    only. */
final class ProcFile {

    private final String path;
    private final byte[] buffer;
    private RandomAccessFile file;
    private boolean unreadable;

    /** A file whose first {@code maxBytes} are of interest. */
    ProcFile(String path, int maxBytes) {
        this.path = path;
        buffer = new byte[maxBytes];
    }

    /** Returns the content as it is now, or null where the kernel doesn't provide it. */
    String read() {
        if (unreadable) {
            return null;
        }
        try {
            if (file == null) {
                file = new RandomAccessFile(path, "r");  // stays open: later there may be no descriptor
            }
            file.seek(0);
            return new String(buffer, 0, Math.max(0, file.read(buffer)), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            unreadable = true;
            return null;
        }
    }

    /** Closes the file; later reads return null. */
    void close() {
        unreadable = true;
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            return;  // the descriptor is released all the same
        }
    }
}
