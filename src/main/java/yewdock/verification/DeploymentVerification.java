package yewdock.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.Consumer;
import yewdock.core.Counters;

/**
 * Runs many random deployments and reports the sums by what their settings allow. Also injects each kind of
 * fault to verify that the checks detect it.
 */
public final class DeploymentVerification {
    private final Consumer<String> output;

    /** Takes the consumer of the report lines. */
    public DeploymentVerification(Consumer<String> output) {
        this.output = output;
    }

    /** The sums over deployments of one kind. */
    private static final class Totals {
        private int runs;
        private int runsWithViolations;
        private long accepted;
        private long served;
        private long hedgedAttempts;
    }

    /**
     * Runs seeds 1 to {@code seeds}, then each fault over the same seeds until it is detected.
     *
     * @return the violations, and the faults that were not detected
     */
    public List<String> run(int seeds) {
        List<String> problems = new ArrayList<>();
        TreeMap<String, Totals> totalsByKind = new TreeMap<>();
        for (long seed = 1; seed <= seeds; seed++) {
            DeploymentSimulation sim = new DeploymentSimulation(seed,
                    DeploymentSimulation.InjectedFault.NONE);
            List<String> violations = sim.run();
            RandomDeployment deployment = RandomDeployment.fromSeed(seed);
            Counters counters = sim.counters();
            Totals totals = totalsByKind.computeIfAbsent(
                    (deployment.settings().pullsEndpointList() ? "pull" : "push")
                    + ", " + (deployment.settings().limits().allowsHedging() ? "hedging" : "no hedging"),
                    k -> new Totals());
            totals.runs++;
            totals.runsWithViolations += violations.isEmpty() ? 0 : 1;
            totals.accepted += counters.get("requests.taken");
            totals.served += counters.get("answers.served");
            totals.hedgedAttempts += counters.get("tries.copies");
            for (String violation : violations.subList(0, Math.min(3, violations.size()))) {
                problems.add("seed " + seed + " (" + deployment.summary() + "): " + violation);
            }
        }
        output.accept("| deployments | runs | runs with violations | requests | served | hedged attempts |");
        output.accept("| --- | --- | --- | --- | --- | --- |");
        totalsByKind.forEach((kind, sum) -> output.accept(String.format(Locale.ROOT,
                "| %s | %d | %d | %d | %.3f | %d |", kind, sum.runs, sum.runsWithViolations, sum.accepted,
                (double) sum.served / Math.max(1, sum.accepted), sum.hedgedAttempts)));
        for (DeploymentSimulation.InjectedFault fault : DeploymentSimulation.InjectedFault.values()) {
            if (fault != DeploymentSimulation.InjectedFault.NONE) {
                long detectedAt = firstDetectingSeed(fault, seeds);
                output.accept("injected " + fault + ": "
                        + (detectedAt > 0 ? "detected at seed " + detectedAt : "NOT DETECTED"));
                if (detectedAt == 0) {
                    problems.add("the checks do not detect " + fault);
                }
            }
        }
        return problems;
    }

    /** The first seed at which the checks detect an injected fault, or 0 if none does. */
    public static long firstDetectingSeed(DeploymentSimulation.InjectedFault fault, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            if (!new DeploymentSimulation(seed, fault).run().isEmpty()) {
                return seed;
            }
        }
        return 0;
    }
}
