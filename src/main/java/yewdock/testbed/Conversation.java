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

/** A stand-in's end of a connection, blocking: reads whole messages, one after the other. */
final class Conversation implements MessageReader.Sink {
    private static final int BUFFER = 8192;

    private final Socket socket;
    private final MessageReader reader;
    private final byte[] buffer = new byte[BUFFER];
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ByteBuffer left = ByteBuffer.allocate(0);
    private MessageHead head;
    private boolean touched;
    private long firstBody;

    Conversation(Socket socket, MessageReader.Kind kind) {
        this.socket = socket;
        this.reader = new MessageReader(kind, this);
    }

    /** Reads the next message; EOFException if the connection ends before its end. */
    MessageHead next() throws IOException {
        head = null;
        touched = false;
        firstBody = 0;
        body.reset();
        try {
            while (true) {
                if (!left.hasRemaining()) {
                    int n = socket.getInputStream().read(buffer);
                    if (n < 0) {
                        throw new EOFException("the connection ended");
                    }
                    left = ByteBuffer.wrap(buffer.clone(), 0, n);
                    touched = true;
                }
                reader.read(left);
                if (reader.isComplete()) {
                    reader.startNext();
                    return head;
                }
            }
        } catch (BadMessageException e) {
            throw new IOException("a message that can't be read: " + e.getMessage(), e);
        }
    }

    /** Whether any of the message has come. */
    boolean touched() {
        return touched;
    }

    /** The message's head, once it has come. */
    MessageHead head() {
        return head;
    }

    /** When the first piece of its body came, or 0. */
    long firstBody() {
        return firstBody;
    }

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
        if (firstBody == 0) {
            firstBody = System.nanoTime();
        }
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void end() {
        // next() sees it
    }
}
