package yewdock.verification;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Outcome;
import umberspread.Routing.ServerState;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.ModelRequest;
import yewdock.core.ModelServer;
import yewdock.core.Reducer;
import yewdock.core.ResourceLimits;
import yewdock.model.Calendar;

/**
 * Half a minute of a drawn deployment in virtual time: the real desk and the real module, with boxes, a list
 * and clients that keep to the platform's protocol and are troubled from a seed. It judges what the router
 * does by what it has itself sent and seen. Times are microseconds; one seed gives one run.
 */
public final class DeploymentSim {
    /** Faults put between the router and the world, each of which the judge must find. */
    public enum Plant { NONE, LIST_UNHEARD, CLOSES_LATE, ANSWERS_TWICE, TICKS_LATE, STREAMS_MIXED }

    private static final long SECOND = 1_000_000;
    private static final long DAY = 30 * SECOND;
    private static final long START = 100 * SECOND;
    /** Every time limit is this much longer on sockets. */
    private static final long SLACK = 50_000;

    private enum State { FINE, SILENT, VANISHED, FULL, FAILING, SLOW }

    private final class Box {
        private final long id;
        private final int site;
        private final long startedAt;
        private State state = State.FINE;
        private Lifecycle lifecycle = Lifecycle.READY;
        private boolean gone;
        private int running;
        private long version;
        /** When the router was told that it takes no new work; none before. */
        private long toldAt = Long.MAX_VALUE / 2;

        Box(long id, int site, long startedAt) {
            this.id = id;
            this.site = site;
            this.startedAt = startedAt;
        }

        ModelServer entry() {
            return new ModelServer("s-" + id, "127.0.0.1:" + (9000 + id), new ServerState(id, site,
                    (int) id % 3,
                    (int) id / 4, 1 + id % 2, lifecycle, startedAt));
        }
    }

    /** A connection as the router has asked for it. */
    private static final class Line {
        private final long id;
        private final Box box;
        private boolean closed;
        private Call call;
        private int turn;

        Line(long id, Box box) {
            this.id = id;
            this.box = box;
        }
    }

    /** A client's request and what has become of it. */
    private static final class Call {
        private final long client;
        private final int type;
        private final long deadline;
        private final List<Line> out = new ArrayList<>();
        private int tries;
        private boolean mayHaveRun;
        private boolean answered;
        private boolean left;
        private long streamOf;

        Call(long client, int type, long deadline) {
            this.client = client;
            this.type = type;
            this.deadline = deadline;
        }
    }

    private final DrawnDeployment deployment;
    private final Plant plant;
    private final SplittableRandom random;
    private final Calendar calendar = new Calendar();
    private final Map<Long, Box> boxes = new LinkedHashMap<>();
    private final Map<Long, Line> lines = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Counters counters = new Counters();
    private final Reducer desk;
    private long tickAt = Long.MAX_VALUE;
    private long lastClient;
    private long lastBox;
    private long version = 1;
    private boolean listSilent;
    private boolean listRefuses;
    private long listCall;
    private Effect.CallDiscovery listOpen;

    public DeploymentSim(long seed, Plant plant) {
        this.deployment = DrawnDeployment.of(seed);
        this.plant = plant;
        this.random = new SplittableRandom(seed);
        calendar.runTo(START);
        for (int i = 0; i < deployment.boxes(); i++) {
            add(0);
        }
        this.desk = new Reducer(deployment.terms(), new ResourceLimits(400, 400, 400, 64 << 20), counters,
                actions -> new BoundedLoadRouter(deployment.settings(), seed, actions));
    }

    /** Plays it to its end and returns what was broken. */
    public List<String> run() {
        happened(new Event.Started(new EndpointList(version, true, entries(0)), "127.0.0.1:8500"));
        at((long) (SECOND / deployment.perSecond()), this::ask);
        for (int i = 0; i < deployment.troubles(); i++) {
            at(random.nextLong(DAY - 5 * SECOND), this::trouble);
        }
        calendar.runTo(START + DAY + 20 * SECOND - 1);
        calls.values().stream().filter(c -> !c.answered && !c.left)
                .forEach(c -> broken("answer: request " + c.client + " never had one"));
        if (counters.get("faults") > 0) {
            broken("fault: " + counters.get("faults") + " in the router");
        }
        return broken;
    }

