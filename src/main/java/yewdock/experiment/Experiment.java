package yewdock.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntConsumer;
import yewdock.model.Scenario;
import yewdock.model.Simulation;
import yewdock.settings.InvalidSettingsException;

/**
 * Executes an experiment plan: runs the simulations that the output folder doesn't hold yet, on several
 * threads, and writes the results as CSV tables, an HTML page and SVG plots.
 */
public final class Experiment {
    private final ExperimentPlan plan;
    private final Path folder;
    private final RunStore runs;

    /**
     * Opens an experiment and loads the completed runs of this plan from the folder.
     *
     * @throws IOException if the folder can't be read or holds runs of another plan
     */
    public Experiment(ExperimentPlan plan, Path folder) throws IOException {
        this.plan = plan;
        this.folder = folder;
        this.runs = new RunStore(plan, folder);
    }

    /** Number of runs in the plan: cells times seeds. */
    public int totalRuns() {
        return plan.cells().size() * plan.seeds().size();
    }

    /** Number of completed runs. */
    public int completedRuns() {
        return runs.all().size();
    }

    /**
     * Runs what is missing and writes all output files. Completed runs are kept if this is interrupted.
     *
     * @param ended called with 1 after each run, on a worker thread
     */
    public void run(int threads, IntConsumer onRunEnded) throws IOException, InvalidSettingsException {
        List<Scenario> scenarios = new ArrayList<>();
        for (var cell : plan.cells()) {
            scenarios.add(plan.scenario(cell));
        }
        ExecutorService pool = Executors.newFixedThreadPool(threads, task -> {
            Thread thread = new Thread(task, "experiment");
            thread.setDaemon(true);
            return thread;
        });
        try {
            List<Future<?>> pending = new ArrayList<>();
            // seed by seed, so that an interrupted experiment has runs of every cell
            for (long seed : plan.seeds()) {
                for (int cell = 0; cell < scenarios.size(); cell++) {
                    RunStore.RunKey key = new RunStore.RunKey(cell, seed);
                    Scenario scenario = scenarios.get(cell);
                    if (!runs.contains(key)) {
                        pending.add(pool.submit(() -> {
                            runs.add(key, Measures.of(Simulation.run(scenario, seed)));
                            onRunEnded.accept(1);
                        }));
                    }
                }
            }
            for (Future<?> future : pending) {
                future.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a run failed: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted; the completed runs are kept", e);
        } finally {
            pool.shutdownNow();
        }
        runs.writeAll();
        Files.writeString(folder.resolve("summary.csv"), new Summary(plan, runs).csv());
        HtmlReport report = new HtmlReport(plan, runs);
        Files.writeString(folder.resolve("index.html"), report.html());
        for (ExperimentPlan.Plot plot : plan.plots()) {
            Files.writeString(folder.resolve(HtmlReport.fileName(plot)), report.svg(plot));
        }
    }

    /** Formats the results of one measure as a Markdown table. */
    public String table(String measure) {
        return new Summary(plan, runs).table(measure);
    }
}
