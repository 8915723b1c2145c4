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
import yewdock.testbed.Ledger;
import yewdock.testbed.Load;

/**
 * Routers that agree, with faults all along: thousands of seeds in virtual time, sizes up to two hundred
 * followers, and daemons in processes of their own, under load.
 */
public final class AgreementProof {
    private static final long SECOND = 1_000_000;
    private static final int MEMBERS = 3;
    private static final int FOLLOWERS = 3;
    private static final int BOXES = 5;
    /** The last boxes are drained by operators; the others always serve. */
    private static final int DRAINED = 3;
    private static final double AGREED_WITHIN_SECONDS = 3;
    private static final int MOST_SHOWN = 10;

    private final String main;
    private final Consumer<String> out;
    private final List<String> broken = new ArrayList<>();

    /** A proof whose daemons have this main class, and that tells how far it is. */
    public AgreementProof(String main, Consumer<String> out) {
        this.main = main;
        this.out = out;
    }

    /** What was broken so far. */
    public List<String> broken() {
        return broken;
    }

    private static String text(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    // ---- virtual time

    private record Run(long seed, List<String> broken, long behind, long contradiction, int forced,
            long decisions, long inDoubt, List<Long> times) {
    }

    private static Run run(long seed) {
        CouncilSim sim = new CouncilSim(seed % 2 == 0 ? 3 : 5, 3, seed, CouncilSim.Plant.NONE);
        sim.run(5 * SECOND);
        sim.trouble(20 * SECOND);
        sim.run(15 * SECOND);
        CouncilJudge judge = sim.judge();
        if (sim.leader() == null) {
            judge.broken().add("nobody leads 15 s after all was whole");
        } else {
            judge.nothingLost(sim.leader().council().committedRules());
        }
        return new Run(seed, judge.broken(), judge.longestBehind(), judge.longestContradiction(),
                judge.forced(), judge.decisions(), judge.inDoubt(), judge.timesToForce());
    }

    /** So many seeds, on all cores. */
    public void seeds(long first, int count) {
        List<Run> runs = LongStream.range(first, first + count).parallel().mapToObj(AgreementProof::run)
                .toList();
        Histogram times = new Histogram(3);
        runs.forEach(r -> {
            r.times.forEach(t -> times.recordValue(Math.max(0, t)));
            r.broken.stream().limit(2).forEach(b -> broken.add("seed " + r.seed + ": " + b));
        });
        out.accept(text("%d seeds from %d: %d changes in force, greatest contradiction %.3f s, "
                + "longest without knowing of a prepared change %.3f s of %.0f s, in doubt %.2f%% of %d "
                + "decisions; to force p50 %.0f ms, p99 %.0f ms", count, first,
                runs.stream().mapToInt(Run::forced).sum(),
                runs.stream().mapToLong(Run::contradiction).max().orElse(0) / 1e6,
                runs.stream().mapToLong(Run::behind).max().orElse(0) / 1e6, AGREED_WITHIN_SECONDS,
                100.0 * runs.stream().mapToLong(Run::inDoubt).sum()
                        / runs.stream().mapToLong(Run::decisions).sum(),
                runs.stream().mapToLong(Run::decisions).sum(), times.getValueAtPercentile(50) / 1e3,
                times.getValueAtPercentile(99) / 1e3));
    }

    /** What an agreement costs by its size, with nothing wrong. */
    public void sizes() {
        for (int followers : new int[] {0, 10, 50, 200}) {
            CouncilSim sim = new CouncilSim(5, followers, 1, CouncilSim.Plant.NONE);
            sim.run(5 * SECOND);
            long before = sim.sent();
            sim.run(10 * SECOND);
            long quiet = sim.sent() - before;
            for (int i = 0; i < 20; i++) {
                sim.propose(sim.host(i % sim.size()));
                sim.run(SECOND);
            }
            Histogram times = new Histogram(3);
            sim.judge().timesToForce().forEach(times::recordValue);
            sim.judge().broken().forEach(b -> broken.add("size " + followers + ": " + b));
            out.accept(text("5 members and %d followers: %d messages a second in quiet, %d changes in "
                    + "force, to force p50 %.1f ms, most %.1f ms", followers, quiet / 10,
                    sim.judge().forced(), times.getValueAtPercentile(50) / 1e3, times.getMaxValue() / 1e3));
        }
    }

    // ---- processes

    /** So many seconds with three members and three that follow, under load. */
    public void processes(int seconds, long seed) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("agreement");
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Long> drained = new HashMap<>();
        List<Rules.Marked> marks = new ArrayList<>();
        Map<String, Integer> faults = new TreeMap<>();
        Histogram acknowledged = new Histogram(3);
        AtomicInteger unknown = new AtomicInteger();
        try (Fleet fleet = new Fleet(BOXES, 32);
                AgreedInstallation all = new AgreedInstallation(main, folder, fleet, MEMBERS, FOLLOWERS,
                        "")) {
            all.whole();
            List<Load> loads = new ArrayList<>();
            for (int i = 0; i < all.size(); i++) {
                loads.add(new Load(new Load.Plan(all.address(i), 4, 40, 10, 5, seed + i), fleet.ledger()));
                loads.get(i).start();
            }
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            Thread staff = new Thread(() -> {
                SplittableRandom draws = new SplittableRandom(seed + 1);
                while (System.nanoTime() < end) {
                    unknown.addAndGet(command(all, draws.nextInt(all.size()), fleet, draws, drained, marks,
                            acknowledged));
                }
            }, "staff");
            staff.start();
            int round = 0;
            while (System.nanoTime() < end) {
                fault(all, random.nextInt(all.size()), random, faults);
                Thread.sleep(random.nextLong(500, 4_000));
                if (random.nextInt(3) > 0) {
                    all.heal();
                    Thread.sleep(random.nextLong(500, 4_000));
                }
                if (++round % 20 == 0) {
                    out.accept("rounds " + round + ", faults " + faults);
                }
            }
            all.heal();
            staff.join();
            all.whole();
            same(all);
            for (Load load : loads) {
                load.stop();
            }
            drained.forEach((box, at) -> marks.add(new Rules.Marked(box, at, Long.MAX_VALUE)));
            judge(fleet.ledger(), marks, faults, acknowledged, unknown.get());
        } finally {
            UpgradeProof.delete(folder);
        }
    }

