package yewdock.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TimeZone;
import org.tinylog.Level;
import org.tinylog.format.MessageFormatter;
import org.tinylog.provider.ContextProvider;
import org.tinylog.provider.LoggingProvider;

/**
 * A tinylog provider that writes log lines to standard output, as text or as one JSON object each; the format
 * can be changed at any time. It replaces tinylog's own provider for two reasons: that one reads management
 * beans, process ids and locales for its first line, which took a fifth of the start time and prolonged the
 * outage when a router is killed; and its JSON writer seeks in its file, so it can't write to the pipe that
 * a service manager provides.
 */
public final class TinylogProvider implements LoggingProvider {
    private static volatile EventLog.LogFormat format = EventLog.LogFormat.TEXT;
    private static final ThreadLocal<Boolean> LIBRARY_LOGS_MUTED = new ThreadLocal<>();

    /** How long an error waits until it is written: the process may end right behind it. */
    private static final long ERROR_FLUSH_MILLIS = 200;
    private static final long SHUTDOWN_FLUSH_MILLIS = 300;

    private final LineWriter writer = new LineWriter(System.out);
    private final Context context = new Context();
    private final TimeZone zone = TimeZone.getDefault();

    /** Sets the format of subsequent lines. */
    static void setFormat(EventLog.LogFormat next) {
        format = next;
    }

    /** Restricts library output on this thread to errors; event lines are still written. */
    static void muteLibraryLogs() {
        LIBRARY_LOGS_MUTED.set(true);
    }

    @Override
    public ContextProvider getContextProvider() {
        return context;
    }

    @Override
    public Level getMinimumLevel() {
        return Level.INFO;
    }

    @Override
    public Level getMinimumLevel(String tag) {
        return Level.INFO;
    }

    @Override
    public boolean isEnabled(int depth, String tag, Level level) {
        Level minLevel = LIBRARY_LOGS_MUTED.get() == null || context.get("event") != null ? Level.INFO
                : Level.ERROR;
        return level.ordinal() >= minLevel.ordinal();
    }

    @Override
    public boolean isEnabled(String loggerClassName, String tag, Level level) {
        return isEnabled(0, tag, level);
    }

    @Override
    public void log(int depth, String tag, Level level, Throwable exception, MessageFormatter formatter,
            Object message, Object... arguments) {
        if (!isEnabled(depth, tag, level)) {
            return;
        }
        String text = arguments == null || formatter == null ? String.valueOf(message)
                : formatter.format(String.valueOf(message), arguments);
        long now = System.currentTimeMillis();
        if (format == EventLog.LogFormat.JSON) {
            writer.write(json(now, level, text, exception));
        } else {
            String line = timeOfDay(now + zone.getOffset(now)) + ' ' + level + ": " + text;
            writer.write(exception == null ? line : line + '\n' + stackTrace(exception));
        }
        if (level == Level.ERROR) {
            writer.flush(ERROR_FLUSH_MILLIS);
        }
    }

    private static String stackTrace(Throwable exception) {
        StringWriter text = new StringWriter();
        exception.printStackTrace(new PrintWriter(text, true));
        return text.toString().stripTrailing();
    }

    @Override
    public void log(String loggerClassName, String tag, Level level, Throwable exception,
            MessageFormatter formatter, Object message, Object... arguments) {
        log(0, tag, level, exception, formatter, message, arguments);
    }

    @Override
    public void shutdown() {
        writer.flush(SHUTDOWN_FLUSH_MILLIS);
    }

    /** Formats as HH:mm:ss.SSS without a formatter, because a formatter loads all locales first. */
    static String timeOfDay(long epochMillis) {
        long day = Math.floorMod(epochMillis, 86_400_000L);
        StringBuilder text = new StringBuilder(12);
        digits(text, day / 3_600_000, 10).append(':');
        digits(text, day / 60_000 % 60, 10).append(':');
        digits(text, day / 1000 % 60, 10).append('.');
        return digits(text, day % 1000, 100).toString();
    }

    private static StringBuilder digits(StringBuilder text, long number, int highest) {
        for (int place = highest; place > 0; place /= 10) {
            text.append((char) ('0' + number / place % 10));
        }
        return text;
    }

    private String json(long now, Level level, String text, Throwable exception) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = Json.FACTORY.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("time", Instant.ofEpochMilli(now).toString());
            json.writeStringField("level", level.toString());
            for (Map.Entry<String, String> field : context.getMapping().entrySet()) {
                json.writeStringField(field.getKey(), field.getValue());
            }
            json.writeStringField("message", text);
            if (exception != null) {
                json.writeStringField("exception", exception.toString());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing JSON to a string failed", e);
        }
        return line.toString();
    }

    /** Holder class, so that the JSON library is loaded with the first JSON line only. */
    private static final class Json {
        private static final JsonFactory FACTORY = new JsonFactory();
    }

    /** The fields of the line that the current thread writes. */
    private static final class Context implements ContextProvider {
        private final ThreadLocal<Map<String, String>> fields =
                ThreadLocal.withInitial(LinkedHashMap::new);

        @Override
        public Map<String, String> getMapping() {
            return fields.get();
        }

        @Override
        public String get(String key) {
            return fields.get().get(key);
        }

        @Override
        public void put(String key, Object value) {
            fields.get().put(key, String.valueOf(value));
        }

        @Override
        public void remove(String key) {
            fields.get().remove(key);
        }

        @Override
        public void clear() {
            fields.get().clear();
        }
    }
}
