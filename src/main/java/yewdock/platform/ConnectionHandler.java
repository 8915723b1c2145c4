package yewdock.platform;

import java.nio.ByteBuffer;

/** Our end of a connection: what the transport tells of it. */
public interface ConnectionHandler {
    /** The connection is made. */
    void onConnected();

    /** Bytes have come; they are the side's to keep. */
    void onReceived(ByteBuffer bytes);

    /** The same, with when they came: that may be long past where they have waited for the process. */
    default void onReceived(ByteBuffer bytes, Arrival arrival) {
        onReceived(bytes);
    }

    /** All that was written up to some call of {@link Connection#write}, this many bytes of it, has left. */
    void onWritten(int bytes);

    /** Of what was written last nothing has left, since it came too late; the connection closes. */
    default void onWriteExpired() {
        // only attempts come too late
    }

    /** Nothing has gone over the connection for a good while. */
    void onIdle();

    /** The connection is closed, or could not be made. Comes once. */
    void onClosed();
}
