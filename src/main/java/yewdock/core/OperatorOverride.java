package yewdock.core;

/**
 * An operator's override for one server: it is draining until the override is lifted; it is gone, which holds
 * for a server that started no later than the override; or it is back in service since then. The time is in
 * microseconds since 1970.
 */
public record OperatorOverride(Kind kind, long atEpochMicros) {
    /** The state that the operator has set. */
    public enum Kind { DRAINS, GONE, BACK }

    /** The server drains until the override is lifted. */
    public static final OperatorOverride DRAINS = new OperatorOverride(Kind.DRAINS, 0);

    boolean isDraining() {
        return kind == Kind.DRAINS;
    }
}
