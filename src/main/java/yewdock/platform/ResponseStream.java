package yewdock.platform;

import java.nio.ByteBuffer;
import org.json.JSONException;
import org.json.JSONObject;
import umberspread.Routing.LoadReport;
import yewdock.core.Counters;
import yewdock.http.EventStreamLineReader;

/**
 * Follows one response's stream of events: when its first event is complete, whether it has come to its end,
 * and what its last lines report.
 *
 * <p>A stream is complete only once its event {@code [DONE]} is. The end of the HTTP body does not show that:
 * a server whose model fails in the middle of a stream may still end the body in good order.
 */
final class ResponseStream {
    private static final String DATA_FIELD = "data:";
    private static final String DONE = "[DONE]";

    private final Counters counters;
    private final EventStreamLineReader lines = new EventStreamLineReader(this::onLine, this::onEventEnd);
    /** Lines of the current event that hold data, and whether one of them is the end marker. */
    private int dataLines;
    private boolean doneLineSeen;
    private boolean firstEventComplete;
    private boolean complete;
    private LoadReport loadReport;
    private long cachedTokens;

    /** Makes the state of a response whose head had this load report; null if it had none. */
    ResponseStream(Counters counters, LoadReport reportOfHead) {
        this.counters = counters;
        this.loadReport = reportOfHead;
    }

    /** Reads a piece of the body without changing its position. */
    void read(ByteBuffer piece) {
        lines.read(piece);
    }

    /** Whether an event with data has been received to its end. */
    boolean firstEventComplete() {
        return firstEventComplete;
    }

    /** Whether the event that ends the stream has been received to its end. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the newest load report; null if there was none. */
    LoadReport loadReport() {
        return loadReport;
    }

    /** Returns how many prompt tokens the server had cached, or 0 if it did not say. */
    long cachedTokens() {
        return cachedTokens;
    }

    private void onLine(String line) {
        if (line.startsWith(":")) {
            LoadReport read = LoadReports.inComment(line);
            loadReport = read == null ? loadReport : read;
        } else if (line.startsWith(DATA_FIELD)) {
            dataLines++;
            onData(line.substring(DATA_FIELD.length()).strip());
        } else if (line.equals("data")) {
            dataLines++;
        }
    }

    private void onData(String data) {
        doneLineSeen |= data.equals(DONE);
        if (data.contains("\"usage\"")) {
            readUsage(data);
        }
    }

    private void readUsage(String data) {
        try {
            JSONObject usage = new JSONObject(data).optJSONObject("usage");
            JSONObject details = usage == null ? null : usage.optJSONObject("prompt_tokens_details");
            cachedTokens = details == null ? cachedTokens : Math.max(0, details.optLong("cached_tokens"));
        } catch (JSONException e) {
            counters.add("boxes.malformed_usage");
        }
    }

    private void onEventEnd() {
        firstEventComplete |= dataLines > 0;
        complete |= doneLineSeen && dataLines == 1;
        dataLines = 0;
        doneLineSeen = false;
    }
}
