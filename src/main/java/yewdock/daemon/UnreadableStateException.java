package yewdock.daemon;

/** Thrown for a state that this version can't decode; the message is a single line. */
public final class UnreadableStateException extends Exception {
    private static final long serialVersionUID = 1;

    UnreadableStateException(String message) {
        super(message);
    }
}
