package yewdock.core;

/** What an operator can call for at the door. */
public enum OperatorCommand {
    HEALTH(false), COUNTERS(false), CORDON(true), UNCORDON(true), QUIESCE(false), RESUME(false);

    private final boolean namesServer;

    OperatorCommand(boolean namesBox) {
        this.namesServer = namesBox;
    }

    /** Whether the call names a model box. */
    public boolean namesServer() {
        return namesServer;
    }
}
