package umberspread;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.LoadReport;
import umberspread.Routing.Outcome;
import umberspread.Routing.Request;
import umberspread.Routing.RequestClass;
import umberspread.Routing.RetrySafety;
import umberspread.Routing.ServerState;
import umberspread.Routing.Settings;

/**
 * Makes every routing decision of one router: which server, when to retry, hedge, queue or refuse. Its
 * interface, the events and actions, is {@link Routing}.
 *
 * <p>A request's path: {@link #requestArrived} accepts it; {@link #dispatch} asks {@link #pickServer} for a
 * server and sends an attempt, or queues the request; {@link #attemptEnded} finishes it, or retries it on
 * the next server of the ring where its class and deadline allow; {@link #giveFinalAnswer} refuses or fails
 * a request that no server answered. {@link #pickServer} is consistent hashing with bounded loads.
 */
public final class BoundedLoadRouter implements Routing.Events {
    /** Bound on a server's load, in percent of the average load; Vimeo reports running with this value. */
    private static final int LOAD_FACTOR_PERCENT = 125;
    /**
     * Ring points of a server of average weight. With 64, arc lengths vary by about an eighth, which is half
     * the slack of the load bound.
     */
    private static final int VIRTUAL_NODES = 64;
    /** Cap on a server's weight relative to the average, and on a measured latency relative to the mean. */
    private static final double MAX_RELATIVE_WEIGHT = 8;
    /**
     * The first discovery calls of the instances are spread over the maximum discovery interval divided by
     * this, because discovery handles calls one after the other.
     */
    private static final int FIRST_CALL_SPREAD_DIVISOR = 10;
    /** A failed discovery call is retried within that interval divided by this, doubled at each failure. */
    private static final int DISCOVERY_BACKOFF_DIVISOR = 20;
    /**
     * Longest wait before a failed discovery call is retried. A change counts as known to the router 6 s
     * after discovery has it, even if calls fail; with this wait, five calls fit into that time.
     */
    private static final long MAX_DISCOVERY_BACKOFF_MICROS = 1_000_000;
    /** A queued request looks for a server again after its client's timeout divided by this. */
    private static final int QUEUE_CHECKS = 8;
    /**
     * A queued request is answered when its client's timeout divided by this is left, so that the client
     * still has time to retry.
     */
    private static final int QUEUE_RESERVE_DIVISOR = 2;
    /**
     * Time constant, in multiples of the longest client timeout, with which a key's request count decays.
     * It is longer than a session lasts.
     */
    private static final int POPULARITY_DECAY_TIMEOUTS = 8;
    /** The plan is updated this many times per shortest first-token target, and when the ring changes. */
    private static final int PLANS_PER_TARGET = 2;
    /** A key is spread over this many times the servers that its share of the traffic would fill. */
    private static final double SPREAD_FACTOR = 4;
    /**
     * Servers that a key's ring walk visits at most. A key spread over more gets one ring position per this
     * many, so that the cost of a walk doesn't grow with the number of servers.
     */
    private static final int MAX_RING_WALK = 16;
    /** Standard deviations subtracted from a key's request count, so that a key seen once isn't popular. */
    private static final double NOISE_DEVIATIONS = 1;
    /** The own zone is preferred only with this many instances per zone: fewer would leave zones unused. */
    private static final int MIN_INSTANCES_PER_ZONE = 3;
    /**
     * The own zone is preferred only with this many ready servers in it, because each zone then caches all
     * prefixes separately.
     */
    private static final int MIN_SERVERS_IN_ZONE = 8;
    /** A key with fewer recent requests than this is forgotten. */
    private static final double MIN_KEY_REQUESTS = 0.2;
    /** A server's first ejection lasts the longest client timeout divided by this. */
    private static final int EJECTION_DIVISOR = 6;
    /** Consecutive resets, with no answer in between, after which a server is ejected. */
    private static final int RESETS_TO_EJECT = 2;
    /** Consecutive ejections or class backoffs double in length, at most this many times. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    /** A server that rejects a class gets none of it for the longest client timeout divided by this. */
    private static final int CLASS_BACKOFF_DIVISOR = 12;
    /** A server whose load report shows a greater share of errors than this is backed off for all classes. */
    private static final double MAX_ERROR_SHARE = 0.5;
    /** At most this share of a pool's ready servers is ejected: beyond it, the trouble is general. */
    private static final double MAX_EJECTED_SHARE = 0.4;
    /**
     * Extra attempts per arrival within the longest client timeout, where no attempt budget is configured.
     */
    private static final double DEFAULT_BUDGET_RATIO = 0.2;
    /** Extra attempts in addition to that ratio. */
    private static final double DEFAULT_BUDGET_FREE = 1;
    /** Share of the attempt budget that requests of less than average worth may use; the rest is reserved. */
    private static final double LOW_WORTH_BUDGET_SHARE = 0.5;
    /** A prompt whose prefill takes less than this share of the target is cheap to move to another server. */
    private static final double CHEAP_PREFILL_SHARE = 0.1;
    /**
     * Longest wait that avoiding a repeated prefill justifies, as a share of the target; beyond it, most
     * answers would be late.
     */
    private static final double MAX_REPEATED_PREFILL_SHARE = 0.8;
    /** Decay of the highest prefill rate seen, per observation, in case the servers have changed. */
    private static final double PREFILL_RATE_DECAY = 0.999;
    /** Weight of one first-token delay in a zone's moving average: about the last ten count. */
    private static final double ZONE_DELAY_WEIGHT = 0.1;
    /** A worth counts as above average only beyond this multiple of it, so that equal worths don't. */
    private static final double ABOVE_AVERAGE_FACTOR = 1.05;
    /** Weight of one request in a moving average: about the last hundred count. */
    private static final double MOVING_AVERAGE_WEIGHT = 0.01;
    /** Machine kinds start as equally fast, with the weight of this many measured latencies. */
    private static final int KIND_PRIOR_SAMPLES = 10;
    /** An attempt is overdue when its first token has not come within its target divided by this. */
    private static final int OVERDUE_DIVISOR = 8;
    /** Requests of any worth spill from a slow server while at most this share of the pool is slow. */
    private static final double MAX_SLOW_SHARE = 0.5;
    /** A request of above-average worth tolerates a wait of its target divided by this at a slow server. */
    private static final int TOLERABLE_WAIT_DIVISOR = 3;
    /** A server stays slow after an overdue attempt for the attempt's delay divided by this. */
    private static final int SLOW_TIME_DIVISOR = 2;
    /** Time constant of rate measurements, in multiples of the shortest first-token target. */
    private static final double RATE_WINDOW_TARGETS = 5;
    /**
     * A cold server gets at most this share of the load that would overload it if the other servers were at
     * capacity, because its prefix cache is empty as well.
     */
    private static final double COLD_MARGIN = 0.4;
    /** A load report is trusted for the longest client timeout divided by this. */
    private static final int REPORT_VALIDITY_DIVISOR = 3;
    /** Bound on a server's reported load, as a multiple of its fair share; generous because reports lag. */
    private static final double REPORTED_LOAD_FACTOR = 2;
    /**
     * An attempt is presumed lost when a later one at the same server got its first token and the shortest
     * first-token target divided by this has passed since.
     */
    private static final int OVERTAKE_DIVISOR = 10;
    /** A request is hedged, where that is allowed, after its first-token target divided by this. */
    private static final int HEDGE_DIVISOR = 2;
    /** A refused client is advised to retry after its target divided by this: one more attempt fits in. */
    private static final int RETRY_AFTER_DIVISOR = 8;
    /** Tolerance for floating-point rounding when a count is compared with a sum of fractions. */
    private static final double ROUNDING_TOLERANCE = 1e-9;
    /** Timer token of the next discovery call; all other tokens belong to requests. */
    private static final int DISCOVERY_TIMER = 0;

