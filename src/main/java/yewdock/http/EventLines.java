package yewdock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/** Cuts an event stream into its lines, as bytes come; lines over the bound are dropped unseen. */
public final class EventLines {
    private static final int MOST_LINE = 16 * 1024;

    private final Consumer<String> lines;
    private byte[] kept = new byte[256];
    private int length;

    public EventLines(Consumer<String> lines) {
        this.lines = lines;
    }

    /** Reads all of the piece, without moving its position. */
    public void read(ByteBuffer piece) {
        for (int i = piece.position(); i < piece.limit(); i++) {
            byte b = piece.get(i);
            if (b == '\n' || b == '\r') {
                if (length > 0 && length <= MOST_LINE) {
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
