package mastdrift.net;

import java.util.Locale;

/** Formats the metrics of a gateway in the Prometheus text format. */
final class MetricsExposition {

    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PREFIX = "edge_node_";

    private MetricsExposition() { }

    static String format(GatewayMetrics tally) {
        StringBuilder text = new StringBuilder(2048);
        head(text, "requests_total", "counter", "Requests that were answered, by class and outcome.");
        for (String name : tally.classNames()) {
            for (GatewayMetrics.RequestOutcome ended : GatewayMetrics.RequestOutcome.values()) {
                text.append(PREFIX).append("requests_total{class=\"").append(escaped(name)).append("\",outcome=\"")
                        .append(ended.name().toLowerCase(Locale.ROOT)).append("\"} ").append(tally.count(name, ended))
                        .append('\n');
            }
        }
        figure(text, "attempts_total", "counter", "Attempts that were written whole to hosts.",
                tally.count(GatewayMetrics.Counter.ATTEMPTS_WRITTEN));
        figure(text, "in_flight", "gauge", "Requests that were taken and have not ended.",
                tally.gauge(GatewayMetrics.Gauge.IN_FLIGHT));
        figure(text, "hosts_known", "gauge", "Hosts in the list.", tally.gauge(GatewayMetrics.Gauge.HOSTS_KNOWN));
        figure(text, "hosts_excluded", "gauge", "Hosts in the list that get nothing new now.",
                tally.gauge(GatewayMetrics.Gauge.HOSTS_EXCLUDED));
        figure(text, "reloads_ok_total", "counter", "Configurations that were taken at SIGHUP.",
                tally.count(GatewayMetrics.Counter.RELOADS_OK));
        figure(text, "reloads_failed_total", "counter", "Configurations that were not taken at SIGHUP.",
                tally.count(GatewayMetrics.Counter.RELOADS_FAILED));
        count(text, tally, GatewayMetrics.Counter.ACCEPTS_FAILED, "Calls to accept that failed.");
        count(text, tally, GatewayMetrics.Counter.HOST_DIALS_FAILED, "Connections to hosts that did not come up.");
        count(text, tally, GatewayMetrics.Counter.WRITES_DEFERRED, "Writes that met a shortage of the system's and were made again.");
        count(text, tally, GatewayMetrics.Counter.UNANSWERED, "Clients' connections that were ended with a request open.");
        count(text, tally, GatewayMetrics.Counter.DEPARTED, "Requests whose client went away first.");
        count(text, tally, GatewayMetrics.Counter.LOOP_LATE, "Times that the event loop was late by over 0.15 s.");
        count(text, tally, GatewayMetrics.Counter.LOOP_LATE_STARVED, "Of these: waiting for a core, most of the time.");
        count(text, tally, GatewayMetrics.Counter.LOOP_LATE_BUSY, "Of these: at work, most of the time.");
        count(text, tally, GatewayMetrics.Counter.LOOP_LATE_BLOCKED, "Of these: neither, as in a call that blocks or a pause.");
        count(text, tally, GatewayMetrics.Counter.OFF_LOOP, "Callbacks on a wrong thread.");
        count(text, tally, GatewayMetrics.Counter.LOG_LINES_DROPPED, "Lines of the log that its output did not take.");
        return text.toString();
    }

    private static void count(StringBuilder text, GatewayMetrics tally, GatewayMetrics.Counter count, String help) {
        figure(text, count.name().toLowerCase(Locale.ROOT) + "_total", "counter", help, tally.count(count));
    }

    private static void figure(StringBuilder text, String name, String type, String help, long value) {
        head(text, name, type, help);
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private static void head(StringBuilder text, String name, String type, String help) {
        text.append("# HELP ").append(PREFIX).append(name).append(' ').append(help).append("\n# TYPE ").append(PREFIX)
                .append(name).append(' ').append(type).append('\n');
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
