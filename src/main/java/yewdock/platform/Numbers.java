package yewdock.platform;

/** Parses plain decimal numbers in headers: no hexadecimal, infinity or sign, as Java would accept. */
final class Numbers {
    private Numbers() {
    }

    /** Parses the number; NaN if the text is null or malformed. */
    static double decimal(String text) {
        if (text == null || !text.matches("[0-9]{1,15}(\\.[0-9]{0,18})?([eE]-?[0-9]{1,2})?")) {
            return Double.NaN;
        }
        return Double.parseDouble(text);
    }
}
