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
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;

/** A connection is closed while its other side is still sending. */
class LingeringTest {
    private static final String ANSWER = "the whole answer";
    private static final int LONG = 3600;
    /** With room for no client at all, so many are accepted: those that are being closed. */
    private static final int ACCEPTED = 24;

    private MinaTransport sockets;
    private Listening listening;

    private void serve(int seconds) throws Exception {
        sockets = new MinaTransport(0, 1_000_000, seconds);
        listening = Listening.start(sockets,
                Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replaceFirst("\\{", "{\"limits\":{\"sockets\":1024,\"memory_mb\":160},"));
    }

    @AfterEach
    void end() throws Exception {
        listening.stop();
    }

    /** Answers nothing by itself, and closes when it has lingered long enough. */
    private static final class Quiet implements ConnectionHandler {
        private final CountDownLatch up = new CountDownLatch(1);
        private final CountDownLatch down = new CountDownLatch(1);
        private final CompletableFuture<Connection> wire = new CompletableFuture<>();
        private int received;

        @Override
        public void onConnected() {
            up.countDown();
        }

        @Override
        public void onReceived(ByteBuffer bytes) {
            received += bytes.remaining();
        }

        @Override
        public void onWritten(int bytes) {
            // nothing waits for it
        }

        @Override
        public void onIdle() {
            wire.join().close();
        }

        @Override
        public void onClosed() {
            down.countDown();
        }
    }

    /** A connection of the router's to a peer of the test's, and the peer's end of it. */
    private Socket connected(Quiet side) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            sockets.post(() -> sockets.connect("127.0.0.1:" + server.getLocalPort(), made -> {
                side.wire.complete(made);
                return side;
            }));
            Socket peer = server.accept();
            assertTrue(side.up.await(10, TimeUnit.SECONDS));
            peer.setSoTimeout(10_000);
            return peer;
        }
    }

    /** What the peer sent is not read when the connection is ended, and it sends on after that. */
    @Test
    void bytesThatCrossTheCloseDoNotResetTheAnswer() throws Exception {
        serve(LONG);
        Quiet side = new Quiet();
        try (Socket peer = connected(side)) {
            Connection wire = side.wire.get();
            listening.onDesk(() -> wire.setReadingPaused(true));
            peer.getOutputStream().write(new byte[1000]);
            listening.onDesk(() -> {
                wire.write(ByteBuffer.wrap(ANSWER.getBytes(StandardCharsets.US_ASCII)));
                wire.closeLingering();
            });
            byte[] came = new byte[ANSWER.length()];
            peer.getInputStream().readNBytes(came, 0, came.length);
            assertEquals(ANSWER, new String(came, StandardCharsets.US_ASCII));
            assertEquals(-1, peer.getInputStream().read(), "the end, and not a reset");
            peer.getOutputStream().write(new byte[1000]);
            listening.onDesk(() -> wire.setReadingPaused(false));
            peer.getOutputStream().write(new byte[1000]);
            assertEquals(-1, peer.getInputStream().read(), "still the end");
        }
        assertTrue(side.down.await(10, TimeUnit.SECONDS), "closed when the peer has closed");
        assertEquals(0, side.received, "what came behind the end was taken for more");
    }

    /**
     * A request that crosses an ordinary close meets a reset: accepted by a connection that is only
     * half closed, it would count as taken and be lost.
     */
    @Test
    void whatCrossesAnOrdinaryCloseIsNotAccepted() throws Exception {
        serve(LONG);
        Quiet side = new Quiet();
        try (Socket peer = connected(side)) {
            listening.onDesk(() -> side.wire.join().closeAfterWriting());
            assertEquals(-1, peer.getInputStream().read(), "the end comes at once");
            assertTrue(side.down.await(10, TimeUnit.SECONDS));
            assertThrows(java.net.SocketException.class, () -> {
                // the reset may take its time on a busy machine; a half-closed connection never sends one
                long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                while (System.nanoTime() < end) {
                    peer.getOutputStream().write(1);
                }
            });
        }
        assertEquals(0, side.received);
    }

    /** One that never closes is closed after a while, and one that sends without end sooner. */
    @Test
    void aPeerThatStaysIsClosed() throws Exception {
        serve(1);
        Quiet rests = new Quiet();
        try (Socket peer = connected(rests)) {
            rests.wire.get();
            listening.onDesk(() -> rests.wire.join().closeLingering());
            assertEquals(-1, peer.getInputStream().read());
            assertTrue(rests.down.await(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void aPeerThatSendsWithoutEndIsClosed() throws Exception {
        serve(LONG);
        Quiet floods = new Quiet();
        try (Socket peer = connected(floods)) {
            listening.onDesk(() -> floods.wire.join().closeLingering());
            byte[] piece = new byte[64 * 1024];
            for (int i = 0; i < 1000 && floods.down.getCount() > 0; i++) {
                peer.getOutputStream().write(piece);
            }
        } catch (java.net.SocketException e) {
            // closed under it, as it should be
        }
        assertTrue(floods.down.await(10, TimeUnit.SECONDS));
    }

    /** Those that linger hold descriptors: when others come, the oldest of them makes room. */
    @Test
    void lingeringConnectionsMakeRoomForNewOnes() throws Exception {
        serve(LONG);
        List<Socket> stay = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * ACCEPTED; i++) {
                Socket client = new Socket(listening.at().getAddress(), listening.at().getPort());
                stay.add(client);
                // the desk gives up those that it waits for after 2.5 s: sooner, only the lingering make room
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
            for (Socket client : stay) {
                client.close();
            }
        }
    }
}
