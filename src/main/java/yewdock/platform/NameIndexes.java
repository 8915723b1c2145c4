package yewdock.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Maps the names in the settings to the indexes by which the module knows them. */
public record NameIndexes(Map<String, Integer> classes, Map<String, Integer> tenants,
        Map<String, Integer> zones, Map<String, Integer> serverKinds) {
    /** Maps each name to its index in the list; of equal names, the first counts. */
    static Map<String, Integer> indexesOf(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            indexes.putIfAbsent(names.get(i), i);
        }
        return Map.copyOf(indexes);
    }
}
