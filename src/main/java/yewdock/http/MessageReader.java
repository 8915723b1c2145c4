package yewdock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Incremental parser of HTTP/1.1 messages. After a message's end it reads nothing more until {@link
 * #startNext};
 * bytes after the message stay in the caller's buffer.
 */
public final class MessageReader {
    /** Longest head, or trailers, of a message. */
    public static final int MAX_HEAD_BYTES = 32 * 1024;
    /** Most lines in a head; many short ones take long to parse. */
    public static final int MAX_HEAD_LINES = 256;
    /** Longest body of a request, and longest chunk of any message. */
    public static final int MAX_BODY_BYTES = 256 * 1024;
    /** Longest line with a chunk's size, including chunk extensions. */
    private static final int MAX_CHUNK_SIZE_LINE_BYTES = 256;
    private static final String VERSION_PREFIX = "HTTP/1.";
    /** Size of the line buffer between messages. */
    private static final int INITIAL_BUFFER_BYTES = 256;

    /** The kind of messages to parse. */
    public enum Kind { REQUEST, RESPONSE }

    /** Receives the parts of a message as they are parsed. */
    public interface Sink {
        /** The head is complete. */
        void head(MessageHead head) throws BadMessageException;

        /** A piece of the body, without chunk framing. */
        void body(ByteBuffer piece) throws BadMessageException;

        /** The message is complete. */
        void end();
    }

    private enum State { HEAD, FIXED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNTIL_CLOSE, DONE }

    private final Kind kind;
    private final Sink sink;
    private State state = State.HEAD;
    /**
     * The current line or, in the head, all lines so far, each complete one ended by a line feed. The lines
     * are split only when the head is complete: as strings they take many times their length.
     */
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferLength;
    private int lineStart;
    private int headLines;
    /** Bytes read of the head, or of the framing of a chunk. */
    private int headBytes;
    private long remaining;
    private long bodyBytes;

    /** Makes a parser for one direction of a connection. */
    public MessageReader(Kind kind, Sink sink) {
        this.kind = kind;
        this.sink = sink;
    }

    /** Whether no byte of the next message has been read. */
    public boolean atMessageStart() {
        return state == State.HEAD && bufferLength == 0;
    }

    /** Returns how many bytes of memory are held for a head, or a line, that is not complete. */
    public int bufferedBytes() {
        return bufferLength == 0 ? 0 : buffer.length;
    }

    /** Whether the message is complete. */
    public boolean isComplete() {
        return state == State.DONE;
    }

    /** Whether the message's body ends only when its connection closes. */
    public boolean readsUntilClose() {
        return state == State.UNTIL_CLOSE;
    }

    /** Prepares for the next message. */
    public void startNext() {
        state = State.HEAD;
        headBytes = 0;
        headLines = 0;
        bodyBytes = 0;
        clearBuffer();
    }

    private void clearBuffer() {
        bufferLength = 0;
        lineStart = 0;
        if (buffer.length > INITIAL_BUFFER_BYTES) {
            buffer = new byte[INITIAL_BUFFER_BYTES];
        }
    }

    /** Reads up to the end of the message or of the buffer. */
    public void read(ByteBuffer in) throws BadMessageException {
        while (in.hasRemaining() && state != State.DONE) {
            switch (state) {
                case FIXED, CHUNK, UNTIL_CLOSE -> readBody(in);
                default -> {
                    if (readLine(in)) {
                        acceptLine();
                    }
                }
            }
        }
    }

    private void readBody(ByteBuffer in) throws BadMessageException {
        int n = state == State.UNTIL_CLOSE ? in.remaining() : (int) Math.min(in.remaining(), remaining);
        ByteBuffer piece = in.slice(in.position(), n);
        in.position(in.position() + n);
        remaining -= n;
        sink.body(piece);
        if (remaining == 0 && state == State.FIXED) {
            finish();
        } else if (remaining == 0 && state == State.CHUNK) {
            state = State.CHUNK_END;
        }
    }

