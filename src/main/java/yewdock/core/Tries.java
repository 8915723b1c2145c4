package yewdock.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import umberspread.Routing;
import umberspread.Routing.Outcome;

/**
 * Tries of requests, as a part of the reducer: from the module's wish to the news of how each ended.
 *
 * <p>Two tries of one request are out together only where the settings allow it and the request's class may
 * be repeated. The first event of any of them makes it the client's; the others are closed at once, and the
 * module is told of each when its line is closed, after the first token of the one that won. Elsewhere a
 * second try waits until the line of the first is truly closed.
 */
final class Tries {
    private final Turn turn;
    private final CoreSettings terms;
    private final KnownServers boxes;
    private final Lines lines;
    private final Others others;
    /** Takes a request of which a try has ended: nothing of it may be out any more. */
    private final Consumer<Owed> ended;

    Tries(Turn turn, CoreSettings terms, KnownServers boxes, Lines lines, Others others,
            Consumer<Owed> ended) {
        this.turn = turn;
        this.terms = terms;
        this.boxes = boxes;
        this.lines = lines;
        this.others = others;
        this.ended = ended;
    }

    /** The module wants a try. One that may not go out ends as never sent. */
    void send(Owed o, long box, long timeout) {
        Try t = new Try(o, box, timeout, turn.now());
        if (o.begun() || t.number >= terms.maxAttempts()) {
            end(t, Outcome.NOT_SENT, 0, null);
        } else if (o.out.isEmpty()) {
            start(t);
        } else if (terms.mayCopy(o.requestClass)) {
            turn.count("tries.copies");
            start(t);
        } else if (o.next == null && o.out.stream().allMatch(out -> out.closingAs != null)) {
            o.next = t;
        } else {
            end(t, Outcome.NOT_SENT, 0, null);
        }
    }

    /** A box that is known and takes work, as far as this router may act by what it knows. */
    private boolean mayGetWork(ModelServer box) {
        return box != null && box.takesWork() && !turn.inDoubt();
    }

    private void start(Try t) {
        Owed o = t.owed;
        ModelServer box = boxes.get(t.box);
        if (!mayGetWork(box)) {
            end(t, Outcome.NOT_SENT, 0, null);
            return;
        }
        Line line = lines.take(box);
        if (line != null) {
            goOut(t);
            carry(line, t);
            return;
        }
        Line fresh = lines.open(box, t);
        if (fresh == null) {
            end(t, Outcome.CONNECT_FAILED, 0, null);
            return;
        }
        goOut(t);
        turn.at(turn.now() + terms.connectTimeoutMicros(), () -> {
            if (!fresh.up && t.closingAs == null) {
                hangUp(t, Outcome.CONNECT_FAILED);
            }
        });
    }

    private void goOut(Try t) {
        Owed o = t.owed;
        t.until = t.timeout > 0 ? Math.min(turn.now() + t.timeout, o.deadline) : o.deadline;
        o.out.add(t);
        turn.at(t.until, () -> {
            if (o.out.contains(t) && !t.begun()) {
                hangUp(t, Outcome.TIMEOUT);
            }
        });
    }

    private void carry(Line line, Try t) {
        line.current = t;
        t.line = line;
        turn.count("tries.sent");
        if (others.asking()) {
            turn.effect(new Effect.SendToGenerations(new GenerationMessage.AttemptSent(t.token(), t.box)));
        }
        turn.effect(new Effect.SendAttempt(line.id, t.owed.client, t.until - turn.now()));
    }

    /** The module wants a try no more; one whose answer has begun goes on. */
    void cancel(Owed o, int number) {
        if (o.next != null && o.next.number == number) {
            Try t = o.next;
            o.next = null;
            end(t, Outcome.CANCELLED, 0, null);
            return;
        }
        for (Try t : o.out) {
            if (t.number == number && !t.begun()) {
                hangUp(t, Outcome.CANCELLED);
            }
        }
    }

    /**
     * Closes a try's line. The try is out until {@link Event.ServerDisconnected} says that the line is
     * closed: sent
     * elsewhere before that, the request would be out twice.
     */
    void hangUp(Try t, Outcome as) {
        if (t.closingAs == null) {
            t.closingAs = as;
            lines.close(t.line);
        }
    }

    void hangUpAll(Owed o, Outcome as) {
        o.out.forEach(t -> hangUp(t, as));
    }

    /** The first event has come: the try is the client's, and the request's others serve nobody. */
    void won(Try t) {
        Owed o = t.owed;
        o.winner = t;
        o.tookAt = turn.now();
        turn.tell(o.id, m -> m.firstToken(turn.now(), o.id, t.number));
        hangUpAllBut(t);
    }

    /** Its request is served by this one: the others would serve nobody. */
    void hangUpAllBut(Try t) {
        for (Try other : t.owed.out) {
            if (other != t) {
                hangUp(other, Outcome.CANCELLED);
            }
        }
    }

    void end(Try t, Outcome outcome, long kept, Routing.LoadReport report) {
        Owed o = t.owed;
        turn.count("tries." + outcome.name().toLowerCase(Locale.ROOT));
        if (o.out.remove(t) && others.asking()) {
            turn.effect(new Effect.SendToGenerations(new GenerationMessage.AttemptEnded(t.token())));
        }
        long took = turn.now() - t.sentAt;
        boolean over = o.over;
        turn.tell(o.id, m -> m.attemptEnded(turn.now(), o.id, t.number, outcome, took, over, kept, report));
        Try next = o.next;
        if (next != null && o.out.isEmpty()) {
            o.next = null;
            if (over) {
                end(next, Outcome.CANCELLED, 0, null);
            } else {
                start(next);
            }
        }
        ended.accept(o);
    }

    // ---- what becomes of its line

    void lineUp(long id) {
        Line line = lines.get(id);
        if (line == null || line.closing) {
            return;
        }
        line.up = true;
        ModelServer box = boxes.get(line.box.id());
        // The box may have begun to drain, or have moved, while the connection was being made.
        if (!mayGetWork(box)) {
            hangUp(line.current, Outcome.NOT_SENT);
        } else {
            carry(line, line.current);
        }
    }

    /** The line closes by itself; the try may go out again, to the same box if need be. */
    void notBegun(long id) {
        Line line = lines.get(id);
        if (line != null && line.current != null && line.current.closingAs == null) {
            turn.count("tries.not_begun");
            line.current.closingAs = Outcome.NOT_SENT;
        }
    }

    void written(long id) {
        Line line = lines.get(id);
        if (line != null && line.current != null && !line.current.written) {
            line.current.written = true;
            turn.count("tries.written");
        }
    }

    /** All tries that are out of these requests, for those who must not double them. */
    static List<GenerationMessage.AttemptSent> sent(Iterable<Owed> all) {
        List<GenerationMessage.AttemptSent> sent = new ArrayList<>();
        for (Owed o : all) {
            o.out.forEach(t -> sent.add(new GenerationMessage.AttemptSent(t.token(), t.box)));
        }
        return sent;
    }
}
