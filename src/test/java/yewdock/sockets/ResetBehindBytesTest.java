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

/** A server writes the end of its response and then resets the connection: the bytes still count. */
class ResetBehindBytesTest {
    private static final String RESPONSE = "data: [DONE]\n\n";

    private final MinaTransport transport = new MinaTransport(4, 1_000_000);
    private ServingTransport serving;

    /** Collects the bytes of a connection until it closes. */
    private static final class Collector implements ConnectionHandler {
        private final StringBuilder received = new StringBuilder();
        private final CompletableFuture<String> atEnd = new CompletableFuture<>();
        private final CountDownLatch connected = new CountDownLatch(1);

        @Override
        public void onConnected() {
            connected.countDown();
        }

        @Override
        public void onReceived(ByteBuffer bytes) {
            received.append(StandardCharsets.US_ASCII.decode(bytes));
        }

        @Override
        public void onWritten(int bytes) {
            throw new AssertionError("nothing was written");
        }

        @Override
        public void onIdle() {
            throw new AssertionError("no idle time is set");
        }

        @Override
        public void onClosed() {
            atEnd.complete(received.toString());
        }
    }

    @BeforeEach
    void start() throws Exception {
        serving = ServingTransport.start(transport,
                Files.readString(Path.of("src/test/resources/exchanges/config.json")));
    }

    @AfterEach
    void stop() throws Exception {
        serving.stop();
    }

    /** Reading is paused, so that the bytes and the reset have both arrived when the router reads. */
    @Test
    void bytesBeforeAResetArePassedOn() throws Exception {
        Collector collector = new Collector();
        CompletableFuture<Connection> opened = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            transport.post(() -> transport.connect("127.0.0.1:" + server.getLocalPort(), newConnection -> {
                opened.complete(newConnection);
                return collector;
            }));
            Socket accepted = server.accept();
            collector.connected.await(10, TimeUnit.SECONDS);
            Connection connection = opened.get(10, TimeUnit.SECONDS);
            serving.onDispatcher(() -> connection.setReadingPaused(true));
            accepted.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
            accepted.setSoLinger(true, 0);
            accepted.close();
            serving.onDispatcher(() -> connection.setReadingPaused(false));
            assertEquals(RESPONSE, collector.atEnd.get(10, TimeUnit.SECONDS));
        }
    }
}
