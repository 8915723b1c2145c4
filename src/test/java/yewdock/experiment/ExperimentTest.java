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
import yewdock.model.TestScenarios;
import yewdock.settings.InvalidSettingsException;

/** Experiments give the same bytes on any number of threads and after an interruption. */
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

    private ExperimentPlan plan(String text) throws IOException, InvalidSettingsException {
        Files.writeString(folder.resolve("small.hcl"), TestScenarios.SMALL);
        Files.writeString(folder.resolve("plan.hcl"), text);
        return ExperimentPlan.read(folder.resolve("plan.hcl"));
    }

    private String[] run(String out, int threads) throws Exception {
        new Experiment(plan(PLAN), folder.resolve(out)).run(threads, n -> {
            // progress is not shown
        });
        String[] files = new String[4];
        int at = 0;
        for (String name : new String[] {"runs.csv", "summary.csv", "index.html", "service.svg"}) {
            files[at++] = Files.readString(folder.resolve(out).resolve(name));
        }
        return files;
    }

    @Test
    void writesTheSameBytesOnAnyNumberOfThreads() throws Exception {
        String[] one = run("one", 1);
        String[] four = run("four", 4);
        for (int i = 0; i < one.length; i++) {
            assertEquals(one[i], four[i]);
        }
        assertEquals(2 + 4 * 6, one[0].lines().count());
        assertTrue(one[2].contains("<svg") && one[2].contains("By policy"));
    }

    @Test
    void resumesFromATruncatedRunFile() throws Exception {
        String[] complete = run("whole", 2);
        Path out = folder.resolve("cut");
        Files.createDirectories(out);
        for (int fifths = 1; fifths <= 4; fifths++) {
            int cut = complete[0].length() * fifths / 5 + fifths;
            Files.writeString(out.resolve("runs.csv"), complete[0].substring(0, cut));
            AtomicInteger rerun = new AtomicInteger();
            Experiment experiment = new Experiment(plan(PLAN), out);
            int resumed = experiment.completedRuns();
            experiment.run(2, rerun::addAndGet);
            assertEquals(experiment.totalRuns(), resumed + rerun.get());
            assertTrue(resumed > 0 && rerun.get() > 0);
            assertEquals(complete[0], Files.readString(out.resolve("runs.csv")));
        }
    }

    @Test
    void rejectsRunsOfAnotherPlan() throws Exception {
        run("out", 2);
        ExperimentPlan other = plan(PLAN.replace("seeds = 6", "seeds = 7"));
        assertThrows(IOException.class, () -> new Experiment(other, folder.resolve("out")));
    }

    @Test
    void reportsPlanErrorsBeforeTheFirstRun() {
        for (String bad : new String[] {PLAN.replace("small.hcl", "none.hcl"),
            PLAN.replace("\"random\"", "\"randon\""), PLAN.replace("[4, 6]", "4"),
            PLAN.replace("y = \"hits\"", "y = \"hit\""),
            PLAN.replace("\"boxes.count\"", "\"boxes.cuont\"")}) {
            InvalidSettingsException e = assertThrows(InvalidSettingsException.class, () -> plan(bad));
            assertTrue(!e.errors().isEmpty());
        }
    }

    @Test
    void computesMedianIntervalsPairedTestsAndRankCorrelation() {
        double[] values = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};
        Statistics.Estimate e = Statistics.median(values);
        assertEquals(6.5, e.median());
        // of 12 values, the third and the tenth enclose the median with a probability of 96%
        assertEquals(3, e.low());
        assertEquals(10, e.high());
        double[] others = new double[12];
        for (int i = 0; i < 12; i++) {
            others[i] = values[11 - i];
        }
        assertTrue(Statistics.compare(others, values).p() > 0.5);
        for (int i = 0; i < 12; i++) {
            others[i] = values[i] + 0.1 + i * 0.001;
        }
        assertTrue(Statistics.compare(others, values).p() < 0.01);
        assertEquals(1, Statistics.spearman(new double[] {1, 2, 3}, new double[] {10, 20, 30}), 1e-12);
        assertEquals(-1, Statistics.spearman(new double[] {1, 2, 3}, new double[] {3, 2, 1}), 1e-12);
    }
}
