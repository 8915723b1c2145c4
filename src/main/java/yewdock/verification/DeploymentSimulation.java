package yewdock.verification;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Outcome;
import umberspread.Routing.ServerState;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.ModelRequest;
import yewdock.core.ModelServer;
import yewdock.core.Reducer;
import yewdock.core.ResourceLimits;
import yewdock.model.EventCalendar;

/**
 * Simulates half a minute of a random deployment in virtual time: the real reducer and the real module, with
 * servers, discovery and clients that keep to the platform's protocol and fail at random. Checks the router's
 * effects against what the simulation itself has sent and seen. Times are in microseconds; the same seed
 * gives the same run.
 */
public final class DeploymentSimulation {
    /**
     * Faults injected between the router and its environment, each of which the checks must detect: changes
     * to the endpoint list that the router does not get, requests that stay in flight after their connection
     * closed, responses that end twice, timers one second late, and chunks of another connection's stream.
     */
    public enum InjectedFault { NONE, LIST_UNHEARD, CLOSES_LATE, ANSWERS_TWICE, TICKS_LATE, STREAMS_MIXED }

    /** One second, in microseconds. */
    private static final long SECOND = 1_000_000;
    /** Clients send requests for this long. */
    private static final long TRAFFIC_MICROS = 30 * SECOND;
    private static final long START_MICROS = 100 * SECOND;
    /** Allowance added to each time limit, because limits are met later on real sockets. */
    private static final long SLACK_MICROS = 50_000;

    /**
     * How a server treats requests: SILENT never answers, VANISHED does not accept connections either, FULL
     * and FAILING answer with these outcomes, and SLOW takes six times as long.
     */
    private enum Condition { FINE, SILENT, VANISHED, FULL, FAILING, SLOW }

    /** A server and its entry in the endpoint list. */
    private final class SimulatedServer {
        private final long id;
        private final int zone;
        private final long startedAt;
        private Condition condition = Condition.FINE;
        private Lifecycle lifecycle = Lifecycle.READY;
        private boolean removed;
        private int inFlight;
        /** The version of the endpoint list in which its entry last changed. */
        private long listVersion;
        /**
         * When the router was told that the server takes no new requests; beyond the end
         * of the run before that.
         */
        private long drainToldAt = Long.MAX_VALUE / 2;

        SimulatedServer(long id, int zone, long startedAt) {
            this.id = id;
            this.zone = zone;
            this.startedAt = startedAt;
        }

        ModelServer endpointEntry() {
            return new ModelServer("s-" + id, "127.0.0.1:" + (9000 + id), new ServerState(id, zone,
                    (int) id % 3, (int) id / 4, 1 + id % 2, lifecycle, startedAt));
        }
    }

    /** A server connection that the router has opened. */
    private static final class SimulatedConnection {
        private final long id;
        private final SimulatedServer server;
        private boolean closed;
        private SimulatedRequest request;
        /** Counts the attempts on this connection, so that work for an earlier one is dropped. */
        private int attemptNumber;

        SimulatedConnection(long id, SimulatedServer server) {
            this.id = id;
            this.server = server;
        }
    }

    /** A client's request and its state. */
    private static final class SimulatedRequest {
        private final long clientId;
        private final int requestClass;
        private final long deadline;
        /** The connections with an attempt of this request in flight. */
        private final List<SimulatedConnection> inFlight = new ArrayList<>();
        private int attempts;
        /** Whether a server has accepted an attempt, so that it may have run there. */
        private boolean mayHaveRun;
        private boolean answered;
        private boolean clientGone;
        /** The server connection that the stream began on, or 0 before the first chunk. */
        private long streamConnection;

        SimulatedRequest(long clientId, int requestClass, long deadline) {
            this.clientId = clientId;
            this.requestClass = requestClass;
            this.deadline = deadline;
        }
    }

    private final RandomDeployment deployment;
    private final InjectedFault fault;
    private final SplittableRandom random;
    private final EventCalendar calendar = new EventCalendar();
    private final Map<Long, SimulatedServer> servers = new LinkedHashMap<>();
    private final Map<Long, SimulatedConnection> connections = new HashMap<>();
    private final Map<Long, SimulatedRequest> requests = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Counters counters = new Counters();
    private final Reducer reducer;
    private long timerDue = Long.MAX_VALUE;
    private long lastClientId;
    private long lastServerId;
    private long listVersion = 1;
    private boolean discoverySilent;
    private boolean discoveryRefuses;
    private long discoveryCallId;
    private Effect.CallDiscovery openDiscoveryCall;

