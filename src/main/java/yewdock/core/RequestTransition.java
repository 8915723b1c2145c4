package yewdock.core;

import umberspread.Routing.Outcome;

/** A step in the life of a request that staff need to explain what became of it. */
public sealed interface RequestTransition {
    /** Returns the id that the client chose. */
    String requestId();

    /**
     * An attempt ended with anything but a complete response.
     *
     * @param attempt the attempt's number within the request, from 0
     * @param server the server's name; empty if it is no longer known
     * @param written whether the last byte of the request had been written
     * @param elapsedMicros time since the attempt was decided on
     */
    record AttemptFailed(String requestId, int attempt, String server, Outcome outcome, boolean written,
            long elapsedMicros) implements RequestTransition {
    }

    /** A further attempt is sent after the first one. */
    record Retried(String requestId, int attempt, String server) implements RequestTransition {
    }

    /**
     * The request was closed without a complete response.
     *
     * @param streaming whether the client had been sent part of a stream
     * @param elapsedMicros time since the request was accepted; 0 if it was not
     */
    record Closed(String requestId, CloseReason reason, boolean streaming, long elapsedMicros)
            implements RequestTransition {
    }
}
