package umberspread;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import umberspread.BoundedLoadRouter.Node;

/**
 * Which replica served each session last at this gateway, for it keeps the session's history: after a spill
 * that is not the one which the ring picks. Holds so many sessions at most, the latest ones.
 */
final class Sessions {
    private static final int MOST = 20_000;

    private record Place(Node node, long at) {
    }

    private final Map<Long, Place> latestLast = new LinkedHashMap<>();

    void served(long session, Node node, long now) {
        if (session != 0) {
            latestLast.remove(session);
            latestLast.put(session, new Place(node, now));
            if (latestLast.size() > MOST) {
                forgetFirst();
            }
        }
    }

    /** The replica that served the session last; null if none is known. */
    Node last(long session) {
        Place place = latestLast.get(session);
        return place == null ? null : place.node;
    }

    /** Forgets the sessions that were served before then. */
    void forget(long before) {
        while (!latestLast.isEmpty() && latestLast.values().iterator().next().at < before) {
            forgetFirst();
        }
    }

    private void forgetFirst() {
        Iterator<Place> first = latestLast.values().iterator();
        first.next();
        first.remove();
    }
}
