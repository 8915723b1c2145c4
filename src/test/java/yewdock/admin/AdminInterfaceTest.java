package yewdock.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import umberspread.GenerationRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;
import yewdock.platform.ConnectionManager;
import yewdock.platform.Transport;

/** The admin interface under idle connections, and the consistency of its counters under load. */
class AdminInterfaceTest {
    private long micros = 1_000_000_000_000L;
    private final Counters counters = new Counters();
    private final Config config;
    private final ConnectionManager connectionManager;
    private final AdminInterface adminInterface;

    AdminInterfaceTest() throws Exception {
        config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        Reducer reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(), counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        connectionManager = new ConnectionManager(config, reducer, counters, new NoNetwork(), () -> micros,
                line -> { });
        adminInterface = new AdminInterface(connectionManager);
        connectionManager.start();
    }

    /** Of 200 idle connections only the maximum number stays open, and a command is still answered. */
    @Test
    void idleConnectionsDoNotLockOutACommand() {
        List<RecordingConnection> idle = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            RecordingConnection connection = new RecordingConnection();
            connection.side = adminInterface.accept(connection);
            if (i % 2 == 0) {
                connection.side.onReceived(bytes("heal"));
            }
            idle.add(connection);
        }
        assertEquals(AdminInterface.MAX_CONNECTIONS, idle.stream().filter(w -> !w.closed).count());
        assertEquals("YES ready\n", sendCommand("health"));
        assertTrue(idle.stream().allMatch(w -> w.text.isEmpty()));
    }

    @Test
    void binaryAndOverlongLinesAreRejected() {
        assertTrue(sendCommand("\0\u00ff\u00fe").startsWith("NO "));
        RecordingConnection connection = new RecordingConnection();
        connection.side = adminInterface.accept(connection);
        for (int i = 0; i < 600 && !connection.closed; i++) {
            connection.side.onReceived(bytes("x"));
        }
        assertTrue(connection.text.toString().startsWith("NO the line is too long"),
                connection.text.toString());
    }

    /** Whenever the counters are read, each accepted request is in exactly one of them. */
    @Test
    void countersAddUpAtAnyTime() {
        RecordingConnection client = null;
        long maxPending = 0;
        for (int i = 0; i < 1000; i++) {
            micros += 7_000;
            if (i % 100 == 50) {
                connectionManager.reconfigure(config);
            }
            if (i % 3 == 0) {
                client = new RecordingConnection();
                client.side = connectionManager.accept(client);
                client.side.onReceived(bytes("POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: "
                        + i / 2
                        + "\r\nX-Service-Class: chat\r\nX-Account: lalitpur-metro\r\nX-Time-Left: 4\r\n"
                        + "X-Facts: prompt_len=1,prefix_len=0,max_out=9\r\nContent-Length: 2\r\n\r\n{}"));
            } else if (i % 5 == 0) {
                client.side.onClosed();
            } else {
                connectionManager.dispatch(new yewdock.core.Event.Tick());
            }
            long sum = 0;
            for (String line : sendCommand("counters").split("\n")) {
                String name = line.contains("=") ? line.substring(0, line.indexOf('=')) : "";
                if (name.contains("downstream_requests") || name.endsWith(".pending")) {
                    long value = Long.parseLong(line.substring(line.indexOf('=') + 1));
                    sum += value;
                    maxPending = name.endsWith(".pending") ? Math.max(maxPending, value) : maxPending;
                }
            }
            assertEquals(counters.get("requests.taken"), sum, "at " + i);
        }
        assertTrue(counters.get("requests.chat.failed") > 0);
        assertTrue(maxPending > 0);
    }

    private String sendCommand(String line) {
        RecordingConnection connection = new RecordingConnection();
        connection.side = adminInterface.accept(connection);
        connection.side.onReceived(bytes(line + "\n"));
        connection.side.onClosed();
        return connection.text.toString();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static final class RecordingConnection implements Connection {
        private final StringBuilder text = new StringBuilder();
        private ConnectionHandler side;
        private boolean closed;

        @Override
        public void write(ByteBuffer bytes) {
            text.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void close() {
            closed = true;
        }

        @Override
        public void closeAfterWriting() {
            closed = true;
        }

        @Override
        public boolean hasUndelivered() {
            return false;
        }

        @Override
        public boolean closeUnlessUndelivered() {
            closed = true;
            return true;
        }

        @Override
        public void closeLingering() {
            closed = true;
        }

        @Override
        public void setReadingPaused(boolean held) {
            // tests deliver all bytes themselves
        }
    }

    /** Outgoing connections that are never established. */
    private static final class NoNetwork implements Transport {
        @Override
        public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide) {
            return makeSide.apply(new RecordingConnection());
        }

        @Override
        public void stop() {
            // not used
        }
    }
}
