package yewdock.desk;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberspread.Routing;
import umberspread.Routing.Outcome;

/** The open requests: each accepted request gets exactly one final answer. */
final class Answers {
    /**
     * Time after a request's deadline, in microseconds, after which the reducer fails it if the module has
     * not ended it.
     */
    private static final long ANSWER_SLACK = 10_000;

    private final Turn turn;
    private final Bounds bounds;
    private final List<String> classes;
    private final Others others;
    private final Tries tries;
    private final Map<Long, Owed> owed = new HashMap<>();
    private final Map<Long, Owed> ofClient = new HashMap<>();
    /** By the client's own request id: two requests with the same id must never be open together. */
    private final Map<String, Owed> byName = new HashMap<>();
    private long lastRequest;
    private int heldBytes;

    Answers(Turn turn, Terms terms, Bounds bounds, KnownServers boxes, Lines lines, Others others) {
        this.turn = turn;
        this.bounds = bounds;
        this.classes = terms.classes();
        this.others = others;
        this.tries = new Tries(turn, terms, boxes, lines, others, this::forgetIfDone);
    }

    Tries tries() {
        return tries;
    }

    /**
     * Returns the request with this number, which is unanswered or still has attempts in flight; null if
     * there is none.
     */
    Owed get(long id) {
        return owed.get(id);
    }

    /** Returns the client's unanswered request; null if there is none. */
    Owed ofClient(long client) {
        return ofClient.get(client);
    }

    Collection<Owed> all() {
        return owed.values();
    }

    boolean none() {
        return owed.isEmpty();
    }

    /** Whether a request with this client-chosen id is open. */
    boolean open(String name) {
        return byName.containsKey(name);
    }

    /** Returns the client-chosen ids of all open requests. */
    List<String> names() {
        return new ArrayList<>(byName.keySet());
    }

    /** Returns the number of requests that have not been answered in full. */
    int open() {
        return ofClient.size();
    }

    /** Counts the end of a request: each accepted request is counted exactly once. */
    void ended(ModelRequest request, Ending ending) {
        ended(request.requestClass(), ending);
    }

    private void ended(int requestClass, Ending ending) {
        if (requestClass >= 0 && requestClass < classes.size()) {
            turn.count(ending.counter(classes.get(requestClass)));
        }
    }

    int kept() {
        return owed.size() + ofClient.size() + byName.size();
    }

    /**
     * Accepts a request that has waited this many microseconds since it was received, or refuses it at the
     * limits.
     */
    void admit(Event.Asked e, long waited) {
        ModelRequest r = e.request();
        if (owed.size() >= bounds.requests() || heldBytes + r.size() > bounds.bytes()) {
            turn.count("answers.refused_for_room");
            ended(r, Ending.REJECTED);
            turn.effect(new Effect.Refuse(e.client(), 0));
            release(r.id());
            return;
        }
        long patience = Math.max(0, r.patience() - waited);
        Owed o = new Owed(++lastRequest, r, e.client(), turn.now() + patience);
        heldBytes += o.size;
        owed.put(o.id, o);
        byName.put(o.name, o);
        ofClient.put(o.client, o);
        turn.at(o.deadline + ANSWER_SLACK, () -> overdue(o));
        turn.tell(o.id, m -> m.requestArrived(turn.now(), new Routing.Request(o.id, r.requestClass(),
                r.municipality(), r.repeat(), r.session(), r.sharedBeginning(), r.promptTokens(),
                r.beginningTokens(), r.mostTokens(), patience)));
    }

    /** Rejects a request whose id belongs to an open request. */
    void twin(Event.Asked e) {
        turn.count("answers.twin");
        ended(e.request(), Ending.FAILED);
        turn.effect(new Effect.TurnDownTwin(e.client()));
    }

    void clientLeft(long client) {
        Owed o = ofClient.get(client);
        if (o != null) {
            turn.count(o.begun() ? "answers.left_midway" : "answers.left_before");
            finish(o, Ending.FAILED);
            turn.tell(o.id, m -> m.requestGone(turn.now(), o.id));
            tries.hangUpAll(o, Outcome.CANCELLED);
        }
    }

    /** Ensures that every request is answered even if the module forgets it or is too slow. */
    private void overdue(Owed o) {
        if (!o.over && !o.begun()) {
            turn.count("answers.overdue");
            failOurselves(o, Outcome.TIMEOUT);
        }
    }

    void refuse(long id, long retryAfter) {
        Owed o = owed.get(id);
        if (o != null && !o.over && !o.begun()) {
            turn.count("answers.refused");
            finish(o, Ending.REJECTED);
            turn.effect(new Effect.Refuse(o.client, retryAfter));
            tries.hangUpAll(o, Outcome.CANCELLED);
        }
    }

    /**
     * Answers with a failure or, if the client has part of a stream, closes its connection. Attempts in
     * flight are closed and end with the given outcome.
     */
    void fail(Owed o, Outcome triesEndAs) {
        if (o.over) {
            return;
        }
        turn.count(o.begun() ? "answers.cut_off" : "answers.failed");
        finish(o, Ending.FAILED);
        turn.effect(o.begun() ? new Effect.CutOff(o.client) : new Effect.Fail(o.client));
        tries.hangUpAll(o, triesEndAs);
    }

    /** Fails a request on the reducer's own account and tells the module that it is gone. */
    void failOurselves(Owed o, Outcome triesEndAs) {
        fail(o, triesEndAs);
        turn.tell(o.id, m -> m.requestGone(turn.now(), o.id));
    }

    /** The attempt's stream is complete: finishes the response and closes the request's other attempts. */
    void served(Try t) {
        Owed o = t.owed;
        turn.count("answers.served");
        turn.effect(new Effect.EndAnswer(o.client));
        finish(o, Ending.COMPLETED);
        tries.hangUpAllBut(t);
    }

    /**
     * The attempt's stream broke: closes the client's connection so that the response counts as incomplete.
     */
    void cutOffIfBegun(Try t) {
        Owed o = t.owed;
        if (t.begun() && !o.over) {
            turn.count("answers.cut_off");
            turn.effect(new Effect.CutOff(o.client));
            finish(o, Ending.FAILED);
        }
    }

    private void finish(Owed o, Ending ending) {
        o.over = true;
        ended(o.requestClass, ending);
        heldBytes -= o.size;
        ofClient.remove(o.client, o);
        forgetIfDone(o);
    }

    /** Removes a request that has been answered and has no attempt in flight. */
    private void forgetIfDone(Owed o) {
        if (o.over && o.out.isEmpty() && owed.remove(o.id) != null) {
            byName.remove(o.name);
            release(o.name);
        }
    }

    /** Tells the generation that owns the request ids that this one is free again. */
    private void release(String id) {
        if (others.asking()) {
            turn.effect(new Effect.TellOthers(new OtherNews.Released(id)));
        }
    }
}
