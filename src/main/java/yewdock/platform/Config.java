package yewdock.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import umberspread.Routing;
import yewdock.core.EndpointList;
import yewdock.core.ResourceLimits;

/**
 * The configuration of one router.
 *
 * @param name the router's name among its peers
 * @param listenAddress the address for clients, as host:port
 * @param operatorAddress the address for operators, as host:port; empty if there is none
 * @param discoveryAddress the address of the discovery service, as host:port
 * @param seed the seed of the module's random choices
 * @param keepaliveMicros how long idle server connections are kept, in microseconds
 * @param settings the module's settings
 * @param names maps the names in requests and endpoint lists to the module's indexes
 * @param bounds the limits on connections, requests and memory
 * @param cachedEndpoints the endpoint list that was known when the configuration was written
 */
public record Config(String name, String listenAddress, String operatorAddress, String discoveryAddress,
        long seed, long keepaliveMicros, Routing.Settings settings, NameIndexes names, ResourceLimits bounds,
        EndpointList cachedEndpoints) {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Resources that a router may use if the configuration sets no limits; no router gets more. */
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MAX_MEMORY_MB = 192;
    private static final int MIN_SOCKETS = 128;
    private static final int MIN_MEMORY_MB = 32;

    /** Parses a configuration; throws IllegalArgumentException with a one-line message if it is invalid. */
    public static Config read(String text, Consumer<String> log) {
        try {
            return read(new JSONObject(text), log);
        } catch (JSONException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static Config read(JSONObject all, Consumer<String> log) {
        JSONObject settingsJson = all.getJSONObject("settings");
        List<Routing.RequestClass> classes = classes(settingsJson);
        List<Routing.Tenant> tenants = new ArrayList<>();
        for (JSONObject org : objects(settingsJson.optJSONArray("orgs"))) {
            tenants.add(new Routing.Tenant(org.getString("name"), org.getDouble("quota_rps")));
        }
        NameIndexes names = new NameIndexes(
                NameIndexes.indexesOf(classes.stream().map(Routing.RequestClass::name).toList()),
                NameIndexes.indexesOf(tenants.stream().map(Routing.Tenant::name).toList()),
                NameIndexes.indexesOf(strings(settingsJson.optJSONArray("zones"))),
                NameIndexes.indexesOf(strings(settingsJson.optJSONArray("shapes"))));
        JSONObject limitsJson = settingsJson.getJSONObject("limits");
        Routing.Limits limits = new Routing.Limits(limitsJson.getInt("max_attempts"),
                limitsJson.optBoolean("may_duplicate"), limitsJson.optBoolean("cancelling"),
                limitsJson.optBoolean("probes"), micros(limitsJson, "connect_timeout", 0),
                limitsJson.optBoolean("retry_after") ? micros(limitsJson, "max_retry_after", 0) : 0);
        JSONObject contractJson = settingsJson.getJSONObject("contract");
        Routing.Contract contract = new Routing.Contract(micros(contractJson, "drain_grace"),
                micros(contractJson, "cold"), contractJson.getDouble("cold_from"),
                contractJson.getDouble("fall_multiple"), micros(contractJson, "fall"),
                micros(contractJson, "ask_within", 10), budget(contractJson));
        JSONObject costsJson = settingsJson.optJSONObject("costs", new JSONObject());
        Routing.Prices prices = new Routing.Prices(costsJson.optDouble("cross_zone", 0),
                costsJson.optDouble("handshake", 0), costsJson.optDouble("probe", 0),
                costsJson.optDouble("waste", 0), costsJson.optDouble("late_fail", 0));
        Routing.Settings settings = new Routing.Settings(settingsJson.getInt("instances"),
                settingsJson.getInt("ordinal"), settingsJson.getInt("zone"), classes, tenants,
                settingsJson.optDouble("over_share_worth", 1),
                settingsJson.getString("discovery").equals("ask"), limits, contract, prices);
        String discovery = all.getString("discovery");
        Addresses.parse(discovery);
        Addresses.parse(all.getString("listen"));
        String operator = all.optString("operator", "");
        if (!operator.isEmpty()) {
            Addresses.parse(operator);
        }
        JSONObject known = all.optJSONObject("known");
        return new Config(all.getString("name"), all.getString("listen"), operator, discovery,
                Long.parseUnsignedLong(all.getString("seed"), 16), micros(limitsJson, "keepalive"), settings,
                names, bounds(all.optJSONObject("limits", new JSONObject())),
                known == null ? EndpointList.UNKNOWN : new EndpointListReader(names, log,
                        ServerStartTimes.asReported()).read(known));
    }

    /** Names the parts of a new configuration that differ from this one and need a restart to take effect. */
    List<String> changesNeedingRestart(Config next) {
        List<String> changed = new ArrayList<>();
        addIfDifferent("name", name, next.name, changed);
        addIfDifferent("listen", listenAddress, next.listenAddress, changed);
        addIfDifferent("operator", operatorAddress, next.operatorAddress, changed);
        addIfDifferent("limits", bounds, next.bounds, changed);
        addIfDifferent("keepalive", keepaliveMicros, next.keepaliveMicros, changed);
        addIfDifferent("settings", settings, next.settings, changed);
        addIfDifferent("names in settings", names, next.names, changed);
        return changed;
    }

    private static void addIfDifferent(String name, Object before, Object after, List<String> changed) {
        if (!before.equals(after)) {
            changed.add(name);
        }
    }

    private static ResourceLimits bounds(JSONObject limits) {
        int sockets = limits.optInt("sockets", DEFAULT_SOCKETS);
        int megabytes = limits.optInt("memory_mb", MAX_MEMORY_MB);
        if (sockets < MIN_SOCKETS || megabytes < MIN_MEMORY_MB) {
            throw new IllegalArgumentException("limits are too small: " + limits);
        }
        return ResourceLimits.within(sockets, Math.min(megabytes, MAX_MEMORY_MB),
                Runtime.getRuntime().maxMemory());
    }

    private static List<Routing.RequestClass> classes(JSONObject settingsJson) {
        List<Routing.RequestClass> classes = new ArrayList<>();
        JSONObject domain = settingsJson.optJSONObject("domain", new JSONObject());
        List<String> zones = strings(settingsJson.optJSONArray("zones"));
        List<String> serverKinds = strings(settingsJson.optJSONArray("shapes"));
        for (JSONObject classJson : objects(settingsJson.getJSONArray("classes"))) {
            int i = classes.size();
            classes.add(new Routing.RequestClass(classJson.getString("name"),
                    enumValue(Routing.RetrySafety.class, classJson.optString("effect", "retryable")),
                    enumValue(Routing.DedupGroup.class, classJson.optString("group", "all")),
                    micros(classJson, "window", 0), micros(classJson, "aim"),
                    Math.round(itemOrZero(domain, "aim_us_per_1000_prompt_tokens", i)),
                    Math.round(itemOrZero(domain, "token_aim", i) * MICROS_PER_SECOND),
                    micros(classJson, "give_up"), classJson.optDouble("worth", 1),
                    classJson.optDouble("late_worth", 0), classJson.optBoolean("stream"),
                    new Routing.Placement(indices(classJson.optJSONArray("confined_to"), zones),
                            indices(classJson.optJSONArray("runs_on"), serverKinds))));
        }
        return classes;
    }

    private static Routing.AttemptBudget budget(JSONObject contractJson) {
        return contractJson.has("look_back")
                ? new Routing.AttemptBudget(contractJson.getDouble("free_resends"),
                        contractJson.getDouble("further_ratio"), micros(contractJson, "look_back"))
                : Routing.AttemptBudget.NONE;
    }

    /** Returns a time that is given in seconds, in microseconds. */
    private static long micros(JSONObject o, String key) {
        return Math.round(o.getDouble(key) * MICROS_PER_SECOND);
    }

    private static long micros(JSONObject o, String key, double ifAbsent) {
        return Math.round(o.optDouble(key, ifAbsent) * MICROS_PER_SECOND);
    }

    private static double itemOrZero(JSONObject o, String key, int index) {
        JSONArray items = o.optJSONArray(key);
        return items == null ? 0 : items.optDouble(index, 0);
    }

    private static List<JSONObject> objects(JSONArray array) {
        List<JSONObject> all = new ArrayList<>();
        for (int i = 0; array != null && i < array.length(); i++) {
            all.add(array.getJSONObject(i));
        }
        return all;
    }

    private static List<String> strings(JSONArray array) {
        List<String> all = new ArrayList<>();
        for (int i = 0; array != null && i < array.length(); i++) {
            all.add(array.getString(i));
        }
        return all;
    }

    /** Indexes into a list of names, each given as a number or as a name. */
    private static Set<Integer> indices(JSONArray array, List<String> names) {
        Set<Integer> all = new HashSet<>();
        for (int i = 0; array != null && i < array.length(); i++) {
            int index = array.get(i) instanceof String name ? names.indexOf(name) : array.getInt(i);
            if (index < 0 || index >= names.size()) {
                throw new IllegalArgumentException("a class is confined to an unknown zone or server kind: "
                        + array.get(i));
            }
            all.add(index);
        }
        return all;
    }

    private static <E extends Enum<E>> E enumValue(Class<E> type, String value) {
        return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
    }
}
