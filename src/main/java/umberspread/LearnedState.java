package umberspread;

import java.util.List;
import java.util.Map;

/**
 * The state that one generation has learned and that the next generation of the instance continues with.
 * Times are in microseconds on the clock of the generation that learned it. Open requests are not included:
 * they stay with the generation that accepted them.
 *
 * @param referenceWeight the weight of an average server, as a power of two; 0 before the first endpoint list
 * @param averageWorth moving average of the requests' worth
 * @param recentFirstTokens decaying count of first tokens
 * @param prefillRate highest recent prefill rate in tokens per microsecond; 0 if unknown
 * @param unkeyedRequests decaying count of sent requests without a shared prefix
 * @param plannedAt when the counts were last decayed
 * @param classLatency moving average of the duration of answers, in microseconds, by request class
 * @param kindLatencyRatio latency of a machine kind relative to the mean, by kind
 * @param tenantRequests decaying count of requests by tenant
 * @param recentArrivals arrival times of the requests within the attempt budget's window
 * @param recentExtraAttempts times of the retries and hedged attempts within that window
 * @param servers what has been learned about each server
 * @param keys the recent traffic of each key
 * @param poolArrivals decaying count of sent requests by placement, in the order of the settings
 */
public record LearnedState(double referenceWeight, double averageWorth, double recentFirstTokens,
        double prefillRate, double unkeyedRequests, long plannedAt, List<Double> classLatency,
        Map<Integer, Double> kindLatencyRatio, List<Double> tenantRequests, List<Long> recentArrivals,
        List<Long> recentExtraAttempts, List<LearnedServer> servers, List<LearnedKey> keys,
        List<Double> poolArrivals) {
    /**
     * What has been learned about a server.
     *
     * @param points its number of ring points
     * @param classBackoffUntil until when each class is kept away from it
     * @param classFailures consecutive failures by class, which set the length of the next backoff
     * @param ejectedUntil until when it is ejected
     * @param ejections consecutive ejections
     * @param consecutiveResets consecutive resets
     * @param slowUntil until when it counts as slow
     * @param lastFirstTokenDelay delay of its latest overdue first token, in microseconds
     * @param nextColdSendAt when the budget of a cold server allows its next attempt
     * @param coldBudgetStart the listed start time of the server that this budget is for
     */
    public record LearnedServer(long id, int points, List<Long> classBackoffUntil,
            List<Integer> classFailures, long ejectedUntil, int ejections, int consecutiveResets,
            long slowUntil, long lastFirstTokenDelay, long nextColdSendAt, long coldBudgetStart) {
        public LearnedServer {
            classBackoffUntil = List.copyOf(classBackoffUntil);
            classFailures = List.copyOf(classFailures);
        }
    }

    /**
     * A key's recent traffic.
     *
     * @param recentRequests decaying count of requests
     * @param spread number of ring successors that its requests are spread over
     * @param poolIndex index of its placement, in the order of the settings
     */
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
