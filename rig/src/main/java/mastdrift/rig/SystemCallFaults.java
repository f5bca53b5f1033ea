package mastdrift.rig;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes system calls of processes fail, by a library that is preloaded into each (rig/src/main/c). Rules are written
    into a control file that the process maps, and can change while it runs. Used by one thread at a time. */
final class SystemCallFaults {

    private static final int CONTROL_BYTES = 4096;
    private static final String SOURCE = "rig/src/main/c/syscall_faults.c";
    private static final String LIBRARY = "rig/target/libsyscallfaults.so";

    private final Path root;
    private final Path folder;
    private final long seed;
    private final Map<String, List<Fault>> activeFaults = new HashMap<>();
    private long generation;

    /** {@code root} is the project's folder; control files and logs go to {@code folder}. */
    SystemCallFaults(Path root, Path folder, long seed) {
        this.root = root;
        this.folder = folder;
        this.seed = seed;
    }

    /** The environment variables that a process needs. Throws IllegalStateException if the library can't be
        compiled. */
    Map<String, String> environment(String name) throws IOException {
        Path library = library(root);
        Path control = controlFile(name);
        if (!Files.exists(control)) {
            Files.write(control, new byte[CONTROL_BYTES]);
        }
        return Map.of("LD_PRELOAD", library.toString(), "SYSCALL_FAULTS", control.toString(), "SYSCALL_LOG",
                logFile(name).toString(), "SYSCALL_FOLDER", folder.toString());
    }

    private Path controlFile(String name) {
        return folder.resolve(name + ".faults");
    }

    /** The log of the process's injected faults, one on each line. */
    Path logFile(String name) {
        return folder.resolve(name + ".faults.log");
    }

    synchronized void begin(Fault fault, String name) {
        activeFaults.computeIfAbsent(name, each -> new ArrayList<>()).add(fault);
        write(name);
    }

    synchronized void end(Fault fault, String name) {
        activeFaults.getOrDefault(name, List.of()).remove(fault);
        write(name);
    }

    /** Writes the process's active rules. The first line, by which the library detects a change, is written last. */
    private void write(String name) {
        generation++;
        String header = generation + " " + seed + "\n";
        StringBuilder rules = new StringBuilder();
        activeFaults.get(name).forEach(fault -> rules.append(fault.systemCall()
                .toRuleLine(Math.round(fault.magnitude()))).append('\n'));
        byte[] page = new byte[CONTROL_BYTES];
        byte[] content = (header + rules).getBytes(StandardCharsets.UTF_8);
        System.arraycopy(content, 0, page, 0, content.length);
        try (RandomAccessFile file = new RandomAccessFile(controlFile(name).toFile(), "rw")) {
            file.seek(header.length());
            file.write(page, header.length(), CONTROL_BYTES - header.length());
            file.seek(0);
            file.write(page, 0, header.length());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The compiled library, compiled again if its source is newer. */
    static synchronized Path library(Path root) throws IOException {
        Path source = root.resolve(SOURCE);
        Path library = root.resolve(LIBRARY);
        if (Files.exists(library)
                && Files.getLastModifiedTime(library).compareTo(Files.getLastModifiedTime(source)) >= 0) {
            return library;
        }
        Files.createDirectories(library.getParent());
        Path compiled = Files.createTempFile(library.getParent(), "libsyscallfaults", ".so");
        compile(source, compiled);
        return Files.move(compiled, library, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private static void compile(Path source, Path into) throws IOException {
        List<String> command = List.of("gcc", "-std=gnu11", "-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC", "-o",
                into.toString(), source.toString(), "-ldl", "-lpthread");
        Process compiler;
        try {
            compiler = new ProcessBuilder(command).redirectErrorStream(true).start();
        } catch (IOException e) {
            throw new IllegalStateException("no C compiler for " + SOURCE + ": install gcc (apt-get install gcc libc6-dev)", e);
        }
        String output = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        try {
            if (compiler.waitFor() != 0) {
                throw new IllegalStateException("can't compile " + SOURCE + ": " + output);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while compiling " + SOURCE, e);
        }
    }
}
