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

/** Replays every recorded exchange and compares the result; the new recordings are in target/exchanges. */
class RecordedExchangesTest {
    /** Offsets in bytes below this one are tried as the place where an input is cut in two. */
    private static final int CUT_LIMIT = 900;

    private static List<String> exchangeNames() throws IOException {
        try (Stream<Path> files = Files.list(RecordedExchange.FOLDER)) {
            List<String> names = files.map(p -> p.getFileName().toString())
                    .filter(n -> n.endsWith(".txt") && !n.equals("names.txt")).sorted().toList();
            assertFalse(names.isEmpty());
            return names;
        }
    }

    @TestFactory
    Stream<DynamicTest> replaysAsRecorded() throws IOException {
        return exchangeNames().stream().map(name -> DynamicTest.dynamicTest(name, () -> {
            List<String> recorded = RecordedExchange.lines(name);
            List<String> replayed = RecordedExchange.play(recorded, 0).seen();
            Files.createDirectories(Path.of("target/exchanges"));
            Files.write(Path.of("target/exchanges", name), replayed);
            assertEquals(String.join("\n", recorded), String.join("\n", replayed));
        }));
    }

    /** Where the network splits the bytes makes no difference to what the router sends. */
    @TestFactory
    Stream<DynamicTest> outputIsTheSameWhereverInputIsSplit() throws IOException {
        return exchangeNames().stream().map(name -> DynamicTest.dynamicTest(name, () -> {
            List<String> recorded = RecordedExchange.lines(name);
            var sent = RecordedExchange.play(recorded, 0).told();
            for (int cut = 1; cut < CUT_LIMIT; cut++) {
                assertEquals(sent, RecordedExchange.play(recorded, cut).told(), "cut at " + cut);
            }
        }));
    }
}
