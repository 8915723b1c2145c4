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
import yewdock.core.ModelServer;
import yewdock.core.Reducer;
import yewdock.core.ResourceLimits;

/** Answers with lower versions than the list that is held: a replica that lags, or a service begun anew. */
class OutdatedEndpointListTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 10_000;
    private static final ModelServer FIRST = server(1, Lifecycle.READY);
    private static final ModelServer SECOND_SERVER = server(2, Lifecycle.READY);

    private final List<String> states = new ArrayList<>(List.of("", "", ""));
    private Reducer desk;
    private Effect.CallDiscovery open;
    private long now = 1000 * SECOND;
    private int calls;

    /** Asks for the list from the first moment on and notes each server's state. */
    private final class Module extends QuietModule {
        private final Routing.Actions actions;

        Module(Routing.Actions actions) {
            this.actions = actions;
        }

        @Override
        public void started(long time) {
            actions.watchEndpointList();
        }

        @Override
        public void listReceived(long time, ListKind kind, List<ServerState> entries) {
            if (kind == ListKind.FULL || kind == ListKind.CACHED) {
                states.replaceAll(state -> "GONE");
            }
            entries.forEach(r -> states.set((int) r.id(), r.lifecycle().name()));
        }
    }

    private static ModelServer server(long id, Lifecycle state) {
        return new ModelServer("s-" + id, "127.0.0.1:900" + id, new ServerState(id, 0, 0, 1, 1, state, 0));
    }

    private void start(boolean pushed, long version, ModelServer... known) {
        start(pushed, 10 * SECOND, version, known);
    }

    private void start(boolean pushed, long askWithin, long version, ModelServer... known) {
        desk = new Reducer(new CoreSettings(250_000, 30 * SECOND, pushed, SECOND / 2, askWithin, true, 4,
                List.of(true), List.of("chat"), 0), new ResourceLimits(40, 20, 20, 1 << 20), new Counters(),
                Module::new);
        happens(new Event.Started(new EndpointList(version, true, List.of(known)), "127.0.0.1:8500"));
        answer(new EndpointList(version, false, List.of()));
    }

    private void happens(Event event) {
        for (Effect effect : desk.reduce(event, now)) {
            if (effect instanceof Effect.CallDiscovery call) {
                open = call;
                calls++;
            } else if (effect instanceof Effect.CancelDiscoveryCall) {
                open = null;
            }
        }
    }

    private void answer(EndpointList list) {
        open = null;
        happens(new Event.EndpointListReceived(list));
    }

    /** Lets time pass; each call made meanwhile gets this answer at once. */
    private void pass(long micros, EndpointList each) {
        for (long until = now + micros; now < until;) {
            now += STEP;
            if (desk.nextTimerDue() <= now) {
                happens(new Event.Tick());
            }
            if (open != null && open.sinceVersion() < 0) {
                answer(each);
            }
        }
    }

    /** The service has none of the versions up to 40 any more: a change since 40 would never come. */
    @Test
    void afterALowerVersionTheWholeListIsAskedForAtOnceAndADrainInItKept() {
        for (boolean pushed : new boolean[] {false, true}) {
            start(pushed, 40, FIRST, SECOND_SERVER);
            answer(new EndpointList(3, false, List.of()));
            assertEquals(-1, open.sinceVersion());
            answer(new EndpointList(3, true, List.of(server(1, Lifecycle.DRAINING), SECOND_SERVER)));
            assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
        }
    }

    @Test
    void aServerThatAnOlderWholeListDoesNotNameGetsNothingNew() {
        start(false, 40, FIRST, SECOND_SERVER);
        answer(new EndpointList(3, true, List.of(SECOND_SERVER)));
        assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
    }

    @Test
    void aReplicaThatLagsPutsNothingBack() {
        for (boolean full : new boolean[] {false, true}) {
            start(false, 40, FIRST, SECOND_SERVER);
            answer(new EndpointList(41, false, List.of(server(1, Lifecycle.DRAINING))));
            happens(new Event.DiscoveryCallFailed());
            answer(new EndpointList(39, full, List.of(FIRST, SECOND_SERVER)));
            assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
            pass(SECOND / 2, new EndpointList(39, true, List.of(FIRST, SECOND_SERVER)));
            assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
            pass(3 * SECOND, new EndpointList(41, true, List.of(server(1, Lifecycle.DRAINING),
                    SECOND_SERVER)));
            assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
            assertTrue(open.sinceVersion() == 41, "the watch goes on from " + open.sinceVersion());
        }
    }

    @Test
    void aServiceThatCountsAnewIsBelievedSoonAndFollowed() {
        for (boolean pushed : new boolean[] {false, true}) {
            start(pushed, 40, FIRST);
            int before = calls;
            answer(new EndpointList(3, false, List.of()));
            pass(3 * SECOND / 2, new EndpointList(4, true, List.of(FIRST, SECOND_SERVER)));
            assertEquals(List.of("READY", "READY"), states.subList(1, 3));
            assertEquals(4, open.sinceVersion());
            assertTrue(calls - before < 15, "calls: " + (calls - before));
            answer(new EndpointList(5, false, List.of(server(2, Lifecycle.DRAINING))));
            assertEquals(List.of("READY", "DRAINING"), states.subList(1, 3));
        }
    }

    /** Without a watch, what changes counts as told after the settings' time: the rest must be shorter. */
    @Test
    void theRestAfterChangesInARowLeavesTimeToAsk() {
        start(false, SECOND / 2, 40, FIRST);
        answer(new EndpointList(41, false, List.of(SECOND_SERVER)));
        answer(new EndpointList(42, false, List.of(SECOND_SERVER)));
        long rested = now;
        while (open == null) {
            pass(STEP, null);
        }
        assertTrue(now - rested <= SECOND / 4 + STEP, "rested for " + (now - rested));
    }

    /** Versions of one address mean nothing at another. */
    @Test
    void aLowerVersionAtAnotherAddressIsBelievedAtOnce() {
        start(false, 40, FIRST);
        happens(new Event.DiscoveryAddressChanged("127.0.0.1:8501"));
        answer(new EndpointList(2, true, List.of(SECOND_SERVER)));
        assertEquals(List.of("GONE", "READY"), states.subList(1, 3));
        assertFalse(open.sinceVersion() < 0);
    }
}
