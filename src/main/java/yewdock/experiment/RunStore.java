package yewdock.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVRecord;

/**
 * Completed runs of an experiment, stored in runs.csv with one line for each run, appended as it ends. A line
 * that was cut off while it was written is ignored, so that its run is repeated; a file of another plan is
 * rejected. Thread-safe.
 */
final class RunStore {
    private static final String HEADER_PREFIX = "# plan ";

    private final ExperimentPlan plan;
    private final Path file;
    /** Ordered by cell, then seed, so that the file doesn't depend on which run ended first. */
    private final TreeMap<RunKey, List<Double>> completed = new TreeMap<>();

    /** Identifies a run: the index of the cell in the plan, and the seed. */
    record RunKey(int cell, long seed) implements Comparable<RunKey> {
        @Override
        public int compareTo(RunKey other) {
            return cell != other.cell ? Integer.compare(cell, other.cell) : Long.compare(seed, other.seed);
        }
    }

    /** Opens the store and reads what it holds; creates the folder if needed. */
    RunStore(ExperimentPlan plan, Path folder) throws IOException {
        this.plan = plan;
        this.file = folder.resolve("runs.csv");
        Files.createDirectories(folder);
        if (Files.exists(file)) {
            read();
        }
        writeAll();
    }

    private void read() throws IOException {
        String text = Files.readString(file);
        String header = text.lines().findFirst().orElse("");
        if (!header.equals(HEADER_PREFIX + plan.fingerprint())) {
            throw new IOException(file
                    + ": holds runs of another plan; remove it or choose another output folder");
        }
        // a last line without a line end was cut off
        String completeLines = text.substring(0, text.lastIndexOf('\n') + 1);
        int columns = 2 + plan.variedKeys().size() + Measures.NAMES.size();
        for (CSVRecord row : CSVFormat.DEFAULT.builder().setCommentMarker('#').build().parse(
                new java.io.StringReader(completeLines))) {
            if (row.size() == columns && !row.get(0).equals("cell")) {
                List<Double> values = new ArrayList<>();
                for (int i = 2 + plan.variedKeys().size(); i < columns; i++) {
                    values.add(Double.valueOf(row.get(i)));
                }
                completed.put(new RunKey(Integer.parseInt(row.get(0)), Long.parseLong(row.get(1))), values);
            }
        }
    }

    /** Whether this run has been completed. */
    synchronized boolean contains(RunKey key) {
        return completed.containsKey(key);
    }

    /** Adds a run and appends it to the file; throws UncheckedIOException if that fails. */
    synchronized void add(RunKey key, List<Double> values) {
        completed.put(key, values);
        try {
            Files.writeString(file, line(key, values), StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Rewrites the file in the order of the keys, atomically. */
    synchronized void writeAll() throws IOException {
        StringBuilder all = new StringBuilder(HEADER_PREFIX).append(plan.fingerprint()).append('\n');
        List<String> header = new ArrayList<>(List.of("cell", "seed"));
        header.addAll(plan.variedKeys());
        header.addAll(Measures.NAMES);
        all.append(format(header));
        completed.forEach((key, values) -> all.append(line(key, values)));
        Path next = file.resolveSibling("runs.csv.next");
        Files.writeString(next, all);
        Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    private String line(RunKey key, List<Double> values) {
        List<String> row = new ArrayList<>(List.of(Integer.toString(key.cell()), Long.toString(key.seed())));
        row.addAll(plan.labels(plan.cells().get(key.cell())));
        values.forEach(v -> row.add(String.format(Locale.ROOT, "%.6f", v)));
        return format(row);
    }

    private static String format(List<String> row) {
        return CSVFormat.DEFAULT.builder().setRecordSeparator("\n").build().format(row.toArray()) + "\n";
    }

    /** The values of a measure in a cell, ordered by seed. */
    synchronized double[] values(int cell, String measure) {
        int column = Measures.NAMES.indexOf(measure);
        return completed.entrySet().stream().filter(e -> e.getKey().cell() == cell)
                .mapToDouble(e -> e.getValue().get(column)).toArray();
    }

    /** A copy of all completed runs. */
    synchronized Map<RunKey, List<Double>> all() {
        return Map.copyOf(completed);
    }
}
