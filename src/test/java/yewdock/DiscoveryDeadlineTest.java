package yewdock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
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
 * Whatever happens to discovery calls - failures, refusals, timeouts - a change counts as known 6 s after
 * discovery had it and could be reached. The reducer with the real module, in virtual time.
 */
class DiscoveryDeadlineTest {
    private static final long SECOND = 1_000_000;
    private static final long KNOWN_AFTER = 6 * SECOND;
    private static final long GRACE = SECOND;
    private static final long STEP = 20_000;
    private static final int SEEDS = 12;
    private static final int MANY_SEEDS = 200;
    private static final EndpointList KNOWN = new EndpointList(7, true, List.of(server(Lifecycle.READY)));
    private static final EndpointList DRAINED = new EndpointList(8, true,
            List.of(server(Lifecycle.DRAINING)));

    /** REFUSED stands for all that ends a call at once: a reset, a 503 or a malformed answer. */
    private enum Failure { REFUSED, SILENT }

    private static Routing.Settings settings() {
        return new Routing.Settings(1, 0, 0, List.of(new Routing.RequestClass("chat",
                Routing.RetrySafety.RETRYABLE, Routing.DedupGroup.ALL, 0, SECOND, 0, 0, 4 * SECOND, 1, 0,
                true, Routing.Placement.ANYWHERE)),
                List.of(), 0.1, true, new Routing.Limits(4, false, true, false, 250_000, 0),
                new Routing.Contract(GRACE, 8 * SECOND, 0.3, 3, 2 * SECOND, 10 * SECOND,
                        Routing.AttemptBudget.NONE), new Routing.Prices(0, 0, 0, 0, 0));
    }

    private static ModelServer server(Lifecycle state) {
        return new ModelServer("s-1", "127.0.0.1:9001", new ServerState(1, 0, 0, 1, 1, state, 0));
    }

    /** One router and its discovery service. */
    private static final class Rig {
        private final Reducer reducer;
        /** How the next calls fail; calls after them are answered. */
        private final Deque<Failure> failures = new ArrayDeque<>();
        private Effect.CallDiscovery openCall;
        private long calledAt;
        private Failure currentFailure;
        private boolean drained;
        private long now = 1000 * SECOND;
        private long calls;

        Rig(long seed) {
            reducer = new Reducer(new CoreSettings(250_000, 30 * SECOND, false, GRACE, 10 * SECOND, true, 4,
                    List.of(true), List.of("chat"), 0), new ResourceLimits(40, 20, 20, 1 << 20),
                    new Counters(), actions -> new BoundedLoadRouter(settings(), seed, actions));
            handle(new Event.Started(KNOWN, "127.0.0.1:8500"));
        }

        private void handle(Event event) {
            boolean refused = false;
            for (Effect effect : reducer.reduce(event, now)) {
                if (effect instanceof Effect.CallDiscovery call) {
                    calls++;
                    openCall = call;
                    calledAt = now;
                    currentFailure = failures.poll();
                    refused = currentFailure == Failure.REFUSED;
                } else if (effect instanceof Effect.CancelDiscoveryCall) {
                    openCall = null;
                }
            }
            if (refused) {
                openCall = null;
                handle(new Event.DiscoveryCallFailed());
            }
        }

        private void step() {
            now += STEP;
            if (reducer.nextTimerDue() <= now) {
                handle(new Event.Tick());
            }
            if (openCall == null || currentFailure == Failure.SILENT) {
                return;
            }
            boolean changed = drained && openCall.sinceVersion() < DRAINED.version();
            if (changed || now >= calledAt + openCall.maxWaitMicros()) {
                openCall = null;
                handle(new Event.EndpointListReceived(changed ? DRAINED
                        : new EndpointList(drained ? 8 : 7, false, List.of())));
            }
        }

        /** Lets time pass until the drain is known; fails if that takes longer than the drain may. */
        private void assertDrainKnownInTime(long reachableSince, String situation) {
            long deadline = reachableSince + KNOWN_AFTER + GRACE;
            while (reducer.notReadyReason().isEmpty()) {
                assertTrue(now < deadline, situation + ": drain not known after "
                        + (now - reachableSince) / 1000 + " ms");
                step();
            }
        }
    }

    private static Failure kind(int bits, int place) {
        return (bits >> place & 1) == 0 ? Failure.REFUSED : Failure.SILENT;
    }

