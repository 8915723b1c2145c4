package yewdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RecentIdsTest {
    private final RecentIds ids = new RecentIds();

    @Test
    void keepsAnIdForAWhileFromItsLastEnd() {
        ids.add("a", 0);
        ids.add("b", 10);
        ids.add("a", 20);
        assertTrue(ids.contains("a", RecentIds.KEEP_MICROS + 19));
        assertFalse(ids.contains("b", RecentIds.KEEP_MICROS + 19));
        assertEquals(List.of("a"), ids.all(RecentIds.KEEP_MICROS + 19));
        assertFalse(ids.contains("a", RecentIds.KEEP_MICROS + 20));
    }

    /** A client that makes ids of any length and number can't fill the memory. */
    @Test
    void keepsTheNewestIdsWithinTheLimit() {
        String half = "x".repeat(RecentIds.MAX_CHARACTERS / 2);
        ids.add(half + "1", 1);
        ids.add("short", 2);
        ids.add(half + "2", 3);
        assertEquals(List.of(half + "2"), ids.all(3).stream().filter(id -> id.startsWith("x")).toList());
        ids.add(half + half + "3", 4);
        assertEquals(List.of(), ids.all(4));
    }
}