    /** The router's own counters, so that a run can be seen to have played something. */
    public Counters counters() {
        return counters;
    }

    private long now() {
        return calendar.now();
    }

    private void broken(String what) {
        broken.add("at " + (now() - START) / 1000 + " ms " + what);
    }

    private void at(long delay, Runnable task) {
        calendar.after(delay, task);
    }

    // ---- the router

    private void happened(Event event) {
        for (Effect effect : desk.reduce(event, now())) {
            perform(effect);
        }
        if (desk.nextTimerDue() < tickAt) {
            tickAt = desk.nextTimerDue();
            long mine = tickAt;
            at(Math.max(0, mine - now()) + (plant == Plant.TICKS_LATE ? SECOND : 0), () -> {
                if (tickAt == mine) {
                    tickAt = Long.MAX_VALUE;
                    happened(new Event.Tick());
                }
            });
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.OpenServerConnection e) {
            open(e);
        } else if (effect instanceof Effect.SendAttempt e) {
            sent(lines.get(e.connection()), calls.get(e.client()));
        } else if (effect instanceof Effect.CloseServerConnection e) {
            close(lines.get(e.connection()));
        } else if (effect instanceof Effect.ForwardChunk e) {
            passedOn(e);
        } else if (effect instanceof Effect.EndResponse e) {
            answered(e.client(), "served");
        } else if (effect instanceof Effect.AbortResponse e) {
            answered(e.client(), "cut off");
        } else if (effect instanceof Effect.Fail e) {
            answered(e.client(), "failed");
        } else if (effect instanceof Effect.Refuse e) {
            Call c = calls.get(e.client());
            if (effect(c) == Routing.RetrySafety.FRAGILE && c.mayHaveRun) {
                broken("effects: request " + c.client + " is refused though it may have run");
            }
            answered(e.client(), "refused");
        } else if (effect instanceof Effect.CallDiscovery e) {
            listOpen = e;
            long mine = ++listCall;
            at(1_000, () -> listAnswers(mine));
        } else if (effect instanceof Effect.CancelDiscoveryCall) {
            listCall++;
            listOpen = null;
        }
    }

    private Routing.RetrySafety effect(Call c) {
        return deployment.settings().classes().get(c.type).retrySafety();
    }

    // ---- clients

    private void ask() {
        if (now() < START + DAY) {
            at((long) (-Math.log(1 - random.nextDouble()) * SECOND / deployment.perSecond()), this::ask);
        }
        int type = random.nextInt(deployment.settings().classes().size());
        long patience = deployment.settings().classes().get(type).maxClientTimeout() * (7
                + random.nextInt(4)) / 10;
        Call c = new Call(++lastClient, type, now() + patience);
        calls.put(c.client, c);
        happened(new Event.ClientConnected(c.client));
        int tenants = deployment.settings().tenants().size();
        happened(new Event.RequestReceived(c.client, new ModelRequest("r" + c.client, type,
                tenants == 0 ? 0 : random.nextInt(tenants), false, 1 + random.nextInt(200),
                1 + random.nextInt(9), 500 + random.nextInt(6000), 400, 300, patience, 1000)));
        if (random.nextInt(30) == 0) {
            at(random.nextLong(patience), () -> leave(c));
        }
        at(patience + SLACK, () -> {
            if (!c.answered && !c.left && c.streamOf == 0) {
                broken("answer: request " + c.client + " has none when its client gives up");
            }
        });
    }

    private void leave(Call c) {
        if (!c.answered) {
            c.left = true;
            happened(new Event.ClientDisconnected(c.client));
        }
    }

    private void answered(long client, String how) {
        Call c = calls.get(client);
        if (c.answered) {
            broken("answer: request " + client + " is " + how + " after its answer");
        }
        boolean again = plant == Plant.ANSWERS_TWICE && client % 50 == 0 && !c.answered;
        c.answered = true;
        if (again) {
            answered(client, how);
        }
        at(0, () -> happened(new Event.ClientDisconnected(client)));
    }

