package umberspread;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static umberspread.Fixture.SECOND;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import umberspread.Routing.Lifecycle;

/**
 * A cold replica gets the sum of what all gateways send, which can't talk: the ramp has to hold for all of
 * them together. Beyond the budget of N calls in a window only 2 x root of N + 2 are put down to chance.
 */
class ColdFleetTest {
    private static final long COLD = 1000;
    private static final int WARM = 40;
    private static final double RATE_PER_REPLICA = 3;
    private static final double USED = 0.6;
    private static final double FALL_MULTIPLE = 3;
    private static final long WINDOW = 2 * SECOND;
    private static final long COLD_FOR = 8 * SECOND;
    private static final long WATCHED = COLD_FOR;
    private static final long BEFORE = 12 * SECOND;
    private static final long STEP = SECOND / 100;
    private static final long SEEDS = 3;
    /** A third of what its share of the traffic, scaled to its warmth, comes to over all plays. */
    private static final int LEAST_SENT = 42;

    /** What becomes of most other replicas while this one warms up. */
    private enum Trouble { NONE, HANGS, FULL }

    /** Times at which the cold replica was sent something by all gateways, since its start. */
    private static List<Long> sent(int gateways, long seed, Trouble trouble, boolean planted) {
        List<Long> all = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        double[] part = new double[gateways];
        double sum = 0;
        for (int g = 0; g < gateways; g++) {
            part[g] = 0.2 + random.nextDouble() * random.nextDouble() * 4;
            sum += part[g];
        }
        for (int g = 0; g < gateways; g++) {
            double rate = RATE_PER_REPLICA * WARM * part[g] / sum;
            boolean restarted = random.nextInt(3) == 0;
            all.addAll(gateway(gateways, seed * 1000 + g, rate, restarted,
                    random.nextLong(3 * SECOND / 2), trouble, planted));
        }
        Collections.sort(all);
        return all;
    }

    /** One gateway's, which may have started a moment before it hears of the replica, late. */
    private static List<Long> gateway(int instances, long seed, double rate, boolean restarted, long late,
            Trouble trouble, boolean planted) {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = instances;
        setup.coldFor = COLD_FOR;
        if (planted) {
            setup.fallMultiple = FALL_MULTIPLE * instances;
            setup.coldFrom = 1;
        }
        Fixture f = new Fixture(setup.build(), seed);
        SplittableRandom random = new SplittableRandom(seed);
        long start = f.now + BEFORE;
        f.now = restarted ? start + late - SECOND / 10 : f.now;
        f.list(WARM);
        boolean told = false;
        List<long[]> out = new ArrayList<>();
        while (f.now < start + WATCHED) {
            f.pass(STEP);
            if (!told && f.now >= start + late) {
                told = true;
                f.change(Fixture.replica(COLD, 0, 4, Lifecycle.READY, start));
            }
            out.removeIf(o -> {
                boolean due = o[1] <= f.now;
                if (due) {
                    f.serve(o[0], (int) o[2]);
                }
                return due;
            });
            for (double want = rate * STEP / SECOND; random.nextDouble() < want; want--) {
                int before = f.sent.size();
                long id = f.arrive(random.nextLong(), random.nextLong(1, 150));
                for (int attempt = 0; f.sent.size() > before; attempt++) {
                    before = f.sent.size();
                    boolean troubled = f.now >= start && f.lastReplica() != COLD && f.lastReplica() % 10 < 7;
                    if (troubled && trouble == Trouble.FULL) {
                        f.end(id, attempt, Routing.Outcome.FULL, false);
                    } else if (!troubled || trouble != Trouble.HANGS) {
                        out.add(new long[] {id, f.now + SECOND / 10, attempt});
                    }
                }
            }
        }
        List<Long> sent = new ArrayList<>();
        f.sent.forEach(s -> {
            if (s.replica() == COLD) {
                sent.add(s.at() - start);
            }
        });
        return sent;
    }

    /** How far the fullest window is over what it may hold; negative where none is. */
    private static double over(List<Long> sent) {
        double worst = Double.NEGATIVE_INFINITY;
        int from = 0;
        for (int i = 0; i < sent.size(); i++) {
            while (sent.get(from) <= sent.get(i) - WINDOW) {
                from++;
            }
            double warmth = 0.2 + 0.8 * sent.get(i) / COLD_FOR;
            double budget = FALL_MULTIPLE * warmth * RATE_PER_REPLICA / USED * WINDOW / SECOND;
            worst = Math.max(worst, i - from + 1 - (budget + 2 * Math.sqrt(budget) + 2));
        }
        return worst;
    }

    /** Uneven traffic, a third of the gateways just restarted, lists late, most other replicas in trouble. */
    @Test
    void theRampHoldsForTheFleetWhateverItsSize() {
        for (int gateways : new int[] {1, 2, 5, 14, 30, 100}) {
            int sentInAll = 0;
            for (Trouble trouble : Trouble.values()) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    List<Long> sent = sent(gateways, seed, trouble, false);
                    sentInAll += sent.size();
                    assertTrue(over(sent) <= 0, gateways + " gateways, " + trouble + ", seed " + seed + ": "
                            + over(sent) + " over");
                }
            }
            assertTrue(sentInAll > LEAST_SENT, gateways + " gateways hardly use it: " + sentInAll);
        }
    }

    /** A fleet whose gateways each take the whole budget of a warm replica for their own is caught. */
    @Test
    void gatewaysThatEachTakeTheWholeBudgetAreCaught() {
        for (int gateways : new int[] {14, 30, 100}) {
            double worst = Double.NEGATIVE_INFINITY;
            for (Trouble trouble : Trouble.values()) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    worst = Math.max(worst, over(sent(gateways, seed, trouble, true)));
                }
            }
            assertTrue(worst > 0, gateways + " gateways fell it and nobody sees it: " + worst);
        }
    }
}
