package yewdock.http;

/** Thrown for a message that violates HTTP or a size limit. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /** The status is the one to respond with to a request; the message says what is wrong with it. */
    public BadMessageException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The HTTP status that tells the sender of a request what is wrong. */
    public int status() {
        return status;
    }
}
