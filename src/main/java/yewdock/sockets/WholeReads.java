package yewdock.sockets;

import java.io.ByteArrayOutputStream;
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
 * MINA reads a connection until nothing is left, and forgets what that brought when the last of these
 * reads fails: a stream's end, or a list, behind which its sender has reset the connection. Here they are
 * passed on, and the connection is closed behind them.
 *
 * <p>A client's connection is read on until nothing is left, however much that is, so that its end is known
 * before what came ahead of the end is passed on.
 */
final class WholeReads extends NioProcessor {
    /** Set where the end of the connection was read. */
    private static final AttributeKey ENDED = new AttributeKey(WholeReads.class, "ended");
    /** What was read behind a full buffer, as bytes. */
    private static final AttributeKey BEHIND = new AttributeKey(WholeReads.class, "behind");
    /** So much is read behind a full buffer: more than any client may send before it is answered. */
    private static final int MOST_BEHIND = 1 << 20;
    private static final int PIECE = 64 * 1024;
    /**
     * Where so much has waited, it filled the connection's receive window, and the rest waits at the client:
     * the system sends it on as the window opens, within this time.
     */
    private static final int WINDOW = 32 * 1024;
    private static final long MORE_WITHIN_NANOS = 500_000;

    private final Object rounds = new Object();
    /** How often all that was ready has been read; guarded by rounds. */
    private long round;

    /** Tells that what is written to a connection was decided too long ago to be begun. */
    private final Predicate<IoSession> tooLate;
    private final Predicate<IoSession> isClient;

    WholeReads(Executor threads, Predicate<IoSession> tooLate, Predicate<IoSession> isClient) {
        super(threads);
        this.tooLate = tooLate;
        this.isClient = isClient;
    }

    /** A message whose first byte is late is not begun: the connection breaks with nothing written. */
    @Override
    protected int write(NioSession session, IoBuffer from, int length) throws IOException {
        if (from.position() == 0 && tooLate.test(session)) {
            throw new IOException("decided too long ago");
        }
        return super.write(session, from, length);
    }

    @Override
    protected int select(long timeout) throws Exception {
        synchronized (rounds) {
            round++;
            rounds.notifyAll();
        }
        return super.select(timeout);
    }

    /**
     * Waits until all that is ready to be read now has been read and passed on, at most so long. The round
     * that goes on now may have begun before it was ready; the one after it finds it.
     */
    void awaitRead(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (rounds) {
            long last = round + 2;
            while (round < last && System.nanoTime() < until) {
                wakeup();
                rounds.wait(1);
            }
        }
    }

    @Override
    protected int read(NioSession session, IoBuffer into) throws Exception {
        int read = readUnlessReset(session, into);
        if (read > 0 && !into.hasRemaining() && isClient.test(session)) {
            readBehind(session);
        }
        return read;
    }

    private int readUnlessReset(NioSession session, IoBuffer into) throws Exception {
        try {
            int read = super.read(session, into);
            if (read < 0) {
                session.setAttribute(ENDED);
            }
            return read;
        } catch (IOException e) {
            if (into.position() == 0) {
                throw e;
            }
            // handled by this thread once what came is passed on
            session.setAttribute(ENDED);
            session.closeNow();
            return 0;
        }
    }

    private void readBehind(NioSession session) throws Exception {
        ByteArrayOutputStream behind = new ByteArrayOutputStream();
        IoBuffer piece = IoBuffer.allocate(PIECE);
        long until = System.nanoTime();
        int read = 1;
        while (behind.size() < MOST_BEHIND && (read > 0 || read == 0 && System.nanoTime() < until)) {
            piece.clear();
            read = readUnlessReset(session, piece);
            behind.write(piece.array(), 0, piece.position());
            if (read > 0 && behind.size() >= WINDOW) {
                until = System.nanoTime() + MORE_WITHIN_NANOS;
            }
        }
        session.setAttribute(BEHIND, behind.toByteArray());
    }

    /** Whether the other side has ended the connection behind what was read last. */
    static boolean hasEnded(IoSession session) {
        return session.containsAttribute(ENDED);
    }

    /** What was read last, and all that was read behind it. */
    ByteBuffer withAllBehind(IoSession session, ByteBuffer bytes) {
        byte[] behind = (byte[]) session.removeAttribute(BEHIND);
        if (behind == null) {
            return bytes;
        }
        ByteBuffer all = ByteBuffer.allocate(bytes.remaining() + behind.length);
        return all.put(bytes).put(behind).flip();
    }
}
