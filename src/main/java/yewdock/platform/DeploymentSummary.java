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

/** What a configuration switches on at a deployment, and what of it this program can't use, line by line. */
public final class DeploymentSummary {
    private static final double MICROS = 1e6;
    /** The settings that {@link Config} takes up, by their paths without the places in lists. */
    private static final Set<String> USED = Set.of("instances", "ordinal", "zone", "discovery", "zones",
            "shapes", "over_share_worth", "orgs.name", "orgs.quota_rps", "classes.name", "classes.effect",
            "classes.group", "classes.window", "classes.aim", "classes.give_up", "classes.worth",
            "classes.late_worth", "classes.stream", "classes.confined_to", "classes.runs_on",
            "limits.max_attempts", "limits.may_duplicate", "limits.cancelling", "limits.connect_timeout",
            "limits.retry_after", "limits.max_retry_after", "limits.keepalive", "contract.drain_grace",
            "contract.cold", "contract.cold_from", "contract.fall_multiple", "contract.fall",
            "contract.ask_within", "contract.free_resends", "contract.further_ratio", "contract.look_back",
            "domain.aim_us_per_1000_prompt_tokens", "domain.token_aim");
    /** Words for people, and weights of a score: nothing to act on. */
    private static final Set<String> SAID = Set.of("tier", "tiers", "workload", "resolution",
            "domain.notes", "domain.report_x0", "domain.report_x1", "goal.whole", "goal.worst_class",
            "goal.worst_tenant", "goal.worst_window", "orgs.share");

    private DeploymentSummary() {
    }

    /** The lines for a configuration's text; throws IllegalArgumentException where it can't be read. */
    public static List<String> describe(String text, Consumer<String> log) {
        Config config = Config.read(text, log);
        JSONObject settings = new JSONObject(text).getJSONObject("settings");
        Routing.Settings s = config.settings();
        Routing.Limits limits = s.limits();
        Routing.Contract contract = s.contract();
        List<String> lines = new ArrayList<>();
        lines.add("box list: " + (s.pullsEndpointList() ? "asked, at least every "
                + seconds(contract.maxDiscoveryInterval())
                : "pushed to an agent, watched from the start"));
        lines.add("drain grace: " + seconds(contract.drainGrace()));
        lines.add("tries of a request: " + limits.maxAttempts() + " at most, " + (limits.allowsHedging()
                ? "two may be out together for " + copied(s) : "one out at a time"));
        lines.add("tries beyond the first: " + (contract.attemptBudget().window() == 0
                ? "no contract, bounded all the same" : "at most " + contract.attemptBudget().free() + " and "
                + contract.attemptBudget().ratio() + " for each request within "
                + seconds(contract.attemptBudget().window())));
        lines.add("giving a try up: " + (limits.allowsCancelling() ? "allowed" : "not allowed"));
        lines.add("advice to refused clients: " + (limits.retryAfterMax() == 0 ? "none"
                : "up to " + seconds(limits.retryAfterMax())));
        lines.add("late answers: " + late(s));
        JSONObject report = settings.optJSONObject("report", new JSONObject());
        lines.add("load reports: " + report.optString("source", "none") + " "
                + names(report.optJSONArray("names")) + ", read and not used for decisions");
        lines.add("probes: " + (limits.probes() ? "allowed, not used" : "not allowed"));
        Set<String> unused = new TreeSet<>();
        paths("", settings, unused);
        unused.removeAll(USED);
        unused.removeAll(SAID);
        unused.removeIf(path -> path.startsWith("report.") || path.equals("limits.probes"));
        lines.add("settings that change nothing here: " + (unused.isEmpty() ? "none"
                : String.join(", ", unused)));
        return lines;
    }

    private static String copied(Routing.Settings s) {
        List<String> classes = s.classes().stream().filter(c ->
                c.retrySafety() != Routing.RetrySafety.FRAGILE)
                .map(Routing.RequestClass::name).toList();
        return classes.isEmpty() ? "no class" : String.join(", ", classes);
    }

    private static String late(Routing.Settings s) {
        return String.join(", ", s.classes().stream()
                .map(c -> c.name() + " earns " + Math.round(c.lateWorth() * 100) + "%").toList());
    }

    private static String names(JSONArray names) {
        return names == null ? "" : names.toList().toString();
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f s", micros / MICROS);
    }

    private static void paths(String at, Object value, Set<String> found) {
        if (value instanceof JSONObject object) {
            object.keySet().forEach(key ->
                    paths(at.isEmpty() ? key : at + "." + key, object.get(key), found));
        } else if (value instanceof JSONArray array && !array.isEmpty()
                && array.get(0) instanceof JSONObject) {
            array.forEach(item -> paths(at, item, found));
        } else {
            found.add(at);
        }
    }
}
