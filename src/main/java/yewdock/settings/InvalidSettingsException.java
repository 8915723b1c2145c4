package yewdock.settings;

import java.util.List;

/** Thrown for an invalid settings file; each error is one line with the file, the key and what is allowed. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> errors;

    /** Creates an exception with these error lines. */
    public InvalidSettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /** The error lines, in the order in which they were found. */
    public List<String> errors() {
        return errors;
    }
}
