package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** When the configuration is reloaded: on request, once there is a reader, and until it could be read. */
@Timeout(60)
class ConfigurationFileTest {
    private static final String WHOLE = "{}";

    @TempDir
    private Path folder;
    private Path file;
    private final BlockingQueue<String> read = new LinkedBlockingQueue<>();

    @BeforeEach
    void write() throws IOException {
        file = Files.writeString(folder.resolve("config.json"), WHOLE);
    }

    private boolean read() {
        try {
            String text = Files.readString(file);
            read.add(text);
            return text.equals(WHOLE);
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void reloadRequestedBeforeThereIsAReaderIsDoneLater() {
        ConfigurationFile configuration = ConfigurationFile.at(file);
        configuration.reload();
        assertNull(read.poll());
        configuration.setReader(this::read);
        assertEquals(WHOLE, read.poll());
    }

    @Test
    void unchangedFileIsNotReloadedWithoutRequest() throws Exception {
        ConfigurationFile configuration = ConfigurationFile.at(file);
        configuration.setReader(this::read);
        configuration.reloadIfChanged();
        assertNull(read.poll());
        Files.writeString(file, " " + WHOLE);
        configuration.reloadIfChanged();
        assertEquals(" " + WHOLE, read.poll());
    }

    @Test
    void incompleteFileIsReloadedOnceItIsComplete() throws Exception {
        ConfigurationFile configuration = ConfigurationFile.at(file);
        configuration.setReader(this::read);
        Files.writeString(file, "{");
        configuration.reload();
        assertEquals("{", read.poll());
        Files.writeString(file, WHOLE);
        assertEquals(WHOLE, read.poll(30, TimeUnit.SECONDS));
    }
}
