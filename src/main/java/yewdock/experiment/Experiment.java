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
import yewdock.model.World;
import yewdock.settings.InvalidSettingsException;

/** Runs what a plan asks for that was not run yet, on several threads, and writes tables and a page. */
public final class Experiment {
    private final Plan plan;
    private final Path folder;
    private final Runs runs;

    /** Takes up what the folder already holds of this plan. */
    public Experiment(Plan plan, Path folder) throws IOException {
        this.plan = plan;
        this.folder = folder;
        this.runs = new Runs(plan, folder);
    }

    /** How many runs there are in all. */
    public int all() {
        return plan.cells().size() * plan.seeds().size();
    }

    /** How many are done. */
    public int done() {
        return runs.all().size();
    }

    /** Runs the rest; each run's end is told. What is done stays done if this is interrupted. */
    public void run(int threads, IntConsumer ended) throws IOException, InvalidSettingsException {
        List<Scenario> scenarios = new ArrayList<>();
        for (var cell : plan.cells()) {
            scenarios.add(plan.scenario(cell));
        }
        ExecutorService pool = Executors.newFixedThreadPool(threads, work -> {
            Thread thread = new Thread(work, "experiment");
            thread.setDaemon(true);
            return thread;
        });
        try {
            List<Future<?>> waiting = new ArrayList<>();
            // seed by seed, so that an interrupted experiment has something of every cell
            for (long seed : plan.seeds()) {
                for (int c = 0; c < scenarios.size(); c++) {
                    Runs.Key key = new Runs.Key(c, seed);
                    Scenario scenario = scenarios.get(c);
                    if (!runs.has(key)) {
                        waiting.add(pool.submit(() -> {
                            runs.add(key, Measures.of(World.run(scenario, seed)));
                            ended.accept(1);
                        }));
                    }
                }
            }
            for (Future<?> one : waiting) {
                one.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a run failed: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted; what is done is kept", e);
        } finally {
            pool.shutdownNow();
        }
        runs.writeAll();
        Files.writeString(folder.resolve("summary.csv"), new Summary(plan, runs).csv());
        Page page = new Page(plan, runs);
        Files.writeString(folder.resolve("index.html"), page.html());
        for (Plan.Plot plot : plan.plots()) {
            Files.writeString(folder.resolve(Page.fileName(plot)), page.svg(plot));
        }
    }

    /** The table of a measure, for a terminal. */
    public String table(String measure) {
        return new Summary(plan, runs).table(measure);
    }
}
