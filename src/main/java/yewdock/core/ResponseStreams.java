package yewdock.core;

import umberspread.Routing.Outcome;

/**
 * The responses on server connections: forwarding the streams to clients, detecting how they end, and pausing
 * them for slow readers.
 */
final class ResponseStreams {
    /**
     * Silence in microseconds after which a stream counts as broken: its client gives up after 5 s, and the
     * router may be held up for 0.15 s.
     */
    static final long SILENCE_TIMEOUT_MICROS = 4_800_000;
    /**
     * Time in microseconds for the first stream event to be complete after the last data of the response's
     * start; after that the response counts as malformed.
     */
    static final long START_TIMEOUT_MICROS = 500_000;
    /**
     * Time in microseconds after which a client that reads nothing is disconnected, since its stream occupies
     * a server connection.
     */
    static final long SLOW_CLIENT_TIMEOUT_MICROS = 30_000_000;
    /** Divisor: a paused server connection is read again when this fraction of the limit is unwritten. */
    private static final int RESUME_DIVISOR = 4;
    /** Memory for the objects of one unwritten chunk, in addition to its bytes. */
    private static final int CHUNK_OVERHEAD_BYTES = 256;

    /** Unwritten bytes for a slow client above which its server connection is no longer read. */
    private final int maxUnwrittenBytes;
    private final ReducerContext context;
    private final ServerConnections connections;
    private final OpenRequests openRequests;
    private final Attempts attempts;

    ResponseStreams(ReducerContext context, int maxUnwrittenBytes, ServerConnections connections,
            OpenRequests openRequests) {
        this.maxUnwrittenBytes = maxUnwrittenBytes;
        this.context = context;
        this.connections = connections;
        this.openRequests = openRequests;
        this.attempts = openRequests.attempts();
    }

    /**
     * Handles bytes that complete no part to forward: the server is still writing. A response's head and
     * first event arrive together: if the rest is missing for too long, it will not come.
     */
    void responseProgressed(long id) {
        ServerConnection connection = connections.get(id);
        Attempt attempt = connection == null ? null : connection.attempt;
        if (attempt == null || attempt.closingOutcome != null) {
            return;
        }
        long receivedAt = context.now();
        attempt.lastDataAt = receivedAt;
        if (!attempt.isWinner()) {
            context.runAt(receivedAt + START_TIMEOUT_MICROS, () -> {
                if (attempt.connection == connection && connection.attempt == attempt && !attempt.isWinner()
                        && attempt.closingOutcome == null && attempt.lastDataAt == receivedAt) {
                    context.count("streams.unopened");
                    attempts.close(attempt, Outcome.ERROR);
                }
            });
        }
    }

    /**
     * Ends an attempt whose response can't be parsed. It may have run. The server accepted it and responded,
     * so it ends neither as refused nor as reset, which would count against the server as a whole.
     */
    void responseMalformed(long id) {
        ServerConnection connection = connections.get(id);
        if (connection == null) {
            return;
        }
        Attempt attempt = connection.attempt;
        if (attempt != null && attempt.isWinner() && !attempt.request.ended) {
            // the client's connection closes now; closing the server connection may take longer
            openRequests.fail(attempt.request, Outcome.ERROR, CloseReason.RESPONSE_MALFORMED);
        } else if (attempt != null && attempt.written) {
            attempts.close(attempt, Outcome.ERROR);
        }
        // An attempt that was never written in full has not run: ServerDisconnected, which follows the report
        // of the last byte, tells the two cases apart.
        connections.discard(connection);
    }

