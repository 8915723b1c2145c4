package yewdock.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * One JSON object a line, on standard output. tinylog's own JSON writer seeks in its file, and so can't write
 * to a pipe, which is what a service manager gives.
 */
public final class JsonLines implements Writer {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final PrintStream out = System.out;

    /** Made by tinylog, with the properties of the configuration, which it needs none of. */
    public JsonLines(Map<String, String> properties) {
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE,
                LogEntryValue.CONTEXT, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) throws IOException {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(line)) {
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
        out.println(line);
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
