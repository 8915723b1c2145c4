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
 * One generation of a router: a process that takes its state from the one before it, serves, and gives what
 * it knows to the next. The keeper tells it when; everything it does for that is done on the desk's thread.
 */
public class Generation {
    private static final long LAST_WORDS_MILLIS = 500;
    private static final int REHEARSED = 500;
    private static final long KEEP_MILLIS = 1_000;
    private static final long LIST_PATIENCE_MILLIS = 500;
    /** A client that is refused in doubt: a lease comes back within a second of a majority. */
    private static final long COME_BACK_MICROS = 1_000_000;

    private final int number;
    private final Path control;
    private final String secret;
    private final String file;
    /** Whether the keeper keeps what the list and the module tell. */
    private final boolean keeping = System.getenv(Supervisor.KEEPS) != null;
    /** Whether it may act only by what is agreed, and while a lease holds. */
    private final boolean agreeing = System.getenv(Supervisor.AGREES) != null;
    private Runnable whenListed;
    private final BlockingQueue<Frame> early = new LinkedBlockingQueue<>();
    private volatile boolean up;
    private ControlConnection supervisorConnection;
    private Config config;
    private Counters counters;
    private Reducer desk;
    private ConnectionManager front;
    private MinaTransport sockets;
    private GenerationRouter router;
    private ServerSocketChannel listener;
    private boolean accepting;
    private Map<String, Long> countedBefore = Map.of();

    /** A generation with this number, whose keeper is to be found there. */
    public Generation(int number, Path control, String secret, String file) {
        this.number = number;
        this.control = control;
        this.secret = secret;
        this.file = file;
    }

    /** Runs the generation that the environment describes, to its end; returns the exit code. */
    public static int run(Map<String, String> environment) {
        return fromEnvironment(environment, Generation::new).run();
    }

    /** Makes a generation, as {@link #Generation} does. */
    public interface Factory<G> {
        G make(int number, Path control, String secret, String file);
    }

    /** The generation that the environment describes. */
    public static <G> G fromEnvironment(Map<String, String> environment, Factory<G> maker) {
        String number = environment.get(Supervisor.GENERATION);
        String control = environment.get(Supervisor.CONTROL);
        if (number == null || control == null) {
            throw new IllegalArgumentException("a generation is started by its daemon, not by hand");
        }
        return maker.make(Integer.parseInt(number), Path.of(control),
                environment.getOrDefault(Supervisor.SECRET, ""), environment.get("PROXY_CONFIG"));
    }

    /** Called as each stage is reached, on whichever thread gets there; stand-ins make it fail. */
    protected void stageReached(Stage stage) {
        // nothing fails here
    }

    /** The connection to the keeper. */
    protected final ControlConnection supervisorConnection() {
        return supervisorConnection;
    }

    /** Serves to the end; returns the exit code. */
    public final int run() {
        try {
            supervisorConnection = ControlConnection.inFolder(control);
        } catch (IOException e) {
            EventLog.warn("generation.alone", "generation", number, "why", e.getMessage());
            return 1;
        }
        supervisorConnection.start("keeper", this::heard, this::lost);
        // the keeper passes SIGHUP on; one that comes here straight must not end the process
        Signals.onHangUp(() -> {
            if (up) {
                reconfigure();
            }
        });
        stageReached(Stage.START);
        supervisorConnection.send(Frame.newBuilder().setHello(
                Hello.newBuilder().setGeneration(number).setSecret(secret).setProgram(
                        String.valueOf(getClass().getPackage().getImplementationVersion()))).build());
        stageReached(Stage.CHECK);
        try {
            config = read();
        } catch (IOException | IllegalArgumentException e) {
            supervisorConnection.send(Frame.newBuilder().setFailed(Failed.newBuilder()
                    .setWhy("the configuration can't be read: " + e.getMessage())).build());
            supervisorConnection.flushAndClose(LAST_WORDS_MILLIS);
            return 1;
        }
        supervisorConnection.send(Frame.newBuilder().setChecked(Checked.getDefaultInstance()).build());
        StateCodec.InheritedState left = awaitState();
        stageReached(Stage.READY);
        JvmWarmUp.play(config, REHEARSED);
        build(left);
        sockets.serveWithoutListening(() -> begin(left), front, desk);
        supervisorConnection.send(Frame.newBuilder().setNews(News.newBuilder().setCounts(
                Counts.newBuilder().putAllByName(countedSince()))).build());
        EventLog.info("generation.ends", "generation", number, "counters", counters.toString().strip()
                .replace('\n', ';'));
        supervisorConnection.flushAndClose(LAST_WORDS_MILLIS);
        return 0;
    }

    private Config read() throws IOException {
        return StandaloneRouter.read(file, this::log);
    }

    private void log(String line) {
        EventLog.info("router", "generation", number, "line", line);
    }

