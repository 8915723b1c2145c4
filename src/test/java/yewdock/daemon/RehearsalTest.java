package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import yewdock.platform.Config;

/** A rehearsal that serves nothing would load nothing. */
class RehearsalTest {
    @Test
    void everyRequestIsServed() throws Exception {
        assertEquals(50, JvmWarmUp.play(Config.read(Files.readString(
                Path.of("src/test/resources/exchanges/config.json")), line -> { }), 50));
    }
}
