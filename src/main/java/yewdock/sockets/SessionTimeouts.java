package yewdock.sockets;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.apache.mina.core.session.IoSession;

/**
 * Timeouts of sessions, by the monotonic clock: MINA's own idle times run by the wall clock, which may be
 * stepped. A timeout starts anew when bytes have been written to the session's socket in it. Any thread may
 * call the methods.
 */
final class SessionTimeouts {
    /** What happens after {@code lengthNanos} without bytes beyond {@code writtenBytes}. */
    private record Timeout(long startedNanos, long lengthNanos, long writtenBytes, Runnable onExpired) {
        Timeout restarted(long nowNanos, long newWrittenBytes) {
            return new Timeout(nowNanos, lengthNanos, newWrittenBytes, onExpired);
        }
    }

    private final LongSupplier nanoClock;
    private final Map<IoSession, Timeout> timeouts = new ConcurrentHashMap<>();

    /** Makes timeouts that run by this clock, which must be monotonic. */
    SessionTimeouts(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Starts a session's timeout, in place of an earlier one. */
    void start(IoSession session, long lengthNanos, Runnable onExpired) {
        timeouts.put(session, new Timeout(nanoClock.getAsLong(), lengthNanos, session.getWrittenBytes(),
                onExpired));
        session.getCloseFuture().addListener(closed -> timeouts.remove(session));
    }

    /** Starts the session's timeout again, if it has one. */
    void restart(IoSession session) {
        timeouts.computeIfPresent(session, (key, timeout) ->
                timeout.restarted(nanoClock.getAsLong(), timeout.writtenBytes));
    }

    /** Runs what is due; called at least every 0.1 s. */
    void expire() {
        long now = nanoClock.getAsLong();
        timeouts.forEach((session, timeout) -> {
            if (now - timeout.startedNanos >= timeout.lengthNanos) {
                expire(session, timeout, now);
            }
        });
    }

    private void expire(IoSession session, Timeout timeout, long now) {
        long written = session.getWrittenBytes();
        if (written != timeout.writtenBytes) {
            timeouts.replace(session, timeout, timeout.restarted(now, written));
        } else if (timeouts.remove(session, timeout)) {
            timeout.onExpired.run();
        }
    }
}
