package yewdock.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import yewdock.core.OperatorOverride;

/**
 * Operators' marks in a file that outlives a process killed outright: whoever takes its place must not send
 * work to a box that is out of use. Written aside and moved into place, so that it is whole or not there.
 */
final class OperatorOverridesFile {
    private static final String FIRST = "yewdock marks 1";
    private static final String LAST = "end ";

    private final Path file;

    OperatorOverridesFile(Path file) {
        this.file = file;
    }

    void write(Map<String, OperatorOverride> marks) throws IOException {
        Path aside = file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
        Files.writeString(aside, text(marks));
        Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The marks that were kept; none where there is no file. Throws IOException on one that is not whole. */
    Map<String, OperatorOverride> read() throws IOException {
        return Files.exists(file) ? marks(Files.readString(file)) : Map.of();
    }

    static String text(Map<String, OperatorOverride> marks) {
        StringBuilder text = new StringBuilder(FIRST).append('\n');
        new TreeMap<>(marks).forEach((box, mark) -> text.append(mark.kind().name().toLowerCase(Locale.ROOT))
                .append(' ').append(mark.atEpochMicros()).append(' ').append(box).append('\n'));
        return text.append(LAST).append(marks.size()).append('\n').toString();
    }

    static Map<String, OperatorOverride> marks(String text) throws IOException {
        String[] lines = text.split("\n", -1);
        if (!lines[0].equals(FIRST)) {
            throw new IOException("its first line is not \"" + FIRST + "\"");
        }
        if (lines.length < 3 || !lines[lines.length - 2].equals(LAST + (lines.length - 3))) {
            throw new IOException("its end is missing");
        }
        Map<String, OperatorOverride> marks = new TreeMap<>();
        for (int i = 1; i < lines.length - 2; i++) {
            String[] words = lines[i].split(" ", 3);
            try {
                marks.put(words[2], new OperatorOverride(
                        OperatorOverride.Kind.valueOf(words[0].toUpperCase(Locale.ROOT)),
                        Long.parseLong(words[1])));
            } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                throw new IOException("line " + (i + 1) + " is no mark");
            }
        }
        return marks;
    }
}
