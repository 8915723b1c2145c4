package yewdock.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import yewdock.core.OperatorOverride;

/**
 * Stores operator overrides in a file, so that the successor of a killed process does not send requests to a
 * server that an operator took out of use. The file is replaced atomically by a rename.
 */
final class OperatorOverridesFile {
    private static final String HEADER = "yewdock marks 1";
    private static final String TRAILER = "end ";

    private final Path file;

    OperatorOverridesFile(Path file) {
        this.file = file;
    }

    /** Replaces the file's content by these overrides, by server name. */
    void write(Map<String, OperatorOverride> overrides) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
        try {
            writeAndSync(temporary, format(overrides));
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            // frees the space of a file that could not be written whole
            Files.deleteIfExists(temporary);
        }
    }

    private static void writeAndSync(Path file, String text) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
    }

    /** Reads the stored overrides; none if there is no file. Throws IOException if the file is incomplete. */
    Map<String, OperatorOverride> read() throws IOException {
        return Files.exists(file) ? parse(Files.readString(file)) : Map.of();
    }

    /**
     * Formats overrides in the file's format: a header, a line for each, and a last line with their number.
     */
    static String format(Map<String, OperatorOverride> overrides) {
        StringBuilder text = new StringBuilder(HEADER).append('\n');
        new TreeMap<>(overrides).forEach((server, override) ->
                text.append(override.kind().name().toLowerCase(Locale.ROOT)).append(' ')
                        .append(override.atEpochMicros()).append(' ').append(server).append('\n'));
        return text.append(TRAILER).append(overrides.size()).append('\n').toString();
    }

    /** Parses the file's format. */
    static Map<String, OperatorOverride> parse(String text) throws IOException {
        String[] lines = text.split("\n", -1);
        if (!lines[0].equals(HEADER)) {
            throw new IOException("the first line is not \"" + HEADER + "\"");
        }
        if (lines.length < 3 || !lines[lines.length - 2].equals(TRAILER + (lines.length - 3))) {
            throw new IOException("the last line with the number of entries is missing or wrong");
        }
        Map<String, OperatorOverride> overrides = new TreeMap<>();
        for (int i = 1; i < lines.length - 2; i++) {
            String[] words = lines[i].split(" ", 3);
            try {
                overrides.put(words[2], new OperatorOverride(
                        OperatorOverride.Kind.valueOf(words[0].toUpperCase(Locale.ROOT)),
                        Long.parseLong(words[1])));
            } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                throw new IOException("line " + (i + 1) + " is not a valid override");
            }
        }
        return overrides;
    }
}
