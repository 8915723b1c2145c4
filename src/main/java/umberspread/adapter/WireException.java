package umberspread.adapter;

/** Input that cannot be read; the message says what was found where. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
