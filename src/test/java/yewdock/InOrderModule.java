package yewdock;

import java.util.List;
import java.util.TreeMap;
import umberspread.Routing;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;

/**
 * A module for the exchanges: it tries the boxes in the order of their cells, 1 s each, and says what it is
 * told. A request for 1 token makes it throw, one for 2 is never answered.
 */
final class InOrderModule implements Routing.Events {
    private static final long TIMEOUT = 1_000_000;
    private static final double BOOM = 1;
    private static final double FORGET = 2;
    private final TreeMap<Integer, Long> boxes = new TreeMap<>();
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
        for (Routing.ServerState r : entries) {
            boolean gone = r.lifecycle() == Routing.Lifecycle.GONE;
            line.append(' ').append(gone ? "" : r.cell()).append(r.lifecycle());
            if (!gone) {
                boxes.put(r.cell(), r.id());
            }
        }
        actions.log(line.toString());
        if (kind == ListKind.FAILED) {
            actions.wakeAt(now + TIMEOUT, 1);
        }
    }

    @Override
    public void woken(long now, int token) {
        actions.watchEndpointList();
    }

    @Override
    public void requestArrived(long now, Routing.Request r) {
        if (r.maxTokens() == BOOM) {
            throw new IllegalStateException("boom");
        }
        if (r.maxTokens() != FORGET) {
            actions.send(r.id(), boxes.firstEntry().getValue(), TIMEOUT);
        }
    }

    @Override
    public void firstToken(long now, long requestId, int attempt) {
        actions.log("told first " + requestId + "/" + attempt);
    }

    @Override
    public void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long took, boolean over,
            long kept, Routing.LoadReport report) {
        actions.log("told end " + requestId + "/" + attempt + " " + outcome + (over ? " over" : "") + " kept "
                + kept + (report == null ? "" : " load " + report.inFlight()));
        if (over) {
            return;
        }
        if (outcome == Outcome.TIMEOUT) {
            actions.fail(requestId);
        } else if (attempt + 1 < boxes.size()) {
            actions.send(requestId, List.copyOf(boxes.values()).get(attempt + 1), TIMEOUT);
        } else {
            actions.refuse(requestId, TIMEOUT / 4);
        }
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        actions.log("told gone " + requestId);
    }
}
