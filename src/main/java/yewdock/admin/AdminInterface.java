package yewdock.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import yewdock.core.Effect;
import yewdock.core.Event;
import yewdock.core.OperatorCommand;
import yewdock.core.RouterStatistics;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;
import yewdock.platform.ConnectionManager;

/**
 * The admin interface for operators: one command line and one answer per connection. It parses commands and
 * formats answers; the reducer executes them. Runs on the reducer's thread.
 *
 * <p>Idle connections can't lock an operator out: above the maximum, the oldest connection is closed.
 */
public final class AdminInterface {
    /** Maximum number of open connections; more would use descriptors that clients and servers need. */
    public static final int MAX_CONNECTIONS = 16;
    /** Accept limit, higher because connections that are being closed hold a descriptor for a moment. */
    public static final int MAX_ACCEPTED_CONNECTIONS = MAX_CONNECTIONS + 8;
    /** A connection that sends nothing for this many seconds is closed. */
    public static final int IDLE_TIMEOUT_SECONDS = 3;
    private static final String COUNTER_PREFIX = "edge_proxy.";

    private final ConnectionManager connectionManager;
    private final Map<Long, AdminConnection> connections = new LinkedHashMap<>();
    private long lastId;

    /** Creates an admin interface whose commands go through this platform front. */
    public AdminInterface(ConnectionManager connectionManager) {
        this.connectionManager = connectionManager;
        connectionManager.forwardOperatorAnswersTo(this::answer);
    }

    /** Handles a new connection. */
    public ConnectionHandler accept(Connection transportConnection) {
        AdminConnection connection = new AdminConnection(this, ++lastId, transportConnection);
        connections.put(lastId, connection);
        if (connections.size() > MAX_CONNECTIONS) {
            connections.values().iterator().next().evict();
        }
        return connection;
    }

    /** Passes a command to the reducer; server is the name in the command, or "". */
    void dispatch(long connectionId, OperatorCommand command, String server) {
        connectionManager.dispatch(new Event.OperatorCommandReceived(connectionId, command, server));
    }

    /** Forgets a connection; an answer that is still to come for it is dropped. */
    void remove(long connectionId) {
        connections.remove(connectionId);
    }

    private void answer(Effect effect) {
        if (effect instanceof Effect.AnswerCommand e) {
            answer(e.caller(), (e.accepted() ? "YES " : "NO ") + e.text() + "\n");
        } else if (effect instanceof Effect.AnswerStatistics e) {
            answer(e.caller(), format(e.statistics()));
        }
    }

    private void answer(long connectionId, String text) {
        AdminConnection connection = connections.get(connectionId);
        if (connection != null) {
            connection.answer(text);
        }
    }

    /** Formats the counters one per line, followed by a line that shows that the answer is complete. */
    static String format(RouterStatistics counters) {
        StringBuilder text = new StringBuilder();
        for (RouterStatistics.ClassStatistics classCounters : counters.classes()) {
            String name = "downstream_requests." + classCounters.name() + '.';
            appendCounter(text, name + "completed", classCounters.completed());
            appendCounter(text, name + "rejected", classCounters.rejected());
            appendCounter(text, name + "failed", classCounters.failed());
        }
        appendCounter(text, "upstream_requests", counters.attempts());
        appendCounter(text, "pending", counters.pending());
        appendCounter(text, "members", counters.servers());
        appendCounter(text, "members_unavailable", counters.unavailableServers());
        return text.append("END\n").toString();
    }

    private static void appendCounter(StringBuilder text, String name, long value) {
        text.append(COUNTER_PREFIX).append(name).append('=').append(value).append('\n');
    }
}
