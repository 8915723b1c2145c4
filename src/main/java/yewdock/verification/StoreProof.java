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
import yewdock.testbed.Ledger;
import yewdock.testbed.ListenPorts;
import yewdock.testbed.Load;

/**
 * A daemon with a store that is killed again and again under load, keeper and generations together, while
 * the list and an operator tell drains all along. Judged by the stand-ins' records and by what was
 * acknowledged.
 */
public final class StoreProof {
    private static final int BOXES = 8;
    private static final int SLOTS = 64;
    /** The last two boxes are the operator's, the others the list's. */
    private static final int MARKED = 2;
    private static final double PER_SECOND = 150;
    private static final int CONNECTIONS = 32;
    private static final long LONGEST_LIFE = 1_200;

    private final String main;
    private final int kills;
    private final long seed;
    private final Consumer<String> out;
    private final List<Rules.Marked> marks = new ArrayList<>();
    private final Map<String, Long> drained = new HashMap<>();
    /** What must be there after a restart: true a drain, false none; absent: asked and not answered. */
    private final Map<String, Boolean> sure = new HashMap<>();
    private final Histogram acknowledged = new Histogram(3);
    private final Histogram back = new Histogram(3);
    private int commands;
    private int lost;

    public StoreProof(String main, int kills, long seed, Consumer<String> out) {
        this.main = main;
        this.kills = kills;
        this.seed = seed;
        this.out = out;
    }

    /** Runs it; returns what was broken, which is nothing if all is well. */
    public List<String> run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("yewdock-store-proof");
        List<String> broken = new ArrayList<>();
        String store = "store {\n  folder = \"" + folder.resolve("store") + "\"\n}\n";
        SplittableRandom random = new SplittableRandom(seed);
        int port = ListenPorts.reserve();
        try (Fleet fleet = new Fleet(BOXES, SLOTS)) {
            String configuration = fleet.configuration("127.0.0.1:" + port);
            AtomicBoolean over = new AtomicBoolean();
            Thread told = new Thread(() -> drains(fleet, over, new SplittableRandom(seed + 1)), "drains");
            Load load = null;
            for (int life = 0; life <= kills; life++) {
                long began = System.nanoTime();
                try (Router router = Router.start(main, folder, configuration, UpgradeProof.QUICK_STAGES,
                        store)) {
                    back.recordValue((System.nanoTime() - began) / 1_000_000);
                    if (load == null) {
                        load = new Load(new Load.Plan(router.address(), CONNECTIONS, PER_SECOND, 30, 10,
                                seed), fleet.ledger());
                        load.start();
                        told.start();
                    }
                    missing(router, life, broken);
                    live(router, fleet, random);
                    faults(router.log(), broken);
                }
                if (life % 10 == 9) {
                    out.accept("kills " + (life + 1) + " of " + kills + ", broken so far " + broken.size());
                }
            }
            over.set(true);
            told.join();
            load.stop();
            drained.forEach((box, at) -> marks.add(new Rules.Marked(box, at, Long.MAX_VALUE)));
            broken.addAll(Rules.brokenOverKills(fleet.ledger(), marks));
            report(fleet.ledger(), broken);
        } finally {
            UpgradeProof.delete(folder);
        }
        return broken;
    }

    /** One life: some commands, of which the last may be cut short by the kill that follows. */
    private void live(Router router, Fleet fleet, SplittableRandom random) throws InterruptedException {
        long end = System.nanoTime() + random.nextLong(100, LONGEST_LIFE) * 1_000_000;
        while (System.nanoTime() < end) {
            command(router, fleet, random);
            Thread.sleep(random.nextLong(200));
        }
        if (random.nextBoolean()) {
            Thread last = new Thread(() -> command(router, fleet, random), "last");
            last.start();
            Thread.sleep(random.nextLong(40));
            router.close();
            last.join();
        }
    }

    private void command(Router router, Fleet fleet, SplittableRandom random) {
        String box = fleet.boxes().get(BOXES - 1 - random.nextInt(MARKED)).name();
        boolean drain = !drained.containsKey(box);
        long asked = System.nanoTime();
        if (!drain) {
            // from the asking on, work may come again
            marks.add(new Rules.Marked(box, drained.remove(box), asked));
        }
        Boolean before = sure.remove(box);
        commands++;
        try {
            Router.Said said = router.ask(drain ? "drain" : "undrain", List.of(box));
            long now = System.nanoTime();
            boolean undone = said.lines().contains("has no mark");
            if (said.exit() == 0 || undone && !drain && before == null) {
                acknowledged.recordValue((now - asked) / 1000);
                sure.put(box, drain);
                if (drain) {
                    drained.put(box, now);
                }
            } else {
                lost++;
            }
        } catch (IOException e) {
            // killed in the middle: it may hold or not
            lost++;
        }
    }

    private void missing(Router router, int life, List<String> broken) throws IOException {
        String status = router.ask("status", List.of()).lines();
        sure.forEach((box, drain) -> {
            if (status.contains("mark: " + box + " drain") != drain) {
                broken.add("after kill " + life + " the " + (drain ? "drain" : "undrain") + " of " + box
                        + " is missing, though it was acknowledged:\n" + status);
            }
        });
    }

    private static void faults(String log, List<String> broken) {
        log.lines().filter(l -> l.contains("fault") || l.contains("store.failed")
                || l.contains("store.damaged") || l.contains("store.unusable"))
                .forEach(l -> broken.add("in the log: " + l));
    }

    /** The list drains a box and takes it back, all along. */
    private static void drains(Fleet fleet, AtomicBoolean over, SplittableRandom random) {
        try {
            while (!over.get()) {
                String box = fleet.boxes().get(random.nextInt(BOXES - MARKED)).name();
                fleet.list().state(box, "draining");
                Thread.sleep(random.nextLong(1_500, 6_000));
                fleet.list().state(box, "up");
                Thread.sleep(random.nextLong(300));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void report(Ledger ledger, List<String> broken) {
        out.accept("kills " + kills + ", seed " + seed + "; commands " + commands + ", cut short " + lost
                + "; drains and returns told by the list " + ledger.told().size());
        out.accept(Load.summary(ledger.atClients()));
        out.accept("at boxes " + ledger.atBoxes().size());
        out.accept(String.format(Locale.ROOT, "acknowledged after ms p50 %.1f p99 %.1f longest %.1f",
                acknowledged.getValueAtPercentile(50) / 1000.0, acknowledged.getValueAtPercentile(99)
                / 1000.0, acknowledged.getMaxValue() / 1000.0));
        out.accept("serving again after ms p50 " + back.getValueAtPercentile(50) + " p99 "
                + back.getValueAtPercentile(99) + " longest " + back.getMaxValue());
        out.accept("broken rules: " + broken.size());
    }
}
