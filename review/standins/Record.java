import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to {@code record.txt}, a line each with the time since the start. */
final class Record {

    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void add(String format, Object... values) {
        out.printf("%9.4f  %s%n", seconds(), values.length == 0 ? format : String.format(format, values));
    }
}
