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

/** A process that the rig starts, with a folder of its own for its files and its log; ended by its id. Commands come from
    the rig's own thread of faults. */
final class Program {

    /** Of it all that a start needs; {@code data} is the folder that it calls its own. */
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

    /** Held while a process is started, and by whoever opens a socket that is to be gone once it is closed: a child has all of
        its parent's sockets until it has closed them, which on a busy machine is later than the parent has. */
    static final Object FORKING = new Object();

    private final Spec spec;
    private final Warden warden;
    private volatile Process process;
    private volatile long startedAt;
    private Duration cpuBefore = Duration.ZERO;  // of the processes before this one
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

    /** Null while it runs. */
    Integer status() {
        return alive() || process == null ? null : process.exitValue();
    }

    /** Of all its processes so far. */
    Duration cpu() {
        return alive() ? cpuBefore.plus(process.info().totalCpuDuration().orElse(Duration.ZERO)) : cpuBefore;
    }

    /** A line on its standard input; one who has gone does not hear it. */
    void tell(String line) {
        try {
            OutputStream to = process.getOutputStream();
            to.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            to.flush();
        } catch (IOException e) {
            // it has ended, and its end is told elsewhere
        }
    }

    /** SIGKILL, also of one that is frozen; waits until it is gone. */
    void kill() {
        end("KILL");
    }

    /** SIGTERM, whose end nobody waits for. */
    void terminate() {
        if (alive()) {
            signal("TERM");
        }
    }

    /** SIGHUP, unless the process has just begun: the platform sends none in the first second, nor before it is ready. */
    void hangUp() {
        if (alive() && System.nanoTime() - startedAt > TimeUnit.MILLISECONDS.toNanos(HEARS_AFTER_MILLIS)) {
            signal("HUP");
        }
    }

    /** SIGTERM; waits for its end, and kills it if that takes too long. True if it ended by itself. */
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

    /** Puts a copy of its folder aside, for {@link #older}; what changes under the copying is as it is met. */
    void keepCopy() {
        copy(spec.data(), spec.folder.resolve("older"));
    }

    /** Takes the copy in place of its folder; while it is down. */
    void older() {
        copy(spec.folder.resolve("older"), spec.data());
    }

    /** Leaves it nothing; while it is down. */
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
