package umberspread;

import java.util.List;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * The complete interface of the routing module: the events that a router delivers to it ({@link Events}),
 * the actions that it asks of the router ({@link Actions}), and the values that they carry.
 *
 * <p>All times and durations are in microseconds, on a monotonic clock chosen by the router; the module
 * reads no clock itself. One module object serves one router and is not thread-safe: deliver events one at
 * a time, in the order in which they happened. Actions are called from within an event handler and take
 * effect in call order; they must not call back into the module. A time earlier than the latest one seen
 * is treated as the latest.
 */
public final class Routing {
    private Routing() {
    }

    /** Whether it is safe to run a request of a class more than once. */
    public enum RetrySafety {
        /** Safe to run any number of times. */
        RETRYABLE,
        /** Safe to repeat within a time window, on servers that recognise and drop duplicates. */
        DEDUP,
        /** Must not run twice. */
        FRAGILE
    }

    /**
     * Which servers recognise and drop a duplicate of a {@link RetrySafety#DEDUP} request: all servers, those
     * of the zone of the first attempt, or those of its cell.
     */
    public enum DedupGroup { ALL, ZONE, CELL }

    /** State of a server in the endpoint list. */
    public enum Lifecycle { READY, DRAINING, GONE }

    /** What an endpoint list event carries. */
    public enum ListKind {
        /** The complete current list; replaces the known one. */
        FULL,
        /** Changes to the known list. */
        DELTA,
        /** A complete list from an earlier time; it may be out of date. */
        CACHED,
        /** No list: a discovery call failed. */
        FAILED
    }

    /** How an attempt ended. FULL: the server rejected it for lack of capacity. */
    public enum Outcome {
        OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT;

        /** Returns whether this outcome proves that the server never ran the attempt. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /**
     * The zones and machine kinds that a class may run on; applies to every attempt.
     *
     * @param zones indices of the allowed zones; empty allows any
     * @param kinds indices of the allowed machine kinds; empty allows any
     */
    public record Placement(Set<Integer> zones, Set<Integer> kinds) {
        /** Allows every server. */
        public static final Placement ANYWHERE = new Placement(Set.of(), Set.of());

        public Placement {
            require(zones != null && zones.stream().allMatch(z -> z >= 0), "placement zones");
            require(kinds != null && kinds.stream().allMatch(k -> k >= 0), "placement kinds");
            zones = Set.copyOf(zones);
            kinds = Set.copyOf(kinds);
        }

        // Written by hand: the generated method is linked through method handles at run time, which takes
        // a tenth of the router's start-up time.
        @Override
        public boolean equals(Object other) {
            return other instanceof Placement p && zones.equals(p.zones) && kinds.equals(p.kinds);
        }

        @Override
        public int hashCode() {
            return 31 * zones.hashCode() + kinds.hashCode();
        }

        /** Returns whether requests of the class may be sent to this server. */
        public boolean allows(ServerState server) {
            return (zones.isEmpty() || zones.contains(server.zone()))
                    && (kinds.isEmpty() || kinds.contains(server.kind()));
        }
    }

