package yewdock.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import umberspread.GenerationRouter;
import umberspread.Routing;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.GenerationMessage;
import yewdock.core.Reducer;
import yewdock.logging.EventLog;
import yewdock.platform.Config;
import yewdock.platform.ConnectionHandler;
import yewdock.platform.ConnectionManager;
import yewdock.platform.NoOpConnection;
import yewdock.sockets.MinaTransport;
import yewdock.sockets.MonotonicClock;
import yewdock.sockets.Signals;
import yewdock.upgrade.Stage;
import yewdock.wire.Agreed;
import yewdock.wire.Checked;
import yewdock.wire.Counts;
import yewdock.wire.Failed;
import yewdock.wire.Frame;
import yewdock.wire.Hello;
import yewdock.wire.LetGoDone;
import yewdock.wire.News;
import yewdock.wire.Ready;
import yewdock.wire.Serving;
import yewdock.wire.TakenUp;
import yewdock.wire.Took;

/**
 * One generation of a router: a process that takes over the state of its predecessor, serves, and hands its
 * own state to its successor. The supervisor directs it; its commands run on the reducer's thread.
 */
public class Generation {
    private static final long FLUSH_TIMEOUT_MILLIS = 500;
    private static final int WARM_UP_REQUESTS = 500;
    private static final long STORE_INTERVAL_MILLIS = 1_000;
    /** How long a generation without a predecessor waits for the endpoint list before it accepts requests. */
    private static final long LIST_TIMEOUT_MILLIS = 500;
    /** Longest Retry-After without a lease: a lease is renewed within a second of a majority returning. */
    private static final long MAX_RETRY_AFTER_MICROS = 1_000_000;

    private final int number;
    private final Path controlFolder;
    private final String secret;
    private final String configFile;
    /** Whether the supervisor stores endpoint lists and the module's learned state. */
    private final boolean stateIsStored = System.getenv(Supervisor.STORE_VARIABLE) != null;
    /** Whether it may serve only by rules decided by consensus, and only while a lease is valid. */
    private final boolean needsLease = System.getenv(Supervisor.CONSENSUS_VARIABLE) != null;
    private Runnable onListReceived;
    private final BlockingQueue<Frame> queuedFrames = new LinkedBlockingQueue<>();
    private volatile boolean started;
    private ControlConnection supervisorConnection;
    private Config config;
    private Counters counters;
    private Reducer reducer;
    private ConnectionManager connectionManager;
    private MinaTransport transport;
    private GenerationRouter module;
    private ServerSocketChannel listener;
    private boolean accepting;
    private Map<String, Long> inheritedCounts = Map.of();

    /**
     * Creates a generation.
     *
     * @param control folder of the supervisor's control socket
     * @param secret the secret that authenticates this generation to the supervisor
     * @param file path of the configuration file; null if none was named
     */
    public Generation(int number, Path control, String secret, String file) {
        this.number = number;
        this.controlFolder = control;
        this.secret = secret;
        this.configFile = file;
    }

    /** Runs the generation that the environment variables describe until it ends; returns the exit code. */
    public static int run(Map<String, String> environment) {
        return fromEnvironment(environment, Generation::new).run();
    }

    /** Creates a generation from the arguments of {@link #Generation}. */
    public interface Factory<G> {
        G create(int number, Path control, String secret, String file);
    }

    /** Creates the generation that the environment variables describe. */
    public static <G> G fromEnvironment(Map<String, String> environment, Factory<G> factory) {
        String number = environment.get(Supervisor.GENERATION_VARIABLE);
        String control = environment.get(Supervisor.CONTROL_VARIABLE);
        if (number == null || control == null) {
            throw new IllegalArgumentException("a generation can only be started by its daemon");
        }
        return factory.create(Integer.parseInt(number), Path.of(control),
                environment.getOrDefault(Supervisor.SECRET_VARIABLE, ""), environment.get("PROXY_CONFIG"));
    }

    /** Called when a stage is reached, on the thread that reaches it; overridden for fault injection. */
    protected void stageReached(Stage stage) {
        // no fault here
    }

    /** The connection to the supervisor. */
    protected final ControlConnection supervisorConnection() {
        return supervisorConnection;
    }

