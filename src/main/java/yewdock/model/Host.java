package yewdock.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;
import umberspread.Routing.ServerState;
import yewdock.baseline.Sight;

/**
 * A router's machine in the model: it carries out what the routing module asks for, over a network with
 * delays
 * and connections that cost, and tells it what comes of it.
 */
class Host implements Routing.Actions {
    private static final double SECOND = 1e6;
    /** A final answer may come this much after the client's time is up. */
    private static final double ANSWER_SLACK = 20_000;
    /** A stream that brings nothing for so long is ended. */
    private static final double SILENT_STREAM = 4.5 * SECOND;

    final int number;
    final int site;
    private final World world;
    private final UniformRandomProvider random;
    private final Map<Long, Try> open = new HashMap<>();
    private final Map<Long, Long> toldOff = new HashMap<>();
    private final Map<Long, Long> toldStart = new HashMap<>();
    private final Lines[] lines;
    private Routing.Events router;
    private int life;

    /** Connections to one box. */
    private static final class Lines {
        private final ArrayDeque<Long> idle = new ArrayDeque<>();
        private int boxLife;
    }

    /** One try of a client at this router. */
    static final class Try {
        final long id;
        final Ask ask;
        final Clients.Waiting client;
        final long deadline;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private boolean answered;
        private boolean begun;

        Try(long id, Ask ask, Clients.Waiting client, long deadline) {
            this.id = id;
            this.ask = ask;
            this.client = client;
            this.deadline = deadline;
        }

        private boolean anyOut() {
            for (Attempt a : attempts) {
                if (a.out) {
                    return true;
                }
            }
            return false;
        }
    }

    private final class Attempt implements Work.Taker {
        private final Try of;
        private final int number;
        private final Box box;
        private final long sentAt;
        private final int hostLife = life;
        private boolean out = true;
        private Lines line;
        private boolean begun;
        private Work work;

        Attempt(Try of, int number, Box box) {
            this.of = of;
            this.number = number;
            this.box = box;
            this.sentAt = world.calendar.now();
        }

        @Override
        public void begun(Work w) {
            world.calendar.after(delay(box.site), () -> first(this));
        }

        @Override
        public void done(Work w) {
            world.calendar.after(delay(box.site), () -> end(this, Outcome.OK));
        }

        @Override
        public void lost(Work w) {
            if (!box.silent) {
                world.calendar.after(delay(box.site), () -> end(this, Outcome.RESET));
            } else if (begun) {
                world.calendar.after(SILENT_STREAM, () -> end(this, Outcome.RESET));
            }
        }
    }

    Host(World world, int number, int site, UniformRandomProvider random) {
        this.world = world;
        this.number = number;
        this.site = site;
        this.random = random;
        this.lines = new Lines[world.boxes.size()];
    }

    /** Starts, or starts anew and remembers nothing. */
    void start() {
        life++;
        int began = life;
        router = world.policy(this, Draws.mix(world.day.seed + number * 977L + life));
        tell(() -> router.started(now()));
        List<ServerState> known = world.register.all();
        note(known);
        tellList(ListKind.CACHED, known);
        if (began != life) {
            throw new IllegalStateException("a router started from inside itself");
        }
    }

    /** Dies, with all that it has open. */
    void die() {
        life++;
        router = null;
        world.register.forget(this);
        List<Try> all = new ArrayList<>(open.values());
        all.sort((a, b) -> Long.compare(a.id, b.id));
        open.clear();
        toldOff.clear();
        toldStart.clear();
        for (Box box : world.boxes) {
            Lines l = lines[box.number];
            if (l != null && l.boxLife == box.deaths) {
                box.lines -= l.idle.size();
            }
        }
        for (Try t : all) {
            for (Attempt a : t.attempts) {
                if (a.out && a.line != null && a.line.boxLife == a.box.deaths) {
                    a.box.lines--;
                }
                if (a.out && a.work != null) {
                    a.work.abandon();
                }
                a.out = false;
            }
            t.client.broken(t);
        }
        java.util.Arrays.fill(lines, null);
    }

    boolean alive() {
        return router != null;
    }

    private long now() {
        return world.calendar.now();
    }

    private void tell(Runnable event) {
        long began = world.timed ? System.nanoTime() : 0;
        event.run();
        if (world.timed) {
            world.moduleNanos += System.nanoTime() - began;
        }
        world.moduleEvents++;
    }

    private void tellList(ListKind kind, List<ServerState> entries) {
        long began = world.timed ? System.nanoTime() : 0;
        router.listReceived(now(), kind, entries);
        if (world.timed) {
            world.listNanos += System.nanoTime() - began;
        }
        world.listEvents++;
    }

    private double delay(int to) {
        double base = to == site ? world.day.withinMicros : world.day.acrossMicros;
        return base * (1 + world.day.jitter * random.nextDouble());
    }

