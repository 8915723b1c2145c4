package umberspread;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import umberspread.BoundedLoadRouter.KeyTraffic;
import umberspread.BoundedLoadRouter.Pool;
import umberspread.BoundedLoadRouter.TrackedServer;
import umberspread.Routing.ListKind;
import umberspread.Routing.LoadReport;
import umberspread.Routing.Outcome;
import umberspread.Routing.Request;
import umberspread.Routing.ServerState;
import umberspread.Routing.Settings;

/**
 * The module of one generation: one process of a router instance, which may run beside another generation
 * during an upgrade. It makes no decisions itself. It exports and restores the learned state, and counts the
 * attempts of other generations as load, so that the load bound and the budgets of cold servers apply to the
 * instance and not to each process.
 */
public final class GenerationRouter implements Routing.Events {
    private final BoundedLoadRouter router;
    private final LearnedState learnedState;
    private final long shift;
    private final Map<String, OtherAttempt> otherAttempts = new HashMap<>();
    /** Whether the learned state has been restored. */
    private boolean restored;

    /** An attempt of another generation that is counted as load. */
    private record OtherAttempt(TrackedServer server, List<Pool> pools) {
    }

    /** Creates a module without learned state. */
    public GenerationRouter(Settings settings, long seed, Routing.Actions actions) {
        this(settings, seed, actions, null, 0);
    }

    /**
     * Creates a module that continues with learned state, once the first endpoint list has arrived.
     *
     * @param shift added to learned times, in microseconds: this process's clock minus the earlier one's
     */
    public GenerationRouter(Settings settings, long seed, Routing.Actions actions,
            LearnedState learnedState, long shift) {
        this.router = new BoundedLoadRouter(settings, seed, actions);
        this.learnedState = learnedState;
        this.shift = shift;
    }

    /** Returns what this module has learned so far. */
    public LearnedState learnedState() {
        return learnedState(true);
    }

    /**
     * Returns what this module has learned so far.
     *
     * @param withKeys whether to include the keys, of which there may be tens of thousands
     */
    public LearnedState learnedState(boolean withKeys) {
        List<LearnedState.LearnedServer> servers = new ArrayList<>();
        for (TrackedServer server : router.servers.values()) {
            servers.add(new LearnedState.LearnedServer(server.state.id(), server.points,
                    list(server.classBackoffUntil), Arrays.stream(server.classFailures).boxed().toList(),
                    server.ejectedUntil, server.ejections, server.consecutiveResets, server.slowUntil,
                    server.lastFirstTokenDelay, server.nextColdSendAt, server.coldBudgetStart));
        }
        List<LearnedState.LearnedKey> keys = new ArrayList<>();
        if (withKeys) {
            router.trafficByKey.forEach((key, traffic) ->
                    keys.add(new LearnedState.LearnedKey(key, traffic.requests, traffic.spread,
                            router.pools.indexOf(traffic.pool))));
        }
        return new LearnedState(router.referenceWeight, router.averageWorth, router.recentFirstTokens,
                router.prefillRate, router.unkeyedRequests, router.plannedAt, list(router.classLatency),
                router.kindLatencyRatio, list(router.tenantRequests), List.copyOf(router.recentArrivals),
                List.copyOf(router.recentExtraAttempts), servers, keys,
                router.pools.stream().map(pool -> pool.arrivals).toList());
    }

    /** Restores the learned state; drops state of unknown servers and of settings that have changed. */
    private void restore(long now) {
        router.referenceWeight = learnedState.referenceWeight();
        router.averageWorth = learnedState.averageWorth();
        router.recentFirstTokens = learnedState.recentFirstTokens();
        router.prefillRate = learnedState.prefillRate();
        router.unkeyedRequests = learnedState.unkeyedRequests();
        router.plannedAt = Math.min(now, learnedState.plannedAt() + shift);
        router.kindLatencyRatio.putAll(learnedState.kindLatencyRatio());
        copyInto(router.classLatency, learnedState.classLatency());
        copyInto(router.tenantRequests, learnedState.tenantRequests());
        learnedState.recentArrivals().forEach(arrival ->
                router.recentArrivals.add(Math.min(now, arrival + shift)));
        learnedState.recentExtraAttempts().forEach(attempt ->
                router.recentExtraAttempts.add(Math.min(now, attempt + shift)));
        boolean samePools = learnedState.poolArrivals().size() == router.pools.size();
        for (int i = 0; samePools && i < router.pools.size(); i++) {
            router.pools.get(i).arrivals = learnedState.poolArrivals().get(i);
        }
        for (LearnedState.LearnedKey learned : learnedState.keys()) {
            if (samePools && learned.poolIndex() >= 0 && learned.poolIndex() < router.pools.size()) {
                KeyTraffic traffic = router.trafficByKey.computeIfAbsent(learned.key(),
                        key -> new KeyTraffic());
                traffic.pool = router.pools.get(learned.poolIndex());
                traffic.requests = learned.recentRequests();
                traffic.spread = Math.max(1, learned.spread());
            }
        }
        learnedState.servers().forEach(this::restoreServer);
        router.rebuildRing();
    }

