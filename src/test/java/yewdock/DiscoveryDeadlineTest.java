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
 * Whatever is allowed after a call to discovery that failed, was refused or given up: a change counts as told
 * 6 s after discovery had it and could be reached. The desk with the real module, in virtual time.
 */
class DiscoveryDeadlineTest {
    private static final long SECOND = 1_000_000;
    private static final long COUNTS_AS_TOLD = 6 * SECOND;
    private static final long GRACE = SECOND;
    private static final long STEP = 20_000;
    private static final int SEEDS = 12;
    private static final int MANY_SEEDS = 200;
    private static final EndpointList KNOWN = new EndpointList(7, true, List.of(server(Lifecycle.READY)));
    private static final EndpointList DRAINED = new EndpointList(8, true,
            List.of(server(Lifecycle.DRAINING)));

    /** REFUSED stands for all that ends a call at once: a reset, 503, an answer that can't be read. */
    private enum Failure { REFUSED, SILENT }

    private static Routing.Settings settings() {
        return new Routing.Settings(1, 0, 0, List.of(new Routing.RequestClass("chat",
                Routing.RetrySafety.RETRYABLE, Routing.DedupGroup.ALL, 0, SECOND, 0, 0, 4 * SECOND, 1, 0,
                        true,
                Routing.Placement.ANYWHERE)),
                List.of(), 0.1, true, new Routing.Limits(4, false, true, false, 250_000, 0),
                new Routing.Contract(GRACE, 8 * SECOND, 0.3, 3, 2 * SECOND, 10 * SECOND,
                        Routing.AttemptBudget.NONE), new Routing.Prices(0, 0, 0, 0, 0));
    }

    private static ModelServer server(Lifecycle state) {
        return new ModelServer("s-1", "127.0.0.1:9001", new ServerState(1, 0, 0, 1, 1, state, 0));
    }

    /** One router and its discovery. */
    private static final class Rig {
        private final Reducer desk;
        /** How the next calls fail; after them each is answered. */
        private final Deque<Failure> failures = new ArrayDeque<>();
        private Effect.CallDiscovery open;
        private long openedAt;
        private Failure now;
        private boolean drained;
        private long time = 1000 * SECOND;
        private long calls;

        Rig(long seed) {
            desk = new Reducer(new CoreSettings(250_000, 30 * SECOND, false, GRACE, 10 * SECOND, true, 4,
                    List.of(true),
                    List.of("chat"), 0), new ResourceLimits(40, 20, 20, 1 << 20), new Counters(),
                    actions -> new BoundedLoadRouter(settings(), seed, actions));
            happens(new Event.Started(KNOWN, "127.0.0.1:8500"));
        }

        private void happens(Event event) {
            boolean refused = false;
            for (Effect effect : desk.reduce(event, time)) {
                if (effect instanceof Effect.CallDiscovery call) {
                    calls++;
                    open = call;
                    openedAt = time;
                    now = failures.poll();
                    refused = now == Failure.REFUSED;
                } else if (effect instanceof Effect.CancelDiscoveryCall) {
                    open = null;
                }
            }
            if (refused) {
                open = null;
                happens(new Event.DiscoveryCallFailed());
            }
        }

        private void step() {
            time += STEP;
            if (desk.nextTimerDue() <= time) {
                happens(new Event.Tick());
            }
            if (open == null || now == Failure.SILENT) {
                return;
            }
            boolean news = drained && open.sinceVersion() < DRAINED.version();
            if (news || time >= openedAt + open.maxWaitMicros()) {
                open = null;
                happens(new Event.EndpointListReceived(news ? DRAINED : new EndpointList(drained ? 8 : 7,
                        false,
                        List.of())));
            }
        }

        /** Lets time pass until the drain is known; fails where it has to be kept before that. */
        private void learns(long hadAndReached, String what) {
            long until = hadAndReached + COUNTS_AS_TOLD + GRACE;
            while (desk.notReadyReason().isEmpty()) {
                assertTrue(time < until, what + ": not told " + (time - hadAndReached) / 1000 + " ms after");
                step();
            }
        }
    }

    private static Failure kind(int bits, int place) {
        return (bits >> place & 1) == 0 ? Failure.REFUSED : Failure.SILENT;
    }

