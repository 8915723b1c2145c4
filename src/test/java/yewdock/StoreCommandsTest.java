package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The store commands on the command line: verify, import, export and compact. */
class StoreCommandsTest {
    private static final String RECORDS = """
            key: "mark/s-1" stamp: 3 instance: "a" wall: 5 mark { kind: DRAIN by: "a" }
            key: "mark/s-2" stamp: 4 instance: "a" wall: 6 mark { kind: GONE started_at: 9 by: "a" }
            """;

    @TempDir
    private Path folder;

    /** Runs a store command; returns its exit code. */
    private int runStore(String... words) throws IOException {
        Path settings = Files.writeString(folder.resolve("operator.hcl"), "store {\n  folder = \""
                + folder.resolve("kept") + "\"\n}\n");
        String[] arguments = new String[words.length + 3];
        arguments[0] = "store";
        System.arraycopy(words, 0, arguments, 1, words.length);
        arguments[words.length + 1] = "--settings";
        arguments[words.length + 2] = settings.toString();
        return Commands.run(arguments);
    }

    @Test
    void exportReturnsWhatWasImported() throws IOException {
        Path input = Files.writeString(folder.resolve("in"), RECORDS);
        Path output = folder.resolve("out");
        assertEquals(1, runStore("verify"));
        assertEquals(0, runStore("import", input.toString()));
        // the imported stamp is older than the stored one: the stored record stays
        Files.writeString(input, RECORDS.replace("stamp: 3", "stamp: 2")
                .replace("kind: DRAIN", "kind: GONE"));
        assertEquals(0, runStore("import", input.toString()));
        assertEquals(0, runStore("compact"));
        assertEquals(0, runStore("verify"));
        assertEquals(0, runStore("export", output.toString()));
        assertEquals(RECORDS, Files.readString(output));
    }

    @Test
    void importRejectsAFileWithOneBadLineWhole() throws IOException {
        for (String badLine : new String[] {"nonsense\n", "key: \"\" stamp: 1 instance: \"a\"\n",
            "key: \"mark/s-1\" stamp: 0 instance: \"a\" dropped { }\n"}) {
            Path input = Files.writeString(folder.resolve("in"), RECORDS + badLine);
            assertEquals(1, runStore("import", input.toString()), badLine);
            Path output = folder.resolve("out");
            assertEquals(0, runStore("export", output.toString()));
            assertEquals("", Files.readString(output), badLine);
        }
        assertFalse(Files.exists(folder.resolve("kept").resolve("records.mv.damaged")));
    }
}
