package yewdock.core;

import java.util.ArrayList;
import java.util.List;

/** A request taken from a client, until it has its final answer and no try of it is out. */
final class Owed {
    final long id;
    final String name;
    final long client;
    final int size;
    final int requestClass;
    final long deadline;
    /** Those whose line is not known to be closed, in the order in which they were sent. */
    final List<Try> out = new ArrayList<>(2);
    int tries;
    /** Waits until those that are out are closed, where no two may be out together. */
    Try next;
    /** The try whose stream the client has, from its first event on; else null. */
    Try winner;
    boolean over;
    int unsent;
    long tookAt;

    Owed(long id, ModelRequest request, long client, long deadline) {
        this.id = id;
        this.name = request.id();
        this.client = client;
        this.size = request.memoryBytes();
        this.requestClass = request.requestClass();
        this.deadline = deadline;
    }

    /** Whether the client has a part of its answer. */
    boolean begun() {
        return winner != null;
    }
}
