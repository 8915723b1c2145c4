package yewdock.verification;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import umberspread.Routing;
import yewdock.core.CoreSettings;

/**
 * A deployment drawn from a seed, from ranges wider than any known one: what its settings allow, its boxes
 * and how much is asked. Times are microseconds.
 *
 * @param settings what the module is told
 * @param keepalive how long connections to boxes may rest
 * @param boxes how many boxes it begins with
 * @param perSecond requests a second
 * @param troubles how many troubles come over its boxes and its list
 */
public record DrawnDeployment(Routing.Settings settings, long keepalive, int boxes, double perSecond,
        int troubles) {
    private static final long SECOND = 1_000_000;

    /** The deployment of a seed. */
    public static DrawnDeployment of(long seed) {
        SplittableRandom r = new SplittableRandom(seed * 7919 + 17);
        int sites = 1 + r.nextInt(4);
        boolean pushed = r.nextBoolean();
        List<Routing.RequestClass> classes = new ArrayList<>();
        int many = 1 + r.nextInt(3);
        for (int i = 0; i < many; i++) {
            // most deployments may repeat all that they serve; some have a class that must not run twice
            Routing.RetrySafety effect = r.nextInt(4) > 0 ? Routing.RetrySafety.RETRYABLE
                    : r.nextBoolean() ? Routing.RetrySafety.FRAGILE : Routing.RetrySafety.DEDUP;
            long aim = SECOND / 5 + r.nextLong(2 * SECOND);
            classes.add(new Routing.RequestClass("class-" + i, effect, Routing.DedupGroup.ALL, 5 * SECOND,
                    aim, r.nextLong(60_000), 60_000, aim + SECOND / 2 + r.nextLong(4 * SECOND),
                    1 + r.nextInt(5), r.nextBoolean() ? 0 : r.nextDouble() / 2, true,
                    Routing.Placement.ANYWHERE));
        }
        List<Routing.Tenant> tenants = new ArrayList<>();
        for (int i = r.nextInt(3); i > 0; i--) {
            tenants.add(new Routing.Tenant("tenant-" + i, 1 + r.nextInt(30)));
        }
        Routing.AttemptBudget budget = r.nextInt(3) > 0 ? Routing.AttemptBudget.NONE
                : new Routing.AttemptBudget(1 + r.nextInt(4), r.nextDouble() / 2,
                SECOND + r.nextLong(5 * SECOND));
        Routing.Limits limits = new Routing.Limits(2 + r.nextInt(5), r.nextBoolean(), r.nextInt(4) > 0,
                r.nextBoolean(), SECOND / 5 + r.nextLong(SECOND / 5), r.nextBoolean() ? 0 : 2 * SECOND);
        Routing.Contract contract = new Routing.Contract(SECOND / 10 + r.nextLong(19 * SECOND / 10),
                3 * SECOND + r.nextLong(6 * SECOND), 0.2 + r.nextDouble() * 0.4, 3,
                SECOND + r.nextLong(SECOND), 10 * SECOND, budget);
        Routing.Settings settings = new Routing.Settings(1 + r.nextInt(4), 0, r.nextInt(sites), classes,
                tenants, r.nextDouble(), !pushed, limits, contract, new Routing.Prices(0, 0, 0, 0, 0));
        return new DrawnDeployment(settings, 3 * SECOND + r.nextLong(30 * SECOND), 4 + r.nextInt(9),
                10 + r.nextInt(40), 3 + r.nextInt(5));
    }

    /** What the desk is told of it. */
    CoreSettings terms() {
        return CoreSettings.of(settings, keepalive);
    }

    int sites() {
        return settings.zone() + 1;
    }

    /** Whether two tries of a request of this class may be out together. */
    boolean mayCopy(int requestClass) {
        return settings.limits().allowsHedging()
                && settings.classes().get(requestClass).retrySafety() != Routing.RetrySafety.FRAGILE;
    }

    /** What it allows, in a few words. */
    public String words() {
        Set<String> words = new LinkedHashSet<>();
        words.add(settings.pullsEndpointList() ? "asked" : "pushed");
        words.add(settings.limits().allowsHedging() ? "copies" : "no copies");
        words.add(settings.limits().allowsCancelling() ? "cancels" : "no cancels");
        words.add(settings.limits().maxAttempts() + " tries");
        words.add("grace " + settings.contract().drainGrace() / 1000 + " ms");
        return String.join(", ", words);
    }
}
