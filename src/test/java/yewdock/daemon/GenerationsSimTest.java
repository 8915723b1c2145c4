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
 * The keeper's reducer, real desks and the real module in virtual time, with links that are late, processes
 * that die and hang at any point, boxes that drain, and clients that use few ids, so that they meet. One
 * seed, one run.
 */
class GenerationsSimTest {
    private static final CoreSettings TERMS = new CoreSettings(250_000, 5_000_000, false, 1_000_000,
            10_000_000, false, 4,
            List.of(), List.of("chat"), 0);
    private static final int SEEDS = Integer.getInteger("sim.seeds", 60);
    private static final int IDS = 25;
    private static final int CLIENTS = 14;
    private static final long RUN = 25_000_000;
    private static final long GRACE = 1_050_000;

    @Test
    void noIdIsOutTwiceAndEveryRequestIsAnsweredWhateverFails() throws IOException {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        long answered = 0;
        long upgraded = 0;
        long failed = 0;
        long claims = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Sim sim = new Sim(seed, config);
            sim.run();
            assertEquals(List.of(), sim.broken, "seed " + seed);
            answered += sim.answered;
            upgraded += sim.upgraded;
            failed += sim.failed;
            claims += sim.claims;
        }
        // a run in which nothing happens would prove nothing
        assertTrue(answered > SEEDS * 300, answered + " answers");
        assertTrue(upgraded > SEEDS * 3 && failed > SEEDS, upgraded + " upgrades, " + failed + " failed");
        assertTrue(claims > SEEDS * 5, claims + " claims");
    }

    /** The checker sees what it is there for: desks that don't ask each other send an id twice. */
    @Test
    void desksThatDoNotAskAreCaught() throws IOException {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        int caught = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Sim sim = new Sim(seed, config);
            sim.deaf = true;
            sim.run();
            caught += sim.broken.stream().anyMatch(b -> b.contains("out twice")) ? 1 : 0;
        }
        assertTrue(caught > 0);
    }

    private record Due(long at, long order, Runnable task) {
    }

    private static final class Sim {
        private final SplittableRandom random;
        private final Config config;
        private final PriorityQueue<Due> queue =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
        private final SupervisorReducer keeper =
                new SupervisorReducer(UpgradeLimits.uniform(700_000, 4_000_000, 3));
        private final Map<Integer, Gen> gens = new TreeMap<>();
        private final Map<Long, String> boxStates = new HashMap<>();
        private final Map<Long, Long> drainTold = new HashMap<>();
        private final Map<String, String> out = new HashMap<>();
        private final List<Runnable> watchers = new ArrayList<>();
        private final List<String> broken = new ArrayList<>();
        private long now = 1_000_000_000_000L;
        private long order;
        private long version = 1;
        private long lastConnection;
        private long keeperTick = Long.MAX_VALUE;
        private boolean deaf;
        private boolean ending;
        private long answered;
        private long upgraded;
        private long failed;
        private long claims;

        Sim(long seed, Config config) {
            this.random = new SplittableRandom(seed);
            this.config = config;
            for (long b = 1; b <= 4; b++) {
                boxStates.put(b, "up");
            }
        }

        void run() {
            keeper(new SupervisorEvent.ListenerOpened(List.of("p")));
            for (int c = 0; c < CLIENTS; c++) {
                Client client = new Client();
                client.goIn(random.nextLong(500_000));
            }
            at(1_500_000, this::askUpgrade);
            at(700_000, this::drainOne);
            long end = now + RUN;
            at(RUN - 6_000_000, () -> ending = true);
            while (!queue.isEmpty() && queue.peek().at <= end) {
                Due due = queue.poll();
                now = Math.max(now, due.at);
                due.task.run();
            }
            for (Gen g : gens.values()) {
                if (g.alive && !g.hung) {
                    g.owing.forEach((connection, id) -> broken.add("request " + id + " was never answered by "
                            + g.number));
                    if (g.counters.get("faults") > 0) {
                        broken.add("faults in generation " + g.number);
                    }
                }
                claims += g.counters.get("claims.made");
            }
            if (gens.values().stream().noneMatch(g -> g.alive && g.accepting)) {
                broken.add("nobody accepts at the end");
            }
        }

        private void at(long in, Runnable task) {
            queue.add(new Due(now + in, order++, task));
        }

        private void askUpgrade() {
            if (!ending) {
                keeper(new SupervisorEvent.UpgradeRequested(order, List.of()));
                at(500_000 + random.nextLong(2_000_000), this::askUpgrade);
                if (random.nextInt(12) == 0) {
                    Gen serving = gens.get(keeper.servingGeneration());
                    if (serving != null) {
                        at(random.nextLong(300_000), serving::die);
                    }
                }
            }
        }

        private void drainOne() {
            long box = 1 + random.nextInt(3);
            boxStates.put(box, boxStates.get(box).equals("up") ? "draining" : "up");
            version++;
            List<Runnable> all = new ArrayList<>(watchers);
            watchers.clear();
            all.forEach(w -> at(random.nextLong(20_000), w));
            at(300_000 + random.nextLong(2_500_000), this::drainOne);
        }

        private void keeper(SupervisorEvent event) {
            for (SupervisorEffect effect : keeper.reduce(event, now)) {
                if (effect instanceof SupervisorEffect.StartProcess e) {
                    Gen g = new Gen(e.generation());
                    gens.put(e.generation(), g);
                    at(50_000, g::begin);
                } else if (effect instanceof SupervisorEffect.SendFrame e) {
                    gens.get(e.generation()).deliver(e.frame());
                } else if (effect instanceof SupervisorEffect.KillProcess e) {
                    gens.get(e.generation()).die();
                } else if (effect instanceof SupervisorEffect.WriteLog e) {
                    upgraded += e.event().equals("upgrade.done") ? 1 : 0;
                    failed += e.event().equals("upgrade.failed") ? 1 : 0;
                } else if (effect instanceof SupervisorEffect.ExitSupervisor) {
                    broken.add("the keeper stopped");
                }
            }
            // one generation at least accepts, unless the one that served has died
            Gen serving = gens.get(keeper.servingGeneration());
            if (serving != null && serving.alive && !serving.accepting && !serving.stopping
                    && keeper.upcomingGeneration() == 0 && !serving.awaitsBack) {
                broken.add("generation " + serving.number + " serves and does not accept");
            }
            if (keeper.nextTimerDue() < keeperTick) {
                keeperTick = keeper.nextTimerDue();
                long mine = keeperTick;
                at(Math.max(0, mine - now), () -> {
                    if (keeperTick == mine) {
                        keeperTick = Long.MAX_VALUE;
                        keeper(new SupervisorEvent.Tick());
                    }
                });
            }
        }

        private EndpointList list(long since) {
            List<ModelServer> boxes = new ArrayList<>();
            boxStates.forEach((id, state) -> boxes.add(new ModelServer("s-" + id, "127.0.0.1:" + (9000 + id),
                    new ServerState(id, 0, 0, 0, 1, state.equals("up") ? Lifecycle.READY : Lifecycle.DRAINING,
                            0))));
            return new EndpointList(version, since < 0, boxes);
        }

        private void answer(Gen g, long since, long wait, long call, boolean force) {
            if (!g.alive || call != g.listCall) {
                return;
            }
            if (version > since || force) {
                told();
                EndpointList list = list(since);
                at(random.nextLong(1_000), () -> g.happened(new Event.EndpointListReceived(list)));
                return;
            }
            watchers.add(() -> answer(g, since, wait, call, false));
            at(wait, () -> answer(g, since, 0, call, true));
        }

        private void told() {
            boxStates.forEach((id, state) -> {
                if (state.equals("up")) {
                    drainTold.remove(id);
                } else {
                    drainTold.putIfAbsent(id, now);
                }
            });
        }

        /** A client that asks one request after the other, over a connection as long as it lasts. */
        private final class Client {
            private Gen gen;
            private long connection;
            private int turn;

            /** Its next request, unless something else brings one before. */
            void goIn(long micros) {
                int mine = ++turn;
                at(micros, () -> {
                    if (turn == mine && !ending) {
                        go();
                    }
                });
            }

            private void go() {
                if (gen == null || !gen.alive) {
                    List<Gen> open = gens.values().stream().filter(g -> g.alive && g.accepting).toList();
                    if (open.isEmpty()) {
                        goIn(5_000);
                        return;
                    }
                    gen = open.get(random.nextInt(open.size()));
                    connection = ++lastConnection;
                    gen.clients.put(connection, this);
                    gen.happened(new Event.ClientConnected(connection));
                }
                String id = "id" + random.nextInt(IDS);
                gen.happened(new Event.ClientRequestStarted(connection));
                gen.owing.put(connection, id);
                gen.happened(new Event.RequestReceived(connection, new ModelRequest(id, 0, 0, false,
                        random.nextInt(9),
                        random.nextInt(5), 10, 5, 9, 3_000_000, 100)));
            }

            void closed() {
                gen = null;
                goIn(random.nextLong(100_000));
            }

            void done() {
                answered++;
                if (gen.desk.isHandedOver() || gen.desk.isShuttingDown()) {
                    gen.leaves(connection);
                } else {
                    gen.happened(new Event.ClientIdle(connection));
                    goIn(random.nextLong(250_000));
                }
            }
        }

        /** A generation's process. */
        private final class Gen {
            private final int number;
            private final Counters counters = new Counters();
            private final Map<Long, Client> clients = new HashMap<>();
            private final Map<Long, String> owing = new HashMap<>();
            private final Map<Long, Long> boxOfLine = new HashMap<>();
            private final Map<Long, String> tryOnLine = new HashMap<>();
            private final int fails;
            private Reducer desk;
            private GenerationRouter router;
            private boolean alive = true;
            private boolean hung;
            private boolean accepting;
            private boolean stopping;
            private boolean awaitsBack;
            private long linkFree;
            private long listCall;
            private int frames;
            private long tickAt = Long.MAX_VALUE;

            Gen(int number) {
                this.number = number;
                // the first must come up, and the last; of the others, about a third fail at some frame
                this.fails = number > 1 && !ending && random.nextInt(3) == 0 ? random.nextInt(8) : -1;
            }

            void begin() {
                if (alive) {
                    tell(Frame.newBuilder().setHello(Hello.newBuilder().setGeneration(number)));
                    tell(Frame.newBuilder().setChecked(Checked.getDefaultInstance()));
                }
            }

            /** Frames of one link stay in order, each late by a little. */
            private void tell(Frame.Builder frame) {
                Frame built = frame.build();
                linkFree = Math.max(linkFree, now + 50 + random.nextLong(2_000));
                at(linkFree - now, () -> keeper(new SupervisorEvent.FrameReceived(number, built)));
            }

            private long inFree;

            void deliver(Frame frame) {
                awaitsBack |= frame.hasTakeBack();
                inFree = Math.max(inFree, now + 50 + random.nextLong(2_000));
                at(inFree - now, () -> {
                    if (alive && !hung) {
                        if (frames++ == fails) {
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
                // its connections to boxes close with it
                tryOnLine.values().forEach(id -> out.remove(id, number + ""));
                tryOnLine.clear();
                owing.clear();
                List.copyOf(clients.values()).forEach(Client::closed);
                clients.clear();
                at(100, () -> keeper(new SupervisorEvent.ConnectionLost(number, "closed")));
                at(2_000, () -> keeper(new SupervisorEvent.ProcessEnded(number, "died")));
            }

            private void handle(Frame frame) {
                switch (frame.getWhatCase()) {
                    case STATE -> build(frame);
                    case GIVE_STATE -> tell(Frame.newBuilder().setState(
                            StateCodec.write(desk.generationState(), router.learnedState(), counters.all(),
                                    now, now * 1000)));
                    case TAKE -> tell(Frame.newBuilder().setTook(Took.getDefaultInstance()));
                    case SHARE -> happened(new Event.HandoverStarted());
                    case SHARING -> {
                        if (!deaf) {
                            happened(new Event.GenerationStateReceived(frame.getSharing().getGeneration(),
                                    StateCodec.holdings(frame.getSharing())));
                        }
                    }
                    case GO -> {
                        accepting = true;
                        tell(Frame.newBuilder().setServing(Serving.getDefaultInstance()));
                    }
                    case LET_GO -> {
                        accepting = false;
                        tell(Frame.newBuilder().setLetGoDone(LetGoDone.getDefaultInstance()));
                        happened(new Event.HandedOver(frame.getLetGo().getLimitMicros()));
                    }
                    case TAKE_BACK -> {
                        // one that has just stopped is gone before it hears this
                        accepting = !stopping;
                        awaitsBack = false;
                        happened(new Event.HandoverAborted());
                    }
                    case OTHER_GONE -> happened(
                            new Event.GenerationGone(frame.getOtherGone().getGeneration()));
                    case NEWS -> happened(new Event.GenerationMessageReceived(frame.getNews().getGeneration(),
                            StateCodec.news(frame.getNews())));
                    default -> broken.add("told " + frame.getWhatCase());
                }
            }

            private void build(Frame frame) {
                StateCodec.InheritedState left;
                try {
                    left = StateCodec.read(frame.getState(), now, now * 1000);
                } catch (UnreadableStateException e) {
                    broken.add(e.getMessage());
                    return;
                }
                desk = new Reducer(TERMS, new ResourceLimits(60, 60, 60, 1 << 20), counters, actions -> {
                    router = left == null ? new GenerationRouter(config.settings(), number, actions)
                            : new GenerationRouter(config.settings(), number, actions, left.memory(),
                                    left.clockShiftMicros());
                    return router;
                });
                if (left == null) {
                    // as after a restart: its configuration tells it the list
                    told();
                }
                happened(new Event.Started(left == null ? list(-1) : left.endpointList(), "list"));
                tell(Frame.newBuilder().setReady(Ready.getDefaultInstance()));
            }

            void happened(Event event) {
                if (!alive || hung || desk == null || stopping) {
                    return;
                }
                for (Effect effect : desk.reduce(event, now)) {
                    perform(effect);
                }
                if (desk.nextTimerDue() < tickAt) {
                    tickAt = desk.nextTimerDue();
                    long mine = tickAt;
                    at(Math.max(0, mine - now), () -> {
                        if (tickAt == mine) {
                            tickAt = Long.MAX_VALUE;
                            happened(new Event.Tick());
                        }
                    });
                }
            }

            private void perform(Effect effect) {
                if (effect instanceof Effect.OpenServerConnection e) {
                    boxOfLine.put(e.connection(), Long.parseLong(e.address().split(":")[1]) - 9000);
                    at(100 + random.nextLong(900), () -> happened(new Event.ServerConnected(e.connection())));
                } else if (effect instanceof Effect.SendAttempt e) {
                    sent(e);
                } else if (effect instanceof Effect.CloseServerConnection e) {
                    at(random.nextLong(500), () -> down(e.connection()));
                } else if (effect instanceof Effect.EndResponse e) {
                    final Client c = over(e.client());
                    at(0, c::done);
                } else if (effect instanceof Effect.Refuse e) {
                    at(0, over(e.client())::done);
                } else if (effect instanceof Effect.Fail e) {
                    at(0, over(e.client())::done);
                } else if (effect instanceof Effect.RejectDuplicate e) {
                    over(e.client());
                    at(0, () -> leaves(e.client()));
                } else if (effect instanceof Effect.AbortResponse e) {
                    over(e.client());
                    at(0, () -> leaves(e.client()));
                } else if (effect instanceof Effect.CloseClient e) {
                    at(0, () -> leaves(e.client()));
                } else if (effect instanceof Effect.CallDiscovery e) {
                    long call = ++listCall;
                    at(random.nextLong(2_000), () -> answer(this, e.sinceVersion(), e.maxWaitMicros(), call,
                            e.maxWaitMicros() == 0));
                } else if (effect instanceof Effect.CancelDiscoveryCall) {
                    listCall++;
                } else if (effect instanceof Effect.SendToGenerations e) {
                    tell(Frame.newBuilder().setNews(StateCodec.news(e.message())));
                } else if (effect instanceof Effect.SendGenerationState e) {
                    tell(Frame.newBuilder().setSharing(StateCodec.sharing(e.state())));
                } else if (effect instanceof Effect.Stop) {
                    stopping = true;
                    listCall++;
                    at(5_000, this::die);
                }
            }

            private Client over(long connection) {
                if (owing.remove(connection) == null) {
                    broken.add("an answer that nobody is owed, in generation " + number);
                }
                return clients.get(connection);
            }

            private void leaves(long connection) {
                Client client = clients.remove(connection);
                if (client != null) {
                    owing.remove(connection);
                    happened(new Event.ClientDisconnected(connection));
                    client.closed();
                }
            }

            private void sent(Effect.SendAttempt e) {
                String id = owing.get(e.client());
                long box = boxOfLine.get(e.connection());
                if (out.putIfAbsent(id, number + "") != null) {
                    broken.add("id " + id + " is out twice, from " + out.get(id) + " and " + number);
                }
                tryOnLine.put(e.connection(), id);
                if (now > drainTold.getOrDefault(box, Long.MAX_VALUE - GRACE) + GRACE) {
                    broken.add("sent to box " + box + " " + (now - drainTold.get(box))
                            + " us after its drain");
                }
                happened(new Event.AttemptWritten(e.connection()));
                long first = random.nextLong(150_000);
                long whole = first + random.nextLong(random.nextInt(10) == 0 ? 3_000_000 : 200_000);
                boolean breaks = random.nextInt(30) == 0;
                String mine = id;
                at(first, () -> onLine(e.connection(), mine, new Event.ResponseChunk(e.connection(),
                        ByteBuffer.allocate(9))));
                at(whole, () -> {
                    if (breaks) {
                        down(e.connection());
                    } else if (mine.equals(tryOnLine.get(e.connection()))) {
                        tryOnLine.remove(e.connection());
                        out.remove(mine, number + "");
                        happened(new Event.ResponseCompleted(e.connection(), Outcome.OK, true, 0, null));
                    }
                });
            }

            private void onLine(long line, String id, Event event) {
                if (id.equals(tryOnLine.get(line))) {
                    happened(event);
                }
            }

            private void down(long line) {
                String id = tryOnLine.remove(line);
                if (id != null) {
                    out.remove(id, number + "");
                }
                if (boxOfLine.remove(line) != null) {
                    happened(new Event.ServerDisconnected(line));
                }
            }
        }
    }
}
