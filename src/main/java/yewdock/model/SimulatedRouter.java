package yewdock.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;
import umberspread.Routing.ServerState;
import yewdock.baseline.TrueServerState;

/**
 * A simulated router instance. It carries out the actions of the routing module over a network with delays
 * and costly connections, and delivers the resulting events to the module.
 */
class SimulatedRouter implements Routing.Actions {
    private static final double MICROS_PER_SECOND = 1e6;
    /** How long after a request's deadline its final answer may still come. */
    private static final double ANSWER_SLACK_MICROS = 20_000;
    /** A stream that delivers nothing for this long is ended. */
    private static final double SILENT_STREAM_MICROS = 4.8 * MICROS_PER_SECOND;

    final int number;
    final int site;
    private final Simulation simulation;
    private final UniformRandomProvider random;
    private final Map<Long, ClientAttempt> openRequests = new HashMap<>();
    /** For each server that was reported as draining or gone: when the router was told, in microseconds. */
    private final Map<Long, Long> unavailableSince = new HashMap<>();
    /** For each server: the latest start time that the router was told, in microseconds. */
    private final Map<Long, Long> knownStartTimes = new HashMap<>();
    private final ConnectionPool[] pools;
    private Routing.Events module;
    /** Changes with every start and crash; callbacks of an earlier incarnation are ignored. */
    private int incarnation;

    /** Idle connections to one incarnation of a server. */
    private static final class ConnectionPool {
        private final ArrayDeque<Long> idleSinceMicros = new ArrayDeque<>();
        private int serverCrashes;
    }

    /** One attempt of a client: a request as this router receives it. */
    static final class ClientAttempt {
        final long id;
        final SimulatedRequest request;
        final SimulatedClients.WaitingClient client;
        final long deadlineMicros;
        private final List<ServerAttempt> attempts = new ArrayList<>(1);
        private boolean answered;
        private boolean streamStarted;

        ClientAttempt(long id, SimulatedRequest request, SimulatedClients.WaitingClient client,
                long deadlineMicros) {
            this.id = id;
            this.request = request;
            this.client = client;
            this.deadlineMicros = deadlineMicros;
        }

        private boolean anyInFlight() {
            for (ServerAttempt attempt : attempts) {
                if (attempt.inFlight) {
                    return true;
                }
            }
            return false;
        }
    }

    /** One sending of a request to a server. */
    private final class ServerAttempt implements InferenceJob.JobListener {
        private final ClientAttempt clientAttempt;
        private final int number;
        private final SimulatedServer server;
        private final long sentAtMicros;
        private final int routerIncarnation = incarnation;
        private boolean inFlight = true;
        private ConnectionPool pool;
        private boolean streamStarted;
        private InferenceJob job;

        ServerAttempt(ClientAttempt clientAttempt, int number, SimulatedServer server) {
            this.clientAttempt = clientAttempt;
            this.number = number;
            this.server = server;
            this.sentAtMicros = simulation.calendar.nowMicros();
        }

        @Override
        public void firstToken(InferenceJob job) {
            simulation.calendar.scheduleAfter(networkDelayMicros(server.site), () -> handleFirstToken(this));
        }

        @Override
        public void completed(InferenceJob job) {
            simulation.calendar.scheduleAfter(networkDelayMicros(server.site), () -> endAttempt(this,
                    Outcome.OK));
        }

        @Override
        public void failed(InferenceJob job) {
            if (!server.unreachable) {
                simulation.calendar.scheduleAfter(networkDelayMicros(server.site),
                        () -> endAttempt(this, Outcome.RESET));
            } else if (streamStarted) {
                simulation.calendar.scheduleAfter(SILENT_STREAM_MICROS, () -> endAttempt(this,
                        Outcome.RESET));
            }
        }
    }

    SimulatedRouter(Simulation simulation, int number, int site, UniformRandomProvider random) {
        this.simulation = simulation;
        this.number = number;
        this.site = site;
        this.random = random;
        this.pools = new ConnectionPool[simulation.servers.size()];
    }

