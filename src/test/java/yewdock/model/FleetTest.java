package yewdock.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewdock.scenario.ScenarioFile;

/** Fourteen routers that share nothing but sixty boxes: what each does alone adds up. */
class FleetTest {
    private static World play(long seed, Map<String, Object> instead) throws Exception {
        return Days.world(ScenarioFile.read(Path.of("docs/studies/fleet.hcl"), instead), seed);
    }

    /** Rations counted by what is sent grow with the jam: on these days they pushed cold boxes over. */
    @ParameterizedTest
    @ValueSource(longs = {6, 8, 10})
    void overloadedRoutersTogetherPushNoColdBoxOver(long seed) throws Exception {
        World world = play(seed, Map.of("day.load", 1.1));
        world.run();
        assertEquals(List.of(), world.broken());
    }

    @Test
    void aReleaseALostSiteAndManyNewBoxesBreakNoRuleAndOneSeedGivesOneDay() throws Exception {
        World world = play(3, Map.of());
        String result = world.run().toString();
        assertEquals(List.of(), world.broken());
        assertEquals(0, world.balance()[2]);
        assertEquals(result, play(3, Map.of()).run().toString());
    }
}
