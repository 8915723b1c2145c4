package yewdock.desk;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import umberspread.Routing;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;

/**
 * The core: everything that the router knows and owes, and the only place where that changes. One event at
 * a time goes into {@link #reduce}, and what must be done about it comes out. It does no I/O, reads no clock
 * and knows nothing of HTTP. Which box a request goes to is the module's choice; the desk keeps the rules
 * of carrying it out.
 */
public final class Desk {
    /** When this part of the lines is taken, idle ones are closed before others are opened. */
    private static final double FULL_PART = 0.75;
    /** A line idle for this part of the keepalive is closed: a box closing it might cross a try. */
    private static final double KEEP_PART = 0.8;
    /** A stream silent for so long is taken for broken: its client counts as lost after 5 s. */
    static final long SILENCE = 4_500_000;
    /** A stream must have begun so long after its head's first byte: else it is spoilt. */
    static final long OPENING = 500_000;
    /** A line takes another try only so long after its last: a second answer may come right after one. */
    static final long SETTLE = 50_000;
    /** A client that takes nothing for so long is cut off, for its stream holds a box's line. */
    static final long STALL = 30_000_000;
    /** So much may wait for a slow client before its box is no longer read; at so little it goes on. */
    static final int MOST_UNSENT = 64 * 1024;
    static final int FEW_UNSENT = 16 * 1024;
    /** If the module has given no final answer so long after the deadline, the desk does. */
    private static final long ANSWER_SLACK = 10_000;
    /** After being told to leave: new connections still come for 0.4 s, and requests count for 0.7 s. */
    static final long LEAVE_IDLE_AFTER = 500_000;
    static final long LEAVE_AFTER = 800_000;

    private final long connectTimeout;
    private final long idleFor;
    private final Routing.Events module;
    private final Counters counters;
    private final Bounds bounds;
    private final Timers timers = new Timers();
    private final Clients clients;
    private final ListWatch watch;
    private final Others others;
    private final KnownBoxes boxes;
    private final Map<Long, Owed> owed = new HashMap<>();
    private final Map<Long, Owed> ofClient = new HashMap<>();
    /** By the clients' own ids: two requests of one id must never be out together. */
    private final Map<String, Owed> byName = new HashMap<>();
    private final Map<Long, Line> lines = new HashMap<>();
    private final Map<Long, Deque<Line>> idle = new HashMap<>();
    /** What the module is to be told, and what it has asked for: neither happens inside the other. */
    private final Deque<Step> tellings = new ArrayDeque<>();
    private final Deque<Step> askings = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();
    private long now;
    private long lastRequest;
    private long lastLine;
    private int heldBytes;
    private boolean leaving;
    private boolean lettingGo;
    /** What the list tells is told on, to be kept. */
    private boolean keeping;
    private long letGoUntil;
    private long leaveAt;
    private boolean stopped;

    /** Something to do for a request (0: none), so that a fault in it is known to be that request's. */
    private record Step(long request, Runnable task) {
    }

    /** A request taken from a client, until it has its final answer and no try of it is out. */
    private static final class Owed {
        private final long id;
        private final String name;
        private final long client;
        private final int size;
        private final long deadline;
        private int tries;
        private Try out;
        private Try next;
        private boolean over;
        private boolean begun;
        private int unsent;
        private long tookAt;

        Owed(long id, String name, long client, int size, long deadline) {
            this.id = id;
            this.name = name;
            this.client = client;
            this.size = size;
            this.deadline = deadline;
        }
    }

    /** One sending of a request to a box. */
    private static final class Try {
        private final Owed owed;
        private final int number;
        private final long box;
        private final long timeout;
        private final long sentAt;
        private long until;
        private Line line;
        private boolean written;
        private boolean begun;
        private long lastPieceAt;
        /** Not null once the line is being closed: what the try then ends as. */
        private Outcome closingAs;

        Try(Owed owed, long box, long timeout, long sentAt) {
            this.owed = owed;
            this.number = owed.tries++;
            this.box = box;
            this.timeout = timeout;
            this.sentAt = sentAt;
        }
    }

