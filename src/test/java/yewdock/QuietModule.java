package yewdock;

import java.util.List;
import umberspread.Routing;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;
import umberspread.Routing.ServerState;

/** A module that asks for nothing: a test overrides what it wants to see or to have asked. */
class QuietModule implements Routing.Events {
    @Override
    public void started(long now) {
        // asks for nothing
    }

    @Override
    public void listReceived(long now, ListKind kind, List<ServerState> entries) {
        // asks for nothing
    }

    @Override
    public void requestArrived(long now, Routing.Request request) {
        // asks for nothing
    }

    @Override
    public void firstToken(long now, long requestId, int attempt) {
        // asks for nothing
    }

    @Override
    public void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long took,
            boolean requestOver, long keptTokens, Routing.LoadReport report) {
        // asks for nothing
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        // asks for nothing
    }

    @Override
    public void woken(long now, int token) {
        // asks for nothing
    }
}
