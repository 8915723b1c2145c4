package yewdock.desk;

import umberspread.Routing;

/** A line of the box list: one model box, where it listens, and what the module is told of it. */
public record ModelBox(String name, String address, Routing.Replica replica) {
    public long id() {
        return replica.id();
    }

    boolean takesWork() {
        return replica.lifecycle() == Routing.Lifecycle.READY;
    }
}
