package yewdock.core;

/**
 * How far the list of servers is known, by the versions that discovery counts.
 *
 * <p>Versions are those of one process of discovery. Where its connection broke another may answer next, with
 * the same numbers for other changes and without memory of what it removed: then the whole list is asked for.
 *
 * <p>An answer with a lower version than one before it comes from a replica of discovery that lags behind, or
 * from a service that was started anew and counts from the beginning. Neither can be told from the other at
 * once, and in both cases changes to the held list can't be asked for any more: a service that counts anew
 * may not reach the held version for hours. Hence the whole list is asked for. A service that gives older
 * whole lists for longer than replicas lag has begun to count anew, and is believed.
 */
final class EndpointListVersions {
    /** The version to ask changes since where the whole list is wanted. */
    static final long NONE = -1;
    /** A replica that lags for longer is not one that routers should be sent to. */
    static final long LONGEST_LAG = 1_000_000;

    private long newest = NONE;
    private boolean wholeWanted = true;
    private long olderSince = Long.MAX_VALUE;

    /** Begins anew with a list of this version; NONE where nothing is known at this address. */
    void startWith(long version) {
        newest = version;
        wholeWanted = version < 0;
        olderSince = Long.MAX_VALUE;
    }

    /** Changes to the held list may not be told any more. */
    void wantWhole() {
        wholeWanted = true;
    }

    /** Takes note of an answer; tells whether what it says of servers that are up may be believed. */
    boolean follows(EndpointList answer, long now) {
        boolean older = answer.version() < newest;
        if (older) {
            olderSince = Math.min(olderSince, now);
        }
        boolean countsAnew = older && answer.full() && now - olderSince >= LONGEST_LAG;
        if (older && !countsAnew) {
            wholeWanted = true;
            return false;
        }
        newest = answer.version();
        wholeWanted = wholeWanted && !answer.full();
        olderSince = Long.MAX_VALUE;
        return true;
    }

    /** The version to ask changes since, or NONE. */
    long since() {
        return wholeWanted ? NONE : newest;
    }

    /** The newest version that was believed, or NONE. */
    long newest() {
        return newest;
    }
}