    /** Starts the router, or restarts it with no state from before. */
    void start() {
        incarnation++;
        int started = incarnation;
        module = simulation.newPolicy(this,
                RandomStreams.mix(simulation.parameters.seed + number * 977L + incarnation));
        deliver(() -> module.started(now()));
        List<ServerState> known = simulation.discovery.endpoints();
        recordStates(known);
        deliverList(ListKind.CACHED, known);
        if (started != incarnation) {
            throw new IllegalStateException("the router was restarted from within its own start");
        }
    }

    /** Kills the process: all open requests and connections are lost. */
    void crash() {
        incarnation++;
        module = null;
        simulation.discovery.removeWatcher(this);
        List<ClientAttempt> attempts = new ArrayList<>(openRequests.values());
        attempts.sort((a, b) -> Long.compare(a.id, b.id));
        openRequests.clear();
        unavailableSince.clear();
        knownStartTimes.clear();
        for (SimulatedServer server : simulation.servers) {
            ConnectionPool pool = pools[server.number];
            if (pool != null && pool.serverCrashes == server.crashes) {
                server.connections -= pool.idleSinceMicros.size();
            }
        }
        for (ClientAttempt clientAttempt : attempts) {
            for (ServerAttempt attempt : clientAttempt.attempts) {
                if (attempt.inFlight && attempt.pool != null
                        && attempt.pool.serverCrashes == attempt.server.crashes) {
                    attempt.server.connections--;
                }
                if (attempt.inFlight && attempt.job != null) {
                    attempt.job.markAbandoned();
                }
                attempt.inFlight = false;
            }
            clientAttempt.client.connectionLost(clientAttempt);
        }
        java.util.Arrays.fill(pools, null);
    }

    /** Whether the process runs. */
    boolean alive() {
        return module != null;
    }

    private long now() {
        return simulation.calendar.nowMicros();
    }

    /** Delivers an event to the module and measures its cost if asked to. */
    private void deliver(Runnable event) {
        long startNanos = simulation.measuresCost ? System.nanoTime() : 0;
        event.run();
        if (simulation.measuresCost) {
            simulation.moduleNanos += System.nanoTime() - startNanos;
        }
        simulation.moduleEvents++;
    }

    private void deliverList(ListKind kind, List<ServerState> entries) {
        long startNanos = simulation.measuresCost ? System.nanoTime() : 0;
        module.listReceived(now(), kind, entries);
        if (simulation.measuresCost) {
            simulation.listNanos += System.nanoTime() - startNanos;
        }
        simulation.listEvents++;
    }

    /** Draws a one-way delay between this router and a server of a site. */
    private double networkDelayMicros(int to) {
        double base = to == site ? simulation.parameters.sameSiteMicros
                : simulation.parameters.crossSiteMicros;
        return base * (1 + simulation.parameters.jitter * random.nextDouble());
    }

    // ---- discovery

    /** Handles an endpoint list, or the failure of a discovery call. */
    void listReceived(ListKind kind, List<ServerState> entries) {
        if (module == null) {
            return;
        }
        if (kind == ListKind.FULL) {
            // a server that a full list lacks is gone
            Map<Long, Boolean> listed = new HashMap<>();
            entries.forEach(state -> listed.put(state.id(), true));
            for (SimulatedServer server : simulation.servers) {
                if (!listed.containsKey(server.id)) {
                    unavailableSince.putIfAbsent(server.id, now());
                }
            }
        }
        recordStates(entries);
        deliverList(kind, entries);
    }

    /** Records what the router has been told, for the rule checker. */
    private void recordStates(List<ServerState> entries) {
        for (ServerState state : entries) {
            if (state.lifecycle() == Lifecycle.READY) {
                unavailableSince.remove(state.id());
            } else {
                unavailableSince.putIfAbsent(state.id(), now());
            }
            if (state.startedAt() > 0) {
                knownStartTimes.put(state.id(), state.startedAt());
            }
        }
    }

    // ---- requests

