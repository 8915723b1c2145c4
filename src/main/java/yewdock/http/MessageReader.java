package yewdock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads HTTP/1.1 messages from bytes as they come, cut anywhere. After a message's end it reads nothing
 * more until {@link #startNext}; what came behind it stays in the caller's buffer.
 */
public final class MessageReader {
    public static final int MAX_HEAD_BYTES = 32 * 1024;
    public static final int MAX_BODY_BYTES = 256 * 1024;
    /** A line that gives a chunk's size, with what may stand behind the size. */
    private static final int MOST_SIZE_LINE = 256;
    private static final String START = "HTTP/1.";

    /** Which side's messages come. */
    public enum Kind { REQUEST, RESPONSE }

    /** Takes what was read. */
    public interface Sink {
        /** The head is whole. */
        void head(MessageHead head) throws BadMessageException;

        /** A piece of the body, without its framing. */
        void body(ByteBuffer piece) throws BadMessageException;

        /** The message is whole. */
        void end();
    }

    private enum State { HEAD, FIXED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNTIL_CLOSE, DONE }

    private final Kind kind;
    private final Sink sink;
    private State state = State.HEAD;
    private byte[] line = new byte[256];
    private int lineLength;
    private int headLength;
    private final List<String> lines = new ArrayList<>();
    private long left;
    private long bodyLength;

    public MessageReader(Kind kind, Sink sink) {
        this.kind = kind;
        this.sink = sink;
    }

    /** Whether nothing of the next message has come. */
    public boolean atMessageStart() {
        return state == State.HEAD && lines.isEmpty() && lineLength == 0;
    }

    /** Whether the message is whole. */
    public boolean isComplete() {
        return state == State.DONE;
    }

    /** Whether the message's body goes on to the end of its connection. */
    public boolean readsUntilClose() {
        return state == State.UNTIL_CLOSE;
    }

    /** Makes ready for the next message. */
    public void startNext() {
        state = State.HEAD;
        lineLength = 0;
        headLength = 0;
        bodyLength = 0;
        lines.clear();
    }

    /** Reads up to the end of the message or of the bytes. */
    public void read(ByteBuffer in) throws BadMessageException {
        while (in.hasRemaining() && state != State.DONE) {
            switch (state) {
                case FIXED, CHUNK, UNTIL_CLOSE -> piece(in);
                default -> {
                    if (lineRead(in)) {
                        String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
                        lineLength = 0;
                        took(text);
                    }
                }
            }
        }
    }

    private void piece(ByteBuffer in) throws BadMessageException {
        int n = state == State.UNTIL_CLOSE ? in.remaining() : (int) Math.min(in.remaining(), left);
        ByteBuffer piece = in.slice(in.position(), n);
        in.position(in.position() + n);
        left -= n;
        sink.body(piece);
        if (left == 0 && state == State.FIXED) {
            finish();
        } else if (left == 0 && state == State.CHUNK) {
            state = State.CHUNK_END;
        }
    }

    /** Takes bytes up to a line's end; true when the line is whole. Bounded, for heads and trailers alike. */
    private boolean lineRead(ByteBuffer in) throws BadMessageException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (++headLength > MAX_HEAD_BYTES) {
                throw new BadMessageException(431, "the head is over " + MAX_HEAD_BYTES + " bytes");
            }
            if (b == '\n') {
                if (lineLength > 0 && line[lineLength - 1] == '\r') {
                    lineLength--;
                } else if (kind == Kind.REQUEST) {
                    // others may read the same bytes as other lines, and so as another request
                    throw new BadMessageException(400, "a line ends without CR");
                }
                return true;
            }
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, line.length * 2);
            }
            line[lineLength++] = b;
            unfit(b);
        }
        return false;
    }

    /** What can't become a line that fits is told at once: its sender may send no more, nor close. */
    private void unfit(byte last) throws BadMessageException {
        if (state == State.HEAD && kind == Kind.RESPONSE && lines.isEmpty() && lineLength <= START.length()
                && last != START.charAt(lineLength - 1) && !(lineLength == 1 && last == '\r')) {
            throw new BadMessageException(400, "the first line is malformed");
        }
        if (state == State.CHUNK_END && !(lineLength == 1 && last == '\r')) {
            throw new BadMessageException(400, "a chunk is longer than it said");
        }
        if (state == State.CHUNK_SIZE && (lineLength > MOST_SIZE_LINE
                || lineLength == 1 && Character.digit(last, 16) < 0)) {
            throw new BadMessageException(400, "a chunk's size is malformed");
        }
    }

    private void took(String text) throws BadMessageException {
        switch (state) {
            case HEAD -> {
                if (!text.isEmpty()) {
                    lines.add(text);
                } else if (!lines.isEmpty()) {
                    headRead();
                }
            }
            case CHUNK_SIZE -> chunk(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new BadMessageException(400, "a chunk is longer than it said");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                if (text.isEmpty()) {
                    finish();
                }
            }
            default -> throw new IllegalStateException("a line in " + state);
        }
    }

    private void headRead() throws BadMessageException {
        String[] start = lines.get(0).split(" ", 3);
        boolean request = kind == Kind.REQUEST;
        if (start.length < (request ? 3 : 2) || !(request ? start[2] : start[0]).matches("HTTP/1\\.[01]")
                || request && (!start[0].matches("[A-Z]{1,20}") || !start[1].matches("[!-~]+"))
                || !request && !start[1].matches("[1-5][0-9][0-9]")) {
            throw new BadMessageException(400, "the first line is malformed");
        }
        List<MessageHead.Field> fields = new ArrayList<>();
        for (String row : lines.subList(1, lines.size())) {
            int colon = row.indexOf(':');
            if (colon <= 0 || !row.substring(0, colon).matches("[!#-'*+.^-z|~0-9A-Z-]+")) {
                throw new BadMessageException(400, "a header line is malformed");
            }
            if (request && row.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
                // a lone CR is a line's end to some readers
                throw new BadMessageException(400, "a header line is malformed");
            }
            fields.add(new MessageHead.Field(row.substring(0, colon), row.substring(colon + 1).strip()));
        }
        MessageHead head = new MessageHead(start[0], start[1], start.length > 2 ? start[2] : "", fields);
        lines.clear();
        if (!request && head.status() < 200) {
            // the answer is yet to come; all heads before it together have the bound of one
            return;
        }
        frame(head);
    }

    /** Tells from the head where the body ends. Two ways of telling would let a second request hide in it. */
    private void frame(MessageHead head) throws BadMessageException {
        List<String> lengths = head.fields().stream().filter(f -> f.name().equalsIgnoreCase("Content-Length"))
                .map(MessageHead.Field::value).toList();
        String coding = head.field("Transfer-Encoding");
        if (coding != null && !lengths.isEmpty() || lengths.size() > 1
                || head.count("Transfer-Encoding") > 1) {
            throw new BadMessageException(400, "the body's length is given in two ways");
        }
        if (coding != null && !coding.equalsIgnoreCase("chunked")) {
            throw new BadMessageException(kind == Kind.REQUEST ? 501 : 400, "unknown transfer encoding");
        }
        if (!lengths.isEmpty()) {
            if (!lengths.get(0).matches("[0-9]{1,15}")) {
                throw new BadMessageException(400, "Content-Length is not a number");
            }
            left = Long.parseLong(lengths.get(0));
        } else {
            left = 0;
        }
        grow(left);
        boolean bare = kind == Kind.RESPONSE && (head.status() == 204 || head.status() == 304);
        sink.head(head);
        if (coding != null && !bare) {
            state = State.CHUNK_SIZE;
        } else if (left > 0 && !bare) {
            state = State.FIXED;
        } else if (kind == Kind.RESPONSE && lengths.isEmpty() && !bare) {
            state = State.UNTIL_CLOSE;
        } else {
            finish();
        }
    }

    private void chunk(String text) throws BadMessageException {
        int semicolon = text.indexOf(';');
        String size = (semicolon < 0 ? text : text.substring(0, semicolon)).strip();
        if (!size.matches("[0-9a-fA-F]{1,7}")) {
            throw new BadMessageException(400, "a chunk's size is malformed");
        }
        headLength = 0;
        left = Integer.parseInt(size, 16);
        if (left > MAX_BODY_BYTES) {
            throw new BadMessageException(413, "a chunk is over " + MAX_BODY_BYTES + " bytes");
        }
        grow(left);
        state = left == 0 ? State.TRAILERS : State.CHUNK;
    }

    /** Only requests are kept whole; an answer may stream for as long as it likes. */
    private void grow(long more) throws BadMessageException {
        bodyLength += more;
        if (kind == Kind.REQUEST && bodyLength > MAX_BODY_BYTES) {
            throw new BadMessageException(413, "the body is over " + MAX_BODY_BYTES + " bytes");
        }
    }

    private void finish() {
        state = State.DONE;
        sink.end();
    }
}
