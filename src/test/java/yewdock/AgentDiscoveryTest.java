package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
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

/** A list that is pushed to an agent: what the agent has counts as told, whatever becomes of the calls. */
class AgentDiscoveryTest {
    private static final long GRACE = 500_000;
    private static final CoreSettings PUSHED = new CoreSettings(250_000, 30_000_000, true, GRACE, 10_000_000,
            true, 4,
            List.of(true), List.of("chat"), 0);
    private final Counters counters = new Counters();
    private final Agent agent = new Agent();
    private final List<String> told = new ArrayList<>();
    private final Reducer desk = new Reducer(PUSHED, new ResourceLimits(40, 20, 20, 1 << 20), counters,
            Module::new);
    private long now;
    private Routing.Actions module;

    /** Sends each request to box 1 and notes what it is told of the list. */
    private final class Module extends QuietModule {
        Module(Routing.Actions actions) {
            module = actions;
        }

        @Override
        public void listReceived(long time, ListKind kind, List<ServerState> entries) {
            told.add(kind + " " + entries.stream().map(r -> r.id() + ":" + r.lifecycle()).toList());
        }

        @Override
        public void requestArrived(long time, Routing.Request request) {
            module.send(request.id(), 1, 0);
        }

        @Override
        public void attemptEnded(long time, long requestId, int attempt, Routing.Outcome outcome, long took,
                boolean over, long kept, Routing.LoadReport report) {
            told.add(outcome.name());
        }
    }

    /** Answers calls on the desk's clock, except while it is silent. */
    private final class Agent {
        private EndpointList list = new EndpointList(7, true, List.of(box(1, Lifecycle.READY)));
        private boolean silent;
        private boolean refusing;
        private boolean hasty;
        private Effect.CallDiscovery open;
        private long openUntil;
        private final List<Long> calls = new ArrayList<>();
        private final List<Long> since = new ArrayList<>();

        void called(Effect.CallDiscovery call) {
            calls.add(now);
            since.add(call.sinceVersion());
            open = call;
            openUntil = hasty ? now : now + call.maxWaitMicros();
        }

        void look() {
            if (open == null || silent) {
                return;
            }
            if (refusing) {
                open = null;
                happens(new Event.DiscoveryCallFailed());
            } else if (open.sinceVersion() != list.version() || now >= openUntil) {
                boolean whole = open.sinceVersion() != list.version();
                open = null;
                happens(new Event.EndpointListReceived(whole ? list : new EndpointList(list.version(), false,
                        List.of())));
            }
        }
    }

    private static ModelServer box(long id, Lifecycle state) {
        return new ModelServer("s-" + id, "127.0.0.1:9001", new ServerState(id, 0, 0, 1, 1, state, 0));
    }

    private List<Effect> happens(Event event) {
        List<Effect> effects = desk.reduce(event, now);
        for (Effect effect : effects) {
            if (effect instanceof Effect.CallDiscovery call) {
                agent.called(call);
            } else if (effect instanceof Effect.CancelDiscoveryCall) {
                agent.open = null;
            } else if (effect instanceof Effect.CloseServerConnection e) {
                happens(new Event.ServerDisconnected(e.connection()));
            }
        }
        return effects;
    }

    private void start() {
        happens(new Event.Started(agent.list, "127.0.0.1:8500"));
    }

    private void pass(long micros) {
        for (long until = now + micros; now < until;) {
            now += 5_000;
            if (desk.nextTimerDue() <= now) {
                happens(new Event.Tick());
            }
            agent.look();
        }
    }

    private void drainBoxOne() {
        agent.list = new EndpointList(agent.list.version() + 1, true,
                List.of(box(1, Lifecycle.DRAINING), box(2, Lifecycle.READY)));
    }

    /** How long after now the module is told of the drain. */
    private long untilTold() {
        long at = now;
        while (told.stream().noneMatch(line -> line.contains("1:DRAINING"))) {
            pass(5_000);
            assertTrue(now - at < 60_000_000, "never told");
        }
        return now - at;
    }

    /**
     * What the agent has counts as told from a new process's first moment: the known list, which may be
     * older, is acted on only where the agent stays silent.
     */
    @Test
    void aNewProcessDoesNotActOnItsKnownListBeforeTheAgentHasAnswered() {
        EndpointList known = agent.list;
        drainBoxOne();
        happens(new Event.Started(known, "127.0.0.1:8500"));
        assertFalse(desk.notReadyReason().isEmpty());
        assertEquals(List.of(), told, "the known list was acted on");
        pass(5_000);
        assertEquals("", desk.notReadyReason());
        assertEquals("CACHED [1:DRAINING, 2:READY]", told.get(0));
    }

    @Test
    void aNewProcessActsOnItsKnownListWhereTheAgentIsSilent() {
        agent.silent = true;
        start();
        pass(990_000);
        assertFalse(desk.notReadyReason().isEmpty());
        pass(20_000);
        assertEquals("", desk.notReadyReason());
        assertEquals(List.of("CACHED [1:READY]"), told);
    }

