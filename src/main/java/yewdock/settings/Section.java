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
 * One block of a settings file. Reads what is there, notes every mistake, and knows which keys were asked
 * for.
 */
public final class Section {
    private final String where;
    private final Map<?, ?> values;
    private final List<String> mistakes;
    private final Set<String> known = new LinkedHashSet<>();

    Section(String where, Map<?, ?> values, List<String> mistakes) {
        this.where = where;
        this.values = values;
        this.mistakes = mistakes;
    }

    /** The whole of a text that came from there. */
    public static Section read(String where, String text, List<String> mistakes)
            throws InvalidSettingsException {
        return read(where, text, Map.of(), mistakes);
    }

    /**
     * The same with some values put in place of the text's, each by the names of its blocks and its own, with
     * dots between them.
     */
    public static Section read(String where, String text, Map<String, Object> instead, List<String> mistakes)
            throws InvalidSettingsException {
        Map<String, Object> values;
        try {
            values = new HCLParser().parse(text);
        } catch (HCLParserException | IOException | RuntimeException e) {
            String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("").strip();
            throw new InvalidSettingsException(List.of(where + ": not HCL: " + why));
        }
        // the parser takes some texts that are no HCL for empty ones
        boolean saysSomething = text.lines().map(String::strip)
                .anyMatch(l -> !l.isEmpty() && !l.startsWith("#") && !l.startsWith("//"));
        if (values.isEmpty() && saysSomething && !text.contains("/*")) {
            mistakes.add(where + ": not HCL: nothing in it can be read");
        }
        braces(where, text, mistakes);
        Map<String, Object> all = values;
        instead.forEach((path, value) -> put(all, path, value));
        return new Section(where + ": ", values, mistakes);
    }

    @SuppressWarnings("unchecked")
    private static void put(Map<String, Object> values, String path, Object value) {
        String[] names = path.split("\\.");
        Map<String, Object> at = values;
        for (int i = 0; i < names.length - 1; i++) {
            Object inner = at.get(names[i]);
            if (!(inner instanceof Map)) {
                inner = new LinkedHashMap<String, Object>();
                at.put(names[i], inner);
            }
            at = (Map<String, Object>) inner;
        }
        at.put(names[names.length - 1], value);
    }

    /** The parser closes blocks by itself that the text leaves open. */
    private static void braces(String where, String text, List<String> mistakes) {
        String bare = text.replaceAll("\"(?:[^\"\\\\\n]|\\\\.)*\"", "").replaceAll("(?m)(#|//).*$", "");
        long open = bare.chars().filter(c -> c == '{').count();
        long closed = bare.chars().filter(c -> c == '}').count();
        if (open != closed) {
            mistakes.add(where + ": not HCL: " + open + " blocks are opened and " + closed + " closed");
        }
    }

    public Section section(String key) {
        Object value = take(key);
        if (value instanceof Map<?, ?> map) {
            return new Section(where + key + ".", map, mistakes);
        }
        if (value instanceof List<?>) {
            addError(key, "one block, not several");
        } else if (value != null) {
            addError(key, "a block, not " + value);
        }
        return new Section(where + key + ".", Map.of(), mistakes);
    }

    /** The blocks of this word by their labels, in the order of the file; none where there are none. */
    public Map<String, Section> sections(String key) {
        Map<String, Section> found = new LinkedHashMap<>();
        Object value = take(key);
        if (value instanceof Map<?, ?> map) {
            map.forEach((label, block) -> {
                if (block instanceof Map<?, ?> inner) {
                    found.put(String.valueOf(label), new Section(where + key + "." + label + ".", inner,
                            mistakes));
                } else {
                    addError(key + "." + label, "one block with a label of its own, not " + block);
                }
            });
        } else if (value != null) {
            addError(key, "blocks with labels, not " + value);
        }
        return found;
    }

