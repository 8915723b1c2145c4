package yewdock.experiment;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewdock.model.Scenario;
import yewdock.scenario.ScenarioFile;
import yewdock.settings.InvalidSettingsException;
import yewdock.settings.Section;

/**
 * An experiment plan, read from HCL: a scenario, settings common to all runs, a grid of varied settings,
 * seeds and plots. Every cell of the grid is simulated with the same seeds, so that results can be paired.
 *
 * @param cells the settings of each cell; the first cell is the one that others are compared with
 * @param variedKeys the setting keys that vary, in the order of the file
 * @param fingerprint a hash of the plan, the scenario and the names of the measures
 */
public record ExperimentPlan(String title, String scenarioText, String scenarioName, List<Long> seeds,
        List<Map<String, Object>> cells, List<String> variedKeys, List<Plot> plots, String fingerprint) {
    private static final int MAX_CELLS = 10_000;
    private static final int MAX_SEEDS = 10_000;

    /**
     * A plot of a measure (y) over a varied key (x).
     *
     * @param by the varied key with one series for each value; empty for a single series
     */
    public record Plot(String title, String y, String x, String by, boolean logX, boolean logY) {
    }

    /** Copies the lists. */
    public ExperimentPlan {
        seeds = List.copyOf(seeds);
        cells = List.copyOf(cells);
        variedKeys = List.copyOf(variedKeys);
        plots = List.copyOf(plots);
    }

    /**
     * Reads a plan and the scenario file that it names in the same folder.
     *
     * @throws InvalidSettingsException with one line for each error
     */
    public static ExperimentPlan read(Path file) throws IOException, InvalidSettingsException {
        String text = Files.readString(file);
        List<String> errors = new ArrayList<>();
        Section root = Section.read(file.toString(), text, errors);
        Section experiment = root.section("experiment");
        String title = experiment.string("title", file.getFileName().toString());
        String name = experiment.string("scenario", "");
        int firstSeed = experiment.integer("first_seed", 1, 0, 1_000_000_000);
        int seedCount = experiment.integer("seeds", 12, 1, MAX_SEEDS);
        Map<String, Object> set = experiment.section("set").allValues();
        Map<String, List<Object>> vary = new LinkedHashMap<>();
        Section varied = experiment.section("vary");
        varied.allValues().forEach((key, values) -> {
            if (values instanceof List<?> list && !list.isEmpty()) {
                vary.put(key, List.copyOf(list));
            } else {
                varied.addError(key, "must be a list of values, not " + values);
            }
        });
        List<Plot> plots = new ArrayList<>();
        experiment.sections("plot").forEach((label, plot) -> {
            plots.add(new Plot(label, plot.oneOf("y", Measures.NAMES.get(0), Measures.NAMES),
                    plot.oneOf("x", vary.isEmpty() ? "" : vary.keySet().iterator().next(),
                    List.copyOf(vary.keySet())),
                    plot.string("by", ""), plot.bool("log_x", false), plot.bool("log_y", false)));
            plot.rejectUnknownKeys();
        });
        experiment.rejectUnknownKeys();
        root.rejectUnknownKeys();
        Path scenario = file.resolveSibling(name);
        if (name.isEmpty() || !Files.isReadable(scenario)) {
            experiment.addError("scenario",
                    "must name a readable file in the same folder, not \"" + name + "\"");
        }
        if (!errors.isEmpty()) {
            throw new InvalidSettingsException(errors);
        }
        String scenarioText = Files.readString(scenario);
        List<Map<String, Object>> cells = grid(set, vary);
        if (cells.size() > MAX_CELLS) {
            throw new InvalidSettingsException(List.of(file + ": " + cells.size() + " cells, at most "
                    + MAX_CELLS));
        }
        List<Long> seeds = new ArrayList<>();
        for (int i = 0; i < seedCount; i++) {
            seeds.add((long) firstSeed + i);
        }
        ExperimentPlan plan = new ExperimentPlan(title, scenarioText, scenario.toString(), seeds, cells,
                List.copyOf(vary.keySet()), plots, fingerprint(text, scenarioText));
        // an error in a cell is reported before the first run, not when its turn comes
        for (Map<String, Object> cell : plan.cells()) {
            plan.scenario(cell);
        }
        return plan;
    }

    private static String fingerprint(String text, String scenario) {
        return Long.toHexString(Hashing.xxh3_64().hashBytesToLong((text + "\0" + scenario + "\0"
                + Measures.NAMES).getBytes(StandardCharsets.UTF_8)));
    }

    private static List<Map<String, Object>> grid(Map<String, Object> set, Map<String, List<Object>> vary) {
        List<Map<String, Object>> cells = new ArrayList<>();
        cells.add(Collections.unmodifiableMap(new LinkedHashMap<>(set)));
        for (Map.Entry<String, List<Object>> key : vary.entrySet()) {
            List<Map<String, Object>> extended = new ArrayList<>();
            for (Map<String, Object> cell : cells) {
                for (Object value : key.getValue()) {
                    Map<String, Object> next = new LinkedHashMap<>(cell);
                    next.put(key.getKey(), value);
                    extended.add(Collections.unmodifiableMap(next));
                }
            }
            cells = extended;
        }
        return cells;
    }

    /** Parses the scenario with the settings of a cell applied. */
    public Scenario scenario(Map<String, Object> cell) throws InvalidSettingsException {
        return ScenarioFile.parse(scenarioName, scenarioText, cell);
    }

    /** Formats a value for tables and CSV: whole numbers without a fraction. */
    static String format(Object value) {
        if (value instanceof Number n && n.doubleValue() == Math.rint(n.doubleValue())
                && Math.abs(n.doubleValue()) < 1e15) {
            return Long.toString(n.longValue());
        }
        return String.valueOf(value);
    }

    /** The formatted values of the varied keys in a cell. */
    List<String> labels(Map<String, Object> cell) {
        return variedKeys.stream().map(v -> format(cell.get(v))).toList();
    }
}
