package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
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
 * Many routers ask one service, which handles calls in turn: it answers a call within 2 s or fails it, and a
 * call that was given up has its turn all the same. Desks with the real module, in virtual time.
 */
class BusyDiscoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long COUNTS_AS_TOLD = 6 * SECOND;
    private static final long STEP = 10_000;
    /** How long a call may wait for its turn. */
    private static final long MOST_WAIT = 2 * SECOND;
    private static final int ROUTERS = 24;

    private long grace = SECOND;
    /** What a call takes of the service's time. */
    private long work = SECOND / 8;
    private long time = 1000 * SECOND;
    /** The newest version, and since when each version before it has been old. */
    private long version = 7;
    private final Map<Long, Long> oldSince = new HashMap<>();
    /** When the service is done with all calls that it has taken. */
    private long busyUntil;
    private boolean drained;

    /** One router, and its call as the service has it. */
    private final class Router {
        private final Reducer desk;
        private Effect.CallDiscovery open;
        /** A watch that was given no answer in time, and has not been given up. */
        private Effect.CallDiscovery aside;
        private long turnAt;
        private long openedAt;
        private boolean refused;
        /** No two see anything in the same microsecond. */
        private final long late;
        /** The call that is out is never answered. */
        private boolean silent;
        private int answers;
        private long has = 7;

        Router(int seed) {
            late = seed % STEP;
            desk = new Reducer(new CoreSettings(250_000, 30 * SECOND, false, grace, 10 * SECOND, true, 4,
                    List.of(true),
                    List.of("chat"), 0), new ResourceLimits(40, 20, 20, 1 << 20), new Counters(),
                    actions -> new BoundedLoadRouter(settings(), seed, actions));
            happens(new Event.Started(list(7, true, Lifecycle.READY), "127.0.0.1:8500"));
        }

        private void happens(Event event) {
            for (Effect effect : desk.reduce(event, time + late)) {
                if (effect instanceof Effect.CallDiscovery call) {
                    open = call;
                    openedAt = time;
                    silent = false;
                    refused = Math.max(time, busyUntil) - time > MOST_WAIT;
                    if (!refused) {
                        busyUntil = Math.max(time, busyUntil) + work;
                        turnAt = busyUntil;
                    }
                } else if (effect instanceof Effect.SetDiscoveryCallAside) {
                    aside = open;
                    open = null;
                } else if (effect instanceof Effect.CancelDiscoveryCall) {
                    open = null;
                }
            }
        }

        private void step() {
            if (desk.nextTimerDue() <= time + late) {
                happens(new Event.Tick());
            }
            if (open == null || silent) {
                return;
            }
            boolean news = open.sinceVersion() < version;
            if (refused) {
                open = null;
                happens(new Event.DiscoveryCallFailed());
            } else if (time >= turnAt && (news || time >= openedAt + open.maxWaitMicros())) {
                open = null;
                answers++;
                has = version;
                happens(new Event.EndpointListReceived(news ? list(version, false, drained
                        ? Lifecycle.DRAINING
                        : Lifecycle.READY) : new EndpointList(version, false, List.of())));
            }
        }

        /** The service has come to the watch that it answers late. */
        void lateWatchAnswered() {
            if (aside != null) {
                aside = null;
                open = null;
                answers++;
                has = version;
                happens(new Event.EndpointListReceived(list(version, false, Lifecycle.DRAINING)));
            }
        }

        /** For how long it has not heard of something. */
        long behind() {
            return time - oldSince.getOrDefault(has, time);
        }

        boolean knows() {
            return !desk.notReadyReason().isEmpty();
        }
    }

    private Routing.Settings settings() {
        return new Routing.Settings(ROUTERS, 0, 0, List.of(new Routing.RequestClass("chat",
                Routing.RetrySafety.RETRYABLE, Routing.DedupGroup.ALL, 0, SECOND, 0, 0, 4 * SECOND, 1, 0,
                        true,
                Routing.Placement.ANYWHERE)),
                List.of(), 0.1, true, new Routing.Limits(4, false, true, false, 250_000, 0),
                new Routing.Contract(grace, 10 * SECOND, 0.3, 3, 2 * SECOND, 10 * SECOND,
                        Routing.AttemptBudget.NONE), new Routing.Prices(0, 0, 0, 0, 0));
    }

    private static EndpointList list(long version, boolean full, Lifecycle state) {
        return new EndpointList(version, full, List.of(new ModelServer("s-1", "127.0.0.1:9001",
                new ServerState(1, 0, 0, 1, 1, state, 0))));
    }

    private List<Router> routers(int seed, int count) {
        busyUntil = 0;
        drained = false;
        version = 7;
        oldSince.clear();
        List<Router> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Router(seed * count + i));
        }
        return all;
    }

    private void changes() {
        oldSince.put(version, time);
        version++;
    }

    private void pass(List<Router> all, long until) {
        while (time < until) {
            time += STEP;
            all.forEach(Router::step);
        }
    }

    /** All start together, with more calls than the service has time for in the first seconds. */
    @Test
    void allAreHeardSoonAndStayHeard() {
        for (int seed = 0; seed < 10; seed++) {
            List<Router> all = routers(seed, ROUTERS);
            pass(all, time + 15 * SECOND);
            assertEquals(0, all.stream().filter(r -> r.answers == 0).count(),
                    "routers that discovery has never answered in 15 s, seed " + seed);
            drained = true;
            changes();
            pass(all, time + COUNTS_AS_TOLD + grace);
            assertTrue(all.stream().allMatch(Router::knows), "not told in time, seed " + seed);
        }
    }

    /** The service comes back after an outage in which all have lost their watches. */
    @Test
    void afterAnOutageAllHearOfADrainInTime() {
        for (int seed = 0; seed < 10; seed++) {
            List<Router> all = routers(seed, ROUTERS);
            pass(all, time + 20 * SECOND);
            busyUntil = time + MOST_WAIT + 8 * SECOND;
            all.forEach(r -> {
                r.refused = true;
                r.step();
            });
            pass(all, time + 8 * SECOND);
            busyUntil = time;
            drained = true;
            changes();
            pass(all, time + COUNTS_AS_TOLD + grace);
            assertTrue(all.stream().allMatch(Router::knows), "not told in time, seed " + seed + ": "
                    + all.stream().filter(r -> !r.knows()).count());
        }
    }

    /**
     * A release brings a change every half second, and with each of them all who watch call again: more than
     * twice as many calls as the service has turns. Nobody may go without news for longer than is allowed.
     */
    @Test
    void inAReleaseNobodyStaysBehind() {
        work = SECOND / 45;
        for (int seed = 0; seed < 5; seed++) {
            List<Router> all = routers(seed, 100);
            pass(all, time + 12 * SECOND);
            // seven in ten are killed, and start again at once
            for (int i = 0; i < 70; i++) {
                all.set(i, new Router(1000 + i));
            }
            long most = 0;
            int late = 0;
            for (int i = 0; i < 24; i++) {
                changes();
                for (int part = 0; part < 10; part++) {
                    pass(all, time + SECOND / 20);
                    long behind = all.stream().mapToLong(Router::behind).max().orElseThrow();
                    most = Math.max(most, behind);
                    late += behind > COUNTS_AS_TOLD ? 1 : 0;
                }
            }
            assertEquals(0, late, "seed " + seed + ": the last to hear was behind by " + most / 1000 + " ms");
        }
    }

    /**
     * A change has been told to all at once, so that their watches began together and, fallen silent, are
     * given up together; a drain comes right after, and the calls for it wait for each other's turns.
     */
    @Test
    void watchesThatFallSilentTogetherDoNotMakeEachOtherLate() {
        work = SECOND * 3 / 20;
        grace = SECOND / 4;
        for (int seed = 0; seed < 20; seed++) {
            List<Router> all = routers(seed, 6);
            pass(all, time + 8 * SECOND);
            changes();
            pass(all, time + 2 * STEP);
            all.forEach(r -> r.silent = true);
            drained = true;
            changes();
            pass(all, time + COUNTS_AS_TOLD + grace);
            assertEquals(0, all.stream().filter(r -> !r.knows()).count(), "not told in time, seed " + seed);
        }
    }

    /** The service has no turn for new calls, and answers open watches up to 2 s after their wait. */
    @Test
    void aWatchThatIsAnsweredLateCountsThoughTheCallMadeAnewFails() {
        for (int seed = 0; seed < 10; seed++) {
            List<Router> all = routers(seed, 6);
            pass(all, time + 8 * SECOND);
            drained = true;
            changes();
            long answeredAt = time + 6 * SECOND + MOST_WAIT / 2;
            all.forEach(r -> r.silent = true);
            busyUntil = Long.MAX_VALUE / 2;
            pass(all, answeredAt);
            assertEquals(0, all.stream().filter(Router::knows).count());
            all.forEach(Router::lateWatchAnswered);
            assertEquals(0, all.stream().filter(r -> !r.knows()).count(), "given up, seed " + seed);
        }
    }
}
