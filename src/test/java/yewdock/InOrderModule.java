package yewdock;

import java.util.List;
import java.util.TreeMap;
import umberspread.Routing;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;

/**
 * A routing module for tests: it tries the servers in the order of their cells, with a timeout of 1 s each,
 * and logs its events. A request for 1 token makes it throw; it takes no action on one for 2 tokens.
 */
final class InOrderModule implements Routing.Events {
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final double THROWING_MAX_TOKENS = 1;
    private static final double IGNORED_MAX_TOKENS = 2;
    private final TreeMap<Integer, Long> serversByCell = new TreeMap<>();
    private final Routing.Actions actions;

    InOrderModule(Routing.Actions actions) {
        this.actions = actions;
    }

    @Override
    public void started(long now) {
        actions.watchEndpointList();
    }

    @Override
    public void listReceived(long now, ListKind kind, List<Routing.ServerState> entries) {
        StringBuilder line = new StringBuilder("told list " + kind);
        for (Routing.ServerState server : entries) {
            boolean gone = server.lifecycle() == Routing.Lifecycle.GONE;
            line.append(' ').append(gone ? "" : server.cell()).append(server.lifecycle());
            if (!gone) {
                serversByCell.put(server.cell(), server.id());
            }
        }
        actions.log(line.toString());
        if (kind == ListKind.FAILED) {
            actions.wakeAt(now + TIMEOUT_MICROS, 1);
        }
    }

    @Override
    public void woken(long now, int token) {
        actions.watchEndpointList();
    }

    @Override
    public void requestArrived(long now, Routing.Request request) {
        if (request.maxTokens() == THROWING_MAX_TOKENS) {
            throw new IllegalStateException("boom");
        }
        if (request.maxTokens() != IGNORED_MAX_TOKENS) {
            actions.send(request.id(), serversByCell.firstEntry().getValue(), TIMEOUT_MICROS);
        }
    }

    @Override
    public void firstToken(long now, long requestId, int attempt) {
        actions.log("told first " + requestId + "/" + attempt);
    }

    @Override
    public void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long durationMicros,
            boolean requestOver, long keptTokens, Routing.LoadReport report) {
        actions.log("told end " + requestId + "/" + attempt + " " + outcome
                + (requestOver ? " over" : "") + " kept " + keptTokens
                + (report == null ? "" : " load " + report.inFlight()));
        if (requestOver) {
            return;
        }
        if (outcome == Outcome.TIMEOUT) {
            actions.fail(requestId);
        } else if (attempt + 1 < serversByCell.size()) {
            actions.send(requestId, List.copyOf(serversByCell.values()).get(attempt + 1), TIMEOUT_MICROS);
        } else {
            actions.refuse(requestId, TIMEOUT_MICROS / 4);
        }
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        actions.log("told gone " + requestId);
    }
}
