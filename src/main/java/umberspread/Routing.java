package umberspread;

import java.util.List;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * The whole interface of the routing module: what a gateway tells it ({@link Events}), what it asks of
 * the gateway ({@link Actions}), and the values that pass between them.
 *
 * <p>All times and durations are microseconds on a clock of the gateway's own choosing that never goes
 * back; the module reads no clock. One router serves one gateway and is not thread-safe: deliver events
 * one at a time, in the order in which they happened. Actions are called from inside an event and take
 * effect in the order of the calls; they must not call back into the router. A time before the latest one
 * seen is taken for the latest.
 */
public final class Routing {
    private Routing() {
    }

    /** What happens when a request of a class runs twice. */
    public enum RetrySafety { RETRYABLE, DEDUP, FRAGILE }

    /** Which replicas recognise and drop a repeat of a {@link RetrySafety#DEDUP} request. */
    public enum DedupGroup { ALL, ZONE, CELL }

    /** State of a replica on the list. */
    public enum Lifecycle { READY, DRAINING, GONE }

    /** FULL replaces the list, DELTA changes it, CACHED is an old one, FAILED: a call failed. */
    public enum ListKind { FULL, DELTA, CACHED, FAILED }

    /** How an attempt ended. */
    public enum Outcome {
        OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT;

        /** Whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /** Where a class may run, at every attempt: the zones and the machine kinds; an empty set means any. */
    public record Placement(Set<Integer> zones, Set<Integer> kinds) {
        public static final Placement ANYWHERE = new Placement(Set.of(), Set.of());

        public Placement {
            require(zones != null && zones.stream().allMatch(z -> z >= 0), "placement zones");
            require(kinds != null && kinds.stream().allMatch(k -> k >= 0), "placement kinds");
            zones = Set.copyOf(zones);
            kinds = Set.copyOf(kinds);
        }

        // by hand: what the compiler makes is linked by method handles, a tenth of a router's start
        @Override
        public boolean equals(Object other) {
            return other instanceof Placement p && zones.equals(p.zones) && kinds.equals(p.kinds);
        }

        @Override
        public int hashCode() {
            return 31 * zones.hashCode() + kinds.hashCode();
        }

        /** Whether a replica of this zone and kind may be sent the class. */
        public boolean allows(ServerState r) {
            return (zones.isEmpty() || zones.contains(r.zone()))
                    && (kinds.isEmpty() || kinds.contains(r.kind()));
        }
    }

    /**
     * A class of requests. An answer whose first token comes within aim + aimPerKilotoken for each 1,000
     * prompt tokens has its full worth; a later one, lateWorth of it. tokenAim is the aim between tokens.
     */
    public record RequestClass(String name, RetrySafety retrySafety, DedupGroup dedupGroup, long dedupWindow,
            long firstTokenTarget,
            long targetPerKilotoken, long interTokenTarget, long maxClientTimeout, double worth,
                    double lateWorth,
            boolean stream, Placement placement) {
        public RequestClass {
            require(name != null, "class name");
            require(retrySafety != null, "class effect");
            require(dedupGroup != null, "class group");
            require(dedupWindow >= 0, "class window");
            require(firstTokenTarget > 0, "class aim");
            require(targetPerKilotoken >= 0, "class aimPerKilotoken");
            require(interTokenTarget >= 0, "class tokenAim");
            require(maxClientTimeout > 0, "class giveUp");
            require(worth >= 0 && worth < Double.MAX_VALUE, "class worth");
            require(lateWorth >= 0 && lateWorth <= 1, "class lateWorth");
            require(placement != null, "class placement");
        }
    }

    /** A tenant and the requests a second, over all gateways, that are inside its share. */
    public record Tenant(String name, double quotaPerSecond) {
        public Tenant {
            require(quotaPerSecond >= 0, "tenant quotaPerSecond");
        }
    }

    /**
     * Points that behaviour costs. crossZone: for each first try that leaves its zone; handshake: for a new
     * connection each request; waste: for work that served nobody; lateFailure: for failing past the aim.
     */
    public record Prices(double crossZone, double handshake, double probe, double waste, double lateFailure) {
        public Prices {
            require(crossZone >= 0, "prices crossZone");
            require(handshake >= 0, "prices handshake");
            require(probe >= 0, "prices probe");
            require(waste >= 0, "prices waste");
            require(lateFailure >= 0, "prices lateFailure");
        }
    }

    /**
     * The attempts beyond requests' first (retries, hedges): in any window of this length, a gateway makes at
     * most free of them plus ratio for each request that it took in the window. NONE: no such contract.
     */
    public record AttemptBudget(double free, double ratio, long window) {
        public static final AttemptBudget NONE = new AttemptBudget(0, 0, 0);

        public AttemptBudget {
            require(free >= 0 && free < Double.MAX_VALUE, "budget free");
            require(ratio >= 0 && ratio < Double.MAX_VALUE, "budget ratio");
            require(window >= 0, "budget window");
            require(window > 0 || free == 0 && ratio == 0, "budget without a window");
        }
    }

    /**
     * What slow start, drains and retries must respect: coldFor is the longest warm-up, coldFrom the least
     * share of capacity at the start; a cold replica falls over when sent fallMultiple of its capacity for
     * fallFor.
     */
    public record Contract(long drainGrace, long warmUpTime, double coldCapacityShare,
            double overloadMultiple, long overloadWindow,
            long maxDiscoveryInterval, AttemptBudget attemptBudget) {
        public Contract {
            require(drainGrace >= 0, "contract drainGrace");
            require(warmUpTime >= 0, "contract coldFor");
            require(coldCapacityShare >= 0 && coldCapacityShare <= 1, "contract coldFrom");
            require(overloadMultiple > 0, "contract fallMultiple");
            require(overloadWindow >= 0, "contract fallFor");
            require(maxDiscoveryInterval > 0, "contract askWithin");
            require(attemptBudget != null, "contract attempts");
        }
    }

