package yewdock.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewdock.scenario.ScenarioFile;

/**
 * Simulates fourteen routers without any common state that send to the same sixty servers: limits that each
 * router keeps by itself must also hold for their sum.
 */
@Execution(ExecutionMode.CONCURRENT)
class ManyRoutersTest {
    private static Simulation simulation(long seed, Map<String, Object> overrides) throws Exception {
        return TestScenarios.simulation(
                ScenarioFile.read(Path.of("docs/studies/fleet.hcl"), overrides), seed);
    }

    /**
     * A slow-start budget that is counted by attempts sent grows with the backlog of an overloaded fleet;
     * with these seeds it overloaded cold servers.
     */
    @ParameterizedTest
    @ValueSource(longs = {6, 8, 10})
    void overloadedRoutersDoNotOverloadColdServers(long seed) throws Exception {
        Simulation simulation = simulation(seed, Map.of("day.load", 1.1));
        simulation.run();
        assertEquals(List.of(), simulation.ruleViolations());
    }

    @Test
    void fleetRunBreaksNoRuleAndIsReproducible() throws Exception {
        Simulation simulation = simulation(3, Map.of());
        String result = simulation.run().toString();
        assertEquals(List.of(), simulation.ruleViolations());
        assertEquals(0, simulation.requestCounts()[2]);
        assertEquals(result, simulation(3, Map.of()).run().toString());
    }
}
