package umberspread.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Collects the actions of one reply. The methods are named after the actions of the simulator's protocol;
 * times are in seconds.
 */
final class Reply {
    private static final int PRINT = 2;
    private static final int FOLLOW = 5;
    private static final int BUSY = 6;
    private static final int DISPATCH = 7;
    private static final int WAKE_AT = 8;
    private static final int FAULT = 9;
    private static final int DROP_ATTEMPT = 11;
    private static final int GIVE_UP = 12;
    private static final int HEADER_BYTES = 8;
    private static final int MAX_TEXT_BYTES = 1000;

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16).position(HEADER_BYTES);
    private int records;

    void dispatch(int gateway, long request, long server, double giveUpAfter) {
        startRecord(DISPATCH, gateway, 20).putLong(request).putInt((int) server).putDouble(giveUpAfter);
    }

    void dropAttempt(int gateway, long request, int attempt) {
        startRecord(DROP_ATTEMPT, gateway, 10).putLong(request).putShort((short) attempt);
    }

    void busy(int gateway, long request, double retryAfter) {
        startRecord(BUSY, gateway, 16).putLong(request).putDouble(retryAfter);
    }

    void giveUp(int gateway, long request) {
        startRecord(GIVE_UP, gateway, 8).putLong(request);
    }

    void follow(int gateway) {
        startRecord(FOLLOW, gateway, 1).put((byte) 1);
    }

    void wakeAt(int gateway, double instant, int token) {
        startRecord(WAKE_AT, gateway, 12).putDouble(instant).putInt(token);
    }

    void print(int gateway, String line) {
        text(PRINT, gateway, line);
    }

    void fault(int gateway, String line) {
        text(FAULT, gateway, line);
    }

    private void text(int code, int gateway, String line) {
        byte[] all = line.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = all.length > MAX_TEXT_BYTES ? Arrays.copyOf(all, MAX_TEXT_BYTES) : all;
        startRecord(code, gateway, 2 + bytes.length).putShort((short) bytes.length).put(bytes);
    }

    /** Starts an action record and returns the buffer, with room for its fields. */
    private ByteBuffer startRecord(int code, int gateway, int fieldBytes) {
        int size = 3 + fieldBytes;
        if (buffer.remaining() < size) {
            byte[] grown = Arrays.copyOf(buffer.array(),
                    Math.max(buffer.capacity() * 2, buffer.position() + size));
            buffer = ByteBuffer.wrap(grown).position(buffer.position());
        }
        records++;
        return buffer.put((byte) code).putShort((short) gateway);
    }

    /** Writes and flushes the reply, and clears this object for the next one. */
    void writeTo(OutputStream stream) throws IOException {
        buffer.putInt(0, records).putInt(4, buffer.position() - HEADER_BYTES);
        stream.write(buffer.array(), 0, buffer.position());
        stream.flush();
        records = 0;
        buffer.clear().position(HEADER_BYTES);
    }
}
