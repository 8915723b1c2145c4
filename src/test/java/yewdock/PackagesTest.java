package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each package uses only what stands after it in this list, so none imports in a circle. */
class PackagesTest {
    private static final List<String> DOWNWARD = List.of("yewdock", "umberspread.adapter",
            "yewdock.verification", "yewdock.testbed", "yewdock.experiment", "yewdock.scenario",
            "yewdock.model", "yewdock.baseline",
            "yewdock.daemon", "yewdock.upgrade", "yewdock.replication",
            "yewdock.consensus", "yewdock.lease", "yewdock.rules",
            "yewdock.state", "yewdock.wire", "yewdock.store", "yewdock.settings",
            "yewdock.sockets", "yewdock.admin", "yewdock.platform",
            "yewdock.http", "yewdock.core", "umberspread",
            "yewdock.logging");
    private static final Pattern USE = Pattern.compile("\\b((?:yewdock|umberspread)(?:\\.[a-z]+)*)\\.[A-Z]");
    private static final Path SOURCES = Path.of("src/main/java");

    @Test
    void importsPointDownward() throws IOException {
        int uses = 0;
        for (Path file : sources()) {
            int from = DOWNWARD.indexOf(SOURCES.relativize(file.getParent()).toString().replace('/', '.'));
            assertTrue(from >= 0, file + " is in a package that the list lacks");
            Matcher use = USE.matcher(Files.readString(file));
            while (use.find()) {
                uses++;
                assertTrue(DOWNWARD.indexOf(use.group(1)) >= from, file + " uses " + use.group());
            }
        }
        assertTrue(uses > 0);
    }

    /** Sockets are the transport's business alone, JSON the edge's, and the parsers need neither. */
    @Test
    void librariesStayWhereTheyBelong() throws IOException {
        assertEquals(List.of("yewdock/sockets"), folders("org.apache.mina"));
        assertEquals(List.of("yewdock/platform"), folders("org.json"));
    }

    private static List<String> folders(String library) throws IOException {
        List<String> found = new ArrayList<>();
        for (Path file : sources()) {
            String folder = SOURCES.relativize(file.getParent()).toString();
            if (Files.readString(file).contains("import " + library) && !found.contains(folder)) {
                found.add(folder);
            }
        }
        return found;
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> all = Files.walk(SOURCES)) {
            return all.filter(p -> p.toString().endsWith(".java")).toList();
        }
    }
}
