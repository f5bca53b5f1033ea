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

/** Writes down how long threads of processes were ready to run and waited for a core, as the kernel accounts it, so that a
    checker can tell a process that was starved from one that was slow by itself. */
final class RunDelays implements AutoCloseable {

    /** The events in the history; their facts are microseconds by thread. */
    static final String OP = "run_delay";
    private static final int EVERY_MILLIS = 50;
    private static final long LEAST_MICROS = 1000;  // shorter waits are every process's

    private final Supplier<Map<String, Long>> processes;
    private final History history;
    private final Map<String, Long> sums = new HashMap<>();  // by process and thread, up to the last look
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread made = new Thread(task, "run-delays");
        made.setDaemon(true);
        return made;
    });
    private long lookedAt = History.now();

    /** {@code processes} names those to be looked at, with their ids, anew at each look. */
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
            return;  // the process or the thread has ended, or the kernel does not tell
        }
        if (!waited.isEmpty()) {
            history.add(lookedAt, now, name, OP, waited);
        }
    }

    /** The second number of a line of schedstat, which is in nanoseconds. */
    private static long micros(String line) {
        return Long.parseLong(line.strip().split(" ")[1]) / 1000;
    }

    /** How long the thread of that process that waited longest did so between two moments, in microseconds. */
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
