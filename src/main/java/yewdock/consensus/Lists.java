package yewdock.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * Which version of the box list each router acts on, as they tell with their calls for a lease; pure.
 * Versions of different addresses mean nothing to each other. A service that has started anew counts from
 * below: the version of a router that goes back is the newest from then on, and one that merely stays where
 * it was raises nothing.
 */
final class Lists {
    private final Map<String, Told> byRouter = new HashMap<>();
    private final Map<String, Long> newest = new HashMap<>();

    private record Told(String address, long version) {
    }

    void heard(String router, String address, long version) {
        Told before = byRouter.put(router, new Told(address, version));
        boolean same = before != null && before.address.equals(address);
        if (same && version < before.version) {
            newest.put(address, version);
        } else if (!same || version > before.version) {
            newest.merge(address, version, Math::max);
        }
    }

    /** The newest version that any router holds of the list that this one acts on; -1 if it has told none. */
    long newestFor(String router) {
        Told told = byRouter.get(router);
        return told == null ? -1 : newest(told.address);
    }

    /** The newest version that any router holds of the list there; -1 if none does. */
    long newest(String address) {
        return newest.getOrDefault(address, -1L);
    }
}
