package yewdock.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.Reducer;
import yewdock.core.RequestTransition;

/**
 * Holds all connections, translates what happens on them into events for the reducer and performs the
 * reducer's effects on them. Not thread-safe: it, the reducer and all connection handlers run on one thread.
 */
public final class ConnectionManager {
    private final Reducer reducer;
    private Config config;
    private final Counters counters;
    private final Transport transport;
    private final EndpointListReader listReader;
    private final ServerStartTimes startTimes;
    /** Unix time in microseconds, by which servers report their start; it may be stepped. */
    private LongSupplier wallClock;
    /** Whether discovery has to confirm the endpoint list of the start before it is used. */
    private boolean listNeedsConfirmation;
    private final NameIndexes names;
    /** Limits what clients have sent and is no complete request; the reducer limits complete requests. */
    private final InputMemory inputMemory;
    private final LongSupplier clock;
    private final Consumer<String> log;
    /** Receives the effects that concern other generations; does nothing unless set. */
    private Consumer<Effect> generationEffects = effect -> { };
    /** Receives the steps in the lives of requests; does nothing unless set. */
    private Consumer<RequestTransition> transitions = transition -> { };
    /** Receives the answers to operators' calls. */
    private Consumer<Effect> operatorAnswers = effect -> { };
    private final Map<Long, ClientConnectionHandler> clientConnections = new LinkedHashMap<>();
    private final Map<Long, ServerConnectionHandler> serverConnections = new HashMap<>();
    private final DiscoveryCalls discoveryCalls;
    private final Deque<Event> pendingEvents = new ArrayDeque<>();
    private boolean dispatching;
    private boolean stopRequested;
    private long lastClientId;
    private boolean closingIdleClients;

    /** Makes a manager without connections; {@link #start} gives the reducer its first event. */
    public ConnectionManager(Config config, Reducer reducer, Counters counters, Transport transport,
            LongSupplier clock,
            Consumer<String> log) {
        this.reducer = reducer;
        this.counters = counters;
        this.transport = transport;
        this.names = config.names();
        this.startTimes = new ServerStartTimes(clock, () -> wallClock.getAsLong());
        this.wallClock = clock;
        this.listReader = new EndpointListReader(names, line -> {
            counters.add("list.unusable_entries");
            log.accept(line);
        }, startTimes);
        this.discoveryCalls = new DiscoveryCalls(transport, listReader, clock, counters, log, this::dispatch);
        this.config = config;
        this.inputMemory = new InputMemory(config.bounds().maxInputBytes());
        this.clock = clock;
        this.log = log;
    }

    /** Starts the reducer with the endpoint list in the configuration. */
    public void start() {
        start(config.cachedEndpoints());
    }

    /** Starts the reducer with an endpoint list that is newer than the configuration's. */
    public void start(EndpointList known) {
        listReader.remember(known);
        dispatch(new Event.Started(known, config.discoveryAddress(), listNeedsConfirmation));
    }

    /** Requires that discovery confirms the endpoint list of the start before it is used. */
    public void requireListConfirmation() {
        listNeedsConfirmation = true;
    }

    /** Sets the clock by which servers report their start: Unix time in microseconds. */
    public void followWallClock(LongSupplier newWallClock) {
        wallClock = newWallClock;
    }

    /** Adds what the wall clock was ahead of the router's clock earlier, in microseconds. */
    public void addWallClockOffset(long offsetMicros) {
        startTimes.addOffset(offsetMicros);
    }

    /** Sets the receiver of effects that concern other generations. */
    public void forwardGenerationEffectsTo(Consumer<Effect> receiver) {
        generationEffects = receiver;
    }

    /** Sets the receiver of the answers to operators' calls. */
    public void forwardOperatorAnswersTo(Consumer<Effect> receiver) {
        operatorAnswers = receiver;
    }

    /** Sets the receiver of the steps in the lives of requests. */
    public void reportTransitionsTo(Consumer<RequestTransition> receiver) {
        transitions = receiver;
    }

    /** Applies what can be changed at run time of a new configuration and logs what needs a restart. */
    public void reconfigure(Config next) {
        List<String> needRestart = config.changesNeedingRestart(next);
        log.accept("new configuration: the box list is at " + next.discoveryAddress()
                + (needRestart.isEmpty() ? ""
                : "; not taken before a restart: " + String.join(", ", needRestart)));
        config = next;
        dispatch(new Event.DiscoveryAddressChanged(next.discoveryAddress()));
    }

    /** Registers a new client connection and returns its handler. */
    public ConnectionHandler accept(Connection connection) {
        counters.add("clients.accepted");
        ClientConnectionHandler handler = new ClientConnectionHandler(this, ++lastClientId, connection);
        clientConnections.put(lastClientId, handler);
        dispatch(new Event.ClientConnected(lastClientId));
        return handler;
    }

    /**
     * Passes an event to the reducer and performs the effects. Events that occur meanwhile are queued: a
     * client's next request must not overtake the remaining effects of its last one's end.
     */
    public void dispatch(Event event) {
        pendingEvents.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        startTimes.observe();
        try {
            while (!pendingEvents.isEmpty()) {
                reducer.reduce(pendingEvents.poll(), clock.getAsLong()).forEach(this::performSafely);
            }
        } finally {
            dispatching = false;
        }
        // Stopping while a request has been read in part would lose it, though the reducer has none open.
        if (stopRequested && clientConnections.values().stream()
                .noneMatch(ClientConnectionHandler::hasRequestInProgress)) {
            stopRequested = false;
            if (reducer.isHandedOver()) {
                // changes that discovery reported from now on would reach no generation
                discoveryCalls.closeAll();
            }
            transport.stop();
        }
    }

