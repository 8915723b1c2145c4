package yewdock.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Deployments that nobody has yet: the real desk and module keep the rules wherever settings may lead. */
class DeploymentsTest {
    private static final int SEEDS = 24;

    @Test
    void theRulesHoldInDeploymentsDrawnFromSeeds() {
        List<String> broken = new ArrayList<>();
        long served = 0;
        long copies = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            DeploymentSim sim = new DeploymentSim(seed, DeploymentSim.Plant.NONE);
            for (String line : sim.run()) {
                broken.add("seed " + seed + " (" + DrawnDeployment.of(seed).words() + "): " + line);
            }
            served += sim.counters().get("answers.served");
            copies += sim.counters().get("tries.copies");
        }
        assertEquals(List.of(), broken);
        assertTrue(served > SEEDS * 100 && copies > 0, served + " served, " + copies + " copies");
    }

    @Test
    void oneSeedGivesOneRun() {
        DeploymentSim one = new DeploymentSim(3, DeploymentSim.Plant.NONE);
        DeploymentSim other = new DeploymentSim(3, DeploymentSim.Plant.NONE);
        assertEquals(one.run(), other.run());
        assertEquals(one.counters().toString(), other.counters().toString());
    }

    @ParameterizedTest
    @EnumSource(value = DeploymentSim.Plant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void theJudgeFindsWhatIsPlanted(DeploymentSim.Plant plant) {
        assertTrue(DeploymentsProof.foundAt(plant, SEEDS) > 0);
    }
}
