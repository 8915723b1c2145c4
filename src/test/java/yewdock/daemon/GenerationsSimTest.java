package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import umberspread.GenerationRouter;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Outcome;
import umberspread.Routing.ServerState;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.ModelRequest;
import yewdock.core.ModelServer;
import yewdock.core.Reducer;
import yewdock.core.ResourceLimits;
import yewdock.platform.Config;
import yewdock.upgrade.SupervisorEffect;
import yewdock.upgrade.SupervisorEvent;
import yewdock.upgrade.SupervisorReducer;
import yewdock.upgrade.UpgradeLimits;
import yewdock.wire.Checked;
import yewdock.wire.Frame;
import yewdock.wire.Hello;
import yewdock.wire.LetGoDone;
import yewdock.wire.Ready;
import yewdock.wire.Serving;
import yewdock.wire.Took;

/**
 * Simulates upgrades in virtual time with the supervisor's reducer, real core reducers and the real module.
 * Connections delay frames, processes die or hang at any point, servers drain, and clients use few request
 * ids, so that several generations get the same id. Guards against an id being in flight twice, requests
 * without an answer, and requests to drained servers. Every seed gives one reproducible run.
 */
class GenerationsSimTest {
    private static final CoreSettings SETTINGS = new CoreSettings(250_000, 5_000_000, false, 1_000_000,
            10_000_000, false, 4, List.of(), List.of("chat"), 0);
    private static final int SEEDS = Integer.getInteger("sim.seeds", 60);
    private static final int REQUEST_IDS = 25;
    private static final int CLIENTS = 14;
    private static final long RUN_MICROS = 25_000_000;
    private static final long DRAIN_GRACE_MICROS = 1_050_000;

