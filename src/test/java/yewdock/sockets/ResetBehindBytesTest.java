package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;

/** A server writes the last of its answer and resets the connection: what it wrote still counts. */
class ResetBehindBytesTest {
    private static final String ANSWER = "data: [DONE]\n\n";

    private final MinaTransport sockets = new MinaTransport(4, 1_000_000);
    private Listening listening;

    /** What comes over the connection, and then its end. */
    private static final class Reader implements ConnectionHandler {
        private final StringBuilder came = new StringBuilder();
        private final CompletableFuture<String> atEnd = new CompletableFuture<>();
        private final CountDownLatch up = new CountDownLatch(1);

        @Override
        public void onConnected() {
            up.countDown();
        }

        @Override
        public void onReceived(ByteBuffer bytes) {
            came.append(StandardCharsets.US_ASCII.decode(bytes));
        }

        @Override
        public void onWritten(int bytes) {
            throw new AssertionError("nothing is written");
        }

        @Override
        public void onIdle() {
            throw new AssertionError("nothing lingers");
        }

        @Override
        public void onClosed() {
            atEnd.complete(came.toString());
        }
    }

    @BeforeEach
    void serve() throws Exception {
        listening = Listening.start(sockets,
                Files.readString(Path.of("src/test/resources/exchanges/config.json")));
    }

    @AfterEach
    void end() throws Exception {
        listening.stop();
    }

    /** The bytes and the reset are both there before the router reads: it does not read in between. */
    @Test
    void whatCameBeforeAResetIsPassedOn() throws Exception {
        Reader reader = new Reader();
        CompletableFuture<Connection> wire = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            sockets.post(() -> sockets.connect("127.0.0.1:" + server.getLocalPort(), made -> {
                wire.complete(made);
                return reader;
            }));
            Socket accepted = server.accept();
            reader.up.await(10, TimeUnit.SECONDS);
            Connection held = wire.get(10, TimeUnit.SECONDS);
            listening.onDesk(() -> held.setReadingPaused(true));
            accepted.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
            accepted.setSoLinger(true, 0);
            accepted.close();
            listening.onDesk(() -> held.setReadingPaused(false));
            assertEquals(ANSWER, reader.atEnd.get(10, TimeUnit.SECONDS));
        }
    }
}
