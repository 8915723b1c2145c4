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
 * Slow start over many instances. A cold server gets the sum of what all instances send, and they don't
 * coordinate, so the limit must hold for all of them together. Above a budget of N attempts in a window,
 * up to 2 * sqrt(N) + 2 more are accepted as chance.
 */
class ColdFleetTest {
    private static final long COLD_SERVER = 1000;
    private static final int WARM_SERVERS = 40;
    private static final double RATE_PER_SERVER = 3;
    private static final double UTILISATION = 0.6;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final long WINDOW = 2 * SECOND;
    private static final long WARM_UP_TIME = 8 * SECOND;
    private static final long DURATION = WARM_UP_TIME;
    private static final long TIME_BEFORE_START = 12 * SECOND;
    private static final long STEP = SECOND / 100;
    private static final long SEEDS = 3;
    /** A third of its share of the traffic, scaled to its capacity while cold, summed over all runs. */
    private static final int MIN_SENT = 42;

    /** What happens to most other servers while this one warms up. */
    private enum Fault { NONE, HANGS, FULL }

    /** Returns the times, since its start, at which any instance sent an attempt to the cold server. */
    private static List<Long> sent(int instances, long seed, Fault fault, boolean defective) {
        List<Long> all = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        double[] weights = new double[instances];
        double sum = 0;
        for (int i = 0; i < instances; i++) {
            weights[i] = 0.2 + random.nextDouble() * random.nextDouble() * 4;
            sum += weights[i];
        }
        for (int i = 0; i < instances; i++) {
            double rate = RATE_PER_SERVER * WARM_SERVERS * weights[i] / sum;
            boolean restarted = random.nextInt(3) == 0;
            all.addAll(sentByInstance(instances, seed * 1000 + i, rate, restarted,
                    random.nextLong(3 * SECOND / 2), fault, defective));
        }
        Collections.sort(all);
        return all;
    }

    /**
     * Returns the times at which one instance sent attempts to the cold server.
     *
     * @param restarted whether the instance starts just before it learns of the server
     * @param listDelay time from the server's start until the instance learns of it
     * @param defective whether the instance uses the budget of a warm server for itself alone
     */
    private static List<Long> sentByInstance(int instances, long seed, double rate, boolean restarted,
            long listDelay, Fault fault, boolean defective) {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = instances;
        setup.warmUpTime = WARM_UP_TIME;
        if (defective) {
            setup.overloadMultiple = OVERLOAD_MULTIPLE * instances;
            setup.coldCapacityShare = 1;
        }
        Fixture f = new Fixture(setup.build(), seed);
        SplittableRandom random = new SplittableRandom(seed);
        long start = f.now + TIME_BEFORE_START;
        f.now = restarted ? start + listDelay - SECOND / 10 : f.now;
        f.listServers(WARM_SERVERS);
        boolean listed = false;
        List<long[]> inFlight = new ArrayList<>();
        while (f.now < start + DURATION) {
            f.advance(STEP);
            if (!listed && f.now >= start + listDelay) {
                listed = true;
                f.updateServer(Fixture.server(COLD_SERVER, 0, 4, Lifecycle.READY, start));
            }
            inFlight.removeIf(attempt -> {
                boolean due = attempt[1] <= f.now;
                if (due) {
                    f.serve(attempt[0], (int) attempt[2]);
                }
                return due;
            });
            for (double expected = rate * STEP / SECOND; random.nextDouble() < expected; expected--) {
                int before = f.sent.size();
                long id = f.arrive(random.nextLong(), random.nextLong(1, 150));
                for (int attempt = 0; f.sent.size() > before; attempt++) {
                    before = f.sent.size();
                    boolean faulty = f.now >= start
                            && f.lastServer() != COLD_SERVER && f.lastServer() % 10 < 7;
                    if (faulty && fault == Fault.FULL) {
                        f.endAttempt(id, attempt, Routing.Outcome.FULL, false);
                    } else if (!faulty || fault != Fault.HANGS) {
                        inFlight.add(new long[] {id, f.now + SECOND / 10, attempt});
                    }
                }
            }
        }
        List<Long> sent = new ArrayList<>();
        f.sent.forEach(s -> {
            if (s.server() == COLD_SERVER) {
                sent.add(s.at() - start);
            }
        });
        return sent;
    }

    /** Returns by how many attempts the fullest window exceeds its limit; negative if none does. */
    private static double excess(List<Long> sent) {
        double worst = Double.NEGATIVE_INFINITY;
        int from = 0;
        for (int i = 0; i < sent.size(); i++) {
            while (sent.get(from) <= sent.get(i) - WINDOW) {
                from++;
            }
            double capacityShare = 0.2 + 0.8 * sent.get(i) / WARM_UP_TIME;
            double budget = OVERLOAD_MULTIPLE * capacityShare * RATE_PER_SERVER / UTILISATION
                    * WINDOW / SECOND;
            worst = Math.max(worst, i - from + 1 - (budget + 2 * Math.sqrt(budget) + 2));
        }
        return worst;
    }

    /** Uneven traffic, a third of the instances just restarted, delayed lists, most other servers faulty. */
    @Test
    void slowStartLimitsTheLoadOfAllInstancesTogether() {
        for (int instances : new int[] {1, 2, 5, 14, 30, 100}) {
            int totalSent = 0;
            for (Fault fault : Fault.values()) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    List<Long> sent = sent(instances, seed, fault, false);
                    totalSent += sent.size();
                    assertTrue(excess(sent) <= 0, instances + " instances, " + fault + ", seed " + seed + ": "
                            + excess(sent) + " over");
                }
            }
            assertTrue(totalSent > MIN_SENT,
                    instances + " instances hardly use the cold server: " + totalSent);
        }
    }

    /** The check fails if each instance uses the whole budget of a warm server for itself. */
    @Test
    void instancesThatEachUseTheWholeBudgetAreDetected() {
        for (int instances : new int[] {14, 30, 100}) {
            double worst = Double.NEGATIVE_INFINITY;
            for (Fault fault : Fault.values()) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    worst = Math.max(worst, excess(sent(instances, seed, fault, true)));
                }
            }
            assertTrue(worst > 0, instances + " instances overload it undetected: " + worst);
        }
    }
}
