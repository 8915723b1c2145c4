package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Every recorded exchange runs as it was recorded; what was seen is left in target/exchanges. */
class ExchangesTest {
    private static final int LONGEST_CUT = 900;

    private static List<String> files() throws IOException {
        try (Stream<Path> all = Files.list(RecordedExchange.FOLDER)) {
            List<String> names = all.map(p -> p.getFileName().toString())
                    .filter(n -> n.endsWith(".txt") && !n.equals("names.txt")).sorted().toList();
            assertFalse(names.isEmpty());
            return names;
        }
    }

    @TestFactory
    Stream<DynamicTest> runsAsRecorded() throws IOException {
        return files().stream().map(name -> DynamicTest.dynamicTest(name, () -> {
            List<String> lines = RecordedExchange.lines(name);
            List<String> seen = RecordedExchange.play(lines, 0).seen();
            Files.createDirectories(Path.of("target/exchanges"));
            Files.write(Path.of("target/exchanges", name), seen);
            assertEquals(String.join("\n", lines), String.join("\n", seen));
        }));
    }

    /** Where the network cuts the bytes makes no difference to what anyone is told. */
    @TestFactory
    Stream<DynamicTest> cutAnywhereItSaysTheSame() throws IOException {
        return files().stream().map(name -> DynamicTest.dynamicTest(name, () -> {
            List<String> lines = RecordedExchange.lines(name);
            var told = RecordedExchange.play(lines, 0).told();
            for (int cut = 1; cut < LONGEST_CUT; cut++) {
                assertEquals(told, RecordedExchange.play(lines, cut).told(), "cut at " + cut);
            }
        }));
    }
}
