package yewdock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into lines as bytes arrive. A line ends with CR, LF or both; an empty
 * line ends an event. Lines over 16 KiB are dropped.
 */
public final class EventStreamLineReader {
    private static final int MAX_LINE_BYTES = 16 * 1024;

    private final Consumer<String> onLine;
    private final Runnable onEventEnd;
    private boolean afterCarriageReturn;
    private byte[] line = new byte[256];
    private int length;

    /** Makes a reader that passes on each line and runs {@code onEventEnd} for each empty one. */
    public EventStreamLineReader(Consumer<String> onLine, Runnable onEventEnd) {
        this.onLine = onLine;
        this.onEventEnd = onEventEnd;
    }

    /** Reads the whole piece without changing its position. */
    public void read(ByteBuffer piece) {
        for (int i = piece.position(); i < piece.limit(); i++) {
            byte b = piece.get(i);
            boolean endOfCrLf = afterCarriageReturn && b == '\n';
            afterCarriageReturn = b == '\r';
            if (endOfCrLf) {
                continue;
            }
            if (b == '\n' || b == '\r') {
                if (length == 0) {
                    onEventEnd.run();
                } else if (length <= MAX_LINE_BYTES) {
                    onLine.accept(new String(line, 0, length, StandardCharsets.UTF_8));
                }
                length = 0;
            } else if (length < MAX_LINE_BYTES) {
                if (length == line.length) {
                    line = Arrays.copyOf(line, 2 * length);
                }
                line[length++] = b;
            } else {
                length = MAX_LINE_BYTES + 1;
            }
        }
    }
}
