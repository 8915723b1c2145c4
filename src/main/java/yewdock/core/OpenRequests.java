package yewdock.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberspread.Routing;
import umberspread.Routing.Outcome;

/** The open requests: each accepted request gets exactly one final answer. */
final class OpenRequests {
    /**
     * Time after a request's deadline, in microseconds, after which the reducer fails it if the module has
     * not ended it.
     */
    private static final long ANSWER_SLACK_MICROS = 10_000;

    private final ReducerContext context;
    private final ResourceLimits limits;
    private final List<String> classNames;
    private final OtherGenerations otherGenerations;
    private final Attempts attempts;
    private final Map<Long, OpenRequest> requests = new HashMap<>();
    private final Map<Long, OpenRequest> byClient = new HashMap<>();
    /** By the client's own request id: two requests with the same id must never be open together. */
    private final Map<String, OpenRequest> byRequestId = new HashMap<>();
    private final RecentIds recentIds = new RecentIds();
    private long lastId;
    private int requestBytes;

    OpenRequests(ReducerContext context, CoreSettings settings, ResourceLimits limits, KnownServers servers,
            ServerConnections connections, OtherGenerations otherGenerations) {
        this.context = context;
        this.limits = limits;
        this.classNames = settings.classNames();
        this.otherGenerations = otherGenerations;
        this.attempts = new Attempts(context, settings, servers, connections, otherGenerations,
                this::removeIfDone);
    }

    Attempts attempts() {
        return attempts;
    }

    /**
     * Returns the request with this number, which is unanswered or still has attempts in flight; null if
     * there is none.
     */
    OpenRequest get(long requestId) {
        return requests.get(requestId);
    }

    /** Returns the client's unanswered request; null if there is none. */
    OpenRequest byClient(long client) {
        return byClient.get(client);
    }

