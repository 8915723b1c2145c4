package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
 * A list that is asked, calls that fail and watches that fall silent: whatever happens to a call, a change
 * counts as told 6 s after the service had it and could be reached, a second later a drain has to be kept.
 */
class PolledDiscoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long GRACE = SECOND;
    private static final long STEP = 50_000;
    private static final EndpointList KNOWN = new EndpointList(7, true, List.of(box(Lifecycle.READY)));
    private static final EndpointList DRAINED = new EndpointList(8, false, List.of(box(Lifecycle.DRAINING)));
    private final Counters counters = new Counters();
    private final Reducer desk = new Reducer(new CoreSettings(250_000, 30 * SECOND, false, GRACE, 10 * SECOND,
            true, 4,
            List.of(true), List.of("chat"), 0), new ResourceLimits(40, 20, 20, 1 << 20), counters,
                    Module::new);
    private final List<Long> calls = new ArrayList<>();
    private Routing.Actions module;
    private Effect.CallDiscovery open;
    private long openedAt;
    private boolean drained;
    private long silentUntil = Long.MIN_VALUE;
    private long toldAt = Long.MAX_VALUE;
    private int failuresTold;
    private long now;

    /** Calls once, and again a second after it hears of a failure. */
    private final class Module extends QuietModule {
        Module(Routing.Actions actions) {
            module = actions;
        }

        @Override
        public void started(long time) {
            module.watchEndpointList();
        }

        @Override
        public void listReceived(long time, ListKind kind, List<ServerState> entries) {
            if (kind == ListKind.FAILED) {
                failuresTold++;
                module.wakeAt(time + SECOND, 1);
            } else if (entries.stream().anyMatch(r -> r.lifecycle() == Lifecycle.DRAINING)) {
                toldAt = Math.min(toldAt, time);
            }
        }

        @Override
        public void woken(long time, int token) {
            module.watchEndpointList();
        }
    }

    private static ModelServer box(Lifecycle state) {
        return new ModelServer("s-1", "127.0.0.1:9001", new ServerState(1, 0, 0, 1, 1, state, 0));
    }

    private void happens(Event event) {
        for (Effect effect : desk.reduce(event, now)) {
            if (effect instanceof Effect.CallDiscovery call) {
                calls.add(now);
                open = call;
                openedAt = now;
            } else if (effect instanceof Effect.CancelDiscoveryCall) {
                open = null;
            }
        }
    }

    /** The service answers with news, or once a call's wait is over; not at all while it is silent. */
    private void pass(long micros) {
        for (long until = now + micros; now < until;) {
            now += STEP;
            if (desk.nextTimerDue() <= now) {
                happens(new Event.Tick());
            }
            if (open == null || now < silentUntil) {
                continue;
            }
            boolean news = drained && open.sinceVersion() < DRAINED.version();
            if (news || now >= openedAt + open.maxWaitMicros()) {
                open = null;
                happens(new Event.EndpointListReceived(news ? DRAINED : new EndpointList(drained ? 8 : 7,
                        false,
                        List.of())));
            }
        }
    }

    /**
     * The watch falls silent at every moment of its wait, the drain comes at that moment, and the call made
     * next is silent too. Fails with calls given up after 6.5 s, and with the second left to the module.
     */
    @Test
    void twoSilentCallsInARowStillKeepADrain() {
        for (long at = 0; at < 5 * SECOND; at += STEP) {
            PolledDiscoveryTest each = new PolledDiscoveryTest();
            each.drainInSilence(at);
        }
    }

    private void drainInSilence(long at) {
        happens(new Event.Started(KNOWN, "127.0.0.1:8500"));
        pass(20 * STEP);
        while (now < openedAt + at) {
            pass(STEP);
        }
        long silentAt = now;
        long countsAsTold = silentAt + 6 * SECOND;
        int made = calls.size();
        drained = true;
        while (calls.size() < made + 2) {
            silentUntil = now + 2 * STEP;
            pass(STEP);
            assertTrue(now < silentAt + 30 * SECOND, "not asked anew");
        }
        pass(4 * SECOND);
        assertTrue(toldAt <= countsAsTold + GRACE, "silent after " + at + ": told at " + toldAt
                + ", has to be kept from " + (countsAsTold + GRACE));
        assertEquals(0, failuresTold);
    }

    /** What other routers know doesn't wait until this one's silent call is given up. */
    @Test
    void aListThatAnotherRouterHasIsAskedForAtOnce() {
        happens(new Event.Started(KNOWN, "127.0.0.1:8500"));
        pass(SECOND);
        silentUntil = now + SECOND;
        drained = true;
        pass(SECOND);
        open = null;
        int before = calls.size();
        happens(new Event.EndpointListOutdated());
        assertEquals(before + 1, calls.size());
        pass(2 * STEP);
        assertTrue(toldAt <= now, "not told");
    }

    /** Calls are priced over the whole fleet: in quiet one for each 5 s, and few in a long silence. */
    @Test
    void quietAndSilenceAreNoStorm() {
        happens(new Event.Started(KNOWN, "127.0.0.1:8500"));
        pass(60 * SECOND);
        assertTrue(calls.size() <= 14, "calls in a quiet minute: " + calls.size());
        int before = calls.size();
        silentUntil = now + 60 * SECOND;
        pass(60 * SECOND);
        int made = calls.size() - before;
        assertTrue(made >= 10 && made <= 32, "calls in a silent minute: " + made);
        assertTrue(failuresTold > 5, "the module spares a service that stays silent: " + failuresTold);
    }
}
