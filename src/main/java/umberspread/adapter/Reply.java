package umberspread.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the actions of one reply. */
final class Reply {
    private static final int PRINT = 2;
    private static final int FOLLOW = 5;
    private static final int BUSY = 6;
    private static final int DISPATCH = 7;
    private static final int WAKE_AT = 8;
    private static final int FAULT = 9;
    private static final int DROP_ATTEMPT = 11;
    private static final int GIVE_UP = 12;
    private static final int HEAD_BYTES = 8;
    private static final int MOST_TEXT = 1000;

    private ByteBuffer out = ByteBuffer.allocate(1 << 16).position(HEAD_BYTES);
    private int records;

    void dispatch(int gateway, long request, long replica, double giveUpAfter) {
        open(DISPATCH, gateway, 20).putLong(request).putInt((int) replica).putDouble(giveUpAfter);
    }

    void dropAttempt(int gateway, long request, int attempt) {
        open(DROP_ATTEMPT, gateway, 10).putLong(request).putShort((short) attempt);
    }

    void busy(int gateway, long request, double retryAfter) {
        open(BUSY, gateway, 16).putLong(request).putDouble(retryAfter);
    }

    void giveUp(int gateway, long request) {
        open(GIVE_UP, gateway, 8).putLong(request);
    }

    void follow(int gateway) {
        open(FOLLOW, gateway, 1).put((byte) 1);
    }

    void wakeAt(int gateway, double instant, int token) {
        open(WAKE_AT, gateway, 12).putDouble(instant).putInt(token);
    }

    void print(int gateway, String line) {
        text(PRINT, gateway, line);
    }

    void fault(int gateway, String line) {
        text(FAULT, gateway, line);
    }

    private void text(int code, int gateway, String line) {
        byte[] all = line.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = all.length > MOST_TEXT ? Arrays.copyOf(all, MOST_TEXT) : all;
        open(code, gateway, 2 + bytes.length).putShort((short) bytes.length).put(bytes);
    }

    private ByteBuffer open(int code, int gateway, int fieldBytes) {
        int size = 3 + fieldBytes;
        if (out.remaining() < size) {
            byte[] grown = Arrays.copyOf(out.array(), Math.max(out.capacity() * 2, out.position() + size));
            out = ByteBuffer.wrap(grown).position(out.position());
        }
        records++;
        return out.put((byte) code).putShort((short) gateway);
    }

    /** Writes and flushes the reply, and empties this object for the next. */
    void writeTo(OutputStream stream) throws IOException {
        out.putInt(0, records).putInt(4, out.position() - HEAD_BYTES);
        stream.write(out.array(), 0, out.position());
        stream.flush();
        records = 0;
        out.clear().position(HEAD_BYTES);
    }
}
