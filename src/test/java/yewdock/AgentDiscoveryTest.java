package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
import yewdock.core.GenerationState;
import yewdock.core.ModelRequest;
import yewdock.core.ModelServer;
import yewdock.core.Reducer;
import yewdock.core.ResourceLimits;

/** Discovery through a local agent: what the agent holds counts as known, whatever happens to the calls. */
class AgentDiscoveryTest {
    private static final long GRACE = 500_000;
    private static final CoreSettings SETTINGS = new CoreSettings(250_000, 30_000_000, true, GRACE,
            10_000_000, true, 4, List.of(true), List.of("chat"), 0);
    private final Counters counters = new Counters();
    private final Agent agent = new Agent();
    private final List<String> reports = new ArrayList<>();
    private final Reducer reducer = new Reducer(SETTINGS, new ResourceLimits(40, 20, 20, 1 << 20), counters,
            Module::new);
    private long now;
    private Routing.Actions module;

    /** Sends each request to server 1 and records what it is told of the list. */
    private final class Module extends NoOpModule {
        Module(Routing.Actions actions) {
            module = actions;
        }

        @Override
        public void listReceived(long time, ListKind kind, List<ServerState> entries) {
            reports.add(kind + " " + entries.stream().map(r -> r.id() + ":" + r.lifecycle()).toList());
        }

        @Override
        public void requestArrived(long time, Routing.Request request) {
            module.send(request.id(), 1, 0);
        }

        @Override
        public void attemptEnded(long time, long requestId, int attempt, Routing.Outcome outcome, long took,
                boolean over, long kept, Routing.LoadReport report) {
            reports.add(outcome.name());
        }
    }

    /** Answers calls on the reducer's clock, except while it is silent. */
    private final class Agent {
        private EndpointList list = new EndpointList(7, true, List.of(server(1, Lifecycle.READY)));
        private boolean silent;
        private boolean refusing;
        private boolean answersAtOnce;
        private Effect.CallDiscovery openCall;
        private long pollEndsAt;
        private final List<Long> callTimes = new ArrayList<>();
        private final List<Long> sinceVersions = new ArrayList<>();

        void call(Effect.CallDiscovery call) {
            callTimes.add(now);
            sinceVersions.add(call.sinceVersion());
            openCall = call;
            pollEndsAt = answersAtOnce ? now : now + call.maxWaitMicros();
        }

        void answerIfDue() {
            if (openCall == null || silent) {
                return;
            }
            if (refusing) {
                openCall = null;
                handle(new Event.DiscoveryCallFailed());
            } else if (openCall.sinceVersion() != list.version() || now >= pollEndsAt) {
                boolean changed = openCall.sinceVersion() != list.version();
                openCall = null;
                handle(new Event.EndpointListReceived(changed ? list : new EndpointList(list.version(), false,
                        List.of())));
            }
        }
    }

    private static ModelServer server(long id, Lifecycle state) {
        return new ModelServer("s-" + id, "127.0.0.1:9001", new ServerState(id, 0, 0, 1, 1, state, 0));
    }

    private List<Effect> handle(Event event) {
        List<Effect> effects = reducer.reduce(event, now);
        for (Effect effect : effects) {
            if (effect instanceof Effect.CallDiscovery call) {
                agent.call(call);
            } else if (effect instanceof Effect.CancelDiscoveryCall) {
                agent.openCall = null;
            } else if (effect instanceof Effect.CloseServerConnection e) {
                handle(new Event.ServerDisconnected(e.connection()));
            }
        }
        return effects;
    }

    private void start() {
        handle(new Event.Started(agent.list, "127.0.0.1:8500"));
    }

    private void pass(long micros) {
        for (long until = now + micros; now < until;) {
            now += 5_000;
            if (reducer.nextTimerDue() <= now) {
                handle(new Event.Tick());
            }
            agent.answerIfDue();
        }
    }

