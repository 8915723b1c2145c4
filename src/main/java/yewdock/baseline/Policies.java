package yewdock.baseline;

import java.util.List;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;

/** The routers that can be compared: the project's own module, and what the books have. */
public final class Policies {
    /** The project's own. */
    public static final String MODULE = "module";
    /** All names. */
    public static final List<String> NAMES = List.of(MODULE, "random", "round-robin", "least-open",
            "two-choices",
            "hash", "bounded", "reported", "sees-all");

    private Policies() {
    }

    /** Makes a router of this name; sight is for the one that sees all. */
    public static Routing.Events make(String name, Options options, Routing.Settings settings, long seed,
            Routing.Actions actions, Sight sight) {
        return switch (name) {
            case MODULE -> new BoundedLoadRouter(settings, seed, actions,
                    new Routing.Tuning(options.factor(), options.points(), Hashes.of(options.hash()),
                            options.rounding().equals("chance")));
            case "random" -> new Simple(settings, seed, actions, Simple.Way.RANDOM, sight);
            case "round-robin" -> new Simple(settings, seed, actions, Simple.Way.ROUND_ROBIN, sight);
            case "least-open" -> new Simple(settings, seed, actions, Simple.Way.LEAST_OPEN, sight);
            case "two-choices" -> new Simple(settings, seed, actions, Simple.Way.TWO_CHOICES, sight);
            case "reported" -> new Simple(settings, seed, actions, Simple.Way.REPORTED, sight);
            case "sees-all" -> new Simple(settings, seed, actions, Simple.Way.SEES_ALL, sight);
            case "hash" -> new Ring(settings, seed, actions, options, false);
            case "bounded" -> new Ring(settings, seed, actions, options, true);
            default -> throw new IllegalArgumentException("no policy " + name + "; there are " + NAMES);
        };
    }
}
