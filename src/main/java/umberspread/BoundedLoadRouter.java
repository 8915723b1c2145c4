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
 * Every routing decision of one gateway. The interface, with its events and actions, is Routing.java.
 *
 * <p>A request's path: {@link #requestArrived} takes it; {@link #dispatch} asks {@link #pick} for a replica
 * and sends an attempt, or holds the request; {@link #attemptEnded} settles it, or sends it to the next ring
 * replica where its class and the clock allow; {@link #giveFinalAnswer} ends what nothing else ended.
 * The ordinary path is {@link #pick}: consistent hashing with bounded loads.
 */
public final class BoundedLoadRouter implements Routing.Events {
    /** A replica may carry this many hundredths of the average load: the figure Vimeo reports running. */
    private static final int LOAD_FACTOR = 125;
    /** Points of a replica on the ring: arcs then differ by about an eighth, half the bound's slack. */
    private static final int VIRTUAL_POINTS = 64;
    /** A replica's weight counts for at most this many average ones. */
    private static final double MOST_WEIGHT = 8;
    /** First calls to discovery spread over this part of the time in which one is due: calls wait in turn. */
    private static final int ASK_SPREAD = 10;
    /** A failed call is repeated after up to this part of that time, doubled at each failure. */
    private static final int ASK_BACKOFF = 20;
    /** What discovery has counts as told 6 s on, also where calls have failed in a row: five fit in. */
    private static final long LONGEST_BACKOFF = 1_000_000;
    /** A held request looks for a replica again after this part of its client's patience. */
    private static final int HOLD_CHECKS = 8;
    /** A held request is answered when this part of the patience is left: its client can still retry. */
    private static final int HOLD_RESERVE = 2;
    /** Popularity is remembered for this many of the longest client patience: it outlives sessions. */
    private static final int POPULARITY_MEMORY = 8;
    /** The plan is made anew this many times in the shortest first-token aim, and when the ring changes. */
    private static final int PLANS_PER_AIM = 2;
    /** A key is spread over this many times the replicas that its share of the traffic would fill. */
    private static final double SPREAD = 4;
    /** A key spread over more has a place on the ring for each so many: walks don't grow with the fleet. */
    private static final int MOST_WALKED = 16;
    /** Deviations of a count taken off a tally before it is believed: a key seen once is not popular. */
    private static final double NOISE = 1;
    /** Own-zone replicas come first only with so many gateways a zone: fewer would leave zones unused. */
    private static final int ZONE_GATEWAYS = 3;
    /** And with so many ready replicas in the own zone: each zone holds all prefixes anew. */
    private static final int ZONE_REPLICAS = 8;
    /** A key with fewer recent requests than this is forgotten. */
    private static final double LEAST_TALLY = 0.2;
    /** A replica that failed to connect or broke a stream is left alone this part of a patience. */
    private static final int EJECTION_PART = 6;
    /** So many broken streams with none served between them are the replica's trouble. */
    private static final int BREAKS = 2;
    /** Each ejection in a row doubles, up to this many times. */
    private static final int MOST_DOUBLINGS = 3;
    /** A class rests at a replica that turned it away for this part of a patience, doubled in a row. */
    private static final int REST_PART = 12;
    /** Errors of more than this part of a replica's answers, as it reports, keep all classes away. */
    private static final double MOST_ERRORS = 0.5;
    /** At most this part of the ready replicas is ejected: beyond it, trouble is everywhere. */
    private static final double MOST_EJECTED = 0.4;
    /** Where no budget of attempts is stated: this part of the arrivals of the longest patience, and one. */
    private static final double RETRY_RATIO = 0.2;
    private static final double FREE_RETRIES = 1;
    /** Requests of less than average worth leave this part of the budget of attempts to the others. */
    private static final double BUDGET_KEPT = 0.5;
    /** A prompt is cheap to read anew in less than this part of the aim: then a spill costs little. */
    private static final double CHEAP_READ = 0.1;
    /** To be spared reads is worth waiting for, up to this part of the aim: later is late for most. */
    private static final double MOST_REREAD = 0.8;
    /** The fastest reading seen is forgotten at this pace, in case the fleet has changed. */
    private static final double READ_RATE_FADE = 0.999;
    /** Weight of one first token's delay, in parts of its aim: about the last ten of its side count. */
    private static final double DELAY_WEIGHT = 0.1;
    /** So much above the running average of worth is more than average: equal worth is not. */
    private static final double ABOVE = 1.05;
    /** Weight of one request in the running average of worth: about the last hundred count. */
    private static final double WORTH_WEIGHT = 0.01;
    /** Machine kinds count as equal at first, with the weight of so many answers' times. */
    private static final int EQUAL_KINDS = 10;
    /** An attempt is overdue when its first token has not come within this part of the aim. */
    private static final int OVERDUE_PART = 8;
    /** Requests spill from a slow replica, whatever they are worth, while at most this part is slow. */
    private static final double MOST_SLOW = 0.5;
    /** A request of more than average worth bears this part of its own aim at a replica that is slow. */
    private static final int BEARABLE_PART = 3;
    /** A replica that was overdue is slow for this part of the time that its first token took. */
    private static final int SLOW_PART = 2;
    /** A tenant's share is metered over this many of the shortest aim. */
    private static final double METER_AIMS = 5;
    /** A cold replica is empty too: it gets this part of what would fell it, were the rest at capacity. */
    private static final double COLD_MARGIN = 0.4;
    /** What others hold at a replica is believed for this part of a patience after its report. */
    private static final int REPORT_PART = 3;
    /** So many times its fair part of what all gateways hold is too much: reports tell it late. */
    private static final double REPORTED_FACTOR = 2;
    /** An attempt is lost when a later one's first token is ahead of it by this part of the shortest aim. */
    private static final int OVERTAKE_PART = 10;
    /** A request gets a second copy, where copies are allowed, when this part of its aim has passed. */
    private static final int HEDGE_PART = 2;
    /** A refused client is told to come back after this part of its aim: there is time for one more try. */
    private static final int RETURN_PART = 8;
    /** What is added to a count that a sum of fractions must reach. */
    private static final double ROUNDING = 1e-9;
    private static final int DISCOVERY_TOKEN = 0;

    final Settings settings;
    private final Routing.Tuning tuning;
    private final LongUnaryOperator hash;
    private final Routing.Actions actions;
    private final SplittableRandom random;
    final Map<Long, Node> nodes = new HashMap<>();
    private final Map<Long, Pending> open = new HashMap<>();
    private final Map<Integer, Pending> timers = new HashMap<>();
    private final ArrayDeque<Pending> held = new ArrayDeque<>();
    final List<Pool> pools = new ArrayList<>();
    private final Pool whole;
    private final Pool[] poolOfClass;
    private int visit;
    private int nextToken = DISCOVERY_TOKEN;
    private int failedCalls;
    private boolean following;
    private boolean calling;
    private long callAt;
    final Map<Long, Hot> hot = new HashMap<>();
    double unnamed;
    private boolean planStale;
    long plannedAt;
    private final List<Node> members = new ArrayList<>();
    private final Routing.AttemptBudget budget;
    final ArrayDeque<Long> taken = new ArrayDeque<>();
    final ArrayDeque<Long> further = new ArrayDeque<>();
    private final long patience;
    private final long planEvery;
    double averageWorth;
    private final double[] delay = new double[2];
    double firstTokenTally;
    double readRate;
    double unitWeight;
    private long latest = Long.MIN_VALUE;
    final double[] classTime;
    private final double[] firstTime;
    final Map<Integer, Double> kindTime = new HashMap<>();
    private final Map<Integer, Integer> kindSeen = new HashMap<>();
    private double fastest = 1;
    private final Sessions sessions = new Sessions();
    final double[] tenantTally;

    /**
     * The replicas that one placement allows, with a ring of their own: a class is sent nowhere else, and the
     * bound, the spread of a key, the own zone and the ceiling on ejections are relative to its pool.
     */
    static final class Pool {
        final Routing.Placement placement;
        long[] points = new long[0];
        Node[] owners = new Node[0];
        final List<Node> members = new ArrayList<>();
        int ready;
        int inFlight;
        int homeReady;
        boolean ownZoneFirst;
        double capacity = 1;
        double arrivals;
        double held;
        double room;

        Pool(Routing.Placement placement) {
            this.placement = placement;
        }

        /** The place on the ring at which the walk for a hash begins. */
        private int start(long hash) {
            int i = Arrays.binarySearch(points, hash);
            int at = i >= 0 ? i : -i - 1;
            return at == points.length ? 0 : at;
        }

        private int next(int i) {
            return i + 1 == points.length ? 0 : i + 1;
        }
    }

    /** A key's recent requests, and over how many ring successors the bound spreads them. */
    static final class Hot {
        Pool pool;
        double tally;
        int spread = 1;
    }

    /** A replica as this gateway knows it. */
    static final class Node {
        ServerState replica;
        int points;
        List<Pool> pools = List.of();
        int load;
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
        final long[] restUntil;
        final int[] strikes;
        int visited;
        long ejectedUntil;
        int ejections;
        int breaks;
        boolean onTrial;
        int overdue;
        long slowUntil;
        long lastDelay;
        long coldBudgetAt;
        long budgetedStart;
        long spokeAt;
        double others;
        long othersUntil;

        Node(ServerState replica, int points, int classes) {
            this.restUntil = new long[classes];
            this.strikes = new int[classes];
            this.replica = replica;
            this.points = points;
        }

        /** Ejected, or with the one request out that is its trial. */
        boolean keptOff(long now) {
            return ejectedUntil > now || onTrial && ejections > 0;
        }
    }

    /** One attempt of a request. */
    private static final class Attempt {
        private final Node node;
        private final List<Pool> pools;
        private final long sentAt;
        private boolean out = true;
        private boolean mayHaveRun = true;
        private boolean overdue;
        private boolean overtaken;
        private long firstTokenAfter;
        private final Pending request;

        Attempt(Pending request, Node node, long sentAt) {
            this.request = request;
            this.node = node;
            this.pools = node.pools;
            this.sentAt = sentAt;
        }
    }

    /** A request that is not over, or that has attempts out. */
    private static final class Pending {
        private final Request request;
        private final RequestClass type;
        private final Pool pool;
        private final long arrivedAt;
        private final long deadline;
        private final long key;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private boolean over;
        private boolean held;
        private boolean judged;
        private boolean begun;
        private boolean hedged;
        private double worth;

        Pending(Request request, RequestClass type, Pool pool, long now) {
            this.request = request;
            this.type = type;
            this.pool = pool;
            this.arrivedAt = now;
            this.deadline = now + request.clientTimeout();
            long named = request.sharedPrefix() != 0 ? request.sharedPrefix() : request.session();
            this.key = named != 0 ? named : request.id();
        }

        long sessionOrId() {
            return request.session() != 0 ? request.session() : request.id();
        }

        boolean anyOut() {
            return attempts.stream().anyMatch(a -> a.out);
        }

        /** The first attempt that may have run; null if none did. */
        Attempt firstThatMayHaveRun() {
            return attempts.stream().filter(a -> a.mayHaveRun).findFirst().orElse(null);
        }
    }

    /** A router for one gateway; equal seeds and events give equal actions. */
    public BoundedLoadRouter(Settings settings, long seed, Routing.Actions actions) {
        this(settings, seed, actions,
                new Routing.Tuning(LOAD_FACTOR, VIRTUAL_POINTS, Mixing::mix, false));
    }

    /** The same with other values of what the design leaves open. */
    public BoundedLoadRouter(Settings settings, long seed, Routing.Actions actions, Routing.Tuning tuning) {
        this.settings = settings;
        this.tuning = tuning;
        this.hash = tuning.hash();
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        long longest = 0;
        long aim = Long.MAX_VALUE;
        for (RequestClass c : settings.classes()) {
            longest = Math.max(longest, c.maxClientTimeout());
            aim = Math.min(aim, c.firstTokenTarget());
        }
        this.patience = longest;
        this.planEvery = aim / PLANS_PER_AIM;
        this.classTime = new double[settings.classes().size()];
        this.firstTime = new double[settings.classes().size()];
        this.tenantTally = new double[settings.tenants().size()];
        Routing.AttemptBudget stated = settings.contract().attemptBudget();
        this.budget = stated.window() > 0 ? stated
                : new Routing.AttemptBudget(FREE_RETRIES, RETRY_RATIO, longest);
        this.whole = poolFor(Routing.Placement.ANYWHERE);
        this.poolOfClass = new Pool[settings.classes().size()];
        for (int i = 0; i < poolOfClass.length; i++) {
            poolOfClass[i] = poolFor(settings.classes().get(i).placement());
        }
    }

    private Pool poolFor(Routing.Placement placement) {
        for (Pool p : pools) {
            if (p.placement.equals(placement)) {
                return p;
            }
        }
        pools.add(new Pool(placement));
        return pools.get(pools.size() - 1);
    }

    @Override
    public void started(long time) {
        long now = latest(time);
        if (settings.pullsEndpointList()) {
            callDiscoveryAt(now + jittered(settings.contract().maxDiscoveryInterval() / ASK_SPREAD));
        }
    }

    // ---- discovery

    @Override
    public void listReceived(long time, ListKind kind, List<ServerState> entries) {
        long now = latest(time);
        if (kind == ListKind.FAILED) {
            calling = false;
            following = false;
            long wait = Math.min(LONGEST_BACKOFF,
                    settings.contract().maxDiscoveryInterval() / ASK_BACKOFF << Math.min(failedCalls++, 3));
            callDiscoveryAt(now + wait / 2 + jittered(wait / 2));
            return;
        }
        if (kind != ListKind.CACHED) {
            calling = false;
            following = true;
            failedCalls = 0;
        }
        boolean changed = false;
        if (kind != ListKind.DELTA) {
            Map<Long, Node> missing = new HashMap<>(nodes);
            entries.forEach(r -> missing.remove(r.id()));
            for (Node n : missing.values()) {
                changed |= remove(n);
            }
        }
        if (unitWeight == 0 && !entries.isEmpty()) {
            double sum = entries.stream().mapToDouble(r -> Math.max(0, r.weight())).sum();
            unitWeight = sum > 0 ? Math.pow(2, Math.rint(Math.log(sum / entries.size()) / Math.log(2))) : 1;
        }
        for (ServerState r : entries) {
            changed |= update(r);
        }
        if (changed) {
            rebuildRing();
        }
        retryHeld(now);
    }

    private boolean update(ServerState r) {
        Node n = nodes.get(r.id());
        if (r.lifecycle() == Lifecycle.GONE) {
            return n != null && remove(n);
        }
        boolean ready = r.lifecycle() == Lifecycle.READY;
        if (n == null) {
            n = new Node(r, pointsFor(r), settings.classes().size());
            nodes.put(r.id(), n);
            n.pools = poolsOf(r);
            inColdBudget(n, latest);
            return ready;
        }
        boolean was = n.replica.lifecycle() == Lifecycle.READY;
        boolean moved = n.replica.zone() != r.zone() || n.replica.kind() != r.kind();
        n.replica = r;
        inColdBudget(n, latest);
        if (moved) {
            n.pools = poolsOf(r);
        }
        return was != ready || ready && moved;
    }

    private List<Pool> poolsOf(ServerState r) {
        List<Pool> found = new ArrayList<>(pools);
        found.removeIf(p -> !p.placement.allows(r));
        return found;
    }

    /** More points for a larger replica, by the weight that it was first listed with. */
    private int pointsFor(ServerState r) {
        double times = r.weight() > 0 ? Math.min(MOST_WEIGHT, r.weight() / unitWeight) : 1;
        return Math.max(1, (int) Math.rint(tuning.virtualNodes() * times));
    }

    private boolean remove(Node n) {
        nodes.remove(n.replica.id());
        return n.replica.lifecycle() == Lifecycle.READY;
    }

    /** Points depend on the replica alone, so a change moves only the keys next to that replica's points. */
    void rebuildRing() {
        members.clear();
        planStale = true;
        members.addAll(nodes.values());
        members.removeIf(n -> n.replica.lifecycle() != Lifecycle.READY);
        members.sort((a, b) -> Long.compare(a.replica.id(), b.replica.id()));
        Map<Long, Node> byPoint = new HashMap<>();
        for (Node n : members) {
            for (int i = 0; i < n.points; i++) {
                long point = hash.applyAsLong(hash.applyAsLong(n.replica.id() ^ Mixing.RING_SALT) + i);
                Node other = byPoint.get(point);
                if (other == null || other.replica.id() > n.replica.id()) {
                    byPoint.put(point, n);
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

    /** Placement is kept here: a replica that the pool's classes may not run on is not on its ring. */
    private void rebuildPool(Pool pool, long[] points, Map<Long, Node> byPoint) {
        pool.members.clear();
        pool.members.addAll(members);
        pool.members.removeIf(n -> !n.pools.contains(pool));
        pool.ready = pool.members.size();
        chooseHome(pool);
        long[] own = new long[points.length];
        Node[] owners = new Node[points.length];
        int size = 0;
        for (long point : points) {
            Node n = byPoint.get(point);
            if (n.pools.contains(pool)) {
                own[size] = point;
                owners[size++] = n;
            }
        }
        pool.points = Arrays.copyOf(own, size);
        pool.owners = Arrays.copyOf(owners, size);
    }

    /** Own-zone members come first where there are enough of them, and gateways enough to use all zones. */
    private void chooseHome(Pool pool) {
        int own = 0;
        List<Integer> zones = new ArrayList<>();
        for (Node n : pool.members) {
            own += n.replica.zone() == settings.zone() ? 1 : 0;
            if (!zones.contains(n.replica.zone())) {
                zones.add(n.replica.zone());
            }
        }
        pool.ownZoneFirst = settings.instances() >= ZONE_GATEWAYS * zones.size() && own >= ZONE_REPLICAS
                && own * zones.size() * 2 > pool.ready;
        pool.homeReady = pool.ownZoneFirst ? own : pool.ready;
    }

    private void callDiscoveryAt(long time) {
        callAt = time;
        actions.wakeAt(time, DISCOVERY_TOKEN);
    }

    private void callDiscovery(long now) {
        if (now < callAt || following && !calling) {
            return;
        }
        calling = true;
        actions.watchEndpointList();
        callDiscoveryAt(now + settings.contract().maxDiscoveryInterval());
    }

    // ---- the ordinary path

    /** The key's ring position, a walk of distinct ready replicas, the bound, spill in ring order. */
    private Node pick(Pending p, boolean free, long now) {
        Node last = free ? null : sessions.last(p.request.session());
        if (staysAt(p, last, now)) {
            return last;
        }
        Hot h = hot.get(p.key);
        int wanted = h == null ? 1 : h.spread;
        long session = Mixing.mix(p.sessionOrId() ^ p.key);
        long place = hash.applyAsLong(p.key);
        if (wanted > MOST_WALKED) {
            place = hash.applyAsLong(p.key ^ Mixing.mix(session & wanted / MOST_WALKED - 1));
            wanted = MOST_WALKED;
        }
        Node overBound = null;
        Node slower = null;
        Node best = null;
        double bestScore = 0;
        visit++;
        int seen = 0;
        int found = 0;
        Pool pool = p.pool;
        boolean home = pool.ownZoneFirst && !homeJams(p);
        int reach = home ? pool.homeReady : pool.ready;
        for (int i = pool.start(place); seen < reach && found < wanted; i = pool.next(i)) {
            Node n = pool.owners[i];
            if (n.visited == visit || home && n.replica.zone() != settings.zone()) {
                continue;
            }
            n.visited = visit;
            seen++;
            if (!mayTake(p, n, now)) {
                continue;
            }
            boolean cold = warmth(n, now) < 1;
            if ((cold || cheapToRead(p) || reported(pool, n, now)) && overBound(p, n, now)) {
                overBound = overBound == null && !cold ? n : overBound;
                continue;
            }
            // of the keys that the ring gives it, a kind gets the part that its speed is of the fastest's
            if (wanted == 1 && speed(n) < fastest * Mixing.uniform(p.key ^ Mixing.mix(~n.replica.id()))) {
                slower = slower == null ? n : slower;
                continue;
            }
            found++;
            if (free && slow(p, n, now)) {
                continue;
            }
            double score = -warmth(n, now) * speed(n) / Math.log(Mixing.uniform(session ^ n.replica.id()));
            if (best == null || score > bestScore) {
                best = n;
                bestScore = score;
            }
        }
        return best != null ? best : slower != null ? slower : overBound;
    }

    /**
     * Against a history read anew: a session goes on where it was spilled to, on the terms on which the ring
     * would pick that replica. One that started since holds no history, and bears little.
     */
    private boolean staysAt(Pending p, Node n, long now) {
        return n != null && nodes.get(n.replica.id()) == n && n.replica.lifecycle() == Lifecycle.READY
                && n.pools.contains(p.pool) && warmth(n, now) >= 1 && mayTake(p, n, now)
                && !(cheapToRead(p) && overBound(p, n, now));
    }

    private static boolean reported(Pool pool, Node n, long now) {
        return pool.room > 0 && n.othersUntil > now;
    }

    /**
     * One more stream would lift the replica over its bound; a cold one's is scaled to its warmth. Where
     * reports tell them, all gateways' streams count: with many gateways an own count is one or none.
     */
    private boolean overBound(Pending p, Node n, long now) {
        if (reported(p.pool, n, now)) {
            return n.load + n.others + 1 > Math.max(1, Math.ceil(REPORTED_FACTOR * (p.pool.held + 1)
                    * weight(n) * speed(n) * warmth(n, now) / p.pool.room));
        }
        double average = (p.pool.inFlight + 1) * weight(n) * warmth(n, now) / p.pool.capacity;
        double fair = average * (tuning.loadFactorPercent() / 100.0);
        return n.load + 1 > (tuning.randomRounding()
                ? Math.floor(fair + Mixing.uniform(p.request.id() ^ n.replica.id())) : Math.ceil(fair));
    }

    /**
     * The bound on a tally of recent traffic, against scattered prefixes: with many gateways an own count of
     * open requests rounds to a bound of one or two and skips follow chance. A key whose share of the traffic
     * would fill more than one replica is spread over as many ring successors, in powers of two so that
     * gateways with different tallies mostly agree.
     */
    private void plan(long now) {
        long elapsed = now - plannedAt;
        double decay = Math.exp(-(double) elapsed / (POPULARITY_MEMORY * patience));
        plannedAt = now;
        planStale = false;
        fastest = kindTime.values().stream().mapToDouble(t -> 1 / t).max().orElse(1);
        sessions.forget(now - POPULARITY_MEMORY * patience);
        unnamed *= decay;
        double total = unnamed;
        double meterDecay = Math.exp(-(double) elapsed / (METER_AIMS * planEvery * PLANS_PER_AIM));
        firstTokenTally *= meterDecay;
        for (int t = 0; t < tenantTally.length; t++) {
            tenantTally[t] *= meterDecay;
        }
        for (Pool pool : pools) {
            pool.arrivals *= decay;
            pool.capacity = 0;
            pool.held = 0;
            pool.room = 0;
            for (Node n : pool.members) {
                pool.capacity += n.ejectedUntil > now ? 0 : weight(n);
                if (n.othersUntil > now && n.ejectedUntil <= now) {
                    pool.held += n.load + n.others;
                    pool.room += weight(n) * speed(n) * warmth(n, now);
                }
            }
        }
        for (Hot h : hot.values()) {
            h.tally *= decay;
            total += h.tally;
        }
        hot.values().removeIf(h -> h.tally < LEAST_TALLY);
        for (Hot h : hot.values()) {
            double sure = Math.max(0, h.tally - NOISE * Math.sqrt(h.tally));
            double need = sure / traffic(h.pool, total) * h.pool.homeReady * SPREAD;
            while (h.spread < need) {
                h.spread *= 2;
            }
            while (h.spread > 1 && h.spread > 4 * need) {
                h.spread /= 2;
            }
        }
    }

    /** What comes to a pool's replicas: its own classes' traffic and, of the rest, an even share. */
    private double traffic(Pool pool, double total) {
        double own = Math.min(total, pool.arrivals);
        return pool == whole ? total : own + (total - own) * pool.ready / Math.max(1, whole.ready);
    }

    /** Another of the replicas that the key is spread over, which hold its prefix, or the first free one. */
    private Node freeReplica(Pending p, long now) {
        Node n = pick(p, true, now);
        return n != null && !slow(p, n, now) ? n : firstFree(p, now);
    }

    /** The first replica in ring order, of any zone, that is not slow and may take the request. */
    private Node firstFree(Pending p, long now) {
        visit++;
        int seen = 0;
        for (int i = p.pool.start(hash.applyAsLong(p.key)); seen < p.pool.ready; i = p.pool.next(i)) {
            Node n = p.pool.owners[i];
            if (n.visited == visit) {
                continue;
            }
            n.visited = visit;
            seen++;
            if (!slow(p, n, now) && mayTake(p, n, now)) {
                return n;
            }
        }
        return null;
    }

    /** Against small tenants refused in a big one's jam: a spill's cost in aims against its worth. */
    private boolean worthASpill(Pending p) {
        return readTime(p) * averageWorth < CHEAP_READ * p.type.firstTokenTarget() * p.worth;
    }

    /** Where only few are slow, a spill costs a read and no more; where many are, it would spread the jam. */
    private boolean roomy(Pending p, long now) {
        long slow = p.pool.members.stream().filter(n -> n.overdue > 0 || n.slowUntil > now).count();
        return slow <= p.pool.ready * MOST_SLOW;
    }

    private double readTime(Pending p) {
        return p.request.promptTokens() / readRate;
    }

    private boolean cheapToRead(Pending p) {
        return readTime(p) < CHEAP_READ * p.type.firstTokenTarget();
    }

    /**
     * How quick a machine kind is, where no list tells: its first tokens' and whole answers' times against
     * their class's mean. Quicker kinds get more keys, and within a key's spread more sessions.
     */
    private void learnSpeed(double[] mean, Pending p, Attempt a, long now) {
        int c = p.request.requestClass();
        double took = Math.max(1, now - a.sentAt);
        mean[c] += mean[c] == 0 ? took : (took - mean[c]) * WORTH_WEIGHT;
        double ratio = Math.min(MOST_WEIGHT, took / mean[c]);
        int kind = a.node.replica.kind();
        double known = kindTime.getOrDefault(kind, 1.0);
        double weight = Math.max(WORTH_WEIGHT, 1.0 / (EQUAL_KINDS + kindSeen.merge(kind, 1, Integer::sum)));
        kindTime.put(kind, known + (ratio - known) * weight);
    }

    private double speed(Node n) {
        return 1 / kindTime.getOrDefault(n.replica.kind(), 1.0);
    }

    /** How long first tokens take at home and elsewhere: a jammed zone is left at the price of a read. */
    private void learnDelay(Pending p, Attempt a, long now) {
        int where = a.node.replica.zone() == settings.zone() ? 0 : 1;
        delay[where] += ((double) (now - a.sentAt) / aim(p) - delay[where]) * DELAY_WEIGHT;
    }

    /** What reading there and at its return takes of its aim, and of those who wait behind; 0 if unknown. */
    private double rereading(Pending p) {
        return readRate > 0 ? Math.min(MOST_REREAD, 4 * readTime(p) / aim(p)) : 0;
    }

    private boolean homeJams(Pending p) {
        return delay[0] * BEARABLE_PART > 1 && delay[0] > delay[1] + rereading(p);
    }

    /** The fastest reading of prompts seen of late, in tokens a microsecond. */
    private void learnReadRate(Pending p, Attempt a, long keptTokens) {
        double unread = p.request.promptTokens() - keptTokens;
        if (a.firstTokenAfter > 0 && unread > p.request.promptTokens() / 2) {
            readRate = Math.max(readRate * READ_RATE_FADE, unread / a.firstTokenAfter);
        }
    }

    /**
     * A hung, paused or jammed replica hoards streams: it owes a first token past a part of its aim, or did
     * so a short while ago. What it could only answer late is refused at once, so that the jam can end. More
     * than average worth stays where its session is kept while the wait is a small part of its own aim; the
     * rest while it is the part that a late answer is worth, for to leave is to be read anew or refused.
     */
    private boolean slow(Pending p, Node n, long now) {
        if (n.overdue == 0 && n.slowUntil <= now) {
            return false;
        }
        long bearable = p.worth > averageWorth * ABOVE ? aim(p) / BEARABLE_PART
                : (long) (aim(p) * p.type.lateWorth());
        Attempt oldest = n.waiting.peek();
        return oldest != null && now - oldest.sentAt > bearable
                || n.slowUntil > now && n.lastDelay > bearable;
    }

    private double weight(Node n) {
        return n.replica.weight() > 0 ? n.replica.weight() : 1;
    }

    private boolean mayTake(Pending p, Node n, long now) {
        return p.attempts.stream().noneMatch(a -> a.node.replica.id() == n.replica.id()) && !n.keptOff(now)
                && n.restUntil[p.request.requestClass()] <= now && mayRepeatAt(p, n, now)
                && warmEnough(p.key, n, now) && inColdBudget(n, now);
    }

    /**
     * Slow start, against a cold replica pushed over: it is empty too, so a key costs it a full read. Of its
     * keys the part that its present share of capacity stands for goes there, the same at every gateway.
     */
    private boolean warmEnough(long key, Node n, long now) {
        double share = warmth(n, now);
        return share >= 1 || Mixing.uniform(key ^ Mixing.mix(n.replica.id() ^ Mixing.COLD_SALT)) < share;
    }

    /**
     * Within any window of the contract, a cold replica gets a part of what would fell it, and no burst. Each
     * gateway's first send waits a drawn part of its turn: many gateways that learn of it at once, each with
     * one send to spare, fell it together.
     */
    boolean inColdBudget(Node n, long now) {
        if (warmth(n, now) >= 1) {
            return true;
        }
        if (n.budgetedStart != n.replica.startedAt()) {
            n.budgetedStart = n.replica.startedAt();
            long turn = jittered(coldSpacing(n, now));
            n.coldBudgetAt = now + settings.contract().overloadWindow() / 2 + turn;
        }
        return n.coldBudgetAt - now <= settings.contract().overloadWindow() / 2;
    }

    void spendColdBudget(Node n, long now) {
        if (warmth(n, now) < 1) {
            n.coldBudgetAt = Math.max(now, n.coldBudgetAt) + coldSpacing(n, now);
        }
    }

    private long coldSpacing(Node n, long now) {
        double meterTime = METER_AIMS * planEvery * PLANS_PER_AIM;
        double perReplica = firstTokenTally / meterTime / Math.max(1, whole.ready);
        double rate = perReplica * warmth(n, now) * settings.contract().overloadMultiple() * COLD_MARGIN;
        return (long) Math.min(1 / rate, settings.contract().warmUpTime());
    }

    private double warmth(Node n, long now) {
        long start = n.replica.startedAt();
        long age = now - start;
        long coldFor = settings.contract().warmUpTime();
        if (start == 0 || age >= coldFor) {
            return 1;
        }
        double from = settings.contract().coldCapacityShare();
        return from + (1 - from) * Math.max(0, age) / coldFor;
    }

    // ---- requests and attempts

    @Override
    public void requestArrived(long time, Request request) {
        long now = latest(time);
        Pool pool = poolOfClass[request.requestClass()];
        Pending p = new Pending(request, settings.classes().get(request.requestClass()), pool, now);
        open.put(request.id(), p);
        forgetOld(now);
        taken.add(now);
        if (planStale || now >= plannedAt + planEvery) {
            plan(now);
        }
        p.worth = p.type.worth() * (overShare(request) ? settings.overQuotaWorth() : 1);
        averageWorth += (p.worth - averageWorth) * WORTH_WEIGHT;
        dispatch(p, now);
    }

    // ---- admission

    /** Whether the request's tenant sends more than its share of what this gateway sees. */
    private boolean overShare(Request r) {
        if (r.tenant() >= tenantTally.length) {
            return false;
        }
        tenantTally[r.tenant()]++;
        double quota = settings.tenants().get(r.tenant()).quotaPerSecond();
        double mine = quota / settings.instances() * METER_AIMS * planEvery * PLANS_PER_AIM / 1e6;
        double excess = 1 - mine / tenantTally[r.tenant()];
        return random.nextDouble() < excess;
    }

    private static void notOverdue(Attempt a, long now) {
        if (a.overdue) {
            a.node.lastDelay = now - a.sentAt;
            a.node.slowUntil = now + (now - a.sentAt) / SLOW_PART;
            a.overdue = false;
            a.node.overdue--;
        }
    }

    private static long aim(Pending p) {
        return p.type.firstTokenTarget()
                + (long) (p.type.targetPerKilotoken() * p.request.promptTokens() / 1000);
    }

    private void dispatch(Pending p, long now) {
        Node n = pick(p, false, now);
        if (n == null && p.attempts.isEmpty()) {
            n = firstFree(p, now);
        }
        if (n != null && slow(p, n, now) && p.attempts.isEmpty() && mayRefuse(p)) {
            n = worthASpill(p) || roomy(p, now) ? freeReplica(p, now) : null;
            if (n == null) {
                giveFinalAnswer(p);
                return;
            }
        }
        if (n != null) {
            send(p, n, now);
        } else if (p.attempts.isEmpty() && now < holdUntil(p) && (nodes.isEmpty() || p.pool.ready > 0)) {
            hold(p, now);
        } else if (!p.anyOut()) {
            giveFinalAnswer(p);
        }
    }

    private void send(Pending p, Node n, long now) {
        p.attempts.add(new Attempt(p, n, now));
        n.waiting.add(p.attempts.get(p.attempts.size() - 1));
        if (p.attempts.size() == 1) {
            tally(p);
            reviewAt(p, now + aim(p) / OVERDUE_PART);
            if (settings.limits().allowsHedging()) {
                reviewAt(p, now + aim(p) / HEDGE_PART);
            }
        }
        if (p.attempts.size() > 1) {
            further.add(now);
        }
        spendColdBudget(n, now);
        n.load++;
        n.onTrial = n.ejections > 0;
        n.pools.forEach(pool -> pool.inFlight++);
        actions.send(p.request.id(), n.replica.id(), p.deadline - now);
    }

    /** A key's traffic is what is sent: refused requests fill no replica. */
    private void tally(Pending p) {
        p.pool.arrivals++;
        if (p.request.sharedPrefix() != 0) {
            Hot h = hot.computeIfAbsent(p.key, k -> new Hot());
            h.pool = p.pool;
            h.tally++;
        } else {
            unnamed++;
        }
    }

    @Override
    public void firstToken(long time, long requestId, int attempt) {
        long now = latest(time);
        Pending p = open.get(requestId);
        if (p == null || attempt < 0 || attempt >= p.attempts.size()) {
            return;
        }
        Attempt a = p.attempts.get(attempt);
        a.firstTokenAfter = now - a.sentAt;
        learnDelay(p, a, now);
        learnSpeed(firstTime, p, a, now);
        p.begun = true;
        firstTokenTally++;
        a.node.spokeAt = now;
        a.node.breaks = 0;
        a.node.onTrial = false;
        sessions.served(p.request.session(), a.node, now);
        notOverdue(a, now);
        cancelOthers(p, attempt);
        overtake(a, now);
    }

    /**
     * Against answers lost while the replica serves: it reads prompts as they came, so what a later one's
     * first token overtakes waits in no jam. One batch's come in any order: hence the wait.
     */
    private void overtake(Attempt by, long now) {
        ArrayDeque<Attempt> waiting = by.node.waiting;
        waiting.remove(by);
        while (!waiting.isEmpty() && waiting.peek().sentAt < by.sentAt) {
            Attempt a = waiting.poll();
            a.overtaken = true;
            reviewAt(a.request, now + planEvery * PLANS_PER_AIM / OVERTAKE_PART);
        }
    }

    private void reviewAt(Pending p, long time) {
        int token = ++nextToken;
        timers.put(token, p);
        actions.wakeAt(time, token);
    }

    /** What is due for a request whose answer has not begun: its replica may be slow, or its attempt lost. */
    private void review(Pending p, long now) {
        boolean more = settings.limits().allowsHedging() && now >= p.arrivedAt + aim(p) / HEDGE_PART
                && roomy(p, now);
        boolean first = !p.judged;
        p.judged = true;
        Attempt last = null;
        for (Attempt a : p.attempts) {
            if (!a.out || a.firstTokenAfter > 0) {
                continue;
            }
            last = a;
            if (a.overtaken) {
                more = true;
                if (a.overdue) {
                    a.overdue = false;
                    a.node.overdue--;
                }
            } else if (first) {
                a.overdue = true;
                a.node.overdue++;
            }
        }
        if (more && last != null && !p.hedged && inBudget(p, now)
                && p.attempts.size() < settings.limits().maxAttempts()
                && (p.type.lateWorth() > 0 || now < p.arrivedAt + aim(p))) {
            hedge(p, last, now);
        }
    }

    /** A second copy, or, where none is allowed, a call to stop the first, whose end is then a retry. */
    private void hedge(Pending p, Attempt first, long now) {
        p.hedged = true;
        if (settings.limits().allowsHedging()) {
            Node n = pick(p, false, now);
            if (n != null && !slow(p, n, now) && warmth(n, now) >= 1) {
                send(p, n, now);
            }
        } else if (settings.limits().allowsCancelling()) {
            actions.cancel(p.request.id(), p.attempts.indexOf(first));
        }
    }

    @Override
    public void attemptEnded(long time, long requestId, int attempt, Outcome outcome, long took,
            boolean requestOver, long keptTokens, LoadReport report) {
        long now = latest(time);
        Pending p = open.get(requestId);
        if (p == null || attempt < 0 || attempt >= p.attempts.size() || !p.attempts.get(attempt).out) {
            return;
        }
        Attempt a = p.attempts.get(attempt);
        a.out = false;
        a.mayHaveRun = !outcome.neverRan();
        a.node.load--;
        a.node.waiting.remove(a);
        a.pools.forEach(pool -> pool.inFlight--);
        if (report != null && report.inFlight() >= 0) {
            a.node.others = Math.max(0, report.inFlight() - a.node.load);
            a.node.othersUntil = now + patience / REPORT_PART;
        }
        // copies answered elsewhere while it said nothing to anyone: a vanished machine refuses nothing
        boolean silence = outcome == Outcome.CANCELLED && a.firstTokenAfter == 0 && a.overdue
                && a.node.spokeAt < a.sentAt && roomy(p, now);
        notOverdue(a, now);
        judge(a.node, silence ? Outcome.RESET : outcome, now);
        if (outcome == Outcome.TIMEOUT) {
            learnSpeed(firstTime, p, a, now);
            learnDelay(p, a, now);
        }
        if (outcome == Outcome.FULL || outcome == Outcome.ERROR) {
            boolean all = outcome == Outcome.ERROR && report != null
                    && report.errorsPerSecond() > MOST_ERRORS * report.requestsPerSecond();
            for (int c = 0; c < a.node.strikes.length; c++) {
                if (all || c == p.request.requestClass()) {
                    strike(p.pool, c, a.node, now);
                }
            }
        } else if (outcome == Outcome.OK) {
            a.node.strikes[p.request.requestClass()] /= 2;
        }
        if (outcome == Outcome.OK) {
            learnReadRate(p, a, keptTokens);
            learnSpeed(classTime, p, a, now);
        }
        if (requestOver && !p.over) {
            p.over = true;
            cancelOthers(p, attempt);
        }
        if (!p.over && !p.anyOut()) {
            if (mayTryAgain(p, outcome, now)) {
                dispatch(p, now);
            } else {
                giveFinalAnswer(p);
            }
        }
        forgetIfDone(p);
    }

    private boolean mayTryAgain(Pending p, Outcome outcome, long now) {
        return outcome != Outcome.TIMEOUT && now < p.deadline && inBudget(p, now)
                && p.attempts.size() < settings.limits().maxAttempts();
    }

    /**
     * The budget of further attempts, exact in every window: an arrival at the very edge no longer counts, an
     * attempt there still does. What is worth less than the average leaves a part of it.
     */
    private boolean inBudget(Pending p, long now) {
        forgetOld(now);
        double mine = p.worth < averageWorth ? BUDGET_KEPT : 1;
        return further.size() + 1 <= (budget.free() + budget.ratio() * taken.size()) * mine + ROUNDING;
    }

    /**
     * Outlier ejection, against a dead replica: it refuses connections and breaks streams. One trial at a
     * time brings it back. Errors are its class's trouble, see {@link #strike}.
     */
    private void judge(Node n, Outcome outcome, long now) {
        if (outcome == Outcome.OK) {
            n.ejections = 0;
            n.breaks = 0;
            n.onTrial = false;
        } else if (outcome == Outcome.RESET && ++n.breaks < BREAKS && n.ejections == 0) {
            // one broken connection speaks against that connection: a kept one may have been stale
            n.onTrial = false;
        } else if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            n.onTrial = false;
            if (now >= n.ejectedUntil && mayEject(n, now)) {
                n.ejectedUntil = now + (patience / EJECTION_PART << Math.min(n.ejections, MOST_DOUBLINGS));
                n.ejections++;
                planStale = true;
                actions.log("ejected replica " + n.replica.id() + " after " + outcome + ", trial in "
                        + (n.ejectedUntil - now) / 1000 + " ms");
            }
        } else {
            n.onTrial = false;
        }
    }

    /**
     * A replica's trouble with a class (a limit that answers full though there is room, quick errors, which
     * keep its count low and draw its neighbours' spill) keeps that class away, each time twice as long. A
     * passing error could empty a small pool, hence the ceiling that it shares with ejections.
     */
    private void strike(Pool pool, int c, Node n, long now) {
        if (n.restUntil[c] <= now && away(pool, c, now) + 1 <= MOST_EJECTED * pool.ready) {
            n.restUntil[c] = now + (patience / REST_PART << Math.min(n.strikes[c], MOST_DOUBLINGS));
            n.strikes[c]++;
        }
    }

    /** How many of a pool's replicas a class is kept away from. */
    private static long away(Pool pool, int requestClass, long now) {
        return pool.members.stream().filter(m -> m.ejectedUntil > now || m.restUntil[requestClass] > now)
                .count();
    }

    private void forgetOld(long now) {
        long edge = now - budget.window();
        while (!taken.isEmpty() && taken.peek() <= edge) {
            taken.poll();
        }
        while (!further.isEmpty() && further.peek() < edge) {
            further.poll();
        }
    }

    /** Never so many of any pool that the rest collapse. */
    private boolean mayEject(Node n, long now) {
        for (int c = 0; c < poolOfClass.length; c++) {
            Pool pool = poolOfClass[c];
            if (n.pools.contains(pool) && away(pool, c, now) + 1 > MOST_EJECTED * pool.ready) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        Pending p = open.get(requestId);
        if (p != null) {
            p.over = true;
            cancelOthers(p, -1);
            forgetIfDone(p);
        }
    }

    private void cancelOthers(Pending p, int kept) {
        for (int i = 0; i < p.attempts.size(); i++) {
            if (i != kept && p.attempts.get(i).out && settings.limits().allowsCancelling()) {
                actions.cancel(p.request.id(), i);
            }
        }
    }

    private void giveFinalAnswer(Pending p) {
        p.over = true;
        if (mayRefuse(p)) {
            actions.refuse(p.request.id(), comeBackAfter(p));
        } else {
            actions.fail(p.request.id());
        }
        cancelOthers(p, -1);
        forgetIfDone(p);
    }

    /** A client that comes back at once meets the same jam; one that comes after its aim has come in vain. */
    private long comeBackAfter(Pending p) {
        return Math.min(settings.limits().retryAfterMax(), aim(p) / RETURN_PART);
    }

    private void forgetIfDone(Pending p) {
        if (p.over && !p.anyOut()) {
            open.remove(p.request.id());
        }
    }

    // ---- no effect twice

    private boolean mayRepeatAt(Pending p, Node n, long now) {
        if (!settings.limits().allowsHedging() && p.anyOut()) {
            return false;
        }
        Attempt ran = p.firstThatMayHaveRun();
        if (ran == null || p.type.retrySafety() == RetrySafety.RETRYABLE) {
            return true;
        }
        // sent over a connection that may have to be made first, it must arrive in its window
        long arrives = now + settings.limits().connectTimeout();
        return p.type.retrySafety() == RetrySafety.DEDUP && arrives < ran.sentAt + p.type.dedupWindow()
                && switch (p.type.dedupGroup()) {
            case ALL -> true;
            case ZONE -> ran.node.replica.zone() == n.replica.zone();
            case CELL -> ran.node.replica.cell() == n.replica.cell();
        };
    }

    private boolean mayRefuse(Pending p) {
        return p.type.retrySafety() == RetrySafety.RETRYABLE || p.firstThatMayHaveRun() == null
                || p.type.retrySafety() == RetrySafety.DEDUP && p.type.dedupGroup() == Routing.DedupGroup.ALL;
    }

    // ---- holding

    private long holdUntil(Pending p) {
        return p.deadline - p.request.clientTimeout() / HOLD_RESERVE;
    }

    private void hold(Pending p, long now) {
        if (!p.held) {
            p.held = true;
            // those answered meanwhile, which only the next list would clear out
            while (!held.isEmpty() && held.peek().over) {
                held.poll();
            }
            held.add(p);
        }
        reviewAt(p, Math.min(now + p.request.clientTimeout() / HOLD_CHECKS, holdUntil(p)));
    }

    private void retryHeld(long now) {
        for (int n = held.size(); n > 0; n--) {
            Pending p = held.poll();
            if (!p.over && p.attempts.isEmpty()) {
                Node node = pick(p, false, now);
                if (node == null) {
                    held.add(p);
                } else {
                    send(p, node, now);
                }
            }
        }
    }

    @Override
    public void woken(long time, int token) {
        long now = latest(time);
        if (token == DISCOVERY_TOKEN) {
            callDiscovery(now);
            return;
        }
        Pending p = timers.remove(token);
        if (p == null || p.over) {
            return;
        }
        if (p.attempts.isEmpty()) {
            dispatch(p, now);
        } else if (!p.begun) {
            review(p, now);
        }
    }

    // ---- numbers

    /** A time before the latest one seen is taken for that one: ages and waits are never negative. */
    long latest(long time) {
        latest = Math.max(latest, time);
        return latest;
    }

    private long jittered(long span) {
        return span <= 0 ? 0 : random.nextLong(span);
    }

}
