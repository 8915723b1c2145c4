package yewdock.sockets;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA reads a connection until nothing is left, and forgets what that brought when the last of these
 * reads fails: a stream's end, or a list, behind which its sender has reset the connection. Here they are
 * passed on, and the connection is closed behind them.
 */
final class WholeReads extends NioProcessor {
    private final Object rounds = new Object();
    /** How often all that was ready has been read; guarded by rounds. */
    private long round;

    /** Tells that what is written to a connection was decided too long ago to be begun. */
    private final Predicate<IoSession> tooLate;

    WholeReads(Executor threads, Predicate<IoSession> tooLate) {
        super(threads);
        this.tooLate = tooLate;
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
        try {
            return super.read(session, into);
        } catch (IOException e) {
            if (into.position() == 0) {
                throw e;
            }
            // handled by this thread once what came is passed on
            session.closeNow();
            return 0;
        }
    }
}