    /** Prepares the run of a seed with an injected fault, or NONE. */
    public DeploymentSimulation(long seed, InjectedFault fault) {
        this.deployment = RandomDeployment.fromSeed(seed);
        this.fault = fault;
        this.random = new SplittableRandom(seed);
        calendar.runUntil(START_MICROS);
        for (int i = 0; i < deployment.serverCount(); i++) {
            addServer(0);
        }
        this.reducer = new Reducer(deployment.coreSettings(), new ResourceLimits(400, 400, 400, 64 << 20),
                counters, actions -> new BoundedLoadRouter(deployment.settings(), seed, actions));
    }

    /** Runs the simulation to its end and returns the violations. */
    public List<String> run() {
        dispatch(new Event.Started(new EndpointList(listVersion, true, endpointEntries(0)),
                "127.0.0.1:8500"));
        runAfter((long) (SECOND / deployment.requestsPerSecond()), this::sendRequest);
        for (int i = 0; i < deployment.faultCount(); i++) {
            runAfter(random.nextLong(TRAFFIC_MICROS - 5 * SECOND), this::injectRandomFault);
        }
        calendar.runUntil(START_MICROS + TRAFFIC_MICROS + 20 * SECOND - 1);
        requests.values().stream().filter(request -> !request.answered && !request.clientGone)
                .forEach(request -> violation("answer: request " + request.clientId
                + " has no final answer"));
        if (counters.get("faults") > 0) {
            violation("fault: " + counters.get("faults") + " in the router");
        }
        return violations;
    }

    /** The router's own counters, which show that a run did some work. */
    public Counters counters() {
        return counters;
    }

    private long now() {
        return calendar.nowMicros();
    }

    private void violation(String what) {
        violations.add("at " + (now() - START_MICROS) / 1000 + " ms " + what);
    }

    private void runAfter(long delay, Runnable task) {
        calendar.scheduleAfter(delay, task);
    }

    // ---- the router

    private void dispatch(Event event) {
        for (Effect effect : reducer.reduce(event, now())) {
            perform(effect);
        }
        if (reducer.nextTimerDue() < timerDue) {
            timerDue = reducer.nextTimerDue();
            long due = timerDue;
            runAfter(Math.max(0, due - now()) + (fault == InjectedFault.TICKS_LATE ? SECOND : 0), () -> {
                if (timerDue == due) {
                    timerDue = Long.MAX_VALUE;
                    dispatch(new Event.Tick());
                }
            });
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.OpenServerConnection e) {
            openConnection(e);
        } else if (effect instanceof Effect.SendAttempt e) {
            onAttemptSent(connections.get(e.connection()), requests.get(e.client()));
        } else if (effect instanceof Effect.CloseServerConnection e) {
            closeConnection(connections.get(e.connection()));
        } else if (effect instanceof Effect.ForwardChunk e) {
            onChunkForwarded(e);
        } else if (effect instanceof Effect.EndResponse e) {
            onResponseEnded(e.client(), "served");
        } else if (effect instanceof Effect.AbortResponse e) {
            onResponseEnded(e.client(), "cut off");
        } else if (effect instanceof Effect.Fail e) {
            onResponseEnded(e.client(), "failed");
        } else if (effect instanceof Effect.Refuse e) {
            SimulatedRequest request = requests.get(e.client());
            if (retrySafety(request) == Routing.RetrySafety.FRAGILE && request.mayHaveRun) {
                violation("retry safety: request " + request.clientId + " is refused though it may have run");
            }
            onResponseEnded(e.client(), "refused");
        } else if (effect instanceof Effect.CallDiscovery e) {
            openDiscoveryCall = e;
            long expected = ++discoveryCallId;
            runAfter(1_000, () -> answerDiscoveryCall(expected));
        } else if (effect instanceof Effect.CancelDiscoveryCall) {
            discoveryCallId++;
            openDiscoveryCall = null;
        }
    }

    private Routing.RetrySafety retrySafety(SimulatedRequest request) {
        return deployment.settings().classes().get(request.requestClass).retrySafety();
    }

