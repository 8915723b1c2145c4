package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

class SessionTimeoutsTest {
    private static final long LENGTH = 1_000;

    private final List<String> expired = new ArrayList<>();
    private final DummySession session = new DummySession();
    private long nowNanos;
    private final SessionTimeouts timeouts = new SessionTimeouts(() -> nowNanos);

    private void advance(long nanos) {
        nowNanos += nanos;
        timeouts.expire();
    }

    /** Guards against a connection that waits for ever for a peer that reads nothing. */
    @Test
    void expiresOnceWithoutProgress() {
        timeouts.start(session, LENGTH, () -> expired.add("first"));
        advance(LENGTH - 1);
        assertEquals(List.of(), expired);
        advance(1);
        advance(LENGTH);
        assertEquals(List.of("first"), expired);
    }

    @Test
    void startsAnewWhileBytesAreWritten() {
        timeouts.start(session, LENGTH, () -> expired.add("first"));
        session.increaseWrittenBytes(7, nowNanos);
        advance(LENGTH);
        assertEquals(List.of(), expired);
        advance(LENGTH);
        assertEquals(List.of("first"), expired);
    }

    @Test
    void laterTimeoutReplacesTheEarlierOneAndARestartDelaysIt() {
        timeouts.start(session, LENGTH, () -> expired.add("first"));
        timeouts.start(session, LENGTH, () -> expired.add("second"));
        advance(LENGTH - 1);
        timeouts.restart(session);
        advance(LENGTH - 1);
        assertEquals(List.of(), expired);
        advance(1);
        assertEquals(List.of("second"), expired);
    }

    @Test
    void closedSessionHasNoTimeout() {
        timeouts.start(session, LENGTH, () -> expired.add("first"));
        session.closeNow();
        session.getCloseFuture().setClosed();
        advance(2 * LENGTH);
        assertEquals(List.of(), expired);
    }
}
