package yewdock.settings;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One block of a settings file. Reads what is there, notes every mistake, and knows which keys were asked
 * for.
 */
final class Section {
    private final String where;
    private final Map<?, ?> values;
    private final List<String> mistakes;
    private final Set<String> known = new LinkedHashSet<>();

    Section(String where, Map<?, ?> values, List<String> mistakes) {
        this.where = where;
        this.values = values;
        this.mistakes = mistakes;
    }

    Section section(String key) {
        Object value = take(key);
        if (value instanceof Map<?, ?> map) {
            return new Section(where + key + ".", map, mistakes);
        }
        if (value instanceof List<?>) {
            wrong(key, "one block, not several");
        } else if (value != null) {
            wrong(key, "a block, not " + value);
        }
        return new Section(where + key + ".", Map.of(), mistakes);
    }

    String text(String key, String byDefault) {
        Object value = take(key);
        if (value == null) {
            return byDefault;
        }
        if (!(value instanceof String)) {
            wrong(key, "a text, not " + value);
            return byDefault;
        }
        return (String) value;
    }

    String oneOf(String key, String byDefault, List<String> allowed) {
        String value = text(key, byDefault);
        if (!allowed.contains(value)) {
            wrong(key, String.join(" or ", allowed) + ", not " + value);
            return byDefault;
        }
        return value;
    }

    double number(String key, double byDefault, double least, double most) {
        Object value = take(key);
        if (value == null) {
            return byDefault;
        }
        if (!(value instanceof Number n) || !(n.doubleValue() >= least && n.doubleValue() <= most)) {
            wrong(key, "a number from " + plain(least) + " to " + plain(most) + ", not "
                    + (value instanceof Number n ? plain(n.doubleValue()) : value));
            return byDefault;
        }
        return n.doubleValue();
    }

    int whole(String key, int byDefault, int least, int most) {
        double value = number(key, byDefault, least, most);
        if (value != Math.rint(value)) {
            wrong(key, "a whole number, not " + value);
            return byDefault;
        }
        return (int) value;
    }

    /** Microseconds, given as seconds. */
    long seconds(String key, double byDefault, double least, double most) {
        return Math.round(number(key, byDefault, least, most) * 1e6);
    }

    List<String> texts(String key, List<String> byDefault) {
        Object value = take(key);
        if (value == null) {
            return byDefault;
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof List<?> list && list.stream().allMatch(v -> v instanceof String)) {
            list.forEach(v -> texts.add((String) v));
            return texts;
        }
        wrong(key, "a list of texts, not " + value);
        return byDefault;
    }

    /** Every key that was not asked for is a mistake. */
    void nothingElse() {
        for (Object key : values.keySet()) {
            if (!known.contains(String.valueOf(key))) {
                wrong(String.valueOf(key), known.isEmpty() ? "nothing here"
                        : "no such key; there are " + String.join(", ", known));
            }
        }
    }

    private Object take(String key) {
        known.add(key);
        return values.get(key);
    }

    /** Notes a mistake: what the key may be, and what it is not. */
    void wrong(String key, String allowed) {
        mistakes.add(where + key + ": " + allowed);
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
                : Double.toString(value);
    }
}