    /** Reads up to a line's end; true when the line is complete. Limits heads and trailers alike. */
    private boolean readLine(ByteBuffer in) throws BadMessageException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (++headBytes > MAX_HEAD_BYTES) {
                throw new BadMessageException(431, "the head is over " + MAX_HEAD_BYTES + " bytes");
            }
            if (b == '\n') {
                if (lineLength() > 0 && buffer[bufferLength - 1] == '\r') {
                    bufferLength--;
                } else if (kind == Kind.REQUEST) {
                    // other parsers may split the lines differently: request smuggling
                    throw new BadMessageException(400, "a line ends without CR");
                }
                return true;
            }
            append(b);
            rejectMalformedLine(b);
        }
        return false;
    }

    private int lineLength() {
        return bufferLength - lineStart;
    }

    private void append(byte b) {
        if (bufferLength == buffer.length) {
            buffer = Arrays.copyOf(buffer, buffer.length * 2);
        }
        buffer[bufferLength++] = b;
    }

    /** Rejects a line as soon as it can't become valid: its sender may neither send the rest nor close. */
    private void rejectMalformedLine(byte lastByte) throws BadMessageException {
        int lineLength = lineLength();
        if (state == State.HEAD && kind == Kind.RESPONSE && lineStart == 0
                && lineLength <= VERSION_PREFIX.length()
                && lastByte != VERSION_PREFIX.charAt(lineLength - 1)
                && !(lineLength == 1 && lastByte == '\r')) {
            throw new BadMessageException(400, "the first line is malformed");
        }
        if (state == State.CHUNK_END && !(lineLength == 1 && lastByte == '\r')) {
            throw new BadMessageException(400, "a chunk is longer than it said");
        }
        if (state == State.CHUNK_SIZE && (lineLength > MAX_CHUNK_SIZE_LINE_BYTES
                || lineLength == 1 && Character.digit(lastByte, 16) < 0)) {
            throw new BadMessageException(400, "a chunk's size is malformed");
        }
    }

    private void acceptLine() throws BadMessageException {
        if (state == State.HEAD) {
            acceptHeadLine();
            return;
        }
        String text = new String(buffer, 0, bufferLength, StandardCharsets.ISO_8859_1);
        clearBuffer();
        switch (state) {
            case CHUNK_SIZE -> startChunk(text);
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

    /** Keeps a line of the head. Empty lines before the first one are skipped; the one after them ends it. */
    private void acceptHeadLine() throws BadMessageException {
        if (lineLength() > 0) {
            if (++headLines > MAX_HEAD_LINES) {
                throw new BadMessageException(431, "the head has over " + MAX_HEAD_LINES + " lines");
            }
            append((byte) '\n');
            lineStart = bufferLength;
        } else if (lineStart > 0) {
            String[] lines = new String(buffer, 0, bufferLength, StandardCharsets.ISO_8859_1).split("\n");
            clearBuffer();
            parseHead(lines);
        }
    }

    private void parseHead(String[] lines) throws BadMessageException {
        String[] start = lines[0].split(" ", 3);
        boolean isRequest = kind == Kind.REQUEST;
        if (start.length < (isRequest ? 3 : 2)
                || !(isRequest ? start[2] : start[0]).matches("HTTP/1\\.[01]")
                || isRequest && (!start[0].matches("[A-Z]{1,20}") || !start[1].matches("[!-~]+"))
                || !isRequest && !start[1].matches("[1-5][0-9][0-9]")) {
            throw new BadMessageException(400, "the first line is malformed");
        }
        List<MessageHead.Field> fields = new ArrayList<>();
        for (String fieldLine : Arrays.asList(lines).subList(1, lines.length)) {
            int colon = fieldLine.indexOf(':');
            if (colon <= 0 || !fieldLine.substring(0, colon).matches("[!#-'*+.^-z|~0-9A-Z-]+")) {
                throw new BadMessageException(400, "a header line is malformed");
            }
            if (isRequest && fieldLine.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
                // some parsers treat a lone CR as a line's end
                throw new BadMessageException(400, "a header line is malformed");
            }
            fields.add(new MessageHead.Field(fieldLine.substring(0, colon), fieldLine.substring(colon
                    + 1).strip()));
        }
        MessageHead head = new MessageHead(start[0], start[1], start.length > 2 ? start[2] : "", fields);
        if (!isRequest && head.status() < 200) {
            // an interim response; all heads up to the final one share the limit of one head
            return;
        }
        startBody(head);
    }

    /** Determines how the body is delimited. Two contradicting lengths would allow request smuggling. */
    private void startBody(MessageHead head) throws BadMessageException {
        List<String> lengths = head.fields().stream().filter(f -> f.name().equalsIgnoreCase("Content-Length"))
                .map(MessageHead.Field::value).toList();
        String transferEncoding = head.field("Transfer-Encoding");
        if (transferEncoding != null && !lengths.isEmpty() || lengths.size() > 1
                || head.count("Transfer-Encoding") > 1) {
            throw new BadMessageException(400, "the body's length is given in two ways");
        }
        if (transferEncoding != null && !transferEncoding.equalsIgnoreCase("chunked")) {
            throw new BadMessageException(kind == Kind.REQUEST ? 501 : 400, "unknown transfer encoding");
        }
        if (!lengths.isEmpty()) {
            if (!lengths.get(0).matches("[0-9]{1,15}")) {
                throw new BadMessageException(400, "Content-Length is not a number");
            }
            remaining = Long.parseLong(lengths.get(0));
        } else {
            remaining = 0;
        }
        addToBodyLength(remaining);
        boolean bodyless = kind == Kind.RESPONSE && (head.status() == 204 || head.status() == 304);
        sink.head(head);
        if (transferEncoding != null && !bodyless) {
            state = State.CHUNK_SIZE;
        } else if (remaining > 0 && !bodyless) {
            state = State.FIXED;
        } else if (kind == Kind.RESPONSE && lengths.isEmpty() && !bodyless) {
            state = State.UNTIL_CLOSE;
        } else {
            finish();
        }
    }

    private void startChunk(String text) throws BadMessageException {
        int semicolon = text.indexOf(';');
        String size = (semicolon < 0 ? text : text.substring(0, semicolon)).strip();
        if (!size.matches("[0-9a-fA-F]{1,7}")) {
            throw new BadMessageException(400, "a chunk's size is malformed");
        }
        headBytes = 0;
        remaining = Integer.parseInt(size, 16);
        if (remaining > MAX_BODY_BYTES) {
            throw new BadMessageException(413, "a chunk is over " + MAX_BODY_BYTES + " bytes");
        }
        addToBodyLength(remaining);
        state = remaining == 0 ? State.TRAILERS : State.CHUNK;
    }

    /** Limits the bodies of requests, which are buffered; responses are streamed and may be of any length. */
    private void addToBodyLength(long bytes) throws BadMessageException {
        bodyBytes += bytes;
        if (kind == Kind.REQUEST && bodyBytes > MAX_BODY_BYTES) {
            throw new BadMessageException(413, "the body is over " + MAX_BODY_BYTES + " bytes");
        }
    }

    private void finish() {
        state = State.DONE;
        sink.end();
    }
}
