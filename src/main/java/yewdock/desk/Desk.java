package yewdock.desk;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import umberspread.Routing;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;

/**
 * The core of the router: it holds all state and is the only place where state changes. {@link #reduce} takes
 * one event at a time and returns the effects that the transport has to carry out. It does no I/O, reads no
 * clock and knows nothing of HTTP. The module chooses the server of each attempt; the reducer enforces the
 * rules for sending it.
 *
 * <p>Events are dispatched to the components: {@link Answers} keeps the open requests, {@link Tries} and
 * {@link Streams} carry out their attempts, {@link Lines} manages the server connections, {@link
 * DiscoveryWatch} the watch on the endpoint list, {@link Clients} the idle client connections and {@link
 * Others} the state shared with other generations.
 */
public final class Desk {
    /**
     * On shutdown, new connections may still arrive for 0.4 s and requests for 0.7 s. Idle client connections
     * are closed after this delay in microseconds.
     */
    static final long LEAVE_IDLE_AFTER = 500_000;
    /** Earliest exit after the start of a shutdown, in microseconds. */
    static final long LEAVE_AFTER = 800_000;
    /**
     * Where a local agent holds the endpoint list, its contents bind the router from the start of the
     * process. The list that the process was started with may be outdated, so it is used only once the agent
     * has been silent for this many microseconds.
     */
    static final long AGENT_FIRST = 1_000_000;

    private final Turn turn;
    private final Clients clients;
    private final DiscoveryWatch watch;
    private final Others others;
    private final KnownServers boxes;
    private final Lines lines;
    private final Answers answers;
    private final Tries tries;
    private final Streams streams;
    private final Calls calls;
    /** The module has not been given any server yet, because the agent has not answered. */
    private boolean unheard;
    private boolean leaving;
    private boolean lettingGo;
    private Older older = Older.NONE;
    /** Endpoint lists are sent on to the other processes, one of which stores them. */
    private boolean keeping;
    /** Time limit for open requests after another generation took over, in microseconds. */
    private long letGoUntil;
    private long leaveAt;
    private boolean stopped;

    /** Creates the reducer and the module, which gets its actions. */
    public Desk(Terms terms, Bounds bounds, Counters counters,
            Function<Routing.Actions, Routing.Events> makeModule) {
        this.turn = new Turn(counters);
        this.boxes = new KnownServers(turn::now, terms.coldFor());
        this.clients = new Clients(bounds.clients(), turn::now, turn.timers(), counters, turn::effect);
        this.watch = new DiscoveryWatch(terms, turn::now, turn.timers(), counters, turn::effect,
                this::listFailed);
        this.others = new Others(turn::now, turn.timers(), counters, turn::effect, new Door());
        this.lines = new Lines(turn, bounds.lines(), terms.keepalive(), boxes);
        this.answers = new Answers(turn, terms, bounds, boxes, lines, others);
        this.tries = answers.tries();
        this.streams = new Streams(turn, lines, answers);
        this.calls = new Calls(turn, terms, counters, boxes, () -> answers.open() + others.claims(),
                () -> lettingGo ? "a newer process serves"
                        : older == Older.FINISHES ? "an older process finishes" : unready(),
                this::changedHere);
        turn.module(makeModule.apply(new Collector()));
    }

    /** Handles one event at the given time in microseconds and returns its effects. */
    public List<Effect> reduce(Event event, long time) {
        turn.begin(time);
        run(new Turn.Step(requestOf(event), () -> take(event)));
        for (Turn.Step step = turn.next(); step != null; step = turn.next()) {
            run(step);
        }
        if (leaving && !stopped && answers.none() && !others.claiming() && turn.now() >= leaveAt) {
            stopped = true;
            turn.effect(new Effect.Stop());
        }
        if (lettingGo && !stopped && answers.none() && !others.claiming()
                && (clients.count() == 0 || turn.now() >= letGoUntil)) {
            stopped = true;
            turn.effect(new Effect.Stop());
        }
        return turn.effects();
    }

