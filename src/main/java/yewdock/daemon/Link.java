package yewdock.daemon;

import java.io.EOFException;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import yewdock.wire.Frame;

/**
 * A connection of the control socket: frames both ways, each behind its length. Sending never blocks: a peer
 * that stops reading fills a bounded queue and is then cut off, so that a hung generation holds nobody up.
 */
public final class Link {
    /** The largest frame: a state with thousands of boxes takes under 1 MiB. */
    static final int MOST_FRAME = 32 << 20;
    private static final int MOST_WAITING = 20_000;
    private static final ByteBuffer END = ByteBuffer.allocate(0);

    private final SocketChannel channel;
    private final BlockingQueue<ByteBuffer> waiting = new LinkedBlockingQueue<>(MOST_WAITING);
    private volatile boolean closed;
    private Thread writer;

    Link(SocketChannel channel) {
        this.channel = channel;
    }

    /** Connects to the control socket in this folder. */
    public static Link to(Path control) throws IOException {
        SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX);
        try {
            channel.connect(UnixDomainSocketAddress.of(socketIn(control)));
        } catch (IOException e) {
            channel.close();
            throw new IOException("no daemon answers at " + socketIn(control) + ": " + e.getMessage(), e);
        }
        return new Link(channel);
    }

    static Path socketIn(Path control) {
        return control.resolve("control.sock");
    }

    /** Begins to read and write; both consumers are called on the reader's thread, the second once. */
    public void start(String name, Consumer<Frame> heard, Consumer<String> lost) {
        writer = daemon(name + "-out", this::write);
        writer.start();
        daemon(name + "-in", () -> {
            String why = "its connection was closed";
            try {
                while (true) {
                    heard.accept(read());
                }
            } catch (EOFException e) {
                // the other side has closed
            } catch (IOException | RuntimeException e) {
                why = "its connection broke: " + e.getMessage();
            }
            close();
            lost.accept(why);
        }).start();
    }

    private static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Sends a frame behind those sent before; false if the peer is gone or has been cut off. */
    public boolean send(Frame frame) {
        byte[] bytes = frame.toByteArray();
        ByteBuffer all = ByteBuffer.allocate(Integer.BYTES + bytes.length);
        all.putInt(bytes.length).put(bytes).flip();
        if (closed) {
            return false;
        }
        if (!waiting.offer(all)) {
            close();
            return false;
        }
        return true;
    }

    /** For stand-ins that talk nonsense. */
    public void sendRaw(byte[] bytes) {
        waiting.add(ByteBuffer.wrap(bytes));
    }

    /** Writes out what was sent, waiting so long at most, and closes. */
    public void finish(long millis) {
        if (writer != null && waiting.offer(END)) {
            try {
                writer.join(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        close();
    }

    /** Closes at once. */
    public void close() {
        closed = true;
        try {
            channel.close();
        } catch (IOException e) {
            // closed all the same
        }
        waiting.offer(END);
    }

    private void write() {
        try {
            for (ByteBuffer next = waiting.take(); next != END; next = waiting.take()) {
                while (next.hasRemaining()) {
                    channel.write(next);
                }
            }
        } catch (IOException e) {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Frame read() throws IOException {
        int length = readFully(ByteBuffer.allocate(Integer.BYTES)).getInt();
        if (length < 0 || length > MOST_FRAME) {
            throw new IOException("a frame of " + length + " bytes");
        }
        return Frame.parseFrom(readFully(ByteBuffer.allocate(length)));
    }

    private ByteBuffer readFully(ByteBuffer into) throws IOException {
        while (into.hasRemaining()) {
            if (channel.read(into) < 0) {
                throw new EOFException();
            }
        }
        return into.flip();
    }
}