    /** Takes over, serves and ends; returns the exit code. */
    public final int run() {
        try {
            supervisorConnection = ControlConnection.inFolder(controlFolder);
        } catch (IOException e) {
            EventLog.warn("generation.alone", "generation", number, "why", e.getMessage());
            return 1;
        }
        supervisorConnection.start("keeper", this::frameReceived, this::supervisorLost);
        // the supervisor forwards SIGHUP; one sent directly to this process must not end it
        Signals.onHangUp(() -> {
            if (started) {
                reconfigure();
            }
        });
        stageReached(Stage.START);
        supervisorConnection.send(Frame.newBuilder().setHello(Hello.newBuilder().setGeneration(number)
                .setSecret(secret).setProgram(String.valueOf(
                        getClass().getPackage().getImplementationVersion()))).build());
        stageReached(Stage.CHECK);
        try {
            config = read();
        } catch (IOException | IllegalArgumentException e) {
            supervisorConnection.send(Frame.newBuilder().setFailed(Failed.newBuilder()
                    .setWhy("the configuration can't be read: " + e.getMessage())).build());
            supervisorConnection.flushAndClose(FLUSH_TIMEOUT_MILLIS);
            return 1;
        }
        supervisorConnection.send(Frame.newBuilder().setChecked(Checked.getDefaultInstance()).build());
        StateCodec.InheritedState inherited = awaitPredecessorState();
        readAgain();
        stageReached(Stage.READY);
        JvmWarmUp.run(config, WARM_UP_REQUESTS);
        build(inherited);
        transport.serveWithoutListening(() -> startReducer(inherited), connectionManager, reducer);
        supervisorConnection.send(Frame.newBuilder().setNews(News.newBuilder().setCounts(
                Counts.newBuilder().putAllByName(countsSinceStart()))).build());
        EventLog.info("generation.ends", "generation", number, "counters", counters.toString().strip()
                .replace('\n', ';'));
        supervisorConnection.flushAndClose(FLUSH_TIMEOUT_MILLIS);
        return 0;
    }

    private void logRefused(Exception refusal) {
        EventLog.warn("configuration.refused", "generation", number, "why", refusal.getMessage(),
                "now", "the old one stays");
    }

    /** Reads the configuration again; a reload that was requested since the first time is not repeated. */
    private void readAgain() {
        try {
            config = read();
        } catch (IOException | IllegalArgumentException e) {
            logRefused(e);
        }
    }

    private Config read() throws IOException {
        return StandaloneRouter.read(configFile, this::log);
    }

    private void log(String line) {
        EventLog.info("router", "generation", number, "line", line);
    }

