package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients of a killed router wait for its restart, so slow classes must not be loaded before it listens. */
class StartupTest {
    /** ObjectMethods would be loaded to link a record's generated equals, hashCode or toString. */
    @Test
    void startLoadsNoDateFormatsLoggingBackEndOrRecordMethods(@TempDir Path folder) throws Exception {
        Path classLog = folder.resolve("loaded.txt");
        Path config = folder.resolve("config.json");
        Files.writeString(config, Files.readString(Path.of("deploy/warm-up.json"))
                .replace(" \"operator\": \"127.0.0.1:0\",", ""));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(java, "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load:file=" + classLog, "-cp", System.getProperty("java.class.path"),
                "yewdock.Main", "serve");
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.redirectErrorStream(true).start();
        try {
            assertTrue(process.inputReader().lines().anyMatch(l -> l.contains("listens on")));
        } finally {
            process.destroyForcibly().waitFor();
        }
        List<String> lines;
        try (Stream<String> read = Files.lines(classLog)) {
            lines = read.toList();
        }
        assertEquals(List.of(), lines.stream().filter(l -> l.contains("java.time.format.")
                || l.contains("org.tinylog.core.") || l.contains("ObjectMethods")).toList());
    }
}
