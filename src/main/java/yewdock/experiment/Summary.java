package yewdock.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.csv.CSVFormat;

/** Medians of every measure in every cell, and differences from the first cell paired by seed. */
final class Summary {
    private final ExperimentPlan plan;
    private final RunStore runs;

    Summary(ExperimentPlan plan, RunStore runs) {
        this.plan = plan;
        this.runs = runs;
    }

    /** The result of one measure in one cell; labels are the values of the varied keys. */
    record Row(List<String> labels, String measure, Statistics.Estimate estimate,
            Statistics.PairedComparison comparison) {
    }

    /** The rows of a measure, one for each cell. */
    List<Row> rows(String measure) {
        List<Row> rows = new ArrayList<>();
        double[] first = runs.values(0, measure);
        for (int c = 0; c < plan.cells().size(); c++) {
            double[] values = runs.values(c, measure);
            rows.add(new Row(plan.labels(plan.cells().get(c)), measure, Statistics.median(values),
                    Statistics.compare(values, first)));
        }
        return rows;
    }

    /** All measures of all cells, as CSV. */
    String csv() {
        StringBuilder all = new StringBuilder();
        List<String> header = new ArrayList<>(plan.variedKeys());
        header.addAll(List.of("measure", "median", "low", "high", "difference", "difference_low",
                "difference_high", "p"));
        all.append(csvLine(header));
        for (String measure : Measures.NAMES) {
            for (Row row : rows(measure)) {
                List<String> values = new ArrayList<>(row.labels());
                values.add(measure);
                for (double v : new double[] {
                    row.estimate().median(), row.estimate().low(), row.estimate().high(),
                    row.comparison().difference().median(), row.comparison().difference().low(),
                    row.comparison().difference().high(), row.comparison().p()}) {
                    values.add(String.format(Locale.ROOT, "%.6f", v));
                }
                all.append(csvLine(values));
            }
        }
        return all.toString();
    }

    private static String csvLine(List<String> values) {
        return CSVFormat.DEFAULT.format(values.toArray()) + "\n";
    }

    /** The rows of a measure as a Markdown table. */
    String table(String measure) {
        StringBuilder all = new StringBuilder("| ");
        plan.variedKeys().forEach(v -> all.append(v).append(" | "));
        all.append(measure).append(" | 95% | against the first | 95% | p |\n|");
        for (int i = 0; i < plan.variedKeys().size() + 5; i++) {
            all.append("---|");
        }
        all.append('\n');
        for (Row row : rows(measure)) {
            all.append("| ").append(String.join(" | ", row.labels()));
            Statistics.Estimate difference = row.comparison().difference();
            all.append(String.format(Locale.ROOT,
                    " | %.3f | %.3f to %.3f | %+.3f | %+.3f to %+.3f | %.3f |%n",
                    row.estimate().median(), row.estimate().low(), row.estimate().high(), difference.median(),
                    difference.low(), difference.high(), row.comparison().p()));
        }
        return all.toString();
    }
}
