package yewdock.daemon;

/** A state that this version can't take up; the message is one clear line. */
public final class UnreadableStateException extends Exception {
    private static final long serialVersionUID = 1;

    UnreadableStateException(String message) {
        super(message);
    }
}