    // ---- clients

    private void sendRequest() {
        if (now() < START_MICROS + TRAFFIC_MICROS) {
            runAfter((long) (-Math.log(1 - random.nextDouble()) * SECOND / deployment.requestsPerSecond()),
                    this::sendRequest);
        }
        int requestClass = random.nextInt(deployment.settings().classes().size());
        long clientTimeout = deployment.settings().classes().get(requestClass).maxClientTimeout()
                * (7 + random.nextInt(4)) / 10;
        SimulatedRequest request = new SimulatedRequest(++lastClientId, requestClass, now() + clientTimeout);
        requests.put(request.clientId, request);
        dispatch(new Event.ClientConnected(request.clientId));
        int tenants = deployment.settings().tenants().size();
        dispatch(new Event.RequestReceived(request.clientId,
                new ModelRequest("r" + request.clientId, requestClass,
                tenants == 0 ? 0 : random.nextInt(tenants), false, 1 + random.nextInt(200),
                1 + random.nextInt(9), 500 + random.nextInt(6000), 400, 300, clientTimeout, 1000)));
        if (random.nextInt(30) == 0) {
            runAfter(random.nextLong(clientTimeout), () -> disconnectClient(request));
        }
        runAfter(clientTimeout + SLACK_MICROS, () -> {
            if (!request.answered && !request.clientGone && request.streamConnection == 0) {
                violation("answer: request " + request.clientId + " has no answer when its client gives up");
            }
        });
    }

    private void disconnectClient(SimulatedRequest request) {
        if (!request.answered) {
            request.clientGone = true;
            dispatch(new Event.ClientDisconnected(request.clientId));
        }
    }

    private void onResponseEnded(long clientId, String how) {
        SimulatedRequest request = requests.get(clientId);
        if (request.answered) {
            violation("answer: request " + clientId + " is " + how + " after its answer");
        }
        boolean twice = fault == InjectedFault.ANSWERS_TWICE && clientId % 50 == 0
                && !request.answered;
        request.answered = true;
        if (twice) {
            onResponseEnded(clientId, how);
        }
        runAfter(0, () -> dispatch(new Event.ClientDisconnected(clientId)));
    }

    /** The first eight bytes of a chunk are the id of the connection that it came over. */
    private void onChunkForwarded(Effect.ForwardChunk e) {
        SimulatedRequest request = requests.get(e.client());
        long connection = e.bytes().getLong(0);
        if (request.streamConnection == 0) {
            request.streamConnection = connection;
        } else if (request.streamConnection != connection) {
            violation("streams: request " + request.clientId + " has a chunk of another attempt");
        }
        runAfter(100, () -> dispatch(new Event.ClientBytesWritten(e.client(), 0)));
    }

    // ---- connections and servers

    private void openConnection(Effect.OpenServerConnection e) {
        SimulatedServer server = servers.get(Long.parseLong(e.address().substring(10)) - 9000);
        SimulatedConnection connection = new SimulatedConnection(e.connection(), server);
        connections.put(connection.id, connection);
        if (server.condition == Condition.VANISHED) {
            return;
        }
        runAfter(500 + random.nextLong(8_000), () -> {
            if (!connection.closed && server.removed) {
                connectionLost(connection);
            } else if (!connection.closed) {
                dispatch(new Event.ServerConnected(connection.id));
            }
        });
    }

    private void closeConnection(SimulatedConnection connection) {
        runAfter(fault == InjectedFault.CLOSES_LATE ? 0 : random.nextLong(400), () -> {
            if (fault == InjectedFault.CLOSES_LATE && connection.request != null
                    && !connection.closed) {
                // the server sees the close only later, so the request stays in flight there
                SimulatedRequest unfinished = connection.request;
                connection.request = null;
                runAfter(SECOND / 3, () -> unfinished.inFlight.remove(connection));
            }
            connectionLost(connection);
        });
    }

    private void connectionLost(SimulatedConnection connection) {
        if (!connection.closed) {
            connection.closed = true;
            releaseRequest(connection);
            dispatch(new Event.ServerDisconnected(connection.id));
        }
    }

