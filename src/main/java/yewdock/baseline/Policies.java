package yewdock.baseline;

import java.util.List;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;

/** The routing policies by name: the umberspread module and the textbook policies it is compared with. */
public final class Policies {
    /** The name of the umberspread module. */
    public static final String MODULE = "module";
    /** The names of all policies. */
    public static final List<String> NAMES = List.of(MODULE, "random", "round-robin", "least-open",
            "two-choices", "hash", "bounded", "reported", "sees-all");

    private Policies() {
    }

    /**
     * Creates the policy with this name. Only the policy "sees-all" uses sight; the others accept null.
     */
    public static Routing.Events make(String name, Options options, Routing.Settings settings, long seed,
            Routing.Actions actions, Sight sight) {
        return switch (name) {
            case MODULE -> new BoundedLoadRouter(settings, seed, actions,
                    new Routing.Tuning(options.factor(), options.points(),
                            HashFunctions.byName(options.hash()),
                            options.rounding().equals("chance")));
            case "random" -> new LoadPolicy(settings, seed, actions, LoadPolicy.Strategy.RANDOM, sight);
            case "round-robin" -> new LoadPolicy(settings, seed, actions, LoadPolicy.Strategy.ROUND_ROBIN,
                    sight);
            case "least-open" -> new LoadPolicy(settings, seed, actions, LoadPolicy.Strategy.LEAST_OPEN,
                    sight);
            case "two-choices" -> new LoadPolicy(settings, seed, actions, LoadPolicy.Strategy.TWO_CHOICES,
                    sight);
            case "reported" -> new LoadPolicy(settings, seed, actions, LoadPolicy.Strategy.REPORTED, sight);
            case "sees-all" -> new LoadPolicy(settings, seed, actions, LoadPolicy.Strategy.SEES_ALL, sight);
            case "hash" -> new ConsistentHashPolicy(settings, seed, actions, options, false);
            case "bounded" -> new ConsistentHashPolicy(settings, seed, actions, options, true);
            default -> throw new IllegalArgumentException(
                    "unknown policy " + name + "; the policies are " + NAMES);
        };
    }
}
