package yewdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What clients have sent is discarded beyond the limit: the oldest of the large parts first. */
class InputMemoryTest {
    private static final long MAX_BYTES = 1_000;

    private final InputMemory memory = new InputMemory(MAX_BYTES);
    private final List<String> discarded = new ArrayList<>();
    private final InputMemory.Holder first = () -> discarded.add("first");
    private final InputMemory.Holder second = () -> discarded.add("second");
    private final InputMemory.Holder third = () -> discarded.add("third");

    @Test
    void nothingIsDiscardedWithinTheLimit() {
        memory.update(first, 400);
        memory.update(second, 600);
        assertEquals(List.of(), discarded);
        assertEquals(MAX_BYTES, memory.totalBytes());
    }

    @Test
    void ofEqualPartsTheOldestIsDiscarded() {
        memory.update(first, 400);
        memory.update(second, 400);
        memory.update(first, 500);
        memory.update(third, 400);
        assertEquals(List.of("first"), discarded);
        assertEquals(800, memory.totalBytes());
    }

    /** A slow client with a short request is not the cause: discarding it would free next to nothing. */
    @Test
    void smallPartsAreKept() {
        memory.update(first, 10);
        memory.update(second, 900);
        memory.update(third, 100);
        assertEquals(List.of("second"), discarded);
        assertEquals(110, memory.totalBytes());
    }

    @Test
    void onePartBeyondTheLimitIsDiscardedItself() {
        memory.update(first, 10);
        memory.update(second, MAX_BYTES + 1);
        assertEquals(List.of("second"), discarded);
    }

    @Test
    void completeRequestsNoLongerCount() {
        memory.update(first, 900);
        memory.update(first, 0);
        memory.update(second, 900);
        assertEquals(List.of(), discarded);
        assertEquals(900, memory.totalBytes());
    }

    /** Discarding may change what the connection holds, which must not be counted twice. */
    @Test
    void aConnectionMayReportItsInputWhileItIsDiscarded() {
        InputMemory.Holder reporting = new InputMemory.Holder() {
            @Override
            public void discardInput() {
                discarded.add("reporting");
                memory.update(this, 0);
            }
        };
        memory.update(reporting, 600);
        memory.update(second, 600);
        assertEquals(List.of("reporting"), discarded);
        assertEquals(600, memory.totalBytes());
    }
}