    /** The first eight bytes of a piece tell the line that it came over. */
    private void passedOn(Effect.ForwardChunk e) {
        Call c = calls.get(e.client());
        long line = e.bytes().getLong(0);
        if (c.streamOf == 0) {
            c.streamOf = line;
        } else if (c.streamOf != line) {
            broken("streams: request " + c.client + " has a piece of another try's");
        }
        at(100, () -> happened(new Event.ClientBytesWritten(e.client(), 8)));
    }

    // ---- lines and boxes

    private void open(Effect.OpenServerConnection e) {
        Box box = boxes.get(Long.parseLong(e.address().substring(10)) - 9000);
        Line line = new Line(e.connection(), box);
        lines.put(line.id, line);
        if (box.state == State.VANISHED) {
            return;
        }
        at(500 + random.nextLong(8_000), () -> {
            if (!line.closed && box.gone) {
                down(line);
            } else if (!line.closed) {
                happened(new Event.ServerConnected(line.id));
            }
        });
    }

    private void close(Line line) {
        at(plant == Plant.CLOSES_LATE ? 0 : random.nextLong(400), () -> {
            if (plant == Plant.CLOSES_LATE && line.call != null && !line.closed) {
                // the router hears of a close that the box has yet to see: the request stays out there
                Call call = line.call;
                line.call = null;
                at(SECOND / 3, () -> call.out.remove(line));
            }
            down(line);
        });
    }

    private void down(Line line) {
        if (!line.closed) {
            line.closed = true;
            free(line);
            happened(new Event.ServerDisconnected(line.id));
        }
    }

    private void free(Line line) {
        if (line.call != null) {
            line.call.out.remove(line);
            line.call = null;
            line.turn++;
            line.box.running--;
        }
    }

    private void sent(Line line, Call c) {
        Box box = line.box;
        if (now() > box.toldAt + deployment.settings().contract().drainGrace() + SLACK) {
            broken("drain: request " + c.client + " goes to box " + box.id + " " + (now() - box.toldAt) / 1000
                    + " ms after its drain was told");
        }
        if (!c.out.isEmpty() && !deployment.mayCopy(c.type)) {
            broken("copies: request " + c.client + " is out twice");
        }
        if (effect(c) == Routing.RetrySafety.FRAGILE && c.mayHaveRun) {
            broken("effects: request " + c.client + " goes out again though it may have run");
        }
        if (++c.tries > deployment.settings().limits().maxAttempts()) {
            broken("tries: request " + c.client + " has its try number " + c.tries);
        }
        if (c.answered || c.left) {
            broken("answer: request " + c.client + " goes out after its end");
        }
        c.out.add(line);
        line.call = c;
        box.running++;
        int turn = ++line.turn;
        at(50, () -> still(line, turn, () -> {
            happened(new Event.AttemptWritten(line.id));
            // the box turns away what comes while it drains, and says so
            if (box.lifecycle != Lifecycle.READY || box.state == State.FULL) {
                at(300, () -> still(line, turn, () -> end(line, Outcome.FULL)));
                return;
            }
            c.mayHaveRun = true;
            work(line, turn);
        }));
    }

    private void still(Line line, int turn, Runnable task) {
        if (!line.closed && line.turn == turn && line.call != null) {
            task.run();
        }
    }

    private void work(Line line, int turn) {
        Box box = line.box;
        if (box.state == State.SILENT || box.state == State.VANISHED) {
            return;
        }
        if (box.state == State.FAILING) {
            at(2_000, () -> still(line, turn, () -> end(line, Outcome.ERROR)));
            return;
        }
        long first = 20_000 + random.nextLong(120_000) + box.running * 8_000L;
        at(box.state == State.SLOW ? first * 6 : first, () -> piece(line, turn, 3 + random.nextInt(40)));
    }

    private void piece(Line line, int turn, int more) {
        if (line.box.state == State.SILENT || line.box.state == State.VANISHED) {
            return;
        }
        still(line, turn, () -> {
            boolean mixed = plant == Plant.STREAMS_MIXED && line.id % 40 == 0 && more % 3 == 0;
            long name = mixed ? line.id + 1 : line.id;
            happened(new Event.ResponseChunk(line.id, ByteBuffer.allocate(8).putLong(0, name)));
            if (more == 0) {
                still(line, turn, () -> end(line, Outcome.OK));
            } else {
                at(30_000, () -> piece(line, turn, more - 1));
            }
        });
    }