    Collection<OpenRequest> all() {
        return requests.values();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Whether a request with this client-chosen id is open, or has ended and may have run. */
    boolean isOpenOrMayHaveRun(String id) {
        return byRequestId.containsKey(id) || recentIds.contains(id, context.now());
    }

    /** Records that a request with this id may have run in another generation and has ended. */
    void addRecentId(String id) {
        recentIds.add(id, context.now());
    }

    /** Returns the ids of requests that have ended without a complete response and may have run. */
    List<String> recentIds() {
        return recentIds.all(context.now());
    }

    /** Returns the client-chosen ids of all open requests. */
    List<String> requestIds() {
        return new ArrayList<>(byRequestId.keySet());
    }

    /** Returns the number of requests that have not been answered in full. */
    int count() {
        return byClient.size();
    }

    /** Counts the end of a request: each accepted request is counted exactly once. */
    void countEnd(ModelRequest request, RequestOutcome outcome) {
        countEnd(request.requestClass(), outcome);
    }

    private void countEnd(int requestClass, RequestOutcome outcome) {
        if (requestClass >= 0 && requestClass < classNames.size()) {
            context.count(outcome.counterName(classNames.get(requestClass)));
        }
    }

    int retainedEntries() {
        return requests.size() + byClient.size() + byRequestId.size();
    }

    /**
     * Accepts a request that has waited this many microseconds since it was received, or refuses it at the
     * limits.
     */
    void admit(Event.RequestReceived event, long waitedMicros) {
        ModelRequest received = event.request();
        if (requests.size() >= limits.maxRequests() || requestBytes
                + received.memoryBytes() > limits.maxRequestBytes()) {
            context.count("answers.refused_for_room");
            context.reportClosed(received.id(), CloseReason.REFUSED_AT_LIMIT, false, waitedMicros);
            countEnd(received, RequestOutcome.REJECTED);
            context.emit(new Effect.Refuse(event.client(), 0));
            releaseId(received.id(), false);
            return;
        }
        long timeoutMicros = Math.max(0, received.timeoutMicros() - waitedMicros);
        OpenRequest request = new OpenRequest(++lastId, received, event.client(), context.now(),
                context.now() + timeoutMicros);
        requestBytes += request.memoryBytes;
        requests.put(request.id, request);
        byRequestId.put(request.clientRequestId, request);
        byClient.put(request.client, request);
        context.runAt(request.deadline + ANSWER_SLACK_MICROS, () -> failIfUnanswered(request));
        context.callModule(request.id, m -> m.requestArrived(context.now(), new Routing.Request(request.id,
                received.requestClass(), received.tenant(), received.markedAsRetry(), received.session(),
                received.sharedPrefix(), received.promptTokens(), received.prefixTokens(),
                received.maxOutputTokens(), timeoutMicros)));
    }

    /** Rejects a request whose id belongs to one that is open or may have run. */
    void rejectDuplicate(Event.RequestReceived event) {
        context.count("answers.twin");
        context.reportClosed(event.request().id(), CloseReason.DUPLICATE_ID, false, 0);
        countEnd(event.request(), RequestOutcome.FAILED);
        context.emit(new Effect.RejectDuplicate(event.client()));
    }

    void clientDisconnected(long client) {
        OpenRequest request = byClient.get(client);
        if (request != null) {
            context.count(request.isStreaming() ? "answers.left_midway" : "answers.left_before");
            reportClosed(request, CloseReason.CLIENT_LEFT);
            finish(request, RequestOutcome.FAILED);
            context.callModule(request.id, m -> m.requestAbandoned(context.now(), request.id));
            attempts.closeAll(request, Outcome.CANCELLED);
        }
    }

    /** Ensures that every request is answered even if the module forgets it or is too slow. */
    private void failIfUnanswered(OpenRequest request) {
        if (!request.ended && !request.isStreaming()) {
            context.count("answers.overdue");
            failAndReport(request, Outcome.TIMEOUT, CloseReason.DEADLINE);
        }
    }

    void refuse(long id, long retryAfterMicros) {
        OpenRequest request = requests.get(id);
        if (request != null && !request.ended && !request.isStreaming()) {
            context.count("answers.refused");
            reportClosed(request, CloseReason.REFUSED_BY_MODULE);
            finish(request, RequestOutcome.REJECTED);
            context.emit(new Effect.Refuse(request.client, retryAfterMicros));
            attempts.closeAll(request, Outcome.CANCELLED);
        }
    }

    /**
     * Answers with a failure or, if the client has part of a stream, closes its connection. Attempts in
     * flight are closed and end with the given outcome.
     */
    void fail(OpenRequest request, Outcome attemptOutcome, CloseReason reason) {
        if (request.ended) {
            return;
        }
        context.count(request.isStreaming() ? "answers.cut_off" : "answers.failed");
        reportClosed(request, reason);
        finish(request, RequestOutcome.FAILED);
        context.emit(request.isStreaming() ? new Effect.AbortResponse(request.client)
                : new Effect.Fail(request.client));
        attempts.closeAll(request, attemptOutcome);
    }

    /** Fails a request on the reducer's own account and tells the module that it is gone. */
    void failAndReport(OpenRequest request, Outcome attemptOutcome, CloseReason reason) {
        fail(request, attemptOutcome, reason);
        context.callModule(request.id, m -> m.requestAbandoned(context.now(), request.id));
    }

    /** The attempt's stream is complete: finishes the response and closes the request's other attempts. */
    void complete(Attempt attempt) {
        OpenRequest request = attempt.request;
        context.count("answers.served");
        context.emit(new Effect.EndResponse(request.client));
        request.completed = true;
        finish(request, RequestOutcome.COMPLETED);
        attempts.closeOthers(attempt);
    }

    /**
     * The attempt's stream broke: closes the client's connection so that the response counts as incomplete.
     */
    void abortIfStreaming(Attempt attempt, CloseReason reason) {
        OpenRequest request = attempt.request;
        if (attempt.isWinner() && !request.ended) {
            context.count("answers.cut_off");
            reportClosed(request, reason);
            context.emit(new Effect.AbortResponse(request.client));
            finish(request, RequestOutcome.FAILED);
        }
    }

    private void reportClosed(OpenRequest request, CloseReason reason) {
        context.reportClosed(request.clientRequestId, reason, request.isStreaming(),
                context.now() - request.acceptedAt);
    }

    private void finish(OpenRequest request, RequestOutcome outcome) {
        request.ended = true;
        countEnd(request.requestClass, outcome);
        requestBytes -= request.memoryBytes;
        byClient.remove(request.client, request);
        removeIfDone(request);
    }

    /** Removes a request that has been answered and has no attempt in flight. */
    private void removeIfDone(OpenRequest request) {
        if (request.ended && request.attemptsInFlight.isEmpty() && requests.remove(request.id) != null) {
            boolean mayRunTwice = request.mayHaveRun && !request.completed;
            byRequestId.remove(request.clientRequestId);
            if (mayRunTwice) {
                addRecentId(request.clientRequestId);
            }
            releaseId(request.clientRequestId, mayRunTwice);
        }
    }

    /** Tells the generation that owns the request ids that this one is no longer open. */
    private void releaseId(String id, boolean mayHaveRun) {
        if (otherGenerations.mustClaim()) {
            context.emit(new Effect.SendToGenerations(
                    new GenerationMessage.RequestReleased(id, mayHaveRun)));
        }
    }
}
