package yewdock.testbed;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import yewdock.http.BadMessageException;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/**
 * One end of an HTTP/1.1 connection with blocking I/O, for stub servers and test clients: reads one whole
 * message after the other.
 */
final class BlockingHttpConnection implements MessageReader.Sink {
    private static final int BUFFER_BYTES = 8192;

    private final Socket socket;
    private final MessageReader reader;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ByteBuffer unparsed = ByteBuffer.allocate(0);
    private MessageHead head;
    private boolean receivedAny;
    private long firstBodyNanos;

    BlockingHttpConnection(Socket socket, MessageReader.Kind kind) {
        this.socket = socket;
        this.reader = new MessageReader(kind, this);
    }

    /** Reads the next message whole; throws EOFException if the connection ends before the message does. */
    MessageHead readMessage() throws IOException {
        head = null;
        receivedAny = false;
        firstBodyNanos = 0;
        body.reset();
        try {
            while (true) {
                if (!unparsed.hasRemaining()) {
                    int count = socket.getInputStream().read(buffer);
                    if (count < 0) {
                        throw new EOFException("connection closed before the end of the message");
                    }
                    unparsed = ByteBuffer.wrap(buffer.clone(), 0, count);
                    receivedAny = true;
                }
                reader.read(unparsed);
                if (reader.isComplete()) {
                    reader.startNext();
                    return head;
                }
            }
        } catch (BadMessageException e) {
            throw new IOException("malformed HTTP message: " + e.getMessage(), e);
        }
    }

    /** Whether any bytes arrived since the call of {@link #readMessage}. */
    boolean receivedAny() {
        return receivedAny;
    }

    /** The head of the current message; null until it has arrived. */
    MessageHead head() {
        return head;
    }

    /** The System.nanoTime() at which the first piece of the body arrived; 0 if none has. */
    long firstBodyNanos() {
        return firstBodyNanos;
    }

    /** The body of the current message, as far as it has arrived. */
    String body() {
        return body.toString(StandardCharsets.UTF_8);
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void head(MessageHead read) {
        head = read;
    }

    @Override
    public void body(ByteBuffer piece) {
        if (firstBodyNanos == 0) {
            firstBodyNanos = System.nanoTime();
        }
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void end() {
        // readMessage() asks the reader whether the message is complete
    }
}
