package yewdock.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberspread.Routing;
import umberspread.Routing.Outcome;

/** Requests that are owed an answer, as a part of the reducer: each taken one gets exactly one. */
final class Answers {
    /** If the module has given no final answer so long after the deadline, the desk does. */
    private static final long ANSWER_SLACK = 10_000;

    private final Turn turn;
    private final ResourceLimits bounds;
    private final List<String> classes;
    private final Others others;
    private final Tries tries;
    private final Map<Long, Owed> owed = new HashMap<>();
    private final Map<Long, Owed> ofClient = new HashMap<>();
    /** By the clients' own ids: two requests of one id must never be out together. */
    private final Map<String, Owed> byName = new HashMap<>();
    private long lastRequest;
    private int heldBytes;

    Answers(Turn turn, CoreSettings terms, ResourceLimits bounds, KnownServers boxes, Lines lines,
            Others others) {
        this.turn = turn;
        this.bounds = bounds;
        this.classes = terms.classNames();
        this.others = others;
        this.tries = new Tries(turn, terms, boxes, lines, others, this::forgetIfDone);
    }

    Tries tries() {
        return tries;
    }

    /** A request that is owed its answer, or has tries out; null if there is none of this number. */
    Owed get(long id) {
        return owed.get(id);
    }

    Owed ofClient(long client) {
        return ofClient.get(client);
    }

    Collection<Owed> all() {
        return owed.values();
    }

    boolean none() {
        return owed.isEmpty();
    }

    boolean open(String name) {
        return byName.containsKey(name);
    }

    List<String> names() {
        return new ArrayList<>(byName.keySet());
    }

    /** How many requests wait for their answer, or for the rest of it. */
    int open() {
        return ofClient.size();
    }

    /** Counts a request's end: each one taken has exactly one. */
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

    /** Takes a request that has waited so long to be taken. */
    void admit(Event.RequestReceived e, long waited) {
        ModelRequest r = e.request();
        if (owed.size() >= bounds.maxRequests() || heldBytes + r.memoryBytes() > bounds.maxRequestBytes()) {
            turn.count("answers.refused_for_room");
            ended(r, Ending.REJECTED);
            turn.effect(new Effect.Refuse(e.client(), 0));
            release(r.id());
            return;
        }
        long patience = Math.max(0, r.timeoutMicros() - waited);
        Owed o = new Owed(++lastRequest, r, e.client(), turn.now() + patience);
        heldBytes += o.size;
        owed.put(o.id, o);
        byName.put(o.name, o);
        ofClient.put(o.client, o);
        turn.at(o.deadline + ANSWER_SLACK, () -> overdue(o));
        turn.tell(o.id, m -> m.requestArrived(turn.now(), new Routing.Request(o.id, r.requestClass(),
                r.tenant(), r.markedAsRetry(), r.session(), r.sharedPrefix(), r.promptTokens(),
                r.prefixTokens(), r.maxOutputTokens(), patience)));
    }

    void twin(Event.RequestReceived e) {
        turn.count("answers.twin");
        ended(e.request(), Ending.FAILED);
        turn.effect(new Effect.RejectDuplicate(e.client()));
    }

    void clientLeft(long client) {
        Owed o = ofClient.get(client);
        if (o != null) {
            turn.count(o.begun() ? "answers.left_midway" : "answers.left_before");
            finish(o, Ending.FAILED);
            turn.tell(o.id, m -> m.requestAbandoned(turn.now(), o.id));
            tries.hangUpAll(o, Outcome.CANCELLED);
        }
    }

    /** Guards the first rule against a module that forgets a request or answers too late. */
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

    /** Answers with a failure or, where the client has part of a stream, by ending its connection. */
    void fail(Owed o, Outcome triesEndAs) {
        if (o.over) {
            return;
        }
        turn.count(o.begun() ? "answers.cut_off" : "answers.failed");
        finish(o, Ending.FAILED);
        turn.effect(o.begun() ? new Effect.AbortResponse(o.client) : new Effect.Fail(o.client));
        tries.hangUpAll(o, triesEndAs);
    }

    /** The same, of which the module knows nothing yet. */
    void failOurselves(Owed o, Outcome triesEndAs) {
        fail(o, triesEndAs);
        turn.tell(o.id, m -> m.requestAbandoned(turn.now(), o.id));
    }

    /** The try's stream is whole. */
    void served(Try t) {
        Owed o = t.owed;
        turn.count("answers.served");
        turn.effect(new Effect.EndResponse(o.client));
        finish(o, Ending.COMPLETED);
        tries.hangUpAllBut(t);
    }

    /** The stream has broken: the client is to know that it is not whole. */
    void cutOffIfBegun(Try t) {
        Owed o = t.owed;
        if (t.begun() && !o.over) {
            turn.count("answers.cut_off");
            turn.effect(new Effect.AbortResponse(o.client));
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

    private void forgetIfDone(Owed o) {
        if (o.over && o.out.isEmpty() && owed.remove(o.id) != null) {
            byName.remove(o.name);
            release(o.name);
        }
    }

    private void release(String id) {
        if (others.asking()) {
            turn.effect(new Effect.SendToGenerations(new GenerationMessage.RequestReleased(id)));
        }
    }
}
