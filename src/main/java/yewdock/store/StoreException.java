package yewdock.store;

/** Thrown when a store can't be used; the message is one line for the operator. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1;

    /** The kinds of failure. */
    public enum Kind {
        /** Another process has the store open. */
        LOCKED,
        /** The store can't be written. */
        READ_ONLY,
        /** The store was written by a newer version. */
        NEWER,
        /** The content is not what was committed. */
        DAMAGED,
        /** The disk is full or fails, or there is no store to read. */
        UNWRITABLE
    }

    private final Kind kind;

    /** A failure without a cause. */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** A failure caused by another exception. */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** The kind of failure. */
    public Kind kind() {
        return kind;
    }
}
