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
 * An experiment, read from HCL: a scenario, what is set for all of it, a grid of what varies, seeds and
 * plots.
 * Every cell of the grid plays the same days.
 */
public record Plan(String title, String scenarioText, String scenarioName, List<Long> seeds,
        List<Map<String, Object>> cells, List<String> varied, List<Plot> plots, String mark) {
    private static final int MOST_CELLS = 10_000;
    private static final int MOST_SEEDS = 10_000;

    /** A plot: a measure over a varied key, a line for each value of another key (empty: one line). */
    public record Plot(String title, String y, String x, String by, boolean logX, boolean logY) {
    }

    public Plan {
        seeds = List.copyOf(seeds);
        cells = List.copyOf(cells);
        varied = List.copyOf(varied);
        plots = List.copyOf(plots);
    }

    /** Reads a file and the scenario that it names, beside it; throws with one line for each mistake. */
    public static Plan read(Path file) throws IOException, InvalidSettingsException {
        String text = Files.readString(file);
        List<String> mistakes = new ArrayList<>();
        Section all = Section.read(file.toString(), text, mistakes);
        Section e = all.section("experiment");
        String title = e.string("title", file.getFileName().toString());
        String name = e.string("scenario", "");
        int first = e.integer("first_seed", 1, 0, 1_000_000_000);
        int count = e.integer("seeds", 12, 1, MOST_SEEDS);
        Map<String, Object> set = e.section("set").allValues();
        Map<String, List<Object>> vary = new LinkedHashMap<>();
        Section varied = e.section("vary");
        varied.allValues().forEach((key, values) -> {
            if (values instanceof List<?> list && !list.isEmpty()) {
                vary.put(key, List.copyOf(list));
            } else {
                varied.addError(key, "a list of values, not " + values);
            }
        });
        List<Plot> plots = new ArrayList<>();
        e.sections("plot").forEach((label, p) -> {
            plots.add(new Plot(label, p.oneOf("y", Measures.NAMES.get(0), Measures.NAMES),
                    p.oneOf("x", vary.isEmpty() ? "" : vary.keySet().iterator().next(),
                    List.copyOf(vary.keySet())),
                    p.string("by", ""), p.bool("log_x", false), p.bool("log_y", false)));
            p.rejectUnknownKeys();
        });
        e.rejectUnknownKeys();
        all.rejectUnknownKeys();
        Path scenario = file.resolveSibling(name);
        if (name.isEmpty() || !Files.isReadable(scenario)) {
            e.addError("scenario", "the name of a file beside this one, not \"" + name + "\"");
        }
        if (!mistakes.isEmpty()) {
            throw new InvalidSettingsException(mistakes);
        }
        String scenarioText = Files.readString(scenario);
        List<Map<String, Object>> cells = grid(set, vary);
        if (cells.size() > MOST_CELLS) {
            throw new InvalidSettingsException(List.of(file + ": " + cells.size() + " cells, at most "
                    + MOST_CELLS));
        }
        List<Long> seeds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            seeds.add((long) first + i);
        }
        Plan plan = new Plan(title, scenarioText, scenario.toString(), seeds, cells,
                List.copyOf(vary.keySet()), plots, mark(text, scenarioText));
        // a mistake in a cell shows before the first run, not after an hour
        for (Map<String, Object> cell : plan.cells()) {
            plan.scenario(cell);
        }
        return plan;
    }

    private static String mark(String text, String scenario) {
        return Long.toHexString(Hashing.xxh3_64().hashBytesToLong((text + "\0" + scenario + "\0"
                + Measures.NAMES).getBytes(StandardCharsets.UTF_8)));
    }

    private static List<Map<String, Object>> grid(Map<String, Object> set, Map<String, List<Object>> vary) {
        List<Map<String, Object>> cells = new ArrayList<>();
        cells.add(Collections.unmodifiableMap(new LinkedHashMap<>(set)));
        for (Map.Entry<String, List<Object>> key : vary.entrySet()) {
            List<Map<String, Object>> more = new ArrayList<>();
            for (Map<String, Object> cell : cells) {
                for (Object value : key.getValue()) {
                    Map<String, Object> next = new LinkedHashMap<>(cell);
                    next.put(key.getKey(), value);
                    more.add(Collections.unmodifiableMap(next));
                }
            }
            cells = more;
        }
        return cells;
    }

    /** The scenario of a cell. */
    public Scenario scenario(Map<String, Object> cell) throws InvalidSettingsException {
        return ScenarioFile.parse(scenarioName, scenarioText, cell);
    }

    /** A value as it is shown and kept. */
    static String shown(Object value) {
        if (value instanceof Number n && n.doubleValue() == Math.rint(n.doubleValue())
                && Math.abs(n.doubleValue()) < 1e15) {
            return Long.toString(n.longValue());
        }
        return String.valueOf(value);
    }

    /** A cell's values of what varies. */
    List<String> labels(Map<String, Object> cell) {
        return varied.stream().map(v -> shown(cell.get(v))).toList();
    }
}
