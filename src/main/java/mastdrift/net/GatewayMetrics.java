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

/** The metrics of a gateway: totals since the process's start, which any thread may read, and a line of the log with
    what changed since the last such line. Uses no memory for each request. */
final class GatewayMetrics {

    /** Counters, in their order in the log line. REFUSED_AT_BOUND and OVERDUE are also counted as requests refused and
        failed; DEPARTED, requests whose client disconnected, as neither. UNANSWERED counts connections that the gateway
        closed itself while a request on them was open. LOOP_LATE_* splits LOOP_LATE by cause. OFF_LOOP counts callbacks
        on a wrong thread. LOG_LINES_DROPPED counts lines that the output did not accept in time. */
    enum Counter { TAKEN, REFUSED_AT_BOUND, OVERDUE, DEPARTED, CLIENTS_CAME, CLIENTS_PUSHED_OUT, UNANSWERED, ACCEPTS_FAILED,
        HOST_DIALS, HOST_DIALS_FAILED, HOST_NO_ROOM, ATTEMPTS_WRITTEN, WRITES_DEFERRED, LOOP_LATE, LOOP_LATE_STARVED,
        LOOP_LATE_BUSY, LOOP_LATE_BLOCKED, OFF_LOOP, RELOADS_OK, RELOADS_FAILED, LOG_LINES_DROPPED }

    /** How a request ended whose client was still connected. */
    enum RequestOutcome { SERVED, REFUSED, FAILED }

    /** Values whose peak since the last log line is kept. */
    enum Peak { OPEN_REQUESTS, CLIENT_CONNECTIONS, HOST_CONNECTIONS }

    /** Current values. */
    enum Gauge { IN_FLIGHT, HOSTS_KNOWN, HOSTS_EXCLUDED }

    private final Map<Counter, AtomicLong> counts = zeros(Counter.class);
    private final Map<Outcome, AtomicLong> outcomes = zeros(Outcome.class);
    private final Map<Gauge, AtomicLong> gauges = zeros(Gauge.class);
    private final Map<String, Map<RequestOutcome, AtomicLong>> requests = new LinkedHashMap<>();
    // For the log line only, on the gateway's event loop.
    private final Map<Peak, Integer> levels = new EnumMap<>(Peak.class);
    private final Map<Enum<?>, Long> told = new HashMap<>();

    /** Creates metrics with every request class at 0. */
    GatewayMetrics(List<String> classNames) {
        classNames.forEach(name -> requests.put(name, zeros(RequestOutcome.class)));
    }

    private static <E extends Enum<E>> Map<E, AtomicLong> zeros(Class<E> type) {
        Map<E, AtomicLong> zeros = new EnumMap<>(type);  // filled only here, so that all threads may read it
        Arrays.stream(type.getEnumConstants()).forEach(each -> zeros.put(each, new AtomicLong()));
        return zeros;
    }

    void increment(Counter count) {
        counts.get(count).incrementAndGet();
    }

    void increment(Outcome outcome) {
        outcomes.get(outcome).incrementAndGet();
    }

    void increment(String className, RequestOutcome ended) {
        requests.get(className).get(ended).incrementAndGet();
    }

    void recordPeak(Peak level, int value) {
        levels.merge(level, value, Math::max);
    }

    void setGauge(Gauge gauge, long value) {
        gauges.get(gauge).set(value);
    }

    long count(Counter count) {
        return counts.get(count).get();
    }

    long count(String className, RequestOutcome ended) {
        return requests.get(className).get(ended).get();
    }

    long gauge(Gauge gauge) {
        return gauges.get(gauge).get();
    }

    Iterable<String> classNames() {
        return requests.keySet();
    }

    /** Returns the counts above 0 since the last such line, and the peaks, which start again; empty if nothing was
        counted. */
    String logLine() {
        String since = text(Counter.values(), count -> count(count));
        String ended = text(RequestOutcome.values(), end -> requests.values().stream().mapToLong(sums -> sums.get(end).get()).sum());
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
