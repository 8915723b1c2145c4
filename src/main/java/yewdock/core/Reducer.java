package yewdock.core;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import umberspread.Routing;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;

/**
 * The core: everything that the router knows and owes, and the only place where that changes. One event at
 * a time goes into {@link #reduce}, and what must be done about it comes out. It does no I/O, reads no clock
 * and knows nothing of HTTP. Which box a request goes to is the module's choice; the desk keeps the rules
 * of carrying it out.
 *
 * <p>It deals events out to its parts: {@link Answers} owes clients, {@link Tries} and {@link Streams} carry
 * requests out, {@link Lines} are the connections to boxes, {@link DiscoveryWatch} watches the list,
 * {@link Clients} keeps connections at rest and {@link Others} the router's other processes in mind.
 */
public final class Reducer {
    /** After being told to leave: new connections still come for 0.4 s, and requests count for 0.7 s. */
    static final long LEAVE_IDLE_AFTER = 500_000;
    static final long LEAVE_AFTER = 800_000;
    /**
     * What an agent on this machine has counts as told from a process's first moment: the list that the
     * process was started with, which may be old, is not acted on before the agent has answered, or has
     * been silent so long.
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
    /** Whether the module has yet to be told of any box, since the agent has not answered. */
    private boolean unheard;
    private boolean isShuttingDown;
    private boolean isHandedOver;
    private OlderGeneration older = OlderGeneration.NONE;
    /** What the list tells is told on, to be kept. */
    private boolean keeping;
    private long letGoUntil;
    private long leaveAt;
    private boolean stopped;

    /** Makes the desk and, with the actions that it gives, the module. */
    public Reducer(CoreSettings terms, ResourceLimits bounds, Counters counters,
            Function<Routing.Actions, Routing.Events> makeModule) {
        this.turn = new Turn(counters);
        this.boxes = new KnownServers(turn::now, terms.maxColdMicros());
        this.clients = new Clients(bounds.maxClientConnections(), turn::now, turn.timers(), counters,
                turn::effect);
        this.watch = new DiscoveryWatch(terms, turn::now, turn.timers(), counters, turn::effect,
                this::listFailed);
        this.others = new Others(turn::now, turn.timers(), counters, turn::effect, new Door());
        this.lines = new Lines(turn, bounds.maxServerConnections(), terms.keepaliveMicros(), boxes);
        this.answers = new Answers(turn, terms, bounds, boxes, lines, others);
        this.tries = answers.tries();
        this.streams = new Streams(turn, lines, answers);
        this.calls = new Calls(turn, terms, counters, boxes, () -> answers.open() + others.claims(),
                () -> isHandedOver ? "a newer process serves"
                        : older == OlderGeneration.FINISHING ? "an older process finishes" : notReadyReason(),
                this::changedHere);
        turn.module(makeModule.apply(new Collector()));
    }

    /** Takes one event and tells what to do about it. */
    public List<Effect> reduce(Event event, long time) {
        turn.begin(time);
        run(new Turn.Step(requestOf(event), () -> take(event)));
        for (Turn.Step step = turn.next(); step != null; step = turn.next()) {
            run(step);
        }
        if (isShuttingDown && !stopped && answers.none() && !others.claiming() && turn.now() >= leaveAt) {
            stopped = true;
            turn.effect(new Effect.Stop());
        }
        if (isHandedOver && !stopped && answers.none() && !others.claiming()
                && (clients.count() == 0 || turn.now() >= letGoUntil)) {
            stopped = true;
            turn.effect(new Effect.Stop());
        }
        return turn.effects();
    }

    /** When the next {@link Event.Tick} is due. */
    public long nextTimerDue() {
        return turn.timers().next();
    }

