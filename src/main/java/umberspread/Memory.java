package umberspread;

import java.util.List;
import java.util.Map;

/**
 * The state that one generation has learned and that the next generation of the instance continues with.
 * Times are in microseconds on the clock of the generation that learned it. Open requests are not included:
 * they stay with the generation that accepted them.
 *
 * @param unitWeight the weight of an average server, as a power of two; 0 before the first endpoint list
 * @param averageWorth moving average of the requests' worth
 * @param firstTokenTally decaying count of first tokens
 * @param readRate highest recent prefill rate in tokens per microsecond; 0 if unknown
 * @param unnamed decaying count of sent requests without a shared prefix
 * @param plannedAt when the counts were last decayed
 * @param classTime moving average of the duration of answers, in microseconds, by request class
 * @param kindTime latency of a machine kind relative to the mean, by kind
 * @param tenantTally decaying count of requests by tenant
 * @param taken arrival times of the requests within the attempt budget's window
 * @param further times of the retries and hedged attempts within that window
 * @param poolArrivals decaying count of sent requests by placement, in the order of the settings
 */
public record Memory(double unitWeight, double averageWorth, double firstTokenTally, double readRate,
        double unnamed, long plannedAt,
        List<Double> classTime, Map<Integer, Double> kindTime, List<Double> tenantTally, List<Long> taken,
        List<Long> further, List<OfReplica> replicas, List<OfKey> keys, List<Double> poolArrivals) {
    /**
     * What has been learned about a server.
     *
     * @param points its number of ring points
     * @param restUntil until when each class is kept away from it
     * @param strikes consecutive failures by class, which set the length of the next backoff
     * @param ejections consecutive ejections
     * @param breaks consecutive resets
     * @param slowUntil until when it counts as slow
     * @param lastDelay delay of its latest overdue first token, in microseconds
     * @param coldBudgetAt when the budget of a cold server allows its next attempt
     * @param budgetedStart the listed start time of the server that this budget is for
     */
    public record OfReplica(long id, int points, List<Long> restUntil, List<Integer> strikes,
            long ejectedUntil, int ejections, int breaks, long slowUntil, long lastDelay, long coldBudgetAt,
            long budgetedStart) {
        public OfReplica {
            restUntil = List.copyOf(restUntil);
            strikes = List.copyOf(strikes);
        }
    }

    /**
     * A key's recent traffic.
     *
     * @param tally decaying count of requests
     * @param spread number of ring successors that its requests are spread over
     * @param pool index of its placement, in the order of the settings
     */
    public record OfKey(long key, double tally, int spread, int pool) {
    }

    public Memory {
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
