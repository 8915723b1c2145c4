package umberspread.adapter;

/** Invalid input; the message says what was found and where. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
