package mastdrift.net;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import mastdrift.Memory;

/**
 * Keeps what a gateway has learned in one file, for the next process of the same gateway. A file is whole or not there: it
 * is written beside, synced and renamed. Where two processes overlap, the one that started later writes. Nothing here ends
 * or delays a gateway: a fault is one line of the log.
 */
final class Keeper {

    /** How often what was learned is written, in microseconds. */
    static final long EVERY = 3_000_000;
    /** What is older tells little of the hosts, in microseconds. */
    static final long AGE_MOST = 10_000_000;
    private static final String BESIDE = ".tmp";

    private final Path file;
    private final Path beside;
    private final String gateway;
    private final long configuration;
    private final long started;
    private final Consumer<String> log;
    private final AtomicBoolean writing = new AtomicBoolean();
    private final ExecutorService writer;
    private boolean faulty;  // on the writer's thread: told once, until a write succeeds

    /** {@code folder} is the process's own; {@code started} is in Unix milliseconds and tells both of an overlap apart. */
    Keeper(Path folder, String gateway, long configuration, long started, Consumer<String> log) {
        // Any name makes a name of a file; two that are alike in it are told apart by what the file says.
        String name = "springspar-" + Integer.toHexString(gateway.hashCode());
        file = folder.resolve(name + ".snapshot");
        beside = folder.resolve(name + "-" + Long.toHexString(started) + BESIDE);
        this.gateway = gateway;
        this.configuration = configuration;
        this.started = started;
        this.log = log;
        writer = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "keeper");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** What an earlier process left, null where there is none that is of use; {@code now} in Unix microseconds. */
    Snapshot read(long now) {
        try {
            byte[] bytes;
            try (InputStream in = Files.newInputStream(file)) {
                bytes = in.readNBytes(Snapshot.BYTES_MOST + 1);
            }
            Snapshot found = Snapshot.of(bytes);
            String against = !found.gateway().equals(gateway) ? "it is another gateway's"
                    : found.configuration() != configuration ? "it was learned under another configuration"
                    : now - found.at() > AGE_MOST ? "it is " + (now - found.at()) / 1_000_000 + " s old"
                    : now < found.at() - EVERY ? "it is of a later time" : null;
            if (against == null) {
                log.accept("memory of " + found.memory().hosts().size() + " hosts and "
                        + found.memory().keys().keys().length + " keys taken over, "
                        + Math.max(0, now - found.at()) / 1000 + " ms old");
                return found;
            }
            log.accept("no memory taken over: " + against);
        } catch (NoSuchFileException e) {
            log.accept("no memory taken over: there is none");
        } catch (IOException | RuntimeException e) {
            log.accept("no memory taken over: " + e.getMessage());
        }
        return null;
    }

    /** Writes it, unless the last one is still being written or a later process writes; {@code at} in Unix microseconds. */
    void write(Memory memory, long at) {
        if (memory != null && writing.compareAndSet(false, true)) {
            writer.execute(() -> {
                try {
                    replace(new Snapshot(started, at, gateway, configuration, memory));
                    faulty = false;
                } catch (IOException | RuntimeException e) {
                    if (!faulty) {
                        log.accept("memory not kept: " + e);
                    }
                    faulty = true;
                } finally {
                    writing.set(false);
                }
            });
        }
    }

    private void replace(Snapshot snapshot) throws IOException {
        if (startedOfFile() > started) {
            return;
        }
        dropLeftovers();
        ByteBuffer bytes = ByteBuffer.wrap(snapshot.bytes());
        try (FileChannel to = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                to.write(bytes);
            }
            to.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private long startedOfFile() throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return Snapshot.startedOf(in.readNBytes(Snapshot.HEAD_BYTES));
        } catch (NoSuchFileException e) {
            return 0;
        }
    }

    /** Of writers that were killed: what they had written beside would count as memory for good. */
    private void dropLeftovers() throws IOException {
        long before = System.currentTimeMillis() - AGE_MOST / 1000;
        try (DirectoryStream<Path> left = Files.newDirectoryStream(file.getParent(), "springspar-*" + BESIDE)) {
            for (Path each : left) {
                if (Files.getLastModifiedTime(each).toMillis() < before) {
                    Files.deleteIfExists(each);
                }
            }
        }
    }

    /** Ends with what is being written, which is waited for up to so long. */
    void close(long millis) {
        writer.shutdown();
        try {
            writer.awaitTermination(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