    final Settings settings;
    private final Routing.Tuning tuning;
    private final LongUnaryOperator hash;
    private final Routing.Actions actions;
    private final SplittableRandom random;
    final Map<Long, TrackedServer> servers = new HashMap<>();
    private final Map<Long, PendingRequest> openRequests = new HashMap<>();
    private final Map<Integer, PendingRequest> requestTimers = new HashMap<>();
    private final ArrayDeque<PendingRequest> queue = new ArrayDeque<>();
    final List<Pool> pools = new ArrayList<>();
    private final Pool unrestrictedPool;
    private final Pool[] poolOfClass;
    private int walkId;
    private int lastTimerToken = DISCOVERY_TIMER;
    private int failedDiscoveryCalls;
    private boolean watching;
    private boolean discoveryCallPending;
    private long nextDiscoveryCallAt;
    final Map<Long, KeyTraffic> trafficByKey = new HashMap<>();
    double unkeyedRequests;
    /** Whether the ring or an ejection has changed since the last update of the plan. */
    private boolean planStale;
    long plannedAt;
    private final List<TrackedServer> readyServers = new ArrayList<>();
    private final Routing.AttemptBudget attemptBudget;
    final ArrayDeque<Long> recentArrivals = new ArrayDeque<>();
    final ArrayDeque<Long> recentExtraAttempts = new ArrayDeque<>();
    private final long maxClientTimeout;
    private final long planInterval;
    double averageWorth;
    /** Moving average of the first-token delay relative to its target: [0] in the own zone, [1] elsewhere. */
    private final double[] zoneDelay = new double[2];
    /** Decaying count of first tokens, from which the load of an average server is estimated. */
    double recentFirstTokens;
    /** In tokens per microsecond; 0 if unknown. */
    double prefillRate;
    /** Average weight of the first endpoint list, as a power of two; 0 before it. */
    double referenceWeight;
    private long latestTime = Long.MIN_VALUE;
    /** Moving average of the duration of answers, in microseconds, by request class. */
    final double[] classLatency;
    private final double[] classFirstTokenLatency;
    /** Latency of each machine kind, relative to the mean of the request classes. */
    final Map<Integer, Double> kindLatencyRatio = new HashMap<>();
    private final Map<Integer, Integer> kindSamples = new HashMap<>();
    private double fastestKindSpeed = 1;
    private final Sessions sessions = new Sessions();
    final double[] tenantRequests;

    /**
     * The servers that one placement allows, with a hash ring of their own. A class is sent only to servers
     * of its pool; the load bound, the spread of a key, the own-zone preference and the limit on ejections
     * are relative to the pool.
     */
    static final class Pool {
        final Routing.Placement placement;
        long[] points = new long[0];
        TrackedServer[] owners = new TrackedServer[0];
        final List<TrackedServer> members = new ArrayList<>();
        int ready;
        int inFlight;
        /** Ready servers of the own zone where it is preferred, else of the whole pool. */
        int preferredReady;
        boolean prefersOwnZone;
        double capacity = 1;
        double arrivals;
        /** Requests in flight, of all instances, on the servers with a recent load report. */
        double reportedInFlight;
        /** Relative capacity of those servers; 0 if there are none. */
        double reportedCapacity;

        Pool(Routing.Placement placement) {
            this.placement = placement;
        }

        /** Returns the index of the ring point at which the walk for a hash starts. */
        private int walkStart(long hash) {
            int i = Arrays.binarySearch(points, hash);
            int at = i >= 0 ? i : -i - 1;
            return at == points.length ? 0 : at;
        }

        private int next(int i) {
            return i + 1 == points.length ? 0 : i + 1;
        }
    }

    /** A key's recent requests, and the number of ring successors that they are spread over. */
    static final class KeyTraffic {
        Pool pool;
        double requests;
        int spread = 1;
    }

    /** What this router knows of a server. Times are in microseconds; 0 means never. */
    static final class TrackedServer {
        ServerState state;
        int points;
        List<Pool> pools = List.of();
        int inFlight;
        final ArrayDeque<Attempt> awaitingFirstToken = new ArrayDeque<>();
        final long[] classBackoffUntil;
        final int[] classFailures;
        /** The last ring walk that came past; used to visit each server once per walk. */
        int lastWalk;
        long ejectedUntil;
        int ejections;
        int consecutiveResets;
        boolean onTrial;
        int overdueAttempts;
        long slowUntil;
        long lastFirstTokenDelay;
        long nextColdSendAt;
        /** The start time of the server that the cold budget is for. */
        long coldBudgetStart;
        long lastFirstTokenAt;
        /** Requests of other instances in flight, by the last load report. */
        double otherInFlight;
        long otherInFlightUntil;

        TrackedServer(ServerState state, int points, int classes) {
            this.classBackoffUntil = new long[classes];
            this.classFailures = new int[classes];
            this.state = state;
            this.points = points;
        }

        /** Returns whether the server is ejected, or its one trial request after an ejection is in flight. */
        boolean isAvoided(long now) {
            return ejectedUntil > now || onTrial && ejections > 0;
        }
    }

    /** One attempt of a request. firstTokenDelay is in microseconds, 0 before the first token. */
    private static final class Attempt {
        private final TrackedServer server;
        private final List<Pool> pools;
        private final long sentAt;
        private boolean inFlight = true;
        private boolean mayHaveRun = true;
        private boolean overdue;
        private boolean overtaken;
        private long firstTokenDelay;
        private final PendingRequest pending;

        Attempt(PendingRequest pending, TrackedServer server, long sentAt) {
            this.pending = pending;
            this.server = server;
            this.pools = server.pools;
            this.sentAt = sentAt;
        }
    }

    /** A request without a final answer, or with attempts still in flight. */
    private static final class PendingRequest {
        private final Request request;
        private final RequestClass requestClass;
        private final Pool pool;
        private final long arrivedAt;
        private final long deadline;
        private final long key;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private boolean finished;
        private boolean queued;
        private boolean reviewed;
        private boolean answering;
        private boolean hedged;
        private double worth;

        PendingRequest(Request request, RequestClass requestClass, Pool pool, long now) {
            this.request = request;
            this.requestClass = requestClass;
            this.pool = pool;
            this.arrivedAt = now;
            this.deadline = now + request.clientTimeout();
            long named = request.sharedPrefix() != 0 ? request.sharedPrefix() : request.session();
            this.key = named != 0 ? named : request.id();
        }

        long sessionOrId() {
            return request.session() != 0 ? request.session() : request.id();
        }

        boolean anyInFlight() {
            return attempts.stream().anyMatch(attempt -> attempt.inFlight);
        }

        /** Returns the first attempt that may have run; null if none did. */
        Attempt firstThatMayHaveRun() {
            return attempts.stream().filter(attempt -> attempt.mayHaveRun).findFirst().orElse(null);
        }
    }

