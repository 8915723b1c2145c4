package umberspread;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import umberspread.BoundedLoadRouter.Hot;
import umberspread.BoundedLoadRouter.Node;
import umberspread.BoundedLoadRouter.Pool;
import umberspread.Routing.ListKind;
import umberspread.Routing.LoadReport;
import umberspread.Routing.Outcome;
import umberspread.Routing.Request;
import umberspread.Routing.ServerState;
import umberspread.Routing.Settings;

/**
 * The router of one process among several that are one gateway, one after the other or, for a while, side by
 * side. It decides nothing: it hands a router's memory on and takes one up, and counts what the others have
 * out as load, so that the bound and the cold budgets are those of the gateway and not of each process.
 */
public final class GenerationRouter implements Routing.Events {
    private final BoundedLoadRouter router;
    private final LearnedState learnedState;
    private final long shift;
    private final Map<String, Lent> lent = new HashMap<>();
    private boolean recalled;

    private record Lent(Node node, List<Pool> pools) {
    }

    /** A router that knows nothing yet. */
    public GenerationRouter(Settings settings, long seed, Routing.Actions actions) {
        this(settings, seed, actions, null, 0);
    }

    /** A router that goes on with a memory, whose times are moved by shift. */
    public GenerationRouter(Settings settings, long seed, Routing.Actions actions, LearnedState memory,
            long shift) {
        this.router = new BoundedLoadRouter(settings, seed, actions);
        this.learnedState = memory;
        this.shift = shift;
    }

    /** What this router has learnt so far. */
    public LearnedState learnedState() {
        return learnedState(true);
    }

    /** The same; with no keys where they are not wanted, for there may be tens of thousands. */
    public LearnedState learnedState(boolean withKeys) {
        List<LearnedState.LearnedServer> replicas = new ArrayList<>();
        for (Node n : router.nodes.values()) {
            replicas.add(new LearnedState.LearnedServer(n.replica.id(), n.points, list(n.restUntil),
                    Arrays.stream(n.strikes).boxed().toList(), n.ejectedUntil, n.ejections, n.breaks,
                    n.slowUntil, n.lastDelay, n.coldBudgetAt, n.budgetedStart));
        }
        List<LearnedState.LearnedKey> keys = new ArrayList<>();
        if (withKeys) {
            router.hot.forEach((key, h) ->
                    keys.add(new LearnedState.LearnedKey(key, h.tally, h.spread,
                            router.pools.indexOf(h.pool))));
        }
        return new LearnedState(router.unitWeight, router.averageWorth, router.firstTokenTally,
                router.readRate,
                router.unnamed, router.plannedAt,
                list(router.classTime), router.kindTime, list(router.tenantTally), List.copyOf(router.taken),
                List.copyOf(router.further), replicas, keys,
                router.pools.stream().map(p -> p.arrivals).toList());
    }

    /** Once the replicas are known; what the memory says of others, or of other settings, is dropped. */
    private void recall(long now) {
        router.unitWeight = learnedState.referenceWeight();
        router.averageWorth = learnedState.averageWorth();
        router.firstTokenTally = learnedState.recentFirstTokens();
        router.readRate = learnedState.prefillRate();
        router.unnamed = learnedState.unkeyedRequests();
        router.plannedAt = Math.min(now, learnedState.plannedAt() + shift);
        router.kindTime.putAll(learnedState.kindLatencyRatio());
        fill(router.classTime, learnedState.classLatency());
        fill(router.tenantTally, learnedState.tenantRequests());
        learnedState.recentArrivals().forEach(t -> router.taken.add(Math.min(now, t + shift)));
        learnedState.recentExtraAttempts().forEach(t -> router.further.add(Math.min(now, t + shift)));
        boolean samePools = learnedState.poolArrivals().size() == router.pools.size();
        for (int i = 0; samePools && i < router.pools.size(); i++) {
            router.pools.get(i).arrivals = learnedState.poolArrivals().get(i);
        }
        for (LearnedState.LearnedKey k : learnedState.keys()) {
            if (samePools && k.poolIndex() >= 0 && k.poolIndex() < router.pools.size()) {
                Hot h = router.hot.computeIfAbsent(k.key(), key -> new Hot());
                h.pool = router.pools.get(k.poolIndex());
                h.tally = k.recentRequests();
                h.spread = Math.max(1, k.spread());
            }
        }
        learnedState.servers().forEach(this::recall);
        router.rebuildRing();
    }

    private void recall(LearnedState.LearnedServer m) {
        Node n = router.nodes.get(m.id());
        if (n == null) {
            return;
        }
        n.points = Math.max(1, m.points());
        n.ejectedUntil = moved(m.ejectedUntil());
        n.ejections = m.ejections();
        n.breaks = m.consecutiveResets();
        n.slowUntil = moved(m.slowUntil());
        n.lastDelay = m.lastFirstTokenDelay();
        // A box's start is a time of its own: a box that has started since is a new one to the budget.
        n.coldBudgetAt = moved(m.nextColdSendAt());
        n.budgetedStart = m.coldBudgetStart();
        if (m.classBackoffUntil().size() == n.restUntil.length
                && m.classFailures().size() == n.strikes.length) {
            for (int c = 0; c < n.restUntil.length; c++) {
                n.restUntil[c] = moved(m.classBackoffUntil().get(c));
                n.strikes[c] = m.classFailures().get(c);
            }
        }
    }

    private long moved(long time) {
        return time == 0 ? 0 : time + shift;
    }

    private static void fill(double[] into, List<Double> from) {
        for (int i = 0; into.length == from.size() && i < into.length; i++) {
            into[i] = from.get(i);
        }
    }

    private static List<Double> list(double[] values) {
        return Arrays.stream(values).boxed().toList();
    }

    private static List<Long> list(long[] values) {
        return Arrays.stream(values).boxed().toList();
    }

    /** Ejected, and not yet served again: those that no request, or only one for a trial, may go to. */
    @Override
    public Set<Long> unavailableServers(long now) {
        Set<Long> avoided = new HashSet<>();
        for (Node n : router.nodes.values()) {
            if (n.keptOff(now)) {
                avoided.add(n.replica.id());
            }
        }
        return avoided;
    }

    @Override
    public void otherGenerationSent(long time, String token, long replicaId) {
        long now = router.latest(time);
        Node n = router.nodes.get(replicaId);
        if (n == null || lent.containsKey(token)) {
            return;
        }
        lent.put(token, new Lent(n, n.pools));
        n.load++;
        n.pools.forEach(pool -> pool.inFlight++);
        router.inColdBudget(n, now);
        router.spendColdBudget(n, now);
    }

    @Override
    public void otherGenerationEnded(long now, String token) {
        Lent l = lent.remove(token);
        if (l != null) {
            l.node.load--;
            l.pools.forEach(pool -> pool.inFlight--);
        }
    }

    @Override
    public void started(long now) {
        router.started(now);
    }

    @Override
    public void listReceived(long now, ListKind kind, List<ServerState> entries) {
        router.listReceived(now, kind, entries);
        if (!recalled && learnedState != null) {
            recalled = true;
            recall(router.latest(now));
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
