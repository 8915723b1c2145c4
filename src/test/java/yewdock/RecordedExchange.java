package yewdock;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import yewdock.admin.AdminInterface;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Event;
import yewdock.core.Reducer;
import yewdock.http.BadMessageException;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;
import yewdock.platform.Config;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;
import yewdock.platform.ConnectionManager;
import yewdock.platform.Transport;

/**
 * Replays a recorded exchange against the connection manager and the reducer, on a clock of its own, and
 * records the result. A line "&gt; ms who what" is an input to the router and a line "&lt; ms who what" an
 * output; "|" stands for CR LF, "\n" for LF, and "$name" for the text that a line "= name text" defines.
 */
final class RecordedExchange implements Transport {
    static final Path FOLDER = Path.of("src/test/resources/exchanges");
    private static final long START_MICROS = 1_000_000_000_000L;

    private final List<String> transcript = new ArrayList<>();
    private final Map<String, FakeConnection> connections = new LinkedHashMap<>();
    private final Map<String, StringBuilder> sentBytes = new TreeMap<>();
    private final Set<String> stuckConnections = new HashSet<>();
    private final List<Runnable> pendingWrites = new ArrayList<>();
    private final Counters counters = new Counters();
    private final Reducer reducer;
    private final ConnectionManager connectionManager;
    private final AdminInterface adminInterface;
    private long nowMicros;
    private int serverConnections;
    private int discoveryConnections;

