package yewdock.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import yewdock.model.Score;
import yewdock.model.Score.RequestEnd;
import yewdock.model.Score.SimulationResult;

/** The measures taken of each run. The order of their names is the column order of runs.csv. */
final class Measures {
    private static final Map<String, ToDoubleFunction<SimulationResult>> ALL = new LinkedHashMap<>();

    static {
        ALL.put("service", SimulationResult::score);
        ALL.put("whole", SimulationResult::servedShare);
        ALL.put("worst_10s", SimulationResult::worstWindow);
        ALL.put("worst_class", SimulationResult::worstClass);
        ALL.put("worst_municipality", SimulationResult::worstMunicipality);
        ALL.put("last_third", SimulationResult::lastThird);
        ALL.put("failed_late", SimulationResult::lateFailedShare);
        ALL.put("across_sites", SimulationResult::crossSiteShare);
        ALL.put("wasted", SimulationResult::wastedShare);
        ALL.put("hits", SimulationResult::cacheHitShare);
        ALL.put("spread", SimulationResult::peakToMeanLoad);
        ALL.put("first_p50_ms", SimulationResult::firstTokenP50Millis);
        ALL.put("first_p99_ms", SimulationResult::firstTokenP99Millis);
        ALL.put("late", r -> r.share(Score.RequestEnd.LATE));
        ALL.put("refused", r -> r.share(RequestEnd.REFUSED));
        ALL.put("failed", r -> r.share(RequestEnd.FAILED));
        ALL.put("broken", r -> r.share(RequestEnd.BROKEN));
        ALL.put("tries_per_ask", SimulationResult::clientAttemptsPerRequest);
        ALL.put("sends_per_ask", r -> r.requests() == 0 ? 0 : (double) r.serverAttempts() / r.requests());
        ALL.put("asks", SimulationResult::requests);
        ALL.put("felled", SimulationResult::crashedColdServers);
        ALL.put("broken_rules", SimulationResult::ruleViolations);
    }

    /** All names, in column order. */
    static final List<String> NAMES = List.copyOf(ALL.keySet());

    private Measures() {
    }

    /** The values of all measures for a run, in the order of {@link #NAMES}. */
    static List<Double> of(SimulationResult result) {
        List<Double> values = new ArrayList<>();
        ALL.values().forEach(m -> values.add(m.applyAsDouble(result)));
        return values;
    }
}
