package yewdock.sockets;

/**
 * Bounds how long accepted connections have waited in the kernel's accept queue, where their requests were
 * not read. The kernel does not tell. But the queue is served in order and holds a limited number of
 * connections, so a connection came after the last moment at which the queue was empty, and not before the
 * accept of the one that was that many places ahead. Used by the acceptor's thread.
 */
final class AcceptQueueTimes {
    /** The times of the last accepts in microseconds, by their number modulo the length. */
    private final long[] acceptedAt;
    private long accepted;
    private long emptyUntil = Long.MIN_VALUE;

    /** Makes bounds for a queue that holds up to this many connections. */
    AcceptQueueTimes(int capacity) {
        // the kernel takes one connection more than the capacity
        acceptedAt = new long[capacity + 1];
    }

    /** The queue was empty up to this time, in microseconds. */
    void queueEmptyUntil(long time) {
        emptyUntil = time;
    }

    /** Records an accept at this time; returns the earliest time at which the connection may have come. */
    long accepted(long now) {
        int place = (int) (accepted % acceptedAt.length);
        long aheadAcceptedAt = accepted >= acceptedAt.length ? acceptedAt[place] : Long.MIN_VALUE;
        acceptedAt[place] = now;
        accepted++;
        long earliest = Math.max(emptyUntil, aheadAcceptedAt);
        return earliest == Long.MIN_VALUE ? now : Math.min(earliest, now);
    }
}
