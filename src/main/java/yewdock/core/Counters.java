package yewdock.core;

import java.util.Map;
import java.util.TreeMap;

/** Counters by name, in alphabetical order. */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();

    /** Adds one to a counter. */
    public void add(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Adds the given number to a counter. */
    public void add(String name, long increment) {
        counts.merge(name, increment, Long::sum);
    }

    /** Returns a copy of all counters. */
    public Map<String, Long> all() {
        return Map.copyOf(counts);
    }

    /** Returns the value of a counter; 0 if it was never counted. */
    public long get(String name) {
        return counts.getOrDefault(name, 0L);
    }

    /** Returns one line with name and value for each counter. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        counts.forEach((name, count) -> text.append(name).append(' ').append(count).append('\n'));
        return text.toString();
    }
}