    /** Returns the time of the next {@link Event.Tick} in microseconds, or Long.MAX_VALUE. */
    public long nextDue() {
        return turn.timers().next();
    }

    /** Returns why a request that arrived now could not be served; empty if it could. */
    public String unready() {
        if (leaving && !lettingGo) {
            return "leaving";
        }
        if (calls.quiesced()) {
            return "quiesced";
        }
        if (older == Older.SERVES) {
            return "an older process serves";
        }
        if (turn.inDoubt()) {
            return "in doubt about what is agreed";
        }
        if (unheard) {
            return "the agent that has the box list has not answered";
        }
        return boxes.all().stream().anyMatch(ModelServer::takesWork) ? "" : "no model box takes work";
    }

    /** Whether an operator has quiesced this router. */
    public boolean quiesced() {
        return calls.quiesced();
    }

    /**
     * Returns the number of entries held for requests, clients, connections and timers. When the router is
     * idle it returns to its value at the start.
     */
    public int kept() {
        return answers.kept() + lines.kept() + boxes.kept() + clients.count() + turn.kept() + others.kept();
    }

    /**
     * Whether the discovery call after a pause of the process is still open. Nothing new should be sent
     * before its answer, which may tell of a drain.
     */
    public boolean catchesUp() {
        return watch.catchesUp();
    }

    /** Whether the router is shutting down. */
    public boolean leaving() {
        return leaving;
    }

    /** Whether another generation accepts new connections and this one only finishes its open requests. */
    public boolean lettingGo() {
        return lettingGo;
    }

    /**
     * Restores when an earlier generation learned of each server's state, by server id. Entries of servers
     * that aren't known are ignored, and so are later times.
     */
    public void recallTold(Map<Long, Long> earlier) {
        boxes.recallTold(earlier);
    }

    /** Returns all operator overrides by server name. */
    public Map<String, BoxMark> marks() {
        return Map.copyOf(boxes.marks());
    }

    /** Returns the state that other generations need so that no request id or attempt is used twice. */
    public Holdings holdings() {
        List<String> ids = answers.names();
        ids.addAll(others.claimed());
        return new Holdings(ids, Tries.sent(answers.all()),
                new EndpointList(watch.version(), true, boxes.told()), watch.address(), boxes.toldAt());
    }