    private void drainFirstServer() {
        agent.list = new EndpointList(agent.list.version() + 1, true,
                List.of(server(1, Lifecycle.DRAINING), server(2, Lifecycle.READY)));
    }

    /** Returns how long after now the module is told of the drain. */
    private long microsUntilDrainReported() {
        long start = now;
        while (reports.stream().noneMatch(line -> line.contains("1:DRAINING"))) {
            pass(5_000);
            assertTrue(now - start < 60_000_000, "the drain was never reported");
        }
        return now - start;
    }

    /**
     * What the agent holds counts as known from the start of a process. The list that the process was started
     * with may be older and is used only if the agent stays silent.
     */
    @Test
    void newProcessWaitsForAgentBeforeUsingKnownList() {
        EndpointList known = agent.list;
        drainFirstServer();
        handle(new Event.Started(known, "127.0.0.1:8500"));
        assertFalse(reducer.notReadyReason().isEmpty());
        assertEquals(List.of(), reports, "the known list was used");
        pass(5_000);
        assertEquals("", reducer.notReadyReason());
        assertEquals("CACHED [1:DRAINING, 2:READY]", reports.get(0));
    }

    /**
     * Guards against a new process that sends by the list it was started with: the agent may hold a drain and
     * be silent. The process is ready after 8 s, and refuses requests until the agent answers.
     */
    @Test
    void newProcessSendsNothingBeforeAgentAnswers() {
        EndpointList known = agent.list;
        drainFirstServer();
        agent.silent = true;
        handle(new Event.Started(known, "127.0.0.1:8500"));
        pass(1_000_000);
        assertEquals(List.of(new Effect.Refuse(1, 0)), answersTo(1));
        pass(6_900_000);
        assertFalse(reducer.notReadyReason().isEmpty());
        pass(200_000);
        assertEquals("", reducer.notReadyReason());
        assertEquals(List.of(new Effect.Refuse(2, 0)), answersTo(2));
        assertEquals(2, counters.get("requests.closed.refused_list_unconfirmed"));
        pass(60_000_000);
        assertEquals(List.of(), reports, "the known list was used");
        agent.silent = false;
        pass(GRACE / 2);
        assertEquals("CACHED [1:DRAINING, 2:READY]", reports.get(0));
        assertEquals("", reducer.notReadyReason());
        assertEquals(List.of(), answersTo(3), "refused although the agent has answered");
    }

    /** Sends a request and returns the answers to it, of those without a server. */
    private List<Effect> answersTo(long client) {
        handle(new Event.ClientConnected(client));
        return handle(new Event.RequestReceived(client,
                new ModelRequest("r" + client, 0, 0, false, 1, 1, 1, 0, 9, 900_000, 100))).stream()
                .filter(effect -> effect instanceof Effect.Refuse || effect instanceof Effect.Fail).toList();
    }

    private static GenerationState stateOfOlderProcess(EndpointList list, boolean confirmed) {
        return new GenerationState(List.of(), List.of(), List.of(), list, "127.0.0.1:8500", confirmed,
                Map.of());
    }

    /** A process that replaces another while the agent is silent may use what the agent told that one. */
    @Test
    void newProcessUsesListThatAgentConfirmedToOlderProcess() {
        agent.silent = true;
        start();
        pass(500_000);
        drainFirstServer();
        handle(new Event.GenerationStateReceived(1, stateOfOlderProcess(agent.list, false)));
        assertEquals(List.of(), reports, "the older process has not heard the agent either");
        handle(new Event.GenerationStateReceived(1, stateOfOlderProcess(agent.list, true)));
        assertEquals(List.of("CACHED [1:DRAINING]"), reports);
        assertTrue(reducer.generationState().listConfirmed());
    }

