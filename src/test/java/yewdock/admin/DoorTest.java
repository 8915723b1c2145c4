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

/** The door against callers that hold it open, and what it prints under load. */
class DoorTest {
    private long micros = 1_000_000_000_000L;
    private final Counters counters = new Counters();
    private final Config config;
    private final ConnectionManager front;
    private final AdminInterface door;

    DoorTest() throws Exception {
        config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(),
                counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        front = new ConnectionManager(config, desk, counters, new NoNetwork(), () -> micros, line -> { });
        door = new AdminInterface(front);
        front.start();
    }

    /** Two hundred that say nothing: no more than a few hold descriptors, and the good one is answered. */
    @Test
    void silentCallersCostNoGoodOneItsPlace() {
        List<Heard> silent = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Heard wire = new Heard();
            wire.side = door.accept(wire);
            if (i % 2 == 0) {
                wire.side.onReceived(bytes("heal"));
            }
            silent.add(wire);
        }
        assertEquals(AdminInterface.MAX_CONNECTIONS, silent.stream().filter(w -> !w.closed).count());
        assertEquals("YES ready\n", call("health"));
        assertTrue(silent.stream().allMatch(w -> w.text.isEmpty()));
    }

    @Test
    void binaryAndEndlessLinesAreTurnedDown() {
        assertTrue(call("\0\u00ff\u00fe").startsWith("NO "));
        Heard wire = new Heard();
        wire.side = door.accept(wire);
        for (int i = 0; i < 600 && !wire.closed; i++) {
            wire.side.onReceived(bytes("x"));
        }
        assertTrue(wire.text.toString().startsWith("NO the line is too long"), wire.text.toString());
    }

    /** Asked at any moment, each request taken is in exactly one figure. */
    @Test
    void figuresBalanceAtEveryMoment() {
        Heard client = null;
        long mostPending = 0;
        for (int i = 0; i < 1000; i++) {
            micros += 7_000;
            if (i % 100 == 50) {
                front.reconfigure(config);
            }
            if (i % 3 == 0) {
                client = new Heard();
                client.side = front.accept(client);
                client.side.onReceived(bytes("POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: "
                        + i / 2
                        + "\r\nX-Service-Class: chat\r\nX-Account: lalitpur-metro\r\nX-Time-Left: 4\r\n"
                        + "X-Facts: prompt_len=1,prefix_len=0,max_out=9\r\nContent-Length: 2\r\n\r\n{}"));
            } else if (i % 5 == 0) {
                client.side.onClosed();
            } else {
                front.dispatch(new yewdock.core.Event.Tick());
            }
            long sum = 0;
            for (String line : call("counters").split("\n")) {
                String name = line.contains("=") ? line.substring(0, line.indexOf('=')) : "";
                if (name.contains("downstream_requests") || name.endsWith(".pending")) {
                    long figure = Long.parseLong(line.substring(line.indexOf('=') + 1));
                    sum += figure;
                    mostPending = name.endsWith(".pending") ? Math.max(mostPending, figure) : mostPending;
                }
            }
            assertEquals(counters.get("requests.taken"), sum, "at " + i);
        }
        assertTrue(counters.get("requests.chat.failed") > 0);
        assertTrue(mostPending > 0);
    }

    private String call(String line) {
        Heard wire = new Heard();
        wire.side = door.accept(wire);
        wire.side.onReceived(bytes(line + "\n"));
        wire.side.onClosed();
        return wire.text.toString();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static final class Heard implements Connection {
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
            // nothing comes by itself
        }
    }

    /** Connections that never come up. */
    private static final class NoNetwork implements Transport {
        @Override
        public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide) {
            return makeSide.apply(new Heard());
        }

        @Override
        public void stop() {
            // never asked to
        }
    }
}
