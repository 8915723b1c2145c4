package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import umberspread.Routing;
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

/**
 * Several attempts of one request: which one wins, what happens to the others, and when none may be sent.
 */
class HedgingTest {
    private static final int MAX_ATTEMPTS = 4;
    private final Counters counters = new Counters();
    private final List<String> moduleEvents = new ArrayList<>();
    private final List<String> effects = new ArrayList<>();
    private Routing.Actions module;
    private Reducer reducer;
    private long now;

    /** Takes no decisions of its own: the test requests the actions. */
    private final class Module extends NoOpModule {
        Module(Routing.Actions actions) {
            module = actions;
        }

        @Override
        public void requestArrived(long time, Routing.Request request) {
            module.send(request.id(), 1, 0);
        }

        @Override
        public void firstToken(long time, long requestId, int attempt) {
            moduleEvents.add("first " + attempt);
        }

        @Override
        public void attemptEnded(long time, long requestId, int attempt, Outcome outcome, long took,
                boolean over, long kept, Routing.LoadReport report) {
            moduleEvents.add(attempt + " " + outcome + (over ? " over" : ""));
        }

        @Override
        public void requestAbandoned(long time, long requestId) {
            moduleEvents.add("gone");
        }

        @Override
        public void woken(long time, int token) {
            switch (token) {
                case 9 -> module.cancel(1, 0);
                case 8 -> module.refuse(1, 0);
                default -> module.send(1, token, 0);
            }
        }
    }

    private static ModelServer server(long id, Lifecycle state) {
        return new ModelServer("s-" + id, "127.0.0.1:900" + id, new ServerState(id, 0, 0, 1, 1, state, 0));
    }

    private void start(boolean hedging, boolean idempotent) {
        reducer = new Reducer(new CoreSettings(250_000, 30_000_000, false, 500_000, 10_000_000, hedging,
                MAX_ATTEMPTS, List.of(idempotent), List.of("chat"), 0),
                new ResourceLimits(40, 20, 20, 1 << 20), counters, Module::new);
        handle(new Event.Started(new EndpointList(1, true, List.of(server(1, Lifecycle.READY),
                server(2, Lifecycle.READY), server(3, Lifecycle.READY))), "127.0.0.1:8500"));
        handle(new Event.ClientConnected(1));
        handle(new Event.RequestReceived(1, new ModelRequest("r1", 0, 0, false, 1, 1, 1, 0, 9,
                6_000_000, 100)));
    }

    private void handle(Event event) {
        for (Effect effect : reducer.reduce(event, now)) {
            if (effect instanceof Effect.SendAttempt e) {
                effects.add("send " + e.connection());
                handle(new Event.AttemptWritten(e.connection()));
            } else if (effect instanceof Effect.OpenServerConnection e) {
                effects.add("open " + e.connection());
            } else if (effect instanceof Effect.CloseServerConnection e) {
                effects.add("close " + e.connection());
            } else if (effect instanceof Effect.ForwardChunk || effect instanceof Effect.EndResponse
                    || effect instanceof Effect.AbortResponse || effect instanceof Effect.Fail
                    || effect instanceof Effect.Refuse) {
                effects.add(effect.getClass().getSimpleName());
            }
        }
    }

    private void connect(long connection) {
        handle(new Event.ServerConnected(connection));
    }

    private void receiveChunk(long connection) {
        handle(new Event.ResponseChunk(connection, ByteBuffer.wrap(new byte[] {1})));
    }

    /** Makes the module act: 1 to 3 sends an attempt to that server, other values as in woken. */
    private void requestAction(int token) {
        module.wakeAt(now, token);
        handle(new Event.Tick());
    }

    private void startTwoAttempts() {
        start(true, true);
        connect(1);
        requestAction(2);
        connect(2);
        assertEquals(List.of("open 1", "send 1", "open 2", "send 2"), effects);
        effects.clear();
    }

    /** The order is: start of the response, close of the other attempt, its end once it is closed. */
    @Test
    void firstEventWinsAndOtherAttemptIsClosed() {
        startTwoAttempts();
        receiveChunk(2);
        assertEquals(List.of("ForwardChunk", "close 1"), effects);
        assertEquals(List.of("first 1"), moduleEvents);
        handle(new Event.ServerDisconnected(1));
        handle(new Event.ResponseCompleted(2, Outcome.OK, true, 0, null));
        assertEquals(List.of("first 1", "0 CANCELLED", "1 OK over"), moduleEvents);
        assertEquals(List.of("ForwardChunk", "close 1", "EndResponse"), effects);
        assertEquals(1, counters.get("answers.served"));
    }

    /** Both servers respond before either connection is closed: the client gets only the winner's stream. */
    @Test
    void dataOfLosingAttemptIsDropped() {
        startTwoAttempts();
        receiveChunk(1);
        receiveChunk(2);
        handle(new Event.ResponseCompleted(2, Outcome.OK, true, 0, null));
        receiveChunk(1);
        handle(new Event.ResponseCompleted(1, Outcome.OK, true, 0, null));
        assertEquals(List.of("ForwardChunk", "close 2", "ForwardChunk", "EndResponse"), effects);
        handle(new Event.ServerDisconnected(2));
        assertEquals(List.of("first 0", "0 OK over", "1 CANCELLED over"), moduleEvents);
    }

