package yewdock.door;

import java.util.LinkedHashMap;
import java.util.Map;
import yewdock.desk.Call;
import yewdock.desk.Effect;
import yewdock.desk.Event;
import yewdock.desk.Figures;
import yewdock.platform.Front;
import yewdock.platform.Side;
import yewdock.platform.Wire;

/**
 * The admin interface for operators: one command line and one answer per connection. It parses commands and
 * formats answers; the reducer executes them. Runs on the reducer's thread.
 *
 * <p>Idle connections can't lock an operator out: above the maximum, the oldest connection is closed.
 */
public final class Door {
    /** Maximum number of open connections; more would use descriptors that clients and servers need. */
    public static final int MOST_CALLERS = 16;
    /** Accept limit, higher because connections that are being closed hold a descriptor for a moment. */
    public static final int MOST_ACCEPTED = MOST_CALLERS + 8;
    /** A connection that sends nothing for this many seconds is closed. */
    public static final int PATIENCE_SECONDS = 3;
    private static final String COUNTER_PREFIX = "edge_proxy.";

    private final Front front;
    private final Map<Long, Caller> connections = new LinkedHashMap<>();
    private long lastId;

    /** Creates an admin interface whose commands go through this platform front. */
    public Door(Front front) {
        this.front = front;
        front.answerCallsBy(this::answer);
    }

    /** Handles a new connection. */
    public Side accept(Wire transportConnection) {
        Caller connection = new Caller(this, ++lastId, transportConnection);
        connections.put(lastId, connection);
        if (connections.size() > MOST_CALLERS) {
            connections.values().iterator().next().evict();
        }
        return connection;
    }

    /** Passes a command to the reducer; server is the name in the command, or "". */
    void dispatch(long connectionId, Call command, String server) {
        front.happened(new Event.Called(connectionId, command, server));
    }

    /** Forgets a connection; an answer that is still to come for it is dropped. */
    void remove(long connectionId) {
        connections.remove(connectionId);
    }

    private void answer(Effect effect) {
        if (effect instanceof Effect.AnswerCall e) {
            answer(e.caller(), (e.yes() ? "YES " : "NO ") + e.text() + "\n");
        } else if (effect instanceof Effect.AnswerFigures e) {
            answer(e.caller(), format(e.figures()));
        }
    }

    private void answer(long connectionId, String text) {
        Caller connection = connections.get(connectionId);
        if (connection != null) {
            connection.answer(text);
        }
    }

    /** Formats the counters one per line, followed by a line that shows that the answer is complete. */
    static String format(Figures counters) {
        StringBuilder text = new StringBuilder();
        for (Figures.OfClass classCounters : counters.classes()) {
            String name = "downstream_requests." + classCounters.name() + '.';
            appendCounter(text, name + "completed", classCounters.completed());
            appendCounter(text, name + "rejected", classCounters.rejected());
            appendCounter(text, name + "failed", classCounters.failed());
        }
        appendCounter(text, "upstream_requests", counters.tries());
        appendCounter(text, "pending", counters.pending());
        appendCounter(text, "members", counters.boxes());
        appendCounter(text, "members_unavailable", counters.avoided());
        return text.append("END\n").toString();
    }

    private static void appendCounter(StringBuilder text, String name, long value) {
        text.append(COUNTER_PREFIX).append(name).append('=').append(value).append('\n');
    }
}
