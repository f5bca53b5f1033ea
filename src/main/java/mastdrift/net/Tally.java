package mastdrift.net;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import mastdrift.Balancer.Outcome;

/** The one place that counts what a gateway does: sums from the process's start on, read from any thread, and from them
    a line of the log for what came since the last. Nothing is kept for each request. */
final class Tally {

    /** What is counted, in the order of the line. REFUSED_AT_BOUND and OVERDUE are parts of the requests refused and
        failed; a DEPARTED one is in neither. UNANSWERED are connections that the gateway ended itself while a request on
        them was open. LOOP_LATE_* are the times that the loop was late, by their causes. OFF_LOOP are callbacks on a wrong
        thread. LOG_LINES_DROPPED are lines that the output did not take in time. */
    enum Count { TAKEN, REFUSED_AT_BOUND, OVERDUE, DEPARTED, CLIENTS_CAME, CLIENTS_PUSHED_OUT, UNANSWERED, ACCEPTS_FAILED,
        HOST_DIALS, HOST_DIALS_FAILED, HOST_NO_ROOM, ATTEMPTS_WRITTEN, WRITES_DEFERRED, LOOP_LATE, LOOP_LATE_STARVED,
        LOOP_LATE_BUSY, LOOP_LATE_BLOCKED, OFF_LOOP, RELOADS_OK, RELOADS_FAILED, LOG_LINES_DROPPED }

    /** How a request ended, its client still there. */
    enum Ended { SERVED, REFUSED, FAILED }

    /** Of what the highest value is kept for the line. */
    enum Level { OPEN_REQUESTS, CLIENT_CONNECTIONS, HOST_CONNECTIONS }

    /** What holds now. */
    enum Gauge { IN_FLIGHT, HOSTS_KNOWN, HOSTS_EXCLUDED }

    private final Map<Count, AtomicLong> counts = zeros(Count.class);
    private final Map<Outcome, AtomicLong> outcomes = zeros(Outcome.class);
    private final Map<Gauge, AtomicLong> gauges = zeros(Gauge.class);
    private final Map<String, Map<Ended, AtomicLong>> requests = new LinkedHashMap<>();
    // Of the log's line alone, on the gateway's loop.
    private final Map<Level, Integer> levels = new EnumMap<>(Level.class);
    private final Map<Enum<?>, Long> told = new HashMap<>();

    /** Every class is there from the start, at 0. */
    Tally(List<String> classNames) {
        classNames.forEach(name -> requests.put(name, zeros(Ended.class)));
    }

    private static <E extends Enum<E>> Map<E, AtomicLong> zeros(Class<E> type) {
        Map<E, AtomicLong> zeros = new EnumMap<>(type);  // filled here and never again, so that all threads may read it
        Arrays.stream(type.getEnumConstants()).forEach(each -> zeros.put(each, new AtomicLong()));
        return zeros;
    }

    void add(Count count) {
        counts.get(count).incrementAndGet();
    }

    void add(Outcome outcome) {
        outcomes.get(outcome).incrementAndGet();
    }

    void add(String className, Ended ended) {
        requests.get(className).get(ended).incrementAndGet();
    }

    void level(Level level, int value) {
        levels.merge(level, value, Math::max);
    }

    void set(Gauge gauge, long value) {
        gauges.get(gauge).set(value);
    }

    long sum(Count count) {
        return counts.get(count).get();
    }

    long sum(String className, Ended ended) {
        return requests.get(className).get(ended).get();
    }

    long now(Gauge gauge) {
        return gauges.get(gauge).get();
    }

    Iterable<String> classNames() {
        return requests.keySet();
    }

    /** The sums since the last such line, those above 0, and begins anew; empty where nothing was counted. */
    String line() {
        String since = text(Count.values(), count -> sum(count));
        String ended = text(Ended.values(), end -> requests.values().stream().mapToLong(sums -> sums.get(end).get()).sum());
        String attempts = text(Outcome.values(), outcome -> outcomes.get(outcome).get());
        String most = levels.entrySet().stream().map(level -> name(level.getKey()) + "=" + level.getValue())
                .collect(Collectors.joining(" "));
        levels.clear();
        return since.isEmpty() && ended.isEmpty() && attempts.isEmpty() ? ""
                : "counts " + (since + " " + ended).strip() + "; attempts " + attempts + "; most at once " + most;
    }

    private interface Sum<E> {
        long of(E each);
    }

    private <E extends Enum<E>> String text(E[] all, Sum<E> sum) {
        StringBuilder text = new StringBuilder();
        for (E each : all) {
            long now = sum.of(each);
            Long before = told.put(each, now);
            long since = now - (before == null ? 0 : before);
            if (since > 0) {
                text.append(text.length() == 0 ? "" : " ").append(name(each)).append('=').append(since);
            }
        }
        return text.toString();
    }

    private static String name(Enum<?> each) {
        return each.name().toLowerCase(Locale.ROOT);
    }
}
