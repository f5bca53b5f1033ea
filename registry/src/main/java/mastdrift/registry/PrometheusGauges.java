package mastdrift.registry;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

/** Gauges of a process, evaluated when scraped, in Prometheus text format. */
final class PrometheusGauges {

    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** Adds a gauge; returns this object for chaining. */
    PrometheusGauges add(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder().name(name).help(help).callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
        return this;
    }

    String render() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
