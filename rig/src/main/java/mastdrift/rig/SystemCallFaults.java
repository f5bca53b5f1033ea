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

/** Makes system calls of processes fail, by a library of ours that is preloaded into each. Rules are written into a control
    file, which the process maps; they can change while it runs. Commands come from one thread at a time. */
final class SystemCallFaults {

    private static final int CONTROL_BYTES = 4096;
    private static final String SOURCE = "rig/src/main/c/syscall_faults.c";
    private static final String LIBRARY = "rig/target/libsyscallfaults.so";

    private final Path root;
    private final Path folder;
    private final long seed;
    private final Map<String, List<Fault>> active = new HashMap<>();
    private long generation;

    /** The project's folder, and that for the control files and logs. */
    SystemCallFaults(Path root, Path folder, long seed) {
        this.root = root;
        this.folder = folder;
        this.seed = seed;
    }

    /** What a process needs in its environment. Throws IllegalStateException where the library can't be compiled. */
    Map<String, String> environment(String name) throws IOException {
        Path library = library(root);
        Path control = control(name);
        if (!Files.exists(control)) {
            Files.write(control, new byte[CONTROL_BYTES]);
        }
        return Map.of("LD_PRELOAD", library.toString(), "SYSCALL_FAULTS", control.toString(), "SYSCALL_LOG",
                log(name).toString(), "SYSCALL_FOLDER", folder.toString());
    }

    private Path control(String name) {
        return folder.resolve(name + ".faults");
    }

    /** A line for each injected fault. */
    Path log(String name) {
        return folder.resolve(name + ".faults.log");
    }

    synchronized void begin(Fault fault, String name) {
        active.computeIfAbsent(name, each -> new ArrayList<>()).add(fault);
        write(name);
    }

    synchronized void end(Fault fault, String name) {
        active.getOrDefault(name, List.of()).remove(fault);
        write(name);
    }

    /** The first line, by which readers see that there is something new, comes last. */
    private void write(String name) {
        generation++;
        String first = generation + " " + seed + "\n";
        StringBuilder rules = new StringBuilder();
        active.get(name).forEach(fault -> rules.append(fault.systemCall().rule(Math.round(fault.size()))).append('\n'));
        byte[] text = new byte[CONTROL_BYTES];
        byte[] all = (first + rules).getBytes(StandardCharsets.UTF_8);
        System.arraycopy(all, 0, text, 0, all.length);
        try (RandomAccessFile file = new RandomAccessFile(control(name).toFile(), "rw")) {
            file.seek(first.length());
            file.write(text, first.length(), CONTROL_BYTES - first.length());
            file.seek(0);
            file.write(text, 0, first.length());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The compiled library, made anew where its source is newer. */
    static synchronized Path library(Path root) throws IOException {
        Path source = root.resolve(SOURCE);
        Path library = root.resolve(LIBRARY);
        if (Files.exists(library)
                && Files.getLastModifiedTime(library).compareTo(Files.getLastModifiedTime(source)) >= 0) {
            return library;
        }
        Files.createDirectories(library.getParent());
        Path made = Files.createTempFile(library.getParent(), "libsyscallfaults", ".so");
        compile(source, made);
        return Files.move(made, library, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
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
        String said = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        try {
            if (compiler.waitFor() != 0) {
                throw new IllegalStateException("can't compile " + SOURCE + ": " + said);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while compiling " + SOURCE, e);
        }
    }
}
