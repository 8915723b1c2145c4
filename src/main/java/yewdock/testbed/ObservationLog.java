package yewdock.testbed;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects what the stub servers, the stub discovery service and the clients of a run observed, so that the
 * run can be checked afterwards. All times are System.nanoTime() values. Thread-safe.
 */
public final class ObservationLog {
    /**
     * An attempt as a server saw it.
     *
     * @param id the correlation id of the request
     * @param server the name of the server
     * @param startedNanos when the last byte of the request had arrived
     * @param endedNanos when the response or its connection ended
     * @param accepted whether the server processed the request; false if it refused it
     */
    public record ServerAttempt(String id, String server, long startedNanos, long endedNanos,
            boolean accepted) {
    }

    /**
     * The state of a server as the discovery service sent it.
     *
     * @param server the name of the server
     * @param state "up", "draining" or "removed"
     * @param sentNanos when the response had been written
     * @param clientPort the local port of the client that received it, which identifies the router process
     */
    public record EndpointUpdate(String server, String state, long sentNanos, int clientPort) {
    }

    /** How a client's request ended. */
    public enum RequestOutcome {
        /** Status 200 and a stream up to its last chunk. */
        SERVED,
        /** Status 429 or 503. */
        REFUSED,
        /** A response with any other status, or one that could not be read. */
        FAILED,
        /** The connection ended after the head of the response and before its end. */
        CUT_OFF,
        /** The connection ended before the head of a response, or a timeout passed. */
        UNANSWERED,
        /** The router refused the connection. */
        NOT_CONNECTED,
        /** The connection failed, by a reset for example, before the head of a response. */
        RESET
    }

    /**
     * A request as its client saw it.
     *
     * @param id the correlation id of the request
     * @param startedNanos when the client began to send it
     * @param firstTokenNanos when the first piece of the body arrived; 0 unless the request was served
     * @param endedNanos when the response or its connection ended
     * @param outcome how it ended
     * @param status the HTTP status; 0 without a whole response
     * @param matchesReference whether the stream equals its reference; true for a whole response that
     * has no stream
     * @param resent whether the request was sent again because the router closed the idle connection at the
     *     moment at which it was sent
     */
    public record RequestResult(String id, long startedNanos, long firstTokenNanos, long endedNanos,
            RequestOutcome outcome, int status, boolean matchesReference, boolean resent) {
    }

    private final List<ServerAttempt> serverAttempts = new ArrayList<>();
    private final List<EndpointUpdate> endpointUpdates = new ArrayList<>();
    private final List<RequestResult> requestResults = new ArrayList<>();

    /** Adds what a server observed. */
    public synchronized void add(ServerAttempt seen) {
        serverAttempts.add(seen);
    }

    /** Adds what the discovery service sent. */
    public synchronized void add(EndpointUpdate seen) {
        endpointUpdates.add(seen);
    }

    /** Adds what a client observed. */
    public synchronized void add(RequestResult seen) {
        requestResults.add(seen);
    }

    /** The attempts that servers saw, in the order in which they were added. */
    public synchronized List<ServerAttempt> serverAttempts() {
        return List.copyOf(serverAttempts);
    }

    /** The states that the discovery service sent, in the order in which they were added. */
    public synchronized List<EndpointUpdate> endpointUpdates() {
        return List.copyOf(endpointUpdates);
    }

    /** The requests of clients, in the order in which they were added. */
    public synchronized List<RequestResult> requestResults() {
        return List.copyOf(requestResults);
    }
}