    private void take(Event event) {
        if (event instanceof Event.Piece e) {
            streams.piece(e);
        } else if (event instanceof Event.ClientTook e) {
            streams.clientTook(e);
        } else if (event instanceof Event.Asked e) {
            asked(e);
        } else if (event instanceof Event.Answered e) {
            streams.answered(e);
        } else if (event instanceof Event.AnswerBegan e) {
            streams.answerBegan(e.line());
        } else if (event instanceof Event.AnswerSpoilt e) {
            streams.answerSpoilt(e.line());
        } else if (event instanceof Event.TrySent e) {
            tries.written(e.line());
        } else if (event instanceof Event.NotBegun e) {
            tries.notBegun(e.line());
        } else if (event instanceof Event.LineUp e) {
            tries.lineUp(e.line());
        } else if (event instanceof Event.LineDown e) {
            streams.lineDown(e.line());
        } else if (event instanceof Event.ClientCame e) {
            clients.came(e.client());
        } else if (event instanceof Event.ClientBegan e) {
            clients.began(e.client());
        } else if (event instanceof Event.ClientQuiet e) {
            clients.quiet(e.client());
        } else if (event instanceof Event.ClientLeft e) {
            clients.left(e.client());
            others.clientLeft(e.client()).forEach(a -> answers.ended(a.request(), Ending.FAILED));
            answers.clientLeft(e.client());
        } else if (event instanceof Event.Tick) {
            for (Runnable task = turn.timers().poll(turn.now()); task != null;
                    task = turn.timers().poll(turn.now())) {
                run(new Turn.Step(0, task));
            }
        } else if (event instanceof Event.ListCame e) {
            listCame(e.list());
        } else if (event instanceof Event.LateListCame e) {
            lateListCame(e.list());
        } else if (event instanceof Event.DiscoveryLost) {
            watch.lost();
        } else if (event instanceof Event.ListFailed) {
            listFailed();
        } else if (event instanceof Event.Started e) {
            started(e);
        } else if (event instanceof Event.ListMoved e) {
            watch.move(e.address());
        } else if (event instanceof Event.FromOther e) {
            fromOther(e.who(), e.news());
        } else if (event instanceof Event.Share) {
            turn.effect(new Effect.ShareOut(holdings()));
            others.share();
        } else if (event instanceof Event.Adopt e) {
            adopt(e.who(), e.held());
        } else if (event instanceof Event.OtherGone e) {
            others.gone(e.who()).forEach(token -> otherEnded(e.who(), token));
        } else if (event instanceof Event.LetGo e) {
            letGo(e.limit());
        } else if (event instanceof Event.TakeBack) {
            lettingGo = false;
            clients.hurry(false);
            others.own();
        } else if (event instanceof Event.Marked e) {
            marked(e.marks());
        } else if (event instanceof Event.Leased e) {
            turn.leased(e.until(), e.comeBack());
        } else if (event instanceof Event.Resumed e) {
            watch.resumed(e.stalled());
        } else if (event instanceof Event.ListBehind) {
            watch.askAnew();
        } else if (event instanceof Event.MarkChanged e) {
            boxes.mark(e.box(), e.mark());
            changedHere();
        } else if (event instanceof Event.Beside e) {
            older = e.older();
        } else if (event instanceof Event.Keeping) {
            keeping = true;
        } else if (event instanceof Event.Called e) {
            calls.called(e, leaving);
        } else if (event instanceof Event.Leave) {
            leave();
        }
    }