    /** A range [from, to] in these bounds; one number is a range of that alone. */
    public double[] range(String key, double from, double to, double least, double most) {
        if (!(values.get(key) instanceof List<?> list)) {
            double one = number(key, Double.NaN, least, most);
            return Double.isNaN(one) ? new double[] {from, to} : new double[] {one, one};
        }
        take(key);
        if (list.size() == 2 && list.get(0) instanceof Number a && list.get(1) instanceof Number b
                && a.doubleValue() >= least && a.doubleValue() <= b.doubleValue()
                && b.doubleValue() <= most) {
            return new double[] {a.doubleValue(), b.doubleValue()};
        }
        addError(key, "[from, to], from " + plain(least) + " to " + plain(most) + ", not " + list);
        return new double[] {from, to};
    }

    /** True or false. */
    public boolean bool(String key, boolean byDefault) {
        Object value = take(key);
        if (value == null || value instanceof Boolean) {
            return value == null ? byDefault : (Boolean) value;
        }
        addError(key, "true or false, not " + value);
        return byDefault;
    }

    /** A list of numbers in these bounds; none where there is none. */
    public List<Double> numbers(String key, double least, double most) {
        Object value = take(key);
        List<Double> all = new ArrayList<>();
        if (value instanceof List<?> list && list.stream().allMatch(v -> v instanceof Number n
                && n.doubleValue() >= least && n.doubleValue() <= most)) {
            list.forEach(v -> all.add(((Number) v).doubleValue()));
        } else if (value != null) {
            addError(key, "a list of numbers from " + plain(least) + " to " + plain(most) + ", not " + value);
        }
        return all;
    }

    /** Every key with its value, taken as they are. */
    public Map<String, Object> allValues() {
        Map<String, Object> all = new LinkedHashMap<>();
        values.keySet().forEach(k -> all.put(String.valueOf(k), take(String.valueOf(k))));
        return all;
    }

    /** Whether the key is there. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    public String string(String key, String byDefault) {
        Object value = take(key);
        if (value == null) {
            return byDefault;
        }
        if (!(value instanceof String)) {
            addError(key, "a text, not " + value);
            return byDefault;
        }
        return (String) value;
    }

    public String oneOf(String key, String byDefault, List<String> allowed) {
        String value = string(key, byDefault);
        if (!allowed.contains(value)) {
            addError(key, String.join(" or ", allowed) + ", not " + value);
            return byDefault;
        }
        return value;
    }

    public double number(String key, double byDefault, double least, double most) {
        Object value = take(key);
        if (value == null) {
            return byDefault;
        }
        if (!(value instanceof Number n) || !(n.doubleValue() >= least && n.doubleValue() <= most)) {
            addError(key, "a number from " + plain(least) + " to " + plain(most) + ", not "
                    + (value instanceof Number n ? plain(n.doubleValue()) : value));
            return byDefault;
        }
        return n.doubleValue();
    }

    public int integer(String key, int byDefault, int least, int most) {
        double value = number(key, byDefault, least, most);
        if (value != Math.rint(value)) {
            addError(key, "a whole number, not " + value);
            return byDefault;
        }
        return (int) value;
    }

    /** Microseconds, given as seconds. */
    public long durationMicros(String key, double byDefault, double least, double most) {
        return Math.round(number(key, byDefault, least, most) * 1e6);
    }

    public List<String> strings(String key, List<String> byDefault) {
        Object value = take(key);
        if (value == null) {
            return byDefault;
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof List<?> list && list.stream().allMatch(v -> v instanceof String)) {
            list.forEach(v -> texts.add((String) v));
            return texts;
        }
        addError(key, "a list of texts, not " + value);
        return byDefault;
    }

    /** Every key that was not asked for is a mistake. */
    public void rejectUnknownKeys() {
        for (Object key : values.keySet()) {
            if (!known.contains(String.valueOf(key))) {
                addError(String.valueOf(key), known.isEmpty() ? "nothing here"
                        : "no such key; there are " + String.join(", ", known));
            }
        }
    }

    private Object take(String key) {
        known.add(key);
        return values.get(key);
    }

    /** Notes a mistake: what the key may be, and what it is not. */
    public void addError(String key, String allowed) {
        mistakes.add(where + key + ": " + allowed);
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
                : Double.toString(value);
    }
}
