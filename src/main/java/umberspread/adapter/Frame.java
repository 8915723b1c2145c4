package umberspread.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/** A batch of events as it stands on the wire. Bounds are checked on every read. */
final class Frame {
    private static final int LENGTH_BYTES = 4;
    private static final int HEAD_BYTES = 12;
    private static final int MOST_BYTES = 1 << 30;

    final int records;
    final double clock;
    private final ByteBuffer body;
    private int record;
    private int recordAt;

    private Frame(ByteBuffer body) {
        this.body = body;
        records = body.getInt();
        clock = body.getDouble();
    }

    /** Reads the next frame; null at a clean end of input. */
    static Frame read(InputStream in) throws IOException, WireException {
        byte[] head = in.readNBytes(LENGTH_BYTES);
        if (head.length == 0) {
            return null;
        }
        if (head.length < LENGTH_BYTES) {
            throw new WireException("truncated frame: " + head.length + " of 4 length bytes");
        }
        int length = ByteBuffer.wrap(head).getInt();
        if (length < HEAD_BYTES || length > MOST_BYTES) {
            throw new WireException("frame length " + Integer.toUnsignedString(length) + " is not possible");
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new WireException("truncated frame: " + bytes.length + " of " + length + " bytes");
        }
        return new Frame(ByteBuffer.wrap(bytes));
    }

    /** Starts the next record and returns its code. */
    int nextCode() throws WireException {
        recordAt = body.position();
        int code = u8();
        record++;
        return code;
    }

    void end() throws WireException {
        if (body.hasRemaining()) {
            throw new WireException("frame has " + body.remaining() + " bytes after its last record");
        }
    }

    WireException bad(String what) {
        return new WireException(what + " in record " + record + " at byte " + (recordAt + LENGTH_BYTES));
    }

    int u8() throws WireException {
        need(1);
        return body.get() & 0xff;
    }

    int u16() throws WireException {
        need(2);
        return body.getShort() & 0xffff;
    }

    long u32() throws WireException {
        need(4);
        return body.getInt() & 0xffffffffL;
    }

    long u64() throws WireException {
        need(8);
        return body.getLong();
    }

    double f32() throws WireException {
        need(4);
        return body.getFloat();
    }

    double f64() throws WireException {
        need(8);
        return body.getDouble();
    }

    /** A count of items that take so many bytes each, checked against what is left of the frame. */
    int count(long n, int bytesEach) throws WireException {
        if (n * bytesEach > body.remaining()) {
            throw bad("record overruns its frame: " + n + " items of " + bytesEach + " bytes");
        }
        return (int) n;
    }

    byte[] bytes(long n) throws WireException {
        byte[] out = new byte[count(n, 1)];
        body.get(out);
        return out;
    }

    private void need(int n) throws WireException {
        if (body.remaining() < n) {
            throw bad("record overruns its frame");
        }
    }
}