    /** A connection to a box. It carries one try at a time. */
    private static final class Line {
        private final long id;
        private final ModelBox box;
        private boolean up;
        private boolean closing;
        private boolean held;
        private Try current;
        private long idleSince;

        Line(long id, ModelBox box) {
            this.id = id;
            this.box = box;
        }
    }

    /** Makes the desk and, with the actions that it gives, the module. */
    public Desk(long connectTimeout, long keepalive, Bounds bounds, Counters counters,
            Function<Routing.Actions, Routing.Events> makeModule) {
        this.connectTimeout = connectTimeout;
        this.idleFor = (long) (keepalive * KEEP_PART);
        this.bounds = bounds;
        this.counters = counters;
        this.boxes = new KnownBoxes(() -> now);
        this.clients = new Clients(bounds.clients(), () -> now, timers, counters,
                effect -> effects.add(effect));
        this.watch = new ListWatch(() -> now, timers, counters, effect -> effects.add(effect),
                this::listFailed);
        this.others = new Others(() -> now, timers, counters, effect -> effects.add(effect), new Door());
        this.module = makeModule.apply(new Collector());
    }

    /** Takes one event and tells what to do about it. */
    public List<Effect> reduce(Event event, long time) {
        now = Math.max(now, time);
        effects = new ArrayList<>();
        run(new Step(requestOf(event), () -> take(event)));
        settle();
        if (leaving && !stopped && owed.isEmpty() && now >= leaveAt) {
            stopped = true;
            effects.add(new Effect.Stop());
        }
        if (lettingGo && !stopped && owed.isEmpty() && !others.claiming()
                && (clients.count() == 0 || now >= letGoUntil)) {
            stopped = true;
            effects.add(new Effect.Stop());
        }
        return effects;
    }

    /** When the next {@link Event.Tick} is due. */
    public long nextDue() {
        return timers.next();
    }

    /** Whether a request that came now could be served. */
    public boolean ready() {
        return !leaving && boxes.all().stream().anyMatch(ModelBox::takesWork);
    }

    /** How much is kept of requests, clients, lines and times to come: at rest, as much as at the start. */
    public int kept() {
        return owed.size() + ofClient.size() + byName.size() + lines.size() + idle.size() + boxes.kept()
                + clients.count() + timers.size() + tellings.size() + askings.size() + others.kept();
    }

    public boolean leaving() {
        return leaving;
    }

    /** Whether another generation serves new connections, and this one only finishes. */
    public boolean lettingGo() {
        return lettingGo;
    }

    /** When an earlier generation was told of the boxes' states; what is known already stands. */
    public void recallTold(Map<Long, Long> earlier) {
        boxes.recallTold(earlier);
    }

    /** What this generation holds that no other may double. */
    public Holdings holdings() {
        List<String> ids = new ArrayList<>(byName.keySet());
        ids.addAll(others.claimed());
        List<OtherNews.Sent> out = new ArrayList<>();
        for (Owed o : owed.values()) {
            if (o.out != null) {
                out.add(new OtherNews.Sent(o.id, o.out.box));
            }
        }
        return new Holdings(ids, out, new BoxList(watch.version(), true, boxes.told()),
                watch.address(), boxes.toldAt());
    }

