import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the project, which ends with the case at the latest. */
final class Program {

    private static final int END_SECONDS = 5;
    private final Process process;

    /** Starts a command from the project's root; its output goes to the log. */
    Program(List<String> command, Map<String, String> environment, Path log) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process by SIGKILL. */
    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
