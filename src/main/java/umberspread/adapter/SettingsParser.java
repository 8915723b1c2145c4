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

/** Parses the path=value lines that configure a gateway at its start. */
final class SettingsParser {
    private static final double MICROS_PER_SECOND = 1e6;

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
            int equalsAt = trimmed.indexOf('=');
            if (equalsAt <= 0) {
                throw new WireException("settings line " + line + " is not path=value: "
                        + truncated(trimmed));
            }
            values.put(trimmed.substring(0, equalsAt), trimmed.substring(equalsAt + 1));
        }
    }

    /** The module's settings, and the names of the load report values in their wire order. */
    record Parsed(Routing.Settings settings, List<String> reportNames) {
    }

    /** Parses UTF-8 settings; the exception names the line or setting that is invalid. */
    static Parsed parse(byte[] text) throws WireException {
        SettingsParser parser = new SettingsParser(text);
        try {
            return new Parsed(parser.settings(), parser.list("report.names"));
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
    }

    private Routing.Settings settings() throws WireException {
        List<Routing.RequestClass> classes = new ArrayList<>();
        int classCount = integer("classes.count");
        for (int i = 0; i < classCount; i++) {
            String prefix = "classes." + i + ".";
            classes.add(new Routing.RequestClass(string(prefix + "name"),
                    enumValue(Routing.RetrySafety.class, prefix + "effect", "retryable"),
                    enumValue(Routing.DedupGroup.class, prefix + "group", "all"),
                    micros(prefix + "window", 0.0), micros(prefix + "aim", null),
                    listItem("domain.aim_us_per_1000_prompt_tokens", i, 1.0),
                    listItem("domain.token_aim", i, MICROS_PER_SECOND), micros(prefix + "give_up", null),
                    number(prefix + "worth", 1.0), number(prefix + "late_worth", 0.0),
                    flag(prefix + "stream", false),
                    new Routing.Placement(indices(prefix + "confined_to", "zones"),
                            indices(prefix + "runs_on", "shapes"))));
        }
        List<Routing.Tenant> tenants = new ArrayList<>();
        int tenantCount = values.containsKey("orgs.count") ? integer("orgs.count") : 0;
        for (int i = 0; i < tenantCount; i++) {
            String prefix = "orgs." + i + ".";
            tenants.add(new Routing.Tenant(string(prefix + "name"), number(prefix + "quota_rps", null)));
        }
        Routing.Limits limits = new Routing.Limits(integer("limits.max_attempts"),
                flag("limits.may_duplicate", false), flag("limits.cancelling", false),
                flag("limits.probes", false), micros("limits.connect_timeout", 0.0),
                flag("limits.retry_after", false) ? micros("limits.max_retry_after", 0.0) : 0);
        Routing.Contract contract = new Routing.Contract(micros("contract.drain_grace", null),
                micros("contract.cold", null), number("contract.cold_from", null),
                number("contract.fall_multiple", null), micros("contract.fall", null),
                micros("contract.ask_within", 10.0), budget());
        Routing.Prices prices = new Routing.Prices(number("costs.cross_zone", 0.0),
                number("costs.handshake", 0.0), number("costs.probe", 0.0), number("costs.waste", 0.0),
                number("costs.late_fail", 0.0));
        return new Routing.Settings(integer("instances"), integer("ordinal"), integer("zone"), classes,
                tenants, number("over_share_worth", 1.0), "ask".equals(string("discovery")),
                limits, contract, prices);
    }

    /** Returns the attempt budget; either all three of its settings are given or none. */
    private Routing.AttemptBudget budget() throws WireException {
        if (!values.containsKey("contract.free_resends") && !values.containsKey("contract.further_ratio")
                && !values.containsKey("contract.look_back")) {
            return Routing.AttemptBudget.NONE;
        }
        return new Routing.AttemptBudget(number("contract.free_resends", null),
                number("contract.further_ratio", null), micros("contract.look_back", null));
    }

    /** Returns a list of indices into the list that another setting holds. */
    private Set<Integer> indices(String key, String namesKey) throws WireException {
        Set<Integer> indices = new HashSet<>();
        for (String item : list(key)) {
            double number = parseNumber(key, item);
            if (number != Math.rint(number) || number < 0 || number >= list(namesKey).size()) {
                throw new WireException("setting " + key + " names none of " + namesKey + ": "
                        + truncated(item));
            }
            indices.add((int) number);
        }
        return indices;
    }

    private String string(String key) throws WireException {
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

    private double number(String key, Double defaultValue) throws WireException {
        if (defaultValue != null && !values.containsKey(key)) {
            return defaultValue;
        }
        return parseNumber(key, string(key));
    }

    private double parseNumber(String key, String value) throws WireException {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // falls through to the exception for all invalid numbers
        }
        throw new WireException("setting " + key + " is not a number: " + truncated(value));
    }

    private long micros(String key, Double defaultValue) throws WireException {
        return Math.round(number(key, defaultValue) * MICROS_PER_SECOND);
    }

    private int integer(String key) throws WireException {
        double number = number(key, null);
        if (number != Math.rint(number) || number < 0 || number > Integer.MAX_VALUE) {
            throw new WireException("setting " + key + " is not a whole number: " + truncated(string(key)));
        }
        return (int) number;
    }

    private long listItem(String key, int index, double scale) throws WireException {
        List<String> items = list(key);
        return index < items.size() ? Math.round(parseNumber(key, items.get(index)) * scale) : 0;
    }

    private boolean flag(String key, boolean defaultValue) throws WireException {
        String value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw new WireException("setting " + key + " is neither true nor false: " + truncated(value));
        }
        return value.equals("true");
    }

    private <E extends Enum<E>> E enumValue(Class<E> type, String key, String defaultValue)
            throws WireException {
        String value = values.getOrDefault(key, defaultValue);
        try {
            return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new WireException("setting " + key + " has an unknown value: " + truncated(value));
        }
    }

    private static String truncated(String value) {
        return value.length() > 60 ? value.substring(0, 60) + "..." : value;
    }
}
