package yewdock.verification;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import yewdock.state.RecordKeys;
import yewdock.state.ReplicatedRecords;
import yewdock.store.RecordFile;
import yewdock.store.StoreException;
import yewdock.testbed.Fleet;
import yewdock.testbed.FloodingPeer;
import yewdock.testbed.LoadGenerator;
import yewdock.testbed.ObservationLog;
import yewdock.wire.Box;
import yewdock.wire.Kept;

/**
 * Measures the cost of the store: the same load on a daemon without a store, with one, with one and a peer
 * that accepts a connection and never reads, and with one and a peer that floods it. The setups take turns,
 * so that noise on the machine affects all of them. Also measures how long a daemon takes to start with many
 * records and with none.
 */
public final class StoreBenchmark {
    /** The names of all setups. */
    public static final List<String> SETUPS = List.of("off", "on", "on, a peer hangs", "on, a peer floods");
    private static final int STARTS_PER_STORE = 5;
    private static final int RECORDS = 10_000;
    private static final int CONNECTIONS = 64;
    private static final double REQUESTS_PER_SECOND = 600;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final double NANOS_PER_MILLI = 1e6;
    /** Rate at which the flooding peer offers data. */
    private static final double FLOOD_BYTES_PER_SECOND = 10e6;

    private final String mainClass;
    private final List<String> setups;
    private final int rounds;
    private final int seconds;
    private final long seed;
    private final Consumer<String> output;

    /**
     * Prepares a run.
     *
     * @param mainClass the main class of the daemon
     * @param setups some of {@link #SETUPS}; must include "off", to which the others are compared
     * @param rounds how often each setup is measured
     * @param seconds how long each measurement takes
     * @param seed draws the load
     * @param output receives the report lines
     */
    public StoreBenchmark(String mainClass, List<String> setups, int rounds, int seconds, long seed,
            Consumer<String> output) {
        this.mainClass = mainClass;
        this.setups = List.copyOf(setups);
        this.rounds = rounds;
        this.seconds = seconds;
        this.seed = seed;
        this.output = output;
    }

    /** One measurement; CPU times are per request, first-token times in milliseconds. */
    private record Measurement(double requestsPerSecond, double cpuMicros, double daemonMicros,
            double firstTokenP50Millis, double firstTokenP99Millis, long daemonMegabytes) {
    }

    /** Runs all measurements; returns the violations, one line each. */
    public List<String> run() throws IOException, InterruptedException, StoreException {
        List<String> violations = new ArrayList<>();
        Path folder = Files.createTempDirectory("yewdock-store-cost");
        Map<String, List<Measurement>> measurements = new TreeMap<>();
        // a listener that never accepts: the kernel completes the connection, and nothing reads from it
        try (ServerSocket hangingPeer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                FloodingPeer floodingPeer = new FloodingPeer("b", "a", FLOOD_BYTES_PER_SECOND)) {
            for (int round = 0; round < rounds; round++) {
                // rotate the order, so that no setup is always first in its round
                List<String> rotated = new ArrayList<>(setups);
                Collections.rotate(rotated, round);
                for (String setup : rotated) {
                    measurements.computeIfAbsent(setup, s -> new ArrayList<>()).add(
                            measure(setup, folder.resolve(setup.replaceAll("\\W+", "-") + round),
                                    setup.endsWith("floods") ? floodingPeer.port()
                                    : hangingPeer.getLocalPort(), violations));
                }
            }
            output.accept("store | requests/s | CPU us per request, serving process | daemon, % of a core"
                    + " | daemon MB resident | first token ms p50 / p99");
            double cpuWithoutStore = median(measurements.get("off").stream()
                    .mapToDouble(Measurement::cpuMicros));
            measurements.forEach((setup, all) -> {
                double cpuMicros = median(all.stream().mapToDouble(Measurement::cpuMicros));
                double daemonPercent = median(all.stream().mapToDouble(measurement ->
                        measurement.daemonMicros * measurement.requestsPerSecond / 1e4));
                output.accept(String.format(Locale.ROOT,
                        "%s | %.0f | %.0f (%+.1f%%) | %.2f | %.0f | %.2f / %.2f", setup,
                        median(all.stream().mapToDouble(Measurement::requestsPerSecond)), cpuMicros,
                        (cpuMicros / cpuWithoutStore - 1) * 100, daemonPercent,
                        median(all.stream().mapToDouble(Measurement::daemonMegabytes)),
                        median(all.stream().mapToDouble(Measurement::firstTokenP50Millis)),
                        median(all.stream().mapToDouble(Measurement::firstTokenP99Millis))));
            });
            measurements.forEach((setup, all) -> output.accept("CPU us per request by round, " + setup + ": "
                    + all.stream().map(measurement -> Math.round(measurement.cpuMicros)).toList()));
            output.accept("read from the flooding peer: " + floodingPeer.bytesWritten() / 1_000_000 / (seconds
                    + WARM_UP_MILLIS / 1000) + " MB/s of " + FLOOD_BYTES_PER_SECOND / 1e6);
            measureStarts(folder);
        } finally {
            UpgradeVerification.deleteRecursively(folder);
        }
        return violations;
    }

