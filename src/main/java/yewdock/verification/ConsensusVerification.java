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
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import yewdock.testbed.Fleet;
import yewdock.testbed.LoadGenerator;
import yewdock.testbed.ObservationLog;

/**
 * Checks the consensus among routers under faults: thousands of seeded simulations in virtual time, clusters
 * of up to two hundred followers, and daemons as real processes under load.
 */
public final class ConsensusVerification {
    /** One second, in microseconds. */
    private static final long SECOND = 1_000_000;
    private static final int MEMBERS = 3;
    private static final int FOLLOWERS = 3;
    private static final int SERVERS = 5;
    /** This many servers, the last ones, are drained by operators; the others always serve. */
    private static final int DRAINABLE_SERVERS = 3;
    private static final double MAX_STALENESS_SECONDS = 3;
    private static final int MAX_REPORTED = 10;

    private final String mainClass;
    private final Consumer<String> output;
    private final List<String> violations = new ArrayList<>();

    /** Takes the main class of the daemons and the consumer of the report lines. */
    public ConsensusVerification(String mainClass, Consumer<String> output) {
        this.mainClass = mainClass;
        this.output = output;
    }

    /** The violations found so far, one line each; empty if there are none. */
    public List<String> violations() {
        return violations;
    }

    private static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    // ---- virtual time

    /** The results of one simulation. */
    private record SimulationResult(long seed, List<String> violations, long longestStalenessMicros,
            long longestContradictionMicros, int changesInForce, long decisions, long inDoubt,
            List<Long> activationTimesMicros) {
    }

    private static SimulationResult simulate(long seed) {
        ConsensusSimulation sim = new ConsensusSimulation(seed % 2 == 0 ? 3 : 5, 3, seed,
                ConsensusSimulation.ProtocolDefect.NONE);
        sim.run(5 * SECOND);
        sim.runWithRandomFaults(20 * SECOND);
        sim.run(15 * SECOND);
        ConsensusChecker checker = sim.checker();
        if (sim.leader() == null) {
            checker.violations().add("no leader 15 s after all faults ended");
        } else {
            checker.checkNothingLost(sim.leader().consensusNode().committedRules());
        }
        return new SimulationResult(seed, checker.violations(), checker.longestStaleness(),
                checker.longestContradiction(), checker.changesInForce(), checker.decisions(),
                checker.inDoubt(), checker.activationTimes());
    }

    /**
     * Runs one simulation per seed, on all cores, and reports the sums.
     *
     * @param first the first seed
     * @param count number of consecutive seeds
     */
    public void runSeeds(long first, int count) {
        List<SimulationResult> runs = LongStream.range(first, first + count).parallel()
                .mapToObj(ConsensusVerification::simulate).toList();
        Histogram activationTimes = new Histogram(3);
        runs.forEach(result -> {
            result.activationTimesMicros.forEach(micros -> activationTimes.recordValue(Math.max(0, micros)));
            result.violations.stream().limit(2).forEach(violation ->
                    violations.add("seed " + result.seed + ": " + violation));
        });
        output.accept(format("%d seeds from %d: %d changes in force, longest contradiction %.3f s, "
                + "longest unaware of a prepared change %.3f s of %.0f s, in doubt %.2f%% of %d "
                + "decisions; prepared to in force p50 %.0f ms, p99 %.0f ms", count, first,
                runs.stream().mapToInt(SimulationResult::changesInForce).sum(),
                runs.stream().mapToLong(SimulationResult::longestContradictionMicros).max().orElse(0) / 1e6,
                runs.stream().mapToLong(SimulationResult::longestStalenessMicros).max().orElse(0) / 1e6,
                MAX_STALENESS_SECONDS, 100.0 * runs.stream().mapToLong(SimulationResult::inDoubt).sum()
                        / runs.stream().mapToLong(SimulationResult::decisions).sum(),
                runs.stream().mapToLong(SimulationResult::decisions).sum(),
                activationTimes.getValueAtPercentile(50) / 1e3,
                activationTimes.getValueAtPercentile(99) / 1e3));
    }

