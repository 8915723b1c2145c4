package yewdock.daemon;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import umberspread.GenerationRouter;
import umberspread.Routing;
import yewdock.core.Effect;
import yewdock.core.Event;
import yewdock.core.GenerationMessage;
import yewdock.core.GenerationState;
import yewdock.core.OlderGeneration;
import yewdock.core.OperatorOverride;
import yewdock.core.Reducer;
import yewdock.logging.EventLog;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;
import yewdock.sockets.MinaTransport;
import yewdock.sockets.MonotonicClock;
import yewdock.upgrade.Stage;
import yewdock.wire.Frame;
import yewdock.wire.GiveState;
import yewdock.wire.Hello;
import yewdock.wire.LetGo;
import yewdock.wire.Marks;
import yewdock.wire.News;
import yewdock.wire.Reconfigure;
import yewdock.wire.Share;
import yewdock.wire.State;

/**
 * Hands a router over from one process to its successor without a supervisor. The new process is started
 * alongside the old one, finds it by a socket in their common folder, takes its state, listens at the same
 * address and tells it to stop accepting. Both speak the protocol of a daemon's generations.
 *
 * <p>If there is no older process, or it does not respond, the new one serves on its own: nothing that it
 * finds in the folder keeps it from serving. Everything but {@link #fetchPredecessorState} runs on the
 * reducer's thread.
 */
public class ProcessHandover {
    private static final int PREDECESSOR = 1;
    private static final int SUCCESSOR = 2;
    /** Timeouts for the older process to send its state, and then its open requests. */
    private static final long STATE_TIMEOUT_MILLIS = 1_500;
    private static final long SHARE_TIMEOUT_MILLIS = 2_500;
    /** Timeout for a newer process that owns the request ids to listen; after it, it is given up. */
    private static final long TAKE_OVER_TIMEOUT_MILLIS = 3_000;
    /** How long a third process has to wait for the oldest one to finish before it may take over. */
    private static final long FINISH_TIMEOUT_MILLIS = 2_000;
    private static final long POLL_MILLIS = 100;
    private static final long STORE_RETRY_MILLIS = 200;
    /**
     * Age at which this process reports ready. The platform stops the older process at that moment, and
     * requires it within 6 s; until then the older one can finish its streams. Both serve in the meantime.
     */
    private static final long READY_AGE_MILLIS = 5_000;
    /** Time from readiness to the last check for a reload that was requested of the older process. */
    private static final long LAST_CONFIGURATION_CHECK_MILLIS = 1_000;
    /**
     * Index of the start time, in clock ticks since boot, among the fields of /proc/self/stat behind the
     * name.
     */
    private static final int START_TICKS_FIELD = 19;
    private static final long MILLIS_PER_TICK = 10;
    private static final long UNKNOWN_AGE_MILLIS = 2_000;
    private static final long FINISH_LIMIT_MICROS = 600_000_000L;
    private static final int MAX_SOCKET_PATH = 100;

    private final Config config;
    /** Null if the processes have no common folder, or its path is too long for a Unix socket. */
    private final Path socket;
    private final OperatorOverridesFile overridesFile;
    private final CompletableFuture<State> state = new CompletableFuture<>();
    private volatile Marks inheritedOverrides;
    private ControlConnection predecessor;
    private StateCodec.InheritedState inherited;
    private GenerationRouter router;
    private final List<Runnable> queuedWork = new ArrayList<>();
    private MinaTransport transport;
    private ConnectionManager connectionManager;
    private Reducer reducer;
    private ConfigurationFile configurationFile;
    private ServerSocketChannel successorListener;
    /** Written on the reducer's thread only. */
    private ControlConnection successor;
    /** The address on which clients connect; the port stays the same when this process listens again. */
    private String address;
    private boolean tookOver;
    private boolean listening;
    private boolean idsShared;
    private boolean toldToLetGo;
    /** Whether overrides could not be written and are to be written again. */
    private boolean overridesUnwritten;

    /** Creates the handover of a router whose processes share this folder; "" if they have none. */
    public ProcessHandover(String folder, Config config) {
        this.config = config;
        this.address = config.listenAddress();
        Path base = folder.isEmpty() ? null : Path.of(folder).toAbsolutePath()
                .resolve("yewdock-" + config.name().replaceAll("[^A-Za-z0-9_-]", "_"));
        this.overridesFile = base == null ? null
                : new OperatorOverridesFile(base.resolveSibling(base.getFileName() + ".marks"));
        this.socket = base == null || base.toString().length() > MAX_SOCKET_PATH ? null
                : base.resolveSibling(base.getFileName() + ".sock");
    }

    /** Called when a stage of taking over is reached; overridden for fault injection. */
    protected void stageReached(Stage stage) {
        // no fault here
    }

    /** The connection to the older process; null if there is none. */
    protected final ControlConnection predecessor() {
        return predecessor;
    }

