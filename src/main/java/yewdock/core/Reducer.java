package yewdock.core;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import umberspread.Routing;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;

/**
 * The core of the router: it holds all state and is the only place where state changes. {@link #reduce} takes
 * one event at a time and returns the effects that the transport has to carry out. It does no I/O, reads no
 * clock and knows nothing of HTTP. The module chooses the server of each attempt; the reducer enforces the
 * rules for sending it.
 *
 * <p>Events are dispatched to the components: {@link OpenRequests} keeps the open requests, {@link Attempts}
 * and {@link ResponseStreams} carry out their attempts, {@link ServerConnections} manages the server
 * connections, {@link DiscoveryWatch} the watch on the endpoint list, {@link ClientConnections} the idle
 * client connections and {@link OtherGenerations} the state shared with other generations.
 */
public final class Reducer {
    private final ReducerContext context;
    private final ClientConnections clients;
    private final DiscoveryWatch watch;
    private final ListConfirmation listConfirmation;
    private final OtherGenerations otherGenerations;
    private final KnownServers servers;
    private final ServerConnections connections;
    private final OpenRequests openRequests;
    private final Attempts attempts;
    private final ResponseStreams responses;
    private final OperatorCommandHandler commands;
    private final Shutdown shutdown;
    private boolean handedOver;
    private OlderGeneration olderGeneration = OlderGeneration.NONE;
    /** Endpoint lists are sent on to the other processes, one of which stores them. */
    private boolean relaying;
    /** Time limit for open requests after another generation took over, in microseconds. */
    private long finishUntil;
    private boolean stopped;

    /** Creates the reducer and the module, which gets its actions. */
    public Reducer(CoreSettings settings, ResourceLimits limits, Counters counters,
            Function<Routing.Actions, Routing.Events> makeModule) {
        this.context = new ReducerContext(counters);
        this.shutdown = new Shutdown(context);
        this.servers = new KnownServers(context::now, settings.maxColdMicros());
        this.clients = new ClientConnections(limits.maxClientConnections(), context::now, context.timers(),
                counters, context::emit);
        this.watch = new DiscoveryWatch(settings, context::now, context.timers(), counters, context::emit,
                this::discoveryCallFailed);
        this.listConfirmation = new ListConfirmation(context);
        this.otherGenerations = new OtherGenerations(context::now, context.timers(), counters, context::emit,
                new Admission());
        this.connections = new ServerConnections(context, limits.maxServerConnections(),
                settings.keepaliveMicros(), servers);
        this.openRequests = new OpenRequests(context, settings, limits, servers, connections,
                otherGenerations);
        this.attempts = openRequests.attempts();
        this.responses = new ResponseStreams(context, limits.maxUnwrittenBytes(), connections,
                openRequests);
        this.commands = new OperatorCommandHandler(context, settings, counters, servers,
                () -> openRequests.count() + otherGenerations.pendingClaims(),
                () -> handedOver ? "a newer process serves"
                        : olderGeneration == OlderGeneration.FINISHING ? "an older process finishes"
                        : notReadyReason(),
                this::reportKnownServers);
        context.module(makeModule.apply(new ActionQueue()));
    }

    /** Handles one event at the given time in microseconds and returns its effects. */
    public List<Effect> reduce(Event event, long timeMicros) {
        context.begin(timeMicros);
        run(new ReducerContext.Step(requestOf(event), () -> dispatch(event)));
        for (ReducerContext.Step step = context.nextStep(); step != null; step = context.nextStep()) {
            run(step);
        }
        if (shutdown.mayExit() && !stopped && openRequests.isEmpty() && !otherGenerations.hasClaims()) {
            stopped = true;
            context.emit(new Effect.Stop());
        }
        if (handedOver && !stopped && openRequests.isEmpty() && !otherGenerations.hasClaims()
                && (clients.count() == 0 || context.now() >= finishUntil)) {
            stopped = true;
            context.emit(new Effect.Stop());
        }
        return context.effects();
    }

