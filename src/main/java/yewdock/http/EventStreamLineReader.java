package yewdock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts an event stream into its lines, as bytes come; lines over the bound are dropped unseen. A line ends
 * with CR, LF or both; an empty one ends an event.
 */
public final class EventStreamLineReader {
    private static final int MOST_LINE = 16 * 1024;

    private final Consumer<String> lines;
    private final Runnable empty;
    private boolean afterReturn;
    private byte[] kept = new byte[256];
    private int length;

    /** Where its lines go, and who is told of each empty one. */
    public EventStreamLineReader(Consumer<String> lines, Runnable empty) {
        this.lines = lines;
        this.empty = empty;
    }

    /** Reads all of the piece, without moving its position. */
    public void read(ByteBuffer piece) {
        for (int i = piece.position(); i < piece.limit(); i++) {
            byte b = piece.get(i);
            boolean pair = afterReturn && b == '\n';
            afterReturn = b == '\r';
            if (pair) {
                continue;
            }
            if (b == '\n' || b == '\r') {
                if (length == 0) {
                    empty.run();
                } else if (length <= MOST_LINE) {
                    lines.accept(new String(kept, 0, length, StandardCharsets.UTF_8));
                }
                length = 0;
            } else if (length < MOST_LINE) {
                if (length == kept.length) {
                    kept = Arrays.copyOf(kept, 2 * length);
                }
                kept[length++] = b;
            } else {
                length = MOST_LINE + 1;
            }
        }
    }
}