    /** What an agent at a new address holds counts as known 4 s later, also if that agent is silent. */
    @Test
    void silentAgentAtNewAddressStopsSendingAfterFourSeconds() {
        start();
        pass(1_000_000);
        agent.silent = true;
        handle(new Event.DiscoveryAddressChanged("127.0.0.1:8501"));
        pass(3_900_000);
        assertEquals(List.of(), answersTo(1));
        pass(200_000);
        assertEquals(List.of(new Effect.Refuse(2, 0)), answersTo(2));
        agent.silent = false;
        pass(GRACE / 2);
        assertEquals(List.of(), answersTo(3), "refused although the agent has answered");
    }

    /** The agent may have learned of a drain during a pause of the process, and have fallen silent since. */
    @Test
    void nothingIsSentAfterPauseBeforeAgentAnswers() {
        start();
        pass(1_000_000);
        agent.silent = true;
        now += 2_000_000;
        handle(new Event.ProcessResumed(2_000_000));
        pass(1_000_000);
        assertFalse(reducer.isCatchingUp());
        assertEquals(List.of(new Effect.Refuse(1, 0)), answersTo(1));
        agent.silent = false;
        pass(GRACE / 2);
        assertEquals(List.of(), answersTo(2), "refused although the agent has answered");
    }

    /** One late answer before the pause does not make an agent silent, which could not learn of a drain. */
    @Test
    void nothingIsSentAfterPauseThatFollowsALateAnswer() {
        start();
        pass(1_000_000);
        agent.silent = true;
        pass(400_000);
        assertTrue(counters.get("list.failures") > 0);
        now += 2_000_000;
        handle(new Event.ProcessResumed(2_000_000));
        pass(1_000_000);
        assertEquals(List.of(new Effect.Refuse(1, 0)), answersTo(1));
    }

    /** While an agent that has answered is silent, it learns of no change: the router serves on. */
    @Test
    void requestsAreServedWhileAgentIsSilent() {
        start();
        pass(1_000_000);
        agent.silent = true;
        pass(60_000_000);
        assertEquals(List.of(), answersTo(1));
        now += 2_000_000;
        handle(new Event.ProcessResumed(2_000_000));
        pass(1_000_000);
        assertEquals(List.of(), answersTo(2), "refused after a pause, though the agent was silent before it");
    }

    /**
     * Guards against a watch that only starts with the module's call: with an agent the module has no reason
     * to call.
     */
    @Test
    void watchRunsFromStartWithoutModuleCall() {
        start();
        drainFirstServer();
        assertTrue(microsUntilDrainReported() < GRACE / 2);
        pass(10_000_000);
        assertEquals(List.of(), reports.stream().filter(line -> line.startsWith("FAILED")).toList());
        assertTrue(agent.callTimes.size() < 120, "calls: " + agent.callTimes.size());
    }

    /** The list in the configuration may be outdated: the first call asks for all changes since. */
    @Test
    void changeBeforeFirstWatchIsReported() {
        EndpointList known = agent.list;
        drainFirstServer();
        handle(new Event.Started(known, "127.0.0.1:8500"));
        assertEquals(List.of(7L), agent.sinceVersions);
        assertTrue(microsUntilDrainReported() < GRACE / 2);
    }

    /** The agent holds the drain, and only the connection of the current call is dead. */
    @Test
    void deadCallIsRepeatedWithinGrace() {
        start();
        pass(2_000_000);
        agent.openCall = null;
        drainFirstServer();
        assertTrue(microsUntilDrainReported() < GRACE, "the drain was reported too late");
    }

    @Test
    void resetIsFollowedByNextCallAtOnce() {
        start();
        pass(2_000_000);
        agent.openCall = null;
        drainFirstServer();
        handle(new Event.DiscoveryCallFailed());
        assertTrue(microsUntilDrainReported() < GRACE / 4);
        assertTrue(reports.stream().noneMatch(line -> line.startsWith("FAILED")), reports.toString());
    }

