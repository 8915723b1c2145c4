package yewdock.core;

/**
 * What an operator has said of a box: that it drains, until that is taken back; that it is gone, which holds
 * for the start that it had then; or that it is back since then. Times are microseconds since 1970.
 */
public record OperatorOverride(Kind kind, long atEpochMicros) {
    /** What is said of the box. */
    public enum Kind { DRAINS, GONE, BACK }

    public static final OperatorOverride DRAINS = new OperatorOverride(Kind.DRAINS, 0);

    boolean drains() {
        return kind == Kind.DRAINS;
    }
}