    /** Handles a client's request; a dead router refuses the connection. */
    void receive(ClientAttempt clientAttempt) {
        if (module == null) {
            clientAttempt.client.connectionLost(clientAttempt);
            return;
        }
        openRequests.put(clientAttempt.id, clientAttempt);
        SimulatedRequest request = clientAttempt.request;
        int receivedBy = incarnation;
        simulation.calendar.scheduleAt(clientAttempt.deadlineMicros + Math.round(ANSWER_SLACK_MICROS), () -> {
            if (incarnation == receivedBy && openRequests.get(clientAttempt.id) == clientAttempt
                    && !clientAttempt.answered && !clientAttempt.streamStarted) {
                simulation.ruleChecker.recordViolation("answer: no final answer from router " + number
                        + " to request " + clientAttempt.id
                        + " before its deadline");
                clientAttempt.answered = true;
                openRequests.remove(clientAttempt.id);
                deliver(() -> module.requestAbandoned(now(), clientAttempt.id));
                clientAttempt.client.failed(clientAttempt);
            }
        });
        deliver(() -> module.requestArrived(now(), new Routing.Request(clientAttempt.id, request.requestClass,
                request.municipality, request.clientAttempts > 1, request.session, request.prefix,
                request.promptTokens, request.prefixTokens, request.maxOutputTokens,
                Math.max(1, clientAttempt.deadlineMicros - now()))));
    }

    private void handleFirstToken(ServerAttempt attempt) {
        if (!attempt.inFlight || attempt.routerIncarnation != incarnation) {
            return;
        }
        attempt.streamStarted = true;
        attempt.clientAttempt.streamStarted = true;
        simulation.calendar.scheduleAfter(simulation.clientDelay(random),
                () -> attempt.clientAttempt.client.firstToken(attempt.clientAttempt));
        deliver(() -> module.firstToken(now(), attempt.clientAttempt.id, attempt.number));
    }

    /** Ends an attempt and, if it decides the request, passes the result to the client. */
    private void endAttempt(ServerAttempt attempt, Outcome outcome) {
        if (!attempt.inFlight || attempt.routerIncarnation != incarnation) {
            return;
        }
        attempt.inFlight = false;
        if (attempt.job != null && outcome != Outcome.OK) {
            attempt.job.markAbandoned();
        }
        releaseConnection(attempt, outcome);
        ClientAttempt clientAttempt = attempt.clientAttempt;
        boolean ended = clientAttempt.answered || outcome == Outcome.OK || attempt.streamStarted;
        if (!clientAttempt.answered && ended) {
            clientAttempt.answered = true;
            openRequests.remove(clientAttempt.id);
            if (outcome == Outcome.OK) {
                double delay = simulation.clientDelay(random);
                simulation.calendar.scheduleAfter(delay, () -> clientAttempt.client.completed(clientAttempt));
                simulation.score.recordCacheHit(clientAttempt.request, attempt.job.cachedPromptTokens());
            } else {
                clientAttempt.client.failed(clientAttempt);
            }
        }
        simulation.loadReports.recordOutcome(attempt.server, outcome == Outcome.ERROR);
        Routing.LoadReport report = outcome == Outcome.OK || outcome == Outcome.ERROR
                || outcome == Outcome.FULL
                ? simulation.loadReports.latestReport(attempt.server) : null;
        simulation.score.recordOutcome(outcome);
        deliver(() -> module.attemptEnded(now(), clientAttempt.id, attempt.number, outcome,
                now() - attempt.sentAtMicros, ended,
                attempt.job == null ? 0 : attempt.job.cachedPromptTokens(), report));
    }

    // ---- connections

    private ConnectionPool poolFor(SimulatedServer server) {
        ConnectionPool pool = pools[server.number];
        if (pool == null || pool.serverCrashes != server.crashes) {
            // a crash of the server closed all connections to it
            pool = new ConnectionPool();
            pool.serverCrashes = server.crashes;
            pools[server.number] = pool;
        }
        return pool;
    }