    /** What the deployment allows. retryAfterMax is 0 where clients are given no advice. */
    public record Limits(int maxAttempts, boolean allowsHedging, boolean allowsCancelling, boolean probes,
            long connectTimeout, long retryAfterMax) {
        public Limits {
            require(maxAttempts >= 1, "limits maxAttempts");
            require(connectTimeout >= 0, "limits connectTimeout");
            require(retryAfterMax >= 0, "limits retryAfterMax");
        }
    }

    /** What a gateway knows when it starts. instances counts all gateways that send to the same replicas. */
    public record Settings(int instances, int ordinal, int zone, List<RequestClass> classes,
            List<Tenant> tenants, double overQuotaWorth, boolean pullsEndpointList, Limits limits,
            Contract contract, Prices prices) {
        public Settings {
            require(instances >= 1, "instances");
            require(ordinal >= 0, "ordinal");
            require(zone >= 0, "zone");
            require(classes != null && !classes.isEmpty(), "classes");
            require(tenants != null, "tenants");
            require(overQuotaWorth >= 0 && overQuotaWorth <= 1, "overShareWorth");
            require(limits != null, "limits");
            require(contract != null, "contract");
            require(prices != null, "prices");
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }
    }

    /**
     * What the design leaves open: the bound in hundredths of the average load, points of a replica on the
     * ring
     * the hash that places points and keys, and whether the bound is rounded by chance and not up.
     */
    public record Tuning(int loadFactorPercent, int virtualNodes, LongUnaryOperator hash,
            boolean randomRounding) {
        public Tuning {
            require(loadFactorPercent > 100, "tuning loadFactor");
            require(virtualNodes >= 1, "tuning virtualPoints");
            require(hash != null, "tuning hash");
        }
    }

    /** A line of the list. weight is a size hint without a unit; startedAt is 0 when long ago. */
    public record ServerState(long id, int zone, int kind, int cell, double weight, Lifecycle lifecycle,
            long startedAt) {
    }

    /**
     * A client's request. session and sharedPrefix are 0 when absent; patience is how long the client still
     * waits for this try; repeat says that the client marked it as one.
     */
    public record Request(long id, int requestClass, int tenant, boolean clientRetry, long session,
            long sharedPrefix, double promptTokens, double prefixTokens, double maxTokens,
                    long clientTimeout) {
    }

    /** What a replica reports of its load; a value is NaN when the deployment does not report it. */
    public record LoadReport(double inFlight, double queue, double utilisation, double latencyMillis,
            double requestsPerSecond, double errorsPerSecond, double memoryShare, double unreadKilotokens) {
    }

    /** What a gateway tells the router. */
    public interface Events {
        /** The gateway is up. Comes once, before all other events. */
        void started(long now);

        /** A list, a change to it, or the news that a call for it failed. */
        void listReceived(long now, ListKind kind, List<ServerState> entries);

        /** A request has come in; the router now owes it one final answer. Ids never repeat. */
        void requestArrived(long now, Request request);

        /** The answer's first token was passed on; deadline and time-out no longer run. */
        void firstToken(long now, long requestId, int attempt);

        /**
         * An attempt ended after took. requestOver says that the request has had its final answer. keptTokens
         * is how much of the prompt the replica still held. report may be null. Attempts that this router
         * never sent, or that have ended before, are ignored.
         */
        void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long took,
                boolean requestOver, long keptTokens, LoadReport report);

        /** The client has left; the request is over and is owed nothing. Unknown ids are ignored. */
        void requestAbandoned(long now, long requestId);

        /** A time asked for by {@link Actions#wakeAt} has come. */
        void woken(long now, int token);

        /** The listed replicas that the router keeps off for now, though they are ready; changes nothing. */
        default Set<Long> unavailableServers(long now) {
            return Set.of();
        }

        /**
         * Another process of this gateway has a request out at a replica: it counts as the gateway's own
         * load. token is the other's name for it, and never that of a request of this one.
         */
        default void otherGenerationSent(long now, String token, long replicaId) {
        }

        /** What {@link #otherGenerationSent} told is over. Unknown tokens are ignored. */
        default void otherGenerationEnded(long now, String token) {
        }
    }

    /** What the router asks of its gateway. */
    public interface Actions {
        /** Send an attempt; attempts of a request number from 0. It times out after timeout. */
        void send(long requestId, long replicaId, long timeout);

        /** Stop waiting for an attempt that has not begun to answer. */
        void cancel(long requestId, int attempt);

        /** Final answer: turned away, trying again is harmless. retryAfter 0: no advice. */
        void refuse(long requestId, long retryAfter);

        /** Final answer: failed, with no promise about the effect. */
        void fail(long requestId);

        /** Ask discovery for the list and all changes from now on. One listReceived answers each call. */
        void watchEndpointList();

        /** Ask for {@link Events#woken} with this token at or after this time. */
        void wakeAt(long time, int token);

        /** A line for the operator. */
        void log(String line);
    }

    private static void require(boolean holds, String field) {
        if (!holds) {
            throw new IllegalArgumentException("impossible setting: " + field);
        }
    }
}