    private static double median(java.util.stream.DoubleStream all) {
        double[] sorted = all.sorted().toArray();
        return sorted[sorted.length / 2];
    }

    private static String settingsBlocks(String setup, Path folder, int peer) {
        return setup.equals("off") ? "" : "store {\n  folder = \"" + folder.resolve("store") + "\"\n}\n"
                + (setup.equals("on") ? "" : "copies {\n  instance = \"a\"\n  listen = \"127.0.0.1:0\"\n"
                + "  peers = [\"b=127.0.0.1:" + peer + "\"]\n}\n");
    }

    private Measurement measure(String setup, Path folder, int peer, List<String> violations)
            throws IOException, InterruptedException {
        Files.createDirectory(folder);
        try (Fleet fleet = new Fleet(8, 64);
                DaemonProcess router = DaemonProcess.start(mainClass, folder,
                        fleet.configuration("127.0.0.1:0"),
                        UpgradeVerification.QUICK_STAGES, settingsBlocks(setup, folder, peer))) {
            LoadGenerator load = new LoadGenerator(new LoadGenerator.Profile(router.address(), CONNECTIONS,
                    REQUESTS_PER_SECOND, 10, 2, seed), fleet.observations());
            load.start();
            Thread.sleep(WARM_UP_MILLIS);
            List<ProcessHandle> processes = router.generations();
            List<ProcessHandle> daemon = List.of(router.process());
            long cpuBefore = cpuNanos(processes);
            long daemonCpuBefore = cpuNanos(daemon);
            long startedAt = System.nanoTime();
            Thread.sleep(seconds * 1000L);
            long cpuUsed = cpuNanos(processes) - cpuBefore;
            long daemonCpuUsed = cpuNanos(daemon) - daemonCpuBefore;
            long residentMegabytes = residentMegabytes(router.process().pid());
            long endedAt = System.nanoTime();
            load.stop();
            Histogram firstTokenMicros = new Histogram(3);
            for (ObservationLog.RequestResult answer : fleet.observations().requestResults()) {
                if (answer.endedNanos() >= startedAt && answer.endedNanos() < endedAt
                        && answer.outcome() == ObservationLog.RequestOutcome.SERVED) {
                    firstTokenMicros.recordValue((answer.firstTokenNanos() - answer.startedNanos()) / 1000);
                }
            }
            RunChecker.violations(fleet.observations()).forEach(violation -> violations.add(setup + ": "
                    + violation));
            long served = firstTokenMicros.getTotalCount();
            return new Measurement(served / ((endedAt - startedAt) / 1e9), cpuUsed / 1000.0 / served,
                    daemonCpuUsed / 1000.0 / served, firstTokenMicros.getValueAtPercentile(50) / 1000.0,
                    firstTokenMicros.getValueAtPercentile(99) / 1000.0, residentMegabytes);
        }
    }

    private static long cpuNanos(List<ProcessHandle> processes) {
        return processes.stream().mapToLong(process -> process.info().totalCpuDuration().orElse(Duration.ZERO)
                .toNanos()).sum();
    }

    private static long residentMegabytes(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmRSS")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
            }
        }
        return 0;
    }

    private void measureStarts(Path folder) throws IOException, StoreException {
        double[][] startMillis = new double[2][STARTS_PER_STORE];
        for (int i = 0; i < STARTS_PER_STORE; i++) {
            for (int full = 0; full < 2; full++) {
                Path startFolder = Files.createDirectory(folder.resolve("start-" + i + "-" + full));
                if (full == 1) {
                    fill(startFolder.resolve("store"));
                } else {
                    RecordFile.open(startFolder.resolve("store")).close();
                }
                try (Fleet fleet = new Fleet(8, 64)) {
                    long startedAt = System.nanoTime();
                    DaemonProcess router = DaemonProcess.start(mainClass, startFolder,
                            fleet.configuration("127.0.0.1:0"),
                            UpgradeVerification.QUICK_STAGES, settingsBlocks("on", startFolder, 0));
                    startMillis[full][i] = (System.nanoTime() - startedAt) / NANOS_PER_MILLI;
                    router.close();
                }
            }
        }
        output.accept(String.format(Locale.ROOT, "start to serving, ms, median of %d: empty store %.0f, "
                + "%d records %.0f", STARTS_PER_STORE, median(Arrays.stream(startMillis[0])), RECORDS,
                median(Arrays.stream(startMillis[1]))));
    }

    /** Fills a store as in a cluster of five: mostly replicated records of the other instances. */
    private static void fill(Path folder) throws StoreException {
        ReplicatedRecords records = new ReplicatedRecords("other", RECORDS);
        Map<String, byte[]> all = new TreeMap<>();
        for (int i = 0; i < RECORDS; i++) {
            Kept kept = records.write(RecordKeys.server("i" + i % 4, i / 4),
                    Kept.newBuilder().setBox(Box.newBuilder()
                    .setName("s-" + i).setAddress("10.0.0.1:8000").setId(i).setWeight(1)), 1);
            all.put(RecordKeys.STORE_PREFIX + kept.getKey(), ReplicatedRecords.bytes(kept));
        }
        try (RecordFile store = RecordFile.open(folder)) {
            store.write(all);
        }
    }
}
