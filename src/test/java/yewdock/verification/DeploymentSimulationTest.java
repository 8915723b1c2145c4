package yewdock.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs the real reducer and module in random deployments, to cover settings that no known deployment has. */
class DeploymentSimulationTest {
    private static final int SEEDS = 24;

    @Test
    void noViolationsInRandomDeployments() {
        List<String> violations = new ArrayList<>();
        long served = 0;
        long hedgedAttempts = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            DeploymentSimulation sim = new DeploymentSimulation(seed,
                    DeploymentSimulation.InjectedFault.NONE);
            for (String violation : sim.run()) {
                violations.add("seed " + seed + " ("
                        + RandomDeployment.fromSeed(seed).summary() + "): " + violation);
            }
            served += sim.counters().get("answers.served");
            hedgedAttempts += sim.counters().get("tries.copies");
        }
        assertEquals(List.of(), violations);
        assertTrue(served > SEEDS * 100 && hedgedAttempts > 0,
                served + " served, " + hedgedAttempts + " hedged attempts");
    }

    @Test
    void sameSeedGivesSameRun() {
        DeploymentSimulation first = new DeploymentSimulation(3, DeploymentSimulation.InjectedFault.NONE);
        DeploymentSimulation second = new DeploymentSimulation(3, DeploymentSimulation.InjectedFault.NONE);
        assertEquals(first.run(), second.run());
        assertEquals(first.counters().toString(), second.counters().toString());
    }

    @ParameterizedTest
    @EnumSource(value = DeploymentSimulation.InjectedFault.class, mode = EnumSource.Mode.EXCLUDE,
            names = "NONE")
    void detectsEachInjectedFault(DeploymentSimulation.InjectedFault fault) {
        assertTrue(DeploymentVerification.firstDetectingSeed(fault, SEEDS) > 0);
    }
}