    private void restoreServer(LearnedState.LearnedServer learned) {
        TrackedServer server = router.servers.get(learned.id());
        if (server == null) {
            return;
        }
        server.points = Math.max(1, learned.points());
        server.ejectedUntil = shifted(learned.ejectedUntil());
        server.ejections = learned.ejections();
        server.consecutiveResets = learned.consecutiveResets();
        server.slowUntil = shifted(learned.slowUntil());
        server.lastFirstTokenDelay = learned.lastFirstTokenDelay();
        server.nextColdSendAt = shifted(learned.nextColdSendAt());
        // Not shifted: it is a server's start time, and a server that has started since gets a new budget.
        server.coldBudgetStart = learned.coldBudgetStart();
        if (learned.classBackoffUntil().size() == server.classBackoffUntil.length
                && learned.classFailures().size() == server.classFailures.length) {
            for (int c = 0; c < server.classBackoffUntil.length; c++) {
                server.classBackoffUntil[c] = shifted(learned.classBackoffUntil().get(c));
                server.classFailures[c] = learned.classFailures().get(c);
            }
        }
    }

    private long shifted(long time) {
        return time == 0 ? 0 : time + shift;
    }

    private static void copyInto(double[] target, List<Double> values) {
        for (int i = 0; target.length == values.size() && i < target.length; i++) {
            target[i] = values.get(i);
        }
    }

    private static List<Double> list(double[] values) {
        return Arrays.stream(values).boxed().toList();
    }

    private static List<Long> list(long[] values) {
        return Arrays.stream(values).boxed().toList();
    }

    /** Returns the ejected servers, which may be sent no request, or only one as a trial. */
    @Override
    public Set<Long> unavailableServers(long now) {
        Set<Long> avoided = new HashSet<>();
        for (TrackedServer server : router.servers.values()) {
            if (server.isAvoided(now)) {
                avoided.add(server.state.id());
            }
        }
        return avoided;
    }

    @Override
    public void otherGenerationSent(long time, String token, long serverId) {
        long now = router.latestTime(time);
        TrackedServer server = router.servers.get(serverId);
        if (server == null || otherAttempts.containsKey(token)) {
            return;
        }
        otherAttempts.put(token, new OtherAttempt(server, server.pools));
        server.inFlight++;
        server.pools.forEach(pool -> pool.inFlight++);
        router.withinColdBudget(server, now);
        router.spendColdBudget(server, now);
    }

    @Override
    public void otherGenerationEnded(long now, String token) {
        OtherAttempt other = otherAttempts.remove(token);
        if (other != null) {
            other.server.inFlight--;
            other.pools.forEach(pool -> pool.inFlight--);
        }
    }

    @Override
    public void started(long now) {
        router.started(now);
    }

    @Override
    public void listReceived(long now, ListKind kind, List<ServerState> entries) {
        router.listReceived(now, kind, entries);
        if (!restored && learnedState != null) {
            restored = true;
            restore(router.latestTime(now));
        }
    }

    @Override
    public void requestArrived(long now, Request request) {
        router.requestArrived(now, request);
    }

    @Override
    public void firstToken(long now, long requestId, int attempt) {
        router.firstToken(now, requestId, attempt);
    }

    @Override
    public void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long took,
            boolean requestOver, long keptTokens, LoadReport report) {
        router.attemptEnded(now, requestId, attempt, outcome, took, requestOver, keptTokens, report);
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        router.requestAbandoned(now, requestId);
    }

    @Override
    public void woken(long now, int token) {
        router.woken(now, token);
    }
}
