package yewdock.desk;

import umberspread.Routing.Outcome;

/** An attempt: one sending of a request to a server. */
final class Try {
    /**
     * Factor that makes tokens distinct: larger than the number of attempts that any deployment allows for a
     * request.
     */
    private static final long MOST = 1024;

    final Owed owed;
    final int number;
    final long box;
    /** Timeout that the module set, in microseconds; 0 if it set none. */
    final long timeout;
    final long sentAt;
    /** When the attempt times out, in microseconds. */
    long until;
    Line line;
    /** Whether its last byte has been written. */
    boolean written;
    long lastPieceAt;
    /** The outcome to report once the connection has closed; null while it is not being closed. */
    Outcome closingAs;

    Try(Owed owed, long box, long timeout, long sentAt) {
        this.owed = owed;
        this.number = owed.tries++;
        this.box = box;
        this.timeout = timeout;
        this.sentAt = sentAt;
    }

    /** Whether its stream is the one forwarded to the client. */
    boolean begun() {
        return owed.winner == this;
    }

    /** Returns the number that identifies the attempt to other generations. */
    long token() {
        return owed.id * MOST + number % MOST;
    }
}
