package umberspread;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import umberspread.Routing.DedupGroup;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;
import umberspread.Routing.RetrySafety;
import umberspread.Routing.ServerState;

/** A routing module that records its actions, with short methods to deliver events to it. */
final class Fixture implements Routing.Actions {
    static final long SECOND = 1_000_000;

    /** An attempt that the module sent; times are in microseconds. */
    record Sent(long request, long server, long timeout, long at) {
    }

    final List<Sent> sent = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    final List<String> actionLog = new ArrayList<>();
    int watchCalls;
    final BoundedLoadRouter router;
    long now = 1000 * SECOND;
    final List<Long> arrivals = new ArrayList<>();
    long lastRetryAfter;
    private long nextId = 1;

    Fixture(Routing.Settings settings) {
        this(settings, 42);
    }

    Fixture(Routing.Settings settings, long seed) {
        router = new BoundedLoadRouter(settings, seed, this);
        router.started(now);
    }

    /** Default settings; a test overrides what it needs. */
    static final class Setup {
        int instances = 1;
        RetrySafety effect = RetrySafety.RETRYABLE;
        DedupGroup group = DedupGroup.ALL;
        double worth = 1;
        boolean pullsList;
        long retryAfterMax;
        boolean hedging = true;
        boolean cancelling = true;
        int maxAttempts = 4;
        List<Routing.Tenant> tenants = List.of();
        double secondWorth = 1;
        double lateWorth = 0.5;
        long warmUpTime = 20 * SECOND;
        double coldCapacityShare = 0.2;
        double overloadMultiple = 3;
        Routing.Placement secondPlacement = Routing.Placement.ANYWHERE;
        Routing.AttemptBudget attemptBudget = Routing.AttemptBudget.NONE;

        private Routing.RequestClass requestClass(String name, double worth, Routing.Placement placement) {
            return new Routing.RequestClass(name, effect, group, 5 * SECOND, SECOND, 10_000, 50_000,
                    6 * SECOND, worth, lateWorth, true, placement);
        }

        Routing.Settings build() {
            return new Routing.Settings(instances, 0, 0,
                    List.of(requestClass("chat", worth, Routing.Placement.ANYWHERE),
                            requestClass("edit", secondWorth, secondPlacement)), tenants, 0.1, pullsList,
                    new Routing.Limits(maxAttempts, hedging, cancelling, false, 250_000, retryAfterMax),
                    new Routing.Contract(SECOND, warmUpTime, coldCapacityShare, overloadMultiple, 2 * SECOND,
                            10 * SECOND, attemptBudget),
                    new Routing.Prices(0, 0, 0, 0, 0));
        }
    }

    static ServerState server(long id, int zone, int cell, Lifecycle state, long startedAt) {
        return new ServerState(id, zone, (int) id % 3, cell, 1, state, startedAt);
    }

    /** Delivers a full list of warm servers, ids from 1, in zones 0 and 1 and in cells of two. */
    Fixture listServers(int count) {
        List<ServerState> entries = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            entries.add(server(i, i % 2, i / 2, Lifecycle.READY, 0));
        }
        router.listReceived(now, ListKind.FULL, entries);
        return this;
    }

    void updateServer(ServerState server) {
        router.listReceived(now, ListKind.DELTA, List.of(server));
    }

    long arrive(long session, long prefix) {
        return arrive(session, prefix, 0);
    }

    long arrive(long session, long prefix, int tenant) {
        return arrive(0, session, prefix, tenant);
    }

    long arriveAs(int requestClass, long session, long prefix) {
        return arrive(requestClass, session, prefix, 0);
    }

    private long arrive(int requestClass, long session, long prefix, int tenant) {
        long id = nextId++;
        arrivals.add(now);
        router.requestArrived(now, new Routing.Request(id, requestClass, tenant, false, session, prefix, 1000,
                800, 200, 6 * SECOND));
        return id;
    }

    long nextId() {
        return nextId;
    }

    /** Checks the attempt budget in every window, from the recorded events; returns the extra attempts. */
    int assertInBudget(Routing.AttemptBudget budget) {
        Set<Long> seen = new HashSet<>();
        List<Long> extra = new ArrayList<>();
        for (Sent s : sent) {
            if (!seen.add(s.request())) {
                extra.add(s.at());
                long edge = s.at() - budget.window();
                long sentInWindow = extra.stream().filter(t -> t >= edge).count();
                long arrivedInWindow = arrivals.stream().filter(t -> t > edge && t <= s.at()).count();
                assertTrue(sentInWindow <= budget.free() + budget.ratio() * arrivedInWindow + 1e-9,
                        sentInWindow + " extra attempts for " + arrivedInWindow + " requests");
            }
        }
        return extra.size();
    }

    void endAttempt(long request, int attempt, Outcome outcome, boolean over) {
        router.attemptEnded(now, request, attempt, outcome, 0, over, 0, null);
    }

    void serve(long request, int attempt) {
        router.firstToken(now, request, attempt);
        endAttempt(request, attempt, Outcome.OK, true);
    }

    /** Advances the clock by a span in microseconds and fires the timers that become due. */
    void advance(long span) {
        long until = now + span;
        while (true) {
            long[] next = null;
            for (long[] timer : timers) {
                if (timer[0] <= until && (next == null || timer[0] < next[0])) {
                    next = timer;
                }
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next[0]);
            router.woken(now, (int) next[1]);
        }
        now = until;
    }

    /** Whether the server gets any of a hundred new sessions of a class that are all served at once. */
    boolean receivesRequest(int requestClass, long server) {
        for (int i = 0; i < 100; i++) {
            serve(arriveAs(requestClass, 1_000_000 + nextId, 0), 0);
            if (lastServer() == server) {
                return true;
            }
        }
        return false;
    }

    long lastServer() {
        return sent.get(sent.size() - 1).server();
    }

    @Override
    public void send(long requestId, long serverId, long timeout) {
        sent.add(new Sent(requestId, serverId, timeout, now));
        actionLog.add("send " + requestId + " " + serverId + " " + timeout);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
        actionLog.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void refuse(long requestId, long retryAfter) {
        refused.add(requestId);
        lastRetryAfter = retryAfter;
        actionLog.add("refuse " + requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
        actionLog.add("fail " + requestId);
    }

    @Override
    public void log(String line) {
        actionLog.add("log " + line);
    }

    @Override
    public void watchEndpointList() {
        watchCalls++;
        actionLog.add("follow");
    }

    @Override
    public void wakeAt(long time, int token) {
        timers.add(new long[] {time, token});
        actionLog.add("wake " + time + " " + token);
    }
}
