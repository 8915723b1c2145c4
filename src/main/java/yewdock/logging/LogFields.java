package yewdock.logging;

import java.util.LinkedHashMap;
import java.util.Map;

/** A line's fields, in their order. */
public final class LogFields {
    private LogFields() {
    }

    /** The fields given as name and value by turns. */
    public static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            fields.put(String.valueOf(namesAndValues[i]), namesAndValues[i + 1]);
        }
        return fields;
    }
}