    // ---- the list

    void listReceived(ListKind kind, List<ServerState> entries) {
        if (router == null) {
            return;
        }
        if (kind == ListKind.FULL) {
            // what is missing is gone
            Map<Long, Boolean> there = new HashMap<>();
            entries.forEach(r -> there.put(r.id(), true));
            for (Box b : world.boxes) {
                if (!there.containsKey(b.id)) {
                    toldOff.putIfAbsent(b.id, now());
                }
            }
        }
        note(entries);
        tellList(kind, entries);
    }

    private void note(List<ServerState> entries) {
        for (ServerState r : entries) {
            if (r.lifecycle() == Lifecycle.READY) {
                toldOff.remove(r.id());
            } else {
                toldOff.putIfAbsent(r.id(), now());
            }
            if (r.startedAt() > 0) {
                toldStart.put(r.id(), r.startedAt());
            }
        }
    }

    // ---- requests

    /** A client's request has come in; a router that is not there refuses the connection. */
    void arrive(Try t) {
        if (router == null) {
            t.client.broken(t);
            return;
        }
        open.put(t.id, t);
        Ask a = t.ask;
        int began = life;
        world.calendar.at(t.deadline + Math.round(ANSWER_SLACK), () -> {
            if (life == began && open.get(t.id) == t && !t.answered && !t.begun) {
                world.judge.broken("answer: router " + number + " owes request " + t.id
                        + " its final answer");
                t.answered = true;
                open.remove(t.id);
                tell(() -> router.requestAbandoned(now(), t.id));
                t.client.gone(t);
            }
        });
        tell(() -> router.requestArrived(now(), new Routing.Request(t.id, a.askClass, a.municipality,
                a.triesMade > 1, a.session, a.prefix, a.promptTokens, a.prefixTokens, a.mostOut,
                Math.max(1, t.deadline - now()))));
    }

    private void first(Attempt a) {
        if (!a.out || a.hostLife != life) {
            return;
        }
        a.begun = true;
        a.of.begun = true;
        world.calendar.after(world.clientDelay(random), () -> a.of.client.firstToken(a.of));
        tell(() -> router.firstToken(now(), a.of.id, a.number));
    }

    private void end(Attempt a, Outcome outcome) {
        if (!a.out || a.hostLife != life) {
            return;
        }
        a.out = false;
        if (a.work != null && outcome != Outcome.OK) {
            a.work.abandon();
        }
        putBack(a, outcome);
        Try t = a.of;
        boolean over = t.answered || outcome == Outcome.OK || a.begun;
        if (!t.answered && over) {
            t.answered = true;
            open.remove(t.id);
            if (outcome == Outcome.OK) {
                double wait = world.clientDelay(random);
                world.calendar.after(wait, () -> t.client.done(t));
                world.score.kept(t.ask, a.work.keptTokens());
            } else {
                t.client.gone(t);
            }
        }
        world.reports.ended(a.box, outcome == Outcome.ERROR);
        Routing.LoadReport report = outcome == Outcome.OK || outcome == Outcome.ERROR
                || outcome == Outcome.FULL
                ? world.reports.of(a.box) : null;
        world.score.attempt(outcome);
        tell(() -> router.attemptEnded(now(), t.id, a.number, outcome, now() - a.sentAt, over,
                a.work == null ? 0 : a.work.keptTokens(), report));
    }

    // ---- connections

    private Lines lines(Box box) {
        Lines l = lines[box.number];
        if (l == null || l.boxLife != box.deaths) {
            // those of its former life are closed
            l = new Lines();
            l.boxLife = box.deaths;
            lines[box.number] = l;
        }
        return l;
    }

    private void putBack(Attempt a, Outcome outcome) {
        Lines l = a.line;
        a.line = null;
        if (l == null || l.boxLife != a.box.deaths) {
            return;
        }
        if (outcome != Outcome.OK && outcome != Outcome.FULL && outcome != Outcome.ERROR) {
            a.box.lines--;
            return;
        }
        l.idle.addLast(now());
        long keepalive = Math.round(world.day.scenario.routers().keepaliveSeconds() * SECOND);
        long closes = now() + keepalive;
        world.calendar.at(closes, () -> {
            boolean stands = lines[a.box.number] == l && l.boxLife == a.box.deaths;
            if (stands && !l.idle.isEmpty() && l.idle.peekFirst() + keepalive <= now()) {
                l.idle.pollFirst();
                a.box.lines--;
            }
        });
    }

    // ---- what the module asks for

