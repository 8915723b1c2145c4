package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewdock.model.Scenario;
import yewdock.model.Simulation;
import yewdock.model.TestScenarios;
import yewdock.verification.LiveComparison;

/** A short scenario at low load over real sockets: the same requests as in the model, and they are served. */
class LiveScenarioTest {
    @Test
    void socketRunSendsAndServesTheModelsRequests() throws Exception {
        Scenario lowLoad = TestScenarios.small("day.seconds", 4.0, "day.load", 0.2, "boxes.count", 4.0);
        List<String> lines = new ArrayList<>();
        Map<String, LiveComparison.ClassComparison> compared = new LiveComparison("yewdock.Main",
                lines::add).run(lowLoad, 1);
        assertEquals(2, compared.size(), lines.toString());
        long requests = 0;
        for (String line : lines) {
            if (line.startsWith("| c")) {
                String[] cells = line.split("\\|");
                requests += cells[1].strip().equals("class") ? 0 : Long.parseLong(cells[2].strip());
            }
        }
        assertEquals(Simulation.run(lowLoad, 1).requests(), requests, lines.toString());
        // latency depends on the machine, so only half of the requests need to meet their targets
        compared.values().forEach(c -> assertTrue(c.socketsInTime() > 0.5, lines.toString()));
    }
}
