package yewdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class IdsTest {
    @Test
    void hexNamesKeepTheirNumbers() {
        assertEquals(0x5be2a07cL, Ids.of("s-5be2a07c"));
        assertEquals(0xf03b7c55d20a6491L, Ids.of("f03b7c55d20a6491"));
    }

    @Test
    void otherNamesAreHashedAndNoNameIsZero() {
        assertEquals(0, Ids.of(null));
        assertEquals(0, Ids.of(""));
        assertNotEquals(0, Ids.of("s-0"));
        assertNotEquals(Ids.of("box one"), Ids.of("box two"));
        assertEquals(Ids.hash("00112233445566778"), Ids.of("00112233445566778"));
    }
}
