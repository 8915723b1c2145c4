package yewdock.baseline;

import java.util.List;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;

/** The routing policies by name: the umberspread module and the textbook policies it is compared with. */
public final class RoutingPolicies {
    /** The name of the umberspread module. */
    public static final String MODULE = "module";
    /** The names of all policies. */
    public static final List<String> NAMES = List.of(MODULE, "random", "round-robin", "least-open",
            "two-choices", "hash", "bounded", "reported", "sees-all");

    private RoutingPolicies() {
    }

    /**
     * Creates the policy with this name. Only the policy "sees-all" uses trueState; the others accept null.
     */
    public static Routing.Events create(String name, PolicyOptions options, Routing.Settings settings,
            long seed, Routing.Actions actions, TrueServerState trueState) {
        return switch (name) {
            case MODULE -> new BoundedLoadRouter(settings, seed, actions,
                    new Routing.Tuning(options.loadFactorPercent(), options.virtualNodes(),
                            HashFunctions.byName(options.hash()),
                            options.rounding().equals("chance")));
            case "random" -> new LoadPolicy(settings, seed, actions, LoadPolicy.Strategy.RANDOM, trueState);
            case "round-robin" -> new LoadPolicy(settings, seed, actions,
                    LoadPolicy.Strategy.ROUND_ROBIN, trueState);
            case "least-open" -> new LoadPolicy(settings, seed, actions,
                    LoadPolicy.Strategy.LEAST_OPEN, trueState);
            case "two-choices" -> new LoadPolicy(settings, seed, actions,
                    LoadPolicy.Strategy.TWO_CHOICES, trueState);
            case "reported" -> new LoadPolicy(settings, seed, actions,
                    LoadPolicy.Strategy.REPORTED, trueState);
            case "sees-all" -> new LoadPolicy(settings, seed, actions,
                    LoadPolicy.Strategy.SEES_ALL, trueState);
            case "hash" -> new ConsistentHashPolicy(settings, seed, actions, options, false);
            case "bounded" -> new ConsistentHashPolicy(settings, seed, actions, options, true);
            default -> throw new IllegalArgumentException(
                    "unknown policy " + name + "; the policies are " + NAMES);
        };
    }
}
