package yewdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The description of a configuration must reflect its settings rather than the defaults. */
class DeploymentSummaryTest {
    private static List<String> lines(String... changes) throws IOException {
        String text = Files.readString(Path.of("src/test/resources/exchanges/config.json"));
        for (int i = 0; i < changes.length; i += 2) {
            assertTrue(text.contains(changes[i]), changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return DeploymentSummary.describe(text, line -> { });
    }

    @Test
    void describesARestrictiveConfiguration() throws IOException {
        List<String> lines = lines("\"cancelling\":true,", "", "\"retry_after\":true,", "");
        assertEquals("endpoint list: polled, at least every 10.000 s", lines.get(0));
        assertEquals("attempts per request: 5 at most, one in flight at a time", lines.get(2));
        assertEquals("cancelling attempts: not allowed", lines.get(4));
        assertEquals("Retry-After for refused clients: none", lines.get(5));
        assertEquals("probes: not allowed", lines.get(8));
        assertEquals("settings without effect: none", lines.get(9));
    }

    @Test
    void describesAPermissiveConfiguration() throws IOException {
        List<String> lines = lines("\"discovery\":\"ask\"", "\"discovery\":\"push\",\"worth_by\":\"work\"",
                "\"max_attempts\":5", "\"max_attempts\":4,\"may_duplicate\":true,\"probes\":true,\"news\":1",
                "\"drain_grace\":1.0", "\"drain_grace\":0.5",
                "\"worth\":5.0", "\"worth\":5.0,\"late_worth\":0.25");
        assertEquals("endpoint list: pushed to an agent, watched from the start", lines.get(0));
        assertEquals("drain grace: 0.500 s", lines.get(1));
        assertEquals("attempts per request: 4 at most, two in flight at once for chat", lines.get(2));
        assertEquals("late responses: chat earns 25%", lines.get(6));
        assertEquals("probes: allowed, not used", lines.get(8));
        assertEquals("settings without effect: limits.news, worth_by", lines.get(9));
    }

    /** A class whose effects must not happen twice is never hedged, whatever the settings allow. */
    @Test
    void fragileClassesAreNeverHedged() throws IOException {
        assertEquals("attempts per request: 5 at most, two in flight at once for no class",
                lines("\"max_attempts\":5", "\"max_attempts\":5,\"may_duplicate\":true",
                        "\"effect\":\"retryable\"", "\"effect\":\"fragile\"").get(2));
    }
}
