package yewdock.core;

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
final class Attempts {
    private final ReducerContext context;
    private final CoreSettings settings;
    private final KnownServers servers;
    private final ServerConnections connections;
    private final OtherGenerations otherGenerations;
    /** Called after an attempt has ended, with its request, which may have no other attempt in flight. */
    private final Consumer<OpenRequest> whenEnded;

    Attempts(ReducerContext context, CoreSettings settings, KnownServers servers,
            ServerConnections connections, OtherGenerations otherGenerations,
            Consumer<OpenRequest> whenEnded) {
        this.context = context;
        this.settings = settings;
        this.servers = servers;
        this.connections = connections;
        this.otherGenerations = otherGenerations;
        this.whenEnded = whenEnded;
    }

    /** Sends an attempt for the module. One that may not be sent ends with NOT_SENT. */
    void send(OpenRequest request, long serverId, long timeoutMicros) {
        Attempt attempt = new Attempt(request, serverId, timeoutMicros, context.now());
        if (request.isStreaming() || attempt.number >= settings.maxAttempts()) {
            end(attempt, Outcome.NOT_SENT, 0, null);
        } else if (request.attemptsInFlight.isEmpty()) {
            start(attempt);
        } else if (settings.mayHedge(request.requestClass)) {
            context.count("tries.copies");
            start(attempt);
        } else if (request.nextAttempt == null
                && request.attemptsInFlight.stream().allMatch(sent -> sent.closingOutcome != null)) {
            request.nextAttempt = attempt;
        } else {
            end(attempt, Outcome.NOT_SENT, 0, null);
        }
    }

    /** Whether the server is known and takes work, and attempts may be started. */
    private boolean isUsable(ModelServer server) {
        return server != null && server.takesWork() && context.mayStartAttempts();
    }

    private void start(Attempt attempt) {
        OpenRequest request = attempt.request;
        ModelServer server = servers.get(attempt.serverId);
        if (!isUsable(server)) {
            end(attempt, Outcome.NOT_SENT, 0, null);
            return;
        }
        ServerConnection connection = connections.takeIdle(server);
        if (connection != null) {
            addInFlight(attempt);
            sendOver(connection, attempt);
            return;
        }
        ServerConnection newConnection = connections.open(server, attempt);
        if (newConnection == null) {
            end(attempt, Outcome.CONNECT_FAILED, 0, null);
            return;
        }
        addInFlight(attempt);
        context.runAt(context.now() + settings.connectTimeoutMicros(), () -> {
            if (!newConnection.established && attempt.closingOutcome == null) {
                close(attempt, Outcome.CONNECT_FAILED);
            }
        });
    }

    private void addInFlight(Attempt attempt) {
        OpenRequest request = attempt.request;
        attempt.timeoutAt = attempt.timeoutMicros > 0
                ? Math.min(context.now() + attempt.timeoutMicros, request.deadline) : request.deadline;
        request.attemptsInFlight.add(attempt);
        context.runAt(attempt.timeoutAt, () -> {
            if (request.attemptsInFlight.contains(attempt) && !attempt.isWinner()) {
                close(attempt, Outcome.TIMEOUT);
            }
        });
    }

    private void sendOver(ServerConnection connection, Attempt attempt) {
        connection.attempt = attempt;
        attempt.connection = connection;
        context.count("tries.sent");
        if (attempt.number > 0) {
            context.report(new RequestTransition.Retried(attempt.request.clientRequestId, attempt.number,
                    serverName(attempt)));
        }
        if (otherGenerations.mustClaim()) {
            context.emit(new Effect.SendToGenerations(new GenerationMessage.AttemptSent(attempt.token(),
                    attempt.serverId)));
        }
        context.emit(new Effect.SendAttempt(connection.id, attempt.request.client,
                attempt.timeoutAt - context.now()));
    }

    /** Cancels an attempt for the module, unless its stream is already being forwarded. */
    void cancel(OpenRequest request, int number) {
        if (request.nextAttempt != null && request.nextAttempt.number == number) {
            Attempt attempt = request.nextAttempt;
            request.nextAttempt = null;
            end(attempt, Outcome.CANCELLED, 0, null);
            return;
        }
        for (Attempt attempt : request.attemptsInFlight) {
            if (attempt.number == number && !attempt.isWinner()) {
                close(attempt, Outcome.CANCELLED);
            }
        }
    }

