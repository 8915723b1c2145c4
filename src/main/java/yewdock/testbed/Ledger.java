package yewdock.testbed;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects what the stub servers, the stub discovery service and the clients of a run observed, so that the
 * run can be checked afterwards. All times are System.nanoTime() values. Thread-safe.
 */
public final class Ledger {
    /**
     * An attempt as a server saw it.
     *
     * @param id the correlation id of the request
     * @param box the name of the server
     * @param began when the last byte of the request had arrived
     * @param ended when the response or its connection ended
     * @param worked whether the server processed the request; false if it refused it
     */
    public record AtBox(String id, String box, long began, long ended, boolean worked) {
    }

    /**
     * The state of a server as the discovery service sent it.
     *
     * @param box the name of the server
     * @param state "up", "draining" or "removed"
     * @param at when the response had been written
     * @param connection the local port of the client that received it, which identifies the router process
     */
    public record Told(String box, String state, long at, int connection) {
    }

    /** How a client's request ended. */
    public enum End {
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
     * @param began when the client began to send it
     * @param firstToken when the first piece of the body arrived; 0 unless the request was served
     * @param ended when the response or its connection ended
     * @param end how it ended
     * @param status the HTTP status; 0 without a whole response
     * @param exact whether the stream equals its reference; true for a whole response that has no stream
     * @param crossed whether the request was sent again because the router closed the idle connection at the
     *     moment at which it was sent
     */
    public record AtClient(String id, long began, long firstToken, long ended, End end, int status,
            boolean exact, boolean crossed) {
    }

    private final List<AtBox> atBoxes = new ArrayList<>();
    private final List<Told> told = new ArrayList<>();
    private final List<AtClient> atClients = new ArrayList<>();

    /** Adds what a server observed. */
    public synchronized void add(AtBox seen) {
        atBoxes.add(seen);
    }

    /** Adds what the discovery service sent. */
    public synchronized void add(Told seen) {
        told.add(seen);
    }

    /** Adds what a client observed. */
    public synchronized void add(AtClient seen) {
        atClients.add(seen);
    }

    /** The attempts that servers saw, in the order in which they were added. */
    public synchronized List<AtBox> atBoxes() {
        return List.copyOf(atBoxes);
    }

    /** The states that the discovery service sent, in the order in which they were added. */
    public synchronized List<Told> told() {
        return List.copyOf(told);
    }

    /** The requests of clients, in the order in which they were added. */
    public synchronized List<AtClient> atClients() {
        return List.copyOf(atClients);
    }
}
