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

    /** Counters, in their order in the log line; the log and the metrics have their lower-cased names. TAKEN counts the
        requests that were submitted, REFUSED_FOR_MEMORY those for whose body no memory became free, CLIENTS_UNVERIFIED
        those ended since their client had sent more than may be held and may have left behind it, and IDS_TAKEN those
        whose id is taken. REFUSED_AT_BOUND and OVERDUE are also counted as requests refused and failed; DEPARTED,
        requests whose client disconnected, as neither. CLIENTS_CAME counts client connections, CLIENTS_PUSHED_OUT those
        closed to make room for others, and UNANSWERED those that the gateway closed itself while a request on them was
        open. HOST_DIALS counts attempts to connect to hosts, HOST_NO_ROOM attempts of requests for which the connection
        pool had no room. RESPONSES_STALLED counts hosts' responses that paused for long before any of them was passed
        on, RESPONSES_CUT_OFF those that were given up after their start had been. LOOP_LATE_* splits LOOP_LATE by cause.
        OFF_LOOP counts callbacks on a wrong thread. LOG_LINES_DROPPED counts lines that the output did not accept in
        time. */
    enum Counter { TAKEN, REFUSED_AT_BOUND, REFUSED_FOR_MEMORY, CLIENTS_UNVERIFIED, IDS_TAKEN, OVERDUE, DEPARTED,
        CLIENTS_CAME, CLIENTS_PUSHED_OUT, UNANSWERED, ACCEPTS_FAILED, HOST_DIALS, HOST_DIALS_FAILED, HOST_NO_ROOM,
        ATTEMPTS_WRITTEN, RESPONSES_STALLED, RESPONSES_CUT_OFF, WRITES_DEFERRED, LOOP_LATE, LOOP_LATE_STARVED,
        LOOP_LATE_BUSY, LOOP_LATE_BLOCKED, OFF_LOOP, RELOADS_OK, RELOADS_FAILED, LOG_LINES_DROPPED }

    /** How a request ended whose client was still connected. */
    enum RequestOutcome { SERVED, REFUSED, FAILED }

    /** Values whose peak since the last log line is kept. HELD_KIB is what the pools for messages count, BUFFERS_KIB what
        is allocated for them; HEAP_KIB includes garbage. */
    enum Peak { OPEN_REQUESTS, CLIENT_CONNECTIONS, HOST_CONNECTIONS, HELD_KIB, BUFFERS_KIB, HEAP_KIB, RESIDENT_KIB }

    /** Current values. */
    enum Gauge { IN_FLIGHT, HOSTS_KNOWN, HOSTS_EXCLUDED }

    private final Map<Counter, AtomicLong> counters = zeros(Counter.class);
    private final Map<Outcome, AtomicLong> outcomes = zeros(Outcome.class);
    private final Map<Gauge, AtomicLong> gauges = zeros(Gauge.class);
    private final Map<String, Map<RequestOutcome, AtomicLong>> requests = new LinkedHashMap<>();
    // For the log line only, on the gateway's event loop.
    private final Map<Peak, Integer> peaks = new EnumMap<>(Peak.class);
    private final Map<Enum<?>, Long> lastLogged = new HashMap<>();

    /** Creates metrics with every request class at 0. */
    GatewayMetrics(List<String> classNames) {
        classNames.forEach(name -> requests.put(name, zeros(RequestOutcome.class)));
    }

    private static <E extends Enum<E>> Map<E, AtomicLong> zeros(Class<E> type) {
        Map<E, AtomicLong> zeros = new EnumMap<>(type);  // filled only here, so that all threads may read it
        Arrays.stream(type.getEnumConstants()).forEach(each -> zeros.put(each, new AtomicLong()));
        return zeros;
    }

    void increment(Counter counter) {
        counters.get(counter).incrementAndGet();
    }

    void increment(Outcome outcome) {
        outcomes.get(outcome).incrementAndGet();
    }

    void increment(String className, RequestOutcome outcome) {
        requests.get(className).get(outcome).incrementAndGet();
    }

    void recordPeak(Peak peak, int value) {
        peaks.merge(peak, value, Math::max);
    }

    void setGauge(Gauge gauge, long value) {
        gauges.get(gauge).set(value);
    }

    long count(Counter counter) {
        return counters.get(counter).get();
    }

    long count(String className, RequestOutcome outcome) {
        return requests.get(className).get(outcome).get();
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
        String counted = changes(Counter.values(), counter -> count(counter));
        String ended = changes(RequestOutcome.values(),
                outcome -> requests.values().stream().mapToLong(sums -> sums.get(outcome).get()).sum());
        String attempts = changes(Outcome.values(), outcome -> outcomes.get(outcome).get());
        String highest = peaks.entrySet().stream().map(peak -> outerName(peak.getKey()) + "=" + peak.getValue())
                .collect(Collectors.joining(" "));
        peaks.clear();
        return counted.isEmpty() && ended.isEmpty() && attempts.isEmpty() ? ""
                : "counts " + (counted + " " + ended).strip() + "; attempts " + attempts + "; most at once " + highest;
    }

    private interface Total<E> {
        long of(E each);
    }

    private <E extends Enum<E>> String changes(E[] constants, Total<E> total) {
        StringBuilder text = new StringBuilder();
        for (E constant : constants) {
            long now = total.of(constant);
            Long previous = lastLogged.put(constant, now);
            long change = now - (previous == null ? 0 : previous);
            if (change > 0) {
                text.append(text.length() == 0 ? "" : " ").append(outerName(constant)).append('=').append(change);
            }
        }
        return text.toString();
    }

    private static String outerName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
