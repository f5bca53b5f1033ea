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
final class Program {

    /** What is needed to start it; {@code data} is the folder in which it stores its own files. */
    record Spec(String name, List<String> command, Map<String, String> environment, Path folder, Path workingFolder) {
        Path data() {
            return folder.resolve("data");
        }

        Path log() {
            return folder.resolve("log.txt");
        }
    }

    private static final int END_SECONDS = 20;
    private static final int HEARS_AFTER_MILLIS = 1000;

    /** The lock held while a process is started, and around a socket whose port must be free once it is closed: a child
        inherits its parent's sockets, and on a busy machine it may close them later than the parent does. */
    static final Object FORKING = new Object();

    private final Spec spec;
    private final Warden warden;
    private volatile Process process;
    private volatile long startedAt;
    private Duration cpuBefore = Duration.ZERO;  // of earlier processes of this name
    private volatile boolean frozen;

    Program(Spec spec, Warden warden) {
        this.spec = spec;
        this.warden = warden;
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
            synchronized (FORKING) {
                process = builder.start();
                startedAt = System.nanoTime();
            }
            warden.began(process.pid());
        } catch (IOException e) {
            throw new UncheckedIOException("can't start " + spec.name + ": " + e.getMessage(), e);
        }
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Alive, and not frozen. */
    boolean running() {
        return alive() && !frozen;
    }

    /** The exit status; null while it runs or before its first start. */
    Integer status() {
        return alive() || process == null ? null : process.exitValue();
    }

    /** The CPU time of all its processes so far, restarts included. */
    Duration cpu() {
        return alive() ? cpuBefore.plus(process.info().totalCpuDuration().orElse(Duration.ZERO)) : cpuBefore;
    }

    /** Writes a line to its standard input; does nothing if it has ended. */
    void tell(String line) {
        try {
            OutputStream to = process.getOutputStream();
            to.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            to.flush();
        } catch (IOException e) {
            // it has ended, which is reported elsewhere
        }
    }

    /** Sends SIGKILL, which also ends a frozen process, and waits for its end. */
    void kill() {
        end("KILL");
    }

    /** Sends SIGTERM and does not wait. */
    void terminate() {
        if (alive()) {
            signal("TERM");
        }
    }

    /** Sends SIGHUP, but not in the process's first second: the platform sends none then, nor before the process is
        ready. */
    void hangUp() {
        if (alive() && System.nanoTime() - startedAt > TimeUnit.MILLISECONDS.toNanos(HEARS_AFTER_MILLIS)) {
            signal("HUP");
        }
    }

    /** Sends SIGTERM, waits for its end, and kills it on timeout. True if it ended without being killed. */
    boolean term() {
        return end("TERM");
    }

    private boolean end(String signal) {
        if (!alive()) {
            return true;
        }
        Duration cpu = cpu();
        signal(signal);
        boolean ended = await();
        if (!ended) {
            process.destroyForcibly();
            await();
        }
        cpuBefore = cpu;
        frozen = false;
        warden.ended(process.pid());
        return ended;
    }

    private boolean await() {
        try {
            return process.waitFor(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    void freeze() {
        frozen = true;
        signal("STOP");
    }

    void wake() {
        if (frozen && alive()) {
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

    /** Copies its data folder for {@link #older}, not atomically: files may change while they are copied. */
    void keepCopy() {
        copy(spec.data(), spec.folder.resolve("older"));
    }

    /** Replaces its data folder by the copy; only while it is down. */
    void older() {
        copy(spec.folder.resolve("older"), spec.data());
    }

    /** Deletes its data folder; only while it is down. */
    void wipe() {
        delete(spec.data());
    }

    private static void copy(Path from, Path to) {
        delete(to);
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

    static void delete(Path folder) {
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
