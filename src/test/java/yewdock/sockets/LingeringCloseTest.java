package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;

/** A connection is closed while its peer is still sending. */
class LingeringCloseTest {
    private static final String RESPONSE = "the whole answer";
    private static final int LONG_SECONDS = 3600;
    /** More than the socket buffers of both sides hold. */
    private static final int UNREAD_BYTES = 16 << 20;
    /** How many connections are accepted with a limit of 0 clients, to be closed again. */
    private static final int ACCEPTED_CONNECTIONS = 24;

    private MinaTransport transport;
    private ServingTransport serving;

    private void start(int seconds) throws Exception {
        start(new LingeringClose.Timeouts(seconds, LONG_SECONDS));
    }

    private void start(LingeringClose.Timeouts timeouts) throws Exception {
        transport = new MinaTransport(0, 1_000_000, timeouts);
        serving = ServingTransport.start(transport,
                Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replaceFirst("\\{", "{\"limits\":{\"sockets\":1024,\"memory_mb\":160},"));
    }

    @AfterEach
    void stop() throws Exception {
        serving.stop();
    }

    /** Writes nothing by itself, and closes when the lingering close times out. */
    private static final class PassiveHandler implements ConnectionHandler {
        private final CountDownLatch connected = new CountDownLatch(1);
        private final CountDownLatch closed = new CountDownLatch(1);
        private final CompletableFuture<Connection> connection = new CompletableFuture<>();
        private int received;

        @Override
        public void onConnected() {
            connected.countDown();
        }

        @Override
        public void onReceived(ByteBuffer bytes) {
            received += bytes.remaining();
        }

        @Override
        public void onWritten(int bytes) {
            // not needed
        }

        @Override
        public void onIdle() {
            connection.join().close();
        }

        @Override
        public void onClosed() {
            closed.countDown();
        }
    }

