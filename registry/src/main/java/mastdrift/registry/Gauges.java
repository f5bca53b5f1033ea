package mastdrift.registry;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

/** A process's figures, looked at when they are asked for, in the text form of Prometheus. */
final class Gauges {

    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** The same, for chains. */
    Gauges put(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder().name(name).help(help).callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
        return this;
    }

    String text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
