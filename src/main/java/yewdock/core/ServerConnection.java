package yewdock.core;

/** A connection to a server. It carries one attempt at a time. */
final class ServerConnection {
    final long id;
    final ModelServer server;
    boolean established;
    boolean closing;
    /** Whether reading is paused because the client is slow. */
    boolean readingPaused;
    /** The attempt that uses the connection; null if there is none. */
    Attempt attempt;
    /** When the last attempt ended, in microseconds. */
    long idleSince;

    ServerConnection(long id, ModelServer server) {
        this.id = id;
        this.server = server;
    }

    /** Whether it leads to the process of this server's current entry and that takes work; null: no entry. */
    boolean reaches(ModelServer current) {
        return current != null && current.takesWork() && server.isSameProcess(current);
    }
}
