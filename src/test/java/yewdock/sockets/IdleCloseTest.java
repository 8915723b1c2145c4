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

/** A connection that the reducer takes for idle is to be closed when its client's request was just read. */
class IdleCloseTest {
    private static final int MAX_CLIENTS = 2;
    private static final int TIMEOUT_MILLIS = 10_000;
    /** A little more than the time after which a router that shuts down closes idle connections. */
    private static final long IDLE_CLOSE_MILLIS = 600;
    private static final byte[] REQUEST = "GET /nothing HTTP/1.1\r\nHost: router\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);

    private final MinaTransport transport = new MinaTransport(MAX_CLIENTS, 1_000_000);
    private ConnectionManager manager;
    private ServingTransport serving;

    @BeforeEach
    void start() throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        Counters counters = new Counters();
        ResourceLimits bounds = new ResourceLimits(MAX_CLIENTS, 20, 20, 1 << 20);
        Reducer reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()), bounds,
                counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        manager = new ConnectionManager(config, reducer, counters, transport, transport.clock(), line -> { });
        serving = ServingTransport.start(transport, manager, reducer);
    }

    @AfterEach
    void stop() throws Exception {
        serving.stop();
    }

    private Socket connect() throws Exception {
        Socket client = new Socket(serving.address().getAddress(), serving.address().getPort());
        client.setTcpNoDelay(true);
        client.setSoTimeout(TIMEOUT_MILLIS);
        return client;
    }

    private static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        assertTrue(condition.getAsBoolean());
    }

    /** Waits until the dispatcher knows of the only connection. */
    private void awaitAccepted() throws Exception {
        await(() -> transport.connectionsAccepted() == 1);
        serving.onDispatcher(() -> { });
    }

    private void sendAndAwaitRead(Socket client) throws Exception {
        client.getOutputStream().write(REQUEST);
        await(() -> transport.queuedBytes()
                == REQUEST.length + SessionEvents.MESSAGE_OVERHEAD_BYTES);
    }

    private static void assertAnswered(Socket client) throws Exception {
        BufferedReader answer = new BufferedReader(new InputStreamReader(client.getInputStream(),
                StandardCharsets.US_ASCII));
        assertEquals("HTTP/1.1 404 Not Found", answer.readLine());
    }

    /** Clients exceed the limit, and the oldest one's request is read after the others have connected. */
    @Test
    void requestThatCrossesACloseForRoomIsAnswered() throws Exception {
        try (Socket oldest = connect()) {
            awaitAccepted();
            CountDownLatch blocked = serving.blockDispatcher();
            try (Socket second = connect(); Socket third = connect()) {
                await(() -> transport.connectionsAccepted() == MAX_CLIENTS + 1);
                sendAndAwaitRead(oldest);
                blocked.countDown();
                assertAnswered(oldest);
                assertTrue(second.isConnected() && third.isConnected());
            }
        }
    }

    /** A router that shuts down is due to close idle connections while a request is queued. */
    @Test
    void requestThatCrossesTheIdleCloseIsAnswered() throws Exception {
        try (Socket client = connect()) {
            awaitAccepted();
            serving.onDispatcher(() -> manager.dispatch(new Event.ShutdownRequested()));
            long shutdownStartedAt = System.nanoTime();
            CountDownLatch blocked = serving.blockDispatcher();
            sendAndAwaitRead(client);
            await(() -> System.nanoTime() - shutdownStartedAt
                    > TimeUnit.MILLISECONDS.toNanos(IDLE_CLOSE_MILLIS));
            blocked.countDown();
            assertAnswered(client);
        }
    }
}
