package yewdock.platform;

import java.nio.ByteBuffer;

/**
 * A connection of the transport. Its methods do not block; their results reach its {@link ConnectionHandler}.
 */
public interface Connection {
    /** Queues bytes to be written, in the order of the calls. */
    void write(ByteBuffer bytes);

    /** Closes the connection at once, or cancels the attempt to connect. */
    void close();

    /**
     * Closes both directions once everything has been written. Bytes that the peer sends meanwhile are
     * answered by a reset, so the peer knows that they were not accepted and can send them elsewhere. A
     * half-closed connection would still accept them.
     */
    void closeAfterWriting();

    /** Whether bytes have been read that the handler has not received yet. */
    boolean hasUndelivered();

    /**
     * Closes a connection without an open request, unless bytes were read that the handler has not received:
     * a request that was read must be answered. Returns whether the connection closes.
     */
    boolean closeUnlessUndelivered();

    /**
     * Closes a connection whose peer may still be sending a rejected request: closing over unread bytes
     * resets the connection and could lose the response. Incoming bytes are dropped until the peer has
     * closed, or for a second.
     */
    void closeLingering();

    /** Pauses or resumes reading from the connection, for flow control. */
    void setReadingPaused(boolean paused);
}