    /** Returns the time of the next {@link Event.Tick} in microseconds, or Long.MAX_VALUE. */
    public long nextTimerDue() {
        return context.timers().nextTime();
    }

    /** Returns why a request that arrived now could not be served; empty if it could. */
    public String notReadyReason() {
        if (shutdown.isStarted() && !handedOver) {
            return "leaving";
        }
        if (commands.quiesced()) {
            return "quiesced";
        }
        if (olderGeneration == OlderGeneration.SERVING) {
            return "an older process serves";
        }
        if (context.inDoubt()) {
            return "in doubt about what is agreed";
        }
        if (listConfirmation.isFirstAnswerAwaited()) {
            return listConfirmation.delaysReadiness() ? "discovery has not answered" : "";
        }
        return servers.all().stream().anyMatch(ModelServer::takesWork) ? "" : "no model box takes work";
    }

    /** Whether an operator has quiesced this router. */
    public boolean isQuiesced() {
        return commands.quiesced();
    }

    /**
     * Returns the number of entries held for requests, clients, connections and timers. When the router is
     * idle it returns to its value at the start.
     */
    public int retainedEntries() {
        return openRequests.retainedEntries() + connections.retainedEntries() + servers.retainedEntries()
                + clients.count() + context.retainedEntries() + otherGenerations.retainedEntries();
    }

    /**
     * Whether the discovery call after a pause of the process is still open. Nothing new should be sent
     * before its answer, which may tell of a drain.
     */
    public boolean isCatchingUp() {
        return watch.catchingUp();
    }

    /** Whether the router is shutting down. */
    public boolean isShuttingDown() {
        return shutdown.isStarted();
    }

    /** Whether another generation accepts new connections and this one only finishes its open requests. */
    public boolean isHandedOver() {
        return handedOver;
    }

    /**
     * Restores when an earlier generation learned of each server's state, by server id. Entries of servers
     * that aren't known are ignored, and so are later times.
     */
    public void restoreToldAt(Map<Long, Long> earlierTimes) {
        servers.restoreStateTimes(earlierTimes);
    }

    /** Returns all operator overrides by server name. */
    public Map<String, OperatorOverride> operatorOverrides() {
        return Map.copyOf(servers.overrides());
    }

    /** Returns the state that other generations need so that no request id or attempt is used twice. */
    public GenerationState generationState() {
        List<String> ids = openRequests.requestIds();
        ids.addAll(otherGenerations.claimedIds());
        return new GenerationState(ids, openRequests.recentIds(), Attempts.inFlight(openRequests.all()),
                new EndpointList(watch.version(), true, servers.listed()), watch.address(),
                isListConfirmed(), servers.stateSince());
    }

    private boolean isListConfirmed() {
        return !listConfirmation.isFirstAnswerAwaited() && !context.isListUnconfirmed();
    }

