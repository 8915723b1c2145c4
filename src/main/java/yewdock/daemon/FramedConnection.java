package yewdock.daemon;

import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * A bidirectional connection with length-prefixed protobuf frames. Sending never blocks: a peer that stops
 * reading fills a bounded queue and is then disconnected, so a hanging peer delays nobody. Reading can be
 * rate limited, and unread data stays with the sender.
 */
class FramedConnection<F extends Message> {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final ByteBuffer END = ByteBuffer.allocate(0);

    private final SocketChannel channel;
    private final Parser<F> parser;
    private final int maxFrameBytes;
    private final double maxBytesPerSecond;
    private final long maxQueuedBytes;
    private final BlockingQueue<ByteBuffer> sendQueue;
    /** The length of the frames in the queue and of the one that is being written. */
    private final AtomicLong queuedBytes = new AtomicLong();
    private volatile boolean closed;
    private Thread writer;

    /**
     * Wraps a connected channel. Limits the size of a received frame in bytes, the number of queued frames
     * and their bytes together, and the bytes read per second (0: no limit).
     */
    FramedConnection(SocketChannel channel, Parser<F> parser, int maxFrameBytes, int maxQueuedFrames,
            long maxQueuedBytes, double maxBytesPerSecond) {
        this.channel = channel;
        this.parser = parser;
        this.maxFrameBytes = maxFrameBytes;
        this.maxQueuedBytes = maxQueuedBytes;
        this.maxBytesPerSecond = maxBytesPerSecond;
        this.sendQueue = new LinkedBlockingQueue<>(maxQueuedFrames);
    }

    /** Starts reading and writing; both consumers run on the reader's thread, the second exactly once. */
    public final void start(String name, Consumer<F> onFrame, Consumer<String> onClosed) {
        writer = daemonThread(name + "-out", this::write);
        writer.start();
        daemonThread(name + "-in", () -> {
            String reason = "the connection was closed";
            try {
                long budgetUsedUntil = System.nanoTime();
                while (true) {
                    F frame = read(maxFrameBytes);
                    onFrame.accept(frame);
                    budgetUsedUntil = limitRate(budgetUsedUntil, frame.getSerializedSize());
                }
            } catch (EOFException e) {
                // the peer has closed the connection
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException | RuntimeException e) {
                reason = "the connection failed: " + e.getMessage();
            }
            close();
            onClosed.accept(reason);
        }).start();
    }

    private static Thread daemonThread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Queues a frame; false if the connection is closed, or is closed now because its queue is full. */
    public final boolean send(F frame) {
        byte[] bytes = frame.toByteArray();
        ByteBuffer message = ByteBuffer.allocate(Integer.BYTES + bytes.length);
        message.putInt(bytes.length).put(bytes).flip();
        if (closed) {
            return false;
        }
        if (queuedBytes.addAndGet(message.remaining()) > maxQueuedBytes || !sendQueue.offer(message)) {
            close();
            return false;
        }
        return true;
    }

    /** Queues bytes that need not be a frame; for fault injection. */
    public final void sendRaw(byte[] bytes) {
        queuedBytes.addAndGet(bytes.length);
        sendQueue.add(ByteBuffer.wrap(bytes));
    }

    /** Writes the queued frames, waiting so many milliseconds at most, and closes. */
    public final void flushAndClose(long millis) {
        if (writer != null && sendQueue.offer(END)) {
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
            // the channel counts as closed anyway
        }
        sendQueue.offer(END);
    }

    private void write() {
        try {
            for (ByteBuffer next = sendQueue.take(); next != END; next = sendQueue.take()) {
                int length = next.remaining();
                while (next.hasRemaining()) {
                    channel.write(next);
                }
                queuedBytes.addAndGet(-length);
            }
        } catch (IOException e) {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sleeps as long as the rate limit requires after so many bytes. Takes and returns the time in
     * nanoseconds up to which the limit is used; one second's worth may arrive in a burst.
     */
    private long limitRate(long budgetUsedUntil, int bytes) throws InterruptedException {
        if (maxBytesPerSecond <= 0) {
            return budgetUsedUntil;
        }
        long due = Math.max(budgetUsedUntil, System.nanoTime() - (long) NANOS_PER_SECOND)
                + (long) (bytes / maxBytesPerSecond * NANOS_PER_SECOND);
        long wait = (due - System.nanoTime()) / 1_000_000;
        if (wait > 0) {
            Thread.sleep(wait);
        }
        return due;
    }

    /** Reads the first frame, of this length at most; to be called before {@link #start}. */
    final F readFirst(int maxBytes) throws IOException {
        return read(maxBytes);
    }

    private F read(int maxBytes) throws IOException {
        int length = readFully(ByteBuffer.allocate(Integer.BYTES)).getInt();
        if (length < 0 || length > maxBytes) {
            throw new IOException("frame length out of range: " + length + " bytes");
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
