package yewdock.sockets;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.channels.SocketChannel;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Closes connections whose peer may still be sending. Closing with unread bytes resets the connection, and
 * the peer may lose what was written last. Therefore the output is shut down once everything is written,
 * further input is read and dropped, and the connection is closed when the peer has closed it, after a
 * timeout, after too many bytes, or when its descriptor is needed.
 */
final class LingeringClose {
    /**
     * How long a close may wait.
     *
     * @param closeSeconds for the peer to close, once the output is shut down
     * @param readSeconds for the peer to read anything of what is still to be written
     */
    record Timeouts(int closeSeconds, int readSeconds) {
        static final Timeouts DEFAULT = new Timeouts(1, 30);
    }

    private static final int MAX_DROPPED_BYTES = 4 << 20;
    /** MINA can't shut down only the output of a connection and does not expose its channel. */
    private static final Field CHANNEL_FIELD = findChannelField();

    private final long closeTimeoutNanos;
    private final long readTimeoutNanos;
    private final SessionTimeouts timeouts;
    /** The lingering connections, oldest first; used by MINA's threads and the dispatcher's. */
    private final Set<IoSession> sessions = Collections.synchronizedSet(new LinkedHashSet<>());

    LingeringClose(Timeouts lengths, SessionTimeouts timeouts) {
        this.closeTimeoutNanos = TimeUnit.SECONDS.toNanos(lengths.closeSeconds());
        this.readTimeoutNanos = TimeUnit.SECONDS.toNanos(lengths.readSeconds());
        this.timeouts = timeouts;
    }

    private static Field findChannelField() {
        try {
            Field field = NioSession.class.getDeclaredField("channel");
            field.setAccessible(true);
            return field;
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException("this release of MINA has no NioSession.channel", e);
        }
    }

    /** Closes the session once everything is written, or when its peer has read nothing for long. */
    void closeAfterWriting(IoSession session) {
        timeouts.start(session, readTimeoutNanos, session::closeNow);
        session.closeOnFlush();
    }

    /** Shuts down the output after the last write, or at once if that is null. */
    void begin(IoSession session, WriteFuture lastWrite) {
        timeouts.start(session, readTimeoutNanos, session::closeNow);
        if (lastWrite == null) {
            shutDownOutput(session);
        } else {
            lastWrite.addListener(written -> shutDownOutput(session));
        }
    }

    private void shutDownOutput(IoSession session) {
        try {
            ((SocketChannel) CHANNEL_FIELD.get(session)).shutdownOutput();
        } catch (IOException | IllegalAccessException e) {
            // already broken or closed
            session.closeNow();
            return;
        }
        timeouts.start(session, closeTimeoutNanos, session::closeNow);
        sessions.add(session);
        session.getCloseFuture().addListener(closed -> sessions.remove(session));
    }

    /** Whether a connection may stay open after this number of bytes was dropped. */
    boolean mayDrop(int bytes) {
        return bytes <= MAX_DROPPED_BYTES;
    }

    /** Closes the connection that has lingered longest, if there is one, to free its descriptor. */
    void closeOldest() {
        IoSession oldest = null;
        synchronized (sessions) {
            Iterator<IoSession> oldestFirst = sessions.iterator();
            if (oldestFirst.hasNext()) {
                oldest = oldestFirst.next();
                oldestFirst.remove();
            }
        }
        if (oldest != null) {
            oldest.closeNow();
        }
    }
}
