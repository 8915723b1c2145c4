package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import umberspread.Routing.Outcome;
import yewdock.core.CloseReason;
import yewdock.core.RequestTransition;

class RequestTransitionLogTest {
    private static final int CLOSED_AT_ONCE = 100;

    private final List<String> lines = new ArrayList<>();
    private long nowMicros;
    private final RequestTransitionLog log =
            new RequestTransitionLog(() -> nowMicros, (event, fields) -> lines.add(event + fields));

    @Test
    void namesRequestServerAndReason() {
        log.write(new RequestTransition.AttemptFailed("a1", 0, "s-1", Outcome.RESET, true, 12_000));
        log.write(new RequestTransition.Retried("a1", 1, "s-2"));
        log.write(new RequestTransition.Closed("a1", CloseReason.DEADLINE, false, 30_000));
        assertEquals(List.of(
                "attempt.failed{id=a1, attempt=0, server=s-1, outcome=reset, written=true, ms=12}",
                "request.retried{id=a1, attempt=1, server=s-2}",
                "request.closed{id=a1, reason=deadline, streaming=false, ms=30}"), lines);
    }

    @Test
    void shortensLongIds() {
        log.write(new RequestTransition.Retried("i".repeat(30_000), 1, "s-2"));
        assertEquals(List.of("request.retried{id=" + "i".repeat(RequestTransitionLog.MAX_ID_CHARACTERS)
                + "..., attempt=1, server=s-2}"), lines);
    }

    @Test
    void limitsTheLinesOfABurstAndSaysHowManyWereLeftOut() {
        for (int i = 0; i < CLOSED_AT_ONCE; i++) {
            log.write(new RequestTransition.Closed("a" + i, CloseReason.CLIENT_LEFT, true, 0));
        }
        assertEquals(RequestTransitionLog.MAX_LINES_PER_WINDOW, lines.size());
        nowMicros += 1_000_000;
        log.write(new RequestTransition.Retried("b", 1, "s-2"));
        assertEquals("request.retried{id=b, attempt=1, server=s-2, suppressed_before=60}",
                lines.get(lines.size() - 1));
    }
}
