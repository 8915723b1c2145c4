package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import yewdock.platform.Config;

/**
 * Guards against a warm-up whose requests all fail: it would not load and compile the code that serves them.
 */
class JvmWarmUpTest {
    @Test
    void everyRequestIsServed() throws Exception {
        assertEquals(50, JvmWarmUp.run(Config.read(Files.readString(
                Path.of("src/test/resources/exchanges/config.json")), line -> { }), 50));
    }
}
