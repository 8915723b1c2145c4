package yewdock.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.json.JSONArray;
import org.json.JSONObject;
import umberspread.Routing;

/** Describes, line by line, what a configuration enables and which of its settings the program ignores. */
public final class DeploymentSummary {
    private static final double MICROS_PER_SECOND = 1e6;
    /** The settings that {@link Config} reads, as paths without list indexes. */
    private static final Set<String> USED_SETTINGS = Set.of("instances", "ordinal", "zone", "discovery",
            "zones", "shapes", "over_share_worth", "orgs.name", "orgs.quota_rps", "classes.name",
            "classes.effect", "classes.group", "classes.window", "classes.aim", "classes.give_up",
            "classes.worth", "classes.late_worth", "classes.stream", "classes.confined_to", "classes.runs_on",
            "limits.max_attempts", "limits.may_duplicate", "limits.cancelling", "limits.connect_timeout",
            "limits.retry_after", "limits.max_retry_after", "limits.keepalive", "contract.drain_grace",
            "contract.cold", "contract.cold_from", "contract.fall_multiple", "contract.fall",
            "contract.ask_within", "contract.free_resends", "contract.further_ratio", "contract.look_back",
            "domain.aim_us_per_1000_prompt_tokens", "domain.token_aim");
    /** Descriptive texts and weights of the evaluation score, which the router does not act on. */
    private static final Set<String> INFORMATIONAL_SETTINGS = Set.of("tier", "tiers", "workload",
            "resolution", "domain.notes", "domain.report_x0", "domain.report_x1", "goal.whole",
            "goal.worst_class", "goal.worst_tenant", "goal.worst_window", "orgs.share");

    private DeploymentSummary() {
    }

    /** Describes the configuration in this text; throws IllegalArgumentException if it is invalid. */
    public static List<String> describe(String text, Consumer<String> log) {
        Config config = Config.read(text, log);
        JSONObject settingsJson = new JSONObject(text).getJSONObject("settings");
        Routing.Settings settings = config.settings();
        Routing.Limits limits = settings.limits();
        Routing.Contract contract = settings.contract();
        List<String> lines = new ArrayList<>();
        lines.add("endpoint list: " + (settings.pullsEndpointList() ? "polled, at least every "
                + seconds(contract.maxDiscoveryInterval())
                : "pushed to an agent, watched from the start"));
        lines.add("drain grace: " + seconds(contract.drainGrace()));
        lines.add("attempts per request: " + limits.maxAttempts() + " at most, " + (limits.allowsHedging()
                ? "two in flight at once for " + hedgedClasses(settings) : "one in flight at a time"));
        lines.add("attempts beyond the first: " + (contract.attemptBudget().window() == 0
                ? "not limited by the contract, bounded all the same"
                : "at most " + contract.attemptBudget().free() + " and "
                + contract.attemptBudget().ratio() + " for each request within "
                + seconds(contract.attemptBudget().window())));
        lines.add("cancelling attempts: " + (limits.allowsCancelling() ? "allowed" : "not allowed"));
        lines.add("Retry-After for refused clients: " + (limits.retryAfterMax() == 0 ? "none"
                : "up to " + seconds(limits.retryAfterMax())));
        lines.add("late responses: " + lateResponses(settings));
        JSONObject report = settingsJson.optJSONObject("report", new JSONObject());
        lines.add("load reports: " + report.optString("source", "none") + " "
                + names(report.optJSONArray("names")) + ", read and not used for decisions");
        lines.add("probes: " + (limits.probes() ? "allowed, not used" : "not allowed"));
        Set<String> unused = new TreeSet<>();
        collectPaths("", settingsJson, unused);
        unused.removeAll(USED_SETTINGS);
        unused.removeAll(INFORMATIONAL_SETTINGS);
        unused.removeIf(path -> path.startsWith("report.") || path.equals("limits.probes"));
        lines.add("settings without effect: " + (unused.isEmpty() ? "none"
                : String.join(", ", unused)));
        return lines;
    }

    private static String hedgedClasses(Routing.Settings settings) {
        List<String> classes = settings.classes().stream().filter(
                c -> c.retrySafety() != Routing.RetrySafety.FRAGILE)
                .map(Routing.RequestClass::name).toList();
        return classes.isEmpty() ? "no class" : String.join(", ", classes);
    }

    private static String lateResponses(Routing.Settings settings) {
        return String.join(", ", settings.classes().stream()
                .map(c -> c.name() + " earns " + Math.round(c.lateWorth() * 100) + "%").toList());
    }

    private static String names(JSONArray names) {
        return names == null ? "" : names.toList().toString();
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f s", micros / MICROS_PER_SECOND);
    }

    private static void collectPaths(String prefix, Object value, Set<String> found) {
        if (value instanceof JSONObject object) {
            object.keySet().forEach(key ->
                    collectPaths(prefix.isEmpty() ? key : prefix + "." + key, object.get(key), found));
        } else if (value instanceof JSONArray array && !array.isEmpty()
                && array.get(0) instanceof JSONObject) {
            array.forEach(item -> collectPaths(prefix, item, found));
        } else {
            found.add(prefix);
        }
    }
}
