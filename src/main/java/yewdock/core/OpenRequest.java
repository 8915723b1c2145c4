package yewdock.core;

import java.util.ArrayList;
import java.util.List;

/** A request accepted from a client, until it has its final answer and no attempt of it is in flight. */
final class OpenRequest {
    final long id;
    /** The id that the client chose. */
    final String clientRequestId;
    final long client;
    final int memoryBytes;
    final int requestClass;
    /** When the request was accepted, in microseconds. */
    final long acceptedAt;
    /** When the client stops waiting for the first token, in microseconds. */
    final long deadline;
    /** Attempts whose connection is not known to be closed, in the order in which they were sent. */
    final List<Attempt> attemptsInFlight = new ArrayList<>(2);
    int attemptCount;
    /**
     * The attempt that waits until those in flight are closed, where hedging is not allowed; null if there is
     * none.
     */
    Attempt nextAttempt;
    /** The attempt whose stream is forwarded to the client, from its first event on; else null. */
    Attempt winner;
    /** Whether a server may have run the request. */
    boolean mayHaveRun;
    /** Whether the client got a complete response. */
    boolean completed;
    /** Whether the request has its final answer. */
    boolean ended;
    /** Stream bytes forwarded to the client's connection and not yet written. */
    int unwrittenBytes;
    /** When stream bytes were last written to the client's connection, in microseconds. */
    long lastWriteAt;

    OpenRequest(long id, ModelRequest request, long client, long acceptedAt, long deadline) {
        this.id = id;
        this.clientRequestId = request.id();
        this.client = client;
        this.memoryBytes = request.memoryBytes();
        this.requestClass = request.requestClass();
        this.acceptedAt = acceptedAt;
        this.deadline = deadline;
    }

    /** Whether the client has been sent part of its response. */
    boolean isStreaming() {
        return winner != null;
    }
}