    @Override
    public void send(long requestId, long replicaId, long timeout) {
        Try t = open.get(requestId);
        Box box = world.box(replicaId);
        if (t == null || box == null) {
            world.judge.broken("router " + number + " sends request " + requestId + " to " + replicaId
                    + ", of which one is not known");
            return;
        }
        world.judge.sentAfterTold(this, box, toldOff.getOrDefault(replicaId, -1L));
        boolean twice = t.anyOut();
        Attempt a = new Attempt(t, t.attempts.size(), box);
        t.attempts.add(a);
        if (twice || t.answered) {
            world.judge.broken("two attempts of request " + requestId + " are out");
        }
        if (twice || t.answered || t.attempts.size() > world.day.scenario.routers().attempts()) {
            world.calendar.after(0, () -> end(a, Outcome.NOT_SENT));
            return;
        }
        world.score.sent(t.ask, t.attempts.size() == 1, box.site != site);
        world.calendar.after(Math.max(1, timeout), () -> {
            if (!a.begun) {
                end(a, Outcome.TIMEOUT);
            }
        });
        Lines l = lines(box);
        double way = delay(box.site);
        double connect = world.day.scenario.routers().connectSeconds() * SECOND;
        if (!l.idle.isEmpty() && box.alive) {
            l.idle.pollLast();
            a.line = l;
            world.calendar.after(way, () -> reach(a));
        } else if (!box.alive && !box.silent || box.lines >= world.day.scenario.fleet().connections()) {
            world.calendar.after(2 * way, () -> end(a, Outcome.CONNECT_FAILED));
        } else if (box.silent && !box.alive) {
            world.calendar.after(connect, () -> end(a, Outcome.CONNECT_FAILED));
        } else {
            box.lines++;
            a.line = l;
            world.score.handshake();
            world.calendar.after(way * (1 + 2 * world.day.handshakeTrips), () -> {
                box.handshake(world.day.handshakeMicros);
                reach(a);
            });
        }
    }

    private void reach(Attempt a) {
        Box box = a.box;
        if (!a.out || a.hostLife != life) {
            // given up on the way: the box gets it all the same, and works for nobody
            if (box.alive) {
                hand(a, true);
            }
            return;
        }
        if (!box.alive) {
            if (!box.silent) {
                world.calendar.after(delay(box.site), () -> end(a, Outcome.RESET));
            }
            return;
        }
        if (!hand(a, false)) {
            world.calendar.after(delay(box.site), () -> end(a, Outcome.FULL));
        }
    }

    private boolean hand(Attempt a, boolean abandoned) {
        Box box = a.box;
        double cost = world.day.cost(box, a.of.ask);
        boolean knew = toldStart.getOrDefault(box.id, -1L) == box.startedAt;
        if (world.judge.pushedOver(box, cost, knew)) {
            world.fell(box);
            return true;
        }
        if (box.errs()) {
            world.calendar.after(delay(box.site), () -> end(a, Outcome.ERROR));
            return true;
        }
        Work work = new Work(a.of.ask, a, a.of.deadline, cost);
        if (abandoned) {
            work.abandon();
        }
        a.work = work;
        return box.take(work);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Try t = open.get(requestId);
        if (t != null && attempt >= 0 && attempt < t.attempts.size()) {
            Attempt a = t.attempts.get(attempt);
            if (a.out && !a.begun) {
                world.calendar.after(0, () -> end(a, Outcome.CANCELLED));
            }
        }
    }

    @Override
    public void refuse(long requestId, long retryAfter) {
        answer(requestId, true, retryAfter);
    }

    @Override
    public void fail(long requestId) {
        answer(requestId, false, 0);
    }

    private void answer(long requestId, boolean refused, long retryAfter) {
        Try t = open.remove(requestId);
        if (t == null) {
            world.judge.broken("router " + number + " answers request " + requestId + " that is not open");
            return;
        }
        t.answered = true;
        world.calendar.after(world.clientDelay(random), () -> t.client.turnedAway(t, refused, retryAfter));
    }

    @Override
    public void watchEndpointList() {
        int began = life;
        world.calendar.after(delay(0), () -> {
            if (life == began) {
                world.register.call(this);
            }
        });
    }

    @Override
    public void wakeAt(long time, int token) {
        int began = life;
        world.calendar.at(time, () -> {
            if (life == began) {
                tell(() -> router.woken(now(), token));
            }
        });
    }

    @Override
    public void log(String line) {
        world.log(this, line);
    }

    /** The true state of boxes, for a policy that is shown it. */
    Sight sight() {
        return new Sight() {
            @Override
            public double firstTokenIn(long replicaId, Routing.Request request) {
                Try t = open.get(request.id());
                Box box = world.box(replicaId);
                return t == null || box == null ? Double.POSITIVE_INFINITY
                        : box.firstTokenIn(t.ask) + 2 * delayTo(box);
            }

            @Override
            public double paceIn(long replicaId) {
                return world.box(replicaId).pace(1);
            }
        };
    }

    private double delayTo(Box box) {
        return box.site == site ? world.day.withinMicros : world.day.acrossMicros;
    }
}