    /** Returns an attempt's connection to its pool, where the keepalive closes it, or closes it at once. */
    private void releaseConnection(ServerAttempt attempt, Outcome outcome) {
        ConnectionPool pool = attempt.pool;
        attempt.pool = null;
        if (pool == null || pool.serverCrashes != attempt.server.crashes) {
            return;
        }
        if (outcome != Outcome.OK && outcome != Outcome.FULL && outcome != Outcome.ERROR) {
            attempt.server.connections--;
            return;
        }
        pool.idleSinceMicros.addLast(now());
        long keepaliveMicros = Math.round(
                simulation.parameters.scenario.routers().keepaliveSeconds() * MICROS_PER_SECOND);
        long closesAt = now() + keepaliveMicros;
        simulation.calendar.scheduleAt(closesAt, () -> {
            boolean current = pools[attempt.server.number] == pool
                    && pool.serverCrashes == attempt.server.crashes;
            if (current && !pool.idleSinceMicros.isEmpty()
                    && pool.idleSinceMicros.peekFirst() + keepaliveMicros <= now()) {
                pool.idleSinceMicros.pollFirst();
                attempt.server.connections--;
            }
        });
    }

    // ---- actions of the module

    @Override
    public void send(long requestId, long replicaId, long timeout) {
        ClientAttempt clientAttempt = openRequests.get(requestId);
        SimulatedServer server = simulation.server(replicaId);
        if (clientAttempt == null || server == null) {
            simulation.ruleChecker.recordViolation("router " + number + " sends request " + requestId
                    + " to server " + replicaId
                    + ", but the request or the server is unknown");
            return;
        }
        simulation.ruleChecker.checkDrain(this, server, unavailableSince.getOrDefault(replicaId, -1L));
        boolean duplicate = clientAttempt.anyInFlight();
        ServerAttempt attempt = new ServerAttempt(clientAttempt, clientAttempt.attempts.size(), server);
        clientAttempt.attempts.add(attempt);
        if (duplicate || clientAttempt.answered) {
            simulation.ruleChecker.recordViolation("two attempts of request " + requestId + " are in flight");
        }
        if (duplicate || clientAttempt.answered
                || clientAttempt.attempts.size() > simulation.parameters.scenario.routers().maxAttempts()) {
            simulation.calendar.scheduleAfter(0, () -> endAttempt(attempt, Outcome.NOT_SENT));
            return;
        }
        simulation.score.recordSend(clientAttempt.request, clientAttempt.attempts.size() == 1,
                server.site != site);
        simulation.calendar.scheduleAfter(Math.max(1, timeout), () -> {
            if (!attempt.streamStarted) {
                endAttempt(attempt, Outcome.TIMEOUT);
            }
        });
        ConnectionPool pool = poolFor(server);
        double oneWayMicros = networkDelayMicros(server.site);
        double connectTimeoutMicros =
                simulation.parameters.scenario.routers().connectTimeoutSeconds() * MICROS_PER_SECOND;
        if (!pool.idleSinceMicros.isEmpty() && server.alive) {
            pool.idleSinceMicros.pollLast();
            attempt.pool = pool;
            simulation.calendar.scheduleAfter(oneWayMicros, () -> arriveAtServer(attempt));
        } else if (!server.alive && !server.unreachable
                || server.connections >= simulation.parameters.scenario.fleet().maxConnections()) {
            simulation.calendar.scheduleAfter(2 * oneWayMicros, () -> endAttempt(attempt,
                    Outcome.CONNECT_FAILED));
        } else if (server.unreachable && !server.alive) {
            simulation.calendar.scheduleAfter(connectTimeoutMicros,
                    () -> endAttempt(attempt, Outcome.CONNECT_FAILED));
        } else {
            server.connections++;
            attempt.pool = pool;
            simulation.score.recordHandshake();
            simulation.calendar.scheduleAfter(oneWayMicros * (1
                    + 2 * simulation.parameters.handshakeRoundTrips), () -> {
                        server.addHandshake(simulation.parameters.handshakeMicros);
                        arriveAtServer(attempt);
                    });
        }
    }

    /** Handles the arrival of an attempt at its server. */
    private void arriveAtServer(ServerAttempt attempt) {
        SimulatedServer server = attempt.server;
        if (!attempt.inFlight || attempt.routerIncarnation != incarnation) {
            // abandoned before it arrived: the server still receives it and does the work for nobody
            if (server.alive) {
                submitToServer(attempt, true);
            }
            return;
        }
        if (!server.alive) {
            if (!server.unreachable) {
                simulation.calendar.scheduleAfter(networkDelayMicros(server.site),
                        () -> endAttempt(attempt, Outcome.RESET));
            }
            return;
        }
        if (!submitToServer(attempt, false)) {
            simulation.calendar.scheduleAfter(networkDelayMicros(server.site),
                    () -> endAttempt(attempt, Outcome.FULL));
        }
    }

