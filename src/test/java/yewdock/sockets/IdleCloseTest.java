package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import umberspread.GenerationRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Event;
import yewdock.core.Reducer;
import yewdock.core.ResourceLimits;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;

/** A connection that counts as idle is closed at the moment in which its client's request has been read. */
class IdleCloseTest {
    private static final int MOST_CLIENTS = 2;
    private static final int PATIENCE_MILLIS = 10_000;
    /** When connections without a request are closed by a router that leaves, and a little more. */
    private static final long LEAVING_CLOSES_MILLIS = 600;
    private static final byte[] REQUEST = "GET /nothing HTTP/1.1\r\nHost: router\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);

    private final MinaTransport sockets = new MinaTransport(MOST_CLIENTS, 1_000_000);
    private ConnectionManager front;
    private Listening listening;

    @BeforeEach
    void serve() throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        Counters counters = new Counters();
        ResourceLimits bounds = new ResourceLimits(MOST_CLIENTS, 20, 20, 1 << 20);
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()), bounds,
                counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        front = new ConnectionManager(config, desk, counters, sockets, sockets.clock(), line -> { });
        listening = Listening.start(sockets, front, desk);
    }

    @AfterEach
    void end() throws Exception {
        listening.stop();
    }

    private Socket connect() throws Exception {
        Socket client = new Socket(listening.at().getAddress(), listening.at().getPort());
        client.setTcpNoDelay(true);
        client.setSoTimeout(PATIENCE_MILLIS);
        return client;
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertTrue(condition.getAsBoolean());
    }

    /** Waits until the dispatcher knows of the one connection that was made. */
    private void awaitTaken() throws Exception {
        await(() -> sockets.connectionsAccepted() == 1);
        listening.onDesk(() -> { });
    }

    /** Keeps the dispatcher busy until the latch is open. */
    private CountDownLatch keepBusy() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch latch = new CountDownLatch(1);
        sockets.post(() -> {
            begun.countDown();
            try {
                latch.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(begun.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
        return latch;
    }

    private void sendAndAwaitRead(Socket client) throws Exception {
        client.getOutputStream().write(REQUEST);
        await(() -> sockets.queuedBytes() == REQUEST.length);
    }

    private static void assertAnswered(Socket client) throws Exception {
        BufferedReader answer = new BufferedReader(new InputStreamReader(client.getInputStream(),
                StandardCharsets.US_ASCII));
        assertEquals("HTTP/1.1 404 Not Found", answer.readLine());
    }

    /** More clients than there is room for have come, and the oldest one's request was read after them. */
    @Test
    void aRequestThatCrossesAClosingForRoomIsAnswered() throws Exception {
        try (Socket oldest = connect()) {
            awaitTaken();
            CountDownLatch busy = keepBusy();
            try (Socket second = connect(); Socket third = connect()) {
                await(() -> sockets.connectionsAccepted() == MOST_CLIENTS + 1);
                sendAndAwaitRead(oldest);
                busy.countDown();
                assertAnswered(oldest);
                assertTrue(second.isConnected() && third.isConnected());
            }
        }
    }

    /** The router leaves, and its time to close idle connections comes while a request waits to be taken. */
    @Test
    void aRequestThatCrossesTheClosingOfIdleConnectionsIsAnswered() throws Exception {
        try (Socket client = connect()) {
            awaitTaken();
            listening.onDesk(() -> front.dispatch(new Event.ShutdownRequested()));
            long leaves = System.nanoTime();
            CountDownLatch busy = keepBusy();
            sendAndAwaitRead(client);
            await(() -> System.nanoTime() - leaves > TimeUnit.MILLISECONDS.toNanos(LEAVING_CLOSES_MILLIS));
            busy.countDown();
            assertAnswered(client);
        }
    }
}
