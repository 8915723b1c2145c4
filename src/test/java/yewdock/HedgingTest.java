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

/** Several tries of one request: who wins, what becomes of the others, and when none may go out. */
class HedgingTest {
    private static final int MOST = 4;
    private final Counters counters = new Counters();
    private final List<String> told = new ArrayList<>();
    private final List<String> done = new ArrayList<>();
    private Routing.Actions module;
    private Reducer desk;
    private long now;

    /** Does nothing of itself: the test asks in its place. */
    private final class Module extends QuietModule {
        Module(Routing.Actions actions) {
            module = actions;
        }

        @Override
        public void requestArrived(long time, Routing.Request request) {
            module.send(request.id(), 1, 0);
        }

        @Override
        public void firstToken(long time, long requestId, int attempt) {
            told.add("first " + attempt);
        }

        @Override
        public void attemptEnded(long time, long requestId, int attempt, Outcome outcome, long took,
                boolean over, long kept, Routing.LoadReport report) {
            told.add(attempt + " " + outcome + (over ? " over" : ""));
        }

        @Override
        public void requestAbandoned(long time, long requestId) {
            told.add("gone");
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

    private static ModelServer box(long id, Lifecycle state) {
        return new ModelServer("s-" + id, "127.0.0.1:900" + id, new ServerState(id, 0, 0, 1, 1, state, 0));
    }

    private void start(boolean copies, boolean repeatable) {
        desk = new Reducer(new CoreSettings(250_000, 30_000_000, false, 500_000, 10_000_000, copies, MOST,
                List.of(repeatable), List.of("chat"), 0),
                new ResourceLimits(40, 20, 20, 1 << 20), counters, Module::new);
        happens(new Event.Started(new EndpointList(1, true, List.of(box(1, Lifecycle.READY),
                box(2, Lifecycle.READY), box(3, Lifecycle.READY))), "127.0.0.1:8500"));
        happens(new Event.ClientConnected(1));
        happens(new Event.RequestReceived(1, new ModelRequest("r1", 0, 0, false, 1, 1, 1, 0, 9, 6_000_000,
                100)));
    }

    private void happens(Event event) {
        for (Effect effect : desk.reduce(event, now)) {
            if (effect instanceof Effect.SendAttempt e) {
                done.add("send " + e.connection());
                happens(new Event.AttemptWritten(e.connection()));
            } else if (effect instanceof Effect.OpenServerConnection e) {
                done.add("open " + e.connection());
            } else if (effect instanceof Effect.CloseServerConnection e) {
                done.add("close " + e.connection());
            } else if (effect instanceof Effect.ForwardChunk || effect instanceof Effect.EndResponse
                    || effect instanceof Effect.AbortResponse || effect instanceof Effect.Fail
                    || effect instanceof Effect.Refuse) {
                done.add(effect.getClass().getSimpleName());
            }
        }
    }

    private void up(long line) {
        happens(new Event.ServerConnected(line));
    }

    private void piece(long line) {
        happens(new Event.ResponseChunk(line, ByteBuffer.wrap(new byte[] {1})));
    }

    /** The module asks for something on its own account: a try at box 1 to 3, or as its woken tells. */
    private void asks(int what) {
        module.wakeAt(now, what);
        happens(new Event.Tick());
    }

    private void twoOut() {
        start(true, true);
        up(1);
        asks(2);
        up(2);
        assertEquals(List.of("open 1", "send 1", "open 2", "send 2"), done);
        done.clear();
    }

    /** In this order: the answer, the other's close, its end once it is closed. */
    @Test
    void theFirstEventWinsAndTheOtherIsClosed() {
        twoOut();
        piece(2);
        assertEquals(List.of("ForwardChunk", "close 1"), done);
        assertEquals(List.of("first 1"), told);
        happens(new Event.ServerDisconnected(1));
        happens(new Event.ResponseCompleted(2, Outcome.OK, true, 0, null));
        assertEquals(List.of("first 1", "0 CANCELLED", "1 OK over"), told);
        assertEquals(List.of("ForwardChunk", "close 1", "EndResponse"), done);
        assertEquals(1, counters.get("answers.served"));
    }

    /** Both answer before either is closed: the client has one stream, and nothing of the other. */
    @Test
    void whatTheLoserStillSendsGoesToNobody() {
        twoOut();
        piece(1);
        piece(2);
        happens(new Event.ResponseCompleted(2, Outcome.OK, true, 0, null));
        piece(1);
        happens(new Event.ResponseCompleted(1, Outcome.OK, true, 0, null));
        assertEquals(List.of("ForwardChunk", "close 2", "ForwardChunk", "EndResponse"), done);
        happens(new Event.ServerDisconnected(2));
        assertEquals(List.of("first 0", "0 OK over", "1 CANCELLED over"), told);
    }

    @Test
    void oneFailureLeavesTheOtherOutAndTwoAreTheModules() {
        twoOut();
        happens(new Event.ResponseCompleted(1, Outcome.ERROR, true, 0, null));
        assertEquals(List.of("0 ERROR"), told);
        happens(new Event.ServerDisconnected(2));
        assertEquals(List.of("0 ERROR", "1 RESET"), told);
        assertEquals(List.of(), done);
        asks(8);
        assertEquals(List.of("Refuse"), done);
    }

    @Test
    void aSpoiltLoserDoesNotTouchTheWinner() {
        twoOut();
        piece(1);
        happens(new Event.ResponseMalformed(2));
        happens(new Event.ServerDisconnected(2));
        piece(1);
        assertEquals(List.of("ForwardChunk", "close 2", "ForwardChunk"), done);
        assertEquals(List.of("first 0", "1 CANCELLED"), told);
    }

    @Test
    void aSpoiltTryBeforeAnyEventLeavesTheOther() {
        twoOut();
        happens(new Event.ResponseMalformed(1));
        happens(new Event.ServerDisconnected(1));
        piece(2);
        assertEquals(List.of("close 1", "ForwardChunk"), done);
        assertEquals(List.of("0 ERROR", "first 1"), told);
    }

    @Test
    void aClientThatLeavesEndsBoth() {
        twoOut();
        happens(new Event.ClientDisconnected(1));
        happens(new Event.ServerDisconnected(2));
        happens(new Event.ServerDisconnected(1));
        assertEquals(List.of("close 1", "close 2"), done);
        assertEquals(List.of("gone", "1 CANCELLED over", "0 CANCELLED over"), told);
        assertEquals(0, counters.get("faults"));
    }

    /** What was sent before a drain may end; a copy that has not gone out yet must not. */
    @Test
    void aDrainStopsACopyThatIsStillBeingConnected() {
        start(true, true);
        up(1);
        asks(2);
        happens(new Event.EndpointListReceived(new EndpointList(2, false,
                List.of(box(2, Lifecycle.DRAINING)))));
        up(2);
        happens(new Event.ServerDisconnected(2));
        asks(2);
        assertEquals(List.of("open 1", "send 1", "open 2", "close 2"), done);
        assertEquals(List.of("1 NOT_SENT", "2 NOT_SENT"), told);
    }

    @Test
    void theWinnersBoxMayDrainAndItsStreamGoesOn() {
        twoOut();
        piece(1);
        happens(new Event.EndpointListReceived(new EndpointList(2, false,
                List.of(box(1, Lifecycle.DRAINING)))));
        piece(1);
        happens(new Event.ResponseCompleted(1, Outcome.OK, true, 0, null));
        assertEquals(List.of("ForwardChunk", "close 2", "ForwardChunk", "close 1", "EndResponse"), done);
    }

    /** The second waits for the line of the first to be closed, or does not go out at all. */
    @Test
    void noCopyWhereTheSettingsOrTheClassForbidIt() {
        for (boolean[] allowed : new boolean[][] {{false, true}, {true, false}}) {
            done.clear();
            told.clear();
            start(allowed[0], allowed[1]);
            up(1);
            asks(2);
            assertEquals(List.of("1 NOT_SENT"), told);
            asks(9);
            asks(3);
            assertEquals(List.of("open 1", "send 1", "close 1"), done);
            happens(new Event.ServerDisconnected(1));
            assertEquals(List.of("open 1", "send 1", "close 1", "open 2"), done);
            assertEquals(List.of("1 NOT_SENT", "0 CANCELLED"), told);
        }
    }

    @Test
    void noMoreTriesThanAllowed() {
        twoOut();
        asks(3);
        asks(2);
        asks(3);
        assertEquals(List.of("4 NOT_SENT"), told);
    }

    @Test
    void bothOutAreToldToTheNextProcess() {
        twoOut();
        assertEquals(List.of(1L, 2L), desk.generationState().attemptsInFlight().stream().map(s ->
                s.server()).toList());
        assertEquals(2, desk.generationState().attemptsInFlight().stream().map(s ->
                s.token()).distinct().count());
        assertEquals(List.of("r1"), desk.generationState().requestIds());
        piece(1);
        happens(new Event.ServerDisconnected(2));
        assertEquals(List.of(1L), desk.generationState().attemptsInFlight().stream().map(s ->
                s.server()).toList());
    }

    @Test
    void nothingIsKeptOnceBothAreClosed() {
        start(true, true);
        up(1);
        asks(2);
        int before = desk.retainedEntries();
        happens(new Event.ClientDisconnected(1));
        happens(new Event.ServerDisconnected(1));
        happens(new Event.ServerDisconnected(2));
        now += 60_000_000;
        happens(new Event.Tick());
        assertTrue(desk.retainedEntries() < before, "kept " + desk.retainedEntries());
        assertEquals(List.of(), desk.generationState().requestIds());
    }
}
