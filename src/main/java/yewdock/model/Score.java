package yewdock.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import umberspread.Routing.Outcome;

/**
 * Collects the figures of a run and computes its score as defined in BRIEF, sections 2 and 3: the worth of
 * the requests answered in time over the worth of all requests, as a whole and in the worst window, class and
 * municipality, less the prices of late failures, cross-site attempts and wasted work.
 */
public final class Score {
    private static final double WHOLE_WEIGHT = 0.35;
    private static final double WORST_WINDOW_WEIGHT = 0.35;
    private static final double WORST_CLASS_WEIGHT = 0.2;
    private static final double WORST_MUNICIPALITY_WEIGHT = 0.1;
    private static final double LATE_PRICE = 0.11;
    private static final double CROSS_SITE_PRICE = 0.03;
    private static final double WASTE_PRICE = 0.02;
    private static final int WINDOW_SECONDS = 10;
    private static final long MAX_RECORDED_MICROS = 600_000_000;

    /** How a request ended; REFUSED, FAILED: after the last retry, BROKEN: after its first token. */
    public enum RequestEnd { IN_TIME, LATE, REFUSED, FAILED, BROKEN }

    private final double[] offeredBySecond;
    private final double[] servedBySecond;
    private final double[] offeredByClass;
    private final double[] servedByClass;
    private final double[] offeredByMunicipality;
    private final double[] servedByMunicipality;
    private final List<Histogram> firstTokenDelays = new ArrayList<>();
    private final Map<RequestEnd, Long> ends = new EnumMap<>(RequestEnd.class);
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private double offeredWorth;
    private double servedWorth;
    private double lateFailedWorth;
    private long requestCount;
    private long endedCount;
    private long firstAttempts;
    private long serverAttempts;
    private long crossSiteAttempts;
    private long handshakes;
    private double promptTokens;
    private double cachedTokens;
    private double spreadSum;
    private long spreadCount;
    private final long lengthMicros;
    private final SampledScenario parameters;
    /** Cost of all requests on servers of the first kind, in seconds at the reference speed. */
    double offeredCost;

    Score(SampledScenario parameters) {
        this.parameters = parameters;
        this.lengthMicros = parameters.lengthMicros;
        int seconds = (int) Math.ceil(lengthMicros / 1e6) + 1;
        offeredBySecond = new double[seconds];
        servedBySecond = new double[seconds];
        int classes = parameters.classes.size();
        offeredByClass = new double[classes];
        servedByClass = new double[classes];
        offeredByMunicipality = new double[parameters.quotaPerSecond.length];
        servedByMunicipality = new double[parameters.quotaPerSecond.length];
        for (int classIndex = 0; classIndex < classes; classIndex++) {
            firstTokenDelays.add(new Histogram(MAX_RECORDED_MICROS, 3));
        }
    }

    /** Records a new request. */
    void recordRequest(SimulatedRequest request) {
        requestCount++;
        offeredWorth += request.worth;
        offeredBySecond[(int) Math.min(offeredBySecond.length - 1, request.arrivedAtMicros / 1_000_000)] +=
                request.worth;
        offeredByClass[request.requestClass] += request.worth;
        if (request.withinQuota) {
            offeredByMunicipality[request.municipality] += request.worth;
        }
    }

    /** Records the delay from a request to its first token. */
    void recordFirstToken(SimulatedRequest request, long micros) {
        firstTokenDelays.get(request.requestClass).recordValue(
                Math.min(MAX_RECORDED_MICROS, Math.max(0, micros)));
    }

    /** Records the end of a request with the share of its worth that it earned. */
    void recordEnd(SimulatedRequest request, RequestEnd end, double worthShare, long now) {
        endedCount++;
        ends.merge(end, 1L, Long::sum);
        double worth = request.worth * worthShare;
        servedWorth += worth;
        servedBySecond[(int) Math.min(servedBySecond.length - 1,
                request.arrivedAtMicros / 1_000_000)] += worth;
        servedByClass[request.requestClass] += worth;
        if (request.withinQuota) {
            servedByMunicipality[request.municipality] += worth;
        }
        Scenario.RequestClassProfile requestClass = parameters.classes.get(request.requestClass).profile();
        double targetMicros = requestClass.firstTokenTargetSeconds() * 1e6
                + requestClass.firstTokenTargetMillisPerThousand() * request.promptTokens;
        if (end != RequestEnd.IN_TIME && now - request.arrivedAtMicros > targetMicros) {
            lateFailedWorth += request.worth;
        }
    }

    /** Records an attempt at a server; first: of its client attempt, crossSite: to another site. */
    void recordSend(SimulatedRequest request, boolean first, boolean crossSite) {
        serverAttempts++;
        firstAttempts += first ? 1 : 0;
        crossSiteAttempts += first && crossSite ? 1 : 0;
    }

    /** Records a new server connection. */
    void recordHandshake() {
        handshakes++;
    }

