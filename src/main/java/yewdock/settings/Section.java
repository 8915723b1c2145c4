package yewdock.settings;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One block of an HCL settings file, with typed access to its values. Collects an error line for every
 * invalid value, and remembers which keys were read in order to report unknown ones. An accessor returns its
 * default if the key is missing or the value invalid.
 */
public final class Section {
    private final String location;
    private final Map<?, ?> values;
    private final List<String> errors;
    private final Set<String> readKeys = new LinkedHashSet<>();

    Section(String location, Map<?, ?> values, List<String> errors) {
        this.location = location;
        this.values = values;
        this.errors = errors;
    }

    /** Parses the text of a file; error lines begin with fileName and are added to errors. */
    public static Section read(String fileName, String text, List<String> errors)
            throws InvalidSettingsException {
        return read(fileName, text, Map.of(), errors);
    }

    /**
     * Parses the text of a file and overrides some of its values, given by their path: the names of the
     * blocks and of the key, separated by dots.
     */
    public static Section read(String fileName, String text, Map<String, Object> overrides,
            List<String> errors) throws InvalidSettingsException {
        Map<String, Object> values;
        try {
            values = new HCLParser().parse(text);
        } catch (HCLParserException | IOException | RuntimeException e) {
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("").strip();
            throw new InvalidSettingsException(List.of(fileName + ": not HCL: " + reason));
        }
        // the parser accepts some texts that are not HCL and returns an empty result for them
        boolean hasContent = text.lines().map(String::strip)
                .anyMatch(l -> !l.isEmpty() && !l.startsWith("#") && !l.startsWith("//"));
        if (values.isEmpty() && hasContent && !text.contains("/*")) {
            errors.add(fileName + ": not HCL: nothing in it can be read");
        }
        checkBraces(fileName, text, errors);
        Map<String, Object> all = values;
        overrides.forEach((path, value) -> setPath(all, path, value));
        return new Section(fileName + ": ", values, errors);
    }

    @SuppressWarnings("unchecked")
    private static void setPath(Map<String, Object> values, String path, Object value) {
        String[] names = path.split("\\.");
        Map<String, Object> block = values;
        for (int i = 0; i < names.length - 1; i++) {
            Object inner = block.get(names[i]);
            if (!(inner instanceof Map)) {
                inner = new LinkedHashMap<String, Object>();
                block.put(names[i], inner);
            }
            block = (Map<String, Object>) inner;
        }
        block.put(names[names.length - 1], value);
    }

    /** Reports unbalanced braces, because the parser silently closes blocks that the text leaves open. */
    private static void checkBraces(String fileName, String text, List<String> errors) {
        String stripped = text.replaceAll("\"(?:[^\"\\\\\n]|\\\\.)*\"", "").replaceAll("(?m)(#|//).*$", "");
        long open = stripped.chars().filter(c -> c == '{').count();
        long closed = stripped.chars().filter(c -> c == '}').count();
        if (open != closed) {
            errors.add(fileName + ": not HCL: " + open + " blocks are opened and " + closed + " closed");
        }
    }

    /** The block of this name; an empty one if there is none. */
    public Section section(String key) {
        Object value = readValue(key);
        if (value instanceof Map<?, ?> map) {
            return new Section(location + key + ".", map, errors);
        }
        if (value instanceof List<?>) {
            addError(key, "one block, not several");
        } else if (value != null) {
            addError(key, "a block, not " + value);
        }
        return new Section(location + key + ".", Map.of(), errors);
    }

    /** The blocks of this name by their labels, in the order of the file; empty if there are none. */
    public Map<String, Section> sections(String key) {
        Map<String, Section> found = new LinkedHashMap<>();
        Object value = readValue(key);
        if (value instanceof Map<?, ?> map) {
            map.forEach((label, block) -> {
                if (block instanceof Map<?, ?> inner) {
                    found.put(String.valueOf(label), new Section(location + key + "." + label + ".", inner,
                            errors));
                } else {
                    addError(key + "." + label, "one block with a label of its own, not " + block);
                }
            });
        } else if (value != null) {
            addError(key, "blocks with labels, not " + value);
        }
        return found;
    }

