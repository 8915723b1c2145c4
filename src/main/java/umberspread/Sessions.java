package umberspread;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import umberspread.BoundedLoadRouter.TrackedServer;

/**
 * Remembers which server served each session last, because its prefix cache holds the session's history.
 * After a spill, that is not the server that the ring picks. The size is bounded: the least recently served
 * sessions are evicted.
 */
final class Sessions {
    private static final int MAX_SESSIONS = 20_000;

    /** The server that served a session last, and when. */
    private record LastServed(TrackedServer server, long at) {
    }

    /** In order of time, the earliest first. */
    private final Map<Long, LastServed> byLastServed = new LinkedHashMap<>();

    /** Records that the server has served the session now; session 0 means none. */
    void recordServed(long session, TrackedServer server, long now) {
        if (session != 0) {
            byLastServed.remove(session);
            byLastServed.put(session, new LastServed(server, now));
            if (byLastServed.size() > MAX_SESSIONS) {
                removeEarliest();
            }
        }
    }

    /** Returns the server that served the session last; null if none is known. */
    TrackedServer lastServer(long session) {
        LastServed last = byLastServed.get(session);
        return last == null ? null : last.server;
    }

    /** Removes the sessions that were last served before this time. */
    void forgetBefore(long time) {
        while (!byLastServed.isEmpty() && byLastServed.values().iterator().next().at < time) {
            removeEarliest();
        }
    }

    private void removeEarliest() {
        Iterator<LastServed> first = byLastServed.values().iterator();
        first.next();
        first.remove();
    }
}
