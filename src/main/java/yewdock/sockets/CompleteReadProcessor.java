package yewdock.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * An I/O processor that loses no bytes before a reset. MINA reads a connection until nothing is left and
 * discards everything if the last of these reads fails, for example the end of a stream, or an endpoint list,
 * after which the sender has reset the connection. Here the bytes are passed on before the connection closes.
 *
 * <p>Client connections are read until nothing is left even if the buffer is full, so that a disconnect is
 * known before the bytes that precede it are passed on.
 */
final class CompleteReadProcessor extends NioProcessor {
    /** Set when the end of the connection has been read. */
    private static final AttributeKey ENDED = new AttributeKey(CompleteReadProcessor.class, "ended");
    /** The bytes that were read after the buffer was full, as an IoBuffer. */
    private static final AttributeKey REMAINDER = new AttributeKey(CompleteReadProcessor.class, "remainder");
    /** Limit of these bytes: more than a client may send before it gets a response. */
    private static final int MAX_REMAINDER_BYTES = 1 << 20;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int GROWTH_FACTOR = 2;
    /**
     * From this size on, unread bytes may have filled the connection's receive window, with the rest still at
     * the client, which sends it once the window opens, within WINDOW_UPDATE_NANOS.
     */
    private static final int RECEIVE_WINDOW_BYTES = 32 * 1024;
    private static final long WINDOW_UPDATE_NANOS = 500_000;
    private static final int END_OF_STREAM = -1;

    private final Object roundLock = new Object();
    /** The number of rounds in which everything ready was read; guarded by roundLock. */
    private long round;

    /** Whether the next write to a session was decided on too long ago to be started. */
    private final Predicate<IoSession> isExpired;
    private final Predicate<IoSession> isClient;

    CompleteReadProcessor(Executor executor, Predicate<IoSession> isExpired, Predicate<IoSession> isClient) {
        super(executor);
        this.isExpired = isExpired;
        this.isClient = isClient;
    }

    /**
     * Does not start a write that is too late: the connection fails with nothing written. A write that a
     * signal interrupted, which the channel reports as a negative number, has written nothing.
     */
    @Override
    protected int write(NioSession session, IoBuffer from, int length) throws IOException {
        if (from.position() == 0 && isExpired.test(session)) {
            throw new IOException("write was decided on too long ago");
        }
        return Math.max(0, super.write(session, from, length));
    }

    @Override
    protected int select(long timeout) throws Exception {
        synchronized (roundLock) {
            round++;
            roundLock.notifyAll();
        }
        return super.select(timeout);
    }

    /**
     * Waits until everything that is ready now has been read and passed on, or until the timeout. The current
     * round may have begun before it was ready; the one after it reads it.
     */
    void awaitRead(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (roundLock) {
            long target = round + 2;
            while (round < target && System.nanoTime() < until) {
                wakeup();
                roundLock.wait(1);
            }
        }
    }

    @Override
    protected int read(NioSession session, IoBuffer into) throws Exception {
        int read = readUnlessReset(session, into);
        if (read > 0 && !into.hasRemaining() && isClient.test(session)) {
            readRemainder(session);
        }
        return read;
    }

    private int readUnlessReset(NioSession session, IoBuffer into) throws Exception {
        try {
            int read = super.read(session, into);
            if (read == END_OF_STREAM) {
                session.setAttribute(ENDED);
            }
            // other negative numbers mean that a signal interrupted the call: there may be more to read
            return read < END_OF_STREAM ? 0 : read;
        } catch (IOException e) {
            if (into.position() == 0) {
                throw e;
            }
            // this thread closes the session after the bytes have been passed on
            session.setAttribute(ENDED);
            session.closeNow();
            return 0;
        }
    }

    /**
     * Reads what is behind the full buffer. It is kept only until it is passed on, right after this; bytes of
     * a client that has disconnected are not passed on, and would stay until the session is removed, which
     * MINA does after it has read all sessions.
     */
    private void readRemainder(NioSession session) throws Exception {
        IoBuffer remainder = IoBuffer.allocate(BUFFER_BYTES);
        long until = System.nanoTime();
        int read = 1;
        while (!isAtEnd(session) && remainder.position() < MAX_REMAINDER_BYTES
                && (read > 0 || System.nanoTime() < until)) {
            if (!remainder.hasRemaining()) {
                int larger = Math.min(GROWTH_FACTOR * remainder.capacity(), MAX_REMAINDER_BYTES);
                remainder.capacity(larger).limit(larger);
            }
            read = readUnlessReset(session, remainder);
            if (read > 0 && remainder.position() >= RECEIVE_WINDOW_BYTES) {
                until = System.nanoTime() + WINDOW_UPDATE_NANOS;
            }
        }
        if (!isAtEnd(session)) {
            session.setAttribute(REMAINDER, remainder.flip());
        }
    }

    /** Whether the peer has closed the connection after the bytes that were read last. */
    static boolean isAtEnd(IoSession session) {
        return session.containsAttribute(ENDED);
    }

    /** Returns these bytes, which were read last, and all that were read after the buffer was full. */
    ByteBuffer withRemainder(IoSession session, ByteBuffer bytes) {
        IoBuffer remainder = (IoBuffer) session.removeAttribute(REMAINDER);
        if (remainder == null) {
            return bytes;
        }
        ByteBuffer all = ByteBuffer.allocate(bytes.remaining() + remainder.remaining());
        return all.put(bytes).put(remainder.buf()).flip();
    }
}
