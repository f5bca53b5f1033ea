package mastdrift.wire;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Reads the space-separated fields of one line in order. A field is absent if it is {@code -} or if the line ends
    before it. The name that each method takes says in the exception what was expected. */
final class FieldReader {

    private final String line;
    private int position;

    FieldReader(String line) {
        this.line = line;
    }

    String line() {
        return line;
    }

    /** The next field, or null if it is absent. */
    String optionalString() {
        if (position > line.length()) {
            return null;
        }
        int end = line.indexOf(' ', position);
        if (end < 0) {
            end = line.length();
        }
        String part = line.substring(position, end);
        position = end + 1;
        return part.isEmpty() || part.equals("-") ? null : part;
    }

    String string(String name) {
        String part = optionalString();
        if (part == null) {
            throw expected(name);
        }
        return part;
    }

    long number(String name) {
        return parseNumber(string(name), name);
    }

    long number(String name, long fallback) {
        String part = optionalString();
        return part == null ? fallback : parseNumber(part, name);
    }

    Long numberOrNull(String name) {
        String part = optionalString();
        return part == null ? null : Long.valueOf(parseNumber(part, name));
    }

    /** Bytes as hex digits; an absent field is an empty array. */
    byte[] bytes(String name) {
        String part = optionalString();
        try {
            return part == null ? new byte[0] : HexFormat.of().parseHex(part);
        } catch (IllegalArgumentException e) {
            throw expected(name + ", pairs of hex digits");
        }
    }

    /** Bytes as hex digits, or {@code -} for none. */
    static String hex(byte[] bytes) {
        return bytes.length == 0 ? "-" : HexFormat.of().formatHex(bytes);
    }

    double decimal(String name, double fallback) {
        String part = optionalString();
        return part == null ? fallback : parseDecimal(part, name);
    }

    boolean bool(String name) {
        String part = string(name);
        if (!part.equals("0") && !part.equals("1")) {
            throw expected(name + ", 0 or 1");
        }
        return part.equals("1");
    }

    /** The fields up to the first that is absent. */
    List<String> remaining() {
        List<String> parts = new ArrayList<>();
        for (String part = optionalString(); part != null; part = optionalString()) {
            parts.add(part);
        }
        return parts;
    }

    MalformedLineException expected(String what) {
        return new MalformedLineException(line, what);
    }

    double parseDecimal(String part, String name) {
        try {
            double value = Double.parseDouble(part);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw expected(name + ", a number");
        }
        throw expected(name + ", a finite number");
    }

    private long parseNumber(String part, String name) {
        try {
            return Long.parseLong(part);
        } catch (NumberFormatException e) {
            throw expected(name + ", a whole number");
        }
    }
}