    private void take(Event event) {
        if (event instanceof Event.Piece e) {
            piece(e);
        } else if (event instanceof Event.ClientTook e) {
            clientTook(e);
        } else if (event instanceof Event.Asked e) {
            asked(e);
        } else if (event instanceof Event.Answered e) {
            answered(e);
        } else if (event instanceof Event.AnswerBegan e) {
            answerBegan(e);
        } else if (event instanceof Event.AnswerSpoilt e) {
            answerSpoilt(e);
        } else if (event instanceof Event.TrySent e) {
            trySent(e);
        } else if (event instanceof Event.LineUp e) {
            lineUp(e);
        } else if (event instanceof Event.LineDown e) {
            lineDown(e);
        } else if (event instanceof Event.ClientCame e) {
            clients.came(e.client());
        } else if (event instanceof Event.ClientBegan e) {
            clients.began(e.client());
        } else if (event instanceof Event.ClientQuiet e) {
            clients.quiet(e.client());
        } else if (event instanceof Event.ClientLeft e) {
            clientLeft(e);
        } else if (event instanceof Event.Tick) {
            for (Runnable task = timers.poll(now); task != null; task = timers.poll(now)) {
                run(new Step(0, task));
            }
        } else if (event instanceof Event.ListCame e) {
            listCame(e.list());
        } else if (event instanceof Event.ListFailed) {
            listFailed();
        } else if (event instanceof Event.Started e) {
            started(e);
        } else if (event instanceof Event.ListMoved e) {
            watch.move(e.address());
        } else if (event instanceof Event.FromOther e) {
            fromOther(e.who(), e.news());
        } else if (event instanceof Event.Share) {
            effects.add(new Effect.ShareOut(holdings()));
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
        } else if (event instanceof Event.Keeping) {
            keeping = true;
        } else if (event instanceof Event.Leave) {
            leave();
        }
    }

    // ---- the module, told and asked by turns

    private void settle() {
        while (!tellings.isEmpty() || !askings.isEmpty()) {
            run(askings.isEmpty() ? tellings.poll() : askings.poll());
        }
    }