    /**
     * Creates the module of one router with the default tuning. Equal seeds and events give equal actions.
     */
    public BoundedLoadRouter(Settings settings, long seed, Routing.Actions actions) {
        this(settings, seed, actions,
                new Routing.Tuning(LOAD_FACTOR_PERCENT, VIRTUAL_NODES, Mixing::mix, false));
    }

    /** Creates the module of one router with other hashing parameters. */
    public BoundedLoadRouter(Settings settings, long seed, Routing.Actions actions, Routing.Tuning tuning) {
        this.settings = settings;
        this.tuning = tuning;
        this.hash = tuning.hash();
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        long longestTimeout = 0;
        long shortestTarget = Long.MAX_VALUE;
        for (RequestClass requestClass : settings.classes()) {
            longestTimeout = Math.max(longestTimeout, requestClass.maxClientTimeout());
            shortestTarget = Math.min(shortestTarget, requestClass.firstTokenTarget());
        }
        this.maxClientTimeout = longestTimeout;
        this.planInterval = shortestTarget / PLANS_PER_TARGET;
        this.classLatency = new double[settings.classes().size()];
        this.classFirstTokenLatency = new double[settings.classes().size()];
        this.tenantRequests = new double[settings.tenants().size()];
        Routing.AttemptBudget configured = settings.contract().attemptBudget();
        this.attemptBudget = configured.window() > 0 ? configured
                : new Routing.AttemptBudget(DEFAULT_BUDGET_FREE, DEFAULT_BUDGET_RATIO, longestTimeout);
        this.unrestrictedPool = poolFor(Routing.Placement.ANYWHERE);
        this.poolOfClass = new Pool[settings.classes().size()];
        for (int i = 0; i < poolOfClass.length; i++) {
            poolOfClass[i] = poolFor(settings.classes().get(i).placement());
        }
    }

    private Pool poolFor(Routing.Placement placement) {
        for (Pool pool : pools) {
            if (pool.placement.equals(placement)) {
                return pool;
            }
        }
        pools.add(new Pool(placement));
        return pools.get(pools.size() - 1);
    }

    @Override
    public void started(long time) {
        long now = latestTime(time);
        if (settings.pullsEndpointList()) {
            scheduleDiscoveryCall(now
                    + jittered(settings.contract().maxDiscoveryInterval() / FIRST_CALL_SPREAD_DIVISOR));
        }
    }

    // ---- discovery

    @Override
    public void listReceived(long time, ListKind kind, List<ServerState> entries) {
        long now = latestTime(time);
        if (kind == ListKind.FAILED) {
            discoveryCallPending = false;
            watching = false;
            long wait = Math.min(MAX_DISCOVERY_BACKOFF_MICROS,
                    settings.contract().maxDiscoveryInterval() / DISCOVERY_BACKOFF_DIVISOR
                    << Math.min(failedDiscoveryCalls++, 3));
            scheduleDiscoveryCall(now + wait / 2 + jittered(wait / 2));
            return;
        }
        if (kind != ListKind.CACHED) {
            discoveryCallPending = false;
            watching = true;
            failedDiscoveryCalls = 0;
        }
        boolean changed = false;
        if (kind != ListKind.DELTA) {
            Map<Long, TrackedServer> missing = new HashMap<>(servers);
            entries.forEach(entry -> missing.remove(entry.id()));
            for (TrackedServer server : missing.values()) {
                changed |= removeServer(server);
            }
        }
        if (referenceWeight == 0 && !entries.isEmpty()) {
            double sum = entries.stream().mapToDouble(entry -> Math.max(0, entry.weight())).sum();
            referenceWeight = sum > 0 ? Math.pow(2, Math.rint(Math.log(sum / entries.size()) / Math.log(2)))
                    : 1;
        }
        for (ServerState entry : entries) {
            changed |= updateServer(entry);
        }
        if (changed) {
            rebuildRing();
        }
        retryQueued(now);
    }

    private boolean updateServer(ServerState entry) {
        TrackedServer server = servers.get(entry.id());
        if (entry.lifecycle() == Lifecycle.GONE) {
            return server != null && removeServer(server);
        }
        boolean ready = entry.lifecycle() == Lifecycle.READY;
        if (server == null) {
            server = new TrackedServer(entry, pointsFor(entry), settings.classes().size());
            servers.put(entry.id(), server);
            server.pools = poolsOf(entry);
            withinColdBudget(server, latestTime);
            return ready;
        }
        boolean wasReady = server.state.lifecycle() == Lifecycle.READY;
        boolean moved = server.state.zone() != entry.zone() || server.state.kind() != entry.kind();
        server.state = entry;
        withinColdBudget(server, latestTime);
        if (moved) {
            server.pools = poolsOf(entry);
        }
        return wasReady != ready || ready && moved;
    }

    private List<Pool> poolsOf(ServerState entry) {
        List<Pool> found = new ArrayList<>(pools);
        found.removeIf(pool -> !pool.placement.allows(entry));
        return found;
    }

    /** Returns a server's number of ring points, in proportion to the weight it was first listed with. */
    private int pointsFor(ServerState entry) {
        double times = entry.weight() > 0 ? Math.min(MAX_RELATIVE_WEIGHT, entry.weight() / referenceWeight)
                : 1;
        return Math.max(1, (int) Math.rint(tuning.virtualNodes() * times));
    }

    private boolean removeServer(TrackedServer server) {
        servers.remove(server.state.id());
        return server.state.lifecycle() == Lifecycle.READY;
    }

    /** A point depends only on its server, so a change moves only the keys next to that server's points. */
    void rebuildRing() {
        readyServers.clear();
        planStale = true;
        readyServers.addAll(servers.values());
        readyServers.removeIf(server -> server.state.lifecycle() != Lifecycle.READY);
        readyServers.sort((one, other) -> Long.compare(one.state.id(), other.state.id()));
        Map<Long, TrackedServer> byPoint = new HashMap<>();
        for (TrackedServer server : readyServers) {
            for (int i = 0; i < server.points; i++) {
                long point = hash.applyAsLong(hash.applyAsLong(server.state.id() ^ Mixing.RING_SALT) + i);
                TrackedServer other = byPoint.get(point);
                if (other == null || other.state.id() > server.state.id()) {
                    byPoint.put(point, server);
                }
            }
        }
        long[] points = new long[byPoint.size()];
        int at = 0;
        for (long point : byPoint.keySet()) {
            points[at++] = point;
        }
        Arrays.sort(points);
        for (Pool pool : pools) {
            rebuildPool(pool, points, byPoint);
        }
    }

    /** Enforces placement: only servers that the pool's classes may run on are on its ring. */
    private void rebuildPool(Pool pool, long[] points, Map<Long, TrackedServer> byPoint) {
        pool.members.clear();
        pool.members.addAll(readyServers);
        pool.members.removeIf(server -> !server.pools.contains(pool));
        pool.ready = pool.members.size();
        choosePreferredZone(pool);
        long[] own = new long[points.length];
        TrackedServer[] owners = new TrackedServer[points.length];
        int size = 0;
        for (long point : points) {
            TrackedServer server = byPoint.get(point);
            if (server.pools.contains(pool)) {
                own[size] = point;
                owners[size++] = server;
            }
        }
        pool.points = Arrays.copyOf(own, size);
        pool.owners = Arrays.copyOf(owners, size);
    }

