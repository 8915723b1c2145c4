package yewdock.logging;

import java.util.Map;
import org.tinylog.Level;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Lines for the operator: an event's name and its fields. As text they follow the name as field=value; as
 * JSON they are fields of the line's object, so that one request or one upgrade can be followed by its
 * number.
 */
public final class EventLog {
    /** How lines are written. */
    public enum LogFormat { TEXT, JSON }

    private EventLog() {
    }

    /** Sets the form of the lines to come. */
    public static void setFormat(LogFormat form) {
        TinylogProvider.setFormat(form);
    }

    /**
     * Of what libraries say on this thread, only errors count from now on: one of them tells its every step.
     */
    public static void muteLibraryLogs() {
        TinylogProvider.muteLibraryLogs();
    }

    /** A line with fields given as name and value by turns. */
    public static void info(String event, Object... fields) {
        say(Level.INFO, event, LogFields.of(fields));
    }

    /** A line that tells of trouble. */
    public static void warn(String event, Object... fields) {
        say(Level.WARN, event, LogFields.of(fields));
    }

    /** A line with these fields. */
    public static void info(String event, Map<String, Object> fields) {
        say(Level.INFO, event, fields);
    }

    private static void say(Level level, String event, Map<String, Object> fields) {
        StringBuilder text = new StringBuilder(event);
        fields.forEach((name, value) -> {
            String word = String.valueOf(value);
            text.append(' ').append(name).append('=');
            text.append(word.isEmpty() || word.matches(".*[\\s\"=].*")
                    ? '"' + word.replace("\"", "'").replace("\n", " ") + '"' : word);
        });
        ThreadContext.put("event", event);
        fields.forEach((name, value) -> ThreadContext.put(name, String.valueOf(value)));
        try {
            if (level == Level.WARN) {
                Logger.warn("{}", text);
            } else {
                Logger.info("{}", text);
            }
        } finally {
            ThreadContext.clear();
        }
    }
}
