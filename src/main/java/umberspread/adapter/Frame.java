package umberspread.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/** A batch of events in the wire format of the simulator. Every read is checked against the frame's end. */
final class Frame {
    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 12;
    private static final int MAX_BYTES = 1 << 30;

    /** Number of event records in the frame. */
    final int records;
    /** Time of the batch, in seconds. */
    final double clock;
    private final ByteBuffer body;
    private int record;
    private int recordOffset;

    private Frame(ByteBuffer body) {
        this.body = body;
        records = body.getInt();
        clock = body.getDouble();
    }

    /** Reads the next frame; returns null if the input ends before it. */
    static Frame read(InputStream in) throws IOException, WireException {
        byte[] lengthBytes = in.readNBytes(LENGTH_BYTES);
        if (lengthBytes.length == 0) {
            return null;
        }
        if (lengthBytes.length < LENGTH_BYTES) {
            throw new WireException("truncated frame: " + lengthBytes.length + " of 4 length bytes");
        }
        int length = ByteBuffer.wrap(lengthBytes).getInt();
        if (length < HEADER_BYTES || length > MAX_BYTES) {
            throw new WireException("frame length " + Integer.toUnsignedString(length) + " is out of range");
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new WireException("truncated frame: " + bytes.length + " of " + length + " bytes");
        }
        return new Frame(ByteBuffer.wrap(bytes));
    }

    /** Starts the next record and returns its event code. */
    int nextCode() throws WireException {
        recordOffset = body.position();
        int code = u8();
        record++;
        return code;
    }

    /** Checks that the frame has no bytes left. */
    void requireEnd() throws WireException {
        if (body.hasRemaining()) {
            throw new WireException("frame has " + body.remaining() + " bytes after its last record");
        }
    }

    /** Returns an exception that names the current record and its offset in the frame. */
    WireException invalid(String what) {
        return new WireException(what + " in record " + record + " at byte " + (recordOffset + LENGTH_BYTES));
    }

    int u8() throws WireException {
        requireRemaining(1);
        return body.get() & 0xff;
    }

    int u16() throws WireException {
        requireRemaining(2);
        return body.getShort() & 0xffff;
    }

    long u32() throws WireException {
        requireRemaining(4);
        return body.getInt() & 0xffffffffL;
    }

    long u64() throws WireException {
        requireRemaining(8);
        return body.getLong();
    }

    double f32() throws WireException {
        requireRemaining(4);
        return body.getFloat();
    }

    double f64() throws WireException {
        requireRemaining(8);
        return body.getDouble();
    }

    /** Returns n as an int after checking that n items of this size fit into the rest of the frame. */
    int count(long n, int bytesEach) throws WireException {
        if (n * bytesEach > body.remaining()) {
            throw invalid("record overruns its frame: " + n + " items of " + bytesEach + " bytes");
        }
        return (int) n;
    }

    /** Reads the next n bytes. */
    byte[] bytes(long n) throws WireException {
        byte[] out = new byte[count(n, 1)];
        body.get(out);
        return out;
    }

    private void requireRemaining(int n) throws WireException {
        if (body.remaining() < n) {
            throw invalid("record overruns its frame");
        }
    }
}
