package yewdock.verification;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import yewdock.testbed.FaultyGeneration;
import yewdock.testbed.FaultyGeneration.Fault;
import yewdock.testbed.Fleet;
import yewdock.testbed.LoadGenerator;
import yewdock.testbed.ObservationLog;
import yewdock.testbed.StubServer;
import yewdock.upgrade.Stage;

/**
 * Upgrades a daemon again and again under load, with real processes and sockets, streams that stay open,
 * servers that drain and come back, and some upgrades that fail on purpose.
 * {@link RunChecker} checks the results.
 */
public final class UpgradeVerification {
    /** An upgrade block with timeouts short enough that a hung process doesn't prolong the run. */
    public static final String QUICK_STAGES = """
              start_s = 8
              check_s = 5
              state_s = 2
              ready_s = 5
              take_s = 2
              share_s = 0.5
              go_s = 0.5
              let_go_s = 1
              finish_s = 60
              most_finishing = 24""";
    private static final int SERVERS = 8;
    private static final int SLOTS_PER_SERVER = 64;
    private static final int LONG_STREAMS = 8;
    private static final int LONG_TOKENS = 300;
    private static final int LONG_PACE_MILLIS = 20;
    private static final long DRAIN_MILLIS = 2_500;
    private static final long MAX_PAUSE_MILLIS = 150;
    /** Requests of this first time are left out: a cold JVM answers them slowly, with or without upgrades. */
    private static final long WARM_UP_MILLIS = 4_000;
    private static final List<Fault> FAULTS = List.of(Fault.EXIT, Fault.HANG, Fault.KILLED, Fault.NONSENSE);
    private static final List<Stage> FAILING_STAGES = List.of(Stage.START, Stage.CHECK, Stage.STATE,
            Stage.READY, Stage.TAKE, Stage.SHARE, Stage.GO);

    private final String mainClass;
    private final int upgrades;
    private final int connections;
    private final double requestsPerSecond;
    private final long seed;
    private final Consumer<String> output;
    private final Map<String, Histogram> stageTimes = new LinkedHashMap<>();
    /** Start and end of each upgrade, in nanoseconds. */
    private final List<long[]> upgradeSpans = new ArrayList<>();
    private int failedUpgrades;
    private long measuredFrom;
    private final Map<String, Integer> faultCounts = new LinkedHashMap<>();

    /**
     * Prepares a run.
     *
     * @param mainClass the main class of the daemon
     * @param upgrades number of upgrades, of which every fifth fails on purpose
     * @param connections number of client connections
     * @param requestsPerSecond request rate of the load
     * @param seed draws the load, the drains and the faults
     * @param output receives the report lines
     */
    public UpgradeVerification(String mainClass, int upgrades, int connections, double requestsPerSecond,
            long seed, Consumer<String> output) {
        this.mainClass = mainClass;
        this.upgrades = upgrades;
        this.connections = connections;
        this.requestsPerSecond = requestsPerSecond;
        this.seed = seed;
        this.output = output;
    }

