package yewdock.daemon;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ClosedChannelException;
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
import yewdock.wire.Share;
import yewdock.wire.State;

/**
 * A router whose process is replaced by another, with no keeper between them: the newer one is started beside
 * the older, finds it by a socket in the folder that both have, takes its state, listens at the same address
 * and tells it to let go. What the two say to each other is what a daemon's generations say.
 *
 * <p>With nobody there, or with one that doesn't answer, the newer one serves by itself; it is never kept
 * from serving by what it finds in the folder. All but the finding happens on the desk's thread.
 */
public class ProcessHandover {
    private static final int OLDER = 1;
    private static final int NEWER = 2;
    /** An older process that is asked for its state, and then for what it has out, answers so soon. */
    private static final long STATE_MILLIS = 1_500;
    private static final long SHARE_MILLIS = 2_500;
    /** A newer one that has taken the ids listens so soon, or is given up. */
    private static final long TAKE_MILLIS = 3_000;
    /** An older process that still finishes is waited for so long before a third may take over. */
    private static final long FINISH_MILLIS = 2_000;
    private static final long LOOK_MILLIS = 100;
    /**
     * The older process is ended once this one says that it is ready, which is due within 6 s: until this age
     * it lets the older one finish its streams. Both serve meanwhile.
     */
    private static final long READY_MILLIS = 5_000;
    /** Of the fields of a process's state behind its name, the one that tells its start. */
    private static final int START_TICKS = 19;
    private static final long MILLIS_A_TICK = 10;
    private static final long UNKNOWN_AGE_MILLIS = 2_000;
    private static final long LET_GO_MICROS = 600_000_000L;
    private static final int MOST_PATH = 100;

    private final Config config;
    /** Null where there is no folder that both processes would have. */
    private final Path socket;
    private final OperatorOverridesFile marksFile;
    private final CompletableFuture<State> state = new CompletableFuture<>();
    private volatile Marks marksLeft;
    private ControlConnection predecessor;
    private StateCodec.InheritedState left;
    private GenerationRouter router;
    private final List<Runnable> early = new ArrayList<>();
    private MinaTransport sockets;
    private ConnectionManager front;
    private Reducer desk;
    private ServerSocketChannel door;
    /** Written on the desk's thread only. */
    private ControlConnection newer;
    /** Where clients come; they come back to the same port. */
    private String address;
    private boolean tookOver;
    private boolean listening;
    private boolean shared;
    private boolean letGo;

    /** The router of this configuration, whose processes have this folder; "" if they have none. */
    public ProcessHandover(String folder, Config config) {
        this.config = config;
        this.address = config.listenAddress();
        Path base = folder.isEmpty() ? null : Path.of(folder).toAbsolutePath()
                .resolve("yewdock-" + config.name().replaceAll("[^A-Za-z0-9_-]", "_"));
        this.marksFile = base == null ? null
                : new OperatorOverridesFile(base.resolveSibling(base.getFileName() + ".marks"));
        this.socket = base == null || base.toString().length() > MOST_PATH ? null
                : base.resolveSibling(base.getFileName() + ".sock");
    }

    /** Called as each stage of taking over is reached; stand-ins make it fail. */
    protected void stageReached(Stage stage) {
        // nothing fails here
    }

    /** The connection to the older process; null if there is none. */
    protected final ControlConnection predecessor() {
        return predecessor;
    }

