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
 * Runs the reducer with the bounded-load module against random fault schedules on a simulated clock, and
 * checks that the router keeps the drain rule. In each schedule servers drain or are removed while discovery
 * calls fail, discovery restarts, answers from a lagging replica or changes its address.
 *
 * <p>{@code -Ddrain.schedules=N} runs N schedules for each kind of discovery; seeds count from 0.
 */
class DrainScheduleTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long STEP_MICROS = 10_000;
    private static final int SCHEDULE_COUNT = Integer.getInteger("drain.schedules", 150);
    private static final int SERVER_COUNT = 4;
    private static final int FAULTS_PER_SCHEDULE = 6;
    /** Time after each fault; longer than the 6 s to count as notified plus the longest grace, 1 s. */
    private static final long FAULT_INTERVAL_MICROS = 8 * SECOND_MICROS;
    private static final long REQUEST_INTERVAL_MICROS = 25_000;

    /** One router with its discovery, servers and clients. */
    private static final class Simulation {
        private record ScheduledEvent(long atMicros, Event event) {
        }

        private final boolean byAgent;
        private final long graceMicros;
        private final Random random;
        private final DrainRuleChecker checker;
        private final SimulatedDiscovery discovery;
        private final Reducer reducer;
        private final PriorityQueue<ScheduledEvent> scheduledEvents =
                new PriorityQueue<>(Comparator.comparingLong(ScheduledEvent::atMicros));
        /** What happened, for the message of a failed test. */
        private final List<String> schedule = new ArrayList<>();
        private final Map<Long, Long> serversByConnection = new HashMap<>();
        /** Whether lists with entries are withheld from the router, to test the checker. */
        private final boolean hidesListChanges;
        private long nowMicros = 1000 * SECOND_MICROS;
        private long lastRequestMicros;
        private int addressChanges;

        Simulation(long seed, boolean byAgent, boolean hidesListChanges) {
            this.byAgent = byAgent;
            this.hidesListChanges = hidesListChanges;
            random = new Random(seed);
            graceMicros = SECOND_MICROS / 4 * (1 + random.nextInt(4));
            checker = new DrainRuleChecker(graceMicros / 1000, byAgent, () -> nowMicros * 1000);
            discovery = new SimulatedDiscovery(checker, SERVER_COUNT);
            reducer = new Reducer(new CoreSettings(250_000, 5 * SECOND_MICROS, byAgent, graceMicros,
                    10 * SECOND_MICROS, false, 4, List.of(true), List.of("chat"), 0),
                    new ResourceLimits(80, 200, 200, 1 << 20), new Counters(),
                    actions -> new BoundedLoadRouter(settings(), seed, actions));
            dispatch(new Event.Started(discovery.fullList(), "127.0.0.1:8500"));
        }

        private Routing.Settings settings() {
            return new Routing.Settings(1, 0, 0, List.of(new Routing.RequestClass("chat",
                    Routing.RetrySafety.RETRYABLE, Routing.DedupGroup.ALL, 0, SECOND_MICROS, 0, 0,
                    4 * SECOND_MICROS, 1, 0, true, Routing.Placement.ANYWHERE)), List.of(), 0.1, !byAgent,
                    new Routing.Limits(4, false, true, false, 250_000, 0),
                    new Routing.Contract(graceMicros, 8 * SECOND_MICROS, 0.3, 3, 2 * SECOND_MICROS,
                            10 * SECOND_MICROS, Routing.AttemptBudget.NONE),
                    new Routing.Prices(0, 0, 0, 0, 0));
        }

        /** Dispatches the event once the delay has passed. */
        private void scheduleAfter(long delayMicros, Event event) {
            scheduledEvents.add(new ScheduledEvent(nowMicros + delayMicros, event));
        }

        /** Gives the event to the reducer and simulates the effects that concern servers and discovery. */
        private void dispatch(Event event) {
            for (Effect effect : reducer.reduce(event, nowMicros)) {
                if (effect instanceof Effect.CallDiscovery call) {
                    discovery.onCall(call, nowMicros);
                } else if (effect instanceof Effect.CancelDiscoveryCall) {
                    discovery.cancelCall();
                } else if (effect instanceof Effect.OpenServerConnection open) {
                    serversByConnection.put(open.connection(),
                            Long.parseLong(open.address().split(":")[1]) - 9000);
                    scheduleAfter(random.nextInt(10) == 0 ? 200_000 : 1_000,
                            new Event.ServerConnected(open.connection()));
                } else if (effect instanceof Effect.CloseServerConnection close) {
                    scheduleAfter(0, new Event.ServerDisconnected(close.connection()));
                } else if (effect instanceof Effect.SendAttempt attempt) {
                    checker.attemptReceived(0, SimulatedDiscovery.serverName(
                            serversByConnection.get(attempt.connection())), nowMicros * 1000);
                    scheduleAfter(0, new Event.AttemptWritten(attempt.connection()));
                    scheduleAfter(30_000 + random.nextInt(100_000),
                            new Event.ResponseCompleted(attempt.connection(),
                                    Routing.Outcome.OK, true, 0, null));
                }
            }
        }

        /** Advances the clock step by step, with all traffic and events that fall due meanwhile. */
        private void advance(long micros) {
            for (long untilMicros = nowMicros + micros; nowMicros < untilMicros;) {
                nowMicros += STEP_MICROS;
                if (nowMicros - lastRequestMicros >= REQUEST_INTERVAL_MICROS) {
                    lastRequestMicros = nowMicros;
                    sendRequest();
                }
                for (Event event : discovery.pollEvents(nowMicros)) {
                    boolean hidden = hidesListChanges && event instanceof Event.EndpointListReceived received
                            && !received.list().servers().isEmpty();
                    if (!hidden) {
                        dispatch(event);
                    }
                }
                while (!scheduledEvents.isEmpty() && scheduledEvents.peek().atMicros <= nowMicros) {
                    dispatch(scheduledEvents.poll().event);
                }
                if (reducer.nextTimerDue() <= nowMicros) {
                    dispatch(new Event.Tick());
                }
            }
        }

        private void sendRequest() {
            long client = nowMicros;
            dispatch(new Event.ClientConnected(client));
            dispatch(new Event.RequestReceived(client, new ModelRequest(Long.toHexString(client), 0, 0, false,
                    random.nextLong(), 0, 10, 0, 9, 4 * SECOND_MICROS, 100)));
            scheduleAfter(5 * SECOND_MICROS, new Event.ClientDisconnected(client));
        }

        private void run() {
            advance(SECOND_MICROS);
            for (int i = 0; i < FAULTS_PER_SCHEDULE; i++) {
                long server = 1 + random.nextInt(SERVER_COUNT);
                boolean changeFirst = random.nextBoolean();
                EndpointState newState = random.nextBoolean() ? EndpointState.DRAINING
                        : EndpointState.REMOVED;
                schedule.add("s-" + server + " " + newState + (changeFirst ? ", then " : " during "));
                if (changeFirst) {
                    discovery.setState(server, newState);
                    // at least 0.1 s: an agent that stops at the moment of the change has notified nobody
                    advance(random.nextInt(2) * SECOND_MICROS + SECOND_MICROS / 10);
                }
                injectFault(() -> {
                    if (!changeFirst) {
                        discovery.setState(server, newState);
                    }
                });
                advance(FAULT_INTERVAL_MICROS);
                discovery.setState(server, EndpointState.UP);
                advance(random.nextInt(3) * SECOND_MICROS);
            }
        }

        private void injectFault(Runnable duringFault) {
            switch (random.nextInt(6)) {
                case 0 -> {
                    List<Fault> faults = randomCallFaults();
                    schedule.add("failing calls " + faults);
                    discovery.failNextCalls(faults);
                    discovery.failOpenCall(Fault.FAILS);
                    duringFault.run();
                }
                case 1 -> {
                    schedule.add("open watch is never answered");
                    duringFault.run();
                    discovery.failOpenCall(Fault.SILENT);
                }
                case 2, 3 -> {
                    boolean resetsVersions = random.nextBoolean();
                    schedule.add("outage, versions reset: " + resetsVersions);
                    discovery.stop();
                    advance(random.nextInt(80) * SECOND_MICROS / 10);
                    duringFault.run();
                    advance(random.nextInt(10) * SECOND_MICROS / 10);
                    discovery.restart(resetsVersions);
                }
                case 4 -> {
                    schedule.add("next call is answered by a lagging replica");
                    discovery.answerNextCallWithCurrentList();
                    duringFault.run();
                }
                default -> {
                    schedule.add("discovery address changes");
                    duringFault.run();
                    discovery.cancelCall();
                    dispatch(new Event.DiscoveryAddressChanged("127.0.0.1:" + (8501 + addressChanges++)));
                }
            }
        }

        /**
         * Draws few faults, and no silent ones, with an agent: its changes count as notified at once, so that
         * the grace has no time for more failed calls.
         */
        private List<Fault> randomCallFaults() {
            List<Fault> faults = new ArrayList<>();
            int silent = byAgent ? 0 : random.nextInt(2);
            int failing = random.nextInt(byAgent ? 3 : 4);
            for (int i = 0; i < failing; i++) {
                faults.add(Fault.FAILS);
            }
            if (silent > 0) {
                faults.add(random.nextInt(faults.size() + 1), Fault.SILENT);
            }
            return faults;
        }
    }

    private static void runSchedules(boolean byAgent) {
        int withinGrace = 0;
        for (long seed = 0; seed < SCHEDULE_COUNT; seed++) {
            Simulation simulation = new Simulation(seed, byAgent, false);
            simulation.run();
            assertEquals(List.of(), simulation.checker.violations().stream().limit(3).toList(),
                    "seed " + seed + ", grace " + simulation.graceMicros + " us: " + simulation.schedule);
            assertTrue(simulation.checker.attemptCount() > 1000, "too little traffic: "
                    + simulation.checker.attemptCount());
            withinGrace += simulation.checker.attemptsWithinGrace();
        }
        assertTrue(withinGrace > 0,
                "no attempt reached a draining or removed server: the drain rule was not exercised");
    }

    @Test
    void drainsAreKeptWithPolledDiscovery() {
        runSchedules(false);
    }

    @Test
    void drainsAreKeptWithDiscoveryByAgent() {
        runSchedules(true);
    }

    /** Tests the checker itself: lists with entries are withheld, so that the router must break the rule. */
    @Test
    void checkerReportsIgnoredDrains() {
        for (boolean byAgent : new boolean[] {false, true}) {
            Simulation simulation = new Simulation(1, byAgent, true);
            simulation.run();
            assertFalse(simulation.checker.violations().isEmpty());
        }
    }
}
