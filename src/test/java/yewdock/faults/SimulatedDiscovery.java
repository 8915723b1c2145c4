package yewdock.faults;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ServerState;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.ModelServer;

/**
 * Discovery for one router on a simulated clock: takes the reducer's effects, returns events and injects
 * faults as {@link ScriptedDiscovery} does over sockets. Reports to the checker what it tells the router.
 */
final class SimulatedDiscovery {
    /** A fault of one call: it fails, or it is never answered. */
    enum Fault { FAILS, SILENT }

    private record Entry(EndpointState state, long changedInVersion) {
    }

    private final DrainRuleChecker checker;
    private final Map<Long, Entry> entries = new TreeMap<>();
    private final Deque<Fault> nextCallFaults = new ArrayDeque<>();
    private long version = 100;
    private boolean reachable = true;
    private EndpointList staleList;
    private Effect.CallDiscovery openCall;
    private long calledAtMicros;
    private Fault openCallFault;

    SimulatedDiscovery(DrainRuleChecker checker, int servers) {
        this.checker = checker;
        for (long id = 1; id <= servers; id++) {
            entries.put(id, new Entry(EndpointState.UP, version));
        }
    }

    /** The name of the server with this number. */
    static String serverName(long id) {
        return "s-" + id;
    }

    /** Changes a server's state and increments the list version. */
    void setState(long id, EndpointState state) {
        entries.put(id, new Entry(state, ++version));
        checker.stateChanged(0, serverName(id), state, reachable);
    }

    /** Injects faults into the next calls, one each, in this order. */
    void failNextCalls(List<Fault> faults) {
        nextCallFaults.addAll(faults);
    }

    /** Injects a fault into the open call. */
    void failOpenCall(Fault fault) {
        openCallFault = fault;
    }

    /** Answers the next call with the present list, as a lagging replica would, even if it changes before. */
    void answerNextCallWithCurrentList() {
        staleList = fullList();
    }

    /** Starts an outage: the open call and further ones fail. */
    void stop() {
        reachable = false;
        checker.discoveryUnreachable(0);
    }

    /**
     * Ends the outage.
     *
     * @param resetsVersions whether versions start from 1 again and removed servers are forgotten
     */
    void restart(boolean resetsVersions) {
        if (resetsVersions) {
            version = 1;
            entries.values().removeIf(entry -> entry.state == EndpointState.REMOVED);
            entries.replaceAll((id, entry) -> new Entry(entry.state, version));
        }
        reachable = true;
        checker.discoveryReachable(0);
    }

    /** Takes the router's call; the next pending fault, if any, applies to it. */
    void onCall(Effect.CallDiscovery call, long nowMicros) {
        openCall = call;
        calledAtMicros = nowMicros;
        openCallFault = nextCallFaults.poll();
    }

    /** The router has cancelled its call. */
    void cancelCall() {
        openCall = null;
    }

    /** Returns the full list, without removed servers. */
    EndpointList fullList() {
        List<ModelServer> servers = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (entry.state != EndpointState.REMOVED) {
                servers.add(toModelServer(id, entry.state));
            }
        });
        return new EndpointList(version, true, servers);
    }

    /** Returns the events that the open call has led to by now, in order; empty while it is pending. */
    List<Event> pollEvents(long nowMicros) {
        if (openCall == null || openCallFault == Fault.SILENT) {
            return List.of();
        }
        if (!reachable || openCallFault == Fault.FAILS) {
            openCall = null;
            return reachable ? List.of(new Event.DiscoveryCallFailed())
                    : List.of(new Event.DiscoveryConnectionLost(), new Event.DiscoveryCallFailed());
        }
        if (staleList != null) {
            EndpointList list = staleList;
            staleList = null;
            openCall = null;
            return List.of(new Event.EndpointListReceived(list));
        }
        if (openCall.sinceVersion() >= version && nowMicros < calledAtMicros + openCall.maxWaitMicros()) {
            return List.of();
        }
        return List.of(new Event.EndpointListReceived(writeList()));
    }

    private EndpointList writeList() {
        long sinceVersion = openCall.sinceVersion();
        openCall = null;
        if (sinceVersion < 0) {
            entries.forEach((id, entry) -> checker.stateWritten(0, serverName(id), entry.state));
            return fullList();
        }
        List<ModelServer> changed = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (entry.changedInVersion > sinceVersion) {
                changed.add(toModelServer(id, entry.state));
                checker.stateWritten(0, serverName(id), entry.state);
            }
        });
        return new EndpointList(version, false, changed);
    }

    private static ModelServer toModelServer(long id, EndpointState state) {
        Lifecycle lifecycle = switch (state) {
            case UP -> Lifecycle.READY;
            case DRAINING -> Lifecycle.DRAINING;
            case REMOVED -> Lifecycle.GONE;
        };
        return new ModelServer(serverName(id), "127.0.0.1:" + (9000 + id), new ServerState(id, 0, 0, 1, 1,
                lifecycle, 0));
    }
}
