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

/** Discovery for one router on a clock of the test's, with the faults of {@link ScriptedDiscovery}. */
final class SimulatedDiscovery {
    /** What goes wrong with a call. */
    enum Fault { FAILS, SILENT }

    private record Entry(EndpointState state, long changedIn) {
    }

    private final DrainJudge judge;
    private final Map<Long, Entry> entries = new TreeMap<>();
    private final Deque<Fault> faults = new ArrayDeque<>();
    private long version = 100;
    private boolean reachable = true;
    private EndpointList lagging;
    private Effect.CallDiscovery call;
    private long calledAt;
    private Fault fault;

    SimulatedDiscovery(DrainJudge judge, int servers) {
        this.judge = judge;
        for (long id = 1; id <= servers; id++) {
            entries.put(id, new Entry(EndpointState.UP, version));
        }
    }

    static String name(long id) {
        return "s-" + id;
    }

    void set(long id, EndpointState state) {
        entries.put(id, new Entry(state, ++version));
        judge.changed(0, name(id), state, reachable);
    }

    void failNextCalls(List<Fault> next) {
        faults.addAll(next);
    }

    /** The call that is open fails, or is never answered. */
    void breakOpenCall(Fault how) {
        fault = how;
    }

    /** The next call is answered by a replica that has the list as it is now. */
    void lagOnce() {
        lagging = whole();
    }

    void stop() {
        reachable = false;
        judge.unreachable(0);
    }

    /** It runs again, and where it counts versions anew it knows nothing of what was removed before. */
    void restart(boolean countsAnew) {
        if (countsAnew) {
            version = 1;
            entries.values().removeIf(entry -> entry.state == EndpointState.REMOVED);
            entries.replaceAll((id, entry) -> new Entry(entry.state, version));
        }
        reachable = true;
        judge.reachable(0);
    }

    void called(Effect.CallDiscovery newCall, long now) {
        call = newCall;
        calledAt = now;
        fault = faults.poll();
    }

    void hungUp() {
        call = null;
    }

    /** The whole list as it is. */
    EndpointList whole() {
        List<ModelServer> servers = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (entry.state != EndpointState.REMOVED) {
                servers.add(server(id, entry.state));
            }
        });
        return new EndpointList(version, true, servers);
    }

    /** What has come of the open call by now. */
    List<Event> answer(long now) {
        if (call == null || fault == Fault.SILENT) {
            return List.of();
        }
        if (!reachable || fault == Fault.FAILS) {
            call = null;
            return reachable ? List.of(new Event.DiscoveryCallFailed())
                    : List.of(new Event.DiscoveryConnectionLost(), new Event.DiscoveryCallFailed());
        }
        if (lagging != null) {
            EndpointList late = lagging;
            lagging = null;
            call = null;
            return List.of(new Event.EndpointListReceived(late));
        }
        if (call.sinceVersion() >= version && now < calledAt + call.maxWaitMicros()) {
            return List.of();
        }
        return List.of(new Event.EndpointListReceived(write()));
    }

    private EndpointList write() {
        long since = call.sinceVersion();
        call = null;
        if (since < 0) {
            entries.forEach((id, entry) -> judge.written(0, name(id), entry.state));
            return whole();
        }
        List<ModelServer> changed = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (entry.changedIn > since) {
                changed.add(server(id, entry.state));
                judge.written(0, name(id), entry.state);
            }
        });
        return new EndpointList(version, false, changed);
    }

    private static ModelServer server(long id, EndpointState state) {
        Lifecycle lifecycle = switch (state) {
            case UP -> Lifecycle.READY;
            case DRAINING -> Lifecycle.DRAINING;
            case REMOVED -> Lifecycle.GONE;
        };
        return new ModelServer(name(id), "127.0.0.1:" + (9000 + id), new ServerState(id, 0, 0, 1, 1,
                lifecycle,
                0));
    }
}
