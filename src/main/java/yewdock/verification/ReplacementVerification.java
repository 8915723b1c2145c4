package yewdock.verification;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import yewdock.testbed.FaultyGeneration.Fault;
import yewdock.testbed.FaultyHandover;
import yewdock.testbed.Fleet;
import yewdock.testbed.LoadGenerator;
import yewdock.testbed.ObservationLog;
import yewdock.upgrade.Stage;

/**
 * Replaces router processes under load, as the platform does it: a newer process is started beside the older
 * one, which is told to terminate when the newer one is ready. Meanwhile an operator cordons and uncordons
 * servers and quiesces and resumes whichever process serves, and some of the newer processes fail on purpose.
 */
public final class ReplacementVerification {
    private static final int SERVERS = 6;
    private static final int SLOTS_PER_SERVER = 64;
    private static final List<Stage> FAILING_STAGES = List.of(Stage.CHECK, Stage.STATE, Stage.READY,
            Stage.SHARE);
    private static final List<Fault> FAULTS = List.of(Fault.EXIT, Fault.KILLED, Fault.HANG, Fault.NONSENSE);
    private static final int FAILURE_INTERVAL = 4;

    private final String mainClass;
    private final int replacements;
    private final double requestsPerSecond;
    private final long seed;
    private final Consumer<String> output;
    private final List<RunChecker.OperatorDrain> operatorDrains = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final List<ServingProcess> started = new ArrayList<>();
    private final Map<String, Integer> faultCounts = new LinkedHashMap<>();
    private final Histogram serveTimes = new Histogram(3);
    private final Histogram readyTimes = new Histogram(3);
    private final Histogram memoryKilobytes = new Histogram(3);
    private String cordonedServer;
    private long cordonedAt;

    /**
     * Prepares a run.
     *
     * @param mainClass the main class of the router
     * @param replacements number of replacements, of which every fourth fails on purpose
     * @param requestsPerSecond request rate of the load
     * @param seed draws the load and the servers to cordon
     * @param output receives the report lines
     */
    public ReplacementVerification(String mainClass, int replacements, double requestsPerSecond, long seed,
            Consumer<String> output) {
        this.mainClass = mainClass;
        this.replacements = replacements;
        this.requestsPerSecond = requestsPerSecond;
        this.seed = seed;
        this.output = output;
    }

