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
 * Many routers call one service, which handles calls in turn: it answers or fails a call within 2 s, and a
 * call that was given up still takes its turn. Reducers with the real module, in virtual time.
 */
class BusyDiscoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long KNOWN_AFTER = 6 * SECOND;
    private static final long STEP = 10_000;
    /** Longest time that a call may queue. */
    private static final long MAX_QUEUEING = 2 * SECOND;
    private static final int ROUTERS = 24;

    private long grace = SECOND;
    /** Service time of one call. */
    private long serviceTime = SECOND / 8;
    private long now = 1000 * SECOND;
    /** The newest version, and when each earlier version was replaced. */
    private long version = 7;
    private final Map<Long, Long> replacedAt = new HashMap<>();
    /** When the service has handled all calls that it has accepted. */
    private long busyUntil;
    private boolean drained;

    /** One router, and its call as the service sees it. */
    private final class Router {
        private final Reducer reducer;
        private Effect.CallDiscovery openCall;
        /** A long poll without an answer in time that has not been cancelled. */
        private Effect.CallDiscovery callAside;
        private long handledAt;
        private long calledAt;
        private boolean refused;
        /** Offset that keeps two routers from seeing an event in the same microsecond. */
        private final long offset;
        /** The current call is never answered. */
        private boolean silent;
        private int answers;
        private long knownVersion = 7;

        Router(int seed) {
            offset = seed % STEP;
            reducer = new Reducer(new CoreSettings(250_000, 30 * SECOND, false, grace, 10 * SECOND, true, 4,
                    List.of(true), List.of("chat"), 0), new ResourceLimits(40, 20, 20, 1 << 20),
                    new Counters(), actions -> new BoundedLoadRouter(settings(), seed, actions));
            handle(new Event.Started(list(7, true, Lifecycle.READY), "127.0.0.1:8500"));
        }

        private void handle(Event event) {
            for (Effect effect : reducer.reduce(event, now + offset)) {
                if (effect instanceof Effect.CallDiscovery call) {
                    openCall = call;
                    calledAt = now;
                    silent = false;
                    refused = Math.max(now, busyUntil) - now > MAX_QUEUEING;
                    if (!refused) {
                        busyUntil = Math.max(now, busyUntil) + serviceTime;
                        handledAt = busyUntil;
                    }
                } else if (effect instanceof Effect.SetDiscoveryCallAside) {
                    callAside = openCall;
                    openCall = null;
                } else if (effect instanceof Effect.CancelDiscoveryCall) {
                    openCall = null;
                }
            }
        }

        private void step() {
            if (reducer.nextTimerDue() <= now + offset) {
                handle(new Event.Tick());
            }
            if (openCall == null || silent) {
                return;
            }
            boolean changed = openCall.sinceVersion() < version;
            if (refused) {
                openCall = null;
                handle(new Event.DiscoveryCallFailed());
            } else if (now >= handledAt && (changed || now >= calledAt + openCall.maxWaitMicros())) {
                openCall = null;
                answers++;
                knownVersion = version;
                handle(new Event.EndpointListReceived(changed ? list(version, false, drained
                        ? Lifecycle.DRAINING
                        : Lifecycle.READY) : new EndpointList(version, false, List.of())));
            }
        }

        /** The service answers the long poll that was set aside. */
        void answerCallAside() {
            if (callAside != null) {
                callAside = null;
                openCall = null;
                answers++;
                knownVersion = version;
                handle(new Event.EndpointListReceived(list(version, false, Lifecycle.DRAINING)));
            }
        }

        /** Returns how long the router has been without a change. */
        long microsBehind() {
            return now - replacedAt.getOrDefault(knownVersion, now);
        }

        boolean knowsDrain() {
            return !reducer.notReadyReason().isEmpty();
        }
    }

    private Routing.Settings settings() {
        return new Routing.Settings(ROUTERS, 0, 0, List.of(new Routing.RequestClass("chat",
                Routing.RetrySafety.RETRYABLE, Routing.DedupGroup.ALL, 0, SECOND, 0, 0, 4 * SECOND, 1, 0,
                true, Routing.Placement.ANYWHERE)),
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
        replacedAt.clear();
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routers.add(new Router(seed * count + i));
        }
        return routers;
    }

    private void recordChange() {
        replacedAt.put(version, now);
        version++;
    }

    private void pass(List<Router> routers, long until) {
        while (now < until) {
            now += STEP;
            routers.forEach(Router::step);
        }
    }

    /** All start together, with more calls than the service can handle in the first seconds. */
    @Test
    void allRoutersGetAnswersSoonAndKeepThem() {
        for (int seed = 0; seed < 10; seed++) {
            List<Router> routers = routers(seed, ROUTERS);
            pass(routers, now + 15 * SECOND);
            assertEquals(0, routers.stream().filter(router -> router.answers == 0).count(),
                    "routers without any answer in 15 s, seed " + seed);
            drained = true;
            recordChange();
            pass(routers, now + KNOWN_AFTER + grace);
            assertTrue(routers.stream().allMatch(Router::knowsDrain),
                    "drain not known in time, seed " + seed);
        }
    }

    /** The service recovers from an outage in which all routers lost their watches. */
    @Test
    void allRoutersLearnOfDrainInTimeAfterOutage() {
        for (int seed = 0; seed < 10; seed++) {
            List<Router> routers = routers(seed, ROUTERS);
            pass(routers, now + 20 * SECOND);
            busyUntil = now + MAX_QUEUEING + 8 * SECOND;
            routers.forEach(router -> {
                router.refused = true;
                router.step();
            });
            pass(routers, now + 8 * SECOND);
            busyUntil = now;
            drained = true;
            recordChange();
            pass(routers, now + KNOWN_AFTER + grace);
            assertTrue(routers.stream().allMatch(Router::knowsDrain),
                    "drain not known in time, seed " + seed + ": "
                            + routers.stream().filter(router -> !router.knowsDrain()).count());
        }
    }

    /**
     * During a release a change comes each half second, and each one makes all watching routers call again:
     * more than twice as many calls as the service can handle. No router may miss changes for longer than is
     * allowed.
     */
    @Test
    void noRouterStaysBehindDuringRelease() {
        serviceTime = SECOND / 45;
        for (int seed = 0; seed < 5; seed++) {
            List<Router> routers = routers(seed, 100);
            pass(routers, now + 12 * SECOND);
            // seven in ten are killed and restart at once
            for (int i = 0; i < 70; i++) {
                routers.set(i, new Router(1000 + i));
            }
            long maxBehind = 0;
            int lateSamples = 0;
            for (int i = 0; i < 24; i++) {
                recordChange();
                for (int part = 0; part < 10; part++) {
                    pass(routers, now + SECOND / 20);
                    long behind = routers.stream().mapToLong(Router::microsBehind).max().orElseThrow();
                    maxBehind = Math.max(maxBehind, behind);
                    lateSamples += behind > KNOWN_AFTER ? 1 : 0;
                }
            }
            assertEquals(0, lateSamples, "seed " + seed + ": longest time behind is "
                    + maxBehind / 1000 + " ms");
        }
    }

    /**
     * A change reaches all routers at once, so that their long polls start together and, without answers,
     * time out together. A drain comes right after that, and the calls for it queue behind each other.
     */
    @Test
    void watchesThatTimeOutTogetherDoNotDelayEachOther() {
        serviceTime = SECOND * 3 / 20;
        grace = SECOND / 4;
        for (int seed = 0; seed < 20; seed++) {
            List<Router> routers = routers(seed, 6);
            pass(routers, now + 8 * SECOND);
            recordChange();
            pass(routers, now + 2 * STEP);
            routers.forEach(router -> router.silent = true);
            drained = true;
            recordChange();
            pass(routers, now + KNOWN_AFTER + grace);
            assertEquals(0, routers.stream().filter(router -> !router.knowsDrain()).count(),
                    "drain not known in time, seed " + seed);
        }
    }

    /** The service accepts no new calls and answers open long polls up to 2 s after their end. */
    @Test
    void lateAnswerToLongPollCountsAlthoughRepeatedCallFails() {
        for (int seed = 0; seed < 10; seed++) {
            List<Router> routers = routers(seed, 6);
            pass(routers, now + 8 * SECOND);
            drained = true;
            recordChange();
            long answeredAt = now + 6 * SECOND + MAX_QUEUEING / 2;
            routers.forEach(router -> router.silent = true);
            busyUntil = Long.MAX_VALUE / 2;
            pass(routers, answeredAt);
            assertEquals(0, routers.stream().filter(Router::knowsDrain).count());
            routers.forEach(Router::answerCallAside);
            assertEquals(0, routers.stream().filter(router -> !router.knowsDrain()).count(),
                    "late answer was not used, seed " + seed);
        }
    }
}
