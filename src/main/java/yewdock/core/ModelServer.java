package yewdock.core;

import umberspread.Routing;

/** A line of the box list: one model box, where it listens, and what the module is told of it. */
public record ModelServer(String name, String address, Routing.ServerState replica) {
    public long id() {
        return replica.id();
    }

    /** Whether the line only says that the box has left the list. */
    public boolean isGone() {
        return replica.lifecycle() == Routing.Lifecycle.GONE;
    }

    boolean takesWork() {
        return replica.lifecycle() == Routing.Lifecycle.READY;
    }
}
