package yewdock.settings;

import java.util.List;

/** Settings that can't be taken; each mistake is one line with the file, the key and what is allowed. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> errors;

    public InvalidSettingsException(List<String> mistakes) {
        super(String.join("\n", mistakes));
        this.errors = List.copyOf(mistakes);
    }

    public List<String> errors() {
        return errors;
    }
}
