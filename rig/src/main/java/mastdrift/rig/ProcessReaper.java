package mastdrift.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/** Kills the rig's processes when the rig itself has been killed: a shell process that is told their ids through a
    pipe, and kills those still running when the pipe is closed. */
final class ProcessReaper implements AutoCloseable {

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
    private final Writer pipe;

    ProcessReaper() {
        try {
            process = new ProcessBuilder("sh", "-c", SCRIPT).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            pipe = process.outputWriter(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void processStarted(long pid) {
        send("began " + pid);
    }

    void processEnded(long pid) {
        send("ended " + pid);
    }

    private synchronized void send(String line) {
        try {
            pipe.write(line + "\n");
            pipe.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("the process reaper has ended", e);
        }
    }

    /** Kills the processes that still run, and waits for the shell. */
    @Override
    public void close() {
        try {
            pipe.close();
            process.waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
