package yewdock.desk;

/** A connection to a server. It carries one attempt at a time. */
final class Line {
    final long id;
    final ModelServer box;
    boolean up;
    boolean closing;
    /** Whether reading is paused because the client is slow. */
    boolean held;
    /** The attempt that uses the connection; null if there is none. */
    Try current;
    /** When the last attempt ended, in microseconds. */
    long idleSince;

    Line(long id, ModelServer box) {
        this.id = id;
        this.box = box;
    }
}