    private void dispatch(Event event) {
        if (event instanceof Event.ResponseChunk e) {
            responses.chunkReceived(e);
        } else if (event instanceof Event.ClientBytesWritten e) {
            responses.clientBytesWritten(e);
        } else if (event instanceof Event.RequestReceived e) {
            requestReceived(e);
        } else if (event instanceof Event.ResponseCompleted e) {
            responses.responseCompleted(e);
        } else if (event instanceof Event.ResponseProgressed e) {
            responses.responseProgressed(e.connection());
        } else if (event instanceof Event.ResponseMalformed e) {
            responses.responseMalformed(e.connection());
        } else if (event instanceof Event.AttemptWritten e) {
            attempts.written(e.connection());
        } else if (event instanceof Event.AttemptNotStarted e) {
            attempts.notStarted(e.connection());
        } else if (event instanceof Event.ServerConnected e) {
            attempts.connected(e.connection());
        } else if (event instanceof Event.ServerDisconnected e) {
            responses.connectionClosed(e.connection());
        } else if (event instanceof Event.ClientConnected e) {
            clients.connected(e.client());
        } else if (event instanceof Event.ClientRequestStarted e) {
            clients.requestStarted(e.client());
        } else if (event instanceof Event.ClientIdle e) {
            clients.idle(e.client());
        } else if (event instanceof Event.ClientDisconnected e) {
            clients.disconnected(e.client());
            otherGenerations.clientDisconnected(e.client()).forEach(this::claimAbandoned);
            openRequests.clientDisconnected(e.client());
        } else if (event instanceof Event.Tick) {
            for (Runnable task = context.timers().poll(context.now()); task != null;
                    task = context.timers().poll(context.now())) {
                run(new ReducerContext.Step(0, task));
            }
        } else if (event instanceof Event.EndpointListReceived e) {
            watch.answerDelayed(e.delayMicros());
            listReceived(e.list());
        } else if (event instanceof Event.LateEndpointListReceived e) {
            watch.answerDelayed(e.delayMicros());
            lateListReceived(e.list());
        } else if (event instanceof Event.DiscoveryConnectionLost) {
            watch.connectionLost();
        } else if (event instanceof Event.DiscoveryCallFailed) {
            discoveryCallFailed();
        } else if (event instanceof Event.Started e) {
            started(e);
        } else if (event instanceof Event.DiscoveryAddressChanged e) {
            discoveryMoved(e.address());
        } else if (event instanceof Event.GenerationMessageReceived e) {
            messageReceived(e.generation(), e.message());
        } else if (event instanceof Event.HandoverStarted) {
            context.emit(new Effect.SendGenerationState(generationState()));
            otherGenerations.releaseOwnership();
        } else if (event instanceof Event.GenerationStateReceived e) {
            adoptState(e.generation(), e.state());
        } else if (event instanceof Event.GenerationGone e) {
            otherGenerations.openIds(e.generation()).forEach(openRequests::addRecentId);
            otherGenerations.generationEnded(e.generation())
                    .forEach(token -> reportAttemptEnded(e.generation(), token));
        } else if (event instanceof Event.HandedOver e) {
            handOver(e.limitMicros());
        } else if (event instanceof Event.HandoverAborted) {
            handedOver = false;
            clients.setCloseEarly(false);
            otherGenerations.takeOwnership();
        } else if (event instanceof Event.OverridesReplaced e) {
            overridesReplaced(e.overrides());
        } else if (event instanceof Event.LeaseGranted e) {
            context.extendLease(e.untilMicros(), e.retryAfterMicros());
        } else if (event instanceof Event.ProcessResumed e) {
            processResumed(e.pausedMicros());
        } else if (event instanceof Event.EndpointListOutdated) {
            watch.listOutdated();
        } else if (event instanceof Event.OverrideChanged e) {
            servers.setOverride(e.server(), e.override());
            reportKnownServers();
        } else if (event instanceof Event.OlderGenerationChanged e) {
            olderGeneration = e.older();
        } else if (event instanceof Event.EndpointListRelayEnabled) {
            relaying = true;
        } else if (event instanceof Event.OperatorCommandReceived e) {
            commands.execute(e, shutdown.isStarted());
        } else if (event instanceof Event.ShutdownRequested) {
            shutdown.start();
        }
    }

