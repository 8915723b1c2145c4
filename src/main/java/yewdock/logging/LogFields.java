package yewdock.logging;

import java.util.LinkedHashMap;
import java.util.Map;

/** Builds the ordered fields of a log line. */
public final class LogFields {
    private LogFields() {
    }

    /** The fields of alternating names and values; a name without value is dropped. */
    public static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            fields.put(String.valueOf(namesAndValues[i]), namesAndValues[i + 1]);
        }
        return fields;
    }
}
