package umberspread;

import java.util.List;
import java.util.Map;

/**
 * What a router has learnt and another of the same gateway may go on with. Times are microseconds on the
 * clock of the one that learnt it. Open requests are no part of it: they stay where they were taken.
 */
public record LearnedState(double referenceWeight, double averageWorth, double recentFirstTokens,
        double prefillRate,
        double unkeyedRequests, long plannedAt,
        List<Double> classLatency, Map<Integer, Double> kindLatencyRatio, List<Double> tenantRequests,
                List<Long> recentArrivals,
        List<Long> recentExtraAttempts, List<LearnedServer> servers, List<LearnedKey> keys,
                List<Double> poolArrivals) {
    /** A replica's standing: points on the ring, rests by class, ejections, the cold budget. */
    public record LearnedServer(long id, int points, List<Long> classBackoffUntil,
            List<Integer> classFailures,
            long ejectedUntil, int ejections, int consecutiveResets, long slowUntil, long lastFirstTokenDelay,
                    long nextColdSendAt,
            long coldBudgetStart) {
        public LearnedServer {
            classBackoffUntil = List.copyOf(classBackoffUntil);
            classFailures = List.copyOf(classFailures);
        }
    }

    /** A key's recent traffic; pool is its place in the order of the settings' placements. */
    public record LearnedKey(long key, double recentRequests, int spread, int poolIndex) {
    }

    public LearnedState {
        classLatency = List.copyOf(classLatency);
        kindLatencyRatio = Map.copyOf(kindLatencyRatio);
        tenantRequests = List.copyOf(tenantRequests);
        recentArrivals = List.copyOf(recentArrivals);
        recentExtraAttempts = List.copyOf(recentExtraAttempts);
        servers = List.copyOf(servers);
        keys = List.copyOf(keys);
        poolArrivals = List.copyOf(poolArrivals);
    }
}