    private void releaseRequest(SimulatedConnection connection) {
        if (connection.request != null) {
            connection.request.inFlight.remove(connection);
            connection.request = null;
            connection.attemptNumber++;
            connection.server.inFlight--;
        }
    }

    private void onAttemptSent(SimulatedConnection connection, SimulatedRequest request) {
        SimulatedServer server = connection.server;
        if (now() > server.drainToldAt + deployment.settings().contract().drainGrace() + SLACK_MICROS) {
            violation("drain: request " + request.clientId + " goes to server " + server.id + " "
                    + (now() - server.drainToldAt) / 1000 + " ms after its drain was told");
        }
        if (!request.inFlight.isEmpty() && !deployment.allowsHedging(request.requestClass)) {
            violation("hedging: request " + request.clientId + " is in flight twice");
        }
        if (retrySafety(request) == Routing.RetrySafety.FRAGILE && request.mayHaveRun) {
            violation("retry safety: request " + request.clientId + " is sent again though it may have run");
        }
        if (++request.attempts > deployment.settings().limits().maxAttempts()) {
            violation("attempts: request " + request.clientId + " has attempt number " + request.attempts);
        }
        if (request.answered || request.clientGone) {
            violation("answer: request " + request.clientId + " is sent after its end");
        }
        request.inFlight.add(connection);
        connection.request = request;
        server.inFlight++;
        int attemptNumber = ++connection.attemptNumber;
        runAfter(50, () -> ifActive(connection, attemptNumber, () -> {
            dispatch(new Event.AttemptWritten(connection.id));
            // a server that drains or is full rejects new requests with an explicit answer
            if (server.lifecycle != Lifecycle.READY || server.condition == Condition.FULL) {
                runAfter(300, () -> ifActive(connection, attemptNumber,
                        () -> completeAttempt(connection, Outcome.FULL)));
                return;
            }
            request.mayHaveRun = true;
            serve(connection, attemptNumber);
        }));
    }

    private void ifActive(SimulatedConnection connection, int attemptNumber, Runnable task) {
        if (!connection.closed && connection.attemptNumber == attemptNumber && connection.request != null) {
            task.run();
        }
    }

    private void serve(SimulatedConnection connection, int attemptNumber) {
        SimulatedServer server = connection.server;
        if (server.condition == Condition.SILENT || server.condition == Condition.VANISHED) {
            return;
        }
        if (server.condition == Condition.FAILING) {
            runAfter(2_000, () -> ifActive(connection, attemptNumber, () ->
                    completeAttempt(connection, Outcome.ERROR)));
            return;
        }
        long firstTokenDelay = 20_000 + random.nextLong(120_000) + server.inFlight * 8_000L;
        runAfter(server.condition == Condition.SLOW ? firstTokenDelay * 6 : firstTokenDelay,
                () -> sendChunk(connection, attemptNumber, 3 + random.nextInt(40)));
    }

    private void sendChunk(SimulatedConnection connection, int attemptNumber, int remaining) {
        if (connection.server.condition == Condition.SILENT
                || connection.server.condition == Condition.VANISHED) {
            return;
        }
        ifActive(connection, attemptNumber, () -> {
            boolean mixed = fault == InjectedFault.STREAMS_MIXED && connection.id % 40 == 0
                    && remaining % 3 == 0;
            long streamId = mixed ? connection.id + 1 : connection.id;
            dispatch(new Event.ResponseChunk(connection.id, ByteBuffer.allocate(8).putLong(0, streamId)));
            if (remaining == 0) {
                ifActive(connection, attemptNumber, () -> completeAttempt(connection, Outcome.OK));
            } else {
                runAfter(30_000, () -> sendChunk(connection, attemptNumber, remaining - 1));
            }
        });
    }

    private void completeAttempt(SimulatedConnection connection, Outcome outcome) {
        releaseRequest(connection);
        dispatch(new Event.ResponseCompleted(connection.id, outcome, true, 0, null));
    }

    // ---- faults

    private void addServer(long startedAt) {
        SimulatedServer server = new SimulatedServer(++lastServerId,
                random.nextInt(deployment.zoneCount()), startedAt);
        server.listVersion = listVersion;
        servers.put(server.id, server);
    }

