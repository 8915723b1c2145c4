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
 * Plays a recorded exchange against the front and the desk, on a clock of its own, and records what comes of
 * it. A line is "&gt; ms who what" for what happens to the router and "&lt; ms who what" for what it does;
 * "|" stands for CR LF and "\n" for LF, "$name" for what a line "= name text" says.
 */
final class RecordedExchange implements Transport {
    static final Path FOLDER = Path.of("src/test/resources/exchanges");
    private static final long START = 1_000_000_000_000L;

    private final List<String> seen = new ArrayList<>();
    private final Map<String, FakeWire> wires = new LinkedHashMap<>();
    private final Map<String, StringBuilder> sent = new TreeMap<>();
    private final Set<String> stuck = new HashSet<>();
    private final List<Runnable> leaving = new ArrayList<>();
    private final Counters counters = new Counters();
    private final Reducer desk;
    private final ConnectionManager front;
    private final AdminInterface door;
    private long micros;
    private int lines;
    private int lists;

    private RecordedExchange() throws IOException {
        Config config = Config.read(Files.readString(FOLDER.resolve("config.json")), this::log);
        desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()), config.bounds(),
                counters,
                InOrderModule::new);
        front = new ConnectionManager(config, desk, counters, this, () -> START + micros, this::log);
        door = new AdminInterface(front);
        front.start();
    }

    /** The file's lines with all names replaced. */
    static List<String> lines(String name) throws IOException {
        Map<String, String> names = new TreeMap<>((a, b) -> b.compareTo(a));
        List<String> lines = new ArrayList<>();
        for (Path file : List.of(FOLDER.resolve("names.txt"), FOLDER.resolve(name))) {
            for (String line : Files.readAllLines(file)) {
                if (line.startsWith("= ")) {
                    String[] parts = line.split(" ", 3);
                    names.put(parts[1], replaced(parts[2], names));
                } else if (!line.isBlank() && !line.startsWith("#")) {
                    lines.add(replaced(line, names));
                }
            }
        }
        return lines;
    }

    private static String replaced(String line, Map<String, String> names) {
        String text = line;
        for (Map.Entry<String, String> e : names.entrySet()) {
            text = text.replace("$" + e.getKey(), e.getValue());
        }
        return text;
    }

    /** Plays the inputs among the lines, what is sent cut in two at this offset; returns what was seen. */
    static RecordedExchange play(List<String> lines, int cut) throws IOException {
        RecordedExchange exchange = new RecordedExchange();
        for (String line : lines) {
            if (line.startsWith("> ")) {
                exchange.input(line, cut);
            }
        }
        return exchange;
    }

    /** What was seen, line by line. */
    List<String> seen() {
        return seen;
    }

    /** Per connection, what the router sent: the messages to clients without their framing. */
    Map<String, String> told() {
        Map<String, String> told = new TreeMap<>();
        sent.forEach((who, text) -> told.put(who,
                who.startsWith("c") ? unframed(text.toString()) : text.toString()));
        return told;
    }

    private static String unframed(String text) {
        StringBuilder all = new StringBuilder();
        MessageReader reader = new MessageReader(MessageReader.Kind.RESPONSE, new MessageReader.Sink() {
            @Override
            public void head(MessageHead head) {
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
                if (reader.isComplete()) {
                    reader.startNext();
                }
            }
        } catch (BadMessageException e) {
            throw new IllegalStateException(text, e);
        }
        return all.toString();
    }

    /** The configuration with "this=that" replaced in its text. */
    private Config reconfigured(String change) throws IOException {
        String[] parts = change.split("=");
        return Config.read(Files.readString(FOLDER.resolve("config.json")).replace(parts[0], parts[1]),
                this::log);
    }

    private void input(String line, int cut) throws IOException {
        String[] parts = line.split(" ", 5);
        long time = Long.parseLong(parts[1]) * 1000;
        while (desk.nextTimerDue() <= START + time) {
            micros = Math.max(micros, desk.nextTimerDue() - START);
            front.dispatch(new Event.Tick());
            left();
        }
        micros = time;
        seen.add(line);
        String who = parts[2];
        FakeWire wire = wires.get(who);
        switch (parts[3]) {
            case "opens" -> {
                FakeWire opened = new FakeWire(who);
                opened.side = who.startsWith("o") ? door.accept(opened) : front.accept(opened);
                opened.side.onConnected();
            }
            case "up" -> wire.side.onConnected();
            case "breaks" -> wire.broken = true;
            case "idle" -> wire.side.onIdle();
            case "down" -> wire.side.onClosed();
            case "stuck" -> stuck.add(who);
            case "unstuck" -> {
                stuck.remove(who);
                wire.writeOut();
            }
            case "reconfigures" -> front.reconfigure(reconfigured(parts[4]));
            case "leaves" -> front.dispatch(new Event.ShutdownRequested());
            case "passes" -> { }
            case "sends" -> {
                byte[] bytes = bytes(parts[4]);
                int at = Math.min(cut, bytes.length);
                for (byte[] part : List.of(Arrays.copyOf(bytes, at),
                        Arrays.copyOfRange(bytes, at, bytes.length))) {
                    if (part.length > 0) {
                        wire.side.onReceived(ByteBuffer.wrap(part));
                        left();
                    }
                }
            }
            default -> throw new IllegalArgumentException(line);
        }
        left();
    }

    /** What was written has left, wherever a connection is not stuck. */
    private void left() {
        while (!leaving.isEmpty()) {
            leaving.remove(0).run();
        }
    }

    private static byte[] bytes(String text) {
        String filled = text.replace("(70000)", "x".repeat(70_000)).replace("(300000)", "x".repeat(300_000));
        return filled.replace("|", "\r\n").replace("\\n", "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void saw(String who, String what) {
        seen.add("< " + micros / 1000 + " " + who + " " + what);
    }

    private void log(String line) {
        saw("log", line);
    }

    @Override
    public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide) {
        boolean toList = address.endsWith(":8500") || address.endsWith(":8501");
        FakeWire wire = new FakeWire(toList ? "list" + ++lists : "line" + ++lines);
        saw(wire.name, "connects " + address);
        S side = makeSide.apply(wire);
        wire.side = side;
        return side;
    }

    @Override
    public void stop() {
        saw("router", "stops");
    }

    private final class FakeWire implements Connection {
        private final String name;
        private final List<Integer> unwritten = new ArrayList<>();
        private ConnectionHandler side;
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
            sent.computeIfAbsent(name, n -> new StringBuilder()).append(text);
            saw(name, "sent " + text.replace("x".repeat(70_000), "(70000)").replace("\r\n", "|")
                    .replace("\n", "\\n"));
            unwritten.add(bytes.remaining());
            leaving.add(this::writeOut);
        }

        private void writeOut() {
            while (!stuck.contains(name) && !unwritten.isEmpty()) {
                side.onWritten(unwritten.remove(0));
            }
        }

        @Override
        public void close() {
            saw(name, "closed");
        }

        @Override
        public void closeAfterWriting() {
            saw(name, "ends");
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
            saw(name, "ends gently");
        }

        @Override
        public void setReadingPaused(boolean held) {
            saw(name, held ? "held" : "read on");
        }
    }
}
