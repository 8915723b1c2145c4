package yewdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import umberspread.BoundedLoadRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Event;
import yewdock.core.Reducer;

/** A client's connection is due to be closed while input of it has been read and not been delivered. */
class CloseBehindInputTest {
    private static final long SECOND = 1_000_000;
    /** Longer than a connection may stay without a request. */
    private static final long LONG_QUIET = 120 * SECOND;

    private final Counters counters = new Counters();
    private long now = 1_000 * SECOND;
    private Reducer reducer;
    private ConnectionManager connectionManager;
    private final ClientConnection connection = new ClientConnection();
    private ConnectionHandler handler;

    /** A connection with input that has not been delivered, until it is said to be. */
    private static final class ClientConnection extends NoOpConnection {
        private boolean undelivered;
        private boolean closed;

        @Override
        public boolean closeUnlessUndelivered() {
            closed |= !undelivered;
            return !undelivered;
        }

        @Override
        public boolean hasUndelivered() {
            return undelivered;
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    private static final class NoConnections implements Transport {
        @Override
        public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeHandler) {
            return makeHandler.apply(new NoOpConnection());
        }

        @Override
        public void stop() {
            throw new IllegalStateException("the router stops");
        }
    }

    @BeforeEach
    void connectClient() throws IOException {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()), config.bounds(),
                counters, actions -> new BoundedLoadRouter(config.settings(), 1, actions));
        connectionManager = new ConnectionManager(config, reducer, counters, new NoConnections(), () -> now,
                line -> { });
        connectionManager.start();
        handler = connectionManager.accept(connection);
    }

    private void tickAfter(long micros) {
        now += micros;
        connectionManager.dispatch(new Event.Tick());
    }

    private void deliver(String text) {
        connection.undelivered = false;
        handler.onReceived(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }

    /** Guards against connections that stay open for ever, each in the place of another client. */
    @Test
    void closesOnceTheInputBeginsNoRequest() {
        connection.undelivered = true;
        tickAfter(LONG_QUIET);
        assertEquals(1, counters.get("clients.closed_waiting"));
        assertFalse(connection.closed, "the input may begin a request");
        deliver("\r\n");
        assertTrue(connection.closed);
    }

    @Test
    void staysOpenIfTheInputBeginsARequest() {
        connection.undelivered = true;
        tickAfter(LONG_QUIET);
        deliver("\r\nGET /ready HTTP/1.1\r\n\r\n");
        assertFalse(connection.closed);
    }
}
