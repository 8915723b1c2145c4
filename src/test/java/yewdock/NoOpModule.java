package yewdock;

import java.util.List;
import umberspread.Routing;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;
import umberspread.Routing.ServerState;

/** A module that takes no action on any event; a test overrides the events that it is about. */
class NoOpModule implements Routing.Events {
    @Override
    public void started(long now) {
        // no action
    }

    @Override
    public void listReceived(long now, ListKind kind, List<ServerState> entries) {
        // no action
    }

    @Override
    public void requestArrived(long now, Routing.Request request) {
        // no action
    }

    @Override
    public void firstToken(long now, long requestId, int attempt) {
        // no action
    }

    @Override
    public void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long took,
            boolean requestOver, long keptTokens, Routing.LoadReport report) {
        // no action
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        // no action
    }

    @Override
    public void woken(long now, int token) {
        // no action
    }
}
