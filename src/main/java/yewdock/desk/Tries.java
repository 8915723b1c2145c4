package yewdock.desk;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import umberspread.Routing;
import umberspread.Routing.Outcome;

/**
 * The attempts of requests, from the module's decision to send one to the report of its end.
 *
 * <p>Two attempts of one request are in flight together only where the settings allow hedging and the
 * request's class is idempotent. The first stream event of either one makes that attempt the winner; the
 * others are closed at once. The module is told of each one's end when its connection has closed, after the
 * winner's first token. Where hedging is not allowed, a second attempt waits until the first one's connection
 * has closed.
 */
final class Tries {
    private final Turn turn;
    private final Terms terms;
    private final KnownServers boxes;
    private final Lines lines;
    private final Others others;
    /** Called after an attempt has ended, with its request, which may have no other attempt in flight. */
    private final Consumer<Owed> ended;

    Tries(Turn turn, Terms terms, KnownServers boxes, Lines lines, Others others, Consumer<Owed> ended) {
        this.turn = turn;
        this.terms = terms;
        this.boxes = boxes;
        this.lines = lines;
        this.others = others;
        this.ended = ended;
    }

    /** Sends an attempt for the module. One that may not be sent ends with NOT_SENT. */
    void send(Owed o, long box, long timeout) {
        Try t = new Try(o, box, timeout, turn.now());
        if (o.begun() || t.number >= terms.mostTries()) {
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

    /** Whether the server is known, takes work and this router isn't in doubt. */
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
        turn.at(turn.now() + terms.connectTimeout(), () -> {
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
            turn.effect(new Effect.TellOthers(new OtherNews.Sent(t.token(), t.box)));
        }
        turn.effect(new Effect.SendTry(line.id, t.owed.client, t.until - turn.now()));
    }

    /** Cancels an attempt for the module, unless its stream is already being forwarded. */
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
     * Closes an attempt's connection. The attempt stays in flight until {@link Event.LineDown} reports that
     * the connection is closed: if the request were sent again before that, it would be in flight twice.
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

    /**
     * Handles the first stream event: the attempt is the winner, and the request's other attempts are closed.
     */
    void won(Try t) {
        Owed o = t.owed;
        o.winner = t;
        o.tookAt = turn.now();
        turn.tell(o.id, m -> m.firstToken(turn.now(), o.id, t.number));
        hangUpAllBut(t);
    }

    /** Closes the request's other attempts, which are no longer needed. */
    void hangUpAllBut(Try t) {
        for (Try other : t.owed.out) {
            if (other != t) {
                hangUp(other, Outcome.CANCELLED);
            }
        }
    }

    /**
     * Records an attempt's end, tells the module and starts the request's next attempt if one is waiting.
     */
    void end(Try t, Outcome outcome, long kept, Routing.LoadReport report) {
        Owed o = t.owed;
        turn.count("tries." + outcome.name().toLowerCase(Locale.ROOT));
        if (o.out.remove(t) && others.asking()) {
            turn.effect(new Effect.TellOthers(new OtherNews.Ended(t.token())));
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

    // ---- connection events

    void lineUp(long id) {
        Line line = lines.get(id);
        if (line == null || line.closing) {
            return;
        }
        line.up = true;
        ModelServer box = boxes.get(line.box.id());
        // The server may have begun to drain or moved to another address while the connection was opened.
        if (!mayGetWork(box)) {
            hangUp(line.current, Outcome.NOT_SENT);
        } else {
            carry(line, line.current);
        }
    }

    /**
     * The attempt ends as not sent once its connection has closed, so the request may be sent again, even to
     * the same server.
     */
    void notBegun(long id) {
        Line line = lines.get(id);
        if (line != null && line.current != null && line.current.closingAs == null) {
            turn.count("tries.not_begun");
            line.current.closingAs = Outcome.NOT_SENT;
        }
    }

    /** The last byte of the connection's attempt has been written. */
    void written(long id) {
        Line line = lines.get(id);
        if (line != null && line.current != null && !line.current.written) {
            line.current.written = true;
            turn.count("tries.written");
        }
    }

    /** Returns the attempts in flight of these requests, for the generations that must not repeat them. */
    static List<OtherNews.Sent> sent(Iterable<Owed> all) {
        List<OtherNews.Sent> sent = new ArrayList<>();
        for (Owed o : all) {
            o.out.forEach(t -> sent.add(new OtherNews.Sent(t.token(), t.box)));
        }
        return sent;
    }
}