    /** An outage of up to seven calls in mixes of two kinds; the drain comes with the last one's start. */
    @Test
    void afterAnOutageADrainIsToldInTime() {
        for (int length = 1; length <= 7; length++) {
            for (int mix : new int[] {0, 1 << length - 1, 0b1010101, 0b0101010, (1 << length) - 1}) {
                for (int seed = 0; seed < MANY_SEEDS; seed++) {
                    Rig each = new Rig(seed);
                    for (int i = 0; i < length; i++) {
                        each.failures.add(kind(mix, i));
                    }
                    while (!each.failures.isEmpty()) {
                        each.step();
                    }
                    each.drained = true;
                    each.learns(Math.min(each.time, each.openedAt), length + " failures, mix " + mix
                            + ", seed " + seed);
                }
            }
        }
    }

    /** A watch breaks at any moment, the next call fails too, and the drain came with the first of them. */
    @Test
    void twoFailuresInARowKeepADrain() {
        for (int mix = 0; mix < 4; mix++) {
            for (long at = 0; at < 5 * SECOND; at += 10 * STEP) {
                Rig each = new Rig(mix + at / STEP);
                while (each.open == null || each.open.maxWaitMicros() == 0 || each.time < each.openedAt
                        + at) {
                    each.step();
                }
                each.failures.add(kind(mix, 1));
                each.drained = true;
                long had = each.time;
                if (kind(mix, 0) == Failure.SILENT) {
                    each.now = Failure.SILENT;
                } else {
                    each.open = null;
                    each.happens(new Event.DiscoveryCallFailed());
                }
                each.learns(had, "watch broken after " + at + ", mix " + mix);
            }
        }
    }

    /**
     * The watch breaks as the drain comes, and up to four calls after it fail, though the service could be
     * reached all the while: what counts as told 6 s after the drain is known a grace later. Of calls that
     * nobody answers a third would take all of that time by itself.
     */
    @Test
    void fourFailuresOfAnyKindInARowKeepADrainFromTheFirstOn() {
        for (int length = 1; length <= 4; length++) {
            for (int mix = 0; mix < 1 << length; mix++) {
                for (int seed = 0; seed < MANY_SEEDS && Integer.bitCount(mix) <= 2; seed++) {
                    Rig each = new Rig(seed);
                    while (each.open == null || each.open.maxWaitMicros() == 0) {
                        each.step();
                    }
                    for (int i = 0; i < length; i++) {
                        each.failures.add(kind(mix, i));
                    }
                    each.drained = true;
                    long had = each.time;
                    each.open = null;
                    each.happens(new Event.DiscoveryCallFailed());
                    each.learns(had, length + " failures, mix " + mix + ", seed " + seed);
                }
            }
        }
    }

    /** A new address fails the first calls; what the list there says counts from when it could be reached. */
    @Test
    void aListThatMovedAndFailsIsStillToldInTime() {
        for (int mix = 0; mix < 4; mix++) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Rig each = new Rig(seed);
                for (int i = 0; i < 100; i++) {
                    each.step();
                }
                each.failures.add(kind(mix, 0));
                each.failures.add(kind(mix, 1));
                each.drained = true;
                each.happens(new Event.DiscoveryAddressChanged("127.0.0.1:8501"));
                each.learns(each.openedAt, "moved, mix " + mix + ", seed " + seed);
            }
        }
    }

    /** The first calls of a new process fail: it acts on the list it was given, and hears of the drain. */
    @Test
    void aNewProcessHearsOfADrainInTime() {
        for (int mix = 0; mix < 4; mix++) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Rig each = new Rig(seed);
                each.failures.add(kind(mix, 0));
                each.failures.add(kind(mix, 1));
                each.drained = true;
                each.learns(each.time, "started, mix " + mix + ", seed " + seed);
            }
        }
    }

    /** Calls are priced over the fleet: a minute without news costs no more than twelve and the first. */
    @Test
    void inCalmTimesNoMoreCallsAreMade() {
        Rig each = new Rig(3);
        long from = each.time;
        while (each.time < from + 60 * SECOND) {
            each.step();
        }
        assertTrue(each.calls <= 14, "calls in a quiet minute: " + each.calls);
    }
}