    /** One more fault, beside those that still are. */
    private static void fault(AgreedInstallation all, int one, SplittableRandom random,
            Map<String, Integer> faults) throws IOException, InterruptedException {
        String name;
        switch (random.nextInt(6)) {
            case 0 -> {
                name = "cut off both ways";
                all.cutOff(one, true, true);
            }
            case 1 -> {
                name = "cut off one way";
                boolean there = random.nextBoolean();
                all.cutOff(one, there, !there);
            }
            case 2 -> {
                name = "one pair cut";
                all.between(one, (one + 1) % all.size()).hold(random.nextBoolean(), true);
            }
            case 3 -> {
                name = "killed";
                all.restart(one);
            }
            case 4 -> {
                name = "stopped for a while";
                all.signal(one, "STOP");
                Thread.sleep(random.nextLong(500, 6_000));
                all.signal(one, "CONT");
            }
            default -> {
                name = "connections reset";
                for (int i = 0; i < all.size(); i++) {
                    if (i != one) {
                        all.between(one, i).reset();
                    }
                }
            }
        }
        faults.merge(name, 1, Integer::sum);
    }

    /** An operator drains a box or takes that back; returns 1 if what came of it is not known. */
    private static int command(AgreedInstallation all, int at, Fleet fleet, SplittableRandom random,
            Map<String, Long> drained, List<Rules.Marked> marks, Histogram acknowledged) {
        String box = fleet.boxes().get(BOXES - 1 - random.nextInt(DRAINED)).name();
        Long since = drained.remove(box);
        long asked = System.nanoTime();
        if (since != null) {
            marks.add(new Rules.Marked(box, since, asked));
        }
        try {
            Router.Said said = all.router(at).ask(since == null ? "drain" : "undrain", List.of(box));
            if (said.exit() == 0 && said.lines().contains("by agreement") && since == null) {
                drained.put(box, System.nanoTime());
            }
            if (said.exit() == 0) {
                acknowledged.recordValue((System.nanoTime() - asked) / 1_000_000);
                return 0;
            }
        } catch (IOException e) {
            // its process is away: it may have been agreed or not
        }
        return 1;
    }

    /** Every instance holds the same rules, by the hash of all steps. */
    private void same(AgreedInstallation all) throws IOException {
        List<String> last = new ArrayList<>();
        for (int tries = 0; tries < 100; tries++) {
            last.clear();
            for (int i = 0; i < all.size(); i++) {
                String[] lines = all.router(i).ask("rules", List.of()).lines().split("\n");
                last.add(lines[lines.length - 1]);
            }
            if (last.stream().distinct().count() == 1) {
                return;
            }
        }
        broken.add("instances hold different rules: " + last);
    }

    private void judge(Ledger ledger, List<Rules.Marked> marks, Map<String, Integer> faults,
            Histogram acknowledged, int unknown) {
        long longest = 0;
        long late = 0;
        for (Ledger.AtBox a : ledger.atBoxes()) {
            for (Rules.Marked m : marks) {
                if (m.box().equals(a.box()) && a.began() > m.acknowledged() && a.began() < m.takenBack()) {
                    late++;
                    longest = Math.max(longest, a.began() - m.acknowledged());
                }
            }
        }
        if (longest > AGREED_WITHIN_SECONDS * 1e9) {
            broken.add("work at a drained box " + longest / 1_000_000 + " ms after the drain was in force");
        }
        ledger.atClients().stream().filter(a -> a.end() == Ledger.End.SERVED && !a.exact()).limit(MOST_SHOWN)
                .forEach(a -> broken.add("request " + a.id() + ": its stream is not the reference"));
        out.accept(text("processes: %d drains in force, %d requests of %d at a box that was out, the latest "
                + "%.3f s after the force; %d commands answered, p50 %d ms, p99 %d ms, most %d ms, %d with "
                + "no sure answer; refused %d; faults %s", marks.size(), late, ledger.atClients().size(),
                longest / 1e9, acknowledged.getTotalCount(),
                acknowledged.getValueAtPercentile(50),
                acknowledged.getValueAtPercentile(99), acknowledged.getMaxValue(), unknown,
                Rules.count(ledger, Ledger.End.REFUSED), faults));
    }
}
