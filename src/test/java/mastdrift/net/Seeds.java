package mastdrift.net;

import java.util.Arrays;
import java.util.stream.LongStream;

/** The seeds of a test that draws what it plays. */
final class Seeds {

    private Seeds() { }

    /** The seeds that a system property names, as in {@code 1..50} or {@code 2,11}, or else the given ones. */
    static LongStream of(String property, String otherwise) {
        String seeds = System.getProperty(property, otherwise);
        if (seeds.contains("..")) {
            String[] bounds = seeds.split("\\.\\.");
            return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
        }
        return Arrays.stream(seeds.split(",")).mapToLong(Long::parseLong);
    }
}
