package yewdock.verification;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import umberspread.Routing;
import yewdock.core.CoreSettings;

/**
 * A deployment drawn from a seed, with ranges wider than those of any known deployment: its settings,
 * servers, load and faults. Times are in microseconds.
 *
 * @param settings the settings of the module
 * @param keepaliveMicros how long server connections may be idle
 * @param serverCount number of servers at the start
 * @param requestsPerSecond request rate of all clients together
 * @param faultCount number of faults of servers and discovery in a run
 */
public record RandomDeployment(Routing.Settings settings, long keepaliveMicros, int serverCount,
        double requestsPerSecond, int faultCount) {
    /** One second, in microseconds. */
    private static final long SECOND = 1_000_000;

    /** Draws the deployment of a seed. */
    public static RandomDeployment fromSeed(long seed) {
        SplittableRandom random = new SplittableRandom(seed * 7919 + 17);
        int maxZones = 1 + random.nextInt(4);
        boolean pushed = random.nextBoolean();
        List<Routing.RequestClass> classes = new ArrayList<>();
        int classCount = 1 + random.nextInt(3);
        for (int i = 0; i < classCount; i++) {
            // most classes may be retried freely; some must not run twice
            Routing.RetrySafety retrySafety = random.nextInt(4) > 0 ? Routing.RetrySafety.RETRYABLE
                    : random.nextBoolean() ? Routing.RetrySafety.FRAGILE : Routing.RetrySafety.DEDUP;
            long firstTokenTarget = SECOND / 5 + random.nextLong(2 * SECOND);
            classes.add(new Routing.RequestClass("class-" + i, retrySafety, Routing.DedupGroup.ALL,
                    5 * SECOND, firstTokenTarget, random.nextLong(60_000), 60_000,
                    firstTokenTarget + SECOND / 2 + random.nextLong(4 * SECOND),
                    1 + random.nextInt(5), random.nextBoolean() ? 0 : random.nextDouble() / 2, true,
                    Routing.Placement.ANYWHERE));
        }
        List<Routing.Tenant> tenants = new ArrayList<>();
        for (int i = random.nextInt(3); i > 0; i--) {
            tenants.add(new Routing.Tenant("tenant-" + i, 1 + random.nextInt(30)));
        }
        Routing.AttemptBudget budget = random.nextInt(3) > 0 ? Routing.AttemptBudget.NONE
                : new Routing.AttemptBudget(1 + random.nextInt(4), random.nextDouble() / 2,
                SECOND + random.nextLong(5 * SECOND));
        Routing.Limits limits = new Routing.Limits(2 + random.nextInt(5), random.nextBoolean(),
                random.nextInt(4) > 0, random.nextBoolean(), SECOND / 5 + random.nextLong(SECOND / 5),
                random.nextBoolean() ? 0 : 2 * SECOND);
        Routing.Contract contract = new Routing.Contract(SECOND / 10 + random.nextLong(19 * SECOND / 10),
                3 * SECOND + random.nextLong(6 * SECOND), 0.2 + random.nextDouble() * 0.4, 3,
                SECOND + random.nextLong(SECOND), 10 * SECOND, budget);
        Routing.Settings settings = new Routing.Settings(1 + random.nextInt(4), 0, random.nextInt(maxZones),
                classes,
                tenants, random.nextDouble(), !pushed, limits, contract, new Routing.Prices(0, 0, 0, 0, 0));
        return new RandomDeployment(settings, 3 * SECOND + random.nextLong(30 * SECOND),
                4 + random.nextInt(9), 10 + random.nextInt(40), 3 + random.nextInt(5));
    }

    /** The settings of the reducer. */
    CoreSettings coreSettings() {
        return CoreSettings.of(settings, keepaliveMicros);
    }

    /** Number of zones; the router is in the last one. */
    int zoneCount() {
        return settings.zone() + 1;
    }

    /** Whether two attempts of a request of this class may be in flight together. */
    boolean allowsHedging(int requestClass) {
        return settings.limits().allowsHedging()
                && settings.classes().get(requestClass).retrySafety() != Routing.RetrySafety.FRAGILE;
    }

    /** What its settings allow, in a few words. */
    public String summary() {
        Set<String> words = new LinkedHashSet<>();
        words.add(settings.pullsEndpointList() ? "pull" : "push");
        words.add(settings.limits().allowsHedging() ? "hedging" : "no hedging");
        words.add(settings.limits().allowsCancelling() ? "cancelling" : "no cancelling");
        words.add(settings.limits().maxAttempts() + " attempts");
        words.add("grace " + settings.contract().drainGrace() / 1000 + " ms");
        return String.join(", ", words);
    }
}