    /** Records the outcome of an attempt at a server. */
    void recordOutcome(Outcome outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    /** Records how many prompt tokens of an answered request were cached. */
    void recordCacheHit(SimulatedRequest request, int tokens) {
        promptTokens += request.promptTokens;
        cachedTokens += tokens;
    }

    /** Records a sample of the load of the busiest server over the mean load. */
    void recordSpread(double peakOverMean) {
        spreadSum += peakOverMean;
        spreadCount++;
    }

    /**
     * The figures of a run. The first one is the score; servedShare and the worst and lastThird figures are
     * shares of the offered worth that was answered in time; the figures by class follow the order of the
     * scenario.
     */
    public record SimulationResult(double score, double servedShare, double worstWindow, double worstClass,
            double worstMunicipality, double lastThird, double lateFailedShare, double crossSiteShare,
            double wastedShare, long requests, long clientAttempts, long serverAttempts,
            Map<RequestEnd, Long> ends, Map<Outcome, Long> outcomes, double cacheHitShare,
            double peakToMeanLoad, double firstTokenP50Millis, double firstTokenP99Millis,
            List<Double> servedShareByClass, List<Double> firstTokenP50MillisByClass,
            List<Double> firstTokenP99MillisByClass, long handshakes, long ruleViolations,
            int crashedColdServers, long events, double moduleNanos, long moduleEvents) {
        /** The mean number of client attempts per request. */
        public double clientAttemptsPerRequest() {
            return requests == 0 ? 0 : (double) clientAttempts / requests;
        }

        /** The share of the requests that ended this way. */
        public double share(RequestEnd end) {
            return requests == 0 ? 0 : (double) ends.getOrDefault(end, 0L) / requests;
        }
    }

    /** The figures of a finished run. */
    SimulationResult toResult(Simulation simulation) {
        double wasted = 0;
        for (SimulatedServer server : simulation.servers) {
            wasted += server.workWastedSeconds * server.speed;
        }
        double waste = offeredCost == 0 ? 0 : wasted / offeredCost;
        double whole = share(servedWorth, offeredWorth);
        double window = worstWindow();
        double worstClass = worstShare(servedByClass, offeredByClass);
        double worstMunicipality = worstShare(servedByMunicipality, offeredByMunicipality);
        double lateFailed = offeredWorth == 0 ? 0 : lateFailedWorth / offeredWorth;
        double crossSite = firstAttempts == 0 ? 0 : (double) crossSiteAttempts / firstAttempts;
        double score = WHOLE_WEIGHT * whole + WORST_WINDOW_WEIGHT * window + WORST_CLASS_WEIGHT * worstClass
                + WORST_MUNICIPALITY_WEIGHT * worstMunicipality - LATE_PRICE * lateFailed
                - CROSS_SITE_PRICE * crossSite
                - WASTE_PRICE * Math.min(1, waste);
        Histogram allClasses = new Histogram(MAX_RECORDED_MICROS, 3);
        List<Double> byClass = new ArrayList<>();
        List<Double> p50Millis = new ArrayList<>();
        List<Double> p99Millis = new ArrayList<>();
        for (int classIndex = 0; classIndex < servedByClass.length; classIndex++) {
            allClasses.add(firstTokenDelays.get(classIndex));
            byClass.add(share(servedByClass[classIndex], offeredByClass[classIndex]));
            p50Millis.add(firstTokenDelays.get(classIndex).getValueAtPercentile(50) / 1e3);
            p99Millis.add(firstTokenDelays.get(classIndex).getValueAtPercentile(99) / 1e3);
        }
        return new SimulationResult(score, whole, window, worstClass, worstMunicipality, lastThird(),
                lateFailed, crossSite, waste, requestCount, simulation.clients.attemptCount(), serverAttempts,
                Collections.unmodifiableMap(new EnumMap<>(ends)),
                Collections.unmodifiableMap(new EnumMap<>(outcomes)),
                promptTokens == 0 ? 0 : cachedTokens / promptTokens,
                spreadCount == 0 ? 0 : spreadSum / spreadCount,
                allClasses.getValueAtPercentile(50) / 1e3, allClasses.getValueAtPercentile(99) / 1e3, byClass,
                p50Millis, p99Millis, handshakes, simulation.ruleChecker.violationCount(),
                simulation.ruleChecker.overloadedCount, simulation.calendar.executedCount(),
                simulation.moduleNanos, simulation.moduleEvents);
    }

    /** The number of requests that ended. */
    long endedCount() {
        return endedCount;
    }

    /** The number of all requests. */
    long requestCount() {
        return requestCount;
    }

    /** The worth of the requests by the second in which they were sent. */
    double[] offeredBySecond() {
        return offeredBySecond.clone();
    }

    /** The worth answered in time, by the second in which the request was sent. */
    double[] servedBySecond() {
        return servedBySecond.clone();
    }

    /** The served share in the last third of the run, which shows the lasting effects of disturbances. */
    private double lastThird() {
        int seconds = offeredBySecond.length;
        return share(Arrays.stream(servedBySecond, seconds * 2 / 3, seconds).sum(),
                Arrays.stream(offeredBySecond, seconds * 2 / 3, seconds).sum());
    }

    /** The lowest served share of any window of {@link #WINDOW_SECONDS}. */
    private double worstWindow() {
        double worst = 1;
        for (int from = 0; from + WINDOW_SECONDS <= Math.max(WINDOW_SECONDS, offeredBySecond.length - 1);
                from++) {
            int to = Math.min(from + WINDOW_SECONDS, offeredBySecond.length);
            double offered = Arrays.stream(offeredBySecond, from, to).sum();
            double served = Arrays.stream(servedBySecond, from, to).sum();
            worst = Math.min(worst, share(served, offered));
        }
        return worst;
    }

    private static double worstShare(double[] served, double[] offered) {
        double worst = 1;
        for (int i = 0; i < served.length; i++) {
            worst = Math.min(worst, share(served[i], offered[i]));
        }
        return worst;
    }

    private static double share(double served, double offered) {
        return offered == 0 ? 1 : served / offered;
    }
}