    /** A range [from, to] within these bounds; a single number stands for both ends. */
    public double[] range(String key, double defaultFrom, double defaultTo, double min, double max) {
        if (!(values.get(key) instanceof List<?> list)) {
            double one = number(key, Double.NaN, min, max);
            return Double.isNaN(one) ? new double[] {defaultFrom, defaultTo} : new double[] {one, one};
        }
        readValue(key);
        if (list.size() == 2 && list.get(0) instanceof Number a && list.get(1) instanceof Number b
                && a.doubleValue() >= min && a.doubleValue() <= b.doubleValue()
                && b.doubleValue() <= max) {
            return new double[] {a.doubleValue(), b.doubleValue()};
        }
        addError(key, "[from, to], from " + format(min) + " to " + format(max) + ", not " + list);
        return new double[] {defaultFrom, defaultTo};
    }

    /** A boolean. */
    public boolean bool(String key, boolean defaultValue) {
        Object value = readValue(key);
        if (value == null || value instanceof Boolean) {
            return value == null ? defaultValue : (Boolean) value;
        }
        addError(key, "true or false, not " + value);
        return defaultValue;
    }

    /** A list of numbers within these bounds; empty if the key is missing. */
    public List<Double> numbers(String key, double min, double max) {
        Object value = readValue(key);
        List<Double> all = new ArrayList<>();
        if (value instanceof List<?> list && list.stream().allMatch(v -> v instanceof Number n
                && n.doubleValue() >= min && n.doubleValue() <= max)) {
            list.forEach(v -> all.add(((Number) v).doubleValue()));
        } else if (value != null) {
            addError(key, "a list of numbers from " + format(min) + " to " + format(max) + ", not " + value);
        }
        return all;
    }

    /** All keys with their values, without type checks. */
    public Map<String, Object> allValues() {
        Map<String, Object> all = new LinkedHashMap<>();
        values.keySet().forEach(k -> all.put(String.valueOf(k), readValue(String.valueOf(k))));
        return all;
    }

    /** Whether the key is present. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    /** A string. */
    public String string(String key, String defaultValue) {
        Object value = readValue(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof String)) {
            addError(key, "a text, not " + value);
            return defaultValue;
        }
        return (String) value;
    }

    /** A string that must be one of the allowed ones. */
    public String oneOf(String key, String defaultValue, List<String> allowed) {
        String value = string(key, defaultValue);
        if (!allowed.contains(value)) {
            addError(key, String.join(" or ", allowed) + ", not " + value);
            return defaultValue;
        }
        return value;
    }

    /** A number within these bounds. */
    public double number(String key, double defaultValue, double min, double max) {
        Object value = readValue(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number n) || !(n.doubleValue() >= min && n.doubleValue() <= max)) {
            addError(key, "a number from " + format(min) + " to " + format(max) + ", not "
                    + (value instanceof Number n ? format(n.doubleValue()) : value));
            return defaultValue;
        }
        return n.doubleValue();
    }

    /** An integer within these bounds. */
    public int integer(String key, int defaultValue, int min, int max) {
        double value = number(key, defaultValue, min, max);
        if (value != Math.rint(value)) {
            addError(key, "a whole number, not " + value);
            return defaultValue;
        }
        return (int) value;
    }

    /** A duration in microseconds; the default, the bounds and the value in the file are in seconds. */
    public long durationMicros(String key, double defaultValue, double min, double max) {
        return Math.round(number(key, defaultValue, min, max) * 1e6);
    }

    /** A list of strings. */
    public List<String> strings(String key, List<String> defaultValue) {
        Object value = readValue(key);
        if (value == null) {
            return defaultValue;
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof List<?> list && list.stream().allMatch(v -> v instanceof String)) {
            list.forEach(v -> texts.add((String) v));
            return texts;
        }
        addError(key, "a list of texts, not " + value);
        return defaultValue;
    }

    /** Reports every key that was not read as an error; to be called after all keys were read. */
    public void rejectUnknownKeys() {
        for (Object key : values.keySet()) {
            if (!readKeys.contains(String.valueOf(key))) {
                addError(String.valueOf(key), readKeys.isEmpty() ? "nothing here"
                        : "no such key; there are " + String.join(", ", readKeys));
            }
        }
    }

    private Object readValue(String key) {
        readKeys.add(key);
        return values.get(key);
    }

    /** Adds an error line for a key; allowed says what the value may be and what it is instead. */
    public void addError(String key, String allowed) {
        errors.add(location + key + ": " + allowed);
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
                : Double.toString(value);
    }
}
