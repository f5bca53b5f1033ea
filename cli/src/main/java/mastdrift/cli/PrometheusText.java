package mastdrift.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses metrics in the Prometheus text format, version 0.0.4. */
final class PrometheusText {

    /** One sample line: metric name, labels in their order, and value. */
    record Sample(String name, Map<String, String> labels, double value) { }

    private static final Pattern LINE = Pattern.compile("([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\\{(.*)\\})?\\s+(\\S+)(?:\\s+-?\\d+)?");
    private static final Pattern LABEL = Pattern.compile("([a-zA-Z_]\\w*)=\"((?:[^\"\\\\]|\\\\.)*)\"(?:,|$)");

    private PrometheusText() { }

    /** Returns the samples of a text; throws IllegalArgumentException with the first malformed line in its message. */
    static List<Sample> parse(String text) {
        List<Sample> samples = new ArrayList<>();
        for (String line : text.lines().toList()) {
            if (!line.isBlank() && !line.startsWith("#")) {
                samples.add(parseLine(line));
            }
        }
        return samples;
    }

    private static Sample parseLine(String line) {
        Matcher lineMatcher = LINE.matcher(line.strip());
        if (!lineMatcher.matches()) {
            throw new IllegalArgumentException("not a sample line: " + line);
        }
        Map<String, String> labels = new LinkedHashMap<>();
        String labelText = lineMatcher.group(2) == null ? "" : lineMatcher.group(2);
        Matcher labelMatcher = LABEL.matcher(labelText);
        int end = 0;
        while (end < labelText.length() && labelMatcher.find(end) && labelMatcher.start() == end) {
            labels.put(labelMatcher.group(1),
                    labelMatcher.group(2).replace("\\n", "\n").replace("\\\"", "\"").replace("\\\\", "\\"));
            end = labelMatcher.end();
        }
        if (end < labelText.length()) {
            throw new IllegalArgumentException("malformed labels: " + line);
        }
        String value = lineMatcher.group(3).replace("+Inf", "Infinity").replace("-Inf", "-Infinity");
        try {
            return new Sample(lineMatcher.group(1), labels, Double.parseDouble(value));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("malformed value: " + line, e);
        }
    }

    /** Returns the sum of all samples with that metric name, over all labels; NaN if there is none. */
    static double sum(List<Sample> samples, String name) {
        return samples.stream().filter(sample -> sample.name().equals(name)).mapToDouble(Sample::value)
                .reduce((one, other) -> one + other).orElse(Double.NaN);
    }
}