    /**
     * Closes an attempt's connection. The attempt stays in flight until {@link Event.ServerDisconnected}
     * reports that the connection is closed: if the request were sent again before that, it would be in
     * flight twice.
     */
    void close(Attempt attempt, Outcome outcome) {
        if (attempt.closingOutcome == null) {
            attempt.closingOutcome = outcome;
            connections.close(attempt.connection);
        }
    }

    void closeAll(OpenRequest request, Outcome outcome) {
        request.attemptsInFlight.forEach(attempt -> close(attempt, outcome));
    }

    /**
     * Handles the first stream event: the attempt is the winner, and the request's other attempts are closed.
     */
    void win(Attempt attempt) {
        OpenRequest request = attempt.request;
        request.winner = attempt;
        request.lastWriteAt = context.now();
        context.callModule(request.id, m -> m.firstToken(context.now(), request.id, attempt.number));
        closeOthers(attempt);
    }

    /** Closes the request's other attempts, which are no longer needed. */
    void closeOthers(Attempt attempt) {
        for (Attempt other : attempt.request.attemptsInFlight) {
            if (other != attempt) {
                close(other, Outcome.CANCELLED);
            }
        }
    }

    /**
     * Records an attempt's end, tells the module and starts the request's next attempt if one is waiting.
     */
    void end(Attempt attempt, Outcome outcome, long cachedTokens, Routing.LoadReport loadReport) {
        OpenRequest request = attempt.request;
        context.count("tries." + outcome.name().toLowerCase(Locale.ROOT));
        if (request.attemptsInFlight.remove(attempt) && otherGenerations.mustClaim()) {
            context.emit(new Effect.SendToGenerations(new GenerationMessage.AttemptEnded(attempt.token())));
        }
        long elapsedMicros = context.now() - attempt.createdAt;
        if (outcome != Outcome.OK) {
            context.report(new RequestTransition.AttemptFailed(request.clientRequestId, attempt.number,
                    serverName(attempt), outcome, attempt.written, elapsedMicros));
        }
        request.mayHaveRun |= attempt.mayHaveRun(outcome);
        boolean requestEnded = request.ended;
        context.callModule(request.id, m -> m.attemptEnded(context.now(), request.id, attempt.number, outcome,
                elapsedMicros, requestEnded, cachedTokens, loadReport));
        Attempt next = request.nextAttempt;
        if (next != null && request.attemptsInFlight.isEmpty()) {
            request.nextAttempt = null;
            if (requestEnded) {
                end(next, Outcome.CANCELLED, 0, null);
            } else {
                start(next);
            }
        }
        whenEnded.accept(request);
    }

    private String serverName(Attempt attempt) {
        if (attempt.connection != null) {
            return attempt.connection.server.name();
        }
        ModelServer server = servers.get(attempt.serverId);
        return server == null ? "" : server.name();
    }

    // ---- connection events

    /** The connection is established: sends its attempt, unless its server may no longer get work. */
    void connected(long id) {
        ServerConnection connection = connections.get(id);
        if (connection == null || connection.closing) {
            return;
        }
        connection.established = true;
        ModelServer server = servers.get(connection.server.id());
        // The server may have begun to drain, moved or been replaced while the connection was opened.
        if (!connection.reaches(server) || !context.mayStartAttempts()) {
            close(connection.attempt, Outcome.NOT_SENT);
        } else {
            sendOver(connection, connection.attempt);
        }
    }

    /**
     * The attempt ends as not sent once its connection has closed, so the request may be sent again, even to
     * the same server.
     */
    void notStarted(long id) {
        ServerConnection connection = connections.get(id);
        if (connection != null && connection.attempt != null && connection.attempt.closingOutcome == null) {
            context.count("tries.not_begun");
            connection.attempt.closingOutcome = Outcome.NOT_SENT;
        }
    }

    /** The last byte of the connection's attempt has been written. */
    void written(long id) {
        ServerConnection connection = connections.get(id);
        if (connection != null && connection.attempt != null && !connection.attempt.written) {
            connection.attempt.written = true;
            context.count("tries.written");
        }
    }

    /** Returns the attempts in flight of these requests, for the generations that must not repeat them. */
    static List<GenerationMessage.AttemptSent> inFlight(Iterable<OpenRequest> requests) {
        List<GenerationMessage.AttemptSent> sent = new ArrayList<>();
        for (OpenRequest request : requests) {
            request.attemptsInFlight.forEach(attempt ->
                    sent.add(new GenerationMessage.AttemptSent(attempt.token(), attempt.serverId)));
        }
        return sent;
    }
}
