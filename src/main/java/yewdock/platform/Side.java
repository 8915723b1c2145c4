package yewdock.platform;

import java.nio.ByteBuffer;

/** Receives the events of one connection from the transport. */
public interface Side {
    /** The connection is established. */
    void up();

    /** Bytes have been received; the handler may keep the buffer. */
    void received(ByteBuffer bytes);

    /** The same, with the time of arrival, which is long past if the process was suspended meanwhile. */
    default void received(ByteBuffer bytes, Arrival arrival) {
        received(bytes);
    }

    /** The bytes of one call of {@link Wire#write}, so many, have all been written to the socket. */
    void written(int bytes);

    /** None of the last write was sent, since it was decided on too long ago; the connection closes. */
    default void notBegun() {
        // only attempts expire before they are written
    }

    /** The idle time that was set for the connection has passed with no traffic. */
    void idle();

    /** The connection is closed, or could not be established. Called once. */
    void down();
}
