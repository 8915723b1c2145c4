package umberspread.adapter;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import umberspread.Routing;

/** Reads the path=value lines that a gateway is handed at its start. */
final class SettingsParser {
    private static final double MICROS = 1e6;

    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(byte[] text) throws WireException {
        String all = new String(text, StandardCharsets.UTF_8);
        int line = 0;
        for (String row : all.split("\n")) {
            line++;
            String trimmed = row.strip();
            if (trimmed.isEmpty()) {
                continue;
            }
            int eq = trimmed.indexOf('=');
            if (eq <= 0) {
                throw new WireException("settings line " + line + " is not path=value: "
                        + shortened(trimmed));
            }
            values.put(trimmed.substring(0, eq), trimmed.substring(eq + 1));
        }
    }

    /** What the adapter needs to know: the router's settings and the order of load report values. */
    record Parsed(Routing.Settings settings, List<String> reportNames) {
    }

    static Parsed parse(byte[] text) throws WireException {
        SettingsParser p = new SettingsParser(text);
        try {
            return new Parsed(p.settings(), p.list("report.names"));
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
    }

    private Routing.Settings settings() throws WireException {
        List<Routing.RequestClass> classes = new ArrayList<>();
        int n = whole("classes.count");
        for (int i = 0; i < n; i++) {
            String at = "classes." + i + ".";
            classes.add(new Routing.RequestClass(text(at + "name"),
                    named(Routing.RetrySafety.class, at + "effect", "retryable"),
                    named(Routing.DedupGroup.class, at + "group", "all"), time(at + "window", 0.0),
                    time(at + "aim", null), item("domain.aim_us_per_1000_prompt_tokens", i, 1.0),
                    item("domain.token_aim", i, MICROS), time(at + "give_up", null),
                    number(at + "worth", 1.0), number(at + "late_worth", 0.0), flag(at + "stream", false),
                    new Routing.Placement(indices(at + "confined_to", "zones"),
                            indices(at + "runs_on", "shapes"))));
        }
        List<Routing.Tenant> tenants = new ArrayList<>();
        int m = values.containsKey("orgs.count") ? whole("orgs.count") : 0;
        for (int i = 0; i < m; i++) {
            String at = "orgs." + i + ".";
            tenants.add(new Routing.Tenant(text(at + "name"), number(at + "quota_rps", null)));
        }
        Routing.Limits limits = new Routing.Limits(whole("limits.max_attempts"),
                flag("limits.may_duplicate", false), flag("limits.cancelling", false),
                flag("limits.probes", false), time("limits.connect_timeout", 0.0),
                flag("limits.retry_after", false) ? time("limits.max_retry_after", 0.0) : 0);
        Routing.Contract contract = new Routing.Contract(time("contract.drain_grace", null),
                time("contract.cold", null), number("contract.cold_from", null),
                number("contract.fall_multiple", null), time("contract.fall", null),
                time("contract.ask_within", 10.0), budget());
        Routing.Prices prices = new Routing.Prices(number("costs.cross_zone", 0.0),
                number("costs.handshake", 0.0), number("costs.probe", 0.0), number("costs.waste", 0.0),
                number("costs.late_fail", 0.0));
        return new Routing.Settings(whole("instances"), whole("ordinal"), whole("zone"), classes, tenants,
                number("over_share_worth", 1.0), "ask".equals(text("discovery")), limits, contract, prices);
    }

    /** All three settings or none. */
    private Routing.AttemptBudget budget() throws WireException {
        if (!values.containsKey("contract.free_resends") && !values.containsKey("contract.further_ratio")
                && !values.containsKey("contract.look_back")) {
            return Routing.AttemptBudget.NONE;
        }
        return new Routing.AttemptBudget(number("contract.free_resends", null),
                number("contract.further_ratio", null), time("contract.look_back", null));
    }

    /** Places in the list of names that another setting holds. */
    private Set<Integer> indices(String key, String namesKey) throws WireException {
        Set<Integer> all = new HashSet<>();
        for (String item : list(key)) {
            double d = parsed(key, item);
            if (d != Math.rint(d) || d < 0 || d >= list(namesKey).size()) {
                throw new WireException("setting " + key + " names none of " + namesKey + ": "
                        + shortened(item));
            }
            all.add((int) d);
        }
        return all;
    }

    private String text(String key) throws WireException {
        String value = values.get(key);
        if (value == null) {
            throw new WireException("setting " + key + " is missing");
        }
        return value;
    }

    private List<String> list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private double number(String key, Double ifAbsent) throws WireException {
        if (ifAbsent != null && !values.containsKey(key)) {
            return ifAbsent;
        }
        return parsed(key, text(key));
    }

    private double parsed(String key, String value) throws WireException {
        try {
            double d = Double.parseDouble(value);
            if (Double.isFinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // falls through to the one message for all unreadable numbers
        }
        throw new WireException("setting " + key + " is not a number: " + shortened(value));
    }

    private long time(String key, Double ifAbsent) throws WireException {
        return Math.round(number(key, ifAbsent) * MICROS);
    }

    private int whole(String key) throws WireException {
        double d = number(key, null);
        if (d != Math.rint(d) || d < 0 || d > Integer.MAX_VALUE) {
            throw new WireException("setting " + key + " is not a whole number: " + shortened(text(key)));
        }
        return (int) d;
    }

    private long item(String key, int index, double scale) throws WireException {
        List<String> items = list(key);
        return index < items.size() ? Math.round(parsed(key, items.get(index)) * scale) : 0;
    }

    private boolean flag(String key, boolean ifAbsent) throws WireException {
        String value = values.get(key);
        if (value == null) {
            return ifAbsent;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw new WireException("setting " + key + " is neither true nor false: " + shortened(value));
        }
        return value.equals("true");
    }

    private <E extends Enum<E>> E named(Class<E> type, String key, String ifAbsent) throws WireException {
        String value = values.getOrDefault(key, ifAbsent);
        try {
            return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new WireException("setting " + key + " has an unknown value: " + shortened(value));
        }
    }

    private static String shortened(String s) {
        return s.length() > 60 ? s.substring(0, 60) + "..." : s;
    }
}
