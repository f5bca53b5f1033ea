package mastdrift.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Figures in the Prometheus text format, version 0.0.4, as values. */
final class Samples {

    /** One line: a name, its labels in their order, and its value. */
    record Sample(String name, Map<String, String> labels, double value) { }

    private static final Pattern LINE = Pattern.compile("([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\\{(.*)\\})?\\s+(\\S+)(?:\\s+-?\\d+)?");
    private static final Pattern LABEL = Pattern.compile("([a-zA-Z_]\\w*)=\"((?:[^\"\\\\]|\\\\.)*)\"(?:,|$)");

    private Samples() { }

    /** Throws IllegalArgumentException that names the first line that is none. */
    static List<Sample> of(String text) {
        List<Sample> samples = new ArrayList<>();
        for (String line : text.lines().toList()) {
            if (!line.isBlank() && !line.startsWith("#")) {
                samples.add(sample(line));
            }
        }
        return samples;
    }

    private static Sample sample(String line) {
        Matcher whole = LINE.matcher(line.strip());
        if (!whole.matches()) {
            throw new IllegalArgumentException("no figure: " + line);
        }
        Map<String, String> labels = new LinkedHashMap<>();
        String inside = whole.group(2) == null ? "" : whole.group(2);
        Matcher label = LABEL.matcher(inside);
        int end = 0;
        while (end < inside.length() && label.find(end) && label.start() == end) {
            labels.put(label.group(1), label.group(2).replace("\\n", "\n").replace("\\\"", "\"").replace("\\\\", "\\"));
            end = label.end();
        }
        if (end < inside.length()) {
            throw new IllegalArgumentException("no labels: " + line);
        }
        String value = whole.group(3).replace("+Inf", "Infinity").replace("-Inf", "-Infinity");
        try {
            return new Sample(whole.group(1), labels, Double.parseDouble(value));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("no value: " + line, e);
        }
    }

    /** The sum of all samples of that name; NaN where there is none. */
    static double sum(List<Sample> samples, String name) {
        return samples.stream().filter(sample -> sample.name().equals(name)).mapToDouble(Sample::value)
                .reduce((one, other) -> one + other).orElse(Double.NaN);
    }
}
