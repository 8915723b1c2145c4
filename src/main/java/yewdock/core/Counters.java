package yewdock.core;

import java.util.Map;
import java.util.TreeMap;

/** Counts by name, in the order of their names. */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();

    /** Counts one more. */
    public void add(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Counts so many more. */
    public void add(String name, long more) {
        counts.merge(name, more, Long::sum);
    }

    /** All counts, as they are now. */
    public Map<String, Long> all() {
        return Map.copyOf(counts);
    }

    public long get(String name) {
        return counts.getOrDefault(name, 0L);
    }

    /** One line for each name. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        counts.forEach((name, count) -> text.append(name).append(' ').append(count).append('\n'));
        return text.toString();
    }
}
