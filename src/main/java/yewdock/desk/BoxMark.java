package yewdock.desk;

/**
 * An operator's override for one server: it is draining until the override is lifted; it is gone, which holds
 * for a server that started no later than the override; or it is back in service since then. The time is in
 * microseconds since 1970.
 */
public record BoxMark(Kind kind, long at) {
    /** The state that the operator has set. */
    public enum Kind { DRAINS, GONE, BACK }

    /** The server drains until the override is lifted. */
    public static final BoxMark DRAINS = new BoxMark(Kind.DRAINS, 0);

    boolean isDraining() {
        return kind == Kind.DRAINS;
    }
}
