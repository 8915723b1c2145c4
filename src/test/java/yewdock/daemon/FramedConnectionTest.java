package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import yewdock.wire.PeerFrame;
import yewdock.wire.PeerHello;

/** Guards against peers that make an instance hold more than a connection's limits. */
@Timeout(30)
class FramedConnectionTest {
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int MAX_HELLO_BYTES = 1_000;
    private static final int MAX_QUEUED_FRAMES = 1_000;
    private static final long MAX_QUEUED_BYTES = 10_000;

    private ServerSocketChannel listener;
    private SocketChannel peer;
    private FramedConnection<PeerFrame> connection;

    @BeforeEach
    void connect() throws IOException {
        listener = ServerSocketChannel.open()
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        peer = SocketChannel.open(listener.getLocalAddress());
        connection = new FramedConnection<>(listener.accept(), PeerFrame.parser(), MAX_FRAME_BYTES,
                MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES, 0);
    }

    @AfterEach
    void close() throws IOException {
        connection.close();
        peer.close();
        listener.close();
    }

    private static PeerFrame hello(int bytes) {
        return PeerFrame.newBuilder().setHello(PeerHello.newBuilder().setInstance("x".repeat(bytes))).build();
    }

    /** Only the length is sent: memory for the frame must not be taken before the sender is known. */
    @Test
    void aLongFirstFrameIsRejectedByItsLength() throws IOException {
        peer.write(ByteBuffer.allocate(Integer.BYTES).putInt(MAX_HELLO_BYTES + 1).flip());
        assertThrows(IOException.class, () -> connection.readFirst(MAX_HELLO_BYTES));
    }

    @Test
    void aShortFirstFrameIsRead() throws IOException {
        byte[] frame = hello(10).toByteArray();
        peer.write(ByteBuffer.allocate(Integer.BYTES + frame.length).putInt(frame.length).put(frame).flip());
        assertEquals(hello(10), connection.readFirst(MAX_HELLO_BYTES));
    }

    /** Nothing is written before the start, so that all frames stay in the queue. */
    @Test
    void aPeerThatReadsNothingIsDisconnectedBeyondTheBytesOfTheQueue() {
        assertTrue(connection.send(hello(6_000)));
        assertFalse(connection.send(hello(6_000)));
        assertFalse(connection.send(hello(1)));
    }
}
