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

/** Five instances, split and joined again and again, in virtual time: until they agree, and what it takes. */
public final class CopiesProof {
    private static final int INSTANCES = 5;
    private static final long SECOND = 1_000_000;
    private static final long MOST = 10 * SECOND;
    private static final int CHANGES = 50;

    private final int splits;
    private final long seed;
    private final Consumer<String> out;

    public CopiesProof(int splits, long seed, Consumer<String> out) {
        this.splits = splits;
        this.seed = seed;
        this.out = out;
    }

    /** Runs it for each number of records; returns what was broken. */
    public List<String> run(int... sizes) {
        List<String> broken = new ArrayList<>();
        out.accept("records | first snapshot s / kB | agreed after a join s p50 / p99 / longest"
                + " | kB a join p50 / longest | kB/s at rest");
        for (int size : sizes) {
            one(size, broken);
        }
        return broken;
    }

    private void one(int size, List<String> broken) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            names.add("i" + i);
        }
        CopiesSim sim = new CopiesSim(names, seed);
        SplittableRandom random = new SplittableRandom(seed);
        sim.split(1);
        for (int i = 0; i < size; i++) {
            sim.node(0).write(RecordKeys.server("i0", i), Kept.newBuilder().setBox(Box.newBuilder()
                    .setName("s-" + i).setAddress("10.0.0." + i % 250 + ":8000").setId(i).setWeight(1)));
        }
        sim.join();
        long before = sim.bytes();
        long first = sim.untilAgreed(60 * SECOND);
        long snapshot = sim.bytes() - before;
        if (first < 0) {
            broken.add(size + " records: no agreement at first\n" + sim.differences());
            return;
        }
        before = sim.bytes();
        sim.run(20 * SECOND);
        double rest = (sim.bytes() - before) / 20.0;
        Histogram took = new Histogram(3);
        Histogram bytes = new Histogram(3);
        for (int split = 0; split < splits; split++) {
            sim.split(random.nextInt(1, (1 << INSTANCES) - 1));
            for (int i = 0; i < CHANGES; i++) {
                change(sim, random, size);
                sim.run(random.nextLong(SECOND / 10));
            }
            sim.run(6 * SECOND);
            before = sim.bytes();
            sim.join();
            long agreed = sim.untilAgreed(MOST);
            if (agreed < 0) {
                broken.add(size + " records, split " + split + ": no agreement within " + MOST / SECOND
                        + " s\n" + sim.differences());
                return;
            }
            took.recordValue(agreed / 1000);
            bytes.recordValue(sim.bytes() - before);
        }
        out.accept(String.format(Locale.ROOT,
                "%d | %.2f / %.0f | %.2f / %.2f / %.2f | %.0f / %.0f | %.1f", size, first / 1e6,
                snapshot / 1e3, took.getValueAtPercentile(50) / 1e3, took.getValueAtPercentile(99) / 1e3,
                took.getMaxValue() / 1e3, bytes.getValueAtPercentile(50) / 1e3, bytes.getMaxValue() / 1e3,
                rest / 1e3));
    }

    private static void change(CopiesSim sim, SplittableRandom random, int size) {
        CopiesSim.Node node = sim.node(random.nextInt(INSTANCES));
        // the same box is marked at several sides of a split, and differently
        String key = RecordKeys.override("s-" + random.nextInt(Math.min(size, 20)));
        if (random.nextInt(3) == 0) {
            node.drop(key);
        } else {
            node.write(key, Kept.newBuilder().setMark(Mark.newBuilder()
                    .setKindValue(1 + random.nextInt(2)).setBy("i" + random.nextInt(INSTANCES))));
        }
    }
}