    /** Waits for the state; one that can't be read leaves this generation as after a restart. */
    private StateCodec.InheritedState awaitState() {
        while (true) {
            try {
                Frame frame = early.take();
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

    private void build(StateCodec.InheritedState left) {
        counters = new Counters();
        if (left != null) {
            left.counters().forEach(counters::add);
        }
        countedBefore = counters.all();
        desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()), config.bounds(),
                counters, actions -> {
                    router = router(config, seed(), actions, left);
                    return router;
                });
        sockets = new MinaTransport(config.bounds().maxClientConnections(),
                config.settings().contract().drainGrace());
        front = new ConnectionManager(config, desk, counters, sockets, sockets.clock(), this::log);
        front.forwardGenerationEffectsTo(this::tellOthers);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> sockets.shutDownGracefully(), "leave"));
        if (keeping) {
            every(KEEP_MILLIS, () -> supervisorConnection.send(Frame.newBuilder().setKeep(
                    StateCodec.keep(router.learnedState(false), sockets.clock().getAsLong())).build()));
        }
    }

    /** Does this on the desk's thread each time that so long has passed. */
    private void every(long millis, Runnable work) {
        Thread timer = new Thread(() -> {
            try {
                while (true) {
                    Thread.sleep(millis);
                    sockets.post(() -> {
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

    /** Generations of one router must not draw the same numbers. */
    private long seed() {
        return config.seed() + number * 0x9e3779b97f4a7c15L;
    }

    /** On the desk's thread, first of all. */
    private void begin(StateCodec.InheritedState left) {
        begin(front, desk, config, left);
        if (keeping) {
            front.dispatch(new Event.EndpointListRelayEnabled());
        }
        if (agreeing) {
            front.dispatch(new Event.LeaseGranted(0, 0));
        }
        synchronized (early) {
            for (Frame frame = early.poll(); frame != null; frame = early.poll()) {
                handleSafely(frame);
            }
            up = true;
        }
        Runnable ready = () -> ready(left);
        if (keeping && (left == null || left.afterRestart())) {
            // a drain told in the last moment before a kill is in no record: the list knows it
            whenListed = ready;
            sockets.postDelayed(LIST_PATIENCE_MILLIS, this::listed);
        } else {
            ready.run();
        }
    }

    /** The module, with what another process has learnt, if there is such. */
    static GenerationRouter router(Config config, long seed, Routing.Actions actions,
            StateCodec.InheritedState left) {
        return left == null || left.memory() == null
                ? new GenerationRouter(config.settings(), seed, actions)
                : new GenerationRouter(config.settings(), seed, actions, left.memory(),
                        left.clockShiftMicros());
    }

    /** The first event of a process that goes on with what another left it, if there is such. */
    static void begin(ConnectionManager front, Reducer desk, Config config, StateCodec.InheritedState left) {
        boolean sameList = left != null && left.listAddress().equals(config.discoveryAddress());
        if (left == null || left.endpointList().servers().isEmpty()
                && config.cachedEndpoints().version() >= 0) {
            front.start();
        } else {
            // the versions of one list mean nothing to another: then the whole of it is asked for
            front.start(new EndpointList(sameList ? left.endpointList().version() : -1, true,
                    left.endpointList().servers()));
            desk.restoreToldAt(left.stateReportedAt());
        }
    }

    private void listed() {
        Runnable then = whenListed;
        whenListed = null;
        if (then != null) {
            then.run();
        }
    }

    private void ready(StateCodec.InheritedState left) {
        supervisorConnection.send(Frame.newBuilder().setReady(Ready.newBuilder().setNote(left == null
                ? "starts afresh"
                : "goes on with " + left.endpointList().servers().size() + " boxes, list version "
                + left.endpointList().version())).build());
    }

    private void heard(Frame frame) {
        synchronized (early) {
            if (!up) {
                early.add(frame);
                return;
            }
        }
        sockets.post(() -> handleSafely(frame));
    }

    private void lost(String why) {
        EventLog.warn("keeper.lost", "generation", number, "why", why, "now", "serving on without upgrades");
        if (!up) {
            // nobody will ever tell it to serve
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
                    StateCodec.write(desk.generationState(), router.learnedState(), counters.all(),
                            sockets.clock().getAsLong(), System.nanoTime())).build());
            case SHARE -> front.dispatch(new Event.HandoverStarted());
            case SHARING -> {
                stageReached(Stage.SHARE);
                front.dispatch(new Event.GenerationStateReceived(frame.getSharing().getGeneration(),
                        StateCodec.holdings(frame.getSharing())));
            }
            case NEWS -> news(frame.getNews());
            case OTHER_GONE -> front.dispatch(new Event.GenerationGone(frame.getOtherGone().getGeneration()));
            case MARKS -> front.dispatch(new Event.OverridesReplaced(StateCodec.marks(frame.getMarks())));
            case AGREED -> agreed(frame.getAgreed());
            case ASK_LIST_ANEW -> front.dispatch(new Event.EndpointListOutdated());
            case TAKE -> take();
            case GO -> go();
            case LET_GO -> letGo(frame.getLetGo().getLimitMicros());
            case TAKE_BACK -> takeBack();
            case LEAVE -> front.dispatch(new Event.ShutdownRequested());
            case RECONFIGURE -> reconfigure();
            default -> EventLog.warn("frame.unknown", "generation", number, "frame", frame.getWhatCase());
        }
    }

    /** The marks that came before it are in force here by now: the keeper may say so. */
    private void agreed(Agreed agreed) {
        long until = agreed.getUntil() == Long.MAX_VALUE ? Long.MAX_VALUE
                : agreed.getUntil() + sockets.clock().getAsLong() - System.nanoTime() / 1000;
        front.dispatch(new Event.LeaseGranted(until,
                Math.min(COME_BACK_MICROS, config.settings().limits().retryAfterMax())));
        supervisorConnection.send(Frame.newBuilder().setTakenUp(TakenUp.newBuilder().setStep(agreed.getStep())
                .setChain(agreed.getChain())).build());
    }

    private void news(News told) {
        if (told.hasCounts()) {
            told.getCounts().getByNameMap().forEach(counters::add);
            return;
        }
        GenerationMessage news = StateCodec.news(told);
        if (news != null) {
            front.dispatch(new Event.GenerationMessageReceived(told.getGeneration(), news));
        }
    }

    private void tellOthers(Effect effect) {
        if (effect instanceof Effect.SendGenerationState e) {
            supervisorConnection.send(Frame.newBuilder().setSharing(StateCodec.sharing(e.state())).build());
        } else if (effect instanceof Effect.SendToGenerations e) {
            supervisorConnection.send(Frame.newBuilder().setNews(StateCodec.news(e.message())).build());
            if (e.message() instanceof GenerationMessage.EndpointListRelayed) {
                sockets.post(this::listed);
            }
        }
    }

    private void take() throws IOException {
        listener = InheritedListener.inherited();
        String answer = tryOut();
        if (!answer.startsWith("HTTP/1.1 200 ") && !answer.startsWith("HTTP/1.1 503 ")) {
            throw new IOException("the try-out brought " + answer.lines().findFirst().orElse("nothing"));
        }
        stageReached(Stage.TAKE);
        supervisorConnection.send(Frame.newBuilder().setTook(Took.getDefaultInstance()).build());
    }

    private void go() throws IOException {
        stageReached(Stage.GO);
        sockets.acceptFrom(listener);
        accepting = true;
        EventLog.info("generation.serves", "generation", number, "address", listener.getLocalAddress());
        supervisorConnection.send(Frame.newBuilder().setServing(Serving.newBuilder()
                .setAddress(listener.getLocalAddress().toString())).build());
        stageReached(Stage.LET_GO);
    }

    /** One request through the front and the desk, over a connection that is none. */
    private String tryOut() {
        StringBuilder answer = new StringBuilder();
        ConnectionHandler side = front.accept(new NoOpConnection() {
            @Override
            public void write(ByteBuffer bytes) {
                answer.append(StandardCharsets.ISO_8859_1.decode(bytes));
            }
        });
        side.onReceived(ByteBuffer.wrap("GET /ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        side.onClosed();
        return answer.toString();
    }

    private void letGo(long limit) {
        if (accepting) {
            sockets.stopAccepting();
            accepting = false;
        }
        EventLog.info("generation.lets_go", "generation", number, "open",
                desk.generationState().requestIds().size());
        supervisorConnection.send(Frame.newBuilder().setLetGoDone(LetGoDone.getDefaultInstance()).build());
        front.dispatch(new Event.HandedOver(limit));
    }

    private void takeBack() throws IOException {
        if (!accepting) {
            sockets.acceptFrom(listener);
            accepting = true;
        }
        EventLog.info("generation.takes_back", "generation", number);
        front.dispatch(new Event.HandoverAborted());
    }

    /** Read on a thread of its own: a slow disk must not hold requests up. */
    private void reconfigure() {
        Thread reader = new Thread(() -> {
            try {
                sockets.reconfigure(read());
            } catch (IOException | IllegalArgumentException e) {
                EventLog.warn("configuration.refused", "generation", number, "why", e.getMessage(),
                        "now", "the old one stays");
            }
        }, "reconfigure");
        reader.setDaemon(true);
        reader.start();
    }

    private Map<String, Long> countedSince() {
        Map<String, Long> since = new HashMap<>();
        counters.all().forEach((name, count) -> {
            long more = count - countedBefore.getOrDefault(name, 0L);
            if (more != 0) {
                since.put(name, more);
            }
        });
        return since;
    }
}
