package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StoreCommandsTest {
    private static final String RECORDS = """
            key: "mark/s-1" stamp: 3 instance: "a" wall: 5 mark { kind: DRAIN by: "a" }
            key: "mark/s-2" stamp: 4 instance: "a" wall: 6 mark { kind: GONE started_at: 9 by: "a" }
            """;

    @TempDir
    private Path folder;

    private int store(String... words) throws IOException {
        Path settings = Files.writeString(folder.resolve("operator.hcl"), "store {\n  folder = \""
                + folder.resolve("kept") + "\"\n}\n");
        String[] all = new String[words.length + 3];
        all[0] = "store";
        System.arraycopy(words, 0, all, 1, words.length);
        all[words.length + 1] = "--settings";
        all[words.length + 2] = settings.toString();
        return Commands.run(all);
    }

    @Test
    void whatIsExportedIsWhatWasImported() throws IOException {
        Path in = Files.writeString(folder.resolve("in"), RECORDS);
        Path out = folder.resolve("out");
        assertEquals(1, store("verify"));
        assertEquals(0, store("import", in.toString()));
        // older here than there: what is there stays
        Files.writeString(in, RECORDS.replace("stamp: 3", "stamp: 2").replace("kind: DRAIN", "kind: GONE"));
        assertEquals(0, store("import", in.toString()));
        assertEquals(0, store("compact"));
        assertEquals(0, store("verify"));
        assertEquals(0, store("export", out.toString()));
        assertEquals(RECORDS, Files.readString(out));
    }

    @Test
    void oneBadLineAndNothingIsImported() throws IOException {
        for (String bad : new String[] {"nonsense\n", "key: \"\" stamp: 1 instance: \"a\"\n",
            "key: \"mark/s-1\" stamp: 0 instance: \"a\" dropped { }\n"}) {
            Path in = Files.writeString(folder.resolve("in"), RECORDS + bad);
            assertEquals(1, store("import", in.toString()), bad);
            Path out = folder.resolve("out");
            assertEquals(0, store("export", out.toString()));
            assertEquals("", Files.readString(out), bad);
        }
        assertFalse(Files.exists(folder.resolve("kept").resolve("records.mv.damaged")));
    }
}
