package yewdock.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Lines on standard output, as text or as one JSON object each; the form may be set after the first line.
 * tinylog's own JSON writer seeks in its file, and so can't write to a pipe, which is what a service manager
 * gives; and its configuration is fixed with the first line, which the reader of the settings may write.
 */
public final class Lines implements Writer {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneId.systemDefault());
    private static volatile Say.Form form = Say.Form.TEXT;

    private final PrintStream out = System.out;

    /** Made by tinylog, with the properties of the configuration, which it needs none of. */
    public Lines(Map<String, String> properties) {
    }

    static void as(Say.Form next) {
        form = next;
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE,
                LogEntryValue.CONTEXT, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) throws IOException {
        if (form == Say.Form.JSON) {
            out.println(json(entry));
            return;
        }
        out.println(TIME.format(entry.getTimestamp().toInstant()) + " " + entry.getLevel() + ": "
                + entry.getMessage());
        if (entry.getException() != null) {
            entry.getException().printStackTrace(out);
        }
    }

    private static String json(LogEntry entry) throws IOException {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = Json.FACTORY.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("time", entry.getTimestamp().toInstant().toString());
            json.writeStringField("level", entry.getLevel().toString());
            for (Map.Entry<String, String> field : entry.getContext().entrySet()) {
                json.writeStringField(field.getKey(), field.getValue());
            }
            json.writeStringField("message", entry.getMessage());
            if (entry.getException() != null) {
                json.writeStringField("exception", entry.getException().toString());
            }
            json.writeEndObject();
        }
        return line.toString();
    }

    /** Loaded with the first line of JSON only. */
    private static final class Json {
        private static final JsonFactory FACTORY = new JsonFactory();
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        out.flush();
    }
}
