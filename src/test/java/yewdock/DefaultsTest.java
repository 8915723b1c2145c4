package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;

/** The sources name no deployment's zones, machine shapes or tenants: all of them come from the settings. */
class DefaultsTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Path EXAMPLE_CONFIGURATION = Path.of("src/test/resources/exchanges/config.json");

    private static List<String> deploymentNames() throws IOException {
        JSONObject settings = new JSONObject(Files.readString(EXAMPLE_CONFIGURATION))
                .getJSONObject("settings");
        List<String> names = new ArrayList<>();
        settings.getJSONArray("zones").forEach(zone -> names.add(zone.toString()));
        settings.getJSONArray("shapes").forEach(shape -> names.add(shape.toString()));
        JSONArray tenants = settings.getJSONArray("orgs");
        for (int i = 0; i < tenants.length(); i++) {
            names.add(tenants.getJSONObject(i).getString("name"));
        }
        return names;
    }

    @Test
    void sourcesContainNoDeploymentNames() throws IOException {
        List<String> names = deploymentNames();
        assertTrue(names.size() >= 5, names.toString());
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String source = Files.readString(file);
                names.stream().filter(source::contains).forEach(name -> found.add(name + " in " + file));
            }
        }
        assertEquals(List.of(), found);
    }
}
