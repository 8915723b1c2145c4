package yewdock.platform;

import java.nio.ByteBuffer;

/** A connection as the transport gives it. Its calls return at once; what comes of them reaches its side. */
public interface Wire {
    /** Writes, in the order of the calls. */
    void write(ByteBuffer bytes);

    /** Closes now, or gives up connecting. */
    void close();

    /**
     * Ends the connection once all has been written, and drops what still comes until the other side has closed
     * it, or for a second: closing on unread bytes could lose what was written.
     */
    void closeAfterWriting();

    /**
     * Closes a connection at rest, at once and both ways. What crosses the close is answered by the system with a
     * reset, so that it counts as never taken: the other side asks anew elsewhere.
     */
    void closeResting();

    /** Stops reading, or goes on. */
    void hold(boolean held);
}
