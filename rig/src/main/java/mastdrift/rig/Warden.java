package mastdrift.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/** Kills the rig's processes when the rig itself has been killed: a shell process that is told their ids through a
    pipe, and kills those still running when the pipe is closed. */
final class Warden implements AutoCloseable {

    private static final String SCRIPT = """
            trap '' INT TERM HUP
            pids=" "
            while read -r what pid; do
              case $what in
                began) pids="$pids$pid " ;;
                ended) pids=$(printf '%s' "$pids" | sed "s/ $pid / /") ;;
              esac
            done
            for pid in $pids; do kill -KILL "$pid" 2>/dev/null; done
            """;

    private final Process process;
    private final Writer to;

    Warden() {
        try {
            process = new ProcessBuilder("sh", "-c", SCRIPT).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            to = process.outputWriter(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void began(long pid) {
        tell("began " + pid);
    }

    void ended(long pid) {
        tell("ended " + pid);
    }

    private synchronized void tell(String line) {
        try {
            to.write(line + "\n");
            to.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("the process reaper has ended", e);
        }
    }

    /** Kills the processes that still run, and waits for the shell. */
    @Override
    public void close() {
        try {
            to.close();
            process.waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
