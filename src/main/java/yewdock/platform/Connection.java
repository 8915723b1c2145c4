package yewdock.platform;

import java.nio.ByteBuffer;

/** A connection as the transport gives it. Its calls return at once; what comes of them reaches its side. */
public interface Connection {
    /** Writes, in the order of the calls. */
    void write(ByteBuffer bytes);

    /** Closes now, or gives up connecting. */
    void close();

    /**
     * Closes both ways when all has been written. What crosses the close meets a reset, so that it counts
     * as never taken: the other side asks anew elsewhere. Half closed, the connection would still take it.
     */
    void closeAfterWriting();

    /** Whether bytes have been read of which the side has yet to hear. */
    boolean hasUndelivered();

    /**
     * Closes a connection on which nothing is asked, unless it has unheard bytes: a request that was read
     * must be answered. Tells whether it closes.
     */
    boolean closeUnlessUndelivered();

    /**
     * Ends a connection whose other side may still be sending what was turned down: closing on unread
     * bytes could lose the answer. What still comes is dropped until the other side has closed, or for a
     * second.
     */
    void closeLingering();

    /** Stops reading, or goes on. */
    void setReadingPaused(boolean held);
}
