package yewdock.core;

/** A connection to a box. It carries one try at a time. */
final class Line {
    final long id;
    final ModelServer box;
    boolean up;
    boolean closing;
    boolean held;
    Try current;
    long idleSince;

    Line(long id, ModelServer box) {
        this.id = id;
        this.box = box;
    }
}
