package yewdock.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.LoadReport;
import umberspread.Routing.Outcome;
import umberspread.Routing.Request;
import umberspread.Routing.ServerState;

/**
 * Common part of the textbook policies, modelled on usual load balancers: it follows the endpoint list,
 * leaves out draining servers, sends little to a server in slow start, retries on other servers a few times,
 * and then refuses or fails the request.
 */
abstract class BaselinePolicy implements Routing.Events {
    private static final int LIST_TIMER = 0;
    private static final int MAX_RETRIES = 2;
    private static final double COLD_SEND_SHARE = 0.5;

    final Routing.Settings settings;
    final Routing.Actions actions;
    final SplittableRandom random;
    final Map<Long, TrackedServer> servers = new TreeMap<>();
    final List<TrackedServer> readyServers = new ArrayList<>();
    private final Map<Long, InFlightRequest> inFlightRequests = new HashMap<>();
    private boolean watching;
    int totalInFlight;
    double totalInFlightTokens;

    /** A listed server with the load that this policy has on it. */
    static final class TrackedServer {
        ServerState state;
        int inFlight;
        double inFlightTokens;
        LoadReport lastReport;
        int sentSinceReport;

        TrackedServer(ServerState replica) {
            this.state = replica;
        }
    }

    /** A request that has had no final answer yet. */
    private static final class InFlightRequest {
        private final Request request;
        private final long deadlineMicros;
        private final List<TrackedServer> attemptedServers = new ArrayList<>(1);
        private boolean attemptInFlight;
        private boolean mayHaveRun;

        InFlightRequest(Request request, long deadline) {
            this.request = request;
            this.deadlineMicros = deadline;
        }
    }

    BaselinePolicy(Routing.Settings settings, long seed, Routing.Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
    }

    /** Chooses a server that is not among those tried; null if there is none. */
    abstract TrackedServer choose(Request request, Set<TrackedServer> triedServers, long now);

    /** Called after the set of ready servers has changed. */
    void readyServersChanged() {
        // overridden by policies that keep a ring
    }

    @Override
    public void started(long now) {
        actions.watchEndpointList();
        actions.wakeAt(now + settings.contract().maxDiscoveryInterval(), LIST_TIMER);
    }

    @Override
    public void listReceived(long now, ListKind kind, List<ServerState> entries) {
        if (kind == ListKind.FAILED) {
            watching = false;
            actions.wakeAt(now + settings.contract().maxDiscoveryInterval() / 10, LIST_TIMER);
            return;
        }
        watching |= kind != ListKind.CACHED;
        if (kind != ListKind.DELTA) {
            Set<Long> listed = new HashSet<>();
            entries.forEach(entry -> listed.add(entry.id()));
            servers.keySet().retainAll(listed);
        }
        for (ServerState entry : entries) {
            if (entry.lifecycle() == Lifecycle.GONE) {
                servers.remove(entry.id());
            } else {
                servers.computeIfAbsent(entry.id(), id -> new TrackedServer(entry)).state = entry;
            }
        }
        readyServers.clear();
        servers.values().stream().filter(s -> s.state.lifecycle() == Lifecycle.READY)
                .forEach(readyServers::add);
        readyServersChanged();
    }

    @Override
    public void requestArrived(long now, Request request) {
        InFlightRequest pending = new InFlightRequest(request, now + request.clientTimeout());
        inFlightRequests.put(request.id(), pending);
        sendOrGiveUp(pending, now);
    }

    private void sendOrGiveUp(InFlightRequest pending, long now) {
        TrackedServer server = pending.attemptedServers.size() > MAX_RETRIES
                || pending.attemptedServers.size() >= settings.limits().maxAttempts()
                || now >= pending.deadlineMicros ? null
                : choose(pending.request, new HashSet<>(pending.attemptedServers), now);
        if (server == null) {
            inFlightRequests.remove(pending.request.id());
            boolean mayRefuse = !pending.mayHaveRun
                    || settings.classes().get(pending.request.requestClass()).retrySafety()
                            == Routing.RetrySafety.RETRYABLE;
            if (mayRefuse) {
                actions.refuse(pending.request.id(), 0);
            } else {
                actions.fail(pending.request.id());
            }
            return;
        }
        pending.attemptedServers.add(server);
        pending.attemptInFlight = true;
        server.inFlight++;
        server.sentSinceReport++;
        totalInFlight++;
        server.inFlightTokens += tokenCost(pending.request);
        totalInFlightTokens += tokenCost(pending.request);
        actions.send(pending.request.id(), server.state.id(), pending.deadlineMicros - now);
    }

    static double tokenCost(Request request) {
        // an output token costs several prompt tokens, but answers are seldom as long as maxTokens
        return request.promptTokens() + request.maxTokens();
    }

    /**
     * Slow start: whether a server may take a request now. A cold server is admitted at random, with half the
     * probability that its share of capacity at this age would allow.
     */
    boolean isAdmittedInSlowStart(TrackedServer server, long now) {
        long startedAtMicros = server.state.startedAt();
        long ageMicros = now - startedAtMicros;
        long warmUpMicros = settings.contract().warmUpTime();
        if (startedAtMicros == 0 || ageMicros >= warmUpMicros) {
            return true;
        }
        double initialShare = settings.contract().coldCapacityShare();
        return random.nextDouble() < COLD_SEND_SHARE
                * (initialShare + (1 - initialShare) * Math.max(0, ageMicros) / warmUpMicros);
    }

    @Override
    public void firstToken(long now, long requestId, int attempt) {
        // the textbook policies don't use it
    }

    @Override
    public void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long took,
            boolean requestOver, long keptTokens, LoadReport report) {
        InFlightRequest pending = inFlightRequests.get(requestId);
        if (pending == null || attempt != pending.attemptedServers.size() - 1 || !pending.attemptInFlight) {
            return;
        }
        pending.attemptInFlight = false;
        pending.mayHaveRun |= !outcome.neverRan();
        TrackedServer server = pending.attemptedServers.get(attempt);
        server.inFlight--;
        totalInFlight--;
        server.inFlightTokens -= tokenCost(pending.request);
        totalInFlightTokens -= tokenCost(pending.request);
        if (report != null) {
            if (!report.equals(server.lastReport)) {
                server.sentSinceReport = 0;
            }
            server.lastReport = report;
        }
        if (requestOver || outcome == Outcome.OK) {
            inFlightRequests.remove(requestId);
        } else {
            sendOrGiveUp(pending, now);
        }
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        InFlightRequest pending = inFlightRequests.remove(requestId);
        if (pending != null && pending.attemptInFlight) {
            TrackedServer server = pending.attemptedServers.get(pending.attemptedServers.size() - 1);
            server.inFlight--;
            totalInFlight--;
            server.inFlightTokens -= tokenCost(pending.request);
            totalInFlightTokens -= tokenCost(pending.request);
        }
    }

    @Override
    public void woken(long now, int token) {
        if (!watching) {
            actions.watchEndpointList();
            actions.wakeAt(now + settings.contract().maxDiscoveryInterval(), LIST_TIMER);
        }
    }
}
