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
final class RunDelays implements AutoCloseable {

    /** The op of its events in the history, whose facts are microseconds by thread. */
    static final String OP = "run_delay";
    private static final int EVERY_MILLIS = 50;
    private static final long LEAST_MICROS = 1000;  // shorter waits are usual

    private final Supplier<Map<String, Long>> processes;
    private final History history;
    private final Map<String, Long> sums = new HashMap<>();  // microseconds up to the last sample, by process and thread
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread made = new Thread(task, "run-delays");
        made.setDaemon(true);
        return made;
    });
    private long lookedAt = History.now();

    /** {@code processes} gives the names and ids of the processes, and is asked at each sample. */
    RunDelays(Supplier<Map<String, Long>> processes, History history) {
        this.processes = processes;
        this.history = history;
        look();
        thread.scheduleWithFixedDelay(this::look, EVERY_MILLIS, EVERY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void look() {
        long now = History.now();
        processes.get().forEach((name, pid) -> look(name, pid, now));
        lookedAt = now;
    }

    private void look(String name, long pid, long now) {
        Map<String, Object> waited = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path each : threads) {
                String id = pid + "/" + each.getFileName();
                long sum = micros(Files.readString(each.resolve("schedstat"), StandardCharsets.US_ASCII));
                long since = sum - sums.getOrDefault(id, 0L);
                sums.put(id, sum);
                if (since >= LEAST_MICROS) {
                    waited.put(id, since);
                }
            }
        } catch (IOException | DirectoryIteratorException | IllegalArgumentException ended) {
            return;  // the process or the thread has ended, or the kernel has no schedstat
        }
        if (!waited.isEmpty()) {
            history.add(lookedAt, now, name, OP, waited);
        }
    }

    /** The second number of a schedstat line, the time waited for a core, converted from nanoseconds. */
    private static long micros(String line) {
        return Long.parseLong(line.strip().split(" ")[1]) / 1000;
    }

    /** The wait of the process's longest waiting thread between two moments, in microseconds. */
    static long longest(List<Event> delays, String process, long from, long to) {
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
        thread.shutdownNow();
        try {
            thread.awaitTermination(1, TimeUnit.MINUTES);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
