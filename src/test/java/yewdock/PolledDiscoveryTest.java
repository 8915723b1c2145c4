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

/**
 * Polled discovery with failing calls and long polls that get no answer. Whatever happens to a call, a change
 * counts as known 6 s after the service had it and could be reached, and a drain must be kept a second later.
 */
class PolledDiscoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long GRACE = SECOND;
    private static final long STEP = 50_000;
    private static final EndpointList KNOWN = new EndpointList(7, true, List.of(server(Lifecycle.READY)));
    private static final EndpointList DRAINED = new EndpointList(8, false,
            List.of(server(Lifecycle.DRAINING)));
    private final Counters counters = new Counters();
    private final Reducer reducer = new Reducer(new CoreSettings(250_000, 30 * SECOND, false, GRACE,
            10 * SECOND, true, 4, List.of(true), List.of("chat"), 0),
            new ResourceLimits(40, 20, 20, 1 << 20), counters, Module::new);
    private final List<Long> callTimes = new ArrayList<>();
    private Routing.Actions module;
    private Effect.CallDiscovery openCall;
    private long calledAt;
    private boolean drained;
    private long silentUntil = Long.MIN_VALUE;
    private long drainKnownAt = Long.MAX_VALUE;
    private int reportedFailures;
    private final List<String> reports = new ArrayList<>();
    private long now;

    /** Calls discovery once, and again a second after it is told of a failure. */
    private final class Module extends NoOpModule {
        Module(Routing.Actions actions) {
            module = actions;
        }

        @Override
        public void started(long time) {
            module.watchEndpointList();
        }

        @Override
        public void listReceived(long time, ListKind kind, List<ServerState> entries) {
            reports.add(kind + " " + entries.stream().map(ServerState::lifecycle).toList());
            if (kind == ListKind.FAILED) {
                reportedFailures++;
                module.wakeAt(time + SECOND, 1);
            } else if (entries.stream().anyMatch(r -> r.lifecycle() == Lifecycle.DRAINING)) {
                drainKnownAt = Math.min(drainKnownAt, time);
            }
        }

        @Override
        public void woken(long time, int token) {
            module.watchEndpointList();
        }
    }

    private static ModelServer server(Lifecycle state) {
        return new ModelServer("s-1", "127.0.0.1:9001", new ServerState(1, 0, 0, 1, 1, state, 0));
    }

    private List<Effect> handle(Event event) {
        List<Effect> effects = reducer.reduce(event, now);
        for (Effect effect : effects) {
            if (effect instanceof Effect.CallDiscovery call) {
                callTimes.add(now);
                openCall = call;
                calledAt = now;
            } else if (effect instanceof Effect.CancelDiscoveryCall) {
                openCall = null;
            }
        }
        return effects;
    }

    /**
     * Lets time pass. Unless it is silent, the service answers a call with changes at once, or without
     * changes when its long poll ends.
     */
    private void pass(long micros) {
        for (long until = now + micros; now < until;) {
            now += STEP;
            if (reducer.nextTimerDue() <= now) {
                handle(new Event.Tick());
            }
            if (openCall == null || now < silentUntil) {
                continue;
            }
            boolean changed = drained && openCall.sinceVersion() < DRAINED.version();
            if (changed || now >= calledAt + openCall.maxWaitMicros()) {
                openCall = null;
                handle(new Event.EndpointListReceived(changed ? DRAINED
                        : new EndpointList(drained ? 8 : 7, false, List.of())));
            }
        }
    }

    /**
     * A long poll gets no answer, the drain comes at that moment, and the next call gets no answer either;
     * tried at each moment of the poll. Fails if calls are given up only after 6.5 s, or if the second call
     * is left to the module.
     */
    @Test
    void drainIsKeptAfterTwoUnansweredCalls() {
        for (long silentAfter = 0; silentAfter < 5 * SECOND; silentAfter += STEP) {
            PolledDiscoveryTest test = new PolledDiscoveryTest();
            test.drainWithUnansweredCalls(silentAfter);
        }
    }

    private void drainWithUnansweredCalls(long silentAfter) {
        handle(new Event.Started(KNOWN, "127.0.0.1:8500"));
        pass(20 * STEP);
        while (now < calledAt + silentAfter) {
            pass(STEP);
        }
        long silentAt = now;
        long knownBy = silentAt + 6 * SECOND;
        int callsBefore = callTimes.size();
        drained = true;
        while (callTimes.size() < callsBefore + 2) {
            silentUntil = now + 2 * STEP;
            pass(STEP);
            assertTrue(now < silentAt + 30 * SECOND, "no further call was made");
        }
        pass(4 * SECOND);
        assertTrue(drainKnownAt <= knownBy + GRACE, "silent after " + silentAfter + ": known at "
                + drainKnownAt + ", must be kept from " + (knownBy + GRACE));
        assertEquals(0, reportedFailures);
    }

    /**
     * A list that another router already has is asked for without waiting for the
     * timeout of an unanswered call.
     */
    @Test
    void newerListOfAnotherRouterIsAskedForAtOnce() {
        handle(new Event.Started(KNOWN, "127.0.0.1:8500"));
        pass(SECOND);
        silentUntil = now + SECOND;
        drained = true;
        pass(SECOND);
        openCall = null;
        int callsBefore = callTimes.size();
        handle(new Event.EndpointListOutdated());
        assertEquals(callsBefore + 1, callTimes.size());
        pass(2 * STEP);
        assertTrue(drainKnownAt <= now, "the drain is not known");
    }

    /**
     * The whole fleet pays for discovery calls: about one each 5 s without changes, and
     * few in a long silence.
     */
    @Test
    void callRateIsBoundedWithoutChangesAndWithoutAnswers() {
        handle(new Event.Started(KNOWN, "127.0.0.1:8500"));
        pass(60 * SECOND);
        assertTrue(callTimes.size() <= 14, "calls in a minute without changes: " + callTimes.size());
        int callsBefore = callTimes.size();
        silentUntil = now + 60 * SECOND;
        pass(60 * SECOND);
        int callsMade = callTimes.size() - callsBefore;
        assertTrue(callsMade >= 10 && callsMade <= 32, "calls in a minute without answers: " + callsMade);
        assertTrue(reportedFailures > 5, "failures left to the module's backoff: " + reportedFailures);
    }

    /** Starts with a stored list, in which a drain may be missing that was received just before a kill. */
    private void startWithStoredList() {
        handle(new Event.Started(KNOWN, "127.0.0.1:8500", true));
    }

    /**
     * Guards against a restarted router that sends by its stored list although discovery, which is slow to
     * answer, told the process before of a drain.
     */
    @Test
    void storedListIsNotUsedBeforeDiscoveryAnswers() {
        drained = true;
        silentUntil = 3 * SECOND;
        startWithStoredList();
        pass(5 * SECOND / 2);
        assertEquals(List.of(), reports, "the stored list was used");
        assertFalse(reducer.notReadyReason().isEmpty());
        handle(new Event.ClientConnected(1));
        ModelRequest request = new ModelRequest("r1", 0, 0, false, 1, 1, 1, 0, 9, 900_000, 100);
        assertTrue(handle(new Event.RequestReceived(1, request)).contains(new Effect.Refuse(1, 0)));
        pass(SECOND);
        assertEquals("CACHED [DRAINING]", reports.get(0));
    }

    /** Without discovery, the stored list is all that a restarted router has. */
    @Test
    void storedListIsUsedIfDiscoveryCannotBeReached() {
        silentUntil = 60 * SECOND;
        startWithStoredList();
        pass(59 * SECOND / 10);
        assertEquals(0, reports.stream().filter(line -> line.startsWith("CACHED")).count());
        assertFalse(reducer.notReadyReason().isEmpty());
        pass(SECOND / 5);
        assertTrue(reports.contains("CACHED [READY]"), reports.toString());
        assertEquals("", reducer.notReadyReason());
        assertEquals(1, counters.get("list.used_unconfirmed"));
    }

    /** A process that replaces another knows what discovery told that one. */
    @Test
    void replacementUsesTheListOfItsPredecessorAtOnce() {
        silentUntil = 60 * SECOND;
        startWithStoredList();
        assertEquals(List.of(), reports);
        handle(predecessorToldOfDrainAt("127.0.0.1:8500"));
        assertEquals(List.of("CACHED [DRAINING]"), reports);
    }

    private static Event predecessorToldOfDrainAt(String address) {
        EndpointList list = new EndpointList(8, true, List.of(server(Lifecycle.DRAINING)));
        return new Event.GenerationStateReceived(1, new GenerationState(List.of(), List.of(), List.of(), list,
                address, true, Map.of()));
    }

    /**
     * Guards against a process that replaces another while discovery moves, and forgets a drain that the old
     * address told that one: until the new address has answered, it is all that is known.
     */
    @Test
    void drainFromOtherAddressHoldsUntilOwnListIsReceived() {
        silentUntil = 2 * SECOND;
        handle(new Event.Started(new EndpointList(-1, true, KNOWN.servers()), "127.0.0.1:8501"));
        pass(SECOND);
        handle(predecessorToldOfDrainAt("127.0.0.1:8500"));
        assertEquals("CACHED [DRAINING]", reports.get(reports.size() - 1));
        openCall = null;
        handle(new Event.EndpointListReceived(KNOWN));
        assertEquals("FULL [READY]", reports.get(reports.size() - 1));
        handle(predecessorToldOfDrainAt("127.0.0.1:8500"));
        assertEquals("FULL [READY]", reports.get(reports.size() - 1), "an outdated drain was taken");
    }
}