    /**
     * Connects to an older process and reads its state. To be called once, before all else, on any thread.
     */
    public final void fetchPredecessorState() {
        if (socket == null || !Files.exists(socket)) {
            return;
        }
        try {
            predecessor = ControlConnection.connectTo(socket);
        } catch (IOException | RuntimeException e) {
            EventLog.info("succession.nobody", "why", e.getMessage());
            return;
        }
        stageReached(Stage.CHECK);
        predecessor.start("older", this::predecessorFrameReceived, why -> {
            state.complete(State.getDefaultInstance());
            runOnReducerThread(() -> predecessorGone(why));
        });
        predecessor.send(Frame.newBuilder().setHello(Hello.newBuilder().setProgram(
                String.valueOf(getClass().getPackage().getImplementationVersion()))).build());
        predecessor.send(Frame.newBuilder().setGiveState(GiveState.getDefaultInstance()).build());
        try {
            inherited = StateCodec.read(state.get(STATE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                    new MonotonicClock().getAsLong(), System.nanoTime());
            stageReached(Stage.STATE);
        } catch (TimeoutException | ExecutionException | UnreadableStateException e) {
            EventLog.warn("succession.no_state", "why", e.toString(), "now", "continuing without");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Creates the module, with the learned state of the older process if there is any. */
    public final Routing.Events router(Routing.Actions actions) {
        router = Generation.module(config, config.seed(), actions, inherited);
        return router;
    }

    /** Serves until the process is told to stop. */
    final void serve(MinaTransport transport, ConnectionManager connectionManager, Reducer reducer,
            ConfigurationFile configurationFile) {
        synchronized (this) {
            this.transport = transport;
            queuedWork.forEach(transport::post);
            queuedWork.clear();
        }
        this.connectionManager = connectionManager;
        this.reducer = reducer;
        this.configurationFile = configurationFile;
        this.connectionManager.forwardGenerationEffectsTo(this::sendToOthers);
        this.transport.serveWithoutListening(this::start, this.connectionManager, this.reducer);
        if (successor == null && successorListener != null) {
            deleteSocket();
        }
    }

    /** Runs the work on the reducer's thread; before there is one, queues it. */
    private synchronized void runOnReducerThread(Runnable work) {
        if (transport != null) {
            transport.post(work);
        } else {
            queuedWork.add(work);
        }
    }

    // ---- as the newer process

    private void start() {
        Generation.startReducer(connectionManager, reducer, config, inherited);
        Map<String, OperatorOverride> overrides = inheritedOverrides != null
                ? StateCodec.overrides(inheritedOverrides)
                : readOverrides();
        if (!overrides.isEmpty()) {
            connectionManager.dispatch(new Event.OverridesReplaced(overrides));
            EventLog.info("succession.marks", "boxes", overrides.size());
        }
        if (predecessor == null) {
            takeOver();
            return;
        }
        // a SIGHUP that the older process handled before it knew of this one
        checkConfiguration();
        connectionManager.dispatch(new Event.OlderGenerationChanged(OlderGeneration.SERVING));
        stageReached(Stage.READY);
        predecessor.send(Frame.newBuilder().setShare(Share.getDefaultInstance()).build());
        transport.postDelayed(SHARE_TIMEOUT_MILLIS, () -> {
            if (!tookOver) {
                EventLog.warn("succession.silent", "now", "taking over anyway");
                takeOver();
            }
        });
    }

    private Map<String, OperatorOverride> readOverrides() {
        try {
            return overridesFile == null ? Map.of() : overridesFile.read();
        } catch (IOException e) {
            EventLog.warn("succession.marks_unreadable", "why", e.getMessage(), "now", "continuing without");
            return Map.of();
        }
    }

    /**
     * Listens and then becomes ready; the older process stops accepting once this one accepts connections.
     */
    private void takeOver() {
        if (tookOver) {
            return;
        }
        // only once: the older process may end after this one has itself stopped accepting for a successor
        tookOver = true;
        listen();
        awaitSuccessor();
        connectionManager.dispatch(new Event.OlderGenerationChanged(predecessor == null ? OlderGeneration.NONE
                : OlderGeneration.FINISHING));
        if (predecessor != null) {
            transport.postDelayed(Math.max(0, READY_AGE_MILLIS - ageMillis()), this::becomeReady);
            predecessor.send(Frame.newBuilder().setLetGo(LetGo.newBuilder()
                    .setLimitMicros(FINISH_LIMIT_MICROS)).build());
            GenerationState taken = reducer.generationState();
            EventLog.info("succession.took_over", "boxes", taken.endpointList().servers().size(),
                    "list_confirmed", taken.listConfirmed());
        }
    }

    /**
     * The age of this process in milliseconds, from its start time and the uptime in /proc: the start time
     * that Java reports is off by up to a second.
     */
    private static long ageMillis() {
        try {
            String stat = Files.readString(Path.of("/proc/self/stat"));
            String[] behindName = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double up = Double.parseDouble(Files.readString(Path.of("/proc/uptime")).split(" ")[0]);
            return Math.round(up * 1000) - Long.parseLong(behindName[START_TICKS_FIELD]) * MILLIS_PER_TICK;
        } catch (IOException | RuntimeException e) {
            return UNKNOWN_AGE_MILLIS;
        }
    }

    private void listen() {
        try {
            address = transport.listenShared(address);
            listening = true;
        } catch (IOException e) {
            EventLog.warn("succession.no_listener", "address", address, "why", e.getMessage());
            EventLog.flush();
            Runtime.getRuntime().halt(1);
        }
    }

    private void predecessorFrameReceived(Frame frame) {
        if (frame.hasState()) {
            state.complete(frame.getState());
        } else if (frame.hasMarks() && !frame.getMarks().getChanges()) {
            inheritedOverrides = frame.getMarks();
        } else {
            runOnReducerThread(() -> handlePredecessorFrame(frame));
        }
    }

    private void handlePredecessorFrame(Frame frame) {
        switch (frame.getWhatCase()) {
            case SHARING -> {
                stageReached(Stage.SHARE);
                connectionManager.dispatch(new Event.GenerationStateReceived(PREDECESSOR,
                        StateCodec.decodeGenerationState(frame.getSharing())));
                takeOver();
            }
            case NEWS -> messageReceived(PREDECESSOR, frame.getNews());
            case MARKS -> overridesChanged(frame.getMarks());
            case RECONFIGURE -> ConfigurationFile.inBackground(configurationFile::reload);
            default -> EventLog.warn("frame.unknown", "from", "older", "frame", frame.getWhatCase());
        }
    }

    /**
     * Reports that this process is ready. SIGHUP comes to it from now on; one just before may have come to an
     * older process that had ended, or that could not pass it on.
     */
    private void becomeReady() {
        connectionManager.dispatch(new Event.OlderGenerationChanged(OlderGeneration.NONE));
        checkConfiguration();
        transport.postDelayed(LAST_CONFIGURATION_CHECK_MILLIS, this::checkConfiguration);
    }

    private void checkConfiguration() {
        ConfigurationFile.inBackground(configurationFile::reloadIfChanged);
    }

    private void predecessorGone(String reason) {
        EventLog.info("succession.older_gone", "why", reason);
        predecessor = null;
        connectionManager.dispatch(new Event.GenerationGone(PREDECESSOR));
        becomeReady();
        takeOver();
    }

    // ---- as the older process

    /** Opens the socket at which the next process finds this one. */
    private void awaitSuccessor() {
        if (socket == null) {
            return;
        }
        try {
            deleteSocket();
            successorListener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            successorListener.bind(UnixDomainSocketAddress.of(socket));
        } catch (IOException | RuntimeException e) {
            // if Unix sockets are not permitted, the process can still be replaced, but without its state
            EventLog.warn("succession.no_socket", "why", e.getMessage());
            successorListener = null;
            return;
        }
        ServerSocketChannel listener = successorListener;
        Thread acceptor = new Thread(new AcceptLoop(listener::accept, "succession.no_socket", channel -> {
            ControlConnection connection = new ControlConnection(channel);
            runOnReducerThread(() -> successorConnected(connection));
        }), "succession");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void deleteSocket() {
        try {
            Files.deleteIfExists(socket);
        } catch (IOException e) {
            EventLog.warn("succession.leftover", "file", socket, "why", e.getMessage());
        }
    }

    private void successorConnected(ControlConnection connection) {
        if (successor != null) {
            EventLog.warn("succession.second", "now", "rejected: another process is already taking over");
            connection.close();
            return;
        }
        successor = connection;
        connection.start("newer", frame -> runOnReducerThread(() -> handleSuccessorFrame(connection, frame)),
                why -> runOnReducerThread(() -> successorGone(connection, why)));
    }

    private void handleSuccessorFrame(ControlConnection connection, Frame frame) {
        if (connection != successor) {
            return;
        }
        switch (frame.getWhatCase()) {
            case HELLO -> EventLog.info("succession.newer", "program", frame.getHello().getProgram());
            case GIVE_STATE -> {
                successor.send(Frame.newBuilder().setMarks(StateCodec.overrides(reducer.operatorOverrides(),
                        false)).build());
                // no counters: each process counts from 0
                successor.send(Frame.newBuilder().setState(StateCodec.write(reducer.generationState(),
                        router.learnedState(),
                        Map.of(), transport.clock().getAsLong(), System.nanoTime())).build());
            }
            case SHARE -> shareRequestIds(connection, System.nanoTime());
            case NEWS -> messageReceived(SUCCESSOR, frame.getNews());
            case MARKS -> overridesChanged(frame.getMarks());
            case LET_GO -> {
                toldToLetGo = true;
                if (listening) {
                    listening = false;
                    transport.stopAccepting();
                }
                EventLog.info("succession.lets_go", "open", reducer.generationState().requestIds().size());
                connectionManager.dispatch(new Event.HandedOver(frame.getLetGo().getLimitMicros()));
            }
            default -> EventLog.warn("frame.unknown", "from", "newer", "frame", frame.getWhatCase());
        }
    }

    /**
     * Hands the request ids over. With a third, still older process, waits for it up to {@link
     * #FINISH_TIMEOUT_MILLIS} first, because this process doesn't know its open requests.
     */
    private void shareRequestIds(ControlConnection connection, long sinceNanos) {
        if (connection != successor) {
            return;
        }
        if (predecessor != null && System.nanoTime() - sinceNanos
                < TimeUnit.MILLISECONDS.toNanos(FINISH_TIMEOUT_MILLIS)) {
            transport.postDelayed(POLL_MILLIS, () -> shareRequestIds(connection, sinceNanos));
            return;
        }
        if (predecessor != null) {
            predecessor.close();
        }
        idsShared = true;
        connectionManager.dispatch(new Event.HandoverStarted());
        transport.postDelayed(TAKE_OVER_TIMEOUT_MILLIS, () -> {
            if (connection == successor && !toldToLetGo) {
                connection.close();
                successorGone(connection, "it took over the request ids but did not start serving in time");
            }
        });
    }

    /** Serves again after the newer process has died, unless this one is shutting down itself. */
    private void successorGone(ControlConnection connection, String reason) {
        if (connection != successor) {
            return;
        }
        EventLog.warn("succession.newer_gone", "why", reason, "shared", idsShared);
        successor = null;
        toldToLetGo = false;
        if (!idsShared) {
            return;
        }
        idsShared = false;
        connectionManager.dispatch(new Event.GenerationGone(SUCCESSOR));
        connectionManager.dispatch(new Event.HandoverAborted());
        if (!listening && !reducer.isShuttingDown()) {
            listen();
            awaitSuccessor();
        }
    }

    // ---- in both roles

    /** Has the newer process reload the configuration as well: before it is ready it gets no SIGHUP. */
    final void configurationReloaded() {
        runOnReducerThread(() -> send(successor,
                Frame.newBuilder().setReconfigure(Reconfigure.getDefaultInstance()).build()));
    }

    private void messageReceived(int generation, News encoded) {
        GenerationMessage message = StateCodec.message(encoded);
        if (message != null) {
            connectionManager.dispatch(new Event.GenerationMessageReceived(generation, message));
        }
    }

    private void overridesChanged(Marks overrides) {
        StateCodec.overrides(overrides).forEach((server, override) ->
                connectionManager.dispatch(new Event.OverrideChanged(server, override)));
        storeOverrides();
    }

    private void sendToOthers(Effect effect) {
        if (effect instanceof Effect.SendGenerationState e) {
            send(successor, Frame.newBuilder()
                    .setSharing(StateCodec.encodeGenerationState(e.state())).build());
        } else if (effect instanceof Effect.PublishOverride e) {
            Frame frame = Frame.newBuilder().setMarks(StateCodec.overrides(Map.of(e.server(), e.override()),
                    true)).build();
            send(successor, frame);
            send(predecessor, frame);
            storeOverrides();
        } else if (effect instanceof Effect.SendToGenerations e) {
            Frame frame = Frame.newBuilder().setNews(StateCodec.message(e.message())).build();
            if (e.message() instanceof GenerationMessage.ClaimAnswer c) {
                send(c.generation() == PREDECESSOR ? predecessor : successor, frame);
            } else if (e.message() instanceof GenerationMessage.EndpointListRelayed) {
                send(successor, frame);
                send(predecessor, frame);
            } else {
                send(successor, frame);
            }
        }
    }

    private static void send(ControlConnection to, Frame frame) {
        if (to != null) {
            to.send(frame);
        }
    }

    private void storeOverrides() {
        if (overridesFile == null) {
            return;
        }
        try {
            overridesFile.write(reducer.operatorOverrides());
            overridesUnwritten = false;
        } catch (IOException e) {
            EventLog.warn("succession.marks_unwritten", "why", e.toString(), "now", "retrying");
            retryStoringOverrides();
        }
    }

    /** An override that was answered with a yes has to outlive the process, whatever the disk does now. */
    private void retryStoringOverrides() {
        if (overridesUnwritten) {
            return;
        }
        overridesUnwritten = true;
        transport.postDelayed(STORE_RETRY_MILLIS, () -> {
            if (overridesUnwritten) {
                overridesUnwritten = false;
                storeOverrides();
            }
        });
    }
}
