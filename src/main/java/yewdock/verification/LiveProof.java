package yewdock.verification;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import yewdock.model.Day;
import yewdock.model.Live;
import yewdock.model.Scenario;
import yewdock.model.Score;
import yewdock.model.World;
import yewdock.testbed.ListenPorts;
import yewdock.testbed.LiveDay;

/** One day on sockets, through real routers, and the same day in the model, side by side. */
public final class LiveProof {
    private static final long UP_SECONDS = 30;
    private static final double BUSY_MILLIS = 50;

    private final String main;
    private final Consumer<String> say;

    /** main is the main class of the routers' program. */
    public LiveProof(String main, Consumer<String> say) {
        this.main = main;
        this.say = say;
    }

    /** A class on both sides: first tokens in milliseconds, and the parts of the asks that came in time. */
    public record Compared(double socketsP50, double modelP50, double socketsP99, double modelP99,
            double socketsInTime, double modelInTime) {
    }

    /**
     * Plays the day that the seed draws; troubles that the stand-ins can't play are left out on both sides.
     */
    public Map<String, Compared> run(Scenario whole, long seed) throws IOException {
        Scenario scenario = new Scenario(whole.span(), whole.sites(), whole.routers(), whole.clients(),
                whole.list(),
                whole.reports(), whole.contract(), whole.fleet(), whole.kinds(), whole.classes(),
                whole.municipalities(), whole.troubles().stream().filter(t -> t.what() == Scenario.What.SLOW
                        || t.what() == Scenario.What.COSTLY || t.what() == Scenario.What.BURST).toList());
        Live live = new Live(new Day(scenario, seed));
        Path folder = Files.createTempDirectory("live");
        List<Process> routers = new ArrayList<>();
        Map<String, Compared> compared = new TreeMap<>();
        try (LiveDay day = new LiveDay(live)) {
            List<InetSocketAddress> at = new ArrayList<>();
            for (int r = 0; r < live.routers().size(); r++) {
                InetSocketAddress address = new InetSocketAddress("127.0.0.1", ListenPorts.reserve());
                Path config = Files.writeString(folder.resolve("router-" + r + ".json"),
                        live.configuration(r, "127.0.0.1:" + address.getPort(), day.list()));
                routers.add(start(config, folder.resolve("router-" + r + ".log")));
                at.add(address);
            }
            for (InetSocketAddress address : at) {
                awaitReady(address);
            }
            day.play(at);
            Score.Result model = World.run(scenario, seed);
            if (day.lateMillis() > BUSY_MILLIS) {
                say.accept(String.format(Locale.ROOT,
                        "the stand-ins were up to %.0f ms late: the machine is busy",
                        day.lateMillis()));
            }
            say.accept("| class | asks | first token p50 ms, sockets | model | p99 ms, sockets | model "
                    + "| in time, sockets | model | tries an ask |\n|---|---|---|---|---|---|---|---|---|");
            for (int c = 0; c < scenario.classes().size(); c++) {
                String name = scenario.classes().get(c).name();
                LiveDay.Outcome o = day.byClass().get(name);
                if (o == null) {
                    continue;
                }
                Compared one = new Compared(o.firstMillis(50), model.firstP50ByClass().get(c),
                        o.firstMillis(99),
                        model.firstP99ByClass().get(c), (double) o.inTime() / o.asked(),
                                model.byClass().get(c));
                compared.put(name, one);
                say.accept(String.format(Locale.ROOT,
                        "| %s | %d | %.1f | %.1f | %.1f | %.1f | %.3f | %.3f | %.2f |",
                        name, o.asked(), one.socketsP50(), one.modelP50(), one.socketsP99(), one.modelP99(),
                        one.socketsInTime(), one.modelInTime(), (double) o.tries() / o.asked()));
            }
        } finally {
            routers.forEach(Process::destroy);
            for (Process router : routers) {
                try {
                    if (!router.waitFor(UP_SECONDS, TimeUnit.SECONDS)) {
                        router.destroyForcibly();
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    router.destroyForcibly();
                }
            }
        }
        return compared;
    }

    private Process start(Path config, Path log) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin",
                "java").toString(), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx80m", "-cp",
                System.getProperty("java.class.path"), main, "serve");
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    private static void awaitReady(InetSocketAddress at) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(UP_SECONDS);
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(at);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: live\r\n\r\n".getBytes(
                        StandardCharsets.US_ASCII));
                byte[] head = socket.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.US_ASCII).endsWith("200")) {
                    return;
                }
            } catch (IOException e) {
                // not there yet
            }
            Thread.onSpinWait();
        }
        throw new IOException("the router at " + at + " did not become ready");
    }
}