    /**
     * Three servers are replaced while the agent is silent: the list is right as soon as it answers again.
     */
    @Test
    void silentAgentIsCalledAtBoundedRateAndBelievedOnRecovery() {
        start();
        pass(1_000_000);
        agent.silent = true;
        int callsBefore = agent.callTimes.size();
        pass(10_000_000);
        int callsMade = agent.callTimes.size() - callsBefore;
        assertTrue(callsMade >= 10 && callsMade <= 60, "calls in ten seconds without answers: " + callsMade);
        agent.list = new EndpointList(20, true, List.of(server(11, Lifecycle.READY),
                server(12, Lifecycle.READY), server(13, Lifecycle.READY)));
        agent.silent = false;
        pass(GRACE);
        assertEquals("FULL [11:READY, 12:READY, 13:READY]", reports.get(reports.size() - 1));
    }

    /**
     * The agent holds the drain from the moment at which it can answer again, but the current call stays
     * dead. Fails if an agent's answers get the whole grace once calls have failed.
     */
    @Test
    void drainAtEndOfOutageIsReportedWithinGrace() {
        for (long outage = 1_000_000; outage < 3_000_000; outage += 25_000) {
            AgentDiscoveryTest test = new AgentDiscoveryTest();
            test.start();
            test.pass(1_000_000);
            test.agent.silent = true;
            test.pass(outage);
            test.agent.silent = false;
            test.agent.openCall = null;
            test.drainFirstServer();
            long elapsed = test.microsUntilDrainReported();
            assertTrue(elapsed < GRACE, "silent for " + outage + ": reported after " + elapsed);
        }
    }

    @Test
    void refusingAgentIsCalledAtBoundedRate() {
        start();
        agent.refusing = true;
        pass(10_000_000);
        assertTrue(agent.callTimes.size() >= 40 && agent.callTimes.size() <= 120,
                "calls: " + agent.callTimes.size());
        agent.refusing = false;
        drainFirstServer();
        assertTrue(microsUntilDrainReported() < GRACE / 2);
    }

    /** An agent that never waits must not be called as fast as it answers, but still within 200 ms. */
    @Test
    void agentThatNeverWaitsIsNotCalledInALoop() {
        start();
        agent.answersAtOnce = true;
        pass(5_000_000);
        assertTrue(agent.callTimes.size() <= 110, "calls: " + agent.callTimes.size());
        for (int i = 1; i < agent.callTimes.size(); i++) {
            assertTrue(agent.callTimes.get(i) - agent.callTimes.get(i - 1) < 200_000);
        }
    }

    /** After a change of the address the whole list is asked for, whatever call was in flight. */
    @Test
    void movedAgentIsAskedForWholeList() {
        start();
        pass(1_000_000);
        agent.silent = true;
        pass(3_000_000);
        agent.silent = false;
        drainFirstServer();
        handle(new Event.DiscoveryAddressChanged("127.0.0.1:8501"));
        assertEquals(-1L, agent.sinceVersions.get(agent.sinceVersions.size() - 1));
        assertTrue(microsUntilDrainReported() < GRACE / 4);
    }

    /** The drain comes while the connection is being opened: the request must not be sent over it. */
    @Test
    void drainStopsAttemptWhoseConnectionIsBeingOpened() {
        start();
        handle(new Event.ClientConnected(1));
        List<Effect> effects = handle(new Event.RequestReceived(1,
                new ModelRequest("r1", 0, 0, false, 1, 1, 1, 0, 9, 900_000, 100)));
        long connection = effects.stream().filter(Effect.OpenServerConnection.class::isInstance)
                .map(Effect.OpenServerConnection.class::cast).findFirst().orElseThrow().connection();
        drainFirstServer();
        microsUntilDrainReported();
        assertFalse(handle(new Event.ServerConnected(connection)).stream()
                .anyMatch(Effect.SendAttempt.class::isInstance));
        assertEquals("NOT_SENT", reports.get(reports.size() - 1));
    }
}
