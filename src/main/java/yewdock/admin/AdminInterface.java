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
 * The operators' door: one line to a connection, and one answer. It reads calls and prints answers; what they
 * do is the desk's business. Runs on the desk's thread.
 *
 * <p>Callers that say nothing cost no good one its place: beyond a few, the one that has been silent longest
 * makes room.
 */
public final class AdminInterface {
    /** So many callers at once; more take descriptors that clients and boxes need. */
    public static final int MAX_CONNECTIONS = 16;
    /** Those that are being given up still hold a descriptor for a moment. */
    public static final int MAX_ACCEPTED_CONNECTIONS = MAX_CONNECTIONS + 8;
    /** A caller that sends nothing for so long is given up. */
    public static final int IDLE_TIMEOUT_SECONDS = 3;
    private static final String PREFIX = "edge_proxy.";

    private final ConnectionManager front;
    private final Map<Long, AdminConnection> callers = new LinkedHashMap<>();
    private long last;

    /** A door whose calls go through this front. */
    public AdminInterface(ConnectionManager front) {
        this.front = front;
        front.forwardOperatorAnswersTo(this::answer);
    }

    /** An operator has connected. */
    public ConnectionHandler accept(Connection wire) {
        AdminConnection caller = new AdminConnection(this, ++last, wire);
        callers.put(last, caller);
        if (callers.size() > MAX_CONNECTIONS) {
            callers.values().iterator().next().makeRoom();
        }
        return caller;
    }

    void called(long caller, OperatorCommand call, String box) {
        front.dispatch(new Event.OperatorCommandReceived(caller, call, box));
    }

    void forget(long caller) {
        callers.remove(caller);
    }

    private void answer(Effect effect) {
        if (effect instanceof Effect.AnswerCommand e) {
            answer(e.caller(), (e.accepted() ? "YES " : "NO ") + e.text() + "\n");
        } else if (effect instanceof Effect.AnswerStatistics e) {
            answer(e.caller(), print(e.statistics()));
        }
    }

    private void answer(long caller, String text) {
        AdminConnection to = callers.get(caller);
        if (to != null) {
            to.answer(text);
        }
    }

    /** The figures, one a line, and a last line that tells that none is missing. */
    static String print(RouterStatistics figures) {
        StringBuilder text = new StringBuilder();
        for (RouterStatistics.ClassStatistics c : figures.classes()) {
            String name = "downstream_requests." + c.name() + '.';
            line(text, name + "completed", c.completed());
            line(text, name + "rejected", c.rejected());
            line(text, name + "failed", c.failed());
        }
        line(text, "upstream_requests", figures.attempts());
        line(text, "pending", figures.pending());
        line(text, "members", figures.servers());
        line(text, "members_unavailable", figures.unavailableServers());
        return text.append("END\n").toString();
    }

    private static void line(StringBuilder text, String name, long figure) {
        text.append(PREFIX).append(name).append('=').append(figure).append('\n');
    }
}
