package yewdock.model;

import java.util.List;

/**
 * A scenario for simulations: the ranges from which {@link SampledScenario} samples the parameters of a run.
 * Times are milliseconds or seconds as their names say; shares lie between 0 and 1. docs/EXPERIMENTS.md
 * describes each key of the file.
 */
public record Scenario(LoadProfile loadProfile, Sites sites, Routers routers, Clients clients,
        DiscoveryParameters discovery, LoadReporting reports, Contract rules, ServerFleet fleet,
        List<ServerKind> kinds, List<RequestClassProfile> classes, List<Municipality> municipalities,
        List<Disturbance> disturbances) {
    public Scenario {
        kinds = List.copyOf(kinds);
        classes = List.copyOf(classes);
        municipalities = List.copyOf(municipalities);
        disturbances = List.copyOf(disturbances);
    }

    /**
     * Length and load of a run: load is the offered share of the fleet's capacity; if requestsPerSecond is
     * over 0, it is used instead. rateSwing moves the rate up and down by this share once over the run,
     * and burstFactor raises it by this share in short bursts.
     */
    public record LoadProfile(double seconds, Range load, Range requestsPerSecond, Range rateSwing,
            Range burstFactor) {
    }

    /**
     * Sites, one-way delays between them, within them and from clients; jitter: the largest random share
     * added to a delay; skew: how unevenly clients are spread over the sites, 0 for evenly.
     */
    public record Sites(List<String> names, Range crossSiteMillis, Range sameSiteMillis,
            Range clientDelayMillis, Range jitter, Range skew) {
        public Sites {
            names = List.copyOf(names);
        }
    }

    /**
     * The routers and their policy; sites has the site of each router, or is empty if they are spread over
     * the sites in turn; detectionSeconds: how long clients still use a dead router.
     */
    public record Routers(Range count, List<Integer> sites, String policy, int loadFactorPercent,
            int ringPoints, String hash, String rounding, String loadMeasure, int maxAttempts,
            double connectTimeoutSeconds, double keepaliveSeconds, double retryAfterSeconds,
            Range detectionSeconds) {
        public Routers {
            sites = List.copyOf(sites);
        }
    }

    /**
     * How often clients retry, the share of a request's time that one attempt gets, the backoff, and the
     * share of Retry-After answers that are honoured; overShareWorth: the factor on the worth of requests
     * beyond the quota of their municipality; quotaShare: the sum of the quotas over the fleet's capacity.
     */
    public record Clients(Range maxRetries, Range attemptTimeoutShare, Range backoffMillis,
            Range retryAfterHonouredShare, double overShareWorth, Range quotaShare) {
    }

    /**
     * Discovery: how long it takes to detect a change, or a silent crash, and to publish it, how often it
     * publishes, and how many calls per second it answers.
     */
    public record DiscoveryParameters(Range detectionSeconds, Range silentDetectionSeconds,
            Range publishDelaySeconds,
            Range publishPeriodMillis, Range callsPerSecond, double timeoutSeconds) {
    }

    /** Load reports: how often they are created, how late they arrive, and their relative error. */
    public record LoadReporting(Range intervalMillis, Range delayMillis, Range noise) {
    }

    /** The figures of the rules, as in {@link umberspread.Routing.Contract}. */
    public record Contract(double drainGraceSeconds, double warmUpSeconds, double coldCapacityShare,
            double overloadMultiple, double overloadWindowSeconds, double maxDiscoveryIntervalSeconds) {
    }

    /**
     * The number of servers, or a list of them; the cost of a new connection in round trips and in work of
     * the server; the most connections of one server.
     */
    public record ServerFleet(Range count, List<ServerEntry> servers, Range handshakeRoundTrips,
            Range handshakeMicros, int maxConnections) {
        public ServerFleet {
            servers = List.copyOf(servers);
        }
    }

    /** One server: kind and site by index, and its speed relative to the reference speed. */
    public record ServerEntry(int kind, int site, double speed) {
    }

    /**
     * A kind of server. Its times hold at the reference speed and are divided by a server's speed;
     * dropsExpired: whether it drops abandoned requests from its queue once they have expired, as a share of
     * the runs; cachesOutput: whether it keeps the tokens of an answer in the prefix cache.
     */
    public record ServerKind(String name, double share, Range speed, Range slots, Range queueLimit,
            Range memoryThousandTokens, Range stepMillis, Range perSequenceMillis,
            Range contextMillisPerThousand, Range attentionMillisPerMillion, Range prefillTokensPerSecond,
            Range prefillChunkTokens, Range coldCapacityShare, Range warmUpSeconds, boolean warmByWork,
            Range errorShare, Range dropsExpired, boolean cachesOutput) {
    }

    /** A request class, as described in BRIEF, section 5. */
    public record RequestClassProfile(String name, Range share, double firstTokenTargetSeconds,
            double firstTokenTargetMillisPerThousand, double tokenTargetMillis, double deadlineSeconds,
            double worth, double lateWorth, Range newTokens, Range newSigma, Range outputTokens,
            Range outputSigma, int maxOutputTokens, Range turns, Range thinkSeconds, Range prefixCount,
            Range prefixZipf, Range prefixTokens, Range prefixShare, boolean prefixPerMunicipality) {
    }

    /** A municipality, its share of the quota, and its usage as a factor on that share. */
    public record Municipality(String name, double share, Range usage) {
    }

    /**
     * A disturbance: the probability that a run has it, when it starts as a share of the run, how long it
     * lasts, its size, and the share of servers, routers or requests that it affects; target: the name of the
     * site or request class concerned, or empty for a random one.
     */
    public record Disturbance(String name, DisturbanceKind kind, double probability, Range startShare,
            Range seconds, Range size, Range share, String target) {
    }

    /** The kinds of disturbances. Each constant is a value in scenario files. */
    public enum DisturbanceKind {
        /** A share of the servers is slower by the factor size. */
        SLOW,
        /** Load reports arrive later by size seconds. */
        REPORTS_LATE,
        /** A share of the requests of one class costs more by the factor size. */
        COSTLY,
        /**
         * All servers of a site crash, silently with a share over 0.5, and come back cold; with a size over
         * 0.5 its routers are killed too.
         */
        SITE_LOST,
        /** Discovery publishes changes later by size seconds. */
        LIST_LATE,
        /** A share of the servers drains, one after the other, and comes back cold. */
        DRAIN,
        /** A share of the servers hangs: they accept requests and do nothing. */
        HANG,
        /** A share of the routers is killed, and restarts without state. */
        ROUTERS_KILLED,
        /** A share of the servers crashes and comes back cold at once. */
        RESTART,
        /** A share of the servers answers the share size of its requests with errors. */
        ERRORS,
        /** Sessions start more often by the factor size. */
        BURST
    }

    /** This scenario with other routers. */
    public Scenario withRouters(Routers other) {
        return new Scenario(loadProfile, sites, other, clients, discovery, reports, rules, fleet,
                kinds, classes, municipalities, disturbances);
    }
}