    /**
     * A class of requests and its latency targets.
     *
     * @param dedupWindow how long after a first attempt {@link RetrySafety#DEDUP} duplicates are dropped
     * @param firstTokenTarget target for the time to the first token, for an empty prompt
     * @param targetPerKilotoken added to the target for each 1,000 prompt tokens
     * @param interTokenTarget target for the time between tokens
     * @param maxClientTimeout the longest time that a client of this class waits
     * @param worth value of an answer whose first token meets its target
     * @param lateWorth the share of the worth, 0 to 1, that a later answer still has
     * @param stream whether answers are streamed
     */
    public record RequestClass(String name, RetrySafety retrySafety, DedupGroup dedupGroup, long dedupWindow,
            long firstTokenTarget, long targetPerKilotoken, long interTokenTarget, long maxClientTimeout,
            double worth, double lateWorth, boolean stream, Placement placement) {
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

    /** A tenant and its quota of requests per second over all router instances. */
    public record Tenant(String name, double quotaPerSecond) {
        public Tenant {
            require(quotaPerSecond >= 0, "tenant quotaPerSecond");
        }
    }

    /**
     * What undesirable behaviour costs, in the same unit as a class's worth.
     *
     * @param crossZone for each first attempt that leaves the router's zone
     * @param handshake for each request that opens a new connection
     * @param probe for each probe of a server
     * @param waste for work that no client received
     * @param lateFailure for a request that fails after its target for the first token
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
     * Limit on the attempts beyond each request's first (retries and hedged attempts). In any window, a
     * router sends at most free of them, plus ratio for each request that it accepted within the window.
     *
     * @param window length of the sliding window; 0 when the deployment states no budget
     */
    public record AttemptBudget(double free, double ratio, long window) {
        /** The deployment states no budget. */
        public static final AttemptBudget NONE = new AttemptBudget(0, 0, 0);

        public AttemptBudget {
            require(free >= 0 && free < Double.MAX_VALUE, "budget free");
            require(ratio >= 0 && ratio < Double.MAX_VALUE, "budget ratio");
            require(window >= 0, "budget window");
            require(window > 0 || free == 0 && ratio == 0, "budget without a window");
        }
    }

    /**
     * Constraints of the deployment on slow start, drains and retries.
     *
     * @param drainGrace how long after a drain is announced new attempts may still reach the server
     * @param warmUpTime the longest time that a server takes to warm up
     * @param coldCapacityShare the least share of its full capacity, 0 to 1, that a server has when it starts
     * @param overloadMultiple a cold server fails when sent this multiple of its current capacity
     * @param overloadWindow time for which such a load must last
     * @param maxDiscoveryInterval the longest time between two discovery calls where the list is pulled
     * @param attemptBudget limit on retries and hedged attempts
     */
    public record Contract(long drainGrace, long warmUpTime, double coldCapacityShare,
            double overloadMultiple, long overloadWindow, long maxDiscoveryInterval,
            AttemptBudget attemptBudget) {
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

    /**
     * What the deployment allows.
     *
     * @param maxAttempts attempts of a request, the first included
     * @param allowsHedging whether a request may have two attempts in flight at once
     * @param allowsCancelling whether an attempt may be cancelled
     * @param probes whether servers may be probed
     * @param connectTimeout the longest time that opening a server connection may take
     * @param retryAfterMax the longest retry-after advice to a refused client; 0: give none
     */
    public record Limits(int maxAttempts, boolean allowsHedging, boolean allowsCancelling, boolean probes,
            long connectTimeout, long retryAfterMax) {
        public Limits {
            require(maxAttempts >= 1, "limits maxAttempts");
            require(connectTimeout >= 0, "limits connectTimeout");
            require(retryAfterMax >= 0, "limits retryAfterMax");
        }
    }

    /**
     * Configuration of a router.
     *
     * @param instances number of router instances that send to the same servers
     * @param ordinal index of this instance among them, from 0
     * @param zone the router's own zone
     * @param overQuotaWorth factor, 0 to 1, on the worth of a request beyond its tenant's quota
     * @param pullsEndpointList whether the router has to call discovery for the endpoint list
     */
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
     * Parameters of consistent hashing with bounded loads.
     *
     * @param loadFactorPercent the bound on a server's load, in percent of the average load
     * @param virtualNodes ring points of a server of average weight
     * @param hash places ring points and keys on the ring
     * @param randomRounding whether the bound is rounded up or down at random and not always up
     */
    public record Tuning(int loadFactorPercent, int virtualNodes, LongUnaryOperator hash,
            boolean randomRounding) {
        public Tuning {
            require(loadFactorPercent > 100, "tuning loadFactorPercent");
            require(virtualNodes >= 1, "tuning virtualNodes");
            require(hash != null, "tuning hash");
        }
    }

    /**
     * A server in the endpoint list.
     *
     * @param kind index of its machine kind
     * @param cell index of the group of servers within which {@link DedupGroup#CELL} duplicates are dropped
     * @param weight relative size, without a unit
     * @param startedAt start time in microseconds; 0 when it is too long ago to matter
     */
    public record ServerState(long id, int zone, int kind, int cell, double weight, Lifecycle lifecycle,
            long startedAt) {
    }

    /**
     * A client's request.
     *
     * @param requestClass index into the settings' classes
     * @param tenant index into the settings' tenants
     * @param clientRetry whether the client marked it as a retry of an earlier request
     * @param session id of the session; 0 when absent
     * @param sharedPrefix id of the prompt prefix that it shares with other requests; 0 when absent
     * @param promptTokens length of the whole prompt
     * @param prefixTokens length of the shared prefix
     * @param maxTokens limit on the answer's length
     * @param clientTimeout how long the client still waits, in microseconds
     */
    public record Request(long id, int requestClass, int tenant, boolean clientRetry, long session,
            long sharedPrefix, double promptTokens, double prefixTokens, double maxTokens,
            long clientTimeout) {
    }

    /** Load report of a server; a value is NaN when the deployment does not report it. */
    public record LoadReport(double inFlight, double queue, double utilisation, double latencyMillis,
            double requestsPerSecond, double errorsPerSecond, double memoryShare, double unreadKilotokens) {
    }

    /** The events that a router delivers to the module. */
    public interface Events {
        /** The router has started. Delivered once, before all other events. */
        void started(long now);

        /** The endpoint list, a change to it, or the failure of a discovery call. */
        void listReceived(long now, ListKind kind, List<ServerState> entries);

        /** A request has arrived; the module owes it exactly one final answer. Ids are never reused. */
        void requestArrived(long now, Request request);

        /** The answer's first token was forwarded; the deadline and the attempt's timeout no longer apply. */
        void firstToken(long now, long requestId, int attempt);

        /**
         * An attempt has ended. Attempts that the module never sent, or that have already ended, are ignored.
         *
         * @param took duration of the attempt in microseconds
         * @param requestOver whether the request has had its final answer
         * @param keptTokens prompt tokens that the server found in its prefix cache
         * @param report the server's load report; may be null
         */
        void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long took,
                boolean requestOver, long keptTokens, LoadReport report);

        /** The client has disconnected; the request is over and gets no answer. Unknown ids are ignored. */
        void requestAbandoned(long now, long requestId);

        /** A timer set by {@link Actions#wakeAt} has fired. */
        void woken(long now, int token);

        /** Returns the ready servers that the module currently avoids, such as ejected ones. */
        default Set<Long> unavailableServers(long now) {
            return Set.of();
        }

        /**
         * Another generation of this instance has an attempt in flight at a server, which counts towards this
         * instance's load.
         *
         * @param token identifies the attempt; never one of this generation's own
         */
        default void otherGenerationSent(long now, String token, long serverId) {
        }

        /** An attempt announced by {@link #otherGenerationSent} has ended. Unknown tokens are ignored. */
        default void otherGenerationEnded(long now, String token) {
        }
    }

    /** The actions that the module asks of its router. */
    public interface Actions {
        /**
         * Sends the request's next attempt to a server. Attempts of a request are numbered from 0.
         *
         * @param timeout the attempt times out after so many microseconds
         */
        void send(long requestId, long serverId, long timeout);

        /** Cancels an attempt that has not begun to answer. */
        void cancel(long requestId, int attempt);

        /**
         * Final answer: refuses the request; a retry by the client is harmless.
         *
         * @param retryAfter advice on when to retry, in microseconds from now; 0: none
         */
        void refuse(long requestId, long retryAfter);

        /** Final answer: fails the request, which may or may not have run. */
        void fail(long requestId);

        /** Requests the endpoint list and all later changes; one listReceived event answers each call. */
        void watchEndpointList();

        /** Sets a timer: {@link Events#woken} is delivered with this token at or after this time. */
        void wakeAt(long time, int token);

        /** Writes a line to the operator's log. */
        void log(String line);
    }

    /** Checks a setting; the message names the field much as the configuration does. */
    private static void require(boolean holds, String field) {
        if (!holds) {
            throw new IllegalArgumentException("invalid setting: " + field);
        }
    }
}
