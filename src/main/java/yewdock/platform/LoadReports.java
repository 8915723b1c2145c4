package yewdock.platform;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import umberspread.Routing.LoadReport;

/** Parses load reports: comma-separated name=value pairs. */
final class LoadReports {
    static final String HEADER = "X-Backend-Load";
    private static final String COMMENT = ":" + HEADER.toLowerCase(Locale.ROOT) + ":";

    private LoadReports() {
    }

    /** Parses a header's value; null if it is absent or malformed. Values that are not reported are NaN. */
    static LoadReport of(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String part : text.split(",")) {
            int eq = part.indexOf('=');
            if (eq <= 0) {
                return null;
            }
            double value = Numbers.decimal(part.substring(eq + 1).strip());
            if (Double.isNaN(value)) {
                return null;
            }
            values.put(part.substring(0, eq).strip(), value);
        }
        return new LoadReport(value(values, "inflight"), value(values, "queue"), value(values, "util"),
                value(values, "latency_ms"), value(values, "qps"), value(values, "eps"), value(values, "x0"),
                value(values, "x1"));
    }

    /** Parses the report in a comment line of an event stream; null if the line holds none. */
    static LoadReport inComment(String line) {
        String compact = line.replace(" ", "");
        return compact.regionMatches(true, 0, COMMENT, 0, COMMENT.length())
                ? of(compact.substring(COMMENT.length())) : null;
    }

    private static double value(Map<String, Double> values, String name) {
        return values.getOrDefault(name, Double.NaN);
    }
}
