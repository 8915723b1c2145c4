package yewdock.testbed;

import java.util.ArrayList;
import java.util.List;

/** What the stand-ins saw, by the system's monotonic clock in nanoseconds. Thread-safe. */
public final class Ledger {
    /** A request at a box, from its last byte on; ended is when its answer or its connection ended. */
    public record AtBox(String id, String box, long began, long ended, boolean worked) {
    }

    /**
     * A box's state, as the list told it over some connection: the moment at which the answer was written.
     */
    public record Told(String box, String state, long at, int connection) {
    }

    /** How a client's request ended. */
    public enum End {
        /** 200 and a stream to its last chunk. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other whole answer. */
        FAILED,
        /** A stream with no last chunk. */
        CUT_OFF,
        /** No answer at all, though the request was written whole. */
        UNANSWERED,
        /** A connection was refused. */
        NOT_CONNECTED,
        /** A connection was reset. */
        RESET
    }

    /**
     * A client's request: when it was written and when its first token and its last byte came (0: never),
     * whether its stream was what it should be, and whether it was sent anew because a close crossed it.
     */
    public record AtClient(String id, long began, long firstToken, long ended, End end, int status,
            boolean exact, boolean crossed) {
    }

    private final List<AtBox> atBoxes = new ArrayList<>();
    private final List<Told> told = new ArrayList<>();
    private final List<AtClient> atClients = new ArrayList<>();

    public synchronized void add(AtBox seen) {
        atBoxes.add(seen);
    }

    public synchronized void add(Told seen) {
        told.add(seen);
    }

    public synchronized void add(AtClient seen) {
        atClients.add(seen);
    }

    public synchronized List<AtBox> atBoxes() {
        return List.copyOf(atBoxes);
    }

    public synchronized List<Told> told() {
        return List.copyOf(told);
    }

    public synchronized List<AtClient> atClients() {
        return List.copyOf(atClients);
    }
}
