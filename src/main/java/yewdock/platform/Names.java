package yewdock.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Maps the names in the settings to the indexes by which the module knows them. */
public record Names(Map<String, Integer> classes, Map<String, Integer> municipalities,
        Map<String, Integer> sites, Map<String, Integer> kinds) {
    /** Maps each name to its index in the list; of equal names, the first counts. */
    static Map<String, Integer> indexesOf(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            indexes.putIfAbsent(names.get(i), i);
        }
        return Map.copyOf(indexes);
    }
}