    /** One request's fault must not stop the others: it is logged, counted, and the request answered. */
    private void run(Step step) {
        try {
            step.task.run();
        } catch (RuntimeException e) {
            counters.add("faults");
            StackTraceElement[] trace = e.getStackTrace();
            log("fault: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
            Owed o = owed.get(step.request);
            if (o != null && !o.over) {
                failNow(o, Outcome.CANCELLED);
                tell(o.id, () -> module.requestGone(now, o.id));
            }
        }
    }

    private void tell(long request, Runnable task) {
        tellings.add(new Step(request, task));
    }

    private long requestOf(Event event) {
        if (event instanceof Event.Asked e) {
            return ofClient.containsKey(e.client()) ? ofClient.get(e.client()).id : 0;
        }
        Line line = event instanceof Event.Piece p ? lines.get(p.line())
                : event instanceof Event.Answered a ? lines.get(a.line())
                : event instanceof Event.LineUp u ? lines.get(u.line())
                : event instanceof Event.LineDown d ? lines.get(d.line()) : null;
        return line != null && line.current != null ? line.current.owed.id : 0;
    }

    /** Keeps what the module asks for until its event is over: it must not be called from inside itself. */
    private final class Collector implements Routing.Actions {
        @Override
        public void send(long requestId, long replicaId, long timeout) {
            askings.add(new Step(requestId, () -> sendTry(requestId, replicaId, timeout)));
        }

        @Override
        public void cancel(long requestId, int attempt) {
            askings.add(new Step(requestId, () -> cancelTry(requestId, attempt)));
        }

        @Override
        public void refuse(long requestId, long retryAfter) {
            askings.add(new Step(requestId, () -> refuseRequest(requestId, retryAfter)));
        }

        @Override
        public void fail(long requestId) {
            askings.add(new Step(requestId, () -> {
                Owed o = owed.get(requestId);
                if (o != null) {
                    failNow(o, Outcome.CANCELLED);
                }
            }));
        }

        @Override
        public void followList() {
            askings.add(new Step(0, watch::follow));
        }

        @Override
        public void wakeAt(long time, int token) {
            timers.at(time, () -> tell(0, () -> module.woken(now, token)));
        }

        @Override
        public void log(String line) {
            Desk.this.log(line);
        }
    }

    private void log(String line) {
        effects.add(new Effect.Log(line));
    }

    // ---- requests

    private void asked(Event.Asked e) {
        counters.add("requests.taken");
        clients.asked(e.client());
        ModelRequest r = e.request();
        if (byName.containsKey(r.id()) || others.holds(r.id())) {
            twin(e);
        } else if (others.asking()) {
            others.claim(e);
        } else {
            admit(e, 0);
        }
    }

    private void twin(Event.Asked e) {
        counters.add("answers.twin");
        effects.add(new Effect.TurnDownTwin(e.client()));
    }

    /** Takes a request that has waited so long to be taken. */
    private void admit(Event.Asked e, long waited) {
        ModelRequest r = e.request();
        if (owed.size() >= bounds.requests() || heldBytes + r.size() > bounds.bytes()) {
            counters.add("answers.refused_for_room");
            effects.add(new Effect.Refuse(e.client(), 0));
            release(r.id());
            return;
        }
        long patience = Math.max(0, r.patience() - waited);
        Owed o = new Owed(++lastRequest, r.id(), e.client(), r.size(), now + patience);
        heldBytes += o.size;
        owed.put(o.id, o);
        byName.put(o.name, o);
        ofClient.put(o.client, o);
        timers.at(o.deadline + ANSWER_SLACK, () -> overdue(o));
        tell(o.id, () -> module.requestArrived(now, new Routing.Request(o.id, r.requestClass(),
                r.municipality(), r.repeat(), r.session(), r.sharedBeginning(), r.promptTokens(),
                r.beginningTokens(), r.mostTokens(), patience)));
    }

    private void clientLeft(Event.ClientLeft e) {
        clients.left(e.client());
        others.clientLeft(e.client());
        Owed o = ofClient.get(e.client());
        if (o != null) {
            counters.add(o.begun ? "answers.left_midway" : "answers.left_before");
            giveUp(o);
        }
    }

    /** The request is over without the module's doing. */
    private void giveUp(Owed o) {
        finish(o);
        tell(o.id, () -> module.requestGone(now, o.id));
        if (o.out != null) {
            hangUp(o.out, Outcome.CANCELLED);
        }
    }

    /** Guards the first rule against a module that forgets a request or answers too late. */
    private void overdue(Owed o) {
        if (!o.over && !o.begun) {
            counters.add("answers.overdue");
            failNow(o, Outcome.TIMEOUT);
            tell(o.id, () -> module.requestGone(now, o.id));
        }
    }

    private void refuseRequest(long id, long retryAfter) {
        Owed o = owed.get(id);
        if (o != null && !o.over && !o.begun) {
            counters.add("answers.refused");
            finish(o);
            effects.add(new Effect.Refuse(o.client, retryAfter));
            if (o.out != null) {
                hangUp(o.out, Outcome.CANCELLED);
            }
        }
    }

    /** Answers with a failure or, where the client has part of a stream, by ending its connection. */
    private void failNow(Owed o, Outcome tryEndsAs) {
        if (o.over) {
            return;
        }
        counters.add(o.begun ? "answers.cut_off" : "answers.failed");
        finish(o);
        effects.add(o.begun ? new Effect.CutOff(o.client) : new Effect.Fail(o.client));
        if (o.out != null) {
            hangUp(o.out, tryEndsAs);
        }
    }

    private void finish(Owed o) {
        o.over = true;
        heldBytes -= o.size;
        ofClient.remove(o.client, o);
        forgetIfDone(o);
    }

    private void forgetIfDone(Owed o) {
        if (o.over && o.out == null) {
            owed.remove(o.id);
            byName.remove(o.name);
            release(o.name);
        }
    }

    private void release(String id) {
        if (others.asking()) {
            effects.add(new Effect.TellOthers(new OtherNews.Released(id)));
        }
    }

    // ---- tries

    private void sendTry(long request, long box, long timeout) {
        Owed o = owed.get(request);
        if (o == null || o.over) {
            counters.add("tries.for_nothing");
            return;
        }
        Try t = new Try(o, box, timeout, now);
        if (o.out == null) {
            start(t);
        } else if (o.out.closingAs != null && o.next == null) {
            o.next = t;
        } else {
            ended(t, Outcome.NOT_SENT, 0, null);
        }
    }

    private void start(Try t) {
        Owed o = t.owed;
        ModelBox box = boxes.get(t.box);
        if (box == null || !box.takesWork()) {
            ended(t, Outcome.NOT_SENT, 0, null);
            return;
        }
        Deque<Line> waiting = idle.get(box.id());
        Line line = waiting == null ? null : settled(waiting);
        if (line == null && lines.size() >= bounds.lines() * FULL_PART) {
            closeLongestIdle();
        }
        if (line == null && lines.size() >= bounds.lines()) {
            counters.add("lines.no_room");
            ended(t, Outcome.CONNECT_FAILED, 0, null);
            return;
        }
        t.until = t.timeout > 0 ? Math.min(now + t.timeout, o.deadline) : o.deadline;
        o.out = t;
        timers.at(t.until, () -> timeUp(t));
        if (line != null) {
            carry(line, t);
            return;
        }
        Line fresh = new Line(++lastLine, box);
        fresh.current = t;
        t.line = fresh;
        lines.put(fresh.id, fresh);
        counters.add("lines.opened");
        effects.add(new Effect.OpenLine(fresh.id, box.address()));
        timers.at(now + connectTimeout, () -> {
            if (!fresh.up && t.closingAs == null) {
                hangUp(t, Outcome.CONNECT_FAILED);
            }
        });
    }

    private void carry(Line line, Try t) {
        line.current = t;
        t.line = line;
        counters.add("tries.sent");
        if (others.asking()) {
            effects.add(new Effect.TellOthers(new OtherNews.Sent(t.owed.id, t.box)));
        }
        effects.add(new Effect.SendTry(line.id, t.owed.client, t.until - now));
    }

    private void timeUp(Try t) {
        if (t.owed.out == t && !t.begun) {
            hangUp(t, Outcome.TIMEOUT);
        }
    }

    private void cancelTry(long request, int number) {
        Owed o = owed.get(request);
        if (o == null) {
            return;
        }
        if (o.next != null && o.next.number == number) {
            Try t = o.next;
            o.next = null;
            ended(t, Outcome.CANCELLED, 0, null);
        } else if (o.out != null && o.out.number == number && !o.out.begun) {
            hangUp(o.out, Outcome.CANCELLED);
        }
    }

    /**
     * Closes a try's line. The try is out until {@link Event.LineDown} says that the line is closed: sent
     * elsewhere before that, the request would be out twice.
     */
    private void hangUp(Try t, Outcome as) {
        if (t.closingAs == null) {
            t.closingAs = as;
            close(t.line);
        }
    }

    private void ended(Try t, Outcome outcome, long kept, Routing.LoadReport report) {
        Owed o = t.owed;
        counters.add("tries." + outcome.name().toLowerCase(Locale.ROOT));
        if (o.out == t) {
            o.out = null;
            if (others.asking()) {
                effects.add(new Effect.TellOthers(new OtherNews.Ended(o.id)));
            }
        }
        long took = now - t.sentAt;
        boolean over = o.over;
        tell(o.id, () -> module.attemptEnded(now, o.id, t.number, outcome, took, over, kept, report));
        Try next = o.next;
        if (next != null && o.out == null) {
            o.next = null;
            if (over) {
                ended(next, Outcome.CANCELLED, 0, null);
            } else {
                start(next);
            }
        }
        forgetIfDone(o);
    }

    // ---- lines

    private void close(Line line) {
        if (!line.closing) {
            line.closing = true;
            effects.add(new Effect.CloseLine(line.id));
        }
    }

    private void lineUp(Event.LineUp e) {
        Line line = lines.get(e.line());
        if (line == null || line.closing) {
            return;
        }
        line.up = true;
        ModelBox box = boxes.get(line.box.id());
        // The box may have begun to drain while the connection was being made.
        if (box == null || !box.takesWork()) {
            hangUp(line.current, Outcome.NOT_SENT);
        } else {
            carry(line, line.current);
        }
    }

    private void trySent(Event.TrySent e) {
        Line line = lines.get(e.line());
        if (line != null && line.current != null) {
            line.current.written = true;
        }
    }

    /** A try whose line breaks before its last byte was written never ran; after that it may have. */
    private void lineDown(Event.LineDown e) {
        Line line = lines.remove(e.line());
        if (line == null) {
            return;
        }
        counters.add("lines.closed");
        Deque<Line> waiting = idle.get(line.box.id());
        if (waiting != null) {
            waiting.remove(line);
        }
        Try t = line.current;
        if (t == null) {
            return;
        }
        line.current = null;
        if (t.closingAs != null) {
            ended(t, t.closingAs, 0, null);
            return;
        }
        cutOffIfBegun(t);
        ended(t, t.written || t.begun ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
    }

    private void cutOffIfBegun(Try t) {
        Owed o = t.owed;
        if (t.begun && !o.over) {
            counters.add("answers.cut_off");
            effects.add(new Effect.CutOff(o.client));
            finish(o);
        }
    }

    /** Takes the line that has rested least, but long enough: what still came over it has come by now. */
    private Line settled(Deque<Line> waiting) {
        Iterator<Line> youngestFirst = waiting.descendingIterator();
        while (youngestFirst.hasNext()) {
            Line line = youngestFirst.next();
            if (now - line.idleSince >= SETTLE) {
                youngestFirst.remove();
                return line;
            }
        }
        return null;
    }

    /** Lines that wait for tries must not keep a try from getting one. */
    private void closeLongestIdle() {
        Line longest = null;
        for (Deque<Line> waiting : idle.values()) {
            Line first = waiting.peekFirst();
            if (first != null && (longest == null || first.idleSince < longest.idleSince)) {
                longest = first;
            }
        }
        if (longest != null) {
            idle.get(longest.box.id()).removeFirst();
            counters.add("lines.retired");
            close(longest);
        }
    }

    private void rest(Line line) {
        line.idleSince = now;
        idle.computeIfAbsent(line.box.id(), id -> new ArrayDeque<>()).addLast(line);
        timers.at(now + idleFor, () -> {
            Deque<Line> waiting = idle.get(line.box.id());
            if (now - line.idleSince >= idleFor && waiting != null && waiting.remove(line)) {
                counters.add("lines.retired");
                close(line);
            }
        });
    }

    // ---- streams

    /** An answer's head and first event come together: one that stops in between never comes whole. */
    private void answerBegan(Event.AnswerBegan e) {
        Line line = lines.get(e.line());
        Try t = line == null ? null : line.current;
        if (t != null && t.closingAs == null) {
            timers.at(now + OPENING, () -> {
                if (t.line == line && line.current == t && !t.begun && t.closingAs == null) {
                    counters.add("streams.unopened");
                    hangUp(t, Outcome.ERROR);
                }
            });
        }
    }

    /**
     * The try has failed and may have run: the box took it and answered, so it is neither refused nor broken
     * off, which would speak against the box as a whole.
     */
    private void answerSpoilt(Event.AnswerSpoilt e) {
        Line line = lines.get(e.line());
        if (line == null) {
            return;
        }
        Try t = line.current;
        if (t != null && t.begun && !t.owed.over) {
            // the client's connection ends now; the line's may take its time
            failNow(t.owed, Outcome.ERROR);
        } else if (t != null && t.written) {
            hangUp(t, Outcome.ERROR);
        }
        // What was never written never ran: LineDown comes behind the news of the last byte, and tells.
        Deque<Line> waiting = idle.get(line.box.id());
        if (waiting != null) {
            waiting.remove(line);
        }
        close(line);
    }

    private void piece(Event.Piece e) {
        Line line = lines.get(e.line());
        Try t = line == null ? null : line.current;
        if (t == null || t.closingAs != null || t.owed.over) {
            return;
        }
        Owed o = t.owed;
        t.lastPieceAt = now;
        if (!t.begun) {
            t.begun = true;
            o.begun = true;
            o.tookAt = now;
            tell(o.id, () -> module.firstToken(now, o.id, t.number));
            timers.at(now + SILENCE, () -> listen(t));
        }
        o.unsent += e.bytes().remaining();
        effects.add(new Effect.PassOn(o.client, e.bytes()));
        if (o.unsent > MOST_UNSENT && !line.held) {
            line.held = true;
            effects.add(new Effect.HoldLine(line.id, true));
        }
    }

    private void clientTook(Event.ClientTook e) {
        Owed o = ofClient.get(e.client());
        if (o == null || !o.begun) {
            return;
        }
        o.unsent = Math.max(0, o.unsent - e.bytes());
        o.tookAt = now;
        Line line = o.out == null ? null : o.out.line;
        if (line != null && line.held && o.unsent <= FEW_UNSENT) {
            line.held = false;
            o.out.lastPieceAt = now;
            effects.add(new Effect.HoldLine(line.id, false));
        }
    }

    /** Ends a stream that has fallen silent for good, as a vanished machine's does, or that nobody reads. */
    private void listen(Try t) {
        Owed o = t.owed;
        if (o.out != t || o.over || t.closingAs != null) {
            return;
        }
        long end = t.line.held ? o.tookAt + STALL : t.lastPieceAt + SILENCE;
        if (now >= end) {
            counters.add(t.line.held ? "streams.unread" : "streams.silent");
            failNow(o, Outcome.RESET);
        } else {
            timers.at(t.line.held ? Math.min(end, now + SILENCE) : end, () -> listen(t));
        }
    }

    private void answered(Event.Answered e) {
        Line line = lines.get(e.line());
        Try t = line == null ? null : line.current;
        if (t == null || t.closingAs != null) {
            return;
        }
        line.current = null;
        ModelBox box = boxes.get(line.box.id());
        if (e.reusable() && box != null && box.takesWork() && box.address().equals(line.box.address())) {
            if (line.held) {
                line.held = false;
                effects.add(new Effect.HoldLine(line.id, false));
            }
            rest(line);
        } else {
            close(line);
        }
        Owed o = t.owed;
        Outcome outcome = e.outcome();
        if (outcome == Outcome.OK && !o.over) {
            counters.add("answers.served");
            effects.add(new Effect.EndAnswer(o.client));
            finish(o);
        } else if (t.begun) {
            cutOffIfBegun(t);
            outcome = Outcome.RESET;
        }
        ended(t, outcome, e.keptTokens(), e.report());
    }

    // ---- the box list

    private void started(Event.Started e) {
        BoxList known = e.known();
        watch.begin(e.listAddress(), known.version());
        boxes.keep(known);
        tell(0, () -> module.started(now));
        tell(0, () -> module.listReceived(now, ListKind.CACHED, replicas(boxes.over(known))));
    }

    private void listCame(BoxList list) {
        if (others.any() || keeping) {
            effects.add(new Effect.TellOthers(new OtherNews.Told(list, watch.address())));
        }
        boxes.keep(list);
        closeIdleToLeavers();
        if (watch.came(list)) {
            tell(0, () -> module.listReceived(now, list.full() ? ListKind.FULL : ListKind.DELTA,
                    replicas(boxes.over(list))));
        }
    }

    /** An operator's word acts at once, whatever the list says and whether or not it answers. */
    private void marked(Map<String, BoxMark> marks) {
        boxes.mark(marks);
        changedHere();
    }

    /**
     * The boxes have changed without an answer of the list's. As one it would make the module believe that it
     * watches the list already, and a generation that has not asked yet never would.
     */
    private void changedHere() {
        closeIdleToLeavers();
        BoxList all = new BoxList(watch.version(), true, List.copyOf(boxes.all()));
        tell(0, () -> module.listReceived(now, ListKind.CACHED, replicas(all)));
    }

    /** The module decides when to call again: it backs off while the service is down. */
    private void listFailed() {
        watch.failed();
        tell(0, () -> module.listReceived(now, ListKind.FAILED, List.of()));
    }

    private void closeIdleToLeavers() {
        for (Map.Entry<Long, Deque<Line>> entry : idle.entrySet()) {
            ModelBox box = boxes.get(entry.getKey());
            entry.getValue().removeIf(line -> {
                boolean leaves = box == null || !box.takesWork()
                        || !box.address().equals(line.box.address());
                if (leaves) {
                    close(line);
                }
                return leaves;
            });
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    private static List<Routing.Replica> replicas(BoxList list) {
        return list.boxes().stream().map(ModelBox::replica).toList();
    }

    // ---- other generations

    private final class Door implements Others.Door {
        @Override
        public void admit(Event.Asked asked, long waited) {
            Desk.this.admit(asked, waited);
        }

        @Override
        public void twin(Event.Asked asked) {
            Desk.this.twin(asked);
        }

        @Override
        public void turnAway(Event.Asked asked) {
            counters.add("answers.refused");
            effects.add(new Effect.Refuse(asked.client(), 0));
        }
    }

    private void fromOther(int who, OtherNews news) {
        if (news instanceof OtherNews.Claim n) {
            others.claimedBy(who, n, byName.containsKey(n.id()));
        } else if (news instanceof OtherNews.Claimed n) {
            others.answered(n);
        } else if (news instanceof OtherNews.Released n) {
            others.released(who, n.id());
        } else if (news instanceof OtherNews.Sent n) {
            others.sent(who, n.token());
            tell(0, () -> module.otherSent(now, who + "/" + n.token(), n.box()));
        } else if (news instanceof OtherNews.Ended n) {
            others.ended(who, n.token());
            otherEnded(who, n.token());
        } else if (news instanceof OtherNews.Told n) {
            toldByOther(n.list(), n.address());
        }
    }

    private void otherEnded(int who, long token) {
        tell(0, () -> module.otherEnded(now, who + "/" + token));
    }

    private void adopt(int who, Holdings held) {
        others.gone(who).forEach(token -> otherEnded(who, token));
        others.adopt(who, held);
        for (OtherNews.Sent sent : held.out()) {
            tell(0, () -> module.otherSent(now, who + "/" + sent.token(), sent.box()));
        }
        toldByOther(held.boxes(), held.listAddress());
    }

    /**
     * A drain told to one generation is kept by all at once. Only what ends work at a box is taken up, and
     * only news: this generation's own watch goes on from where it stands, and tells the rest.
     */
    private void toldByOther(BoxList list, String address) {
        if (!address.equals(watch.address()) || list.version() <= watch.version()) {
            return;
        }
        List<ModelBox> ending = new ArrayList<>();
        Set<Long> named = new HashSet<>();
        for (ModelBox box : list.boxes()) {
            named.add(box.id());
            if (!box.takesWork() && boxes.knows(box.id())) {
                ending.add(box);
            }
        }
        for (ModelBox box : boxes.told()) {
            if (list.full() && !named.contains(box.id())) {
                ending.add(KnownBoxes.as(box, Routing.Lifecycle.GONE));
            }
        }
        if (!ending.isEmpty()) {
            boxes.keep(new BoxList(watch.version(), false, ending));
            changedHere();
        }
    }

    /** Clients are led away between requests; what is open runs to its end, or to the limit. */
    private void letGo(long limit) {
        lettingGo = true;
        letGoUntil = now + limit;
        clients.hurry(true);
        long until = letGoUntil;
        timers.at(until, () -> {
            if (lettingGo && letGoUntil == until) {
                List.copyOf(owed.values()).forEach(o -> {
                    counters.add("answers.over_the_limit");
                    failNow(o, Outcome.CANCELLED);
                    tell(o.id, () -> module.requestGone(now, o.id));
                });
            }
        });
    }

    // ---- leaving

    /** Serving goes on: new connections come for a while, and what was taken is still owed its answer. */
    private void leave() {
        if (!leaving) {
            leaving = true;
            leaveAt = now + LEAVE_AFTER;
            log("leaving");
            timers.at(now + LEAVE_IDLE_AFTER, () -> effects.add(new Effect.CloseIdleClients()));
            timers.at(leaveAt, () -> { });
        }
    }
}
