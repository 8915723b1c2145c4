package yewdock.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
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
 * tinylog's lines on standard output, as text or as one JSON object each; the form may be set at any time.
 * Against a router that is away for longer than need be when it is killed: tinylog's own provider reads
 * management beans, process ids and locales at its first line, which took a fifth of a start. And its JSON
 * writer seeks in its file, and so can't write to a pipe, which is what a service manager gives.
 */
public final class TinylogProvider implements LoggingProvider {
    private static volatile EventLog.LogFormat form = EventLog.LogFormat.TEXT;
    private static final ThreadLocal<Boolean> ONLY_EVENTS = new ThreadLocal<>();

    private final PrintStream out = System.out;
    private final Context context = new Context();
    private final TimeZone zone = TimeZone.getDefault();

    static void setFormat(EventLog.LogFormat next) {
        form = next;
    }

    static void muteLibraryLogs() {
        ONLY_EVENTS.set(true);
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
        Level least = ONLY_EVENTS.get() == null || context.get("event") != null ? Level.INFO : Level.ERROR;
        return level.ordinal() >= least.ordinal();
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
        if (form == EventLog.LogFormat.JSON) {
            out.println(json(now, level, text, exception));
            return;
        }
        String line = timeOfDay(now + zone.getOffset(now)) + ' ' + level + ": " + text;
        if (exception == null) {
            out.println(line);
            return;
        }
        // one piece: lines of others must not come between
        synchronized (out) {
            out.println(line);
            exception.printStackTrace(out);
        }
    }

    @Override
    public void log(String loggerClassName, String tag, Level level, Throwable exception,
            MessageFormatter formatter, Object message, Object... arguments) {
        log(0, tag, level, exception, formatter, message, arguments);
    }

    @Override
    public void shutdown() {
        out.flush();
    }

    /** Hours, minutes, seconds and thousandths, made by hand: a formatter loads all the locales first. */
    static String timeOfDay(long millis) {
        long day = Math.floorMod(millis, 86_400_000L);
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
            throw new IllegalStateException("a string can always be written", e);
        }
        return line.toString();
    }

    /** Loaded with the first line of JSON only. */
    private static final class Json {
        private static final JsonFactory FACTORY = new JsonFactory();
    }

    /** The fields of the line that this thread writes. */
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
