package mastdrift.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.Writer;
import java.util.List;

/** Results as JSON Lines: one line a day with its figures, and one a second of it. The same results give the same bytes. */
final class Journal {

    private static final JsonFactory JSON = new JsonFactory();

    private Journal() { }

    static void write(Writer to, List<Result> results) throws IOException {
        for (Result result : results) {
            day(to, result);
            for (Meter.Window window : result.windows()) {
                window(to, result, window);
            }
        }
    }

    private interface Body {
        void write(JsonGenerator json) throws IOException;
    }

    private static void line(Writer to, Body body) throws IOException {
        JsonGenerator json = JSON.createGenerator(to);
        json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        json.writeStartObject();
        body.write(json);
        json.writeEndObject();
        json.close();
        to.write('\n');
    }

    private static void day(Writer to, Result result) throws IOException {
        line(to, json -> {
            json.writeStringField("event", "day");
            json.writeStringField("build", result.build());
            json.writeStringField("day", result.day());
            json.writeNumberField("seed", result.seed());
            number(json, "figure", result.figure());
            number(json, "whole", result.whole());
            number(json, "worst_window", result.worstWindow());
            number(json, "worst_class", result.worstClass());
            json.writeNumberField("offered", result.offered());
            json.writeNumberField("served", result.served());
            json.writeNumberField("late", result.late());
            json.writeNumberField("refused", result.refused());
            json.writeNumberField("failed", result.failed());
            json.writeNumberField("attempts", result.attempts());
            json.writeNumberField("probes", result.probes());
            json.writeNumberField("dials", result.dials());
            json.writeNumberField("list_calls", result.listCalls());
            number(json, "wasted", result.wasted());
            json.writeNumberField("crossed", result.crossed());
            json.writeNumberField("crossed_regions", result.far());
            json.writeNumberField("into_nothing", result.intoNothing());
            number(json, "left_ms", result.leftMs());
            json.writeArrayFieldStart("breaches");
            for (Referee.Breach breach : result.breaches()) {
                json.writeString(breach.toString());
            }
            json.writeEndArray();
        });
    }

    private static void window(Writer to, Result result, Meter.Window window) throws IOException {
        line(to, json -> {
            json.writeStringField("event", "window");
            json.writeStringField("build", result.build());
            json.writeNumberField("seed", result.seed());
            json.writeNumberField("second", window.second());
            json.writeNumberField("offered", window.offered());
            json.writeNumberField("served", window.served());
            json.writeNumberField("late", window.late());
            json.writeNumberField("refused", window.refused());
            json.writeNumberField("failed", window.failed());
            number(json, "p50_ms", window.p50());
            number(json, "p95_ms", window.p95());
            number(json, "p99_ms", window.p99());
            json.writeNumberField("attempts", window.attempts());
            json.writeNumberField("probes", window.probes());
            json.writeNumberField("dials", window.dials());
            json.writeNumberField("list_calls", window.listCalls());
            number(json, "held_mean", window.heldMean());
            number(json, "held_most", window.heldMost());
            json.writeNumberField("choked", window.choked());
            json.writeNumberField("hosts_up", window.hostsUp());
            json.writeNumberField("gateways_up", window.gatewaysUp());
            json.writeArrayFieldStart("load_tenths");
            for (int load : result.loads().get(window.second())) {
                json.writeNumber(load);
            }
            json.writeEndArray();
        });
    }

    /** Four digits behind the point; null for what is no number. */
    private static void number(JsonGenerator json, String name, double value) throws IOException {
        if (Double.isFinite(value)) {
            json.writeNumberField(name, Math.round(value * 1e4) / 1e4);
        } else {
            json.writeNullField(name);
        }
    }
}