    /** Runs all upgrades; returns the violations, one text each, empty if there are none. */
    public List<String> run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("yewdock-proof");
        List<String> violations = new ArrayList<>();
        try (Fleet fleet = new Fleet(SERVERS, SLOTS_PER_SERVER);
                DaemonProcess router = DaemonProcess.start(mainClass, folder,
                        fleet.configuration("127.0.0.1:0"), QUICK_STAGES)) {
            LoadGenerator load = new LoadGenerator(new LoadGenerator.Profile(router.address(), connections,
                    requestsPerSecond, 40, 10, seed), fleet.observations());
            LoadGenerator streams = new LoadGenerator(new LoadGenerator.Profile(router.address(),
                    LONG_STREAMS, 2, LONG_TOKENS, LONG_PACE_MILLIS, seed + 1), fleet.observations());
            AtomicBoolean over = new AtomicBoolean();
            Thread drains = new Thread(() -> drainServers(fleet, over), "drains");
            load.start();
            streams.start();
            drains.start();
            Thread.sleep(WARM_UP_MILLIS);
            measuredFrom = System.nanoTime();
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < upgrades; i++) {
                upgrade(router, i % 5 == 4, random, violations);
                Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS));
            }
            over.set(true);
            drains.join();
            load.stop();
            streams.stop();
            if (!router.terminate()) {
                violations.add("the daemon did not end on SIGTERM in time:\n" + router.log());
            }
            checkLog(router.log(), violations);
            violations.addAll(RunChecker.violations(fleet.observations()));
            report(fleet.observations(), violations);
            if (!violations.isEmpty()) {
                output.accept("the daemon's log: " + Files.writeString(
                        Files.createTempFile("yewdock-proof", ".log"), router.log()));
            }
        } finally {
            deleteRecursively(folder);
        }
        return violations;
    }

    private static void checkLog(String log, List<String> violations) {
        log.lines().filter(l -> l.contains("fault")).forEach(l -> violations.add("a fault in the log: " + l));
    }

    private void upgrade(DaemonProcess router, boolean fails, SplittableRandom random,
            List<String> violations)
            throws IOException {
        List<String> arguments = new ArrayList<>();
        String faultName = "none";
        Path config = router.folder().resolve("config.json");
        String validConfiguration = Files.readString(config);
        if (fails) {
            Stage stage = FAILING_STAGES.get(failedUpgrades % FAILING_STAGES.size());
            Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
            failedUpgrades++;
            if (stage == Stage.CHECK && fault == Fault.EXIT) {
                faultName = "check CONFIGURATION";
                Files.writeString(config, "{\"name\":");
            } else {
                faultName = stage + " " + fault;
                arguments.addAll(List.of(System.getProperty("java.class.path"),
                        FaultyGeneration.class.getName(), stage.name(), fault.name()));
            }
        }
        long startedAt = System.nanoTime();
        DaemonProcess.CommandResult result = router.sendCommand("upgrade", arguments);
        upgradeSpans.add(new long[] {startedAt, System.nanoTime()});
        Files.writeString(config, validConfiguration);
        if (fails) {
            faultCounts.merge(faultName, 1, Integer::sum);
        } else {
            stageTimes(result.output());
        }
        if (fails ? result.exitCode() != 1 || !result.output().contains("serves as before")
                : result.exitCode() != 0) {
            violations.add("an upgrade with fault " + faultName + " ended with " + result.exitCode() + ": "
                    + result.output());
        }
    }

    private void stageTimes(String line) {
        int at = line.indexOf("ms: ");
        if (at < 0) {
            return;
        }
        for (String part : line.substring(at + 4).split(", ")) {
            String[] words = part.split(" ");
            stageTimes.computeIfAbsent(words[0], s -> new Histogram(3))
                    .recordValue(Math.round(Double.parseDouble(words[1]) * 1000));
        }
    }

    /**
     * Drains random servers one after the other. They still accept requests, so that a request sent to a
     * draining server is recorded.
     */
    private void drainServers(Fleet fleet, AtomicBoolean over) {
        SplittableRandom random = new SplittableRandom(seed + 2);
        while (!over.get()) {
            StubServer server = fleet.servers().get(random.nextInt(SERVERS));
            fleet.discovery().setState(server.name(), "draining");
            try {
                Thread.sleep(DRAIN_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            fleet.discovery().setState(server.name(), "up");
        }
    }

    private void report(ObservationLog observations, List<String> violations) {
        List<ObservationLog.RequestResult> during = new ArrayList<>();
        List<ObservationLog.RequestResult> outside = new ArrayList<>();
        for (ObservationLog.RequestResult answer : observations.requestResults()) {
            long answeredAt = answer.firstTokenNanos() == 0 ? answer.endedNanos() : answer.firstTokenNanos();
            boolean overlapsUpgrade = upgradeSpans.stream()
                    .anyMatch(s -> answer.startedNanos() < s[1] && answeredAt > s[0]);
            if (answer.startedNanos() >= measuredFrom) {
                (overlapsUpgrade ? during : outside).add(answer);
            }
        }
        int failed = faultCounts.values().stream().mapToInt(Integer::intValue).sum();
        output.accept("upgrades " + upgrades + ", of them failing on purpose " + failed + " " + faultCounts);
        output.accept("during upgrades:  " + LoadGenerator.summary(during));
        output.accept("outside upgrades: " + LoadGenerator.summary(outside));
        for (ObservationLog.RequestOutcome end : ObservationLog.RequestOutcome.values()) {
            output.accept("ended " + end.name().toLowerCase(Locale.ROOT) + ": "
                    + RunChecker.count(observations, end));
        }
        stageTimes.forEach((stage, histogram) -> output.accept(String.format(Locale.ROOT,
                "stage %-7s ms p50 %7.1f p99 %7.1f max %7.1f", stage,
                histogram.getValueAtPercentile(50) / 1e3,
                histogram.getValueAtPercentile(99) / 1e3, histogram.getMaxValue() / 1e3)));
        output.accept("broken rules: " + violations.size());
    }

    /** Deletes a folder with all that it contains. */
    static void deleteRecursively(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