    /**
     * Runs one step. An exception must affect only the request it belongs to: it is logged and counted, and
     * that request is answered with a failure.
     */
    private void run(ReducerContext.Step step) {
        try {
            step.task().run();
        } catch (RuntimeException e) {
            context.count("faults");
            StackTraceElement[] trace = e.getStackTrace();
            context.log("fault: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
            OpenRequest request = openRequests.get(step.requestId());
            if (request != null && !request.ended) {
                openRequests.failAndReport(request, Outcome.CANCELLED, CloseReason.FAULT);
            }
        }
    }

    private long requestOf(Event event) {
        if (event instanceof Event.RequestReceived e) {
            OpenRequest request = openRequests.byClient(e.client());
            return request == null ? 0 : request.id;
        }
        ServerConnection connection = event instanceof Event.ResponseChunk chunk
                ? connections.get(chunk.connection())
                : event instanceof Event.ResponseCompleted completed ? connections.get(completed.connection())
                : event instanceof Event.ServerConnected established
                        ? connections.get(established.connection())
                : event instanceof Event.ServerDisconnected closed ? connections.get(closed.connection())
                        : null;
        return connection != null && connection.attempt != null ? connection.attempt.request.id : 0;
    }

    /**
     * Queues the module's actions until the current step is over, so that the module is never called from
     * within one of its own calls.
     */
    private final class ActionQueue implements Routing.Actions {
        @Override
        public void send(long requestId, long serverId, long timeoutMicros) {
            context.queueAction(requestId, () -> {
                OpenRequest request = openRequests.get(requestId);
                if (request == null || request.ended) {
                    context.count("tries.for_nothing");
                } else {
                    attempts.send(request, serverId, timeoutMicros);
                }
            });
        }

        @Override
        public void cancel(long requestId, int attempt) {
            context.queueAction(requestId, () -> {
                OpenRequest request = openRequests.get(requestId);
                if (request != null) {
                    attempts.cancel(request, attempt);
                }
            });
        }

        @Override
        public void refuse(long requestId, long retryAfterMicros) {
            context.queueAction(requestId, () -> openRequests.refuse(requestId, retryAfterMicros));
        }

        @Override
        public void fail(long requestId) {
            context.queueAction(requestId, () -> {
                OpenRequest request = openRequests.get(requestId);
                if (request != null) {
                    openRequests.fail(request, Outcome.CANCELLED, CloseReason.FAILED_BY_MODULE);
                }
            });
        }

        @Override
        public void watchEndpointList() {
            context.queueAction(0, watch::followList);
        }

        @Override
        public void wakeAt(long time, int token) {
            context.runAt(time, () -> context.callModule(0, m -> m.woken(context.now(), token)));
        }

        @Override
        public void log(String line) {
            context.log(line);
        }
    }

    private void requestReceived(Event.RequestReceived event) {
        context.count("requests.taken");
        clients.requestReceived(event.client());
        ModelRequest request = event.request();
        if (openRequests.isOpenOrMayHaveRun(request.id()) || otherGenerations.isClaimedOrOpen(request.id())) {
            openRequests.rejectDuplicate(event);
        } else if (context.inDoubt()) {
            context.count("answers.refused_in_doubt");
            refuseDirectly(event, context.retryAfterMicros(), CloseReason.REFUSED_WITHOUT_LEASE);
        } else if (context.isListUnconfirmed()) {
            context.count("answers.refused_list_unconfirmed");
            refuseDirectly(event, 0, CloseReason.REFUSED_LIST_UNCONFIRMED);
        } else if (shutdown.refusesRequests()) {
            context.count("answers.refused_leaving");
            refuseDirectly(event, 0, CloseReason.REFUSED_AT_SHUTDOWN);
        } else if (otherGenerations.mustClaim()) {
            otherGenerations.claim(event);
        } else {
            openRequests.admit(event, 0);
        }
    }

    /** Refuses a request that the module has not been told of. */
    private void refuseDirectly(Event.RequestReceived event, long retryAfterMicros, CloseReason reason) {
        context.count("answers.refused");
        context.reportClosed(event.request().id(), reason, false, 0);
        openRequests.countEnd(event.request(), RequestOutcome.REJECTED);
        context.emit(new Effect.Refuse(event.client(), retryAfterMicros));
    }

    // ---- endpoint list

    private void started(Event.Started event) {
        EndpointList endpointList = event.endpointList();
        watch.start(event.discoveryAddress(), endpointList.version());
        servers.apply(endpointList);
        context.callModule(0, m -> m.started(context.now()));
        if (watch.byAgent()) {
            listConfirmation.awaitFirstAnswer();
        } else if (event.awaitsConfirmation()) {
            listConfirmation.awaitFirstPolledAnswer(this::listConfirmed);
        } else {
            context.callModule(0, m -> m.listReceived(context.now(), ListKind.CACHED,
                    serverStates(servers.withOverrides(endpointList))));
        }
    }

    /** The known servers may be used: from discovery's first answer on the module is told of them. */
    private void listConfirmed() {
        if (listConfirmation.confirmed()) {
            reportKnownServers();
        }
    }

    private void discoveryMoved(String address) {
        if (watch.byAgent() && !address.equals(watch.address())) {
            listConfirmation.awaitMovedAgent();
        }
        watch.moveTo(address);
    }

    private void processResumed(long pausedMicros) {
        boolean wasSilent = watch.wasSilentAt(context.now() - pausedMicros);
        watch.processResumed(pausedMicros);
        if (watch.byAgent() && !wasSilent && watch.catchingUp()) {
            listConfirmation.awaitAnswerAfterPause();
        }
    }

    private void listReceived(EndpointList list) {
        if (watch.follows(list)) {
            applyList(list);
            if (watch.listReceived(list)) {
                reportList(list);
            }
            return;
        }
        // The list is treated as a change to the held one: a server that it does not contain may only be
        // missing from a discovery replica that lags behind.
        EndpointList changes = new EndpointList(watch.version(), false,
                servers.endingsIn(list, Routing.Lifecycle.DRAINING));
        applyList(changes);
        watch.olderListReceived(list);
        reportList(changes);
    }

    /**
     * Handles the answer to a call that was set aside. What discovery has answered counts as known, although
     * the watch has moved on to another call.
     */
    private void lateListReceived(EndpointList list) {
        context.count("list.late_answers");
        if (list.version() > watch.version() && watch.follows(list)) {
            applyList(list);
            reportList(list);
        }
    }

    private void applyList(EndpointList newList) {
        if (otherGenerations.hasOthers() || relaying) {
            context.emit(new Effect.SendToGenerations(new GenerationMessage.EndpointListRelayed(newList,
                    watch.address())));
        }
        servers.apply(newList);
        connections.closeUnusableIdle();
        listConfirmed();
    }

    private void reportList(EndpointList list) {
        context.callModule(0, m -> m.listReceived(context.now(), list.full() ? ListKind.FULL : ListKind.DELTA,
                serverStates(servers.withOverrides(list))));
    }

    /**
     * Operator overrides take effect at once, whatever the list contains and whether or not discovery
     * responds.
     */
    private void overridesReplaced(Map<String, OperatorOverride> overrides) {
        servers.replaceOverrides(overrides);
        reportKnownServers();
    }

    /**
     * Tells the module of servers that changed without a new list from discovery. They are reported as a
     * cached list: the module would take a full list as proof that the watch is running, and in a generation
     * that has not called discovery yet it would never start one.
     */
    private void reportKnownServers() {
        connections.closeUnusableIdle();
        if (listConfirmation.isFirstAnswerAwaited()) {
            return;
        }
        EndpointList all = new EndpointList(watch.version(), true, List.copyOf(servers.all()));
        context.callModule(0, m -> m.listReceived(context.now(), ListKind.CACHED, serverStates(all)));
    }

    /**
     * Where discovery is polled, the module decides when to call again: it backs off while discovery is down.
     */
    private void discoveryCallFailed() {
        if (watch.callFailed()) {
            context.callModule(0, m -> m.listReceived(context.now(), ListKind.FAILED, List.of()));
        }
    }

    private static List<Routing.ServerState> serverStates(EndpointList list) {
        return list.servers().stream().map(ModelServer::replica).toList();
    }

    // ---- other generations

    private final class Admission implements OtherGenerations.RequestAdmission {
        @Override
        public void admit(Event.RequestReceived event, long waitedMicros) {
            openRequests.admit(event, waitedMicros);
        }

        @Override
        public void rejectDuplicate(Event.RequestReceived event) {
            openRequests.rejectDuplicate(event);
        }

        @Override
        public void refuse(Event.RequestReceived event) {
            Reducer.this.refuseDirectly(event, 0, CloseReason.REFUSED_UNCLAIMED);
        }
    }

    private void messageReceived(int generation, GenerationMessage message) {
        if (message instanceof GenerationMessage.Claim claim) {
            otherGenerations.answerClaim(generation, claim, openRequests.isOpenOrMayHaveRun(claim.id()));
        } else if (message instanceof GenerationMessage.ClaimAnswer answer) {
            otherGenerations.claimAnswered(answer);
        } else if (message instanceof GenerationMessage.RequestReleased released) {
            otherGenerations.requestReleased(generation, released.id());
            if (released.mayHaveRun()) {
                openRequests.addRecentId(released.id());
            }
        } else if (message instanceof GenerationMessage.AttemptSent sent) {
            otherGenerations.attemptSent(generation, sent.token());
            context.callModule(0, m -> m.otherGenerationSent(context.now(), generation + "/" + sent.token(),
                    sent.server()));
        } else if (message instanceof GenerationMessage.AttemptEnded ended) {
            otherGenerations.attemptEnded(generation, ended.token());
            reportAttemptEnded(generation, ended.token());
        } else if (message instanceof GenerationMessage.EndpointListRelayed relayed) {
            applyRelayedList(relayed.list(), relayed.discoveryAddress());
        }
    }

    /** Handles a request whose client left while the owner of the request ids was asked. */
    private void claimAbandoned(Event.RequestReceived abandoned) {
        context.reportClosed(abandoned.request().id(), CloseReason.CLIENT_LEFT, false, 0);
        openRequests.countEnd(abandoned.request(), RequestOutcome.FAILED);
    }

    private void reportAttemptEnded(int generation, long token) {
        context.callModule(0, m -> m.otherGenerationEnded(context.now(), generation + "/" + token));
    }

    private void adoptState(int generation, GenerationState state) {
        otherGenerations.generationEnded(generation).forEach(token -> reportAttemptEnded(generation, token));
        otherGenerations.adoptState(generation, state);
        state.recentIds().forEach(openRequests::addRecentId);
        for (GenerationMessage.AttemptSent sent : state.attemptsInFlight()) {
            context.callModule(0, m -> m.otherGenerationSent(context.now(), generation + "/" + sent.token(),
                    sent.server()));
        }
        applyRelayedList(state.endpointList(), state.discoveryAddress());
        // an agent at the same address held, when it fell silent, what the other generation has received;
        // what polled discovery told that one is in its state, whatever address this one calls
        boolean sameDiscovery = !watch.byAgent() || state.discoveryAddress().equals(watch.address());
        if (state.listConfirmed() && sameDiscovery) {
            listConfirmed();
        }
    }

    /**
     * Applies the drains and removals in a list that another generation received, so that all generations
     * keep a drain. Only changes that end the use of a server are taken, and only from newer list versions
     * or, before this generation has a list from its own discovery address, from another address; its own
     * watch continues at its version and delivers the rest.
     */
    private void applyRelayedList(EndpointList list, String address) {
        boolean isNewer = address.equals(watch.address()) ? list.version() > watch.version()
                : watch.version() < 0;
        if (!isNewer) {
            return;
        }
        List<ModelServer> changes = servers.endingsIn(list, Routing.Lifecycle.GONE);
        if (!changes.isEmpty()) {
            servers.apply(new EndpointList(watch.version(), false, changes));
            reportKnownServers();
        }
    }

    /**
     * Another generation took over: client connections are closed between requests, and open requests may
     * finish until the time limit.
     */
    private void handOver(long limitMicros) {
        handedOver = true;
        finishUntil = context.now() + limitMicros;
        clients.setCloseEarly(true);
        long finishBy = finishUntil;
        context.runAt(finishBy, () -> {
            if (handedOver && finishUntil == finishBy) {
                List.copyOf(openRequests.all()).forEach(request -> {
                    context.count("answers.over_the_limit");
                    openRequests.failAndReport(request, Outcome.CANCELLED, CloseReason.HANDOVER_LIMIT);
                });
            }
        });
    }
}
