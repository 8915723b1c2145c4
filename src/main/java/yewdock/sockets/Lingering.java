package yewdock.sockets;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.channels.SocketChannel;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Closes connections whose other side may still be sending. A close over bytes that were not read resets
 * the connection, and what was written last may be lost with it. So the sending side is shut once all is
 * written, what still comes is read and dropped, and the connection is closed when the other side has
 * closed it, after a second, after too many bytes, or when its descriptor is wanted.
 */
final class Lingering {
    /** How long it waits for the other side. */
    static final int SECONDS = 1;
    private static final int MOST_DROPPED = 4 << 20;
    /** MINA can shut neither side of a connection alone, and keeps the channel that can to itself. */
    private static final Field CHANNEL = channelField();

    private final int seconds;
    /** Oldest first; MINA's threads and the desk's use it. */
    private final Set<IoSession> sessions = Collections.synchronizedSet(new LinkedHashSet<>());

    Lingering(int seconds) {
        this.seconds = seconds;
    }

    private static Field channelField() {
        try {
            Field field = NioSession.class.getDeclaredField("channel");
            field.setAccessible(true);
            return field;
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException("another release of MINA", e);
        }
    }

    /** Shuts the sending side when this has been written, or at once where nothing is left to write. */
    void begin(IoSession session, WriteFuture last) {
        if (last == null) {
            shut(session);
        } else {
            last.addListener(written -> shut(session));
        }
    }

    private void shut(IoSession session) {
        try {
            ((SocketChannel) CHANNEL.get(session)).shutdownOutput();
        } catch (IOException | IllegalAccessException e) {
            // broken or closed already
            session.closeNow();
            return;
        }
        session.getConfig().setWriterIdleTime(seconds);
        sessions.add(session);
        session.getCloseFuture().addListener(closed -> sessions.remove(session));
    }

    /** Whether so many bytes may still be dropped. */
    boolean mayDrop(int bytes) {
        return bytes <= MOST_DROPPED;
    }

    /** The descriptor of the one that has lingered longest is wanted. */
    void makeRoom() {
        IoSession oldest = null;
        synchronized (sessions) {
            Iterator<IoSession> all = sessions.iterator();
            if (all.hasNext()) {
                oldest = all.next();
                all.remove();
            }
        }
        if (oldest != null) {
            oldest.closeNow();
        }
    }
}
