package yewdock.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Ids of requests that ended without a complete response and may have run. A request that comes with such an
 * id would run twice. They are kept for a while, the newest of them if there are very many.
 */
final class RecentIds {
    /** Longer than any client waits for a response, in microseconds. */
    static final long KEEP_MICROS = 60_000_000;
    /** Limit of the characters of all ids together. */
    static final int MAX_CHARACTERS = 256 * 1024;

    /** The ids and when they were added, the earliest first. */
    private final Map<String, Long> addedAt = new LinkedHashMap<>();
    private int characters;

    /** Adds an id at this time in microseconds, which is not before that of an earlier call. */
    void add(String id, long now) {
        remove(id);
        addedAt.put(id, now);
        characters += id.length();
        forget(now);
    }

    /** Whether the id was added and is still kept. */
    boolean contains(String id, long now) {
        forget(now);
        return addedAt.containsKey(id);
    }

    /** Returns all ids that are kept, the earliest first. */
    List<String> all(long now) {
        forget(now);
        return List.copyOf(addedAt.keySet());
    }

    private void remove(String id) {
        if (addedAt.remove(id) != null) {
            characters -= id.length();
        }
    }

    private void forget(long now) {
        Iterator<Map.Entry<String, Long>> earliestFirst = addedAt.entrySet().iterator();
        while (earliestFirst.hasNext()) {
            Map.Entry<String, Long> earliest = earliestFirst.next();
            if (characters <= MAX_CHARACTERS && now - earliest.getValue() < KEEP_MICROS) {
                return;
            }
            characters -= earliest.getKey().length();
            earliestFirst.remove();
        }
    }
}