    /** Prefers the own zone if it has enough servers, and there are enough instances to use all zones. */
    private void choosePreferredZone(Pool pool) {
        int own = 0;
        List<Integer> zones = new ArrayList<>();
        for (TrackedServer server : pool.members) {
            own += server.state.zone() == settings.zone() ? 1 : 0;
            if (!zones.contains(server.state.zone())) {
                zones.add(server.state.zone());
            }
        }
        pool.prefersOwnZone = settings.instances() >= MIN_INSTANCES_PER_ZONE * zones.size()
                && own >= MIN_SERVERS_IN_ZONE
                && own * zones.size() * 2 > pool.ready;
        pool.preferredReady = pool.prefersOwnZone ? own : pool.ready;
    }

    private void scheduleDiscoveryCall(long time) {
        nextDiscoveryCallAt = time;
        actions.wakeAt(time, DISCOVERY_TIMER);
    }

    private void callDiscovery(long now) {
        if (now < nextDiscoveryCallAt || watching && !discoveryCallPending) {
            return;
        }
        discoveryCallPending = true;
        actions.watchEndpointList();
        scheduleDiscoveryCall(now + settings.contract().maxDiscoveryInterval());
    }

    // ---- choice of a server

    /**
     * Walks the distinct ready servers from the key's ring position, applies the load bound, and chooses
     * among the servers that the key is spread over by rendezvous hashing of the session.
     *
     * @param skipSlow chooses among servers that are not slow, even away from the session's server
     * @return the server; null if none may take the request
     */
    private TrackedServer pickServer(PendingRequest pending, boolean skipSlow, long now) {
        TrackedServer last = skipSlow ? null : sessions.lastServer(pending.request.session());
        if (keepsSession(pending, last, now)) {
            return last;
        }
        KeyTraffic traffic = trafficByKey.get(pending.key);
        int spread = traffic == null ? 1 : traffic.spread;
        long session = Mixing.mix(pending.sessionOrId() ^ pending.key);
        long position = hash.applyAsLong(pending.key);
        if (spread > MAX_RING_WALK) {
            position = hash.applyAsLong(pending.key ^ Mixing.mix(session & spread / MAX_RING_WALK - 1));
            spread = MAX_RING_WALK;
        }
        TrackedServer overBound = null;
        TrackedServer slower = null;
        TrackedServer best = null;
        double bestScore = 0;
        walkId++;
        int seen = 0;
        int found = 0;
        Pool pool = pending.pool;
        boolean ownZoneOnly = pool.prefersOwnZone && !ownZoneCongested(pending);
        int candidates = ownZoneOnly ? pool.preferredReady : pool.ready;
        for (int i = pool.walkStart(position); seen < candidates && found < spread; i = pool.next(i)) {
            TrackedServer server = pool.owners[i];
            if (server.lastWalk == walkId || ownZoneOnly && server.state.zone() != settings.zone()) {
                continue;
            }
            server.lastWalk = walkId;
            seen++;
            if (!mayTake(pending, server, now)) {
                continue;
            }
            boolean cold = capacityShare(server, now) < 1;
            if ((cold || cheapToPrefill(pending) || hasLoadReports(pool, server, now))
                    && overBound(pending, server, now)) {
                overBound = overBound == null && !cold ? server : overBound;
                continue;
            }
            // a machine kind keeps a share of its keys on the ring that is its speed relative to the fastest
            // kind's
            if (spread == 1 && speed(server)
                    < fastestKindSpeed * Mixing.uniform(pending.key ^ Mixing.mix(~server.state.id()))) {
                slower = slower == null ? server : slower;
                continue;
            }
            found++;
            if (skipSlow && isSlow(pending, server, now)) {
                continue;
            }
            double score = -capacityShare(server, now) * speed(server)
                    / Math.log(Mixing.uniform(session ^ server.state.id()));
            if (best == null || score > bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return best != null ? best : slower != null ? slower : overBound;
    }

    /**
     * Whether a session stays on the server that served it last, which avoids a second prefill of its history
     * after a spill. The conditions are those under which the ring would pick the server. A server that has
     * started since has no history cached and little capacity.
     */
    private boolean keepsSession(PendingRequest pending, TrackedServer server, long now) {
        return server != null && servers.get(server.state.id()) == server
                && server.state.lifecycle() == Lifecycle.READY
                && server.pools.contains(pending.pool) && capacityShare(server, now) >= 1
                && mayTake(pending, server, now)
                && !(cheapToPrefill(pending) && overBound(pending, server, now));
    }

    private static boolean hasLoadReports(Pool pool, TrackedServer server, long now) {
        return pool.reportedCapacity > 0 && server.otherInFlightUntil > now;
    }

    /**
     * Whether one more stream would exceed the server's load bound, which is scaled to its present capacity
     * while it is cold. Where load reports are available, the streams of all instances count: with many
     * instances, a router's own count is one or zero.
     */
    private boolean overBound(PendingRequest pending, TrackedServer server, long now) {
        if (hasLoadReports(pending.pool, server, now)) {
            return server.inFlight + server.otherInFlight + 1 > Math.max(1,
                    Math.ceil(REPORTED_LOAD_FACTOR * (pending.pool.reportedInFlight + 1) * weight(server)
                            * speed(server) * capacityShare(server, now) / pending.pool.reportedCapacity));
        }
        double average = (pending.pool.inFlight + 1) * weight(server) * capacityShare(server, now)
                / pending.pool.capacity;
        double fair = average * (tuning.loadFactorPercent() / 100.0);
        return server.inFlight + 1 > (tuning.randomRounding()
                ? Math.floor(fair + Mixing.uniform(pending.request.id() ^ server.state.id()))
                : Math.ceil(fair));
    }

    /**
     * Decays the measurements and recomputes how far each key is spread. That follows recent traffic
     * rather than open requests: with many instances, a router's own open requests give a bound of one or
     * two, so that servers are skipped at random and prefixes are scattered. A key whose share of the traffic
     * would fill more than one server is spread over several ring successors, in powers of two so that
     * instances with different counts mostly agree.
     */
    private void updatePlan(long now) {
        long elapsed = now - plannedAt;
        double decay = Math.exp(-(double) elapsed / (POPULARITY_DECAY_TIMEOUTS * maxClientTimeout));
        plannedAt = now;
        planStale = false;
        fastestKindSpeed = kindLatencyRatio.values().stream().mapToDouble(ratio -> 1 / ratio).max().orElse(1);
        sessions.forgetBefore(now - POPULARITY_DECAY_TIMEOUTS * maxClientTimeout);
        unkeyedRequests *= decay;
        double total = unkeyedRequests;
        double meterDecay = Math.exp(
                -(double) elapsed / (RATE_WINDOW_TARGETS * planInterval * PLANS_PER_TARGET));
        recentFirstTokens *= meterDecay;
        for (int t = 0; t < tenantRequests.length; t++) {
            tenantRequests[t] *= meterDecay;
        }
        for (Pool pool : pools) {
            pool.arrivals *= decay;
            pool.capacity = 0;
            pool.reportedInFlight = 0;
            pool.reportedCapacity = 0;
            for (TrackedServer server : pool.members) {
                pool.capacity += server.ejectedUntil > now ? 0 : weight(server);
                if (server.otherInFlightUntil > now && server.ejectedUntil <= now) {
                    pool.reportedInFlight += server.inFlight + server.otherInFlight;
                    pool.reportedCapacity += weight(server) * speed(server) * capacityShare(server, now);
                }
            }
        }
        for (KeyTraffic traffic : trafficByKey.values()) {
            traffic.requests *= decay;
            total += traffic.requests;
        }
        trafficByKey.values().removeIf(traffic -> traffic.requests < MIN_KEY_REQUESTS);
        for (KeyTraffic traffic : trafficByKey.values()) {
            double significant = Math.max(0,
                    traffic.requests - NOISE_DEVIATIONS * Math.sqrt(traffic.requests));
            double wanted = significant / expectedTraffic(traffic.pool, total) * traffic.pool.preferredReady
                    * SPREAD_FACTOR;
            while (traffic.spread < wanted) {
                traffic.spread *= 2;
            }
            while (traffic.spread > 1 && traffic.spread > 4 * wanted) {
                traffic.spread /= 2;
            }
        }
    }

    /** Returns the traffic to a pool's servers: that of its own classes and an even share of the rest. */
    private double expectedTraffic(Pool pool, double total) {
        double own = Math.min(total, pool.arrivals);
        return pool == unrestrictedPool ? total
                : own + (total - own) * pool.ready / Math.max(1, unrestrictedPool.ready);
    }

    /**
     * Picks another server that the key is spread over and that has its prefix, or else any responsive one.
     */
    private TrackedServer pickResponsive(PendingRequest pending, long now) {
        TrackedServer server = pickServer(pending, true, now);
        return server != null && !isSlow(pending, server, now) ? server : firstResponsive(pending, now);
    }

    /** Returns the first server in ring order, of any zone, that isn't slow and may take the request. */
    private TrackedServer firstResponsive(PendingRequest pending, long now) {
        walkId++;
        int seen = 0;
        for (int i = pending.pool.walkStart(hash.applyAsLong(pending.key)); seen < pending.pool.ready;
                i = pending.pool.next(i)) {
            TrackedServer server = pending.pool.owners[i];
            if (server.lastWalk == walkId) {
                continue;
            }
            server.lastWalk = walkId;
            seen++;
            if (!isSlow(pending, server, now) && mayTake(pending, server, now)) {
                return server;
            }
        }
        return null;
    }

    /**
     * Whether a request is worth the extra prefill that a spill costs. Without this, small tenants were
     * refused at a server congested by a large one.
     */
    private boolean spillPays(PendingRequest pending) {
        return prefillTime(pending) * averageWorth
                < CHEAP_PREFILL_SHARE * pending.requestClass.firstTokenTarget() * pending.worth;
    }

    /**
     * Whether only few servers of the pool are slow. A spill then costs no more than one prefill; if many
     * servers were slow, it would spread the congestion.
     */
    private boolean fewAreSlow(PendingRequest pending, long now) {
        long slow = pending.pool.members.stream()
                .filter(server -> server.overdueAttempts > 0 || server.slowUntil > now).count();
        return slow <= pending.pool.ready * MAX_SLOW_SHARE;
    }

    private double prefillTime(PendingRequest pending) {
        return pending.request.promptTokens() / prefillRate;
    }

    private boolean cheapToPrefill(PendingRequest pending) {
        return prefillTime(pending) < CHEAP_PREFILL_SHARE * pending.requestClass.firstTokenTarget();
    }

    /**
     * Measures the speed of a machine kind, which the endpoint list doesn't tell: the latency of its first
     * tokens and whole answers, relative to the mean of their class. Faster kinds get more keys and, within a
     * key's spread, more sessions.
     */
    private void learnSpeed(double[] mean, PendingRequest pending, Attempt attempt, long now) {
        int classIndex = pending.request.requestClass();
        double took = Math.max(1, now - attempt.sentAt);
        mean[classIndex] += mean[classIndex] == 0 ? took : (took - mean[classIndex]) * MOVING_AVERAGE_WEIGHT;
        double ratio = Math.min(MAX_RELATIVE_WEIGHT, took / mean[classIndex]);
        int kind = attempt.server.state.kind();
        double known = kindLatencyRatio.getOrDefault(kind, 1.0);
        double weight = Math.max(MOVING_AVERAGE_WEIGHT,
                1.0 / (KIND_PRIOR_SAMPLES + kindSamples.merge(kind, 1, Integer::sum)));
        kindLatencyRatio.put(kind, known + (ratio - known) * weight);
    }

    private double speed(TrackedServer server) {
        return 1 / kindLatencyRatio.getOrDefault(server.state.kind(), 1.0);
    }

    /**
     * Averages the first-token delay in the own zone and elsewhere, relative to the target. A request leaves
     * a congested zone if the difference makes up for the prefill.
     */
    private void learnZoneDelay(PendingRequest pending, Attempt attempt, long now) {
        int side = attempt.server.state.zone() == settings.zone() ? 0 : 1;
        zoneDelay[side] += ((double) (now - attempt.sentAt) / firstTokenTarget(pending) - zoneDelay[side])
                * ZONE_DELAY_WEIGHT;
    }

    /**
     * Share of the target that a repeated prefill takes: in the other zone and again on return, each also
     * delaying the requests that wait behind it. 0 if the prefill rate is unknown.
     */
    private double repeatedPrefillShare(PendingRequest pending) {
        return prefillRate > 0 ? Math.min(MAX_REPEATED_PREFILL_SHARE,
                4 * prefillTime(pending) / firstTokenTarget(pending)) : 0;
    }

    private boolean ownZoneCongested(PendingRequest pending) {
        return zoneDelay[0] * TOLERABLE_WAIT_DIVISOR > 1
                && zoneDelay[0] > zoneDelay[1] + repeatedPrefillShare(pending);
    }

    /** Records the highest recent prefill rate, in tokens per microsecond. */
    private void learnPrefillRate(PendingRequest pending, Attempt attempt, long keptTokens) {
        double unread = pending.request.promptTokens() - keptTokens;
        if (attempt.firstTokenDelay > 0 && unread > pending.request.promptTokens() / 2) {
            prefillRate = Math.max(prefillRate * PREFILL_RATE_DECAY, unread / attempt.firstTokenDelay);
        }
    }

    /**
     * Whether the server is too slow for the request. A hung, paused or congested server accumulates streams:
     * one of them has waited for its first token past a part of its target, or did so shortly before. A
     * request that it could only answer late is refused at once, so that the congestion can end. A request of
     * above-average worth stays with its session's server while the wait is a small part of its own target;
     * any other, while the wait is at most the share that a late answer is still worth, because leaving means
     * a repeated prefill or a refusal.
     */
    private boolean isSlow(PendingRequest pending, TrackedServer server, long now) {
        if (server.overdueAttempts == 0 && server.slowUntil <= now) {
            return false;
        }
        long tolerable = pending.worth > averageWorth * ABOVE_AVERAGE_FACTOR
                ? firstTokenTarget(pending) / TOLERABLE_WAIT_DIVISOR
                : (long) (firstTokenTarget(pending) * pending.requestClass.lateWorth());
        Attempt oldest = server.awaitingFirstToken.peek();
        return oldest != null && now - oldest.sentAt > tolerable
                || server.slowUntil > now && server.lastFirstTokenDelay > tolerable;
    }

    private double weight(TrackedServer server) {
        return server.state.weight() > 0 ? server.state.weight() : 1;
    }

    /** Whether the server may be sent an attempt of this request now. */
    private boolean mayTake(PendingRequest pending, TrackedServer server, long now) {
        return pending.attempts.stream().noneMatch(attempt -> attempt.server.state.id() == server.state.id())
                && !server.isAvoided(now)
                && server.classBackoffUntil[pending.request.requestClass()] <= now
                && mayRepeatOn(pending, server, now)
                && takesKeyWhileCold(pending.key, server, now) && withinColdBudget(server, now);
    }

    /**
     * Slow start: a cold server takes a share of its keys equal to its present share of capacity, the same
     * keys at every instance. With all its keys it would be overloaded: its prefix cache is empty, so each
     * key costs a full prefill.
     */
    private boolean takesKeyWhileCold(long key, TrackedServer server, long now) {
        double share = capacityShare(server, now);
        return share >= 1 || Mixing.uniform(key ^ Mixing.mix(server.state.id() ^ Mixing.COLD_SALT)) < share;
    }

    /**
     * Whether a cold server may be sent another attempt. In any overload window of the contract it gets only
     * a part of the load that would overload it, and no burst. The first attempt waits for a random part of
     * one send interval: many instances that learn of the server at once, each with one attempt to spare,
     * would overload it together.
     */
    boolean withinColdBudget(TrackedServer server, long now) {
        if (capacityShare(server, now) >= 1) {
            return true;
        }
        if (server.coldBudgetStart != server.state.startedAt()) {
            server.coldBudgetStart = server.state.startedAt();
            long startDelay = jittered(coldSendInterval(server, now));
            server.nextColdSendAt = now + settings.contract().overloadWindow() / 2 + startDelay;
        }
        return server.nextColdSendAt - now <= settings.contract().overloadWindow() / 2;
    }

    void spendColdBudget(TrackedServer server, long now) {
        if (capacityShare(server, now) < 1) {
            server.nextColdSendAt = Math.max(now, server.nextColdSendAt) + coldSendInterval(server, now);
        }
    }

    /** Returns the time in microseconds between two attempts that this router may send to a cold server. */
    private long coldSendInterval(TrackedServer server, long now) {
        double meterTime = RATE_WINDOW_TARGETS * planInterval * PLANS_PER_TARGET;
        double perServer = recentFirstTokens / meterTime / Math.max(1, unrestrictedPool.ready);
        double rate = perServer * capacityShare(server, now) * settings.contract().overloadMultiple()
                * COLD_MARGIN;
        return (long) Math.min(1 / rate, settings.contract().warmUpTime());
    }

    /** Returns the share of its capacity, 0 to 1, that a server has; it grows linearly while it warms up. */
    private double capacityShare(TrackedServer server, long now) {
        long start = server.state.startedAt();
        long age = now - start;
        long warmUpTime = settings.contract().warmUpTime();
        if (start == 0 || age >= warmUpTime) {
            return 1;
        }
        double initialShare = settings.contract().coldCapacityShare();
        return initialShare + (1 - initialShare) * Math.max(0, age) / warmUpTime;
    }

    // ---- requests and attempts

    @Override
    public void requestArrived(long time, Request request) {
        long now = latestTime(time);
        Pool pool = poolOfClass[request.requestClass()];
        PendingRequest pending = new PendingRequest(request, settings.classes().get(request.requestClass()),
                pool, now);
        openRequests.put(request.id(), pending);
        expireBudgetWindow(now);
        recentArrivals.add(now);
        if (planStale || now >= plannedAt + planInterval) {
            updatePlan(now);
        }
        pending.worth = pending.requestClass.worth() * (overQuota(request) ? settings.overQuotaWorth() : 1);
        averageWorth += (pending.worth - averageWorth) * MOVING_AVERAGE_WEIGHT;
        dispatch(pending, now);
    }

    // ---- admission

    /** Whether the request exceeds its tenant's quota, scaled to this instance's part of the traffic. */
    private boolean overQuota(Request request) {
        if (request.tenant() >= tenantRequests.length) {
            return false;
        }
        tenantRequests[request.tenant()]++;
        double quota = settings.tenants().get(request.tenant()).quotaPerSecond();
        double ownQuota = quota / settings.instances() * RATE_WINDOW_TARGETS * planInterval * PLANS_PER_TARGET
                / 1e6;
        double excess = 1 - ownQuota / tenantRequests[request.tenant()];
        return random.nextDouble() < excess;
    }

    /** Marks an attempt as no longer overdue; its server counts as slow for a while. */
    private static void clearOverdue(Attempt attempt, long now) {
        if (attempt.overdue) {
            attempt.server.lastFirstTokenDelay = now - attempt.sentAt;
            attempt.server.slowUntil = now + (now - attempt.sentAt) / SLOW_TIME_DIVISOR;
            attempt.overdue = false;
            attempt.server.overdueAttempts--;
        }
    }

    /** Returns the target for the time to the first token, in microseconds, for this prompt length. */
    private static long firstTokenTarget(PendingRequest pending) {
        return pending.requestClass.firstTokenTarget()
                + (long) (pending.requestClass.targetPerKilotoken() * pending.request.promptTokens() / 1000);
    }

    /** Sends an attempt, queues the request, or gives the final answer if no attempt is in flight. */
    private void dispatch(PendingRequest pending, long now) {
        TrackedServer server = pickServer(pending, false, now);
        if (server == null && pending.attempts.isEmpty()) {
            server = firstResponsive(pending, now);
        }
        if (server != null && isSlow(pending, server, now) && pending.attempts.isEmpty()
                && mayRefuse(pending)) {
            server = spillPays(pending) || fewAreSlow(pending, now) ? pickResponsive(pending, now) : null;
            if (server == null) {
                giveFinalAnswer(pending);
                return;
            }
        }
        if (server != null) {
            send(pending, server, now);
        } else if (pending.attempts.isEmpty() && now < queueUntil(pending)
                && (servers.isEmpty() || pending.pool.ready > 0)) {
            enqueue(pending, now);
        } else if (!pending.anyInFlight()) {
            giveFinalAnswer(pending);
        }
    }

    private void send(PendingRequest pending, TrackedServer server, long now) {
        pending.attempts.add(new Attempt(pending, server, now));
        server.awaitingFirstToken.add(pending.attempts.get(pending.attempts.size() - 1));
        if (pending.attempts.size() == 1) {
            countSent(pending);
            scheduleReview(pending, now + firstTokenTarget(pending) / OVERDUE_DIVISOR);
            if (settings.limits().allowsHedging()) {
                scheduleReview(pending, now + firstTokenTarget(pending) / HEDGE_DIVISOR);
            }
        }
        if (pending.attempts.size() > 1) {
            recentExtraAttempts.add(now);
        }
        spendColdBudget(server, now);
        server.inFlight++;
        server.onTrial = server.ejections > 0;
        server.pools.forEach(pool -> pool.inFlight++);
        actions.send(pending.request.id(), server.state.id(), pending.deadline - now);
    }

    /** Counts a sent request as traffic of its key; refused requests load no server. */
    private void countSent(PendingRequest pending) {
        pending.pool.arrivals++;
        if (pending.request.sharedPrefix() != 0) {
            KeyTraffic traffic = trafficByKey.computeIfAbsent(pending.key, key -> new KeyTraffic());
            traffic.pool = pending.pool;
            traffic.requests++;
        } else {
            unkeyedRequests++;
        }
    }

    @Override
    public void firstToken(long time, long requestId, int attemptNumber) {
        long now = latestTime(time);
        PendingRequest pending = openRequests.get(requestId);
        if (pending == null || attemptNumber < 0 || attemptNumber >= pending.attempts.size()) {
            return;
        }
        Attempt attempt = pending.attempts.get(attemptNumber);
        attempt.firstTokenDelay = now - attempt.sentAt;
        learnZoneDelay(pending, attempt, now);
        learnSpeed(classFirstTokenLatency, pending, attempt, now);
        pending.answering = true;
        recentFirstTokens++;
        attempt.server.lastFirstTokenAt = now;
        attempt.server.consecutiveResets = 0;
        attempt.server.onTrial = false;
        sessions.recordServed(pending.request.session(), attempt.server, now);
        clearOverdue(attempt, now);
        cancelOthers(pending, attemptNumber);
        markOvertaken(attempt, now);
    }

    /**
     * Detects answers that were lost while their server works normally. A server prefills prompts in order of
     * arrival, so an attempt overtaken by a later one's first token is not waiting in a queue. The review is
     * delayed because first tokens of one batch come in any order.
     */
    private void markOvertaken(Attempt overtaking, long now) {
        ArrayDeque<Attempt> awaitingFirstToken = overtaking.server.awaitingFirstToken;
        awaitingFirstToken.remove(overtaking);
        while (!awaitingFirstToken.isEmpty() && awaitingFirstToken.peek().sentAt < overtaking.sentAt) {
            Attempt attempt = awaitingFirstToken.poll();
            attempt.overtaken = true;
            scheduleReview(attempt.pending, now + planInterval * PLANS_PER_TARGET / OVERTAKE_DIVISOR);
        }
    }

    private void scheduleReview(PendingRequest pending, long time) {
        int token = ++lastTimerToken;
        requestTimers.put(token, pending);
        actions.wakeAt(time, token);
    }

    /** Handles a request that has no first token yet: its server may be slow, or its attempt lost. */
    private void review(PendingRequest pending, long now) {
        boolean hedge = settings.limits().allowsHedging()
                && now >= pending.arrivedAt + firstTokenTarget(pending) / HEDGE_DIVISOR
                && fewAreSlow(pending, now);
        boolean firstReview = !pending.reviewed;
        pending.reviewed = true;
        Attempt latest = null;
        for (Attempt attempt : pending.attempts) {
            if (!attempt.inFlight || attempt.firstTokenDelay > 0) {
                continue;
            }
            latest = attempt;
            if (attempt.overtaken) {
                hedge = true;
                if (attempt.overdue) {
                    attempt.overdue = false;
                    attempt.server.overdueAttempts--;
                }
            } else if (firstReview) {
                attempt.overdue = true;
                attempt.server.overdueAttempts++;
            }
        }
        if (hedge && latest != null && !pending.hedged && withinAttemptBudget(pending, now)
                && pending.attempts.size() < settings.limits().maxAttempts()
                && (pending.requestClass.lateWorth() > 0
                || now < pending.arrivedAt + firstTokenTarget(pending))) {
            hedge(pending, latest, now);
        }
    }

    /** Sends a hedged attempt or, where that isn't allowed, cancels the first one so that it is retried. */
    private void hedge(PendingRequest pending, Attempt first, long now) {
        pending.hedged = true;
        if (settings.limits().allowsHedging()) {
            TrackedServer server = pickServer(pending, false, now);
            if (server != null && !isSlow(pending, server, now) && capacityShare(server, now) >= 1) {
                send(pending, server, now);
            }
        } else if (settings.limits().allowsCancelling()) {
            actions.cancel(pending.request.id(), pending.attempts.indexOf(first));
        }
    }

    @Override
    public void attemptEnded(long time, long requestId, int attemptNumber, Outcome outcome, long took,
            boolean requestOver, long keptTokens, LoadReport report) {
        long now = latestTime(time);
        PendingRequest pending = openRequests.get(requestId);
        if (pending == null || attemptNumber < 0 || attemptNumber >= pending.attempts.size()
                || !pending.attempts.get(attemptNumber).inFlight) {
            return;
        }
        Attempt attempt = pending.attempts.get(attemptNumber);
        attempt.inFlight = false;
        attempt.mayHaveRun = !outcome.neverRan();
        attempt.server.inFlight--;
        attempt.server.awaitingFirstToken.remove(attempt);
        attempt.pools.forEach(pool -> pool.inFlight--);
        if (report != null && report.inFlight() >= 0) {
            attempt.server.otherInFlight = Math.max(0, report.inFlight() - attempt.server.inFlight);
            attempt.server.otherInFlightUntil = now + maxClientTimeout / REPORT_VALIDITY_DIVISOR;
        }
        // A vanished machine refuses no connection. If hedged attempts were answered elsewhere while this
        // server sent nothing to anyone, that counts as a reset.
        boolean silent = outcome == Outcome.CANCELLED && attempt.firstTokenDelay == 0 && attempt.overdue
                && attempt.server.lastFirstTokenAt < attempt.sentAt && fewAreSlow(pending, now);
        clearOverdue(attempt, now);
        updateEjection(attempt.server, silent ? Outcome.RESET : outcome, now);
        if (outcome == Outcome.TIMEOUT) {
            learnSpeed(classFirstTokenLatency, pending, attempt, now);
            learnZoneDelay(pending, attempt, now);
        }
        if (outcome == Outcome.FULL || outcome == Outcome.ERROR) {
            boolean allClasses = outcome == Outcome.ERROR && report != null
                    && report.errorsPerSecond() > MAX_ERROR_SHARE * report.requestsPerSecond();
            for (int classIndex = 0; classIndex < attempt.server.classFailures.length; classIndex++) {
                if (allClasses || classIndex == pending.request.requestClass()) {
                    backOffClass(pending.pool, classIndex, attempt.server, now);
                }
            }
        } else if (outcome == Outcome.OK) {
            attempt.server.classFailures[pending.request.requestClass()] /= 2;
        }
        if (outcome == Outcome.OK) {
            learnPrefillRate(pending, attempt, keptTokens);
            learnSpeed(classLatency, pending, attempt, now);
        }
        if (requestOver && !pending.finished) {
            pending.finished = true;
            cancelOthers(pending, attemptNumber);
        }
        if (!pending.finished && !pending.anyInFlight()) {
            if (mayRetry(pending, outcome, now)) {
                dispatch(pending, now);
            } else {
                giveFinalAnswer(pending);
            }
        }
        removeIfDone(pending);
    }

    private boolean mayRetry(PendingRequest pending, Outcome outcome, long now) {
        return outcome != Outcome.TIMEOUT && now < pending.deadline && withinAttemptBudget(pending, now)
                && pending.attempts.size() < settings.limits().maxAttempts();
    }

    /**
     * Whether the attempt budget allows one more extra attempt. It holds exactly in every window: an arrival
     * at the very edge no longer counts, an attempt there still does. Requests of less than average worth may
     * use only a part of it.
     */
    private boolean withinAttemptBudget(PendingRequest pending, long now) {
        expireBudgetWindow(now);
        double usableShare = pending.worth < averageWorth ? LOW_WORTH_BUDGET_SHARE : 1;
        return recentExtraAttempts.size() + 1
                <= (attemptBudget.free() + attemptBudget.ratio() * recentArrivals.size()) * usableShare
                + ROUNDING_TOLERANCE;
    }

    /**
     * Outlier ejection of dead servers, which refuse connections or reset streams. One trial request at a
     * time decides whether a server returns. Errors are handled per class, see {@link #backOffClass}.
     */
    private void updateEjection(TrackedServer server, Outcome outcome, long now) {
        if (outcome == Outcome.OK) {
            server.ejections = 0;
            server.consecutiveResets = 0;
            server.onTrial = false;
        } else if (outcome == Outcome.RESET && ++server.consecutiveResets < RESETS_TO_EJECT
                && server.ejections == 0) {
            // a single reset may only mean that a kept-alive connection was stale
            server.onTrial = false;
        } else if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            server.onTrial = false;
            if (now >= server.ejectedUntil && mayEject(server, now)) {
                server.ejectedUntil = now + (maxClientTimeout / EJECTION_DIVISOR
                        << Math.min(server.ejections, MAX_BACKOFF_DOUBLINGS));
                server.ejections++;
                planStale = true;
                actions.log("ejected server " + server.state.id() + " after " + outcome + ", trial in "
                        + (server.ejectedUntil - now) / 1000 + " ms");
            }
        } else {
            server.onTrial = false;
        }
    }

    /**
     * Keeps a class away from a server that has trouble with it, each time twice as long. Such trouble is a
     * limit that rejects the class though there is capacity, or quick errors, which keep the server's load
     * low and so attract its neighbours' spill. Ejections and backoffs share one limit, because a transient
     * error could otherwise empty a small pool.
     */
    private void backOffClass(Pool pool, int classIndex, TrackedServer server, long now) {
        if (server.classBackoffUntil[classIndex] <= now
                && countAvoided(pool, classIndex, now) + 1 <= MAX_EJECTED_SHARE * pool.ready) {
            server.classBackoffUntil[classIndex] = now + (maxClientTimeout / CLASS_BACKOFF_DIVISOR
                    << Math.min(server.classFailures[classIndex], MAX_BACKOFF_DOUBLINGS));
            server.classFailures[classIndex]++;
        }
    }

    /** Returns how many servers of a pool are ejected or backed off for a class. */
    private static long countAvoided(Pool pool, int classIndex, long now) {
        return pool.members.stream()
                .filter(server -> server.ejectedUntil > now || server.classBackoffUntil[classIndex] > now)
                .count();
    }

    private void expireBudgetWindow(long now) {
        long edge = now - attemptBudget.window();
        while (!recentArrivals.isEmpty() && recentArrivals.peek() <= edge) {
            recentArrivals.poll();
        }
        while (!recentExtraAttempts.isEmpty() && recentExtraAttempts.peek() < edge) {
            recentExtraAttempts.poll();
        }
    }

    /** Whether every pool of the server keeps enough servers that the rest don't collapse. */
    private boolean mayEject(TrackedServer server, long now) {
        for (int classIndex = 0; classIndex < poolOfClass.length; classIndex++) {
            Pool pool = poolOfClass[classIndex];
            if (server.pools.contains(pool)
                    && countAvoided(pool, classIndex, now) + 1 > MAX_EJECTED_SHARE * pool.ready) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        PendingRequest pending = openRequests.get(requestId);
        if (pending != null) {
            pending.finished = true;
            cancelOthers(pending, -1);
            removeIfDone(pending);
        }
    }

    private void cancelOthers(PendingRequest pending, int kept) {
        for (int i = 0; i < pending.attempts.size(); i++) {
            if (i != kept && pending.attempts.get(i).inFlight && settings.limits().allowsCancelling()) {
                actions.cancel(pending.request.id(), i);
            }
        }
    }

    private void giveFinalAnswer(PendingRequest pending) {
        pending.finished = true;
        if (mayRefuse(pending)) {
            actions.refuse(pending.request.id(), retryAfter(pending));
        } else {
            actions.fail(pending.request.id());
        }
        cancelOthers(pending, -1);
        removeIfDone(pending);
    }

    /**
     * Returns the retry-after advice in microseconds. A client that retries at once meets the same
     * congestion; after its target, an answer comes too late.
     */
    private long retryAfter(PendingRequest pending) {
        return Math.min(settings.limits().retryAfterMax(), firstTokenTarget(pending) / RETRY_AFTER_DIVISOR);
    }

    private void removeIfDone(PendingRequest pending) {
        if (pending.finished && !pending.anyInFlight()) {
            openRequests.remove(pending.request.id());
        }
    }

    // ---- protection from duplicate execution

    /** Whether sending to this server cannot make the request take effect twice. */
    private boolean mayRepeatOn(PendingRequest pending, TrackedServer server, long now) {
        if (!settings.limits().allowsHedging() && pending.anyInFlight()) {
            return false;
        }
        Attempt ran = pending.firstThatMayHaveRun();
        if (ran == null || pending.requestClass.retrySafety() == RetrySafety.RETRYABLE) {
            return true;
        }
        // it may have to open a connection first, and must still arrive within the dedup window
        long arrives = now + settings.limits().connectTimeout();
        return pending.requestClass.retrySafety() == RetrySafety.DEDUP
                && arrives < ran.sentAt + pending.requestClass.dedupWindow()
                && switch (pending.requestClass.dedupGroup()) {
            case ALL -> true;
            case ZONE -> ran.server.state.zone() == server.state.zone();
            case CELL -> ran.server.state.cell() == server.state.cell();
        };
    }

    /** Whether a retry by the client is harmless, which a refusal promises. */
    private boolean mayRefuse(PendingRequest pending) {
        return pending.requestClass.retrySafety() == RetrySafety.RETRYABLE
                || pending.firstThatMayHaveRun() == null
                || pending.requestClass.retrySafety() == RetrySafety.DEDUP
                && pending.requestClass.dedupGroup() == Routing.DedupGroup.ALL;
    }

    // ---- queue

    /** Returns the time at which a request that is still queued is answered. */
    private long queueUntil(PendingRequest pending) {
        return pending.deadline - pending.request.clientTimeout() / QUEUE_RESERVE_DIVISOR;
    }

    private void enqueue(PendingRequest pending, long now) {
        if (!pending.queued) {
            pending.queued = true;
            // drop answered requests, which otherwise stay queued until the next endpoint list
            while (!queue.isEmpty() && queue.peek().finished) {
                queue.poll();
            }
            queue.add(pending);
        }
        scheduleReview(pending, Math.min(now + pending.request.clientTimeout() / QUEUE_CHECKS,
                queueUntil(pending)));
    }

    private void retryQueued(long now) {
        for (int remaining = queue.size(); remaining > 0; remaining--) {
            PendingRequest pending = queue.poll();
            if (!pending.finished && pending.attempts.isEmpty()) {
                TrackedServer server = pickServer(pending, false, now);
                if (server == null) {
                    queue.add(pending);
                } else {
                    send(pending, server, now);
                }
            }
        }
    }

    @Override
    public void woken(long time, int token) {
        long now = latestTime(time);
        if (token == DISCOVERY_TIMER) {
            callDiscovery(now);
            return;
        }
        PendingRequest pending = requestTimers.remove(token);
        if (pending == null || pending.finished) {
            return;
        }
        if (pending.attempts.isEmpty()) {
            dispatch(pending, now);
        } else if (!pending.answering) {
            review(pending, now);
        }
    }

    // ---- time and randomness

    /** Returns the time, or the latest one seen if that is later: ages and waits are never negative. */
    long latestTime(long time) {
        latestTime = Math.max(latestTime, time);
        return latestTime;
    }

    /** Returns a random duration of less than span. */
    private long jittered(long span) {
        return span <= 0 ? 0 : random.nextLong(span);
    }

}
