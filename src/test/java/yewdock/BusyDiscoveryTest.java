package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Replica;
import yewdock.desk.Bounds;
import yewdock.desk.BoxList;
import yewdock.desk.Counters;
import yewdock.desk.Desk;
import yewdock.desk.Effect;
import yewdock.desk.Event;
import yewdock.desk.ModelBox;
import yewdock.desk.Terms;

/**
 * Many routers ask one service, which handles calls in turn: it answers a call within 2 s or fails it, and a
 * call that was given up has its turn all the same. Desks with the real module, in virtual time.
 */
class BusyDiscoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long GRACE = SECOND;
    private static final long COUNTS_AS_TOLD = 6 * SECOND;
    private static final long STEP = 10_000;
    /** What a call takes of the service's time, and how long one may wait for its turn. */
    private static final long WORK = SECOND / 8;
    private static final long MOST_WAIT = 2 * SECOND;
    private static final int ROUTERS = 24;

    private long time = 1000 * SECOND;
    /** When the service is done with all calls that it has taken. */
    private long busyUntil;
    private long drainedAt = Long.MAX_VALUE;

    /** One router, and its call as the service has it. */
    private final class Router {
        private final Desk desk;
        private Effect.AskList open;
        private long turnAt;
        private long openedAt;
        private boolean refused;
        private int answers;

        Router(int seed) {
            desk = new Desk(new Terms(250_000, 30 * SECOND, false, GRACE, 10 * SECOND, true, 4, List.of(true),
                    List.of("chat"), 0), new Bounds(40, 20, 20, 1 << 20), new Counters(),
                    actions -> new BoundedLoadRouter(settings(), seed, actions));
            happens(new Event.Started(list(7, true, Lifecycle.READY), "127.0.0.1:8500"));
        }

        private void happens(Event event) {
            for (Effect effect : desk.reduce(event, time)) {
                if (effect instanceof Effect.AskList call) {
                    open = call;
                    openedAt = time;
                    refused = Math.max(time, busyUntil) - time > MOST_WAIT;
                    if (!refused) {
                        busyUntil = Math.max(time, busyUntil) + WORK;
                        turnAt = busyUntil;
                    }
                } else if (effect instanceof Effect.HangUpList) {
                    open = null;
                }
            }
        }

        private void step() {
            if (desk.nextDue() <= time) {
                happens(new Event.Tick());
            }
            if (open == null) {
                return;
            }
            boolean drained = time >= drainedAt;
            boolean news = drained && open.since() < 8;
            if (refused) {
                open = null;
                happens(new Event.ListFailed());
            } else if (time >= turnAt && (news || time >= openedAt + open.longest())) {
                open = null;
                answers++;
                happens(new Event.ListCame(news ? list(8, false, Lifecycle.DRAINING)
                        : new BoxList(drained ? 8 : 7, false, List.of())));
            }
        }

        boolean knows() {
            return !desk.unready().isEmpty();
        }
    }

    private static Routing.Settings settings() {
        return new Routing.Settings(ROUTERS, 0, 0, List.of(new Routing.RequestClass("chat",
                Routing.Effect.RETRYABLE, Routing.DedupGroup.ALL, 0, SECOND, 0, 0, 4 * SECOND, 1, 0, true,
                Routing.Placement.ANYWHERE)),
                List.of(), 0.1, true, new Routing.Limits(4, false, true, false, 250_000, 0),
                new Routing.Contract(GRACE, 10 * SECOND, 0.3, 3, 2 * SECOND, 10 * SECOND,
                        Routing.AttemptBudget.NONE), new Routing.Prices(0, 0, 0, 0, 0));
    }

    private static BoxList list(long version, boolean full, Lifecycle state) {
        return new BoxList(version, full, List.of(new ModelBox("s-1", "127.0.0.1:9001",
                new Replica(1, 0, 0, 1, 1, state, 0))));
    }

    private List<Router> routers(int seed) {
        List<Router> all = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            all.add(new Router(seed * ROUTERS + i));
        }
        return all;
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
            busyUntil = 0;
            drainedAt = Long.MAX_VALUE;
            List<Router> all = routers(seed);
            pass(all, time + 15 * SECOND);
            assertEquals(0, all.stream().filter(r -> r.answers == 0).count(),
                    "routers that discovery has never answered in 15 s, seed " + seed);
            drainedAt = time;
            pass(all, drainedAt + COUNTS_AS_TOLD + GRACE);
            assertTrue(all.stream().allMatch(Router::knows), "not told in time, seed " + seed);
        }
    }

    /** The service comes back after an outage in which all have lost their watches. */
    @Test
    void afterAnOutageAllHearOfADrainInTime() {
        for (int seed = 0; seed < 10; seed++) {
            busyUntil = 0;
            drainedAt = Long.MAX_VALUE;
            List<Router> all = routers(seed);
            pass(all, time + 20 * SECOND);
            busyUntil = time + MOST_WAIT + 8 * SECOND;
            all.forEach(r -> {
                r.refused = true;
                r.step();
            });
            pass(all, time + 8 * SECOND);
            busyUntil = time;
            drainedAt = time;
            pass(all, drainedAt + COUNTS_AS_TOLD + GRACE);
            assertTrue(all.stream().allMatch(Router::knows), "not told in time, seed " + seed + ": "
                    + all.stream().filter(r -> !r.knows()).count());
        }
    }
}