    /** Connects the router to a peer in the test and returns the peer's socket. */
    private Socket connect(PassiveHandler handler) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            transport.post(() -> transport.connect("127.0.0.1:" + server.getLocalPort(), newConnection -> {
                handler.connection.complete(newConnection);
                return handler;
            }));
            Socket peer = server.accept();
            assertTrue(handler.connected.await(10, TimeUnit.SECONDS));
            peer.setSoTimeout(10_000);
            return peer;
        }
    }

    /** Bytes of the peer are unread when the connection is closed, and it sends more after that. */
    @Test
    void bytesThatCrossTheCloseDoNotResetTheResponse() throws Exception {
        start(LONG_SECONDS);
        PassiveHandler handler = new PassiveHandler();
        try (Socket peer = connect(handler)) {
            Connection connection = handler.connection.get();
            serving.onDispatcher(() -> connection.setReadingPaused(true));
            peer.getOutputStream().write(new byte[1000]);
            serving.onDispatcher(() -> {
                connection.write(ByteBuffer.wrap(RESPONSE.getBytes(StandardCharsets.US_ASCII)));
                connection.closeLingering();
            });
            byte[] response = new byte[RESPONSE.length()];
            peer.getInputStream().readNBytes(response, 0, response.length);
            assertEquals(RESPONSE, new String(response, StandardCharsets.US_ASCII));
            assertEquals(-1, peer.getInputStream().read(), "end of stream, not a reset");
            peer.getOutputStream().write(new byte[1000]);
            serving.onDispatcher(() -> connection.setReadingPaused(false));
            peer.getOutputStream().write(new byte[1000]);
            assertEquals(-1, peer.getInputStream().read(), "still end of stream");
        }
        assertTrue(handler.closed.await(10, TimeUnit.SECONDS), "closed when the peer has closed");
        assertEquals(0, handler.received, "bytes after the close reached the handler");
    }

    /** Guards against connections that are never closed because their peers read nothing. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void connectionOfAPeerThatReadsNothingIsClosed(boolean lingering) throws Exception {
        start(new LingeringClose.Timeouts(LONG_SECONDS, 1));
        PassiveHandler handler = new PassiveHandler();
        try (Socket peer = connect(handler)) {
            Connection connection = handler.connection.get();
            serving.onDispatcher(() -> {
                connection.write(ByteBuffer.allocate(UNREAD_BYTES));
                if (lingering) {
                    connection.closeLingering();
                } else {
                    connection.closeAfterWriting();
                }
            });
            assertTrue(handler.closed.await(10, TimeUnit.SECONDS), "not closed");
            assertTrue(peer.isConnected());
        }
    }

    /**
     * A request that crosses an ordinary close is answered by a reset: accepted by a half-closed connection,
     * it would seem to be taken and be lost.
     */
    @Test
    void bytesThatCrossAnOrdinaryCloseAreNotAccepted() throws Exception {
        start(LONG_SECONDS);
        PassiveHandler handler = new PassiveHandler();
        try (Socket peer = connect(handler)) {
            serving.onDispatcher(() -> handler.connection.join().closeAfterWriting());
            assertEquals(-1, peer.getInputStream().read(), "closes at once");
            assertTrue(handler.closed.await(10, TimeUnit.SECONDS));
            assertThrows(java.net.SocketException.class, () -> {
                // the reset may be late on a busy machine; a half-closed connection never sends one
                long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                while (System.nanoTime() < deadline) {
                    peer.getOutputStream().write(1);
                }
            });
        }
        assertEquals(0, handler.received);
    }

    /** A peer that never closes is disconnected after the timeout. */
    @Test
    void peerThatNeverClosesIsDisconnected() throws Exception {
        start(1);
        PassiveHandler handler = new PassiveHandler();
        try (Socket peer = connect(handler)) {
            handler.connection.get();
            serving.onDispatcher(() -> handler.connection.join().closeLingering());
            assertEquals(-1, peer.getInputStream().read());
            assertTrue(handler.closed.await(10, TimeUnit.SECONDS));
        }
    }

    /** A peer that sends without end is disconnected before the timeout. */
    @Test
    void peerThatSendsForeverIsDisconnected() throws Exception {
        start(LONG_SECONDS);
        PassiveHandler handler = new PassiveHandler();
        try (Socket peer = connect(handler)) {
            serving.onDispatcher(() -> handler.connection.join().closeLingering());
            byte[] piece = new byte[64 * 1024];
            for (int i = 0; i < 1000 && handler.closed.getCount() > 0; i++) {
                peer.getOutputStream().write(piece);
            }
        } catch (java.net.SocketException e) {
            // expected: closed while the peer was writing
        }
        assertTrue(handler.closed.await(10, TimeUnit.SECONDS));
    }

    /** Lingering connections hold descriptors: the oldest of them is closed when a new client connects. */
    @Test
    void lingeringConnectionsMakeRoomForNewOnes() throws Exception {
        start(LONG_SECONDS);
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * ACCEPTED_CONNECTIONS; i++) {
                Socket client = new Socket(serving.address().getAddress(), serving.address().getPort());
                clients.add(client);
                // the reducer closes incomplete requests after 2.5 s; before that, only lingering ones close
                client.setSoTimeout(2_000);
                client.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\n"
                        + "X-Correlation-Id: " + i + "\r\nX-Service-Class: none\r\n"
                        + "X-Account: lalitpur-metro\r\nX-Time-Left: 8\r\nConnection: close\r\n"
                        + "X-Facts: prompt_len=1,prefix_len=0,max_out=9\r\nContent-Length: 2\r\n\r\n{}")
                        .getBytes(StandardCharsets.US_ASCII));
                String answer = new String(client.getInputStream().readAllBytes(),
                        StandardCharsets.US_ASCII);
                assertTrue(answer.startsWith("HTTP/1.1 400 "), i + ": " + answer);
            }
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }
}
