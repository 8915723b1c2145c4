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

/** Checks the package layering: a package uses only those after it in the list, so there are no cycles. */
class PackagesTest {
    private static final List<String> LAYERS = List.of("yewdock", "umberspread.adapter",
            "yewdock.verification", "yewdock.testbed", "yewdock.experiment", "yewdock.scenario",
            "yewdock.model", "yewdock.baseline",
            "yewdock.daemon", "yewdock.upgrade", "yewdock.replication",
            "yewdock.consensus", "yewdock.lease", "yewdock.rules",
            "yewdock.state", "yewdock.wire", "yewdock.store", "yewdock.settings",
            "yewdock.sockets", "yewdock.admin", "yewdock.platform",
            "yewdock.http", "yewdock.core", "umberspread",
            "yewdock.logging");
    private static final Pattern QUALIFIED_NAME =
            Pattern.compile("\\b((?:yewdock|umberspread)(?:\\.[a-z]+)*)\\.[A-Z]");
    private static final Path SOURCES = Path.of("src/main/java");

    @Test
    void packagesUseOnlyLowerLayers() throws IOException {
        int uses = 0;
        for (Path file : sources()) {
            int layer = LAYERS.indexOf(SOURCES.relativize(file.getParent()).toString().replace('/', '.'));
            assertTrue(layer >= 0, file + " is in a package that LAYERS does not list");
            Matcher use = QUALIFIED_NAME.matcher(Files.readString(file));
            while (use.find()) {
                uses++;
                assertTrue(LAYERS.indexOf(use.group(1)) >= layer, file + " uses " + use.group());
            }
        }
        assertTrue(uses > 0);
    }

    /** Only the transport uses MINA and only the platform layer uses JSON; the parsers need neither. */
    @Test
    void librariesAreImportedByOnePackageOnly() throws IOException {
        assertEquals(List.of("yewdock/sockets"), importingFolders("org.apache.mina"));
        assertEquals(List.of("yewdock/platform"), importingFolders("org.json"));
    }

    private static List<String> importingFolders(String library) throws IOException {
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
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(p -> p.toString().endsWith(".java")).toList();
        }
    }
}
