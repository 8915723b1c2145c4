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
 * What the router is told at its start. keepalive is in microseconds; operator is where operators call, or ""
 * where they don't.
 */
public record Config(String name, String listenAddress, String operatorAddress, String discoveryAddress,
        long seed, long keepaliveMicros,
        Routing.Settings settings, NameIndexes names, ResourceLimits bounds, EndpointList cachedEndpoints) {
    private static final double MICROS = 1e6;
    /** What a configuration without limits is taken to allow: the most that a router gets. */
    private static final int SOCKETS = 1024;
    private static final int MEMORY_MB = 192;
    private static final int LEAST_SOCKETS = 128;
    private static final int LEAST_MEMORY_MB = 32;

    /** Reads the configuration's text; throws IllegalArgumentException with one clear line. */
    public static Config read(String text, Consumer<String> log) {
        try {
            return read(new JSONObject(text), log);
        } catch (JSONException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static Config read(JSONObject all, Consumer<String> log) {
        JSONObject s = all.getJSONObject("settings");
        List<Routing.RequestClass> classes = classes(s);
        List<Routing.Tenant> tenants = new ArrayList<>();
        for (JSONObject org : objects(s.optJSONArray("orgs"))) {
            tenants.add(new Routing.Tenant(org.getString("name"), org.getDouble("quota_rps")));
        }
        NameIndexes names = new NameIndexes(
                NameIndexes.places(classes.stream().map(Routing.RequestClass::name).toList()),
                NameIndexes.places(tenants.stream().map(Routing.Tenant::name).toList()),
                NameIndexes.places(strings(s.optJSONArray("zones"))),
                NameIndexes.places(strings(s.optJSONArray("shapes"))));
        JSONObject l = s.getJSONObject("limits");
        Routing.Limits limits = new Routing.Limits(l.getInt("max_attempts"),
                l.optBoolean("may_duplicate"), l.optBoolean("cancelling"), l.optBoolean("probes"),
                time(l, "connect_timeout", 0),
                l.optBoolean("retry_after") ? time(l, "max_retry_after", 0) : 0);
        JSONObject c = s.getJSONObject("contract");
        Routing.Contract contract = new Routing.Contract(time(c, "drain_grace"), time(c, "cold"),
                c.getDouble("cold_from"), c.getDouble("fall_multiple"), time(c, "fall"),
                time(c, "ask_within", 10), budget(c));
        JSONObject p = s.optJSONObject("costs", new JSONObject());
        Routing.Prices prices = new Routing.Prices(p.optDouble("cross_zone", 0), p.optDouble("handshake", 0),
                p.optDouble("probe", 0), p.optDouble("waste", 0), p.optDouble("late_fail", 0));
        Routing.Settings settings = new Routing.Settings(s.getInt("instances"), s.getInt("ordinal"),
                s.getInt("zone"), classes, tenants, s.optDouble("over_share_worth", 1),
                s.getString("discovery").equals("ask"), limits, contract, prices);
        String discovery = all.getString("discovery");
        Addresses.parse(discovery);
        Addresses.parse(all.getString("listen"));
        String operator = all.optString("operator", "");
        if (!operator.isEmpty()) {
            Addresses.parse(operator);
        }
        JSONObject known = all.optJSONObject("known");
        return new Config(all.getString("name"), all.getString("listen"), operator, discovery,
                Long.parseUnsignedLong(all.getString("seed"), 16), time(l, "keepalive"), settings, names,
                bounds(all.optJSONObject("limits", new JSONObject())),
                known == null ? EndpointList.UNKNOWN : new EndpointListReader(names, log).read(known));
    }

    /** Names what in the next configuration differs from this one and counts only from a start on. */
    List<String> startsAnew(Config next) {
        List<String> waits = new ArrayList<>();
        differs("name", name, next.name, waits);
        differs("listen", listenAddress, next.listenAddress, waits);
        differs("operator", operatorAddress, next.operatorAddress, waits);
        differs("limits", bounds, next.bounds, waits);
        differs("keepalive", keepaliveMicros, next.keepaliveMicros, waits);
        differs("settings", settings, next.settings, waits);
        differs("names in settings", names, next.names, waits);
        return waits;
    }

    private static void differs(String what, Object one, Object other, List<String> found) {
        if (!one.equals(other)) {
            found.add(what);
        }
    }

    private static ResourceLimits bounds(JSONObject limits) {
        int sockets = limits.optInt("sockets", SOCKETS);
        int megabytes = limits.optInt("memory_mb", MEMORY_MB);
        if (sockets < LEAST_SOCKETS || megabytes < LEAST_MEMORY_MB) {
            throw new IllegalArgumentException("limits are too small: " + limits);
        }
        return ResourceLimits.within(sockets, Math.min(megabytes, MEMORY_MB));
    }

    private static List<Routing.RequestClass> classes(JSONObject s) {
        List<Routing.RequestClass> classes = new ArrayList<>();
        JSONObject domain = s.optJSONObject("domain", new JSONObject());
        List<String> sites = strings(s.optJSONArray("zones"));
        List<String> kinds = strings(s.optJSONArray("shapes"));
        for (JSONObject c : objects(s.getJSONArray("classes"))) {
            int i = classes.size();
            classes.add(new Routing.RequestClass(c.getString("name"),
                    named(Routing.RetrySafety.class, c.optString("effect", "retryable")),
                    named(Routing.DedupGroup.class, c.optString("group", "all")), time(c, "window", 0),
                    time(c, "aim"), Math.round(item(domain, "aim_us_per_1000_prompt_tokens", i)),
                    Math.round(item(domain, "token_aim", i) * MICROS), time(c, "give_up"),
                    c.optDouble("worth", 1), c.optDouble("late_worth", 0), c.optBoolean("stream"),
                    new Routing.Placement(indices(c.optJSONArray("confined_to"), sites),
                            indices(c.optJSONArray("runs_on"), kinds))));
        }
        return classes;
    }

    private static Routing.AttemptBudget budget(JSONObject c) {
        return c.has("look_back") ? new Routing.AttemptBudget(c.getDouble("free_resends"),
                c.getDouble("further_ratio"), time(c, "look_back")) : Routing.AttemptBudget.NONE;
    }

    private static long time(JSONObject o, String key) {
        return Math.round(o.getDouble(key) * MICROS);
    }

    private static long time(JSONObject o, String key, double ifAbsent) {
        return Math.round(o.optDouble(key, ifAbsent) * MICROS);
    }

    private static double item(JSONObject o, String key, int index) {
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

    /** Places in a list, given as numbers or as names. */
    private static Set<Integer> indices(JSONArray array, List<String> names) {
        Set<Integer> all = new HashSet<>();
        for (int i = 0; array != null && i < array.length(); i++) {
            int index = array.get(i) instanceof String name ? names.indexOf(name) : array.getInt(i);
            if (index < 0 || index >= names.size()) {
                throw new IllegalArgumentException("a class is placed where nothing is: " + array.get(i));
            }
            all.add(index);
        }
        return all;
    }

    private static <E extends Enum<E>> E named(Class<E> type, String value) {
        return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
    }
}
