package yewdock.core;

/**
 * Tracks which version of the endpoint list is held and decides which answers of discovery to believe.
 *
 * <p>Versions are counted by one discovery process. After its connection broke, another process may answer
 * with the same numbers for other changes and without a record of removed servers. The whole list is then
 * asked for.
 *
 * <p>An answer with a lower version than an earlier one comes either from a discovery replica that lags
 * behind or from a service that was restarted and counts from the beginning. The two can't be told apart at
 * first, and in both cases changes to the held list can't be asked for: a restarted service may take hours to
 * reach the held version. So the whole list is asked for. A service that keeps answering with older whole
 * lists for longer than replicas lag has restarted and is believed.
 */
final class EndpointListVersions {
    /** Version to ask with when the whole list is wanted. */
    static final long NONE = -1;
    /**
     * Longest lag of a discovery replica, in microseconds; routers should not be directed to one that lags
     * more.
     */
    static final long MAX_LAG_MICROS = 1_000_000;

    private long newest = NONE;
    private boolean fullListWanted = true;
    /**
     * Time of the first of the current series of older answers, in microseconds; Long.MAX_VALUE if there is
     * none.
     */
    private long olderSince = Long.MAX_VALUE;

    /** Starts over with a list of this version; NONE if nothing is known from this address. */
    void startAt(long version) {
        newest = version;
        fullListWanted = version < 0;
        olderSince = Long.MAX_VALUE;
    }

    /** Asks for the whole list next, since the changes to the held one may no longer be available. */
    void requestFullList() {
        fullListWanted = true;
    }

    /** Records an answer and returns whether the servers it lists as in service may be believed. */
    boolean follows(EndpointList answer, long nowMicros) {
        boolean older = answer.version() < newest;
        if (older) {
            olderSince = Math.min(olderSince, nowMicros);
        }
        boolean restarted = older && answer.full() && nowMicros - olderSince >= MAX_LAG_MICROS;
        if (older && !restarted) {
            fullListWanted = true;
            return false;
        }
        newest = answer.version();
        fullListWanted = fullListWanted && !answer.full();
        olderSince = Long.MAX_VALUE;
        return true;
    }

    /** Returns the version to ask changes since, or NONE. */
    long sinceVersion() {
        return fullListWanted ? NONE : newest;
    }

    /** Returns the newest version that was believed, or NONE. */
    long newest() {
        return newest;
    }
}
