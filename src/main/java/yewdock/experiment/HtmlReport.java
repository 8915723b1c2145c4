package yewdock.experiment;

import java.awt.BasicStroke;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/** Renders the results as one self-contained HTML page: plots as inline SVG, tables, the scenario text. */
final class HtmlReport {
    private static final String HEAD = """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>TITLE</title><style>
            body{font:15px sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
            table{border-collapse:collapse;margin:1em 0}
            td,th{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:right}
            pre{background:#f4f4f4;padding:1em;overflow:auto}
            svg{max-width:100%;height:auto}
            </style></head><body>
            <h1>TITLE</h1>
            """;
    private static final String NOTE = """
             simulated days each, the same days for all. Medians over days with a 95% confidence interval.
            Differences are paired by day, against the first row; p is from the Wilcoxon signed-rank test.
            Error bars in plots are half the width of the interval.</p>
            """;

    private final ExperimentPlan plan;
    private final RunStore runs;
    private final Summary summary;

    static {
        System.setProperty("java.awt.headless", "true");
    }

    HtmlReport(ExperimentPlan plan, RunStore runs) {
        this.plan = plan;
        this.runs = runs;
        this.summary = new Summary(plan, runs);
    }

    /** The name of the SVG file for a plot, made from its title. */
    static String fileName(ExperimentPlan.Plot plot) {
        return plot.title().toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "-") + ".svg";
    }

    /** The whole page. */
    String html() throws IOException {
        StringBuilder all = new StringBuilder(HEAD.replace("TITLE", escape(plan.title())));
        all.append("<p>").append(plan.cells().size()).append(" settings, ").append(plan.seeds().size())
                .append(NOTE);
        for (ExperimentPlan.Plot plot : plan.plots()) {
            all.append("<h2>").append(escape(plot.title())).append("</h2>\n").append(svg(plot).replaceFirst(
                    "(?s)^.*?(?=<svg)", ""));
            table(all, plot.y());
        }
        if (plan.plots().stream().noneMatch(p -> p.y().equals("service"))) {
            table(all, "service");
        }
        table(all, "broken_rules");
        all.append("<h2>Scenario</h2>\n<pre>").append(escape(plan.scenarioText()));
        all.append("</pre>\n</body></html>\n");
        return all.toString();
    }

    private void table(StringBuilder all, String measure) {
        all.append("<table><tr>");
        plan.variedKeys().forEach(v -> all.append("<th>").append(escape(v)).append("</th>"));
        all.append("<th>").append(measure)
                .append("</th><th>95%</th><th>against the first</th><th>95%</th><th>p</th></tr>\n");
        for (Summary.Row row : summary.rows(measure)) {
            all.append("<tr>");
            row.labels().forEach(v -> all.append("<td>").append(escape(v)).append("</td>"));
            Statistics.Estimate difference = row.comparison().difference();
            all.append(String.format(Locale.ROOT,
                    "<td>%.4f</td><td>%.4f to %.4f</td><td>%+.4f</td>"
                    + "<td>%+.4f to %+.4f</td><td>%.4f</td></tr>\n",
                    row.estimate().median(), row.estimate().low(), row.estimate().high(), difference.median(),
                    difference.low(), difference.high(), row.comparison().p()));
        }
        all.append("</table>\n");
    }

    /** Renders a plot as an SVG document. */
    String svg(ExperimentPlan.Plot plot) throws IOException {
        XYChart chart = new XYChartBuilder().width(860).height(460).title(plot.title()).xAxisTitle(plot.x())
                .yAxisTitle(plot.y()).theme(Styler.ChartTheme.Matlab).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        // a dashed stroke is written dash by dash and makes the file ten times as large
        chart.getStyler().setPlotGridLinesStroke(new BasicStroke(0.3f));
        chart.getStyler().setAxisTickMarksStroke(new BasicStroke(0.5f));
        chart.getStyler().setXAxisLogarithmic(plot.logX());
        chart.getStyler().setYAxisLogarithmic(plot.logY());
        int x = plan.variedKeys().indexOf(plot.x());
        int by = plan.variedKeys().indexOf(plot.by());
        List<String> categories = new ArrayList<>();
        Map<String, List<double[]>> series = new LinkedHashMap<>();
        List<Summary.Row> rows = summary.rows(plot.y());
        for (Summary.Row row : rows) {
            String name = by < 0 ? plot.y() : row.labels().get(by);
            series.computeIfAbsent(name, n -> new ArrayList<>()).add(new double[] {
                xPosition(row.labels().get(x), categories), row.estimate().median(),
                (row.estimate().high() - row.estimate().low()) / 2});
        }
        series.forEach((name, points) -> {
            // if more keys vary than the plot shows, points with the same x are averaged
            Map<Double, List<double[]>> byX = new java.util.TreeMap<>();
            points.forEach(p -> byX.computeIfAbsent(p[0], k -> new ArrayList<>()).add(p));
            double[] xs = byX.keySet().stream().mapToDouble(d -> d).toArray();
            double[] ys = byX.values().stream().mapToDouble(v -> mean(v, 1)).toArray();
            double[] bars = byX.values().stream().mapToDouble(v -> mean(v, 2)).toArray();
            chart.addSeries(name, xs, ys, bars);
        });
        if (!categories.isEmpty()) {
            chart.setCustomXAxisTickLabelsFormatter(v -> {
                int i = (int) Math.round(v);
                return Math.abs(v - i) < 0.01 && i >= 0 && i < categories.size() ? categories.get(i) : "";
            });
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        return out.toString(StandardCharsets.UTF_8).replaceAll("(\\.\\d\\d)\\d+", "$1");
    }

    private static double mean(List<double[]> points, int at) {
        return points.stream().mapToDouble(p -> p[at]).average().orElse(Double.NaN);
    }

    /** The label as a number, or else its index in categories, to which a new label is added. */
    private static double xPosition(String label, List<String> categories) {
        try {
            return Double.parseDouble(label);
        } catch (NumberFormatException e) {
            if (!categories.contains(label)) {
                categories.add(label);
            }
            return categories.indexOf(label);
        }
    }

    private static String escape(String raw) {
        return raw.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
