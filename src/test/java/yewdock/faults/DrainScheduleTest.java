package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.Event;
import yewdock.core.ModelRequest;
import yewdock.core.Reducer;
import yewdock.core.ResourceLimits;
import yewdock.faults.SimulatedDiscovery.Fault;

/**
 * Schedules of faults drawn from seeds, on a clock of the test's, against the reducer with the real module: a
 * server drains or goes while calls to discovery fail, its process restarts, replicas lag or it moves.
 * {@code -Ddrain.schedules=N} plays N of them in each mode.
 */
class DrainScheduleTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 10_000;
    private static final int SCHEDULES = Integer.getInteger("drain.schedules", 150);
    private static final int SERVERS = 4;
    private static final int INCIDENTS = 6;
    /** Every change counts as told and must be kept by then; a server that is put back is up for so long. */
    private static final long BETWEEN_INCIDENTS = 8 * SECOND;
    private static final long REQUEST_EVERY = 25_000;

    /** One router with its discovery and its clients. */
    private static final class Rig {
        private record Due(long at, Event event) {
        }

        private final boolean pushed;
        private final long grace;
        private final Random random;
        private final DrainJudge judge;
        private final SimulatedDiscovery discovery;
        private final Reducer desk;
        private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at));
        private final List<String> script = new ArrayList<>();
        private final Map<Long, Long> serversByLine = new HashMap<>();
        private final boolean ignoresDrains;
        private long now = 1000 * SECOND;
        private long lastRequest;
        private int moves;

        Rig(long seed, boolean pushed, boolean ignoresDrains) {
            this.pushed = pushed;
            this.ignoresDrains = ignoresDrains;
            random = new Random(seed);
            grace = SECOND / 4 * (1 + random.nextInt(4));
            judge = new DrainJudge(grace / 1000, pushed, () -> now * 1000);
            discovery = new SimulatedDiscovery(judge, SERVERS);
            desk = new Reducer(new CoreSettings(250_000, 5 * SECOND, pushed, grace, 10 * SECOND, false, 4,
                    List.of(true), List.of("chat"), 0), new ResourceLimits(80, 200, 200, 1 << 20),
                            new Counters(),
                    actions -> new BoundedLoadRouter(settings(), seed, actions));
            happens(new Event.Started(discovery.whole(), "127.0.0.1:8500"));
        }

        private Routing.Settings settings() {
            return new Routing.Settings(1, 0, 0, List.of(new Routing.RequestClass("chat",
                    Routing.RetrySafety.RETRYABLE, Routing.DedupGroup.ALL, 0, SECOND, 0, 0, 4 * SECOND, 1, 0,
                            true,
                    Routing.Placement.ANYWHERE)), List.of(), 0.1, !pushed,
                    new Routing.Limits(4, false, true, false, 250_000, 0),
                    new Routing.Contract(grace, 8 * SECOND, 0.3, 3, 2 * SECOND, 10 * SECOND,
                            Routing.AttemptBudget.NONE), new Routing.Prices(0, 0, 0, 0, 0));
        }

        private void later(long delay, Event event) {
            due.add(new Due(now + delay, event));
        }

        private void happens(Event event) {
            for (Effect effect : desk.reduce(event, now)) {
                if (effect instanceof Effect.CallDiscovery call) {
                    discovery.called(call, now);
                } else if (effect instanceof Effect.CancelDiscoveryCall) {
                    discovery.hungUp();
                } else if (effect instanceof Effect.OpenServerConnection line) {
                    serversByLine.put(line.connection(), Long.parseLong(line.address().split(":")[1]) - 9000);
                    later(random.nextInt(10) == 0 ? 200_000 : 1_000,
                            new Event.ServerConnected(line.connection()));
                } else if (effect instanceof Effect.CloseServerConnection line) {
                    later(0, new Event.ServerDisconnected(line.connection()));
                } else if (effect instanceof Effect.SendAttempt attempt) {
                    judge.attempted(0, SimulatedDiscovery.name(serversByLine.get(attempt.connection())),
                            now * 1000);
                    later(0, new Event.AttemptWritten(attempt.connection()));
                    later(30_000 + random.nextInt(100_000), new Event.ResponseCompleted(attempt.connection(),
                            Routing.Outcome.OK, true, 0, null));
                }
            }
        }

        private void pass(long micros) {
            for (long until = now + micros; now < until;) {
                now += STEP;
                if (now - lastRequest >= REQUEST_EVERY) {
                    lastRequest = now;
                    request();
                }
                for (Event answer : discovery.answer(now)) {
                    boolean hidden = ignoresDrains && answer instanceof Event.EndpointListReceived came
                            && !came.list().servers().isEmpty();
                    if (!hidden) {
                        happens(answer);
                    }
                }
                while (!due.isEmpty() && due.peek().at <= now) {
                    happens(due.poll().event);
                }
                if (desk.nextTimerDue() <= now) {
                    happens(new Event.Tick());
                }
            }
        }

        private void request() {
            long client = now;
            happens(new Event.ClientConnected(client));
            happens(new Event.RequestReceived(client, new ModelRequest(Long.toHexString(client), 0, 0, false,
                    random.nextLong(), 0, 10, 0, 9, 4 * SECOND, 100)));
            later(5 * SECOND, new Event.ClientDisconnected(client));
        }

        private void play() {
            pass(SECOND);
            for (int i = 0; i < INCIDENTS; i++) {
                long server = 1 + random.nextInt(SERVERS);
                boolean before = random.nextBoolean();
                EndpointState end = random.nextBoolean() ? EndpointState.DRAINING : EndpointState.REMOVED;
                script.add("s-" + server + " " + end + (before ? ", then " : " in "));
                if (before) {
                    discovery.set(server, end);
                    // an agent that stops in the very moment in which it has news has told nobody of it
                    pass(random.nextInt(2) * SECOND + SECOND / 10);
                }
                incident(() -> {
                    if (!before) {
                        discovery.set(server, end);
                    }
                });
                pass(BETWEEN_INCIDENTS);
                discovery.set(server, EndpointState.UP);
                pass(random.nextInt(3) * SECOND);
            }
        }

        private void incident(Runnable inTheMidst) {
            switch (random.nextInt(6)) {
                case 0 -> {
                    List<Fault> faults = fewFaults();
                    script.add("calls " + faults);
                    discovery.failNextCalls(faults);
                    discovery.breakOpenCall(Fault.FAILS);
                    inTheMidst.run();
                }
                case 1 -> {
                    script.add("watch silent");
                    inTheMidst.run();
                    discovery.breakOpenCall(Fault.SILENT);
                }
                case 2, 3 -> {
                    boolean countsAnew = random.nextBoolean();
                    script.add("outage, counts anew: " + countsAnew);
                    discovery.stop();
                    pass(random.nextInt(80) * SECOND / 10);
                    inTheMidst.run();
                    pass(random.nextInt(10) * SECOND / 10);
                    discovery.restart(countsAnew);
                }
                case 4 -> {
                    script.add("lagging replica");
                    discovery.lagOnce();
                    inTheMidst.run();
                }
                default -> {
                    script.add("moves");
                    inTheMidst.run();
                    discovery.hungUp();
                    happens(new Event.DiscoveryAddressChanged("127.0.0.1:" + (8501 + moves++)));
                }
            }
        }

        /** Where lists are pushed, what the agent has counts as told at once: there is no time for more. */
        private List<Fault> fewFaults() {
            List<Fault> faults = new ArrayList<>();
            int silent = pushed ? 0 : random.nextInt(2);
            int failing = random.nextInt(pushed ? 3 : 4);
            for (int i = 0; i < failing; i++) {
                faults.add(Fault.FAILS);
            }
            if (silent > 0) {
                faults.add(random.nextInt(faults.size() + 1), Fault.SILENT);
            }
            return faults;
        }
    }

    private static void playAll(boolean pushed) {
        int withinGrace = 0;
        for (long seed = 0; seed < SCHEDULES; seed++) {
            Rig rig = new Rig(seed, pushed, false);
            rig.play();
            assertEquals(List.of(), rig.judge.violations().stream().limit(3).toList(),
                    "seed " + seed + ", grace " + rig.grace + ": " + rig.script);
            assertTrue(rig.judge.attempts() > 1000, "too little traffic: " + rig.judge.attempts());
            withinGrace += rig.judge.attemptsWithinGrace();
        }
        assertTrue(withinGrace > 0, "no drain was put to the test");
    }

    @Test
    void drainsAreKeptWhereTheListIsAsked() {
        playAll(false);
    }

    @Test
    void drainsAreKeptWhereTheListIsPushed() {
        playAll(true);
    }

    /** A planted fault: the router is shown no list with an entry. */
    @Test
    void theJudgeSeesDrainsThatAreNotHeard() {
        for (boolean pushed : new boolean[] {false, true}) {
            Rig rig = new Rig(1, pushed, true);
            rig.play();
            assertFalse(rig.judge.violations().isEmpty());
        }
    }
}