    /** Before, only the module's call began the watch, and with a pushed list it has no cause to call. */
    @Test
    void theWatchGoesOnFromTheFirstMomentThoughNobodyAsks() {
        start();
        drainBoxOne();
        assertTrue(untilTold() < GRACE / 2);
        pass(10_000_000);
        assertEquals(List.of(), told.stream().filter(line -> line.startsWith("FAILED")).toList());
        assertTrue(agent.calls.size() < 120, "a storm: " + agent.calls.size());
    }

    /** What the configuration knew may be long past: the first call asks for all that came after it. */
    @Test
    void aChangeBetweenTheKnownListAndTheFirstWatchIsTold() {
        EndpointList known = agent.list;
        drainBoxOne();
        happens(new Event.Started(known, "127.0.0.1:8500"));
        assertEquals(List.of(7L), agent.since);
        assertTrue(untilTold() < GRACE / 2);
    }

    /** The agent has the drain, and only the call that is out is dead. */
    @Test
    void aDeadCallIsMadeAnewWithinTheGrace() {
        start();
        pass(2_000_000);
        agent.open = null;
        drainBoxOne();
        assertTrue(untilTold() < GRACE, "too late");
    }

    @Test
    void aResetIsFollowedByTheNextCallAtOnce() {
        start();
        pass(2_000_000);
        agent.open = null;
        drainBoxOne();
        happens(new Event.DiscoveryCallFailed());
        assertTrue(untilTold() < GRACE / 4);
        assertTrue(told.stream().noneMatch(line -> line.startsWith("FAILED")), told.toString());
    }

    /** Three boxes are replaced while it is silent: the view comes right as soon as it speaks. */
    @Test
    void aSilentAgentIsCalledWithoutAStormAndBelievedWhenItIsBack() {
        start();
        pass(1_000_000);
        agent.silent = true;
        int before = agent.calls.size();
        pass(10_000_000);
        int made = agent.calls.size() - before;
        assertTrue(made >= 10 && made <= 60, "calls in ten silent seconds: " + made);
        agent.list = new EndpointList(20, true, List.of(box(11, Lifecycle.READY), box(12, Lifecycle.READY),
                box(13, Lifecycle.READY)));
        agent.silent = false;
        pass(GRACE);
        assertEquals("FULL [11:READY, 12:READY, 13:READY]", told.get(told.size() - 1));
    }

    /**
     * It has the drain from the moment on at which it can speak again, and the call that is out then stays
     * dead. Fails with an agent's answers given a whole grace once calls have failed.
     */
    @Test
    void aDrainThatComesWithTheEndOfAnOutageIsToldWithinTheGrace() {
        for (long after = 1_000_000; after < 3_000_000; after += 25_000) {
            AgentDiscoveryTest each = new AgentDiscoveryTest();
            each.start();
            each.pass(1_000_000);
            each.agent.silent = true;
            each.pass(after);
            each.agent.silent = false;
            each.agent.open = null;
            each.drainBoxOne();
            long until = each.untilTold();
            assertTrue(until < GRACE, "silent for " + after + ": told after " + until);
        }
    }

    @Test
    void aRefusingAgentIsCalledWithoutAStorm() {
        start();
        agent.refusing = true;
        pass(10_000_000);
        assertTrue(agent.calls.size() >= 40 && agent.calls.size() <= 120, "calls: " + agent.calls.size());
        agent.refusing = false;
        drainBoxOne();
        assertTrue(untilTold() < GRACE / 2);
    }

    /** One that never waits must not be asked as fast as it answers, and still within 200 ms. */
    @Test
    void anAgentThatNeverWaitsIsNotAskedInALoop() {
        start();
        agent.hasty = true;
        pass(5_000_000);
        assertTrue(agent.calls.size() <= 110, "calls: " + agent.calls.size());
        for (int i = 1; i < agent.calls.size(); i++) {
            assertTrue(agent.calls.get(i) - agent.calls.get(i - 1) < 200_000);
        }
    }

    /** Moved by a new configuration: the whole list is asked for, whatever was out. */
    @Test
    void aMovedAgentIsAskedForTheWholeList() {
        start();
        pass(1_000_000);
        agent.silent = true;
        pass(3_000_000);
        agent.silent = false;
        drainBoxOne();
        happens(new Event.DiscoveryAddressChanged("127.0.0.1:8501"));
        assertEquals(-1L, agent.since.get(agent.since.size() - 1));
        assertTrue(untilTold() < GRACE / 4);
    }

    /** The drain comes while the connection is being made: the request must not go out over it. */
    @Test
    void aDrainStopsATryWhoseLineIsBeingMade() {
        start();
        happens(new Event.ClientConnected(1));
        List<Effect> effects = happens(new Event.RequestReceived(1,
                new ModelRequest("r1", 0, 0, false, 1, 1, 1, 0, 9, 900_000, 100)));
        long line = effects.stream().filter(Effect.OpenServerConnection.class::isInstance)
                .map(Effect.OpenServerConnection.class::cast).findFirst().orElseThrow().connection();
        drainBoxOne();
        untilTold();
        assertFalse(happens(new Event.ServerConnected(line)).stream()
                .anyMatch(Effect.SendAttempt.class::isInstance));
        assertEquals("NOT_SENT", told.get(told.size() - 1));
    }
}