    private void injectRandomFault() {
        List<SimulatedServer> ready = servers.values().stream().filter(server ->
                server.lifecycle == Lifecycle.READY).toList();
        SimulatedServer server = ready.get(random.nextInt(ready.size()));
        long duration = SECOND + random.nextLong(8 * SECOND);
        switch (random.nextInt(9)) {
            case 0, 1, 2 -> replaceServer(server);
            case 3 -> applyCondition(server, Condition.SILENT, duration);
            case 4 -> applyCondition(server, Condition.VANISHED, duration);
            case 5 -> applyCondition(server, Condition.FAILING, duration);
            case 6 -> servers.values().forEach(each -> applyCondition(each, Condition.SLOW, duration));
            case 7 -> {
                discoverySilent = true;
                runAfter(duration, () -> {
                    discoverySilent = false;
                    endpointListChanged();
                });
                replaceServer(server);
            }
            default -> {
                discoveryRefuses = true;
                runAfter(duration / 4, () -> discoveryRefuses = false);
                runAfter(duration / 4, this::endpointListChanged);
                replaceServer(server);
            }
        }
    }

    private void applyCondition(SimulatedServer server, Condition newCondition, long duration) {
        server.condition = newCondition;
        runAfter(duration, () -> server.condition = Condition.FINE);
    }

    /**
     * Replaces a server as a rollout does: a new one starts, the old one drains for
     * six seconds and is removed.
     */
    private void replaceServer(SimulatedServer server) {
        listVersion++;
        addServer(now());
        server.lifecycle = Lifecycle.DRAINING;
        server.listVersion = listVersion;
        endpointListChanged();
        runAfter(6 * SECOND, () -> {
            listVersion++;
            server.lifecycle = Lifecycle.GONE;
            server.listVersion = listVersion;
            server.removed = true;
            endpointListChanged();
            connections.values().stream().filter(connection -> connection.server == server).toList()
                    .forEach(this::connectionLost);
        });
    }

    // ---- discovery

    /**
     * Answers the open call, if any. Where an agent pushes the list, the router counts as told at once,
     * whether or not it has called; not so while discovery is silent or refuses calls.
     */
    private void endpointListChanged() {
        if (!deployment.settings().pullsEndpointList() && !discoverySilent && !discoveryRefuses) {
            recordDrainsTold(listVersion);
        }
        if (openDiscoveryCall != null && !discoverySilent) {
            long expected = discoveryCallId;
            runAfter(1_000, () -> answerDiscoveryCall(expected));
        }
    }

    private void recordDrainsTold(long version) {
        for (SimulatedServer server : servers.values()) {
            if (server.lifecycle != Lifecycle.READY && server.listVersion <= version) {
                server.drainToldAt = Math.min(server.drainToldAt, now());
            }
        }
    }

    private List<ModelServer> endpointEntries(long sinceVersion) {
        return servers.values().stream().filter(server -> server.listVersion > sinceVersion
                && (sinceVersion > 0 || !server.removed))
                .map(SimulatedServer::endpointEntry).toList();
    }

    private void answerDiscoveryCall(long expected) {
        if (expected != discoveryCallId || openDiscoveryCall == null || discoverySilent) {
            return;
        }
        Effect.CallDiscovery call = openDiscoveryCall;
        if (discoveryRefuses) {
            openDiscoveryCall = null;
            dispatch(new Event.DiscoveryCallFailed());
            return;
        }
        if (call.sinceVersion() >= listVersion && call.maxWaitMicros() > 0) {
            // long poll: nothing is newer, so the answer is empty once the wait is over
            runAfter(call.maxWaitMicros(), () -> {
                if (expected == discoveryCallId && openDiscoveryCall == call && !discoverySilent) {
                    openDiscoveryCall = null;
                    dispatch(new Event.EndpointListReceived(new EndpointList(listVersion, false,
                            endpointEntries(call.sinceVersion()))));
                }
            });
            return;
        }
        openDiscoveryCall = null;
        if (deployment.settings().pullsEndpointList()) {
            recordDrainsTold(listVersion);
        }
        if (fault == InjectedFault.LIST_UNHEARD) {
            dispatch(new Event.EndpointListReceived(new EndpointList(listVersion, false, List.of())));
            return;
        }
        dispatch(new Event.EndpointListReceived(new EndpointList(listVersion, call.sinceVersion() < 0,
                endpointEntries(Math.max(0, call.sinceVersion())))));
    }
}
