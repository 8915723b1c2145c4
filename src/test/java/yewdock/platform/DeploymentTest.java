package yewdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What an operator is told of a configuration must follow the settings, not what is usual. */
class DeploymentTest {
    private static List<String> lines(String... changes) throws IOException {
        String text = Files.readString(Path.of("src/test/resources/exchanges/config.json"));
        for (int i = 0; i < changes.length; i += 2) {
            assertTrue(text.contains(changes[i]), changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return DeploymentSummary.describe(text, line -> { });
    }

    @Test
    void oneThatAllowsLittle() throws IOException {
        List<String> lines = lines("\"cancelling\":true,", "", "\"retry_after\":true,", "");
        assertEquals("box list: asked, at least every 10.000 s", lines.get(0));
        assertEquals("tries of a request: 5 at most, one out at a time", lines.get(2));
        assertEquals("giving a try up: not allowed", lines.get(4));
        assertEquals("advice to refused clients: none", lines.get(5));
        assertEquals("probes: not allowed", lines.get(8));
        assertEquals("settings that change nothing here: none", lines.get(9));
    }

    @Test
    void oneThatAllowsMuch() throws IOException {
        List<String> lines = lines("\"discovery\":\"ask\"", "\"discovery\":\"push\",\"worth_by\":\"work\"",
                "\"max_attempts\":5", "\"max_attempts\":4,\"may_duplicate\":true,\"probes\":true,\"news\":1",
                "\"drain_grace\":1.0", "\"drain_grace\":0.5",
                "\"worth\":5.0", "\"worth\":5.0,\"late_worth\":0.25");
        assertEquals("box list: pushed to an agent, watched from the start", lines.get(0));
        assertEquals("drain grace: 0.500 s", lines.get(1));
        assertEquals("tries of a request: 4 at most, two may be out together for chat", lines.get(2));
        assertEquals("late answers: chat earns 25%", lines.get(6));
        assertEquals("probes: allowed, not used", lines.get(8));
        assertEquals("settings that change nothing here: limits.news, worth_by", lines.get(9));
    }

    /** A class whose effects must not happen twice is never copied, whatever the settings allow. */
    @Test
    void noCopiesOfAClassThatMustNotBeRepeated() throws IOException {
        assertEquals("tries of a request: 5 at most, two may be out together for no class",
                lines("\"max_attempts\":5", "\"max_attempts\":5,\"may_duplicate\":true",
                        "\"effect\":\"retryable\"", "\"effect\":\"fragile\"").get(2));
    }
}
