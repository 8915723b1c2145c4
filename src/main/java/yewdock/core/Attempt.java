package yewdock.core;

import umberspread.Routing.Outcome;

/** An attempt: one sending of a request to a server. */
final class Attempt {
    /**
     * Factor that makes tokens distinct: larger than the number of attempts that any deployment allows for a
     * request.
     */
    private static final long TOKEN_FACTOR = 1024;

    final OpenRequest request;
    final int number;
    final long serverId;
    /** Timeout that the module set, in microseconds; 0 if it set none. */
    final long timeoutMicros;
    final long createdAt;
    /** When the attempt times out, in microseconds. */
    long timeoutAt;
    ServerConnection connection;
    /** Whether its last byte has been written. */
    boolean written;
    long lastDataAt;
    /** The outcome to report once the connection has closed; null while it is not being closed. */
    Outcome closingOutcome;

    Attempt(OpenRequest request, long serverId, long timeoutMicros, long createdAt) {
        this.request = request;
        this.number = request.attemptCount++;
        this.serverId = serverId;
        this.timeoutMicros = timeoutMicros;
        this.createdAt = createdAt;
    }

    /** Whether its stream is the one forwarded to the client. */
    boolean isWinner() {
        return request.winner == this;
    }

    /** Whether the server may have run the request, by the attempt's outcome. */
    boolean mayHaveRun(Outcome outcome) {
        return switch (outcome) {
            case FULL, CONNECT_FAILED, NOT_SENT -> false;
            default -> written || isWinner();
        };
    }

    /** Returns the number that identifies the attempt to other generations. */
    long token() {
        return request.id * TOKEN_FACTOR + number % TOKEN_FACTOR;
    }
}