    /** Submits an attempt to its server; returns false if the server has no room. */
    private boolean submitToServer(ServerAttempt attempt, boolean abandoned) {
        SimulatedServer server = attempt.server;
        double costSeconds = simulation.parameters.costSeconds(server, attempt.clientAttempt.request);
        boolean startKnown = knownStartTimes.getOrDefault(server.id, -1L) == server.startedAtMicros;
        if (simulation.ruleChecker.checkColdOverload(server, costSeconds, startKnown)) {
            simulation.crashByOverload(server);
            return true;
        }
        if (server.drawsError()) {
            simulation.calendar.scheduleAfter(networkDelayMicros(server.site),
                    () -> endAttempt(attempt, Outcome.ERROR));
            return true;
        }
        InferenceJob job = new InferenceJob(attempt.clientAttempt.request, attempt,
                attempt.clientAttempt.deadlineMicros, costSeconds);
        if (abandoned) {
            job.markAbandoned();
        }
        attempt.job = job;
        return server.submit(job);
    }

    @Override
    public void cancel(long requestId, int attemptNumber) {
        ClientAttempt clientAttempt = openRequests.get(requestId);
        if (clientAttempt != null && attemptNumber >= 0 && attemptNumber < clientAttempt.attempts.size()) {
            ServerAttempt attempt = clientAttempt.attempts.get(attemptNumber);
            if (attempt.inFlight && !attempt.streamStarted) {
                simulation.calendar.scheduleAfter(0, () -> endAttempt(attempt, Outcome.CANCELLED));
            }
        }
    }

    @Override
    public void refuse(long requestId, long retryAfter) {
        reject(requestId, true, retryAfter);
    }

    @Override
    public void fail(long requestId) {
        reject(requestId, false, 0);
    }

    /** Sends the client a final answer other than a stream. */
    private void reject(long requestId, boolean refused, long retryAfter) {
        ClientAttempt clientAttempt = openRequests.remove(requestId);
        if (clientAttempt == null) {
            simulation.ruleChecker.recordViolation("router " + number + " answers request " + requestId
                    + " that is not open");
            return;
        }
        clientAttempt.answered = true;
        simulation.calendar.scheduleAfter(simulation.clientDelay(random),
                () -> clientAttempt.client.rejected(clientAttempt, refused, retryAfter));
    }

    @Override
    public void watchEndpointList() {
        int watchedBy = incarnation;
        simulation.calendar.scheduleAfter(networkDelayMicros(0), () -> {
            if (incarnation == watchedBy) {
                simulation.discovery.watch(this);
            }
        });
    }

    @Override
    public void wakeAt(long time, int token) {
        int requestedBy = incarnation;
        simulation.calendar.scheduleAt(time, () -> {
            if (incarnation == requestedBy) {
                deliver(() -> module.woken(now(), token));
            }
        });
    }

    @Override
    public void log(String line) {
        simulation.log(this, line);
    }

    /** The true state of the servers, for baseline policies that may see it. */
    TrueServerState trueState() {
        return new TrueServerState() {
            @Override
            public double microsToFirstToken(long replicaId, Routing.Request request) {
                ClientAttempt clientAttempt = openRequests.get(request.id());
                SimulatedServer server = simulation.server(replicaId);
                return clientAttempt == null || server == null ? Double.POSITIVE_INFINITY
                        : server.firstTokenMicros(clientAttempt.request) + 2 * baseDelayMicros(server);
            }

            @Override
            public double interTokenMicros(long replicaId) {
                return simulation.server(replicaId).tokenIntervalMicros(1);
            }
        };
    }

    /** The one-way delay to a server without jitter. */
    private double baseDelayMicros(SimulatedServer server) {
        return server.site == site ? simulation.parameters.sameSiteMicros
                : simulation.parameters.crossSiteMicros;
    }
}