    /** A fault on one connection must not lose the effects for others; the reducer's timeouts handle it. */
    private void performSafely(Effect effect) {
        try {
            perform(effect);
        } catch (RuntimeException e) {
            counters.add("faults");
            log.accept("fault: " + e + " in " + effect.getClass().getSimpleName());
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.ForwardChunk e) {
            withClient(e.client(), c -> c.writeChunk(e.bytes()));
        } else if (effect instanceof Effect.SendAttempt e) {
            ServerConnectionHandler server = serverConnections.get(e.connection());
            ClientConnectionHandler client = clientConnections.get(e.client());
            if (server != null && client != null) {
                server.send(client.request(), e.timeoutMicros());
            }
        } else if (effect instanceof Effect.EndResponse e) {
            withClient(e.client(), ClientConnectionHandler::endResponse);
        } else if (effect instanceof Effect.OpenServerConnection e) {
            transport.connect(e.address(), connection -> {
                ServerConnectionHandler handler =
                        new ServerConnectionHandler(this, e.connection(), connection);
                serverConnections.put(e.connection(), handler);
                return handler;
            });
        } else if (effect instanceof Effect.CloseServerConnection e) {
            ServerConnectionHandler server = serverConnections.get(e.connection());
            if (server != null) {
                server.close();
            }
        } else if (effect instanceof Effect.PauseReading e) {
            ServerConnectionHandler server = serverConnections.get(e.connection());
            if (server != null) {
                server.setReadingPaused(e.paused());
            }
        } else if (effect instanceof Effect.AbortResponse e) {
            withClient(e.client(), ClientConnectionHandler::abort);
        } else if (effect instanceof Effect.Refuse e) {
            withClient(e.client(), c -> c.refuse(e.retryAfterMicros()));
        } else if (effect instanceof Effect.Fail e) {
            withClient(e.client(), ClientConnectionHandler::fail);
        } else if (effect instanceof Effect.CallDiscovery e) {
            discoveryCalls.call(e);
        } else if (effect instanceof Effect.CancelDiscoveryCall) {
            discoveryCalls.cancelCurrent();
        } else if (effect instanceof Effect.CancelDiscoveryCallsAside) {
            discoveryCalls.cancelCallsAside();
        } else if (effect instanceof Effect.SetDiscoveryCallAside) {
            discoveryCalls.setCurrentAside();
        } else if (effect instanceof Effect.CloseClient e) {
            withClient(e.client(), ClientConnectionHandler::closeOrTimeOut);
        } else if (effect instanceof Effect.RefusePartialRequest e) {
            withClient(e.client(), ClientConnectionHandler::refusePartialRequest);
        } else if (effect instanceof Effect.RejectDuplicate e) {
            withClient(e.client(), ClientConnectionHandler::rejectDuplicate);
        } else if (effect instanceof Effect.CloseIdleClients) {
            closingIdleClients = true;
            List.copyOf(clientConnections.values()).forEach(ClientConnectionHandler::closeIfIdle);
        } else if (effect instanceof Effect.AnswerCommand || effect instanceof Effect.AnswerStatistics) {
            operatorAnswers.accept(effect);
        } else if (effect instanceof Effect.SendToGenerations || effect instanceof Effect.SendGenerationState
                || effect instanceof Effect.PublishOverride) {
            generationEffects.accept(effect);
        } else if (effect instanceof Effect.ReportTransition e) {
            transitions.accept(e.transition());
        } else if (effect instanceof Effect.Log e) {
            log.accept(e.message());
        } else if (effect instanceof Effect.Stop) {
            stopRequested = true;
        }
    }

    private void withClient(long id, Consumer<ClientConnectionHandler> action) {
        ClientConnectionHandler handler = clientConnections.get(id);
        if (handler != null) {
            action.accept(handler);
        }
    }

    void clientClosed(long id) {
        clientConnections.remove(id);
        dispatch(new Event.ClientDisconnected(id));
    }

    void serverConnectionClosed(long id) {
        serverConnections.remove(id);
        dispatch(new Event.ServerDisconnected(id));
    }

    /** Whether responses should tell clients to close, and idle client connections should be closed. */
    boolean leaving() {
        return reducer.isShuttingDown() || reducer.isHandedOver() || reducer.isQuiesced();
    }

    /** Whether client connections close after a response even if it did not announce that. */
    boolean closesAfterResponse() {
        return closingIdleClients && leaving();
    }

    /** Why the router is not ready; empty if it is. */
    String notReadyReason() {
        return reducer.notReadyReason();
    }

    /** The router's clock, in microseconds. */
    long now() {
        return clock.getAsLong();
    }

    Counters counters() {
        return counters;
    }

    InputMemory inputMemory() {
        return inputMemory;
    }

    NameIndexes names() {
        return names;
    }

    void log(String line) {
        log.accept(line);
    }
}
