package yewdock.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Texts of router configurations, from the template that all tests share. */
final class RouterConfigurations {
    private static final Path TEMPLATE = Path.of("src/test/resources/exchanges/config.json");

    private RouterConfigurations() {
    }

    /** Returns an endpoint list's entry of a server in service. */
    static String serverEntry(String name, String address) {
        return "{\"id\":\"" + name + "\",\"addr\":\"" + address + "\",\"zone\":\"kathmandu\","
                + "\"kind\":\"big-gpu\",\"cell\":1,\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}";
    }

    /**
     * Returns a configuration with another cached endpoint list.
     *
     * @param entries its entries, separated by commas
     * @param version its version
     */
    static String withServers(String entries, long version) throws IOException {
        String template = Files.readString(TEMPLATE);
        return template.substring(0, template.indexOf("\"known\"")) + "\"known\":{\"version\":" + version
                + ",\"full\":true,\"servers\":[" + entries + "]},\n "
                + template.substring(template.indexOf("\"settings\""));
    }
}
