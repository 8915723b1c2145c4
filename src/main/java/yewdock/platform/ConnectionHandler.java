package yewdock.platform;

import java.nio.ByteBuffer;

/** Receives the events of one connection from the transport. */
public interface ConnectionHandler {
    /** The connection is established. */
    void onConnected();

    /** Bytes have been received; the handler may keep the buffer. */
    void onReceived(ByteBuffer bytes);

    /** The same, with the time of arrival, which is long past if the process was suspended meanwhile. */
    default void onReceived(ByteBuffer bytes, Arrival arrival) {
        onReceived(bytes);
    }

    /** All bytes of one call of {@link Connection#write} have been written to the socket. */
    void onWritten(int bytes);

    /** None of the last write was sent, since it was decided on too long ago; the connection closes. */
    default void onWriteExpired() {
        // only attempts expire before they are written
    }

    /** The idle time that was set for the connection has passed with no traffic. */
    void onIdle();

    /** The connection is closed, or could not be established. Called once. */
    void onClosed();
}
