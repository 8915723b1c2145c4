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
import yewdock.desk.Counters;
import yewdock.desk.Desk;
import yewdock.desk.Event;
import yewdock.desk.Terms;
import yewdock.door.Door;
import yewdock.http.BadMessageException;
import yewdock.http.Head;
import yewdock.http.MessageReader;
import yewdock.platform.Config;
import yewdock.platform.Front;
import yewdock.platform.Side;
import yewdock.platform.Wire;
import yewdock.platform.Wires;

/**
 * Replays a recorded exchange against the connection manager and the reducer, on a clock of its own, and
 * records the result. A line "&gt; ms who what" is an input to the router and a line "&lt; ms who what" an
 * output; "|" stands for CR LF, "\n" for LF, and "$name" for the text that a line "= name text" defines.
 */
final class Exchange implements Wires {
    static final Path FOLDER = Path.of("src/test/resources/exchanges");
    private static final long START_MICROS = 1_000_000_000_000L;

    private final List<String> transcript = new ArrayList<>();
    private final Map<String, FakeWire> wires = new LinkedHashMap<>();
    private final Map<String, StringBuilder> sentBytes = new TreeMap<>();
    private final Set<String> stuckConnections = new HashSet<>();
    private final List<Runnable> pendingWrites = new ArrayList<>();
    private final Counters counters = new Counters();
    private final Desk reducer;
    private final Front connectionManager;
    private final Door adminInterface;
    private long nowMicros;
    private int serverConnections;
    private int discoveryConnections;

    private Exchange() throws IOException {
        Config config = Config.read(Files.readString(FOLDER.resolve("config.json")), this::log);
        reducer = new Desk(Terms.of(config.settings(), config.keepalive()), config.bounds(), counters,
                InOrderModule::new);
        connectionManager = new Front(config, reducer, counters, this, () -> START_MICROS + nowMicros,
                this::log);
        adminInterface = new Door(connectionManager);
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
    static Exchange play(List<String> lines, int cut) throws IOException {
        Exchange exchange = new Exchange();
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
        Map<String, String> told = new TreeMap<>();
        sentBytes.forEach((who, text) -> told.put(who,
                who.startsWith("c") ? withoutFraming(text.toString()) : text.toString()));
        return told;
    }

    private static String withoutFraming(String text) {
        StringBuilder all = new StringBuilder();
        MessageReader reader = new MessageReader(MessageReader.Kind.ANSWER, new MessageReader.Sink() {
            @Override
            public void head(Head head) {
                all.append(head);
            }

            @Override
            public void body(ByteBuffer piece) {
                all.append(StandardCharsets.UTF_8.decode(piece));
            }

            @Override
            public void end() {
                all.append("(end)");
            }
        });
        try {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                reader.read(bytes);
                if (reader.done()) {
                    reader.next();
                }
            }
        } catch (BadMessageException e) {
            throw new IllegalStateException(text, e);
        }
        return all.toString();
    }

    /** Returns the configuration with "this=that" replaced in its text. */
    private Config configWith(String change) throws IOException {
        String[] parts = change.split("=");
        return Config.read(Files.readString(FOLDER.resolve("config.json")).replace(parts[0], parts[1]),
                this::log);
    }

    private void input(String line, int cut) throws IOException {
        String[] parts = line.split(" ", 5);
        long time = Long.parseLong(parts[1]) * 1000;
        while (reducer.nextDue() <= START_MICROS + time) {
            nowMicros = Math.max(nowMicros, reducer.nextDue() - START_MICROS);
            connectionManager.happened(new Event.Tick());
            flushWrites();
        }
        nowMicros = time;
        transcript.add(line);
        String who = parts[2];
        FakeWire wire = wires.get(who);
        switch (parts[3]) {
            case "opens" -> {
                FakeWire opened = new FakeWire(who);
                opened.side = who.startsWith("o") ? adminInterface.accept(opened)
                        : connectionManager.accept(opened);
                opened.side.up();
            }
            case "up" -> wire.side.up();
            case "breaks" -> wire.broken = true;
            case "idle" -> wire.side.idle();
            case "down" -> wire.side.down();
            case "stuck" -> stuckConnections.add(who);
            case "unstuck" -> {
                stuckConnections.remove(who);
                wire.writeOut();
            }
            case "reconfigures" -> connectionManager.reconfigure(configWith(parts[4]));
            case "leaves" -> connectionManager.happened(new Event.Leave());
            case "passes" -> { }
            case "sends" -> {
                byte[] bytes = bytes(parts[4]);
                int at = Math.min(cut, bytes.length);
                for (byte[] part : List.of(Arrays.copyOf(bytes, at),
                        Arrays.copyOfRange(bytes, at, bytes.length))) {
                    if (part.length > 0) {
                        wire.side.received(ByteBuffer.wrap(part));
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
    public <S extends Side> S connect(String address, Function<Wire, S> makeSide) {
        boolean toList = address.endsWith(":8500") || address.endsWith(":8501");
        FakeWire wire = new FakeWire(toList ? "list" + ++discoveryConnections : "line" + ++serverConnections);
        addOutput(wire.name, "connects " + address);
        S side = makeSide.apply(wire);
        wire.side = side;
        return side;
    }

    @Override
    public void stop() {
        addOutput("router", "stops");
    }

    private final class FakeWire implements Wire {
        private final String name;
        private final List<Integer> unwritten = new ArrayList<>();
        private Side side;
        private boolean broken;

        FakeWire(String name) {
            this.name = name;
            wires.put(name, this);
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
                side.written(unwritten.remove(0));
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
        public boolean hasUnheard() {
            return false;
        }

        @Override
        public boolean closeUnlessUnheard() {
            closeAfterWriting();
            return true;
        }

        @Override
        public void linger() {
            addOutput(name, "ends gently");
        }

        @Override
        public void hold(boolean held) {
            addOutput(name, held ? "held" : "read on");
        }
    }
}
