package mastdrift.rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import mastdrift.rig.History.Event;

/** Samples how long threads of processes were runnable but waited for a core, from the kernel's schedstat, so that
    checkers can tell a process that was starved by the machine from one that was slow itself. */
final class RunDelaySampler implements AutoCloseable {

    /** The op of its events in the history, whose facts are microseconds by thread. */
    static final String OP = "run_delay";
    private static final int SAMPLE_INTERVAL_MILLIS = 50;
    private static final long MIN_RECORDED_MICROS = 1000;  // shorter waits are usual

    private final Supplier<Map<String, Long>> processes;
    private final History history;
    // Microseconds up to the last sample, by process and thread.
    private final Map<String, Long> totalsByThread = new HashMap<>();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread made = new Thread(task, "run-delays");
        made.setDaemon(true);
        return made;
    });
    private long sampledAt = History.now();

    /** {@code processes} gives the names and ids of the processes, and is asked at each sample. */
    RunDelaySampler(Supplier<Map<String, Long>> processes, History history) {
        this.processes = processes;
        this.history = history;
        sample();
        executor.scheduleWithFixedDelay(this::sample, SAMPLE_INTERVAL_MILLIS, SAMPLE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void sample() {
        long now = History.now();
        processes.get().forEach((name, pid) -> sample(name, pid, now));
        sampledAt = now;
    }

    private void sample(String name, long pid, long now) {
        Map<String, Object> waits = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path each : threads) {
                String id = pid + "/" + each.getFileName();
                long total = micros(Files.readString(each.resolve("schedstat"), StandardCharsets.US_ASCII));
                long added = total - totalsByThread.getOrDefault(id, 0L);
                totalsByThread.put(id, total);
                if (added >= MIN_RECORDED_MICROS) {
                    waits.put(id, added);
                }
            }
        } catch (IOException | DirectoryIteratorException | IllegalArgumentException ended) {
            return;  // the process or the thread has ended, or the kernel has no schedstat
        }
        if (!waits.isEmpty()) {
            history.add(sampledAt, now, name, OP, waits);
        }
    }

    /** The second number of a schedstat line, the time waited for a core, converted from nanoseconds. */
    private static long micros(String line) {
        return Long.parseLong(line.strip().split(" ")[1]) / 1000;
    }

    /** The wait of the process's longest waiting thread between two moments, in microseconds. */
    static long longestWait(List<Event> delays, String process, long from, long to) {
        Map<String, Long> byThread = new HashMap<>();
        for (Event delay : delays) {
            if (delay.by().equals(process) && delay.start() <= to && delay.end() >= from) {
                delay.facts().forEach((id, micros) -> byThread.merge(id, ((Number) micros).longValue(), Long::sum));
            }
        }
        return byThread.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    @Override
    public void close() {
        executor.shutdownNow();
        try {
            executor.awaitTermination(1, TimeUnit.MINUTES);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
