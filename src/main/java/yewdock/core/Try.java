package yewdock.core;

import umberspread.Routing.Outcome;

/** One sending of a request to a box. */
final class Try {
    /** More tries of a request than any deployment allows: what makes the numbers of tries distinct. */
    private static final long MOST = 1024;

    final Owed owed;
    final int number;
    final long box;
    final long timeout;
    final long sentAt;
    long until;
    Line line;
    boolean written;
    long lastPieceAt;
    /** Not null once the line is being closed: what the try then ends as. */
    Outcome closingAs;

    Try(Owed owed, long box, long timeout, long sentAt) {
        this.owed = owed;
        this.number = owed.tries++;
        this.box = box;
        this.timeout = timeout;
        this.sentAt = sentAt;
    }

    /** Whether its events are the client's. */
    boolean begun() {
        return owed.winner == this;
    }

    /** What other generations know it by. */
    long token() {
        return owed.id * MOST + number % MOST;
    }
}