    private RecordedExchange() throws IOException {
        Config config = Config.read(Files.readString(FOLDER.resolve("config.json")), this::log);
        reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()), config.bounds(),
                counters, InOrderModule::new);
        connectionManager = new ConnectionManager(config, reducer, counters, this,
                () -> START_MICROS + nowMicros, this::log);
        adminInterface = new AdminInterface(connectionManager);
        connectionManager.start();
    }

    /** Returns the file's lines with all names replaced. */
    static List<String> lines(String name) throws IOException {
        Map<String, String> names = new TreeMap<>((a, b) -> b.compareTo(a));
        List<String> lines = new ArrayList<>();
        for (Path file : List.of(FOLDER.resolve("names.txt"), FOLDER.resolve(name))) {
            for (String line : Files.readAllLines(file)) {
                if (line.startsWith("= ")) {
                    String[] parts = line.split(" ", 3);
                    names.put(parts[1], withNames(parts[2], names));
                } else if (!line.isBlank() && !line.startsWith("#")) {
                    lines.add(withNames(line, names));
                }
            }
        }
        return lines;
    }

    private static String withNames(String line, Map<String, String> names) {
        String text = line;
        for (Map.Entry<String, String> e : names.entrySet()) {
            text = text.replace("$" + e.getKey(), e.getValue());
        }
        return text;
    }

    /** Replays the input lines, with everything that is sent split in two at the given offset. */
    static RecordedExchange play(List<String> lines, int cut) throws IOException {
        RecordedExchange exchange = new RecordedExchange();
        for (String line : lines) {
            if (line.startsWith("> ")) {
                exchange.input(line, cut);
            }
        }
        return exchange;
    }

    /** Returns the inputs and outputs, line by line. */
    List<String> seen() {
        return transcript;
    }

    /** Returns what the router sent on each connection, without the framing of messages to clients. */
    Map<String, String> told() {
        Map<String, String> messages = new TreeMap<>();
        sentBytes.forEach((name, text) -> messages.put(name,
                name.startsWith("c") ? withoutFraming(text.toString()) : text.toString()));
        return messages;
    }

    private static String withoutFraming(String text) {
        StringBuilder messages = new StringBuilder();
        MessageReader reader = new MessageReader(MessageReader.Kind.RESPONSE, new MessageReader.Sink() {
            @Override
            public void head(MessageHead head) {
                messages.append(head);
            }

            @Override
            public void body(ByteBuffer piece) {
                messages.append(StandardCharsets.UTF_8.decode(piece));
            }

            @Override
            public void end() {
                messages.append("(end)");
            }
        });
        try {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                reader.read(bytes);
                if (reader.isComplete()) {
                    reader.startNext();
                }
            }
        } catch (BadMessageException e) {
            throw new IllegalStateException(text, e);
        }
        return messages.toString();
    }

    /** Returns the configuration with "this=that" replaced in its text. */
    private Config configWith(String change) throws IOException {
        String[] parts = change.split("=");
        return Config.read(Files.readString(FOLDER.resolve("config.json")).replace(parts[0], parts[1]),
                this::log);
    }

    /** Handles one input line, after all timers that are due before it. */
    private void input(String line, int cut) throws IOException {
        String[] parts = line.split(" ", 5);
        long timeMicros = Long.parseLong(parts[1]) * 1000;
        while (reducer.nextTimerDue() <= START_MICROS + timeMicros) {
            nowMicros = Math.max(nowMicros, reducer.nextTimerDue() - START_MICROS);
            connectionManager.dispatch(new Event.Tick());
            flushWrites();
        }
        nowMicros = timeMicros;
        transcript.add(line);
        String name = parts[2];
        FakeConnection connection = connections.get(name);
        switch (parts[3]) {
            case "opens" -> {
                FakeConnection opened = new FakeConnection(name);
                opened.handler = name.startsWith("o") ? adminInterface.accept(opened)
                        : connectionManager.accept(opened);
                opened.handler.onConnected();
            }
            case "up" -> connection.handler.onConnected();
            case "breaks" -> connection.broken = true;
            case "idle" -> connection.handler.onIdle();
            case "down" -> connection.handler.onClosed();
            case "stuck" -> stuckConnections.add(name);
            case "unstuck" -> {
                stuckConnections.remove(name);
                connection.writeOut();
            }
            case "reconfigures" -> connectionManager.reconfigure(configWith(parts[4]));
            case "leaves" -> connectionManager.dispatch(new Event.ShutdownRequested());
            case "passes" -> { }
            case "sends" -> {
                byte[] bytes = bytes(parts[4]);
                int at = Math.min(cut, bytes.length);
                for (byte[] part : List.of(Arrays.copyOf(bytes, at),
                        Arrays.copyOfRange(bytes, at, bytes.length))) {
                    if (part.length > 0) {
                        connection.handler.onReceived(ByteBuffer.wrap(part));
                        flushWrites();
                    }
                }
            }
            default -> throw new IllegalArgumentException(line);
        }
        flushWrites();
    }

    /** Reports everything written as sent, except on stuck connections. */
    private void flushWrites() {
        while (!pendingWrites.isEmpty()) {
            pendingWrites.remove(0).run();
        }
    }

    private static byte[] bytes(String text) {
        String filled = text.replace("(70000)", "x".repeat(70_000)).replace("(300000)", "x".repeat(300_000));
        return filled.replace("|", "\r\n").replace("\\n", "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void addOutput(String name, String text) {
        transcript.add("< " + nowMicros / 1000 + " " + name + " " + text);
    }

    private void log(String line) {
        addOutput("log", line);
    }

    @Override
    public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeHandler) {
        boolean toDiscovery = address.endsWith(":8500") || address.endsWith(":8501");
        FakeConnection connection = new FakeConnection(toDiscovery ? "list" + ++discoveryConnections : "line"
                + ++serverConnections);
        addOutput(connection.name, "connects " + address);
        S handler = makeHandler.apply(connection);
        connection.handler = handler;
        return handler;
    }

    @Override
    public void stop() {
        addOutput("router", "stops");
    }

    /** A connection that records what the router does with it. */
    private final class FakeConnection implements Connection {
        private final String name;
        private final List<Integer> unwritten = new ArrayList<>();
        private ConnectionHandler handler;
        private boolean broken;

        FakeConnection(String name) {
            this.name = name;
            connections.put(name, this);
        }

        @Override
        public void write(ByteBuffer bytes) {
            if (broken) {
                throw new IllegalStateException("broken");
            }
            String text = StandardCharsets.UTF_8.decode(bytes.duplicate()).toString();
            sentBytes.computeIfAbsent(name, n -> new StringBuilder()).append(text);
            addOutput(name, "sent " + text.replace("x".repeat(70_000), "(70000)").replace("\r\n", "|")
                    .replace("\n", "\\n"));
            unwritten.add(bytes.remaining());
            pendingWrites.add(this::writeOut);
        }

        private void writeOut() {
            while (!stuckConnections.contains(name) && !unwritten.isEmpty()) {
                handler.onWritten(unwritten.remove(0));
            }
        }

        @Override
        public void close() {
            addOutput(name, "closed");
        }

        @Override
        public void closeAfterWriting() {
            addOutput(name, "ends");
        }

        @Override
        public boolean hasUndelivered() {
            return false;
        }

        @Override
        public boolean closeUnlessUndelivered() {
            closeAfterWriting();
            return true;
        }

        @Override
        public void closeLingering() {
            addOutput(name, "ends gently");
        }

        @Override
        public void setReadingPaused(boolean paused) {
            addOutput(name, paused ? "held" : "read on");
        }
    }
}
