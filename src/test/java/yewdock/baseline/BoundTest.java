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

/** What was published of consistent hashing with bounded loads, with one count over all traffic. */
class BoundTest {
    private static final long SECOND = 1_000_000;

    /** Sends are counted; nothing else is asked for. */
    private static final class Counting implements Routing.Actions {
        private final Map<Long, Integer> open = new HashMap<>();
        private long last;

        @Override
        public void send(long requestId, long replicaId, long timeout) {
            open.merge(replicaId, 1, Integer::sum);
            last = replicaId;
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
            // the test tells the list
        }

        @Override
        public void wakeAt(long time, int token) {
            // no time passes
        }

        @Override
        public void log(String line) {
            // not read
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

    private static List<Routing.ServerState> fleet(int boxes) {
        List<Routing.ServerState> list = new ArrayList<>();
        for (int i = 1; i <= boxes; i++) {
            list.add(new Routing.ServerState(i * 7919L, 0, 0, 0, 1, Routing.Lifecycle.READY, 0));
        }
        return list;
    }

    /**
     * Largest load with m requests open on n boxes is at most ceil((1+e) m / n), for every e and all the
     * time.
     */
    @Test
    void theLargestLoadStaysWithinTheBound() {
        for (String hash : Options.HASHES) {
            for (int factor : new int[] {105, 125, 200}) {
                for (int boxes : new int[] {1, 7, 100}) {
                    Counting counted = new Counting();
                    Routing.Events ring = Policies.make("bounded", new Options(factor, 64, hash, "ceil",
                            "requests"),
                            settings(), 1, counted, null);
                    ring.listReceived(0, Routing.ListKind.FULL, fleet(boxes));
                    SplittableRandom random = new SplittableRandom(factor * 31L + boxes);
                    List<long[]> out = new ArrayList<>();
                    int open = 0;
                    for (int i = 1; i <= 3000; i++) {
                        boolean ends = open > 0 && random.nextInt(5) < 2;
                        if (ends) {
                            long[] one = out.remove(random.nextInt(out.size()));
                            open--;
                            counted.open.merge(one[1], -1, Integer::sum);
                            ring.attemptEnded(i, one[0], 0, Routing.Outcome.OK, 1, true, 0, null);
                        } else {
                            // one key in three is the same: without the bound it would fill its box
                            long key = random.nextInt(3) == 0 ? 42 : 1 + random.nextInt(1000);
                            ring.requestArrived(i, new Routing.Request(i, 0, 0, false, 0, key, 100, 0, 10,
                                    SECOND));
                            open++;
                            out.add(new long[] {i, counted.last});
                            long most = ((long) factor * open + 100L * boxes - 1) / (100L * boxes);
                            assertTrue(counted.open.get(counted.last) <= most, hash + " " + factor + " "
                                    + boxes);
                        }
                    }
                }
            }
        }
    }

    /**
     * Without a bound one popular key lies on one box; with it the spill goes to the same next boxes each
     * time.
     */
    @Test
    void plainHashingHasHotSpotsAndBoundedSpillsInRingOrder() {
        Map<Boolean, Integer> most = new HashMap<>();
        for (boolean bounded : List.of(true, false)) {
            Counting counted = new Counting();
            Routing.Events ring = Policies.make(bounded ? "bounded" : "hash",
                    new Options(125, 64, "splitmix", "ceil", "requests"), settings(), 1, counted, null);
            ring.listReceived(0, Routing.ListKind.FULL, fleet(10));
            for (int i = 1; i <= 100; i++) {
                ring.requestArrived(i, new Routing.Request(i, 0, 0, false, 0, 42, 100, 0, 10, SECOND));
            }
            most.put(bounded, counted.open.values().stream().mapToInt(n -> n).max().orElse(0));
        }
        assertEquals(13, most.get(true));
        assertEquals(100, most.get(false));
    }

    /** When a box comes, about its part of the keys moves, and none between the others. */
    @Test
    void aNewBoxMovesOnlyItsPartOfTheKeys() {
        Map<Long, Long> before = homes(9);
        Map<Long, Long> after = homes(10);
        int moved = 0;
        for (long key : before.keySet()) {
            if (!before.get(key).equals(after.get(key))) {
                assertEquals(10 * 7919L, after.get(key));
                moved++;
            }
        }
        assertTrue(moved > 50 && moved < 160, "of 1000 keys " + moved);
    }

    private static Map<Long, Long> homes(int boxes) {
        Counting counted = new Counting();
        Routing.Events ring = Policies.make("hash", new Options(125, 64, "splitmix", "ceil", "requests"),
                settings(), 1,
                counted, null);
        ring.listReceived(0, Routing.ListKind.FULL, fleet(boxes));
        Map<Long, Long> homes = new HashMap<>();
        for (long key = 1; key <= 1000; key++) {
            ring.requestArrived(key, new Routing.Request(key, 0, 0, false, 0, key, 100, 0, 10, SECOND));
            homes.put(key, counted.last);
        }
        return homes;
    }
}