    /**
     * Runs one step. An exception must affect only the request it belongs to: it is logged and counted, and
     * that request is answered with a failure.
     */
    private void run(Turn.Step step) {
        try {
            step.task().run();
        } catch (RuntimeException e) {
            turn.count("faults");
            StackTraceElement[] trace = e.getStackTrace();
            turn.log("fault: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
            Owed o = answers.get(step.request());
            if (o != null && !o.over) {
                answers.failOurselves(o, Outcome.CANCELLED);
            }
        }
    }

    private long requestOf(Event event) {
        if (event instanceof Event.Asked e) {
            Owed o = answers.ofClient(e.client());
            return o == null ? 0 : o.id;
        }
        Line line = event instanceof Event.Piece p ? lines.get(p.line())
                : event instanceof Event.Answered a ? lines.get(a.line())
                : event instanceof Event.LineUp u ? lines.get(u.line())
                : event instanceof Event.LineDown d ? lines.get(d.line()) : null;
        return line != null && line.current != null ? line.current.owed.id : 0;
    }

    /**
     * Queues the module's actions until the current step is over, so that the module is never called from
     * within one of its own calls.
     */
    private final class Collector implements Routing.Actions {
        @Override
        public void send(long requestId, long replicaId, long timeout) {
            turn.ask(requestId, () -> {
                Owed o = answers.get(requestId);
                if (o == null || o.over) {
                    turn.count("tries.for_nothing");
                } else {
                    tries.send(o, replicaId, timeout);
                }
            });
        }

        @Override
        public void cancel(long requestId, int attempt) {
            turn.ask(requestId, () -> {
                Owed o = answers.get(requestId);
                if (o != null) {
                    tries.cancel(o, attempt);
                }
            });
        }

        @Override
        public void refuse(long requestId, long retryAfter) {
            turn.ask(requestId, () -> answers.refuse(requestId, retryAfter));
        }

        @Override
        public void fail(long requestId) {
            turn.ask(requestId, () -> {
                Owed o = answers.get(requestId);
                if (o != null) {
                    answers.fail(o, Outcome.CANCELLED);
                }
            });
        }

        @Override
        public void followList() {
            turn.ask(0, watch::follow);
        }

        @Override
        public void wakeAt(long time, int token) {
            turn.at(time, () -> turn.tell(0, m -> m.woken(turn.now(), token)));
        }

        @Override
        public void log(String line) {
            turn.log(line);
        }
    }

    private void asked(Event.Asked e) {
        turn.count("requests.taken");
        clients.asked(e.client());
        ModelRequest r = e.request();
        if (answers.open(r.id()) || others.holds(r.id())) {
            answers.twin(e);
        } else if (turn.inDoubt()) {
            turn.count("answers.refused_in_doubt");
            turnAway(e, turn.comeBack());
        } else if (others.asking()) {
            others.claim(e);
        } else {
            answers.admit(e, 0);
        }
    }

    /** Refuses a request that the module has not been told of. */
    private void turnAway(Event.Asked e, long comeBack) {
        turn.count("answers.refused");
        answers.ended(e.request(), Ending.REJECTED);
        turn.effect(new Effect.Refuse(e.client(), comeBack));
    }

    // ---- endpoint list

    private void started(Event.Started e) {
        EndpointList known = e.known();
        watch.begin(e.listAddress(), known.version());
        boxes.keep(known);
        turn.tell(0, m -> m.started(turn.now()));
        unheard = watch.pushed();
        if (unheard) {
            turn.at(turn.now() + AGENT_FIRST, this::heard);
        } else {
            turn.tell(0, m -> m.listReceived(turn.now(), ListKind.CACHED, replicas(boxes.over(known))));
        }
    }

    /** From now on the module is told of the known servers. */
    private void heard() {
        if (unheard) {
            unheard = false;
            changedHere();
        }
    }

    private void listCame(EndpointList list) {
        if (watch.follows(list)) {
            take(list);
            if (watch.came(list)) {
                tellModule(list);
            }
            return;
        }
        // The list is treated as a change to the held one: a server that it does not contain may only be
        // missing from a discovery replica that lags behind.
        EndpointList endings = new EndpointList(watch.version(), false,
                boxes.endingsIn(list, Routing.Lifecycle.DRAINING));
        take(endings);
        watch.cameOlder(list);
        tellModule(endings);
    }

    /**
     * Handles the answer to a call that was set aside. What discovery has answered counts as known, although
     * the watch has moved on to another call.
     */
    private void lateListCame(EndpointList list) {
        turn.count("list.late_answers");
        if (list.version() > watch.version() && watch.follows(list)) {
            take(list);
            tellModule(list);
        }
    }

    private void take(EndpointList list) {
        if (others.any() || keeping) {
            turn.effect(new Effect.TellOthers(new OtherNews.Told(list, watch.address())));
        }
        boxes.keep(list);
        lines.closeIdleToLeavers();
        heard();
    }

    private void tellModule(EndpointList list) {
        turn.tell(0, m -> m.listReceived(turn.now(), list.full() ? ListKind.FULL : ListKind.DELTA,
                replicas(boxes.over(list))));
    }

    /**
     * Operator overrides take effect at once, whatever the list contains and whether or not discovery
     * responds.
     */
    private void marked(Map<String, BoxMark> marks) {
        boxes.mark(marks);
        changedHere();
    }

    /**
     * Tells the module of servers that changed without a new list from discovery. They are reported as a
     * cached list: the module would take a full list as proof that the watch is running, and in a generation
     * that has not called discovery yet it would never start one.
     */
    private void changedHere() {
        lines.closeIdleToLeavers();
        if (unheard) {
            return;
        }
        EndpointList all = new EndpointList(watch.version(), true, List.copyOf(boxes.all()));
        turn.tell(0, m -> m.listReceived(turn.now(), ListKind.CACHED, replicas(all)));
    }

    /**
     * Where discovery is polled, the module decides when to call again: it backs off while discovery is down.
     */
    private void listFailed() {
        if (watch.failed()) {
            turn.tell(0, m -> m.listReceived(turn.now(), ListKind.FAILED, List.of()));
        }
    }

    private static List<Routing.Replica> replicas(EndpointList list) {
        return list.boxes().stream().map(ModelServer::replica).toList();
    }

    // ---- other generations

    private final class Door implements Others.Door {
        @Override
        public void admit(Event.Asked asked, long waited) {
            answers.admit(asked, waited);
        }

        @Override
        public void twin(Event.Asked asked) {
            answers.twin(asked);
        }

        @Override
        public void turnAway(Event.Asked asked) {
            Desk.this.turnAway(asked, 0);
        }
    }

    private void fromOther(int who, OtherNews news) {
        if (news instanceof OtherNews.Claim n) {
            others.claimedBy(who, n, answers.open(n.id()));
        } else if (news instanceof OtherNews.Claimed n) {
            others.answered(n);
        } else if (news instanceof OtherNews.Released n) {
            others.released(who, n.id());
        } else if (news instanceof OtherNews.Sent n) {
            others.sent(who, n.token());
            turn.tell(0, m -> m.otherSent(turn.now(), who + "/" + n.token(), n.box()));
        } else if (news instanceof OtherNews.Ended n) {
            others.ended(who, n.token());
            otherEnded(who, n.token());
        } else if (news instanceof OtherNews.Told n) {
            toldByOther(n.list(), n.address());
        }
    }

    private void otherEnded(int who, long token) {
        turn.tell(0, m -> m.otherEnded(turn.now(), who + "/" + token));
    }

    private void adopt(int who, Holdings held) {
        others.gone(who).forEach(token -> otherEnded(who, token));
        others.adopt(who, held);
        for (OtherNews.Sent sent : held.out()) {
            turn.tell(0, m -> m.otherSent(turn.now(), who + "/" + sent.token(), sent.box()));
        }
        toldByOther(held.boxes(), held.listAddress());
    }

    /**
     * Applies the drains and removals in a list that another generation received, so that all generations
     * keep a drain. Only changes that end the use of a server are taken, and only from newer list versions;
     * this generation's own watch continues at its version and delivers the rest.
     */
    private void toldByOther(EndpointList list, String address) {
        if (!address.equals(watch.address()) || list.version() <= watch.version()) {
            return;
        }
        List<ModelServer> ending = boxes.endingsIn(list, Routing.Lifecycle.GONE);
        if (!ending.isEmpty()) {
            boxes.keep(new EndpointList(watch.version(), false, ending));
            changedHere();
        }
    }

    /**
     * Another generation took over: client connections are closed between requests, and open requests may
     * finish until the time limit.
     */
    private void letGo(long limit) {
        lettingGo = true;
        letGoUntil = turn.now() + limit;
        clients.hurry(true);
        long until = letGoUntil;
        turn.at(until, () -> {
            if (lettingGo && letGoUntil == until) {
                List.copyOf(answers.all()).forEach(o -> {
                    turn.count("answers.over_the_limit");
                    answers.failOurselves(o, Outcome.CANCELLED);
                });
            }
        });
    }

    // ---- shutdown

    /**
     * Starts the shutdown. The router still serves for a while: new connections arrive, and accepted requests
     * must be answered.
     */
    private void leave() {
        if (!leaving) {
            leaving = true;
            leaveAt = turn.now() + LEAVE_AFTER;
            turn.log("leaving");
            turn.at(turn.now() + LEAVE_IDLE_AFTER, () -> turn.effect(new Effect.CloseIdleClients()));
            turn.at(leaveAt, () -> { });
        }
    }
}