    /** Looks for an older process and takes its state; any thread may call it, once, before all else. */
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
        predecessor.start("older", this::heardOfOlder, why -> {
            state.complete(State.getDefaultInstance());
            later(() -> olderGone(why));
        });
        predecessor.send(Frame.newBuilder().setHello(Hello.newBuilder().setProgram(
                String.valueOf(getClass().getPackage().getImplementationVersion()))).build());
        predecessor.send(Frame.newBuilder().setGiveState(GiveState.getDefaultInstance()).build());
        try {
            left = StateCodec.read(state.get(STATE_MILLIS, TimeUnit.MILLISECONDS),
                    new MonotonicClock().getAsLong(),
                    System.nanoTime());
            stageReached(Stage.STATE);
        } catch (TimeoutException | ExecutionException | UnreadableStateException e) {
            EventLog.warn("succession.no_state", "why", e.toString(), "now", "going on without");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The module, with what the older process has learnt. */
    public final Routing.Events router(Routing.Actions actions) {
        router = Generation.router(config, config.seed(), actions, left);
        return router;
    }

    /** Serves until told to stop. */
    public final void serve(MinaTransport on, ConnectionManager by, Reducer of) {
        synchronized (this) {
            sockets = on;
            early.forEach(on::post);
            early.clear();
        }
        front = by;
        desk = of;
        front.forwardGenerationEffectsTo(this::tell);
        sockets.serveWithoutListening(this::begin, front, desk);
        if (newer == null && door != null) {
            delete();
        }
    }

    /** On the desk's thread; what comes before there is one waits for it. */
    private synchronized void later(Runnable work) {
        if (sockets != null) {
            sockets.post(work);
        } else {
            early.add(work);
        }
    }

    // ---- the newer process

    private void begin() {
        Generation.begin(front, desk, config, left);
        Map<String, OperatorOverride> marks = marksLeft != null ? StateCodec.marks(marksLeft) : kept();
        if (!marks.isEmpty()) {
            front.dispatch(new Event.OverridesReplaced(marks));
            EventLog.info("succession.marks", "boxes", marks.size());
        }
        if (predecessor == null) {
            takeOver();
            return;
        }
        front.dispatch(new Event.OlderGenerationChanged(OlderGeneration.SERVING));
        stageReached(Stage.READY);
        predecessor.send(Frame.newBuilder().setShare(Share.getDefaultInstance()).build());
        sockets.postDelayed(SHARE_MILLIS, () -> {
            if (!tookOver) {
                EventLog.warn("succession.silent", "now", "taking over all the same");
                takeOver();
            }
        });
    }

    private Map<String, OperatorOverride> kept() {
        try {
            return marksFile == null ? Map.of() : marksFile.read();
        } catch (IOException e) {
            EventLog.warn("succession.marks_unreadable", "why", e.getMessage(), "now", "going on without");
            return Map.of();
        }
    }

    /** Listens, and only then is ready; the older process lets go once this one takes connections. */
    private void takeOver() {
        if (tookOver) {
            return;
        }
        // once: the older process may end when this one has let go itself
        tookOver = true;
        listen();
        awaitSuccessor();
        front.dispatch(new Event.OlderGenerationChanged(predecessor == null ? OlderGeneration.NONE
                : OlderGeneration.FINISHING));
        if (predecessor != null) {
            sockets.postDelayed(Math.max(0, READY_MILLIS - age()),
                    () -> front.dispatch(new Event.OlderGenerationChanged(OlderGeneration.NONE)));
            predecessor.send(Frame.newBuilder().setLetGo(
                    LetGo.newBuilder().setLimitMicros(LET_GO_MICROS)).build());
            EventLog.info("succession.took_over", "boxes",
                    desk.generationState().endpointList().servers().size());
        }
    }

    /**
     * How long this process has been there, from the system's own counts since its boot: the start that Java
     * tells is off by up to a second.
     */
    private static long age() {
        try {
            String stat = Files.readString(Path.of("/proc/self/stat"));
            String[] behindName = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double up = Double.parseDouble(Files.readString(Path.of("/proc/uptime")).split(" ")[0]);
            return Math.round(up * 1000) - Long.parseLong(behindName[START_TICKS]) * MILLIS_A_TICK;
        } catch (IOException | RuntimeException e) {
            return UNKNOWN_AGE_MILLIS;
        }
    }

    private void listen() {
        try {
            address = sockets.listenShared(address);
            listening = true;
        } catch (IOException e) {
            EventLog.warn("succession.no_listener", "address", address, "why", e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    private void heardOfOlder(Frame frame) {
        if (frame.hasState()) {
            state.complete(frame.getState());
        } else if (frame.hasMarks() && !frame.getMarks().getChanges()) {
            marksLeft = frame.getMarks();
        } else {
            later(() -> fromOlder(frame));
        }
    }

    private void fromOlder(Frame frame) {
        switch (frame.getWhatCase()) {
            case SHARING -> {
                stageReached(Stage.SHARE);
                front.dispatch(new Event.GenerationStateReceived(OLDER,
                        StateCodec.holdings(frame.getSharing())));
                takeOver();
            }
            case NEWS -> news(OLDER, frame.getNews());
            case MARKS -> changed(frame.getMarks());
            default -> EventLog.warn("frame.unknown", "from", "older", "frame", frame.getWhatCase());
        }
    }

    private void olderGone(String why) {
        EventLog.info("succession.older_gone", "why", why);
        predecessor = null;
        front.dispatch(new Event.GenerationGone(OLDER));
        front.dispatch(new Event.OlderGenerationChanged(OlderGeneration.NONE));
        takeOver();
    }

    // ---- the older process

    /** Whoever is started next finds this process here. */
    private void awaitSuccessor() {
        if (socket == null) {
            return;
        }
        try {
            delete();
            door = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            door.bind(UnixDomainSocketAddress.of(socket));
        } catch (IOException | RuntimeException e) {
            // Unix sockets may be refused here: the process can be replaced all the same, without its state
            EventLog.warn("succession.no_socket", "why", e.getMessage());
            door = null;
            return;
        }
        ServerSocketChannel mine = door;
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    ControlConnection link = new ControlConnection(mine.accept());
                    later(() -> came(link));
                }
            } catch (ClosedChannelException e) {
                // not waiting any more
            } catch (IOException e) {
                EventLog.warn("succession.no_socket", "why", e.getMessage());
            }
        }, "succession");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void delete() {
        try {
            Files.deleteIfExists(socket);
        } catch (IOException e) {
            EventLog.warn("succession.leftover", "file", socket, "why", e.getMessage());
        }
    }

    private void came(ControlConnection link) {
        if (newer != null) {
            EventLog.warn("succession.second", "now", "turned away: another process is taking over");
            link.close();
            return;
        }
        newer = link;
        link.start("newer", frame -> later(() -> fromNewer(link, frame)),
                why -> later(() -> newerGone(link, why)));
    }

    private void fromNewer(ControlConnection link, Frame frame) {
        if (link != newer) {
            return;
        }
        switch (frame.getWhatCase()) {
            case HELLO -> EventLog.info("succession.newer", "program", frame.getHello().getProgram());
            case GIVE_STATE -> {
                newer.send(Frame.newBuilder().setMarks(StateCodec.marks(desk.operatorOverrides(),
                        false)).build());
                // each process counts from 0
                newer.send(Frame.newBuilder().setState(StateCodec.write(desk.generationState(),
                        router.learnedState(),
                        Map.of(), sockets.clock().getAsLong(), System.nanoTime())).build());
            }
            case SHARE -> share(link, System.nanoTime());
            case NEWS -> news(NEWER, frame.getNews());
            case MARKS -> changed(frame.getMarks());
            case LET_GO -> {
                letGo = true;
                if (listening) {
                    listening = false;
                    sockets.stopAccepting();
                }
                EventLog.info("succession.lets_go", "open", desk.generationState().requestIds().size());
                front.dispatch(new Event.HandedOver(frame.getLetGo().getLimitMicros()));
            }
            default -> EventLog.warn("frame.unknown", "from", "newer", "frame", frame.getWhatCase());
        }
    }

    /** Of three processes the middle one can't speak for the oldest: that one is waited for, but not long. */
    private void share(ControlConnection link, long since) {
        if (link != newer) {
            return;
        }
        if (predecessor != null && System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(FINISH_MILLIS)) {
            sockets.postDelayed(LOOK_MILLIS, () -> share(link, since));
            return;
        }
        if (predecessor != null) {
            predecessor.close();
        }
        shared = true;
        front.dispatch(new Event.HandoverStarted());
        sockets.postDelayed(TAKE_MILLIS, () -> {
            if (link == newer && !letGo) {
                link.close();
                newerGone(link, "it took the ids and then said nothing");
            }
        });
    }

    /** The newer process died: this one serves as before, if it is not leaving itself. */
    private void newerGone(ControlConnection link, String why) {
        if (link != newer) {
            return;
        }
        EventLog.warn("succession.newer_gone", "why", why, "shared", shared);
        newer = null;
        letGo = false;
        if (!shared) {
            return;
        }
        shared = false;
        front.dispatch(new Event.GenerationGone(NEWER));
        front.dispatch(new Event.HandoverAborted());
        if (!listening && !desk.isShuttingDown()) {
            listen();
            awaitSuccessor();
        }
    }

    // ---- both

    private void news(int who, News told) {
        GenerationMessage news = StateCodec.news(told);
        if (news != null) {
            front.dispatch(new Event.GenerationMessageReceived(who, news));
        }
    }

    private void changed(Marks marks) {
        StateCodec.marks(marks).forEach((box, mark) -> front.dispatch(new Event.OverrideChanged(box, mark)));
        keep();
    }

    private void tell(Effect effect) {
        if (effect instanceof Effect.SendGenerationState e) {
            send(newer, Frame.newBuilder().setSharing(StateCodec.sharing(e.state())).build());
        } else if (effect instanceof Effect.PublishOverride e) {
            Frame frame = Frame.newBuilder().setMarks(StateCodec.marks(Map.of(e.server(), e.override()),
                    true)).build();
            send(newer, frame);
            send(predecessor, frame);
            keep();
        } else if (effect instanceof Effect.SendToGenerations e) {
            Frame frame = Frame.newBuilder().setNews(StateCodec.news(e.message())).build();
            if (e.message() instanceof GenerationMessage.ClaimAnswer c) {
                send(c.generation() == OLDER ? predecessor : newer, frame);
            } else if (e.message() instanceof GenerationMessage.EndpointListRelayed) {
                send(newer, frame);
                send(predecessor, frame);
            } else {
                send(newer, frame);
            }
        }
    }

    private static void send(ControlConnection to, Frame frame) {
        if (to != null) {
            to.send(frame);
        }
    }

    private void keep() {
        if (marksFile == null) {
            return;
        }
        try {
            marksFile.write(desk.operatorOverrides());
        } catch (IOException e) {
            EventLog.warn("succession.marks_unwritten", "why", e.getMessage());
        }
    }
}
