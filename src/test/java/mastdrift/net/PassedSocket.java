package mastdrift.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** A listening socket that outlives the gateway processes behind it: each inherits it as descriptor 0, so that a
    successor can run beside its predecessor. Held by a small program of its own, which is compiled where needed. */
final class PassedSocket implements AutoCloseable {

    private static final Path SOURCE = Path.of("src", "test", "c", "passed_socket.c");

    private final int port;
    private final Process holder;
    private final BufferedReader processIds;

    /** Listens on a free port; {@code folder} takes the compiled program. */
    PassedSocket(Path folder) throws Exception {
        port = GatewayProcess.freePort();
        Path program = folder.resolve("passed_socket");
        if (!Files.exists(program)) {
            int status = new ProcessBuilder("gcc", "-O1", "-o", program.toString(), SOURCE.toString()).inheritIO().start()
                    .waitFor();
            if (status != 0) {
                throw new IllegalStateException("gcc ended with status " + status);
            }
        }
        holder = new ProcessBuilder(program.toString(), Integer.toString(port))
                .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        processIds = holder.inputReader(StandardCharsets.US_ASCII);
    }

    int port() {
        return port;
    }

    /** Starts a shell command that inherits the socket as descriptor 0. */
    ProcessHandle start(String command) throws IOException {
        holder.getOutputStream().write((command + "\n").getBytes(StandardCharsets.UTF_8));
        holder.getOutputStream().flush();
        String processId = processIds.readLine();
        return ProcessHandle.of(Long.parseLong(processId))
                .orElseThrow(() -> new IllegalStateException("not started: " + command));
    }

    @Override
    public void close() throws Exception {
        holder.getOutputStream().close();
        holder.waitFor();
    }
}
