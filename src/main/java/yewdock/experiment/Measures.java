package yewdock.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import yewdock.model.Score;
import yewdock.model.Score.End;
import yewdock.model.Score.Result;

/** The measures taken of each run. The order of their names is the column order of runs.csv. */
final class Measures {
    private static final Map<String, ToDoubleFunction<Result>> ALL = new LinkedHashMap<>();

    static {
        ALL.put("service", Result::g);
        ALL.put("whole", Result::whole);
        ALL.put("worst_10s", Result::worstWindow);
        ALL.put("worst_class", Result::worstClass);
        ALL.put("worst_municipality", Result::worstMunicipality);
        ALL.put("last_third", Result::lastThird);
        ALL.put("failed_late", Result::lateFailed);
        ALL.put("across_sites", Result::crossed);
        ALL.put("wasted", Result::wasted);
        ALL.put("hits", Result::hits);
        ALL.put("spread", Result::spread);
        ALL.put("first_p50_ms", Result::firstP50Millis);
        ALL.put("first_p99_ms", Result::firstP99Millis);
        ALL.put("late", r -> r.part(Score.End.LATE));
        ALL.put("refused", r -> r.part(End.REFUSED));
        ALL.put("failed", r -> r.part(End.FAILED));
        ALL.put("broken", r -> r.part(End.BROKEN));
        ALL.put("tries_per_ask", Result::triesPerAsk);
        ALL.put("sends_per_ask", r -> r.asks() == 0 ? 0 : (double) r.sends() / r.asks());
        ALL.put("asks", Result::asks);
        ALL.put("felled", Result::felled);
        ALL.put("broken_rules", Result::brokenRules);
    }

    /** All names, in column order. */
    static final List<String> NAMES = List.copyOf(ALL.keySet());

    private Measures() {
    }

    /** The values of all measures for a run, in the order of {@link #NAMES}. */
    static List<Double> of(Result result) {
        List<Double> values = new ArrayList<>();
        ALL.values().forEach(m -> values.add(m.applyAsDouble(result)));
        return values;
    }
}
