package yewdock.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The names that the settings give to what the module knows by numbers. */
public record NameIndexes(Map<String, Integer> classes, Map<String, Integer> tenants,
        Map<String, Integer> zones, Map<String, Integer> serverKinds) {
    /** Each name's place in its list. */
    static Map<String, Integer> places(List<String> names) {
        Map<String, Integer> places = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            places.putIfAbsent(names.get(i), i);
        }
        return Map.copyOf(places);
    }
}
