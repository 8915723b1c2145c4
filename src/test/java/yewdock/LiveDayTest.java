package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewdock.model.Days;
import yewdock.model.Scenario;
import yewdock.model.World;
import yewdock.verification.LiveProof;

/** A short calm day on sockets: the same asks as in the model, and all of them end. */
class LiveDayTest {
    @Test
    void aDayOnSocketsHasTheModelsAsksAndServesThem() throws Exception {
        Scenario calm = Days.small("day.seconds", 4.0, "day.load", 0.2, "boxes.count", 4.0);
        List<String> lines = new ArrayList<>();
        Map<String, LiveProof.Compared> compared = new LiveProof("yewdock.Main", lines::add).run(calm, 1);
        assertEquals(2, compared.size(), lines.toString());
        long asked = 0;
        for (String line : lines) {
            if (line.startsWith("| c")) {
                String[] cells = line.split("\\|");
                asked += cells[1].strip().equals("class") ? 0 : Long.parseLong(cells[2].strip());
            }
        }
        assertEquals(World.run(calm, 1).asks(), asked, lines.toString());
        // how quick it was depends on the machine; that it was served does not
        compared.values().forEach(c -> assertTrue(c.socketsInTime() > 0.5, lines.toString()));
    }
}
