package yewdock.verification;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import yewdock.testbed.Fleet;
import yewdock.testbed.ListenPorts;
import yewdock.testbed.LoadGenerator;
import yewdock.testbed.ObservationLog;

/**
 * Kills a daemon with a store again and again under load, together with its generations, while discovery and
 * an operator drain servers. Checks by the stand-in servers' records that drains are kept, and by the status
 * after each restart that no acknowledged command is lost.
 */
public final class StoreVerification {
    private static final int SERVERS = 8;
    private static final int SLOTS_PER_SERVER = 64;
    /** Number of servers, the last ones, that the operator drains; discovery drains the others. */
    private static final int OPERATOR_SERVERS = 2;
    private static final double REQUESTS_PER_SECOND = 150;
    private static final int CONNECTIONS = 32;
    private static final long MAX_LIFETIME_MILLIS = 1_200;

    private final String mainClass;
    private final int kills;
    private final long seed;
    private final Consumer<String> output;
    private final List<RunChecker.OperatorDrain> operatorDrains = new ArrayList<>();
    private final Map<String, Long> drainAcknowledgedAt = new HashMap<>();
    /**
     * Whether a server must be drained by the operator after a restart: true or false by the last
     * acknowledged command, absent if there is none or if a later command got no answer.
     */
    private final Map<String, Boolean> expectedDrains = new HashMap<>();
    private final Histogram acknowledgementMicros = new Histogram(3);
    private final Histogram restartTimes = new Histogram(3);
    private int commands;
    private int commandsWithoutAnswer;

    /**
     * Prepares a run.
     *
     * @param mainClass the main class of the daemon
     * @param kills number of kills
     * @param seed draws the load, the commands and the times of the kills
     * @param output receives the report lines
     */
    public StoreVerification(String mainClass, int kills, long seed, Consumer<String> output) {
        this.mainClass = mainClass;
        this.kills = kills;
        this.seed = seed;
        this.output = output;
    }

