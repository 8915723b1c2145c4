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

/**
 * Answers with lower versions than the held list, from a discovery replica that lags behind or a service that
 * was restarted.
 */
class OutdatedEndpointListTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 10_000;
    private static final ModelServer FIRST = server(1, Lifecycle.READY);
    private static final ModelServer SECOND_SERVER = server(2, Lifecycle.READY);

    private final List<String> states = new ArrayList<>(List.of("", "", ""));
    private Reducer reducer;
    private Effect.CallDiscovery openCall;
    private long now = 1000 * SECOND;
    private int calls;

    /** Follows the list from the start and records each server's state. */
    private final class Module extends NoOpModule {
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

    private void start(boolean byAgent, long version, ModelServer... servers) {
        start(byAgent, 10 * SECOND, version, servers);
    }

    private void start(boolean byAgent, long maxPollInterval, long version, ModelServer... servers) {
        reducer = new Reducer(new CoreSettings(250_000, 30 * SECOND, byAgent, SECOND / 2, maxPollInterval,
                true, 4, List.of(true), List.of("chat"), 0), new ResourceLimits(40, 20, 20, 1 << 20),
                new Counters(), Module::new);
        handle(new Event.Started(new EndpointList(version, true, List.of(servers)), "127.0.0.1:8500"));
        answer(new EndpointList(version, false, List.of()));
    }

    private void handle(Event event) {
        for (Effect effect : reducer.reduce(event, now)) {
            if (effect instanceof Effect.CallDiscovery call) {
                openCall = call;
                calls++;
            } else if (effect instanceof Effect.CancelDiscoveryCall) {
                openCall = null;
            }
        }
    }

    private void answer(EndpointList list) {
        openCall = null;
        handle(new Event.EndpointListReceived(list));
    }

    /** Lets time pass; each call for the whole list in that time is answered with the given list at once. */
    private void pass(long micros, EndpointList answer) {
        for (long until = now + micros; now < until;) {
            now += STEP;
            if (reducer.nextTimerDue() <= now) {
                handle(new Event.Tick());
            }
            if (openCall != null && openCall.sinceVersion() < 0) {
                answer(answer);
            }
        }
    }

    /** The service has none of the versions up to 40 any more, so changes since 40 would never come. */
    @Test
    void lowerVersionMakesRouterAskForWholeListAndKeepItsDrains() {
        for (boolean byAgent : new boolean[] {false, true}) {
            start(byAgent, 40, FIRST, SECOND_SERVER);
            answer(new EndpointList(3, false, List.of()));
            assertEquals(-1, openCall.sinceVersion());
            answer(new EndpointList(3, true, List.of(server(1, Lifecycle.DRAINING), SECOND_SERVER)));
            assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
        }
    }

    @Test
    void serverMissingFromOlderWholeListGetsNoNewRequests() {
        start(false, 40, FIRST, SECOND_SERVER);
        answer(new EndpointList(3, true, List.of(SECOND_SERVER)));
        assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
    }

    @Test
    void laggingReplicaRestoresNothing() {
        for (boolean full : new boolean[] {false, true}) {
            start(false, 40, FIRST, SECOND_SERVER);
            answer(new EndpointList(41, false, List.of(server(1, Lifecycle.DRAINING))));
            handle(new Event.DiscoveryCallFailed());
            answer(new EndpointList(39, full, List.of(FIRST, SECOND_SERVER)));
            assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
            pass(SECOND / 2, new EndpointList(39, true, List.of(FIRST, SECOND_SERVER)));
            assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
            pass(3 * SECOND, new EndpointList(41, true,
                    List.of(server(1, Lifecycle.DRAINING), SECOND_SERVER)));
            assertEquals(List.of("DRAINING", "READY"), states.subList(1, 3));
            assertTrue(openCall.sinceVersion() == 41, "the watch goes on from " + openCall.sinceVersion());
        }
    }

    @Test
    void restartedServiceIsBelievedSoonAndFollowed() {
        for (boolean byAgent : new boolean[] {false, true}) {
            start(byAgent, 40, FIRST);
            int callsBefore = calls;
            answer(new EndpointList(3, false, List.of()));
            pass(3 * SECOND / 2, new EndpointList(4, true, List.of(FIRST, SECOND_SERVER)));
            assertEquals(List.of("READY", "READY"), states.subList(1, 3));
            assertEquals(4, openCall.sinceVersion());
            assertTrue(calls - callsBefore < 15, "calls: " + (calls - callsBefore));
            answer(new EndpointList(5, false, List.of(server(2, Lifecycle.DRAINING))));
            assertEquals(List.of("READY", "DRAINING"), states.subList(1, 3));
        }
    }

    /** Without a watch, changes count as known after the time in the settings: the delay must be shorter. */
    @Test
    void delayAfterSeriesOfChangesLeavesTimeToCall() {
        start(false, SECOND / 2, 40, FIRST);
        answer(new EndpointList(41, false, List.of(SECOND_SERVER)));
        answer(new EndpointList(42, false, List.of(SECOND_SERVER)));
        long delayedFrom = now;
        while (openCall == null) {
            pass(STEP, null);
        }
        assertTrue(now - delayedFrom <= SECOND / 4 + STEP, "delayed for " + (now - delayedFrom));
    }

    /** Versions from one address mean nothing at another. */
    @Test
    void lowerVersionAtAnotherAddressIsBelievedAtOnce() {
        start(false, 40, FIRST);
        handle(new Event.DiscoveryAddressChanged("127.0.0.1:8501"));
        answer(new EndpointList(2, true, List.of(SECOND_SERVER)));
        assertEquals(List.of("GONE", "READY"), states.subList(1, 3));
        assertFalse(openCall.sinceVersion() < 0);
    }
}
