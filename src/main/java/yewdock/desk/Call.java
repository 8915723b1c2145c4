package yewdock.desk;

/** The commands of the operators' admin interface. */
public enum Call {
    HEALTH(false), COUNTERS(false), CORDON(true), UNCORDON(true), QUIESCE(false), RESUME(false);

    private final boolean namesBox;

    Call(boolean namesBox) {
        this.namesBox = namesBox;
    }

    /** Whether the command takes the name of a server. */
    public boolean namesBox() {
        return namesBox;
    }
}
