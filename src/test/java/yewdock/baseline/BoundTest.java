package yewdock.baseline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import umberspread.Routing;

/** Published properties of consistent hashing with bounded loads, for one policy that sees all traffic. */
class BoundTest {
    private static final long SECOND = 1_000_000;

    /** Counts the requests in flight on each server; any action but a send fails the test. */
    private static final class CountingActions implements Routing.Actions {
        private final Map<Long, Integer> inFlight = new HashMap<>();
        private long lastServer;

        @Override
        public void send(long requestId, long replicaId, long timeout) {
            inFlight.merge(replicaId, 1, Integer::sum);
            lastServer = replicaId;
        }

        @Override
        public void cancel(long requestId, int attempt) {
            throw new AssertionError();
        }

        @Override
        public void refuse(long requestId, long retryAfter) {
            throw new AssertionError();
        }

        @Override
        public void fail(long requestId) {
            throw new AssertionError();
        }

        @Override
        public void watchEndpointList() {
            // the test delivers the list itself
        }

        @Override
        public void wakeAt(long time, int token) {
            // the test needs no timers
        }

        @Override
        public void log(String line) {
            // the test ignores logs
        }
    }

    static Routing.Settings settings() {
        return new Routing.Settings(1, 0, 0,
                List.of(new Routing.RequestClass("c", Routing.RetrySafety.RETRYABLE,
                Routing.DedupGroup.ALL, 0, SECOND, 0, SECOND, 10 * SECOND, 1, 0, true,
                Routing.Placement.ANYWHERE)),
                List.of(), 1, false, new Routing.Limits(5, false, true, false, SECOND, 0),
                new Routing.Contract(SECOND, 0, 1, 3, SECOND, 10 * SECOND, Routing.AttemptBudget.NONE),
                new Routing.Prices(0, 0, 0, 0, 0));
    }

    private static List<Routing.ServerState> fleet(int servers) {
        List<Routing.ServerState> list = new ArrayList<>();
        for (int i = 1; i <= servers; i++) {
            list.add(new Routing.ServerState(i * 7919L, 0, 0, 0, 1, Routing.Lifecycle.READY, 0));
        }
        return list;
    }

    /** With m requests in flight on n servers no server ever has more than ceil((1+e) m / n), for every e. */
    @Test
    void largestLoadStaysWithinTheBound() {
        for (String hash : PolicyOptions.HASHES) {
            for (int factor : new int[] {105, 125, 200}) {
                for (int servers : new int[] {1, 7, 100}) {
                    CountingActions actions = new CountingActions();
                    Routing.Events ring = RoutingPolicies.create("bounded", new PolicyOptions(factor, 64,
                            hash, "ceil", "requests"), settings(), 1, actions, null);
                    ring.listReceived(0, Routing.ListKind.FULL, fleet(servers));
                    SplittableRandom random = new SplittableRandom(factor * 31L + servers);
                    List<long[]> running = new ArrayList<>();
                    int inFlight = 0;
                    for (int i = 1; i <= 3000; i++) {
                        boolean ends = inFlight > 0 && random.nextInt(5) < 2;
                        if (ends) {
                            long[] ended = running.remove(random.nextInt(running.size()));
                            inFlight--;
                            actions.inFlight.merge(ended[1], -1, Integer::sum);
                            ring.attemptEnded(i, ended[0], 0, Routing.Outcome.OK, 1, true, 0, null);
                        } else {
                            // a third share one key: without the bound they would overload its server
                            long key = random.nextInt(3) == 0 ? 42 : 1 + random.nextInt(1000);
                            ring.requestArrived(i, new Routing.Request(i, 0, 0, false, 0, key, 100, 0,
                                    10, SECOND));
                            inFlight++;
                            running.add(new long[] {i, actions.lastServer});
                            long maxInFlight = ((long) factor * inFlight + 100L * servers - 1)
                                    / (100L * servers);
                            assertTrue(actions.inFlight.get(actions.lastServer) <= maxInFlight,
                                    hash + " " + factor + " " + servers);
                        }
                    }
                }
            }
        }
    }

    /** Without a bound a popular key loads one server; with it, the excess spills to the next servers. */
    @Test
    void plainHashingHasHotSpotsAndBoundedHashingSpills() {
        Map<Boolean, Integer> maxInFlight = new HashMap<>();
        for (boolean bounded : List.of(true, false)) {
            CountingActions actions = new CountingActions();
            Routing.Events ring = RoutingPolicies.create(bounded ? "bounded" : "hash",
                    new PolicyOptions(125, 64, "splitmix", "ceil", "requests"), settings(), 1, actions, null);
            ring.listReceived(0, Routing.ListKind.FULL, fleet(10));
            for (int i = 1; i <= 100; i++) {
                ring.requestArrived(i, new Routing.Request(i, 0, 0, false, 0, 42, 100, 0, 10, SECOND));
            }
            maxInFlight.put(bounded, actions.inFlight.values().stream().mapToInt(n -> n).max().orElse(0));
        }
        assertEquals(13, maxInFlight.get(true));
        assertEquals(100, maxInFlight.get(false));
    }

    /** A new server takes about its share of the keys, and no key moves between the other servers. */
    @Test
    void newServerTakesOnlyItsShareOfTheKeys() {
        Map<Long, Long> before = serverByKey(9);
        Map<Long, Long> after = serverByKey(10);
        int moved = 0;
        for (long key : before.keySet()) {
            if (!before.get(key).equals(after.get(key))) {
                assertEquals(10 * 7919L, after.get(key));
                moved++;
            }
        }
        assertTrue(moved > 50 && moved < 160, "keys moved, of 1000: " + moved);
    }

    private static Map<Long, Long> serverByKey(int servers) {
        CountingActions actions = new CountingActions();
        Routing.Events ring = RoutingPolicies.create("hash", new PolicyOptions(125, 64, "splitmix", "ceil",
                "requests"), settings(), 1, actions, null);
        ring.listReceived(0, Routing.ListKind.FULL, fleet(servers));
        Map<Long, Long> serverByKey = new HashMap<>();
        for (long key = 1; key <= 1000; key++) {
            ring.requestArrived(key, new Routing.Request(key, 0, 0, false, 0, key, 100, 0, 10, SECOND));
            serverByKey.put(key, actions.lastServer);
        }
        return serverByKey;
    }
}
