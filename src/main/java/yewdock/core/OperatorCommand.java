package yewdock.core;

/** The commands of the operators' admin interface. */
public enum OperatorCommand {
    HEALTH(false), COUNTERS(false), CORDON(true), UNCORDON(true), QUIESCE(false), RESUME(false);

    private final boolean namesServer;

    OperatorCommand(boolean namesServer) {
        this.namesServer = namesServer;
    }

    /** Whether the command takes the name of a server. */
    public boolean namesServer() {
        return namesServer;
    }
}
