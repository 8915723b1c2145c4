package yewdock.core;

import umberspread.Routing;

/** An entry of the endpoint list: one server, its address, and what the module is told of it. */
public record ModelServer(String name, String address, Routing.ServerState replica) {
    /** Returns the server's id. */
    public long id() {
        return replica.id();
    }

    /** Whether the entry only reports that the server has left the list. */
    public boolean isGone() {
        return replica.lifecycle() == Routing.Lifecycle.GONE;
    }

    /**
     * Whether connections that were made to this entry's process reach the one of a newer entry: the server
     * has neither moved nor been started again since.
     */
    boolean isSameProcess(ModelServer newer) {
        return newer.address.equals(address) && newer.replica.startedAt() <= replica.startedAt();
    }

    /** Whether new attempts may be sent to the server. */
    boolean takesWork() {
        return replica.lifecycle() == Routing.Lifecycle.READY;
    }
}
