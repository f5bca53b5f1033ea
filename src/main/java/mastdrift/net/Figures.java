package mastdrift.net;

import java.util.Locale;

/** The counts of a gateway in the Prometheus text format. */
final class Figures {

    static final String TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PREFIX = "edge_node_";

    private Figures() { }

    static String text(Tally tally) {
        StringBuilder text = new StringBuilder(2048);
        head(text, "requests_total", "counter", "Requests that were answered, by class and outcome.");
        for (String name : tally.classNames()) {
            for (Tally.Ended ended : Tally.Ended.values()) {
                text.append(PREFIX).append("requests_total{class=\"").append(escaped(name)).append("\",outcome=\"")
                        .append(ended.name().toLowerCase(Locale.ROOT)).append("\"} ").append(tally.sum(name, ended))
                        .append('\n');
            }
        }
        figure(text, "attempts_total", "counter", "Attempts that were written whole to hosts.",
                tally.sum(Tally.Count.ATTEMPTS_WRITTEN));
        figure(text, "in_flight", "gauge", "Requests that were taken and have not ended.",
                tally.now(Tally.Gauge.IN_FLIGHT));
        figure(text, "hosts_known", "gauge", "Hosts in the list.", tally.now(Tally.Gauge.HOSTS_KNOWN));
        figure(text, "hosts_excluded", "gauge", "Hosts in the list that get nothing new now.",
                tally.now(Tally.Gauge.HOSTS_EXCLUDED));
        figure(text, "reloads_ok_total", "counter", "Configurations that were taken at SIGHUP.",
                tally.sum(Tally.Count.RELOADS_OK));
        figure(text, "reloads_failed_total", "counter", "Configurations that were not taken at SIGHUP.",
                tally.sum(Tally.Count.RELOADS_FAILED));
        return text.toString();
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
