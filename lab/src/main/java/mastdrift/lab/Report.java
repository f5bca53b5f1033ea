package mastdrift.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One page with plots, which needs nothing beside it: the library, the results and the page's own script are in it. */
final class Report {

    private static final String UPLOT = "/META-INF/resources/webjars/uplot/1.6.30/dist/";

    private Report() { }

    /** Makes the page of the results that were written to that file; throws IOException where they are none. */
    static void write(Path results, Path page) throws IOException {
        try (Stream<String> lines = Files.lines(results, StandardCharsets.UTF_8)) {
            String all = lines.filter(line -> !line.isBlank()).peek(Report::check).collect(Collectors.joining(",\n"));
            // A result may hold no text that ends the script.
            String html = resource("/report.html").replace("/*UPLOT_CSS*/", resource(UPLOT + "uPlot.min.css"))
                    .replace("/*UPLOT_JS*/", resource(UPLOT + "uPlot.iife.min.js"))
                    .replace("/*RESULTS*/", all.replace("</", "<\\/"));
            Files.writeString(page, html, StandardCharsets.UTF_8);
        } catch (java.io.UncheckedIOException e) {
            throw new IOException(results + ": " + e.getCause().getMessage(), e);
        }
    }

    private static void check(String line) {
        try (JsonParser json = new JsonFactory().createParser(line)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a line of results: " + line);
            }
            json.skipChildren();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Report.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IOException("the lab lacks " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