    /** Runs all replacements; returns the violations, one text each, empty if there are none. */
    public List<String> run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("yewdock-proof");
        try (Fleet fleet = new Fleet(SERVERS, SLOTS_PER_SERVER)) {
            ServingProcess serving = start(folder, fleet.configurationWithOperator("127.0.0.1:0"));
            InetSocketAddress address = serving.address();
            String config = fleet.configurationWithOperator("127.0.0.1:" + address.getPort());
            serving.awaitReady();
            LoadGenerator load = new LoadGenerator(new LoadGenerator.Profile(address, 48, requestsPerSecond,
                    40, 10, seed), fleet.observations());
            load.start();
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < replacements; i++) {
                cordon(serving, fleet, random);
                if (i % FAILURE_INTERVAL == FAILURE_INTERVAL - 1) {
                    replaceWithFault(serving, folder, config, i / FAILURE_INTERVAL);
                } else {
                    serving = replace(serving, folder, config);
                }
                if (i % 5 == 2) {
                    quiesceAndResume(serving);
                }
            }
            load.stop();
            serving.terminate();
            check(serving.awaitExit(), "the last process did not end");
            violations.addAll(RunChecker.violations(fleet.observations(), operatorDrains));
            report(fleet.observations());
        } finally {
            started.forEach(ServingProcess::close);
            UpgradeVerification.deleteRecursively(folder);
        }
        return violations;
    }

    private ServingProcess start(Path folder, String config) throws IOException {
        ServingProcess instance = ServingProcess.start(List.of(mainClass, "serve"), folder, config);
        started.add(instance);
        return instance;
    }

    private void check(boolean holds, String what) {
        if (!holds) {
            violations.add(what);
        }
    }

    /** Uncordons the server that is cordoned, if any, and cordons a random one. */
    private void cordon(ServingProcess instance, Fleet fleet, SplittableRandom random) throws IOException {
        if (cordonedServer != null) {
            operatorDrains.add(new RunChecker.OperatorDrain(cordonedServer, cordonedAt, System.nanoTime()));
            check(instance.sendCommand("uncordon " + cordonedServer).startsWith("YES "),
                    "the uncordon command failed");
        }
        cordonedServer = fleet.servers().get(random.nextInt(SERVERS)).name();
        check(instance.sendCommand("cordon " + cordonedServer).startsWith("YES "),
                "the cordon command failed");
        cordonedAt = System.nanoTime();
    }

    private ServingProcess replace(ServingProcess older, Path folder, String config) throws IOException {
        ServingProcess newer = start(folder, config);
        check(newer.awaitLogLine(l -> l.contains("succession.took_over")) != null,
                "the newer process did not take over:\n"
                + newer.log() + "\nthe older process:\n" + older.log());
        serveTimes.recordValue((System.nanoTime() - newer.startedAt()) / 1_000);
        memoryKilobytes.recordValue(older.residentKilobytes() + newer.residentKilobytes());
        readyTimes.recordValue(newer.awaitReady() / 1_000);
        older.terminate();
        check(older.awaitExit(), "the older process did not end:\n" + older.log());
        check(!(older.log() + newer.log()).contains("fault"), "a fault in the log");
        return newer;
    }

    private void replaceWithFault(ServingProcess older, Path folder, String config, int index)
            throws IOException {
        Stage stage = FAILING_STAGES.get(index % FAILING_STAGES.size());
        Fault fault = FAULTS.get(index / FAILING_STAGES.size() % FAULTS.size());
        // a process that fails in the check stage is not connected to the older one yet: it can send nothing
        // invalid, and if it hangs the older one does not notice
        Fault injected = stage == Stage.CHECK && (fault == Fault.NONSENSE || fault == Fault.HANG)
                ? Fault.EXIT : fault;
        faultCounts.merge(stage + " " + injected, 1, Integer::sum);
        try (ServingProcess newer = ServingProcess.start(List.of(FaultyHandover.class.getName(), stage.name(),
                injected.name()), folder, config)) {
            if (injected == Fault.EXIT || injected == Fault.KILLED) {
                check(newer.awaitExit(), "a newer process that fails did not end");
            } else {
                check(older.awaitLogLine(l -> l.contains("succession.newer ")) != null,
                        "the newer process did not connect");
                if (stage == Stage.SHARE) {
                    check(older.awaitLogLine(l -> l.contains("succession.newer_gone")) != null,
                            "the older process did not give up a newer one that hangs in the share stage:\n"
                            + older.log());
                }
            }
        }
        check(older.sendCommand("health").startsWith("YES "),
                "the older process does not serve any more after " + stage + ' '
                + injected + ":\n" + older.log());
    }

    /** Quiesces the process and resumes it, and checks the health that it reports. */
    private void quiesceAndResume(ServingProcess instance) throws IOException {
        check(instance.sendCommand("quiesce").startsWith("YES "), "the quiesce command failed");
        check(instance.sendCommand("health").startsWith("NO "), "ready though it is quiesced");
        check(instance.sendCommand("resume").startsWith("YES "), "the resume command failed");
        check(instance.sendCommand("health").startsWith("YES "), "not ready though it is resumed");
    }

    private void report(ObservationLog observations) {
        output.accept("replacements " + replacements + ", of them failing on purpose "
                + faultCounts.values().stream().mapToInt(Integer::intValue).sum() + " " + faultCounts);
        output.accept(LoadGenerator.summary(observations.requestResults()));
        for (ObservationLog.RequestOutcome end : ObservationLog.RequestOutcome.values()) {
            output.accept("ended " + end.name().toLowerCase(Locale.ROOT) + ": "
                    + RunChecker.count(observations, end));
        }
        reportHistogram("start to serving, ms", serveTimes);
        reportHistogram("start to ready, ms", readyTimes);
        reportHistogram("memory of both processes, MB", memoryKilobytes);
        output.accept("broken rules: " + violations.size());
    }

    private void reportHistogram(String what, Histogram histogram) {
        output.accept(String.format(Locale.ROOT, "%s: min %.1f, p50 %.1f, max %.1f", what,
                histogram.getMinValue() / 1e3, histogram.getValueAtPercentile(50) / 1e3,
                histogram.getMaxValue() / 1e3));
    }
}
