package umberspread;

import java.util.List;
import java.util.Map;

/**
 * What a router has learnt and another of the same gateway may go on with. Times are microseconds on the
 * clock of the one that learnt it. Open requests are no part of it: they stay where they were taken.
 */
public record LearnedState(double unitWeight, double averageWorth, double firstTokenTally, double readRate,
        double unnamed, long plannedAt,
        List<Double> classTime, Map<Integer, Double> kindTime, List<Double> tenantTally, List<Long> taken,
        List<Long> further, List<LearnedServer> replicas, List<LearnedKey> keys, List<Double> poolArrivals) {
    /** A replica's standing: points on the ring, rests by class, ejections, the cold budget. */
    public record LearnedServer(long id, int points, List<Long> restUntil, List<Integer> strikes,
            long ejectedUntil, int ejections, int breaks, long slowUntil, long lastDelay, long coldBudgetAt,
            long budgetedStart) {
        public LearnedServer {
            restUntil = List.copyOf(restUntil);
            strikes = List.copyOf(strikes);
        }
    }

    /** A key's recent traffic; pool is its place in the order of the settings' placements. */
    public record LearnedKey(long key, double tally, int spread, int pool) {
    }

    public LearnedState {
        classTime = List.copyOf(classTime);
        kindTime = Map.copyOf(kindTime);
        tenantTally = List.copyOf(tenantTally);
        taken = List.copyOf(taken);
        further = List.copyOf(further);
        replicas = List.copyOf(replicas);
        keys = List.copyOf(keys);
        poolArrivals = List.copyOf(poolArrivals);
    }
}