    @Test
    void otherAttemptSurvivesOneFailureAndModuleHandlesTwo() {
        startTwoAttempts();
        handle(new Event.ResponseCompleted(1, Outcome.ERROR, true, 0, null));
        assertEquals(List.of("0 ERROR"), moduleEvents);
        handle(new Event.ServerDisconnected(2));
        assertEquals(List.of("0 ERROR", "1 RESET"), moduleEvents);
        assertEquals(List.of(), effects);
        requestAction(8);
        assertEquals(List.of("Refuse"), effects);
    }

    @Test
    void malformedResponseOfLoserDoesNotAffectWinner() {
        startTwoAttempts();
        receiveChunk(1);
        handle(new Event.ResponseMalformed(2));
        handle(new Event.ServerDisconnected(2));
        receiveChunk(1);
        assertEquals(List.of("ForwardChunk", "close 2", "ForwardChunk"), effects);
        assertEquals(List.of("first 0", "1 CANCELLED"), moduleEvents);
    }

    @Test
    void malformedResponseBeforeFirstEventLeavesOtherAttempt() {
        startTwoAttempts();
        handle(new Event.ResponseMalformed(1));
        handle(new Event.ServerDisconnected(1));
        receiveChunk(2);
        assertEquals(List.of("close 1", "ForwardChunk"), effects);
        assertEquals(List.of("0 ERROR", "first 1"), moduleEvents);
    }

    @Test
    void clientDisconnectEndsBothAttempts() {
        startTwoAttempts();
        handle(new Event.ClientDisconnected(1));
        handle(new Event.ServerDisconnected(2));
        handle(new Event.ServerDisconnected(1));
        assertEquals(List.of("close 1", "close 2"), effects);
        assertEquals(List.of("gone", "1 CANCELLED over", "0 CANCELLED over"), moduleEvents);
        assertEquals(0, counters.get("faults"));
    }

    /** An attempt sent before a drain may finish; a hedge that has not been sent yet must not go out. */
    @Test
    void drainStopsHedgeWhoseConnectionIsBeingOpened() {
        start(true, true);
        connect(1);
        requestAction(2);
        handle(new Event.EndpointListReceived(new EndpointList(2, false,
                List.of(server(2, Lifecycle.DRAINING)))));
        connect(2);
        handle(new Event.ServerDisconnected(2));
        requestAction(2);
        assertEquals(List.of("open 1", "send 1", "open 2", "close 2"), effects);
        assertEquals(List.of("1 NOT_SENT", "2 NOT_SENT"), moduleEvents);
    }

    @Test
    void winnersStreamContinuesWhileItsServerDrains() {
        startTwoAttempts();
        receiveChunk(1);
        handle(new Event.EndpointListReceived(new EndpointList(2, false,
                List.of(server(1, Lifecycle.DRAINING)))));
        receiveChunk(1);
        handle(new Event.ResponseCompleted(1, Outcome.OK, true, 0, null));
        assertEquals(List.of("ForwardChunk", "close 2", "ForwardChunk", "close 1", "EndResponse"), effects);
    }

    /** A second attempt waits until the first one's connection is closed, or is not sent at all. */
    @Test
    void noHedgingWhereSettingsOrClassForbidIt() {
        for (boolean[] allowed : new boolean[][] {{false, true}, {true, false}}) {
            effects.clear();
            moduleEvents.clear();
            start(allowed[0], allowed[1]);
            connect(1);
            requestAction(2);
            assertEquals(List.of("1 NOT_SENT"), moduleEvents);
            requestAction(9);
            requestAction(3);
            assertEquals(List.of("open 1", "send 1", "close 1"), effects);
            handle(new Event.ServerDisconnected(1));
            assertEquals(List.of("open 1", "send 1", "close 1", "open 2"), effects);
            assertEquals(List.of("1 NOT_SENT", "0 CANCELLED"), moduleEvents);
        }
    }

    @Test
    void attemptLimitIsKept() {
        startTwoAttempts();
        requestAction(3);
        requestAction(2);
        requestAction(3);
        assertEquals(List.of("4 NOT_SENT"), moduleEvents);
    }

    @Test
    void bothAttemptsAreReportedToNextProcess() {
        startTwoAttempts();
        assertEquals(List.of(1L, 2L), reducer.generationState().attemptsInFlight().stream().map(s ->
                s.server()).toList());
        assertEquals(2, reducer.generationState().attemptsInFlight().stream().map(s ->
                s.token()).distinct().count());
        assertEquals(List.of("r1"), reducer.generationState().requestIds());
        receiveChunk(1);
        handle(new Event.ServerDisconnected(2));
        assertEquals(List.of(1L), reducer.generationState().attemptsInFlight().stream().map(s ->
                s.server()).toList());
    }

    @Test
    void noStateIsRetainedOnceBothAreClosed() {
        start(true, true);
        connect(1);
        requestAction(2);
        int before = reducer.retainedEntries();
        handle(new Event.ClientDisconnected(1));
        handle(new Event.ServerDisconnected(1));
        handle(new Event.ServerDisconnected(2));
        now += 60_000_000;
        handle(new Event.Tick());
        assertTrue(reducer.retainedEntries() < before, "retained " + reducer.retainedEntries());
        assertEquals(List.of(), reducer.generationState().requestIds());
    }
}
