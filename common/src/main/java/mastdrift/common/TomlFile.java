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

/** A TOML file that is read key by key. Unknown keys, values of the wrong type and values out of bounds are collected,
    and reported together, each with file and line. */
public final class TomlFile {

    /** Lists all errors of a file, one per line. */
    public static final class ValidationException extends Exception {

        private static final long serialVersionUID = 1L;
        private final transient List<String> errors;

        ValidationException(List<String> errors) {
            super(String.join(System.lineSeparator(), errors));
            this.errors = List.copyOf(errors);
        }

        public List<String> errors() {
            return errors;
        }
    }

    private final String file;
    private final List<String> errors = new ArrayList<>();
    private final TomlTable root;

    private TomlFile(String file, TomlParseResult root) throws ValidationException {
        this.file = file;
        this.root = root;
        root.errors().forEach(error -> errors.add(file + ":" + error.position().line() + ": " + error.getMessage()));
        throwIfInvalid();
    }

    /** Throws ValidationException if the file is not valid TOML, IOException if it can't be read. */
    public static TomlFile read(Path file) throws ValidationException, IOException {
        return new TomlFile(file.toString(), Toml.parse(file));
    }

    /** Parses a text as {@link #read} parses a file; error messages use {@code name} as the file name. */
    public static TomlFile parse(String text, String name) throws ValidationException {
        return new TomlFile(name, Toml.parse(text));
    }

    /** Returns the top-level section; to be called once, since unknown keys are tracked per Section object. */
    public Section root() {
        return new Section("", root);
    }

    /** Throws an exception with all errors found so far, if there are any. */
    public void throwIfInvalid() throws ValidationException {
        if (!errors.isEmpty()) {
            throw new ValidationException(errors);
        }
    }

    /** A table of the file. It records the keys that were read, to report the others as unknown. A getter that finds a
        wrong value adds an error; for an absent key it returns the default. */
    public final class Section {

        private final String path;
        private final TomlTable table;
        private final Set<String> requestedKeys = new TreeSet<>();

        Section(String path, TomlTable table) {
            this.path = path;
            this.table = table;
        }

        private Object value(String key) {
            requestedKeys.add(key);
            return table.get(List.of(key));
        }

        /** Adds an error about a key, to be thrown by {@link #throwIfInvalid}. */
        public void addError(String key, String message) {
            TomlPosition position = table.inputPositionOf(List.of(key));
            errors.add(file + ":" + (position == null ? 1 : position.line()) + ": " + path + key + ": " + message);
        }

        /** Returns a subtable, or an empty section if it is absent. */
        public Section section(String key) {
            Object value = value(key);
            if (value != null && !(value instanceof TomlTable)) {
                addError(key, "expected a table");
            }
            return new Section(path + key + ".", value instanceof TomlTable child ? child : Toml.parse(""));
        }

        public List<Section> sections(String key) {
            List<Section> sections = new ArrayList<>();
            Object value = value(key);
            if (value instanceof TomlArray array && array.toList().stream().allMatch(each -> each instanceof TomlTable)) {
                for (int i = 0; i < array.size(); i++) {
                    sections.add(new Section(path + key + "[" + i + "].", array.getTable(i)));
                }
            } else if (value != null) {
                addError(key, "expected an array of tables, each with the header [[" + key + "]]");
            }
            return sections;
        }

        private boolean checkBounds(String key, double value, double min, double max) {
            boolean withinBounds = value >= min && value <= max;
            if (!withinBounds) {
                addError(key, "expected " + format(min) + " to " + format(max) + ", not " + format(value));
            }
            return withinBounds;
        }

        public Range range(String key, double defaultFrom, double defaultTo, double min, double max) {
            Object value = value(key);
            if (value instanceof Number number && checkBounds(key, number.doubleValue(), min, max)) {
                return Range.of(number.doubleValue());
            }
            if (value instanceof TomlArray array && array.size() == 2 && array.get(0) instanceof Number first
                    && array.get(1) instanceof Number second) {
                if (checkBounds(key, first.doubleValue(), min, max)
                        && checkBounds(key, second.doubleValue(), min, max)) {
                    return new Range(first.doubleValue(), second.doubleValue());
                }
            } else if (value != null && !(value instanceof Number)) {
                addError(key, "expected a number or a range [from, to]");
            }
            return new Range(defaultFrom, defaultTo);
        }

        public double number(String key, double defaultValue, double min, double max) {
            Object value = value(key);
            if (value instanceof Number number) {
                return checkBounds(key, number.doubleValue(), min, max) ? number.doubleValue() : defaultValue;
            }
            if (value != null) {
                addError(key, "expected a number");
            }
            return defaultValue;
        }

        public int integer(String key, int defaultValue, int min, int max) {
            Object value = value(key);
            if (value instanceof Long number) {
                return checkBounds(key, number, min, max) ? number.intValue() : defaultValue;
            }
            if (value != null) {
                addError(key, "expected a whole number");
            }
            return defaultValue;
        }

        public boolean bool(String key, boolean defaultValue) {
            Object value = value(key);
            if (value != null && !(value instanceof Boolean)) {
                addError(key, "expected true or false");
            }
            return value instanceof Boolean flag ? flag : defaultValue;
        }

        public String name(String key, String defaultValue) {
            Object value = value(key);
            if (value != null && (!(value instanceof String text) || text.isBlank() || text.contains(" "))) {
                addError(key, "expected a name without spaces");
            }
            return value instanceof String string ? string : defaultValue;
        }

        /** Returns any text that is not blank. */
        public String string(String key, String defaultValue) {
            Object value = value(key);
            if (value != null && (!(value instanceof String text) || text.isBlank())) {
                addError(key, "expected a text");
            }
            return value instanceof String string ? string : defaultValue;
        }

        public List<String> names(String key, List<String> defaultValues) {
            Object value = value(key);
            if (value instanceof TomlArray array && !array.isEmpty()
                    && array.toList().stream().allMatch(each -> each instanceof String)) {
                return array.toList().stream().map(Object::toString).toList();
            }
            if (value != null) {
                addError(key, "expected a list of names");
            }
            return defaultValues;
        }

        /** Returns the constant whose lower-case name is the value. The key is required if
            {@code defaultValue} is null. */
        public <E extends Enum<E>> E enumValue(String key, Class<E> type, E defaultValue) {
            Object value = value(key);
            for (E constant : type.getEnumConstants()) {
                if (value instanceof String text && text.equals(constant.name().toLowerCase(Locale.ROOT))) {
                    return constant;
                }
            }
            if (value != null || defaultValue == null) {
                addError(key, "expected one of " + Arrays.stream(type.getEnumConstants())
                        .map(constant -> constant.name().toLowerCase(Locale.ROOT)).collect(Collectors.joining(", ")));
            }
            return defaultValue;
        }

        /** Adds an error for each key that was not read; to be called after the last getter. */
        public void rejectUnknownKeys() {
            for (String key : table.keySet()) {
                if (!requestedKeys.contains(key)) {
                    addError(key, "unknown key; known here: " + String.join(", ", requestedKeys));
                }
            }
        }

        private static String format(double value) {
            return value == Math.rint(value) && Math.abs(value) < 1e9 ? Long.toString((long) value) : Double.toString(value);
        }
    }
}