    @Test
    void noIdIsInFlightTwiceAndEveryRequestIsAnswered() throws IOException {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        long answered = 0;
        long upgraded = 0;
        long failed = 0;
        long claims = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Simulation sim = new Simulation(seed, config);
            sim.run();
            assertEquals(List.of(), sim.violations, "seed " + seed);
            answered += sim.answered;
            upgraded += sim.upgraded;
            failed += sim.failed;
            claims += sim.claims;
        }
        // guards against runs without enough answers, upgrades and claims to be meaningful
        assertTrue(answered > SEEDS * 300, answered + " answers");
        assertTrue(upgraded > SEEDS * 3 && failed > SEEDS, upgraded + " upgrades, " + failed + " failed");
        assertTrue(claims > SEEDS * 5, claims + " claims");
    }

    /** Checks the checker: generations that don't learn each other's open ids send an id twice. */
    @Test
    void generationsThatDoNotShareIdsAreDetected() throws IOException {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        int detected = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Simulation sim = new Simulation(seed, config);
            sim.ignoresSharing = true;
            sim.run();
            detected += sim.violations.stream().anyMatch(v -> v.contains("in flight twice")) ? 1 : 0;
        }
        assertTrue(detected > 0);
    }

    /** A task that is due at this time in microseconds. */
    private record ScheduledTask(long at, long order, Runnable task) {
    }

    private static final class Simulation {
        private final SplittableRandom random;
        private final Config config;
        private final PriorityQueue<ScheduledTask> tasks =
                new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::at)
                        .thenComparingLong(ScheduledTask::order));
        private final SupervisorReducer supervisor =
                new SupervisorReducer(UpgradeLimits.uniform(700_000, 4_000_000, 3));
        private final Map<Integer, SimulatedGeneration> generations = new TreeMap<>();
        private final Map<Long, String> serverStates = new HashMap<>();
        private final Map<Long, Long> drainToldAt = new HashMap<>();
        private final Map<String, String> idsInFlight = new HashMap<>();
        private final List<Runnable> listWatchers = new ArrayList<>();
        private final List<String> violations = new ArrayList<>();
        private long now = 1_000_000_000_000L;
        private long order;
        private long version = 1;
        private long lastConnection;
        private long supervisorTickAt = Long.MAX_VALUE;
        private boolean ignoresSharing;
        private boolean ending;
        private long answered;
        private long upgraded;
        private long failed;
        private long claims;

        Simulation(long seed, Config config) {
            this.random = new SplittableRandom(seed);
            this.config = config;
            for (long server = 1; server <= 4; server++) {
                serverStates.put(server, "up");
            }
        }

        void run() {
            supervisor(new SupervisorEvent.ListenerOpened(List.of("p")));
            for (int c = 0; c < CLIENTS; c++) {
                SimulatedClient client = new SimulatedClient();
                client.scheduleRequest(random.nextLong(500_000));
            }
            schedule(1_500_000, this::requestUpgrade);
            schedule(700_000, this::toggleDrain);
            long end = now + RUN_MICROS;
            schedule(RUN_MICROS - 6_000_000, () -> ending = true);
            while (!tasks.isEmpty() && tasks.peek().at <= end) {
                ScheduledTask due = tasks.poll();
                now = Math.max(now, due.at);
                due.task.run();
            }
            for (SimulatedGeneration g : generations.values()) {
                if (g.alive && !g.hung) {
                    g.openRequests.forEach((connection, id) -> violations.add("request " + id
                            + " was never answered by generation " + g.number));
                    if (g.counters.get("faults") > 0) {
                        violations.add("faults in generation " + g.number);
                    }
                }
                claims += g.counters.get("claims.made");
            }
            if (generations.values().stream().noneMatch(g -> g.alive && g.accepting)) {
                violations.add("no generation accepts at the end");
            }
        }

        private void schedule(long in, Runnable task) {
            tasks.add(new ScheduledTask(now + in, order++, task));
        }

        private void requestUpgrade() {
            if (!ending) {
                supervisor(new SupervisorEvent.UpgradeRequested(order, List.of()));
                schedule(500_000 + random.nextLong(2_000_000), this::requestUpgrade);
                if (random.nextInt(12) == 0) {
                    SimulatedGeneration serving = generations.get(supervisor.servingGeneration());
                    if (serving != null) {
                        schedule(random.nextLong(300_000), serving::die);
                    }
                }
            }
        }

        private void toggleDrain() {
            long server = 1 + random.nextInt(3);
            serverStates.put(server, serverStates.get(server).equals("up") ? "draining" : "up");
            version++;
            List<Runnable> all = new ArrayList<>(listWatchers);
            listWatchers.clear();
            all.forEach(w -> schedule(random.nextLong(20_000), w));
            schedule(300_000 + random.nextLong(2_500_000), this::toggleDrain);
        }

        private void supervisor(SupervisorEvent event) {
            for (SupervisorEffect effect : supervisor.reduce(event, now)) {
                if (effect instanceof SupervisorEffect.StartProcess e) {
                    SimulatedGeneration g = new SimulatedGeneration(e.generation());
                    generations.put(e.generation(), g);
                    schedule(50_000, g::start);
                } else if (effect instanceof SupervisorEffect.SendFrame e) {
                    generations.get(e.generation()).deliver(e.frame());
                } else if (effect instanceof SupervisorEffect.KillProcess e) {
                    generations.get(e.generation()).die();
                } else if (effect instanceof SupervisorEffect.WriteLog e) {
                    upgraded += e.event().equals("upgrade.done") ? 1 : 0;
                    failed += e.event().equals("upgrade.failed") ? 1 : 0;
                } else if (effect instanceof SupervisorEffect.ExitSupervisor) {
                    violations.add("the supervisor stopped");
                }
            }
            // at least one generation accepts, unless the serving one has died
            SimulatedGeneration serving = generations.get(supervisor.servingGeneration());
            if (serving != null && serving.alive && !serving.accepting && !serving.stopping
                    && supervisor.upcomingGeneration() == 0 && !serving.awaitsTakeBack) {
                violations.add("generation " + serving.number + " serves and does not accept");
            }
            if (supervisor.nextTimerDue() < supervisorTickAt) {
                supervisorTickAt = supervisor.nextTimerDue();
                long mine = supervisorTickAt;
                schedule(Math.max(0, mine - now), () -> {
                    if (supervisorTickAt == mine) {
                        supervisorTickAt = Long.MAX_VALUE;
                        supervisor(new SupervisorEvent.Tick());
                    }
                });
            }
        }

        private EndpointList endpointList(long since) {
            List<ModelServer> servers = new ArrayList<>();
            serverStates.forEach((id, state) ->
                    servers.add(new ModelServer("s-" + id, "127.0.0.1:" + (9000 + id), new ServerState(id, 0,
                            0, 0, 1, state.equals("up") ? Lifecycle.READY : Lifecycle.DRAINING, 0))));
            return new EndpointList(version, since < 0, servers);
        }

        private void answerDiscovery(SimulatedGeneration g, long since, long wait, long call, boolean force) {
            if (!g.alive || call != g.listCall) {
                return;
            }
            if (version > since || force) {
                recordDrainsTold();
                EndpointList list = endpointList(since);
                schedule(random.nextLong(1_000), () -> g.dispatch(new Event.EndpointListReceived(list)));
                return;
            }
            listWatchers.add(() -> answerDiscovery(g, since, wait, call, false));
            schedule(wait, () -> answerDiscovery(g, since, 0, call, true));
        }

        private void recordDrainsTold() {
            serverStates.forEach((id, state) -> {
                if (state.equals("up")) {
                    drainToldAt.remove(id);
                } else {
                    drainToldAt.putIfAbsent(id, now);
                }
            });
        }

        /** A client that sends one request after another, over the same connection while it is open. */
        private final class SimulatedClient {
            private SimulatedGeneration generation;
            private long connection;
            private int turn;

            /** Schedules the next request; a later call replaces this one. */
            void scheduleRequest(long micros) {
                int mine = ++turn;
                schedule(micros, () -> {
                    if (turn == mine && !ending) {
                        sendRequest();
                    }
                });
            }

            private void sendRequest() {
                if (generation == null || !generation.alive) {
                    List<SimulatedGeneration> open = generations.values().stream().filter(g -> g.alive
                            && g.accepting).toList();
                    if (open.isEmpty()) {
                        scheduleRequest(5_000);
                        return;
                    }
                    generation = open.get(random.nextInt(open.size()));
                    connection = ++lastConnection;
                    generation.clients.put(connection, this);
                    generation.dispatch(new Event.ClientConnected(connection));
                }
                String id = "id" + random.nextInt(REQUEST_IDS);
                generation.dispatch(new Event.ClientRequestStarted(connection));
                generation.openRequests.put(connection, id);
                generation.dispatch(new Event.RequestReceived(connection, new ModelRequest(id, 0, 0, false,
                        random.nextInt(9), random.nextInt(5), 10, 5, 9, 3_000_000, 100)));
            }

            void closed() {
                generation = null;
                scheduleRequest(random.nextLong(100_000));
            }

            void answered() {
                answered++;
                if (generation.reducer.isHandedOver() || generation.reducer.isShuttingDown()) {
                    generation.clientLeaves(connection);
                } else {
                    generation.dispatch(new Event.ClientIdle(connection));
                    scheduleRequest(random.nextLong(250_000));
                }
            }
        }

        /** A simulated process of a generation. */
        private final class SimulatedGeneration {
            private final int number;
            private final Counters counters = new Counters();
            private final Map<Long, SimulatedClient> clients = new HashMap<>();
            private final Map<Long, String> openRequests = new HashMap<>();
            private final Map<Long, Long> serverByConnection = new HashMap<>();
            private final Map<Long, String> attemptByConnection = new HashMap<>();
            private final int failsAtFrame;
            private Reducer reducer;
            private GenerationRouter router;
            private boolean alive = true;
            private boolean hung;
            private boolean accepting;
            private boolean stopping;
            private boolean awaitsTakeBack;
            private long outboundFreeAt;
            private long listCall;
            private int frames;
            private long tickAt = Long.MAX_VALUE;

            SimulatedGeneration(int number) {
                this.number = number;
                // the first and the last must succeed; about a third of the others fail at some frame
                this.failsAtFrame = number > 1 && !ending && random.nextInt(3) == 0 ? random.nextInt(8) : -1;
            }

            void start() {
                if (alive) {
                    send(Frame.newBuilder().setHello(Hello.newBuilder().setGeneration(number)));
                    send(Frame.newBuilder().setChecked(Checked.getDefaultInstance()));
                }
            }

            /** Sends a frame to the supervisor; frames of a connection stay in order, each with a delay. */
            private void send(Frame.Builder frame) {
                Frame built = frame.build();
                outboundFreeAt = Math.max(outboundFreeAt, now + 50 + random.nextLong(2_000));
                schedule(outboundFreeAt - now, () ->
                        supervisor(new SupervisorEvent.FrameReceived(number, built)));
            }

            private long inboundFreeAt;

            void deliver(Frame frame) {
                awaitsTakeBack |= frame.hasTakeBack();
                inboundFreeAt = Math.max(inboundFreeAt, now + 50 + random.nextLong(2_000));
                schedule(inboundFreeAt - now, () -> {
                    if (alive && !hung) {
                        if (frames++ == failsAtFrame) {
                            if (random.nextBoolean()) {
                                hung = true;
                            } else {
                                die();
                            }
                            return;
                        }
                        handle(frame);
                    }
                });
            }

            void die() {
                if (!alive) {
                    return;
                }
                alive = false;
                accepting = false;
                // its server connections close with it
                attemptByConnection.values().forEach(id -> idsInFlight.remove(id, number + ""));
                attemptByConnection.clear();
                openRequests.clear();
                List.copyOf(clients.values()).forEach(SimulatedClient::closed);
                clients.clear();
                schedule(100, () -> supervisor(new SupervisorEvent.ConnectionLost(number, "closed")));
                schedule(2_000, () -> supervisor(new SupervisorEvent.ProcessEnded(number, "died")));
            }

            private void handle(Frame frame) {
                switch (frame.getWhatCase()) {
                    case STATE -> build(frame);
                    case GIVE_STATE -> send(Frame.newBuilder().setState(StateCodec.write(
                            reducer.generationState(), router.learnedState(), counters.all(), now,
                            now * 1000)));
                    case TAKE -> send(Frame.newBuilder().setTook(Took.getDefaultInstance()));
                    case SHARE -> dispatch(new Event.HandoverStarted());
                    case SHARING -> {
                        if (!ignoresSharing) {
                            dispatch(new Event.GenerationStateReceived(frame.getSharing().getGeneration(),
                                    StateCodec.decodeGenerationState(frame.getSharing())));
                        }
                    }
                    case GO -> {
                        accepting = true;
                        send(Frame.newBuilder().setServing(Serving.getDefaultInstance()));
                    }
                    case LET_GO -> {
                        accepting = false;
                        send(Frame.newBuilder().setLetGoDone(LetGoDone.getDefaultInstance()));
                        dispatch(new Event.HandedOver(frame.getLetGo().getLimitMicros()));
                    }
                    case TAKE_BACK -> {
                        // one that has just stopped exits before it receives this
                        accepting = !stopping;
                        awaitsTakeBack = false;
                        dispatch(new Event.HandoverAborted());
                    }
                    case OTHER_GONE -> dispatch(new Event.GenerationGone(
                            frame.getOtherGone().getGeneration()));
                    case NEWS -> dispatch(new Event.GenerationMessageReceived(frame.getNews().getGeneration(),
                            StateCodec.message(frame.getNews())));
                    default -> violations.add("unexpected frame " + frame.getWhatCase());
                }
            }

            private void build(Frame frame) {
                StateCodec.InheritedState inherited;
                try {
                    inherited = StateCodec.read(frame.getState(), now, now * 1000);
                } catch (UnreadableStateException e) {
                    violations.add(e.getMessage());
                    return;
                }
                reducer = new Reducer(SETTINGS, new ResourceLimits(60, 60, 60, 1 << 20), counters,
                        actions -> {
                            router = inherited == null
                                    ? new GenerationRouter(config.settings(), number, actions)
                                    : new GenerationRouter(config.settings(), number, actions,
                                            inherited.learnedState(), inherited.clockShiftMicros());
                            return router;
                        });
                if (inherited == null) {
                    // as after a restart: the endpoint list comes from the configuration
                    recordDrainsTold();
                }
                dispatch(new Event.Started(inherited == null ? endpointList(-1) : inherited.endpointList(),
                        "list"));
                send(Frame.newBuilder().setReady(Ready.getDefaultInstance()));
            }

            void dispatch(Event event) {
                if (!alive || hung || reducer == null || stopping) {
                    return;
                }
                for (Effect effect : reducer.reduce(event, now)) {
                    execute(effect);
                }
                if (reducer.nextTimerDue() < tickAt) {
                    tickAt = reducer.nextTimerDue();
                    long mine = tickAt;
                    schedule(Math.max(0, mine - now), () -> {
                        if (tickAt == mine) {
                            tickAt = Long.MAX_VALUE;
                            dispatch(new Event.Tick());
                        }
                    });
                }
            }

            private void execute(Effect effect) {
                if (effect instanceof Effect.OpenServerConnection e) {
                    serverByConnection.put(e.connection(), Long.parseLong(e.address().split(":")[1]) - 9000);
                    schedule(100 + random.nextLong(900), () ->
                            dispatch(new Event.ServerConnected(e.connection())));
                } else if (effect instanceof Effect.SendAttempt e) {
                    attemptSent(e);
                } else if (effect instanceof Effect.CloseServerConnection e) {
                    schedule(random.nextLong(500), () -> connectionClosed(e.connection()));
                } else if (effect instanceof Effect.EndResponse e) {
                    final SimulatedClient c = requestEnded(e.client());
                    schedule(0, c::answered);
                } else if (effect instanceof Effect.Refuse e) {
                    schedule(0, requestEnded(e.client())::answered);
                } else if (effect instanceof Effect.Fail e) {
                    schedule(0, requestEnded(e.client())::answered);
                } else if (effect instanceof Effect.RejectDuplicate e) {
                    requestEnded(e.client());
                    schedule(0, () -> clientLeaves(e.client()));
                } else if (effect instanceof Effect.AbortResponse e) {
                    requestEnded(e.client());
                    schedule(0, () -> clientLeaves(e.client()));
                } else if (effect instanceof Effect.CloseClient e) {
                    schedule(0, () -> clientLeaves(e.client()));
                } else if (effect instanceof Effect.CallDiscovery e) {
                    long call = ++listCall;
                    schedule(random.nextLong(2_000), () -> answerDiscovery(this, e.sinceVersion(),
                            e.maxWaitMicros(), call, e.maxWaitMicros() == 0));
                } else if (effect instanceof Effect.CancelDiscoveryCall) {
                    listCall++;
                } else if (effect instanceof Effect.SendToGenerations e) {
                    send(Frame.newBuilder().setNews(StateCodec.message(e.message())));
                } else if (effect instanceof Effect.SendGenerationState e) {
                    send(Frame.newBuilder().setSharing(StateCodec.encodeGenerationState(e.state())));
                } else if (effect instanceof Effect.Stop) {
                    stopping = true;
                    listCall++;
                    schedule(5_000, this::die);
                }
            }

            private SimulatedClient requestEnded(long connection) {
                if (openRequests.remove(connection) == null) {
                    violations.add("an answer without a request, in generation " + number);
                }
                return clients.get(connection);
            }

            private void clientLeaves(long connection) {
                SimulatedClient client = clients.remove(connection);
                if (client != null) {
                    openRequests.remove(connection);
                    dispatch(new Event.ClientDisconnected(connection));
                    client.closed();
                }
            }

            private void attemptSent(Effect.SendAttempt e) {
                String id = openRequests.get(e.client());
                long server = serverByConnection.get(e.connection());
                if (idsInFlight.putIfAbsent(id, number + "") != null) {
                    violations.add("id " + id + " is in flight twice, from " + idsInFlight.get(id) + " and "
                            + number);
                }
                attemptByConnection.put(e.connection(), id);
                if (now > drainToldAt.getOrDefault(server, Long.MAX_VALUE - DRAIN_GRACE_MICROS)
                        + DRAIN_GRACE_MICROS) {
                    violations.add("sent to server " + server + " " + (now - drainToldAt.get(server))
                            + " us after its drain");
                }
                dispatch(new Event.AttemptWritten(e.connection()));
                long first = random.nextLong(150_000);
                long whole = first + random.nextLong(random.nextInt(10) == 0 ? 3_000_000 : 200_000);
                boolean breaks = random.nextInt(30) == 0;
                String mine = id;
                schedule(first, () -> dispatchIfInFlight(e.connection(), mine,
                        new Event.ResponseChunk(e.connection(), ByteBuffer.allocate(9))));
                schedule(whole, () -> {
                    if (breaks) {
                        connectionClosed(e.connection());
                    } else if (mine.equals(attemptByConnection.get(e.connection()))) {
                        attemptByConnection.remove(e.connection());
                        idsInFlight.remove(mine, number + "");
                        dispatch(new Event.ResponseCompleted(e.connection(), Outcome.OK, true, 0, null));
                    }
                });
            }

            private void dispatchIfInFlight(long line, String id, Event event) {
                if (id.equals(attemptByConnection.get(line))) {
                    dispatch(event);
                }
            }

            private void connectionClosed(long line) {
                String id = attemptByConnection.remove(line);
                if (id != null) {
                    idsInFlight.remove(id, number + "");
                }
                if (serverByConnection.remove(line) != null) {
                    dispatch(new Event.ServerDisconnected(line));
                }
            }
        }
    }
}
