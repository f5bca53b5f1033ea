package mastdrift.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A process that the rig starts, with its own folder for its data and its log. Signals are sent to its process id
    only. Called from the fault injector's thread while faults are injected. */
final class ManagedProcess {

    /** What is needed to start it; {@code data} is the folder in which it stores its own files. */
    record Spec(String name, List<String> command, Map<String, String> environment, Path folder, Path workingFolder) {
        Path data() {
            return folder.resolve("data");
        }

        Path log() {
            return folder.resolve("log.txt");
        }
    }

    private static final int EXIT_TIMEOUT_SECONDS = 20;
    private static final int NO_HANGUP_MILLIS = 1000;

    /** The lock held while a process is started, and around a socket whose port must be free once it is closed: a child
        inherits its parent's sockets, and on a busy machine it may close them later than the parent does. */
    static final Object FORK_LOCK = new Object();

    private final Spec spec;
    private final ProcessReaper reaper;
    private volatile Process process;
    private volatile long startedAt;
    private Duration earlierCpuTime = Duration.ZERO;  // of earlier processes of this name
    private volatile boolean frozen;

    ManagedProcess(Spec spec, ProcessReaper reaper) {
        this.spec = spec;
        this.reaper = reaper;
    }

    String name() {
        return spec.name;
    }

    Spec spec() {
        return spec;
    }

    void start() {
        try {
            Files.createDirectories(spec.data());
            ProcessBuilder builder = new ProcessBuilder(spec.command).directory(spec.workingFolder.toFile())
                    .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(spec.log().toFile()));
            builder.environment().putAll(spec.environment);
            synchronized (FORK_LOCK) {
                process = builder.start();
                startedAt = System.nanoTime();
            }
            reaper.processStarted(process.pid());
        } catch (IOException e) {
            throw new UncheckedIOException("can't start " + spec.name + ": " + e.getMessage(), e);
        }
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Alive, and not frozen. */
    boolean isRunning() {
        return isAlive() && !frozen;
    }

    /** The exit status; null while it runs or before its first start. */
    Integer exitStatus() {
        return isAlive() || process == null ? null : process.exitValue();
    }

    /** The CPU time of all its processes so far, restarts included. */
    Duration cpuTime() {
        return isAlive() ? earlierCpuTime.plus(process.info().totalCpuDuration().orElse(Duration.ZERO))
                : earlierCpuTime;
    }

    /** Writes a line to its standard input; does nothing if it has ended. */
    void writeLine(String line) {
        try {
            OutputStream input = process.getOutputStream();
            input.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            input.flush();
        } catch (IOException e) {
            // it has ended, which is reported elsewhere
        }
    }

    /** Sends SIGKILL, which also ends a frozen process, and waits for its end. */
    void kill() {
        signalAndWait("KILL");
    }

    /** Sends SIGTERM and does not wait. */
    void sendTerminate() {
        if (isAlive()) {
            signal("TERM");
        }
    }

    /** Sends SIGHUP, but not in the process's first second: the platform sends none then, nor before the process is
        ready. */
    void sendHangUp() {
        if (isAlive() && System.nanoTime() - startedAt > TimeUnit.MILLISECONDS.toNanos(NO_HANGUP_MILLIS)) {
            signal("HUP");
        }
    }

    /** Sends SIGTERM, waits for its end, and kills it on timeout. True if it ended without being killed. */
    boolean terminateAndWait() {
        return signalAndWait("TERM");
    }

    private boolean signalAndWait(String signal) {
        if (!isAlive()) {
            return true;
        }
        Duration cpu = cpuTime();
        signal(signal);
        boolean exited = awaitExit();
        if (!exited) {
            process.destroyForcibly();
            awaitExit();
        }
        earlierCpuTime = cpu;
        frozen = false;
        reaper.processEnded(process.pid());
        return exited;
    }

    private boolean awaitExit() {
        try {
            return process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    void freeze() {
        frozen = true;
        signal("STOP");
    }

    void resume() {
        if (frozen && isAlive()) {
            frozen = false;
            signal("CONT");
        }
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Copies its data folder for {@link #restoreBackup}, not atomically: files may change while they are copied. */
    void backUpData() {
        copy(spec.data(), spec.folder.resolve("older"));
    }

    /** Replaces its data folder by the copy; only while it is down. */
    void restoreBackup() {
        copy(spec.folder.resolve("older"), spec.data());
    }

    /** Deletes its data folder; only while it is down. */
    void deleteData() {
        deleteFolder(spec.data());
    }

    private static void copy(Path from, Path to) {
        deleteFolder(to);
        try (Stream<Path> all = Files.walk(from)) {
            for (Path each : (Iterable<Path>) all::iterator) {
                Path target = to.resolve(from.relativize(each).toString());
                if (Files.isDirectory(each)) {
                    Files.createDirectories(target);
                } else if (Files.exists(each)) {
                    Files.copy(each, target, StandardCopyOption.REPLACE_EXISTING);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void deleteFolder(Path folder) {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : (Iterable<Path>) all.sorted(Comparator.reverseOrder())::iterator) {
                Files.deleteIfExists(each);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
