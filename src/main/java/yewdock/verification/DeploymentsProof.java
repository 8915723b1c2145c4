package yewdock.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.Consumer;
import yewdock.core.Counters;

/** Plays many drawn deployments, sums them up by what they allow, and plants faults for the judge to find. */
public final class DeploymentsProof {
    private final Consumer<String> say;

    public DeploymentsProof(Consumer<String> say) {
        this.say = say;
    }

    /** What deployments of one sort came to. */
    private static final class Sum {
        private int played;
        private int broken;
        private long taken;
        private long served;
        private long copies;
    }

    /** Plays seeds 1 to so many, and each fault over them until it is found; returns what went wrong. */
    public List<String> run(int seeds) {
        List<String> wrong = new ArrayList<>();
        TreeMap<String, Sum> sums = new TreeMap<>();
        for (long seed = 1; seed <= seeds; seed++) {
            DeploymentSim sim = new DeploymentSim(seed, DeploymentSim.Plant.NONE);
            List<String> broken = sim.run();
            DrawnDeployment deployment = DrawnDeployment.of(seed);
            Counters counters = sim.counters();
            Sum sum = sums.computeIfAbsent((deployment.settings().pullsEndpointList() ? "asked" : "pushed")
                    + ", "
                    + (deployment.settings().limits().allowsHedging() ? "copies" : "one try at a time"),
                    k -> new Sum());
            sum.played++;
            sum.broken += broken.isEmpty() ? 0 : 1;
            sum.taken += counters.get("requests.taken");
            sum.served += counters.get("answers.served");
            sum.copies += counters.get("tries.copies");
            for (String line : broken.subList(0, Math.min(3, broken.size()))) {
                wrong.add("seed " + seed + " (" + deployment.words() + "): " + line);
            }
        }
        say.accept("| deployments | played | with a broken rule | requests | served | copies |");
        say.accept("| --- | --- | --- | --- | --- | --- |");
        sums.forEach((name, s) -> say.accept(String.format(Locale.ROOT, "| %s | %d | %d | %d | %.3f | %d |",
                name, s.played, s.broken, s.taken,
                (double) s.served / Math.max(1, s.taken), s.copies)));
        for (DeploymentSim.Plant plant : DeploymentSim.Plant.values()) {
            if (plant != DeploymentSim.Plant.NONE) {
                long found = foundAt(plant, seeds);
                say.accept("planted " + plant + ": "
                        + (found > 0 ? "found at seed " + found : "NOT FOUND"));
                if (found == 0) {
                    wrong.add("the judge does not find " + plant);
                }
            }
        }
        return wrong;
    }

    /** The first seed at which the judge finds a planted fault; 0 if it finds it nowhere. */
    public static long foundAt(DeploymentSim.Plant plant, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            if (!new DeploymentSim(seed, plant).run().isEmpty()) {
                return seed;
            }
        }
        return 0;
    }
}
