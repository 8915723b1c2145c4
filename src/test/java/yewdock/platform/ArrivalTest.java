package yewdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ArrivalTest {
    private static final long SECOND = 1_000_000;

    @Test
    void timeoutRunsWhileBytesAreUnread() {
        assertEquals(3 * SECOND, Arrival.at(10 * SECOND).remaining(4 * SECOND, 11 * SECOND));
        assertEquals(0, Arrival.at(10 * SECOND).remaining(4 * SECOND, 15 * SECOND));
    }

    @Test
    void aPauseCountsFromItsStart() {
        assertEquals(3 * SECOND, new Arrival(10 * SECOND, 11 * SECOND).remaining(4 * SECOND, 11 * SECOND));
    }

    @Test
    void aClientStillConnectedAfterALongPauseHasSomeTimeLeft() {
        assertEquals(2 * SECOND, new Arrival(10 * SECOND, 16 * SECOND).remaining(4 * SECOND, 16 * SECOND));
        assertEquals(SECOND, new Arrival(10 * SECOND, 16 * SECOND).remaining(4 * SECOND, 18 * SECOND));
    }

    @Test
    void remainingTimeIsNeverNegative() {
        assertEquals(0, Arrival.at(10 * SECOND).remaining(-3_000, 10 * SECOND));
    }
}
