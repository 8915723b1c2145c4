package yewdock.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewdock.model.Days;
import yewdock.settings.InvalidSettingsException;

/** Grids of runs: the same bytes whatever the threads, and after an interruption. */
class ExperimentTest {
    private static final String PLAN = """
            experiment {
              title = "Two and two"
              scenario = "small.hcl"
              seeds = 6
              set {
                "day.seconds" = 6
              }
              vary {
                "routers.policy" = ["module", "random"]
                "boxes.count" = [4, 6]
              }
              plot "Service" {
                y = "service"
                x = "boxes.count"
                by = "routers.policy"
              }
              plot "By policy" {
                y = "hits"
                x = "routers.policy"
              }
            }
            """;

    @TempDir
    private Path folder;

    private Plan plan(String text) throws IOException, InvalidSettingsException {
        Files.writeString(folder.resolve("small.hcl"), Days.SMALL);
        Files.writeString(folder.resolve("plan.hcl"), text);
        return Plan.read(folder.resolve("plan.hcl"));
    }

    private String[] run(String out, int threads) throws Exception {
        new Experiment(plan(PLAN), folder.resolve(out)).run(threads, n -> {
            // not shown
        });
        String[] files = new String[4];
        int at = 0;
        for (String name : new String[] {"runs.csv", "summary.csv", "index.html", "service.svg"}) {
            files[at++] = Files.readString(folder.resolve(out).resolve(name));
        }
        return files;
    }

    @Test
    void sameBytesOnAnyNumberOfThreads() throws Exception {
        String[] one = run("one", 1);
        String[] four = run("four", 4);
        for (int i = 0; i < one.length; i++) {
            assertEquals(one[i], four[i]);
        }
        assertEquals(2 + 4 * 6, one[0].lines().count());
        assertTrue(one[2].contains("<svg") && one[2].contains("By policy"));
    }

    @Test
    void goesOnAfterAnInterruptionAtAnyByte() throws Exception {
        String[] whole = run("whole", 2);
        Path out = folder.resolve("cut");
        Files.createDirectories(out);
        for (int part = 1; part <= 4; part++) {
            int cut = whole[0].length() * part / 5 + part;
            Files.writeString(out.resolve("runs.csv"), whole[0].substring(0, cut));
            AtomicInteger again = new AtomicInteger();
            Experiment experiment = new Experiment(plan(PLAN), out);
            int had = experiment.done();
            experiment.run(2, again::addAndGet);
            assertEquals(experiment.all(), had + again.get());
            assertTrue(had > 0 && again.get() > 0);
            assertEquals(whole[0], Files.readString(out.resolve("runs.csv")));
        }
    }

    @Test
    void runsOfAnotherPlanAreRefused() throws Exception {
        run("out", 2);
        Plan other = plan(PLAN.replace("seeds = 6", "seeds = 7"));
        assertThrows(IOException.class, () -> new Experiment(other, folder.resolve("out")));
    }

    @Test
    void mistakesShowBeforeTheFirstRun() {
        for (String bad : new String[] {PLAN.replace("small.hcl", "none.hcl"),
            PLAN.replace("\"random\"", "\"randon\""), PLAN.replace("[4, 6]", "4"),
            PLAN.replace("y = \"hits\"",
                    "y = \"hit\""), PLAN.replace("\"boxes.count\"", "\"boxes.cuont\"")}) {
            InvalidSettingsException e = assertThrows(InvalidSettingsException.class, () -> plan(bad));
            assertTrue(!e.errors().isEmpty());
        }
    }

    @Test
    void intervalsHoldTheMedianAndDifferencesArePaired() {
        double[] values = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};
        Statistics.Estimate e = Statistics.median(values);
        assertEquals(6.5, e.median());
        // of 12 values the third and the tenth: 96 of 100
        assertEquals(3, e.low());
        assertEquals(10, e.high());
        double[] more = new double[12];
        for (int i = 0; i < 12; i++) {
            more[i] = values[11 - i];
        }
        assertTrue(Statistics.paired(more, values).p() > 0.5);
        for (int i = 0; i < 12; i++) {
            more[i] = values[i] + 0.1 + i * 0.001;
        }
        assertTrue(Statistics.paired(more, values).p() < 0.01);
        assertEquals(1, Statistics.spearman(new double[] {1, 2, 3}, new double[] {10, 20, 30}), 1e-12);
        assertEquals(-1, Statistics.spearman(new double[] {1, 2, 3}, new double[] {3, 2, 1}), 1e-12);
    }
}
