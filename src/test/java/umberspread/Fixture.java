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

/** A router with recorded actions and short ways to feed it. */
final class Fixture implements Routing.Actions {
    static final long SECOND = 1_000_000;

    record Sent(long request, long replica, long timeout, long at) {
    }

    final List<Sent> sent = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<long[]> wakes = new ArrayList<>();
    final List<String> all = new ArrayList<>();
    int follows;
    final BoundedLoadRouter router;
    long now = 1000 * SECOND;
    final List<Long> arrivals = new ArrayList<>();
    long lastAdvice;
    private long nextId = 1;

    Fixture(Routing.Settings settings) {
        this(settings, 42);
    }

    Fixture(Routing.Settings settings, long seed) {
        router = new BoundedLoadRouter(settings, seed, this);
        router.started(now);
    }

    /** Settings that a test changes where it matters. */
    static final class Setup {
        int instances = 1;
        RetrySafety effect = RetrySafety.RETRYABLE;
        DedupGroup group = DedupGroup.ALL;
        double worth = 1;
        boolean ask;
        long retryAfterMax;
        boolean duplicates = true;
        boolean cancelling = true;
        int attempts = 4;
        List<Routing.Tenant> tenants = List.of();
        double secondWorth = 1;
        double lateWorth = 0.5;
        long coldFor = 20 * SECOND;
        double coldFrom = 0.2;
        double fallMultiple = 3;
        Routing.Placement secondPlacement = Routing.Placement.ANYWHERE;
        Routing.AttemptBudget budget = Routing.AttemptBudget.NONE;

        private Routing.RequestClass type(String name, double worth, Routing.Placement placement) {
            return new Routing.RequestClass(name, effect, group, 5 * SECOND, SECOND, 10_000, 50_000,
                    6 * SECOND, worth, lateWorth, true, placement);
        }

        Routing.Settings build() {
            return new Routing.Settings(instances, 0, 0,
                    List.of(type("chat", worth, Routing.Placement.ANYWHERE),
                            type("edit", secondWorth, secondPlacement)), tenants, 0.1, ask,
                    new Routing.Limits(attempts, duplicates, cancelling, false, 250_000, retryAfterMax),
                    new Routing.Contract(SECOND, coldFor, coldFrom, fallMultiple, 2 * SECOND,
                            10 * SECOND,
                            budget),
                    new Routing.Prices(0, 0, 0, 0, 0));
        }
    }

    static ServerState replica(long id, int zone, int cell, Lifecycle state, long startedAt) {
        return new ServerState(id, zone, (int) id % 3, cell, 1, state, startedAt);
    }

    /** A full list of so many warm replicas, in zones 0 and 1 and cells of two. */
    Fixture list(int count) {
        List<ServerState> entries = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            entries.add(replica(i, i % 2, i / 2, Lifecycle.READY, 0));
        }
        router.listReceived(now, ListKind.FULL, entries);
        return this;
    }

    void change(ServerState r) {
        router.listReceived(now, ListKind.DELTA, List.of(r));
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

    /** Further attempts and arrivals of every window, counted from what was recorded. */
    int assertInBudget(Routing.AttemptBudget budget) {
        Set<Long> begun = new HashSet<>();
        List<Long> further = new ArrayList<>();
        for (Sent s : sent) {
            if (!begun.add(s.request())) {
                further.add(s.at());
                long edge = s.at() - budget.window();
                long made = further.stream().filter(t -> t >= edge).count();
                long taken = arrivals.stream().filter(t -> t > edge && t <= s.at()).count();
                assertTrue(made <= budget.free() + budget.ratio() * taken + 1e-9,
                        made + " further attempts where " + taken + " were taken");
            }
        }
        return further.size();
    }

    void end(long request, int attempt, Outcome outcome, boolean over) {
        router.attemptEnded(now, request, attempt, outcome, 0, over, 0, null);
    }

    void serve(long request, int attempt) {
        router.firstToken(now, request, attempt);
        end(request, attempt, Outcome.OK, true);
    }

    /** Lets time pass and delivers what the router asked to be woken for. */
    void pass(long span) {
        long until = now + span;
        while (true) {
            long[] next = null;
            for (long[] w : wakes) {
                if (w[0] <= until && (next == null || w[0] < next[0])) {
                    next = w;
                }
            }
            if (next == null) {
                break;
            }
            wakes.remove(next);
            now = Math.max(now, next[0]);
            router.woken(now, (int) next[1]);
        }
        now = until;
    }

    /** Whether any of a hundred new sessions of a class, all served at once, comes to the replica. */
    boolean reached(int requestClass, long replica) {
        for (int i = 0; i < 100; i++) {
            serve(arriveAs(requestClass, 1_000_000 + nextId, 0), 0);
            if (lastReplica() == replica) {
                return true;
            }
        }
        return false;
    }

    long lastReplica() {
        return sent.get(sent.size() - 1).replica();
    }

    @Override
    public void send(long requestId, long replicaId, long timeout) {
        sent.add(new Sent(requestId, replicaId, timeout, now));
        all.add("send " + requestId + " " + replicaId + " " + timeout);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
        all.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void refuse(long requestId, long retryAfter) {
        refused.add(requestId);
        lastAdvice = retryAfter;
        all.add("refuse " + requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
        all.add("fail " + requestId);
    }

    @Override
    public void log(String line) {
        all.add("log " + line);
    }

    @Override
    public void watchEndpointList() {
        follows++;
        all.add("follow");
    }

    @Override
    public void wakeAt(long time, int token) {
        wakes.add(new long[] {time, token});
        all.add("wake " + time + " " + token);
    }
}
