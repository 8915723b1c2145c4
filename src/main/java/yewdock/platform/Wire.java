package yewdock.platform;

import java.nio.ByteBuffer;

/** A connection as the transport gives it. Its calls return at once; what comes of them reaches its side. */
public interface Wire {
    /** Writes, in the order of the calls. */
    void write(ByteBuffer bytes);

    /** Closes now, or gives up connecting. */
    void close();

    /** Closes when all has been written. */
    void closeAfterWriting();

    /**
     * Closes when the other side has, or after a second, and drops what still comes until then: closing on
     * unread bytes could lose the answer, and keeping them would let a client fill the memory.
     */
    void closeGently();

    /** Stops reading, or goes on. */
    void hold(boolean held);
}
