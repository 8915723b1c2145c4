package yewdock.daemon;

import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

/**
 * A connection with frames both ways, each behind its length. Sending never blocks: a peer that stops reading
 * fills a bounded queue and is then cut off, so that one that hangs holds nobody up. Reading goes no faster
 * than it is allowed to, and what is not read waits at the sender.
 */
class FramedConnection<F extends Message> {
    private static final double NANOS = 1e9;
    private static final ByteBuffer END = ByteBuffer.allocate(0);

    private final SocketChannel channel;
    private final Parser<F> parser;
    private final int mostFrame;
    private final double mostASecond;
    private final BlockingQueue<ByteBuffer> waiting;
    private volatile boolean closed;
    private Thread writer;

    /** Frames of so many bytes; so many may wait to be sent; read so fast at most, 0: as they come. */
    FramedConnection(SocketChannel channel, Parser<F> parser, int mostFrame, int mostWaiting,
            double mostASecond) {
        this.channel = channel;
        this.parser = parser;
        this.mostFrame = mostFrame;
        this.mostASecond = mostASecond;
        this.waiting = new LinkedBlockingQueue<>(mostWaiting);
    }

    /** Begins to read and write; both consumers are called on the reader's thread, the second once. */
    public final void start(String name, Consumer<F> heard, Consumer<String> lost) {
        writer = daemon(name + "-out", this::write);
        writer.start();
        daemon(name + "-in", () -> {
            String why = "its connection was closed";
            try {
                long began = System.nanoTime();
                while (true) {
                    F frame = read();
                    heard.accept(frame);
                    began = hold(began, frame.getSerializedSize());
                }
            } catch (EOFException e) {
                // the other side has closed
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
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
    public final boolean send(F frame) {
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
    public final void sendRaw(byte[] bytes) {
        waiting.add(ByteBuffer.wrap(bytes));
    }

    /** Writes out what was sent, waiting so long at most, and closes. */
    public final void flushAndClose(long millis) {
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
    public final void close() {
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

    /** Waits until so many bytes more are due; a second's worth may come at once. */
    private long hold(long began, int bytes) throws InterruptedException {
        if (mostASecond <= 0) {
            return began;
        }
        long due = Math.max(began, System.nanoTime() - (long) NANOS) + (long) (bytes / mostASecond * NANOS);
        long wait = (due - System.nanoTime()) / 1_000_000;
        if (wait > 0) {
            Thread.sleep(wait);
        }
        return due;
    }

    /** The first frame, before {@link #start}. */
    final F readFirst() throws IOException {
        return read();
    }

    private F read() throws IOException {
        int length = readFully(ByteBuffer.allocate(Integer.BYTES)).getInt();
        if (length < 0 || length > mostFrame) {
            throw new IOException("a frame of " + length + " bytes");
        }
        return parser.parseFrom(readFully(ByteBuffer.allocate(length)));
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
