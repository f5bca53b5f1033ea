package mastdrift.rig;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import mastdrift.common.Json;

/** The recorded history of a run: calls, faults and observations with their start and end on the clock that all
    processes of a machine share ({@code CLOCK_MONOTONIC}, microseconds). Held in memory for the checkers and written as
    JSON Lines. */
final class History {

    /** The end of a call whose outcome is unknown. */
    static final long NEVER = Long.MAX_VALUE;

    /**
     * One call, fault or observation.
     *
     * @param start in microseconds
     * @param end in microseconds; {@link #NEVER} if the outcome is unknown
     * @param by the process or client that made it
     * @param op the operation or kind of event
     * @param facts all other fields
     */
    record Event(long start, long end, String by, String op, Map<String, Object> facts) {

        String text(String name) {
            Object value = facts.get(name);
            return value == null ? null : value.toString();
        }

        long number(String name, long defaultValue) {
            return facts.get(name) instanceof Number number ? number.longValue() : defaultValue;
        }

        boolean isKnown() {
            return end != NEVER;
        }

        String toJsonLine() {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("start", start);
            all.put("end", isKnown() ? end : null);
            all.put("by", by);
            all.put("op", op);
            all.putAll(facts);
            return Json.encode(all);
        }

        static Event parse(String line) {
            Map<String, Object> all = Json.parse(line);
            Object end = all.remove("end");
            long start = ((Number) all.remove("start")).longValue();
            return new Event(start, end instanceof Number number ? number.longValue() : NEVER, all.remove("by").toString(),
                    all.remove("op").toString(), all);
        }
    }

    private final List<Event> events = new ArrayList<>();

    static long now() {
        return System.nanoTime() / 1000;
    }

    synchronized void add(long start, long end, String by, String op, Map<String, Object> facts) {
        events.add(new Event(start, end, by, op, facts));
    }

    /** Adds the events of a file that another process wrote in the same form; skips a last line that is incomplete. */
    void addAll(Path file) {
        if (!Files.exists(file)) {
            return;
        }
        try (Stream<String> lines = Files.lines(file, StandardCharsets.UTF_8)) {
            lines.filter(line -> line.endsWith("}")).map(Event::parse).forEach(event -> {
                synchronized (this) {
                    events.add(event);
                }
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** All events, ordered by start. */
    synchronized List<Event> events() {
        return events.stream().sorted(Comparator.comparingLong(Event::start)).toList();
    }

    /** The events with that op, ordered by start. */
    List<Event> events(String op) {
        return events().stream().filter(event -> event.op.equals(op)).toList();
    }

    void write(Path file) throws IOException {
        try (BufferedWriter to = Files.newBufferedWriter(file, StandardCharsets.UTF_8)) {
            for (Event event : events()) {
                to.write(event.toJsonLine());
                to.write('\n');
            }
        }
    }

    static History read(Path file) throws IOException {
        History history = new History();
        history.addAll(file);
        return history;
    }
}