    /** Runs all kills; returns the violations, one text each, empty if there are none. */
    public List<String> run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("yewdock-store-proof");
        List<String> violations = new ArrayList<>();
        String storeBlock = "store {\n  folder = \"" + folder.resolve("store") + "\"\n}\n";
        SplittableRandom random = new SplittableRandom(seed);
        int port = ListenPorts.reserve();
        try (Fleet fleet = new Fleet(SERVERS, SLOTS_PER_SERVER)) {
            String configuration = fleet.configuration("127.0.0.1:" + port);
            AtomicBoolean over = new AtomicBoolean();
            Thread discoveryDrains = new Thread(() ->
                    drainByEndpointList(fleet, over, new SplittableRandom(seed + 1)),
                    "drains");
            LoadGenerator load = null;
            for (int lifetime = 0; lifetime <= kills; lifetime++) {
                long startedAt = System.nanoTime();
                try (DaemonProcess router = DaemonProcess.start(mainClass, folder,
                        configuration, UpgradeVerification.QUICK_STAGES, storeBlock)) {
                    restartTimes.recordValue((System.nanoTime() - startedAt) / 1_000_000);
                    if (load == null) {
                        load = new LoadGenerator(new LoadGenerator.Profile(router.address(), CONNECTIONS,
                                REQUESTS_PER_SECOND, 30, 10, seed), fleet.observations());
                        load.start();
                        discoveryDrains.start();
                    }
                    checkExpectedDrains(router, lifetime, violations);
                    runLifetime(router, fleet, random);
                    checkLog(router.log(), violations);
                }
                if (lifetime % 10 == 9) {
                    output.accept("kills " + (lifetime + 1) + " of " + kills + ", violations so far "
                            + violations.size());
                }
            }
            over.set(true);
            discoveryDrains.join();
            load.stop();
            drainAcknowledgedAt.forEach((server, at) ->
                    operatorDrains.add(new RunChecker.OperatorDrain(server, at, Long.MAX_VALUE)));
            violations.addAll(RunChecker.violationsWithKills(fleet.observations(), operatorDrains));
            report(fleet.observations(), violations);
        } finally {
            UpgradeVerification.deleteRecursively(folder);
        }
        return violations;
    }

    /** Sends commands until the next kill, which may come while the last command is in progress. */
    private void runLifetime(DaemonProcess router, Fleet fleet, SplittableRandom random)
            throws InterruptedException {
        long end = System.nanoTime() + random.nextLong(100, MAX_LIFETIME_MILLIS) * 1_000_000;
        while (System.nanoTime() < end) {
            toggleDrain(router, fleet, random);
            Thread.sleep(random.nextLong(200));
        }
        if (random.nextBoolean()) {
            Thread lastCommand = new Thread(() -> toggleDrain(router, fleet, random), "last");
            lastCommand.start();
            Thread.sleep(random.nextLong(40));
            router.close();
            lastCommand.join();
        }
    }

    private void toggleDrain(DaemonProcess router, Fleet fleet, SplittableRandom random) {
        String server = fleet.servers().get(SERVERS - 1 - random.nextInt(OPERATOR_SERVERS)).name();
        boolean drain = !drainAcknowledgedAt.containsKey(server);
        long sentAt = System.nanoTime();
        if (!drain) {
            // once the undrain is requested, the server may get requests again
            operatorDrains.add(new RunChecker.OperatorDrain(server,
                    drainAcknowledgedAt.remove(server), sentAt));
        }
        Boolean expectedBefore = expectedDrains.remove(server);
        commands++;
        try {
            DaemonProcess.CommandResult result = router.sendCommand(drain ? "drain" : "undrain",
                    List.of(server));
            long now = System.nanoTime();
            boolean notDrained = result.output().contains("has no mark");
            if (result.exitCode() == 0 || notDrained && !drain && expectedBefore == null) {
                acknowledgementMicros.recordValue((now - sentAt) / 1000);
                expectedDrains.put(server, drain);
                if (drain) {
                    drainAcknowledgedAt.put(server, now);
                }
            } else {
                commandsWithoutAnswer++;
            }
        } catch (IOException e) {
            // the daemon was killed meanwhile: the command may have taken effect or not
            commandsWithoutAnswer++;
        }
    }

    private void checkExpectedDrains(DaemonProcess router, int lifetime, List<String> violations)
            throws IOException {
        String status = router.sendCommand("status", List.of()).output();
        expectedDrains.forEach((server, drain) -> {
            if (status.contains("mark: " + server + " drain") != drain) {
                violations.add("after kill " + lifetime + " the " + (drain ? "drain" : "undrain") + " of "
                        + server + " is lost, though it was acknowledged:\n" + status);
            }
        });
    }

    private static void checkLog(String log, List<String> violations) {
        log.lines().filter(line -> line.contains("fault") || line.contains("store.failed")
                || line.contains("store.damaged") || line.contains("store.unusable"))
                .forEach(line -> violations.add("in the log: " + line));
    }

    /** Discovery drains servers and brings them up again until the run is over. */
    private static void drainByEndpointList(Fleet fleet, AtomicBoolean over, SplittableRandom random) {
        try {
            while (!over.get()) {
                String server = fleet.servers().get(random.nextInt(SERVERS - OPERATOR_SERVERS)).name();
                fleet.discovery().setState(server, "draining");
                Thread.sleep(random.nextLong(1_500, 6_000));
                fleet.discovery().setState(server, "up");
                Thread.sleep(random.nextLong(300));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void report(ObservationLog observations, List<String> violations) {
        output.accept("kills " + kills + ", seed " + seed + "; commands " + commands + ", without answer "
                + commandsWithoutAnswer + "; state changes told by discovery "
                        + observations.endpointUpdates().size());
        output.accept(LoadGenerator.summary(observations.requestResults()));
        output.accept("attempts at servers " + observations.serverAttempts().size());
        output.accept(String.format(Locale.ROOT, "command to acknowledgement ms p50 %.1f p99 %.1f max %.1f",
                acknowledgementMicros.getValueAtPercentile(50) / 1000.0,
                acknowledgementMicros.getValueAtPercentile(99)
                / 1000.0, acknowledgementMicros.getMaxValue() / 1000.0));
        output.accept("restart to serving ms p50 " + restartTimes.getValueAtPercentile(50) + " p99 "
                + restartTimes.getValueAtPercentile(99) + " max " + restartTimes.getMaxValue());
        output.accept("broken rules: " + violations.size());
    }
}
