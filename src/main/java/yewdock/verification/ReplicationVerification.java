package yewdock.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import yewdock.state.RecordKeys;
import yewdock.wire.Box;
import yewdock.wire.Kept;
import yewdock.wire.Mark;

/**
 * Measures record replication in virtual time: five instances are partitioned and healed again and again.
 * Reports the time and the bytes that they take to converge; not to converge in time is a violation.
 */
public final class ReplicationVerification {
    private static final int INSTANCES = 5;
    /** One second, in microseconds. */
    private static final long SECOND = 1_000_000;
    private static final long MAX_CONVERGENCE_MICROS = 10 * SECOND;
    private static final int CHANGES_PER_SPLIT = 50;

    private final int splits;
    private final long seed;
    private final Consumer<String> output;

    /**
     * Prepares a run.
     *
     * @param splits number of partitions for each number of records
     * @param seed draws the partitions, the changes and the network delays
     * @param output receives the report lines
     */
    public ReplicationVerification(int splits, long seed, Consumer<String> output) {
        this.splits = splits;
        this.seed = seed;
        this.output = output;
    }

    /** Runs once for each number of records; returns the violations, one text each. */
    public List<String> run(int... sizes) {
        List<String> violations = new ArrayList<>();
        output.accept("records | first snapshot s / kB | converged after healing s p50 / p99 / max"
                + " | kB per healing p50 / max | kB/s when idle");
        for (int size : sizes) {
            measure(size, violations);
        }
        return violations;
    }

    private void measure(int size, List<String> violations) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            names.add("i" + i);
        }
        ReplicationSimulation sim = new ReplicationSimulation(names, seed);
        SplittableRandom random = new SplittableRandom(seed);
        sim.partition(1);
        for (int i = 0; i < size; i++) {
            sim.instance(0).write(RecordKeys.server("i0", i), Kept.newBuilder().setBox(Box.newBuilder()
                    .setName("s-" + i).setAddress("10.0.0." + i % 250 + ":8000").setId(i).setWeight(1)));
        }
        sim.heal();
        long bytesBefore = sim.bytesSent();
        long firstMicros = sim.runUntilConverged(60 * SECOND);
        long snapshotBytes = sim.bytesSent() - bytesBefore;
        if (firstMicros < 0) {
            violations.add(size + " records: no initial convergence\n" + sim.differences());
            return;
        }
        bytesBefore = sim.bytesSent();
        sim.run(20 * SECOND);
        double idleBytesPerSecond = (sim.bytesSent() - bytesBefore) / 20.0;
        Histogram convergenceMillis = new Histogram(3);
        Histogram convergenceBytes = new Histogram(3);
        for (int split = 0; split < splits; split++) {
            sim.partition(random.nextInt(1, (1 << INSTANCES) - 1));
            for (int i = 0; i < CHANGES_PER_SPLIT; i++) {
                change(sim, random, size);
                sim.run(random.nextLong(SECOND / 10));
            }
            sim.run(6 * SECOND);
            bytesBefore = sim.bytesSent();
            sim.heal();
            long converged = sim.runUntilConverged(MAX_CONVERGENCE_MICROS);
            if (converged < 0) {
                violations.add(size + " records, split " + split + ": no convergence within "
                        + MAX_CONVERGENCE_MICROS / SECOND + " s\n" + sim.differences());
                return;
            }
            convergenceMillis.recordValue(converged / 1000);
            convergenceBytes.recordValue(sim.bytesSent() - bytesBefore);
        }
        output.accept(String.format(Locale.ROOT,
                "%d | %.2f / %.0f | %.2f / %.2f / %.2f | %.0f / %.0f | %.1f", size, firstMicros / 1e6,
                snapshotBytes / 1e3, convergenceMillis.getValueAtPercentile(50) / 1e3,
                convergenceMillis.getValueAtPercentile(99) / 1e3,
                convergenceMillis.getMaxValue() / 1e3, convergenceBytes.getValueAtPercentile(50) / 1e3,
                convergenceBytes.getMaxValue() / 1e3, idleBytesPerSecond / 1e3));
    }

    private static void change(ReplicationSimulation sim, SplittableRandom random, int size) {
        ReplicationSimulation.SimulatedInstance instance = sim.instance(random.nextInt(INSTANCES));
        // the same server gets different overrides on several sides of a partition
        String key = RecordKeys.override("s-" + random.nextInt(Math.min(size, 20)));
        if (random.nextInt(3) == 0) {
            instance.delete(key);
        } else {
            instance.write(key, Kept.newBuilder().setMark(Mark.newBuilder()
                    .setKindValue(1 + random.nextInt(2)).setBy("i" + random.nextInt(INSTANCES))));
        }
    }
}
