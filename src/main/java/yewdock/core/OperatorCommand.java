package yewdock.core;

/** What an operator can call for at the door. */
public enum OperatorCommand {
    HEALTH(false), COUNTERS(false), CORDON(true), UNCORDON(true), QUIESCE(false), RESUME(false);

    private final boolean namesBox;

    OperatorCommand(boolean namesBox) {
        this.namesBox = namesBox;
    }

    /** Whether the call names a model box. */
    public boolean namesBox() {
        return namesBox;
    }
}