    /** Why a request that came now could not be served; empty if it could. */
    public String notReadyReason() {
        if (isShuttingDown && !isHandedOver) {
            return "leaving";
        }
        if (calls.quiesced()) {
            return "quiesced";
        }
        if (older == OlderGeneration.SERVING) {
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

    /** Whether an operator has told it to send clients away. */
    public boolean isQuiesced() {
        return calls.quiesced();
    }

    /** How much is kept of requests, clients, lines and times to come: at rest, as much as at the start. */
    public int retainedEntries() {
        return answers.kept() + lines.kept() + boxes.kept() + clients.count() + turn.kept() + others.kept();
    }

    /** Whether discovery is asked for what a pause may have hidden: nothing new should go out before that. */
    public boolean isCatchingUp() {
        return watch.catchesUp();
    }

    public boolean isShuttingDown() {
        return isShuttingDown;
    }

    /** Whether another generation serves new connections, and this one only finishes. */
    public boolean isHandedOver() {
        return isHandedOver;
    }

    /** When an earlier generation was told of the boxes' states; what is known already stands. */
    public void restoreToldAt(Map<Long, Long> earlier) {
        boxes.recallTold(earlier);
    }

    /** All that operators have said of boxes, by their names. */
    public Map<String, OperatorOverride> operatorOverrides() {
        return Map.copyOf(boxes.marks());
    }

    /** What this generation holds that no other may double. */
    public GenerationState generationState() {
        List<String> ids = answers.names();
        ids.addAll(others.claimed());
        return new GenerationState(ids, Tries.sent(answers.all()),
                new EndpointList(watch.version(), true, boxes.told()), watch.address(), boxes.toldAt());
    }

    private void take(Event event) {
        if (event instanceof Event.ResponseChunk e) {
            streams.piece(e);
        } else if (event instanceof Event.ClientBytesWritten e) {
            streams.clientTook(e);
        } else if (event instanceof Event.RequestReceived e) {
            asked(e);
        } else if (event instanceof Event.ResponseCompleted e) {
            streams.answered(e);
        } else if (event instanceof Event.ResponseStarted e) {
            streams.answerBegan(e.connection());
        } else if (event instanceof Event.ResponseMalformed e) {
            streams.answerSpoilt(e.connection());
        } else if (event instanceof Event.AttemptWritten e) {
            tries.written(e.connection());
        } else if (event instanceof Event.AttemptNotStarted e) {
            tries.notBegun(e.connection());
        } else if (event instanceof Event.ServerConnected e) {
            tries.lineUp(e.connection());
        } else if (event instanceof Event.ServerDisconnected e) {
            streams.lineDown(e.connection());
        } else if (event instanceof Event.ClientConnected e) {
            clients.came(e.client());
        } else if (event instanceof Event.ClientRequestStarted e) {
            clients.began(e.client());
        } else if (event instanceof Event.ClientIdle e) {
            clients.quiet(e.client());
        } else if (event instanceof Event.ClientDisconnected e) {
            clients.left(e.client());
            others.clientLeft(e.client()).forEach(a -> answers.ended(a.request(), Ending.FAILED));
            answers.clientLeft(e.client());
        } else if (event instanceof Event.Tick) {
            for (Runnable task = turn.timers().poll(turn.now()); task != null;
                    task = turn.timers().poll(turn.now())) {
                run(new Turn.Step(0, task));
            }
        } else if (event instanceof Event.EndpointListReceived e) {
            listCame(e.list());
        } else if (event instanceof Event.LateEndpointListReceived e) {
            lateListCame(e.list());
        } else if (event instanceof Event.DiscoveryConnectionLost) {
            watch.lost();
        } else if (event instanceof Event.DiscoveryCallFailed) {
            listFailed();
        } else if (event instanceof Event.Started e) {
            started(e);
        } else if (event instanceof Event.DiscoveryAddressChanged e) {
            watch.move(e.address());
        } else if (event instanceof Event.GenerationMessageReceived e) {
            fromOther(e.generation(), e.message());
        } else if (event instanceof Event.HandoverStarted) {
            turn.effect(new Effect.SendGenerationState(generationState()));
            others.share();
        } else if (event instanceof Event.GenerationStateReceived e) {
            adopt(e.generation(), e.state());
        } else if (event instanceof Event.GenerationGone e) {
            others.gone(e.generation()).forEach(token -> otherEnded(e.generation(), token));
        } else if (event instanceof Event.HandedOver e) {
            letGo(e.limitMicros());
        } else if (event instanceof Event.HandoverAborted) {
            isHandedOver = false;
            clients.hurry(false);
            others.own();
        } else if (event instanceof Event.OverridesReplaced e) {
            marked(e.overrides());
        } else if (event instanceof Event.LeaseGranted e) {
            turn.leased(e.untilMicros(), e.retryAfterMicros());
        } else if (event instanceof Event.ProcessResumed e) {
            watch.resumed(e.pausedMicros());
        } else if (event instanceof Event.EndpointListOutdated) {
            watch.askAnew();
        } else if (event instanceof Event.OverrideChanged e) {
            boxes.mark(e.server(), e.override());
            changedHere();
        } else if (event instanceof Event.OlderGenerationChanged e) {
            older = e.older();
        } else if (event instanceof Event.EndpointListRelayEnabled) {
            keeping = true;
        } else if (event instanceof Event.OperatorCommandReceived e) {
            calls.called(e, isShuttingDown);
        } else if (event instanceof Event.ShutdownRequested) {
            leave();
        }
    }

    /** One request's fault must not stop the others: it is logged, counted, and the request answered. */
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
        if (event instanceof Event.RequestReceived e) {
            Owed o = answers.ofClient(e.client());
            return o == null ? 0 : o.id;
        }
        Line line = event instanceof Event.ResponseChunk p ? lines.get(p.connection())
                : event instanceof Event.ResponseCompleted a ? lines.get(a.connection())
                : event instanceof Event.ServerConnected u ? lines.get(u.connection())
                : event instanceof Event.ServerDisconnected d ? lines.get(d.connection()) : null;
        return line != null && line.current != null ? line.current.owed.id : 0;
    }

    /** Keeps what the module asks for until its event is over: it must not be called from inside itself. */
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
        public void watchEndpointList() {
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

    private void asked(Event.RequestReceived e) {
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

    /** Refuses a request that the module has not heard of. */
    private void turnAway(Event.RequestReceived e, long comeBack) {
        turn.count("answers.refused");
        answers.ended(e.request(), Ending.REJECTED);
        turn.effect(new Effect.Refuse(e.client(), comeBack));
    }

    // ---- the box list

    private void started(Event.Started e) {
        EndpointList known = e.endpointList();
        watch.begin(e.discoveryAddress(), known.version());
        boxes.keep(known);
        turn.tell(0, m -> m.started(turn.now()));
        unheard = watch.pushed();
        if (unheard) {
            turn.at(turn.now() + AGENT_FIRST, this::heard);
        } else {
            turn.tell(0, m -> m.listReceived(turn.now(), ListKind.CACHED, replicas(boxes.over(known))));
        }
    }

    /** From now on the module acts on what is known. */
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
        // as a change to the held list; a server that it does not name may only be unknown to a replica
        EndpointList endings = new EndpointList(watch.version(), false,
                boxes.endingsIn(list, Routing.Lifecycle.DRAINING));
        take(endings);
        watch.cameOlder(list);
        tellModule(endings);
    }

    /** What discovery has written counts as told, though the watch goes on elsewhere by now. */
    private void lateListCame(EndpointList list) {
        turn.count("list.late_answers");
        if (list.version() > watch.version() && watch.follows(list)) {
            take(list);
            tellModule(list);
        }
    }

    private void take(EndpointList list) {
        if (others.any() || keeping) {
            turn.effect(new Effect.SendToGenerations(new GenerationMessage.EndpointListRelayed(list,
                    watch.address())));
        }
        boxes.keep(list);
        lines.closeIdleToLeavers();
        heard();
    }

    private void tellModule(EndpointList list) {
        turn.tell(0, m -> m.listReceived(turn.now(), list.full() ? ListKind.FULL : ListKind.DELTA,
                replicas(boxes.over(list))));
    }

    /** An operator's word acts at once, whatever the list says and whether or not it answers. */
    private void marked(Map<String, OperatorOverride> marks) {
        boxes.mark(marks);
        changedHere();
    }

    /**
     * The boxes have changed without an answer of the list's. As one it would make the module believe that it
     * watches the list already, and a generation that has not asked yet never would.
     */
    private void changedHere() {
        lines.closeIdleToLeavers();
        if (unheard) {
            return;
        }
        EndpointList all = new EndpointList(watch.version(), true, List.copyOf(boxes.all()));
        turn.tell(0, m -> m.listReceived(turn.now(), ListKind.CACHED, replicas(all)));
    }

    /** Where the list is asked, the module decides when to call again: it backs off while it is down. */
    private void listFailed() {
        if (watch.failed()) {
            turn.tell(0, m -> m.listReceived(turn.now(), ListKind.FAILED, List.of()));
        }
    }

    private static List<Routing.ServerState> replicas(EndpointList list) {
        return list.servers().stream().map(ModelServer::replica).toList();
    }

    // ---- other generations

    private final class Door implements Others.Door {
        @Override
        public void admit(Event.RequestReceived asked, long waited) {
            answers.admit(asked, waited);
        }

        @Override
        public void twin(Event.RequestReceived asked) {
            answers.twin(asked);
        }

        @Override
        public void turnAway(Event.RequestReceived asked) {
            Reducer.this.turnAway(asked, 0);
        }
    }

    private void fromOther(int who, GenerationMessage news) {
        if (news instanceof GenerationMessage.Claim n) {
            others.claimedBy(who, n, answers.open(n.id()));
        } else if (news instanceof GenerationMessage.ClaimAnswer n) {
            others.answered(n);
        } else if (news instanceof GenerationMessage.RequestReleased n) {
            others.released(who, n.id());
        } else if (news instanceof GenerationMessage.AttemptSent n) {
            others.sent(who, n.token());
            turn.tell(0, m -> m.otherGenerationSent(turn.now(), who + "/" + n.token(), n.server()));
        } else if (news instanceof GenerationMessage.AttemptEnded n) {
            others.ended(who, n.token());
            otherEnded(who, n.token());
        } else if (news instanceof GenerationMessage.EndpointListRelayed n) {
            toldByOther(n.list(), n.discoveryAddress());
        }
    }

    private void otherEnded(int who, long token) {
        turn.tell(0, m -> m.otherGenerationEnded(turn.now(), who + "/" + token));
    }

    private void adopt(int who, GenerationState held) {
        others.gone(who).forEach(token -> otherEnded(who, token));
        others.adopt(who, held);
        for (GenerationMessage.AttemptSent sent : held.attemptsInFlight()) {
            turn.tell(0, m -> m.otherGenerationSent(turn.now(), who + "/" + sent.token(), sent.server()));
        }
        toldByOther(held.endpointList(), held.discoveryAddress());
    }

    /**
     * A drain told to one generation is kept by all at once. Only what ends work at a box is taken up, and
     * only news: this generation's own watch goes on from where it stands, and tells the rest.
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

    /** Clients are led away between requests; what is open runs to its end, or to the limit. */
    private void letGo(long limit) {
        isHandedOver = true;
        letGoUntil = turn.now() + limit;
        clients.hurry(true);
        long until = letGoUntil;
        turn.at(until, () -> {
            if (isHandedOver && letGoUntil == until) {
                List.copyOf(answers.all()).forEach(o -> {
                    turn.count("answers.over_the_limit");
                    answers.failOurselves(o, Outcome.CANCELLED);
                });
            }
        });
    }

    // ---- leaving

    /** Serving goes on: new connections come for a while, and what was taken is still owed its answer. */
    private void leave() {
        if (!isShuttingDown) {
            isShuttingDown = true;
            leaveAt = turn.now() + LEAVE_AFTER;
            turn.log("leaving");
            turn.at(turn.now() + LEAVE_IDLE_AFTER, () -> turn.effect(new Effect.CloseIdleClients()));
            turn.at(leaveAt, () -> { });
        }
    }
}
