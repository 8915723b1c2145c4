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
import yewdock.model.RealTimeModel;
import yewdock.model.SampledScenario;
import yewdock.model.Scenario;
import yewdock.model.Score;
import yewdock.model.Simulation;
import yewdock.testbed.ListenPorts;
import yewdock.testbed.LiveSimulation;

/** Plays one scenario on sockets through real routers and in the model, and compares the results. */
public final class LiveComparison {
    private static final long START_STOP_TIMEOUT_SECONDS = 30;
    private static final double LATE_WARNING_MILLIS = 50;

    private final String mainClass;
    private final Consumer<String> output;

    /** Takes the main class of the routers' program and the consumer of the report lines. */
    public LiveComparison(String mainClass, Consumer<String> output) {
        this.mainClass = mainClass;
        this.output = output;
    }

    /**
     * One request class on both sides: first-token latency in ms, and the share of requests served in time.
     */
    public record ClassComparison(double socketsP50, double modelP50, double socketsP99, double modelP99,
            double socketsInTime, double modelInTime) {
    }

    /**
     * Plays the day that a seed draws from a scenario. Faults that the stand-in servers can't reproduce are
     * left out on both sides.
     *
     * @return the comparison by request class
     */
    public Map<String, ClassComparison> run(Scenario fullScenario, long seed) throws IOException {
        Scenario scenario = new Scenario(fullScenario.loadProfile(), fullScenario.sites(),
                fullScenario.routers(), fullScenario.clients(), fullScenario.discovery(),
                fullScenario.reports(), fullScenario.rules(), fullScenario.fleet(), fullScenario.kinds(),
                fullScenario.classes(), fullScenario.municipalities(), fullScenario.disturbances().stream()
                .filter(t -> t.kind() == Scenario.DisturbanceKind.SLOW
                        || t.kind() == Scenario.DisturbanceKind.COSTLY
                                || t.kind() == Scenario.DisturbanceKind.BURST).toList());
        RealTimeModel live = new RealTimeModel(new SampledScenario(scenario, seed));
        Path folder = Files.createTempDirectory("live");
        List<Process> routers = new ArrayList<>();
        Map<String, ClassComparison> compared = new TreeMap<>();
        try (LiveSimulation simulation = new LiveSimulation(live)) {
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int r = 0; r < live.routerSites().size(); r++) {
                InetSocketAddress address = new InetSocketAddress("127.0.0.1", ListenPorts.reserve());
                Path config = Files.writeString(folder.resolve("router-" + r + ".json"),
                        live.configuration(r, "127.0.0.1:" + address.getPort(),
                                simulation.discoveryAddress()));
                routers.add(start(config, folder.resolve("router-" + r + ".log")));
                addresses.add(address);
            }
            for (InetSocketAddress address : addresses) {
                awaitReady(address);
            }
            simulation.run(addresses);
            Score.SimulationResult model = Simulation.run(scenario, seed);
            if (simulation.maxDelayMillis() > LATE_WARNING_MILLIS) {
                output.accept(String.format(Locale.ROOT,
                        "the stand-in servers were up to %.0f ms late: the machine is busy",
                        simulation.maxDelayMillis()));
            }
            output.accept("| class | requests | first token p50 ms, sockets | model | p99 ms, sockets "
                    + "| model | in time, sockets | model | attempts per request |"
                    + "\n|---|---|---|---|---|---|---|---|---|");
            for (int c = 0; c < scenario.classes().size(); c++) {
                String name = scenario.classes().get(c).name();
                LiveSimulation.ClassResult outcome = simulation.byClass().get(name);
                if (outcome == null) {
                    continue;
                }
                ClassComparison comparison = new ClassComparison(outcome.firstMillis(50),
                        model.firstTokenP50MillisByClass().get(c),
                        outcome.firstMillis(99), model.firstTokenP99MillisByClass().get(c),
                        (double) outcome.inTimeCount() / outcome.requestCount(),
                                model.servedShareByClass().get(c));
                compared.put(name, comparison);
                output.accept(String.format(Locale.ROOT,
                        "| %s | %d | %.1f | %.1f | %.1f | %.1f | %.3f | %.3f | %.2f |",
                        name, outcome.requestCount(), comparison.socketsP50(), comparison.modelP50(),
                        comparison.socketsP99(), comparison.modelP99(),
                        comparison.socketsInTime(), comparison.modelInTime(),
                        (double) outcome.attemptCount() / outcome.requestCount()));
            }
        } finally {
            routers.forEach(Process::destroy);
            for (Process router : routers) {
                try {
                    if (!router.waitFor(START_STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
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
                System.getProperty("java.class.path"), mainClass, "serve");
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    private static void awaitReady(InetSocketAddress address) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_STOP_TIMEOUT_SECONDS);
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(address);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: live\r\n\r\n".getBytes(
                        StandardCharsets.US_ASCII));
                byte[] head = socket.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.US_ASCII).endsWith("200")) {
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.onSpinWait();
        }
        throw new IOException("the router at " + address + " did not become ready");
    }
}
