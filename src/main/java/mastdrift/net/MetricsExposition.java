package mastdrift.net;

import java.util.List;
import java.util.Locale;

/** Formats the metrics of a gateway in the Prometheus text format. */
final class MetricsExposition {

    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PREFIX = "edge_node_";

    /** Counters that are exposed under their own names, in this order. */
    private static final List<ExposedCounter> COUNTERS = List.of(
            new ExposedCounter(GatewayMetrics.Counter.RELOADS_OK, "Configurations that were taken at SIGHUP."),
            new ExposedCounter(GatewayMetrics.Counter.RELOADS_FAILED, "Configurations that were not taken at SIGHUP."),
            new ExposedCounter(GatewayMetrics.Counter.ACCEPTS_FAILED, "Calls to accept that failed."),
            new ExposedCounter(GatewayMetrics.Counter.HOST_DIALS_FAILED, "Connections to hosts that did not come up."),
            new ExposedCounter(GatewayMetrics.Counter.WRITES_DEFERRED,
                    "Writes that met a shortage of the system's and were made again."),
            new ExposedCounter(GatewayMetrics.Counter.UNANSWERED,
                    "Clients' connections that were ended with a request open."),
            new ExposedCounter(GatewayMetrics.Counter.RESPONSES_STALLED,
                    "Hosts' responses that paused before any of them was passed on."),
            new ExposedCounter(GatewayMetrics.Counter.RESPONSES_CUT_OFF,
                    "Hosts' responses that were given up after their start had been passed on."),
            new ExposedCounter(GatewayMetrics.Counter.REFUSED_FOR_MEMORY,
                    "Requests for whose body no memory became free."),
            new ExposedCounter(GatewayMetrics.Counter.CLIENTS_UNVERIFIED,
                    "Requests ended since their client may have left behind unread input."),
            new ExposedCounter(GatewayMetrics.Counter.IDS_TAKEN, "Requests whose id was taken."),
            new ExposedCounter(GatewayMetrics.Counter.DEPARTED, "Requests whose client went away first."),
            new ExposedCounter(GatewayMetrics.Counter.LOOP_LATE, "Times that the event loop was late by over 0.15 s."),
            new ExposedCounter(GatewayMetrics.Counter.LOOP_LATE_STARVED,
                    "Of these: waiting for a core, most of the time."),
            new ExposedCounter(GatewayMetrics.Counter.LOOP_LATE_BUSY, "Of these: at work, most of the time."),
            new ExposedCounter(GatewayMetrics.Counter.LOOP_LATE_BLOCKED,
                    "Of these: neither, as in a call that blocks or a pause."),
            new ExposedCounter(GatewayMetrics.Counter.OFF_LOOP, "Callbacks on a wrong thread."),
            new ExposedCounter(GatewayMetrics.Counter.LOG_LINES_DROPPED,
                    "Lines of the log that its output did not take."));

    private record ExposedCounter(GatewayMetrics.Counter counter, String help) {

        private String name() {
            return counter.name().toLowerCase(Locale.ROOT) + "_total";
        }
    }

    private MetricsExposition() { }

    static String format(GatewayMetrics metrics) {
        StringBuilder text = new StringBuilder(2048);
        appendHeader(text, "requests_total", "counter", "Requests that were answered, by class and outcome.");
        for (String name : metrics.classNames()) {
            for (GatewayMetrics.RequestOutcome outcome : GatewayMetrics.RequestOutcome.values()) {
                text.append(PREFIX).append("requests_total{class=\"").append(escapeLabel(name)).append("\",outcome=\"")
                        .append(outcome.name().toLowerCase(Locale.ROOT)).append("\"} ")
                        .append(metrics.count(name, outcome)).append('\n');
            }
        }
        appendMetric(text, "attempts_total", "counter", "Attempts that were written whole to hosts.",
                metrics.count(GatewayMetrics.Counter.ATTEMPTS_WRITTEN));
        appendMetric(text, "in_flight", "gauge", "Requests that were taken and have not ended.",
                metrics.gauge(GatewayMetrics.Gauge.IN_FLIGHT));
        appendMetric(text, "hosts_known", "gauge", "Hosts in the list.",
                metrics.gauge(GatewayMetrics.Gauge.HOSTS_KNOWN));
        appendMetric(text, "hosts_excluded", "gauge", "Hosts in the list that get nothing new now.",
                metrics.gauge(GatewayMetrics.Gauge.HOSTS_EXCLUDED));
        COUNTERS.forEach(counter -> appendMetric(text, counter.name(), "counter", counter.help,
                metrics.count(counter.counter)));
        return text.toString();
    }

    private static void appendMetric(StringBuilder text, String name, String type, String help, long value) {
        appendHeader(text, name, type, help);
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private static void appendHeader(StringBuilder text, String name, String type, String help) {
        text.append("# HELP ").append(PREFIX).append(name).append(' ').append(help).append("\n# TYPE ").append(PREFIX)
                .append(name).append(' ').append(type).append('\n');
    }

    private static String escapeLabel(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