    private void end(Line line, Outcome outcome) {
        free(line);
        happened(new Event.ResponseCompleted(line.id, outcome, true, 0, null));
    }

    // ---- troubles

    private void add(long startedAt) {
        Box box = new Box(++lastBox, random.nextInt(deployment.sites()), startedAt);
        box.version = version;
        boxes.put(box.id, box);
    }

    private void trouble() {
        List<Box> all = boxes.values().stream().filter(b -> b.lifecycle == Lifecycle.READY).toList();
        Box box = all.get(random.nextInt(all.size()));
        long lasting = SECOND + random.nextLong(8 * SECOND);
        switch (random.nextInt(9)) {
            case 0, 1, 2 -> replace(box);
            case 3 -> befall(box, State.SILENT, lasting);
            case 4 -> befall(box, State.VANISHED, lasting);
            case 5 -> befall(box, State.FAILING, lasting);
            case 6 -> boxes.values().forEach(b -> befall(b, State.SLOW, lasting));
            case 7 -> {
                listSilent = true;
                at(lasting, () -> {
                    listSilent = false;
                    heard();
                });
                replace(box);
            }
            default -> {
                listRefuses = true;
                at(lasting / 4, () -> listRefuses = false);
                at(lasting / 4, this::heard);
                replace(box);
            }
        }
    }

    private void befall(Box box, State state, long lasting) {
        box.state = state;
        at(lasting, () -> box.state = State.FINE);
    }

    /** A release: a new box comes, the old one drains and is gone once its streams have had their time. */
    private void replace(Box box) {
        version++;
        add(now());
        box.lifecycle = Lifecycle.DRAINING;
        box.version = version;
        heard();
        at(6 * SECOND, () -> {
            version++;
            box.lifecycle = Lifecycle.GONE;
            box.version = version;
            box.gone = true;
            heard();
            lines.values().stream().filter(l -> l.box == box).toList().forEach(this::down);
        });
    }

    // ---- the list

    /** What an agent has counts as told, whether or not the router has asked; it has nothing while silent. */
    private void heard() {
        if (!deployment.settings().pullsEndpointList() && !listSilent && !listRefuses) {
            told(version);
        }
        if (listOpen != null && !listSilent) {
            long mine = listCall;
            at(1_000, () -> listAnswers(mine));
        }
    }

    private void told(long upTo) {
        for (Box box : boxes.values()) {
            if (box.lifecycle != Lifecycle.READY && box.version <= upTo) {
                box.toldAt = Math.min(box.toldAt, now());
            }
        }
    }

    private List<ModelServer> entries(long since) {
        return boxes.values().stream().filter(b -> b.version > since && (since > 0 || !b.gone))
                .map(Box::entry).toList();
    }

    private void listAnswers(long mine) {
        if (mine != listCall || listOpen == null || listSilent) {
            return;
        }
        Effect.CallDiscovery call = listOpen;
        if (listRefuses) {
            listOpen = null;
            happened(new Event.DiscoveryCallFailed());
            return;
        }
        if (call.sinceVersion() >= version && call.maxWaitMicros() > 0) {
            // nothing newer: it waits, and answers empty in the end
            at(call.maxWaitMicros(), () -> {
                if (mine == listCall && listOpen == call && !listSilent) {
                    listOpen = null;
                    happened(new Event.EndpointListReceived(new EndpointList(version, false,
                            entries(call.sinceVersion()))));
                }
            });
            return;
        }
        listOpen = null;
        if (plant == Plant.LIST_UNHEARD) {
            happened(new Event.DiscoveryCallFailed());
            return;
        }
        if (deployment.settings().pullsEndpointList()) {
            told(version);
        }
        happened(new Event.EndpointListReceived(new EndpointList(version, call.sinceVersion() < 0,
                entries(Math.max(0, call.sinceVersion())))));
    }
}