    /** Waits for the predecessor's state; null if it is empty or unreadable, as after a restart. */
    private StateCodec.InheritedState awaitPredecessorState() {
        while (true) {
            try {
                Frame frame = queuedFrames.take();
                if (!frame.hasState()) {
                    continue;
                }
                stageReached(Stage.STATE);
                return StateCodec.read(frame.getState(), new MonotonicClock().getAsLong(),
                        System.nanoTime());
            } catch (UnreadableStateException e) {
                EventLog.warn("state.refused", "generation", number, "why", e.getMessage());
                return null;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
        }
    }

    private void build(StateCodec.InheritedState inherited) {
        counters = new Counters();
        if (inherited != null) {
            inherited.counters().forEach(counters::add);
        }
        inheritedCounts = counters.all();
        reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()), config.bounds(),
                counters, actions -> {
                    module = module(config, seed(), actions, inherited);
                    return module;
                });
        transport = new MinaTransport(config.bounds().maxClientConnections(),
                config.settings().contract().drainGrace());
        connectionManager = new ConnectionManager(config, reducer, counters, transport, transport.clock(),
                this::log);
        connectionManager.followWallClock(MonotonicClock::wallMicros);
        connectionManager.reportTransitionsTo(new RequestTransitionLog(transport.clock())::write);
        connectionManager.forwardGenerationEffectsTo(this::sendToOthers);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> transport.shutDownGracefully(), "leave"));
        if (stateIsStored) {
            // a drain that a killed process received just before its end may not be stored
            connectionManager.requireListConfirmation();
            runPeriodically(STORE_INTERVAL_MILLIS, () -> supervisorConnection.send(Frame.newBuilder().setKeep(
                    StateCodec.encodeLearnedState(module.learnedState(false),
                            transport.clock().getAsLong())).build()));
        }
    }

    /** Runs the work on the reducer's thread at this interval while the generation accepts connections. */
    private void runPeriodically(long intervalMillis, Runnable work) {
        Thread timer = new Thread(() -> {
            try {
                while (true) {
                    Thread.sleep(intervalMillis);
                    transport.post(() -> {
                        if (accepting) {
                            work.run();
                        }
                    });
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "keep");
        timer.setDaemon(true);
        timer.start();
    }

    /** The seed of the module's random numbers, different in every generation of a router. */
    private long seed() {
        return config.seed() + number * 0x9e3779b97f4a7c15L;
    }

    /** Starts the reducer; the first task on its thread. */
    private void startReducer(StateCodec.InheritedState inherited) {
        startReducer(connectionManager, reducer, config, inherited);
        if (stateIsStored) {
            connectionManager.dispatch(new Event.EndpointListRelayEnabled());
        }
        if (needsLease) {
            connectionManager.dispatch(new Event.LeaseGranted(0, 0));
        }
        synchronized (queuedFrames) {
            for (Frame frame = queuedFrames.poll(); frame != null; frame = queuedFrames.poll()) {
                handleSafely(frame);
            }
            started = true;
        }
        Runnable ready = () -> reportReady(inherited);
        if (stateIsStored && (inherited == null || inherited.afterRestart())) {
            // operators' commands name servers in the list, and requests are held until it is received
            onListReceived = ready;
            transport.postDelayed(LIST_TIMEOUT_MILLIS, this::listReceived);
        } else {
            ready.run();
        }
    }

    /** Creates the module, with the learned state of the previous process if there is any. */
    static GenerationRouter module(Config config, long seed, Routing.Actions actions,
            StateCodec.InheritedState inherited) {
        return inherited == null || inherited.learnedState() == null
                ? new GenerationRouter(config.settings(), seed, actions)
                : new GenerationRouter(config.settings(), seed, actions, inherited.learnedState(),
                        inherited.clockShiftMicros());
    }

    /** Sends the reducer its first event, with the endpoint list of the previous process if there is one. */
    static void startReducer(ConnectionManager connectionManager, Reducer reducer, Config config,
            StateCodec.InheritedState inherited) {
        if (inherited != null) {
            connectionManager.addWallClockOffset(-inherited.clockShiftMicros());
        }
        boolean sameList = inherited != null
                && inherited.discoveryAddress().equals(config.discoveryAddress());
        if (inherited == null || inherited.endpointList().servers().isEmpty()
                && config.cachedEndpoints().version() >= 0) {
            connectionManager.start();
        } else {
            // list versions of another discovery address don't compare: -1 requests the full list
            connectionManager.start(new EndpointList(sameList ? inherited.endpointList().version() : -1, true,
                    inherited.endpointList().servers()));
            reducer.restoreToldAt(inherited.stateReportedAt());
        }
    }

    private void listReceived() {
        Runnable then = onListReceived;
        onListReceived = null;
        if (then != null) {
            then.run();
        }
    }

    private void reportReady(StateCodec.InheritedState inherited) {
        supervisorConnection.send(Frame.newBuilder().setReady(Ready.newBuilder().setNote(inherited == null
                ? "starts without state"
                : "continues with " + inherited.endpointList().servers().size() + " servers, list version "
                + inherited.endpointList().version())).build());
    }

    private void frameReceived(Frame frame) {
        synchronized (queuedFrames) {
            if (!started) {
                queuedFrames.add(frame);
                return;
            }
        }
        transport.post(() -> handleSafely(frame));
    }

    private void supervisorLost(String reason) {
        EventLog.warn("keeper.lost", "generation", number, "why", reason, "now", "serving without upgrades");
        if (!started) {
            // without the supervisor it will never be told to serve
            EventLog.flush();
            Runtime.getRuntime().halt(1);
        }
    }

    private void handleSafely(Frame frame) {
        try {
            handle(frame);
        } catch (IOException | RuntimeException e) {
            EventLog.warn("generation.fault", "generation", number, "frame", frame.getWhatCase(), "why", e);
            if (!accepting) {
                supervisorConnection.send(Frame.newBuilder().setFailed(
                        Failed.newBuilder().setWhy(e.toString())).build());
            }
        }
    }

    private void handle(Frame frame) throws IOException {
        switch (frame.getWhatCase()) {
            case GIVE_STATE -> supervisorConnection.send(Frame.newBuilder().setState(
                    StateCodec.write(reducer.generationState(), module.learnedState(), counters.all(),
                            transport.clock().getAsLong(), System.nanoTime())).build());
            case SHARE -> connectionManager.dispatch(new Event.HandoverStarted());
            case SHARING -> {
                stageReached(Stage.SHARE);
                connectionManager.dispatch(new Event.GenerationStateReceived(
                        frame.getSharing().getGeneration(),
                        StateCodec.decodeGenerationState(frame.getSharing())));
            }
            case NEWS -> messageReceived(frame.getNews());
            case OTHER_GONE -> connectionManager.dispatch(
                    new Event.GenerationGone(frame.getOtherGone().getGeneration()));
            case MARKS -> connectionManager.dispatch(
                    new Event.OverridesReplaced(StateCodec.overrides(frame.getMarks())));
            case AGREED -> applyAgreed(frame.getAgreed());
            case ASK_LIST_ANEW -> connectionManager.dispatch(new Event.EndpointListOutdated());
            case TAKE -> takeListener();
            case GO -> startServing();
            case LET_GO -> stopServing(frame.getLetGo().getLimitMicros());
            case TAKE_BACK -> resumeServing();
            case LEAVE -> connectionManager.dispatch(new Event.ShutdownRequested());
            case RECONFIGURE -> reconfigure();
            default -> EventLog.warn("frame.unknown", "generation", number, "frame", frame.getWhatCase());
        }
    }

    /**
     * Applies the end of the lease and acknowledges the step. The overrides of the step came earlier on the
     * same connection and are in force by now.
     */
    private void applyAgreed(Agreed agreed) {
        long until = agreed.getUntil() == Long.MAX_VALUE ? Long.MAX_VALUE
                : agreed.getUntil() + transport.clock().getAsLong() - System.nanoTime() / 1000;
        connectionManager.dispatch(new Event.LeaseGranted(until,
                Math.min(MAX_RETRY_AFTER_MICROS, config.settings().limits().retryAfterMax())));
        supervisorConnection.send(Frame.newBuilder().setTakenUp(TakenUp.newBuilder().setStep(agreed.getStep())
                .setChain(agreed.getChain())).build());
    }

    private void messageReceived(News encoded) {
        if (encoded.hasCounts()) {
            encoded.getCounts().getByNameMap().forEach(counters::add);
            return;
        }
        GenerationMessage message = StateCodec.message(encoded);
        if (message != null) {
            connectionManager.dispatch(new Event.GenerationMessageReceived(encoded.getGeneration(), message));
        }
    }

    private void sendToOthers(Effect effect) {
        if (effect instanceof Effect.SendGenerationState e) {
            supervisorConnection.send(Frame.newBuilder()
                    .setSharing(StateCodec.encodeGenerationState(e.state())).build());
        } else if (effect instanceof Effect.SendToGenerations e) {
            supervisorConnection.send(Frame.newBuilder().setNews(StateCodec.message(e.message())).build());
            if (e.message() instanceof GenerationMessage.EndpointListRelayed) {
                transport.post(this::listReceived);
            }
        }
    }

    private void takeListener() throws IOException {
        listener = InheritedListener.inherited();
        String answer = selfTest();
        if (!answer.startsWith("HTTP/1.1 200 ") && !answer.startsWith("HTTP/1.1 503 ")) {
            throw new IOException("the self-test returned " + answer.lines().findFirst().orElse("nothing"));
        }
        stageReached(Stage.TAKE);
        supervisorConnection.send(Frame.newBuilder().setTook(Took.getDefaultInstance()).build());
    }

    private void startServing() throws IOException {
        stageReached(Stage.GO);
        transport.acceptFrom(listener);
        accepting = true;
        EventLog.info("generation.serves", "generation", number, "address", listener.getLocalAddress());
        supervisorConnection.send(Frame.newBuilder().setServing(Serving.newBuilder()
                .setAddress(listener.getLocalAddress().toString())).build());
        stageReached(Stage.LET_GO);
    }

    /**
     * Sends a readiness request through the platform and the reducer without a socket; returns the answer.
     */
    private String selfTest() {
        StringBuilder answer = new StringBuilder();
        ConnectionHandler handler = connectionManager.accept(new NoOpConnection() {
            @Override
            public void write(ByteBuffer bytes) {
                answer.append(StandardCharsets.ISO_8859_1.decode(bytes));
            }
        });
        handler.onReceived(ByteBuffer.wrap(
                "GET /ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        handler.onClosed();
        return answer.toString();
    }

    private void stopServing(long limitMicros) {
        if (accepting) {
            transport.stopAccepting();
            accepting = false;
        }
        EventLog.info("generation.lets_go", "generation", number, "open",
                reducer.generationState().requestIds().size());
        supervisorConnection.send(Frame.newBuilder().setLetGoDone(LetGoDone.getDefaultInstance()).build());
        connectionManager.dispatch(new Event.HandedOver(limitMicros));
    }

    private void resumeServing() throws IOException {
        if (!accepting) {
            transport.acceptFrom(listener);
            accepting = true;
        }
        EventLog.info("generation.takes_back", "generation", number);
        connectionManager.dispatch(new Event.HandoverAborted());
    }

    /** Reloads the configuration on a separate thread, because a slow disk must not delay requests. */
    private void reconfigure() {
        ConfigurationFile.inBackground(() -> {
            try {
                transport.reconfigure(read());
            } catch (IOException | IllegalArgumentException e) {
                logRefused(e);
            }
        });
    }

    private Map<String, Long> countsSinceStart() {
        Map<String, Long> since = new HashMap<>();
        counters.all().forEach((name, count) -> {
            long more = count - inheritedCounts.getOrDefault(name, 0L);
            if (more != 0) {
                since.put(name, more);
            }
        });
        return since;
    }
}
