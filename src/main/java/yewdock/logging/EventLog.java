package yewdock.logging;

import java.util.Map;
import org.tinylog.Level;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.provider.ProviderRegistry;

/**
 * Structured log lines for operators: the name of an event and its fields. In text format the fields follow
 * the name as field=value; in JSON they are fields of the line's object, so that a request or an upgrade can
 * be traced by its number.
 */
public final class EventLog {
    /** The format of log lines. */
    public enum LogFormat { TEXT, JSON }

    private EventLog() {
    }

    /** Sets the format of subsequent lines. */
    public static void setFormat(LogFormat form) {
        TinylogProvider.setFormat(form);
    }

    /**
     * Restricts library output on this thread to errors from now on; one of the libraries logs every step.
     */
    public static void muteLibraryLogs() {
        TinylogProvider.muteLibraryLogs();
    }

    /** Waits for a short while until all lines are written; to be called before the process is halted. */
    public static void flush() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Logs an event with alternating field names and values. */
    public static void info(String event, Object... fields) {
        log(Level.INFO, event, LogFields.of(fields));
    }

    /** Logs a warning with alternating field names and values. */
    public static void warn(String event, Object... fields) {
        log(Level.WARN, event, LogFields.of(fields));
    }

    /** Logs an event with these fields. */
    public static void info(String event, Map<String, Object> fields) {
        log(Level.INFO, event, fields);
    }

    private static void log(Level level, String event, Map<String, Object> fields) {
        StringBuilder text = new StringBuilder(event);
        fields.forEach((name, value) -> {
            String formatted = String.valueOf(value);
            text.append(' ').append(name).append('=');
            text.append(formatted.isEmpty() || formatted.matches(".*[\\s\"=].*")
                    ? '"' + formatted.replace("\"", "'").replace("\n", " ") + '"' : formatted);
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