    /** An outage of up to seven calls with mixed failures; the drain comes when the last of them starts. */
    @Test
    void drainIsKnownInTimeAfterOutage() {
        for (int length = 1; length <= 7; length++) {
            for (int mix : new int[] {0, 1 << length - 1, 0b1010101, 0b0101010, (1 << length) - 1}) {
                for (int seed = 0; seed < MANY_SEEDS; seed++) {
                    Rig rig = new Rig(seed);
                    for (int i = 0; i < length; i++) {
                        rig.failures.add(kind(mix, i));
                    }
                    while (!rig.failures.isEmpty()) {
                        rig.step();
                    }
                    rig.drained = true;
                    rig.assertDrainKnownInTime(Math.min(rig.now, rig.calledAt), length + " failures, mix "
                            + mix + ", seed " + seed);
                }
            }
        }
    }

    /** A long poll fails at any moment, the drain comes at that moment, and the next call fails too. */
    @Test
    void drainIsKeptAfterTwoFailures() {
        for (int mix = 0; mix < 4; mix++) {
            for (long brokenAfter = 0; brokenAfter < 5 * SECOND; brokenAfter += 10 * STEP) {
                Rig rig = new Rig(mix + brokenAfter / STEP);
                while (rig.openCall == null || rig.openCall.maxWaitMicros() == 0 || rig.now < rig.calledAt
                        + brokenAfter) {
                    rig.step();
                }
                rig.failures.add(kind(mix, 1));
                rig.drained = true;
                long drainedAt = rig.now;
                if (kind(mix, 0) == Failure.SILENT) {
                    rig.currentFailure = Failure.SILENT;
                } else {
                    rig.openCall = null;
                    rig.handle(new Event.DiscoveryCallFailed());
                }
                rig.assertDrainKnownInTime(drainedAt, "watch broken after " + brokenAfter + ", mix " + mix);
            }
        }
    }

    /**
     * The long poll breaks when the drain comes, and up to four calls after it fail although the service can
     * be reached: the drain is known a grace after the 6 s from its start. Only two of the calls may be
     * unanswered; the timeout of a third would take up all of that time.
     */
    @Test
    void drainIsKeptDuringFourFailures() {
        for (int length = 1; length <= 4; length++) {
            for (int mix = 0; mix < 1 << length; mix++) {
                for (int seed = 0; seed < MANY_SEEDS && Integer.bitCount(mix) <= 2; seed++) {
                    Rig rig = new Rig(seed);
                    while (rig.openCall == null || rig.openCall.maxWaitMicros() == 0) {
                        rig.step();
                    }
                    for (int i = 0; i < length; i++) {
                        rig.failures.add(kind(mix, i));
                    }
                    rig.drained = true;
                    long drainedAt = rig.now;
                    rig.openCall = null;
                    rig.handle(new Event.DiscoveryCallFailed());
                    rig.assertDrainKnownInTime(drainedAt, length + " failures, mix " + mix + ", seed "
                            + seed);
                }
            }
        }
    }

    /** The first calls to a new address fail; its list counts from when the address could be reached. */
    @Test
    void listAtNewAddressIsKnownInTimeDespiteFailures() {
        for (int mix = 0; mix < 4; mix++) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Rig rig = new Rig(seed);
                for (int i = 0; i < 100; i++) {
                    rig.step();
                }
                rig.failures.add(kind(mix, 0));
                rig.failures.add(kind(mix, 1));
                rig.drained = true;
                rig.handle(new Event.DiscoveryAddressChanged("127.0.0.1:8501"));
                rig.assertDrainKnownInTime(rig.calledAt, "moved, mix " + mix + ", seed " + seed);
            }
        }
    }

    /**
     * The first calls of a new process fail: it uses the list that it was started with and learns of the
     * drain.
     */
    @Test
    void newProcessLearnsOfDrainInTime() {
        for (int mix = 0; mix < 4; mix++) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Rig rig = new Rig(seed);
                rig.failures.add(kind(mix, 0));
                rig.failures.add(kind(mix, 1));
                rig.drained = true;
                rig.assertDrainKnownInTime(rig.now, "started, mix " + mix + ", seed " + seed);
            }
        }
    }

    /**
     * The whole fleet pays for discovery calls: a minute without changes costs at most twelve and the first
     * ones.
     */
    @Test
    void callRateIsBoundedWithoutChanges() {
        Rig rig = new Rig(3);
        long startedAt = rig.now;
        while (rig.now < startedAt + 60 * SECOND) {
            rig.step();
        }
        assertTrue(rig.calls <= 14, "calls in a minute without changes: " + rig.calls);
    }
}