    /** Reports message rate and commit latency by number of followers, without faults. */
    public void measureSizes() {
        for (int followers : new int[] {0, 10, 50, 200}) {
            ConsensusSimulation sim = new ConsensusSimulation(5, followers, 1,
                    ConsensusSimulation.ProtocolDefect.NONE);
            sim.run(5 * SECOND);
            long before = sim.messagesSent();
            sim.run(10 * SECOND);
            long idleMessages = sim.messagesSent() - before;
            for (int i = 0; i < 20; i++) {
                sim.propose(sim.router(i % sim.size()));
                sim.run(SECOND);
            }
            Histogram activationTimes = new Histogram(3);
            sim.checker().activationTimes().forEach(activationTimes::recordValue);
            sim.checker().violations().forEach(violation -> violations.add("size " + followers + ": "
                    + violation));
            output.accept(format("5 members and %d followers: %d messages/s when idle, %d changes in "
                    + "force, prepared to in force p50 %.1f ms, max %.1f ms", followers, idleMessages / 10,
                    sim.checker().changesInForce(), activationTimes.getValueAtPercentile(50) / 1e3,
                    activationTimes.getMaxValue() / 1e3));
        }
    }

    // ---- real processes

    /**
     * Runs three members and three followers as processes, under load and random faults, for some seconds.
     */
    public void runProcesses(int seconds, long seed) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("agreement");
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Long> drainAcknowledgedAt = new HashMap<>();
        List<RunChecker.OperatorDrain> operatorDrains = new ArrayList<>();
        Map<String, Integer> faultCounts = new TreeMap<>();
        Histogram commandMillis = new Histogram(3);
        AtomicInteger unknownOutcomes = new AtomicInteger();
        try (Fleet fleet = new Fleet(SERVERS, 32);
                DaemonCluster cluster = new DaemonCluster(mainClass, folder, fleet, MEMBERS, FOLLOWERS, "")) {
            cluster.awaitAllLeases();
            List<LoadGenerator> loads = new ArrayList<>();
            for (int i = 0; i < cluster.size(); i++) {
                loads.add(new LoadGenerator(new LoadGenerator.Profile(cluster.clientAddress(i), 4, 40, 10, 5,
                        seed + i), fleet.observations()));
                loads.get(i).start();
            }
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            Thread operator = new Thread(() -> {
                SplittableRandom operatorRandom = new SplittableRandom(seed + 1);
                while (System.nanoTime() < end) {
                    unknownOutcomes.addAndGet(toggleDrain(cluster, operatorRandom.nextInt(cluster.size()),
                            fleet, operatorRandom, drainAcknowledgedAt, operatorDrains, commandMillis));
                }
            }, "staff");
            operator.start();
            int round = 0;
            while (System.nanoTime() < end) {
                injectFault(cluster, random.nextInt(cluster.size()), random, faultCounts);
                Thread.sleep(random.nextLong(500, 4_000));
                if (random.nextInt(3) > 0) {
                    cluster.healNetwork();
                    Thread.sleep(random.nextLong(500, 4_000));
                }
                if (++round % 20 == 0) {
                    output.accept("rounds " + round + ", faults " + faultCounts);
                }
            }
            cluster.healNetwork();
            operator.join();
            cluster.awaitAllLeases();
            checkSameRules(cluster);
            for (LoadGenerator load : loads) {
                load.stop();
            }
            drainAcknowledgedAt.forEach((server, at) ->
                    operatorDrains.add(new RunChecker.OperatorDrain(server, at, Long.MAX_VALUE)));
            checkAndReport(fleet.observations(), operatorDrains, faultCounts, commandMillis,
                    unknownOutcomes.get());
        } finally {
            UpgradeVerification.deleteRecursively(folder);
        }
    }

    /** Injects a random fault at an instance, in addition to those that still last. */
    private static void injectFault(DaemonCluster cluster, int instance, SplittableRandom random,
            Map<String, Integer> faultCounts) throws IOException, InterruptedException {
        String name;
        switch (random.nextInt(6)) {
            case 0 -> {
                name = "isolated both ways";
                cluster.isolate(instance, true, true);
            }
            case 1 -> {
                name = "isolated one way";
                boolean outgoing = random.nextBoolean();
                cluster.isolate(instance, outgoing, !outgoing);
            }
            case 2 -> {
                name = "one pair cut";
                cluster.relayBetween(instance, (instance + 1) % cluster.size())
                        .block(random.nextBoolean(), true);
            }
            case 3 -> {
                name = "killed";
                cluster.restart(instance);
            }
            case 4 -> {
                name = "paused";
                cluster.sendSignal(instance, "STOP");
                Thread.sleep(random.nextLong(500, 6_000));
                cluster.sendSignal(instance, "CONT");
            }
            default -> {
                name = "connections reset";
                for (int i = 0; i < cluster.size(); i++) {
                    if (i != instance) {
                        cluster.relayBetween(instance, i).resetConnections();
                    }
                }
            }
        }
        faultCounts.merge(name, 1, Integer::sum);
    }

    /**
     * Drains a random drainable server, or undrains it if it is drained.
     *
     * @return 0 if the command succeeded, 1 if its outcome is unknown
     */
    private static int toggleDrain(DaemonCluster cluster, int at, Fleet fleet, SplittableRandom random,
            Map<String, Long> drainAcknowledgedAt, List<RunChecker.OperatorDrain> operatorDrains,
            Histogram commandMillis) {
        String server = fleet.servers().get(SERVERS - 1 - random.nextInt(DRAINABLE_SERVERS)).name();
        Long drainedSince = drainAcknowledgedAt.remove(server);
        long asked = System.nanoTime();
        if (drainedSince != null) {
            operatorDrains.add(new RunChecker.OperatorDrain(server, drainedSince, asked));
        }
        try {
            DaemonProcess.CommandResult result = cluster.daemon(at).sendCommand(drainedSince == null
                    ? "drain" : "undrain", List.of(server));
            if (result.exitCode() == 0 && result.output().contains("by agreement") && drainedSince == null) {
                drainAcknowledgedAt.put(server, System.nanoTime());
            }
            if (result.exitCode() == 0) {
                commandMillis.recordValue((System.nanoTime() - asked) / 1_000_000);
                return 0;
            }
        } catch (IOException e) {
            // the process is down: the command may have been committed or not
        }
        return 1;
    }

    /** Checks that all instances hold the same rules, by the chain hash over all steps. */
    private void checkSameRules(DaemonCluster cluster) throws IOException {
        List<String> lastLines = new ArrayList<>();
        for (int attempt = 0; attempt < 100; attempt++) {
            lastLines.clear();
            for (int i = 0; i < cluster.size(); i++) {
                String[] lines = cluster.daemon(i).sendCommand("rules", List.of()).output().split("\n");
                lastLines.add(lines[lines.length - 1]);
            }
            if (lastLines.stream().distinct().count() == 1) {
                return;
            }
        }
        violations.add("instances hold different rules: " + lastLines);
    }

    private void checkAndReport(ObservationLog observations, List<RunChecker.OperatorDrain> operatorDrains,
            Map<String, Integer> faultCounts, Histogram commandMillis, int unknownOutcomes) {
        long longestNanos = 0;
        long lateRequests = 0;
        for (ObservationLog.ServerAttempt attempt : observations.serverAttempts()) {
            for (RunChecker.OperatorDrain drain : operatorDrains) {
                if (drain.server().equals(attempt.server()) && attempt.startedNanos() > drain.acknowledgedAt()
                        && attempt.startedNanos() < drain.revokedAt()) {
                    lateRequests++;
                    longestNanos = Math.max(longestNanos, attempt.startedNanos() - drain.acknowledgedAt());
                }
            }
        }
        if (longestNanos > MAX_STALENESS_SECONDS * 1e9) {
            violations.add("request at a drained server " + longestNanos / 1_000_000
                    + " ms after the drain came into force");
        }
        observations.requestResults().stream().filter(answer ->
                answer.outcome() == ObservationLog.RequestOutcome.SERVED
                && !answer.matchesReference()).limit(MAX_REPORTED)
                .forEach(answer -> violations.add("request " + answer.id()
                + ": its stream differs from the reference"));
        output.accept(format("processes: %d drains in force, %d of %d requests at a drained server, latest "
                + "%.3f s after the drain; %d commands answered, p50 %d ms, p99 %d ms, max %d ms, %d with "
                + "unknown outcome; refused %d; faults %s", operatorDrains.size(), lateRequests,
                observations.requestResults().size(), longestNanos / 1e9, commandMillis.getTotalCount(),
                commandMillis.getValueAtPercentile(50),
                commandMillis.getValueAtPercentile(99), commandMillis.getMaxValue(), unknownOutcomes,
                RunChecker.count(observations, ObservationLog.RequestOutcome.REFUSED), faultCounts));
    }
}
