package mastdrift.rig;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import mastdrift.common.Json;
import org.HdrHistogram.Histogram;

/** Writes self-contained HTML pages: of all runs in a folder, or of the benchmark of the list service. */
final class Report {

    private static final String UPLOT = "/META-INF/resources/webjars/uplot/1.6.30/dist/";

    private Report() { }

    /** Writes the page of all runs in the folder; throws IOException if there are none. */
    static void write(Path folder, Path page) throws IOException {
        List<Path> histories;
        try (Stream<Path> all = Files.list(folder)) {
            histories = all.map(each -> each.resolve("history.jsonl")).filter(Files::exists).sorted(
                    java.util.Comparator.comparingLong(Report::seed)).toList();
        }
        if (histories.isEmpty()) {
            throw new IOException("no history.jsonl of a run in " + folder);
        }
        List<String> summaries = new ArrayList<>();
        for (Path history : histories) {
            summaries.add(Json.encode(summary(History.read(history))).replace("</", "<\\/"));
        }
        writePage("/rig.html", summaries, page);
    }

    /** Writes the page of the list service's benchmark; {@code figures} has a JSON object for each size. */
    static void writeBenchmark(List<String> figures, Path page) throws IOException {
        writePage("/crowd.html", figures, page);
    }

    private static void writePage(String template, List<String> data, Path page) throws IOException {
        String html = resource(template).replace("/*UPLOT_CSS*/", resource(UPLOT + "uPlot.min.css"))
                .replace("/*UPLOT_JS*/", resource(UPLOT + "uPlot.iife.min.js"))
                .replace("/*PLAYS*/", String.join(",\n", data));
        Files.writeString(page, html, StandardCharsets.UTF_8);
    }

    private static long seed(Path history) {
        String name = history.getParent().getFileName().toString();
        return name.startsWith("seed-") ? Long.parseLong(name.substring(5)) : 0;
    }

    /** What the page shows of one run; times are seconds from the start of the load. */
    private static Map<String, Object> summary(History history) {
        History.Event began = history.events("began").get(0);
        Map<String, Object> run = new LinkedHashMap<>(began.facts());
        history.events("verdicts").forEach(event -> run.putAll(event.facts()));
        run.put("faults", bands(history.events("fault"), began.start()));
        List<History.Event> duties = new ArrayList<>(history.events("view"));
        duties.addAll(history.events("granted"));
        run.put("held", bands(duties, began.start()));
        run.put("windows", windows(history.events("request"), began));
        return run;
    }

    private static List<Map<String, Object>> bands(List<History.Event> events, long zero) {
        List<Map<String, Object>> bands = new ArrayList<>();
        for (History.Event event : events) {
            Map<String, Object> band = new LinkedHashMap<>(event.facts());
            band.put("by", event.by());
            band.put("op", event.op());
            band.put("from", (event.start() - zero) / 1e6);
            band.put("to", event.isKnown() ? (event.end() - zero) / 1e6 : null);
            bands.add(band);
        }
        return bands;
    }

    private static List<Map<String, Object>> windows(List<History.Event> requests, History.Event began) {
        TreeMap<Long, Map<String, Object>> windows = new TreeMap<>();
        Map<Long, Histogram> times = new LinkedHashMap<>();
        for (History.Event request : requests) {
            long second = (request.start() - began.start()) / 1_000_000;
            Map<String, Object> window = windows.computeIfAbsent(second, s -> new LinkedHashMap<>(Map.of("second", s)));
            String outcome = request.text("outcome");
            long micros = request.end() - request.start();
            if (outcome.equals("served")) {
                times.computeIfAbsent(second, s -> new Histogram(60_000_000L, 3)).recordValue(Math.min(micros, 60_000_000L));
                outcome = micros > LoadGenerator.DEADLINE_MILLIS * 1000L ? "late" : "served";
            } else if (!outcome.equals("refused")) {
                outcome = "failed";
            }
            window.merge(outcome, 1, (a, b) -> (Integer) a + (Integer) b);
        }
        times.forEach((second, histogram) -> {
            windows.get(second).put("p50", histogram.getValueAtPercentile(50) / 1000.0);
            windows.get(second).put("p99", histogram.getValueAtPercentile(99) / 1000.0);
        });
        return List.copyOf(windows.values());
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Report.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IOException("resource " + name + " is not on the class path");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
