package yewdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerStartTimesTest {
    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;
    private static final long SERVER = 7;

    private long now = 100 * HOUR;
    private long step;
    private final ServerStartTimes startTimes = new ServerStartTimes(() -> now, () -> now + step);

    /** Guards against a server that counts as warm, or as cold for an hour, after a step of the clock. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR, -2 * SECOND, 2 * SECOND, HOUR})
    void serverThatStartsAfterAStepIsAsOldAsItIs(long stepMicros) {
        startTimes.observe();
        step = stepMicros;
        now += SECOND;
        long startedAt = now;
        long reported = startedAt + step;
        now += SECOND / 2;
        assertEquals(startedAt, startTimes.onRouterClock(SERVER, reported));
        now += 10 * SECOND;
        assertEquals(startedAt, startTimes.onRouterClock(SERVER, reported), "the same at the next report");
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR, HOUR})
    void serverThatStartedDuringAStepThatIsOverIsAsOldAsItIs(long stepMicros) {
        step = stepMicros;
        now += SECOND;
        startTimes.observe();
        long startedAt = now;
        long reported = startedAt + step;
        step = 0;
        now += SECOND;
        assertEquals(startedAt, startTimes.onRouterClock(SERVER, reported));
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR, HOUR})
    void serverWhoseStartWasKnownBeforeAStepKeepsItsAge(long stepMicros) {
        long startedAt = now - 10 * SECOND;
        assertEquals(startedAt, startTimes.onRouterClock(SERVER, startedAt));
        step = stepMicros;
        now += SECOND;
        assertEquals(startedAt, startTimes.onRouterClock(SERVER, startedAt));
    }

    @Test
    void startInTheFutureCountsAsNow() {
        assertEquals(now, startTimes.onRouterClock(SERVER, now + HOUR));
    }

    @Test
    void startOfLongAgoAndARestartAreReportedAsSuch() {
        assertEquals(0, startTimes.onRouterClock(SERVER, 0));
        assertEquals(now - SECOND, startTimes.onRouterClock(SERVER, now - SECOND));
        startTimes.retain(Set.of());
        now += SECOND;
        assertEquals(now - SECOND / 2, startTimes.onRouterClock(SERVER, now - SECOND / 2));
    }

    /** A process that takes over after a step learns of it from the older one. */
    @Test
    void offsetOfAnOlderProcessCounts() {
        long startedAt = now - SECOND;
        startTimes.addOffset(-HOUR);
        assertEquals(startedAt, startTimes.onRouterClock(SERVER, startedAt - HOUR));
    }
}