    /** Forwards a part of a stream; the first part makes its attempt the winner. */
    void chunkReceived(Event.ResponseChunk event) {
        ServerConnection connection = connections.get(event.connection());
        Attempt attempt = connection == null ? null : connection.attempt;
        if (attempt == null || attempt.closingOutcome != null || attempt.request.ended) {
            return;
        }
        OpenRequest request = attempt.request;
        attempt.lastDataAt = context.now();
        request.unwrittenBytes += event.bytes().remaining() + CHUNK_OVERHEAD_BYTES;
        context.emit(new Effect.ForwardChunk(request.client, event.bytes()));
        if (!request.isStreaming()) {
            attempts.win(attempt);
            context.runAt(context.now() + SILENCE_TIMEOUT_MICROS, () -> checkSilence(attempt));
        }
        if (request.unwrittenBytes > maxUnwrittenBytes) {
            connections.pauseReading(connection);
        }
    }

    /** Records that the client has taken bytes, and resumes reading once few enough are left. */
    void clientBytesWritten(Event.ClientBytesWritten event) {
        OpenRequest request = openRequests.byClient(event.client());
        if (request == null || !request.isStreaming()) {
            return;
        }
        request.unwrittenBytes = event.unwrittenBytes();
        request.lastWriteAt = context.now();
        ServerConnection connection = request.winner.connection;
        if (connection.readingPaused && connection.attempt == request.winner
                && request.unwrittenBytes <= maxUnwrittenBytes / RESUME_DIVISOR) {
            request.winner.lastDataAt = context.now();
            connections.resumeReading(connection);
        }
    }

    /**
     * Ends a stream that has been silent for too long, for example because its server vanished, or whose
     * client doesn't read it.
     */
    private void checkSilence(Attempt attempt) {
        OpenRequest request = attempt.request;
        if (!request.attemptsInFlight.contains(attempt) || request.ended || attempt.closingOutcome != null) {
            return;
        }
        long end = attempt.connection.readingPaused ? request.lastWriteAt + SLOW_CLIENT_TIMEOUT_MICROS
                : attempt.lastDataAt + SILENCE_TIMEOUT_MICROS;
        if (context.now() >= end) {
            boolean clientStopped = attempt.connection.readingPaused;
            context.count(clientStopped ? "streams.unread" : "streams.silent");
            openRequests.fail(request, Outcome.RESET,
                    clientStopped ? CloseReason.CLIENT_NOT_READING : CloseReason.SERVER_SILENT);
        } else {
            context.runAt(attempt.connection.readingPaused
                    ? Math.min(end, context.now() + SILENCE_TIMEOUT_MICROS) : end,
                    () -> checkSilence(attempt));
        }
    }

    /** Ends the attempt on a connection whose response is complete, and releases the connection. */
    void responseCompleted(Event.ResponseCompleted event) {
        ServerConnection connection = connections.get(event.connection());
        Attempt attempt = connection == null ? null : connection.attempt;
        if (attempt == null || attempt.closingOutcome != null) {
            return;
        }
        connections.release(connection, event.reusable());
        OpenRequest request = attempt.request;
        if (event.outcome() == Outcome.OK && !request.ended
                && (attempt.isWinner() || !request.isStreaming())) {
            openRequests.complete(attempt);
        } else if (attempt.isWinner()) {
            openRequests.abortIfStreaming(attempt, CloseReason.STREAM_INCOMPLETE);
        }
        attempts.end(attempt, event.outcome(),
                event.cachedTokens(), event.loadReport());
    }

    /**
     * Ends the attempt on a connection that has closed. If its last byte was not written it has not run;
     * otherwise it may have.
     */
    void connectionClosed(long id) {
        ServerConnection connection = connections.closed(id);
        Attempt attempt = connection == null ? null : connection.attempt;
        if (attempt == null) {
            return;
        }
        connection.attempt = null;
        if (attempt.closingOutcome != null) {
            attempts.end(attempt, attempt.closingOutcome, 0, null);
            return;
        }
        openRequests.abortIfStreaming(attempt, CloseReason.CONNECTION_BROKEN);
        attempts.end(attempt, attempt.written || attempt.isWinner() ? Outcome.RESET : Outcome.CONNECT_FAILED,
                0, null);
    }
}
