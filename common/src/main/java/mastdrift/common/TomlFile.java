package mastdrift.common;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A TOML file that is read key by key. Every key that is unknown, of a wrong type or out of its bounds is named with file
    and line, all of them at once. */
public final class TomlFile {

    /** All that is wrong with a file, a line each. */
    public static final class ValidationException extends Exception {

        private static final long serialVersionUID = 1L;
        private final transient List<String> errors;

        ValidationException(List<String> lines) {
            super(String.join(System.lineSeparator(), lines));
            this.errors = List.copyOf(lines);
        }

        public List<String> errors() {
            return errors;
        }
    }

    private final String file;
    private final List<String> faults = new ArrayList<>();
    private final TomlTable root;

    private TomlFile(String file, TomlParseResult root) throws ValidationException {
        this.file = file;
        this.root = root;
        root.errors().forEach(error -> faults.add(file + ":" + error.position().line() + ": " + error.getMessage()));
        throwIfInvalid();
    }

    /** Throws Faults for what is no TOML, IOException for a file that can't be read. */
    public static TomlFile read(Path file) throws ValidationException, IOException {
        return new TomlFile(file.toString(), Toml.parse(file));
    }

    /** The same for a text. */
    public static TomlFile parse(String text, String name) throws ValidationException {
        return new TomlFile(name, Toml.parse(text));
    }

    /** What stands before and in all tables; asked for once. */
    public Section root() {
        return new Section("", root);
    }

    /** Throws all faults that were found so far, if any. */
    public void throwIfInvalid() throws ValidationException {
        if (!faults.isEmpty()) {
            throw new ValidationException(faults);
        }
    }

    /** One table: gives each key that is asked for once, and then knows which were not asked for. */
    public final class Section {

        private final String path;
        private final TomlTable table;
        private final Set<String> known = new TreeSet<>();

        Section(String path, TomlTable table) {
            this.path = path;
            this.table = table;
        }

        private Object value(String key) {
            known.add(key);
            return table.get(List.of(key));
        }

        /** What is wrong with that key's value; told with all the rest by {@link #throwIfInvalid}. */
        public void addError(String key, String what) {
            TomlPosition at = table.inputPositionOf(List.of(key));
            faults.add(file + ":" + (at == null ? 1 : at.line()) + ": " + path + key + ": " + what);
        }

        /** A table, empty where the file has none. */
        public Section section(String key) {
            Object value = value(key);
            if (value != null && !(value instanceof TomlTable)) {
                addError(key, "expected a table");
            }
            return new Section(path + key + ".", value instanceof TomlTable given ? given : Toml.parse(""));
        }

        public List<Section> sections(String key) {
            List<Section> all = new ArrayList<>();
            Object value = value(key);
            if (value instanceof TomlArray array && array.toList().stream().allMatch(each -> each instanceof TomlTable)) {
                for (int i = 0; i < array.size(); i++) {
                    all.add(new Section(path + key + "[" + i + "].", array.getTable(i)));
                }
            } else if (value != null) {
                addError(key, "expected tables, each begun by [[" + key + "]]");
            }
            return all;
        }

        private boolean within(String key, double value, double least, double most) {
            boolean within = value >= least && value <= most;
            if (!within) {
                addError(key, "expected " + shown(least) + " to " + shown(most) + ", not " + shown(value));
            }
            return within;
        }

        public Range range(String key, double from, double to, double least, double most) {
            Object value = value(key);
            if (value instanceof Number number && within(key, number.doubleValue(), least, most)) {
                return Range.of(number.doubleValue());
            }
            if (value instanceof TomlArray array && array.size() == 2 && array.get(0) instanceof Number first
                    && array.get(1) instanceof Number second) {
                if (within(key, first.doubleValue(), least, most) && within(key, second.doubleValue(), least, most)) {
                    return new Range(first.doubleValue(), second.doubleValue());
                }
            } else if (value != null && !(value instanceof Number)) {
                addError(key, "expected a number or a range [from, to]");
            }
            return new Range(from, to);
        }

        public double number(String key, double otherwise, double least, double most) {
            Object value = value(key);
            if (value instanceof Number number) {
                return within(key, number.doubleValue(), least, most) ? number.doubleValue() : otherwise;
            }
            if (value != null) {
                addError(key, "expected a number");
            }
            return otherwise;
        }

        public int integer(String key, int otherwise, int least, int most) {
            Object value = value(key);
            if (value instanceof Long number) {
                return within(key, number, least, most) ? number.intValue() : otherwise;
            }
            if (value != null) {
                addError(key, "expected a whole number");
            }
            return otherwise;
        }

        public boolean bool(String key, boolean otherwise) {
            Object value = value(key);
            if (value != null && !(value instanceof Boolean)) {
                addError(key, "expected true or false");
            }
            return value instanceof Boolean given ? given : otherwise;
        }

        public String name(String key, String otherwise) {
            Object value = value(key);
            if (value != null && (!(value instanceof String text) || text.isBlank() || text.contains(" "))) {
                addError(key, "expected a name without spaces");
            }
            return value instanceof String given ? given : otherwise;
        }

        /** Any text on one line. */
        public String string(String key, String otherwise) {
            Object value = value(key);
            if (value != null && (!(value instanceof String text) || text.isBlank())) {
                addError(key, "expected a text");
            }
            return value instanceof String given ? given : otherwise;
        }

        public List<String> names(String key, List<String> otherwise) {
            Object value = value(key);
            if (value instanceof TomlArray array && !array.isEmpty()
                    && array.toList().stream().allMatch(each -> each instanceof String)) {
                return array.toList().stream().map(Object::toString).toList();
            }
            if (value != null) {
                addError(key, "expected a list of names");
            }
            return otherwise;
        }

        /** Null for {@code otherwise}: the key is needed. */
        public <E extends Enum<E>> E enumValue(String key, Class<E> type, E otherwise) {
            Object value = value(key);
            for (E each : type.getEnumConstants()) {
                if (value instanceof String text && text.equals(each.name().toLowerCase(Locale.ROOT))) {
                    return each;
                }
            }
            if (value != null || otherwise == null) {
                addError(key, "expected one of " + Arrays.stream(type.getEnumConstants())
                        .map(each -> each.name().toLowerCase(Locale.ROOT)).collect(Collectors.joining(", ")));
            }
            return otherwise;
        }

        /** After the last key was asked for: any other is a fault. */
        public void rejectUnknownKeys() {
            for (String key : table.keySet()) {
                if (!known.contains(key)) {
                    addError(key, "unknown key; known here: " + String.join(", ", known));
                }
            }
        }

        private static String shown(double value) {
            return value == Math.rint(value) && Math.abs(value) < 1e9 ? Long.toString((long) value) : Double.toString(value);
        }
    }
}
