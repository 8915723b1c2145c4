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
import yewdock.testbed.BoxStandin;
import yewdock.testbed.FaultyGeneration;
import yewdock.testbed.FaultyGeneration.Fault;
import yewdock.testbed.Fleet;
import yewdock.testbed.Ledger;
import yewdock.testbed.Load;
import yewdock.upgrade.Stage;

/**
 * Upgrades under load: real processes, real sockets, streams open all the time, boxes that drain and come
 * back, and a part of the upgrades made to fail. What came of it is judged by {@link Rules}.
 */
public final class UpgradeProof {
    /** Deadlines short enough that a hung process doesn't stretch the run. */
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
    private static final int BOXES = 8;
    private static final int SLOTS = 64;
    private static final int LONG_STREAMS = 8;
    private static final int LONG_TOKENS = 300;
    private static final int LONG_PACE = 20;
    private static final long DRAIN_MILLIS = 2_500;
    private static final long PAUSE_MILLIS = 150;
    /** What the first, cold process does with its first requests is no figure of upgrades. */
    private static final long WARM_MILLIS = 4_000;
    private static final List<Fault> FAULTS = List.of(Fault.EXIT, Fault.HANG, Fault.KILLED, Fault.NONSENSE);
    private static final List<Stage> FAILING = List.of(Stage.START, Stage.CHECK, Stage.STATE, Stage.READY,
            Stage.TAKE, Stage.SHARE, Stage.GO);

    private final String main;
    private final int upgrades;
    private final int connections;
    private final double perSecond;
    private final long seed;
    private final Consumer<String> out;
    private final Map<String, Histogram> stages = new LinkedHashMap<>();
    private final List<long[]> spans = new ArrayList<>();
    private int failures;
    private long measuredFrom;
    private final Map<String, Integer> faults = new LinkedHashMap<>();

    /** A proof of so many upgrades, a fifth of them failing, under a load of so many requests a second. */
    public UpgradeProof(String main, int upgrades, int connections, double perSecond, long seed,
            Consumer<String> out) {
        this.main = main;
        this.upgrades = upgrades;
        this.connections = connections;
        this.perSecond = perSecond;
        this.seed = seed;
        this.out = out;
    }

    /** Runs it; returns what was broken, which is nothing if all is well. */
    public List<String> run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("yewdock-proof");
        List<String> broken = new ArrayList<>();
        try (Fleet fleet = new Fleet(BOXES, SLOTS);
                Router router = Router.start(main, folder, fleet.configuration("127.0.0.1:0"),
                        QUICK_STAGES)) {
            Load load = new Load(new Load.Plan(router.address(), connections, perSecond, 40, 10, seed),
                    fleet.ledger());
            Load streams = new Load(new Load.Plan(router.address(), LONG_STREAMS, 2, LONG_TOKENS, LONG_PACE,
                    seed + 1), fleet.ledger());
            AtomicBoolean over = new AtomicBoolean();
            Thread drains = new Thread(() -> drains(fleet, over), "drains");
            load.start();
            streams.start();
            drains.start();
            Thread.sleep(WARM_MILLIS);
            measuredFrom = System.nanoTime();
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < upgrades; i++) {
                upgrade(router, i % 5 == 4, random, broken);
                Thread.sleep(random.nextLong(PAUSE_MILLIS));
            }
            over.set(true);
            drains.join();
            load.stop();
            streams.stop();
            if (!router.leave()) {
                broken.add("the daemon did not end well:\n" + router.log());
            }
            faultsLogged(router.log(), broken);
            broken.addAll(Rules.broken(fleet.ledger()));
            report(fleet.ledger(), broken);
            if (!broken.isEmpty()) {
                out.accept("the daemon's log: " + Files.writeString(
                        Files.createTempFile("yewdock-proof", ".log"), router.log()));
            }
        } finally {
            delete(folder);
        }
        return broken;
    }

    private static void faultsLogged(String log, List<String> broken) {
        log.lines().filter(l -> l.contains("fault")).forEach(l -> broken.add("a fault in the log: " + l));
    }

    private void upgrade(Router router, boolean fails, SplittableRandom random, List<String> broken)
            throws IOException {
        List<String> words = new ArrayList<>();
        String name = "none";
        Path config = router.folder().resolve("config.json");
        String good = Files.readString(config);
        if (fails) {
            Stage stage = FAILING.get(failures % FAILING.size());
            Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
            failures++;
            if (stage == Stage.CHECK && fault == Fault.EXIT) {
                name = "check CONFIGURATION";
                Files.writeString(config, "{\"name\":");
            } else {
                name = stage + " " + fault;
                words.addAll(List.of(System.getProperty("java.class.path"), FaultyGeneration.class.getName(),
                        stage.name(), fault.name()));
            }
        }
        long began = System.nanoTime();
        Router.Said said = router.ask("upgrade", words);
        spans.add(new long[] {began, System.nanoTime()});
        Files.writeString(config, good);
        if (fails) {
            faults.merge(name, 1, Integer::sum);
        } else {
            stages(said.lines());
        }
        if (fails ? said.exit() != 1 || !said.lines().contains("serves as before") : said.exit() != 0) {
            broken.add("an upgrade with fault " + name + " ended with " + said.exit() + ": " + said.lines());
        }
    }

    private void stages(String line) {
        int at = line.indexOf("ms: ");
        if (at < 0) {
            return;
        }
        for (String part : line.substring(at + 4).split(", ")) {
            String[] words = part.split(" ");
            stages.computeIfAbsent(words[0], s -> new Histogram(3))
                    .recordValue(Math.round(Double.parseDouble(words[1]) * 1000));
        }
    }

    /** One box after the other drains for a while; it would take what it is sent, so that it shows. */
    private void drains(Fleet fleet, AtomicBoolean over) {
        SplittableRandom random = new SplittableRandom(seed + 2);
        while (!over.get()) {
            BoxStandin box = fleet.boxes().get(random.nextInt(BOXES));
            fleet.list().state(box.name(), "draining");
            try {
                Thread.sleep(DRAIN_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            fleet.list().state(box.name(), "up");
        }
    }

    private void report(Ledger ledger, List<String> broken) {
        List<Ledger.AtClient> in = new ArrayList<>();
        List<Ledger.AtClient> outside = new ArrayList<>();
        for (Ledger.AtClient a : ledger.atClients()) {
            long until = a.firstToken() == 0 ? a.ended() : a.firstToken();
            boolean during = spans.stream().anyMatch(s -> a.began() < s[1] && until > s[0]);
            if (a.began() >= measuredFrom) {
                (during ? in : outside).add(a);
            }
        }
        int failed = faults.values().stream().mapToInt(Integer::intValue).sum();
        out.accept("upgrades " + upgrades + ", of them made to fail " + failed + " " + faults);
        out.accept("during upgrades: " + Load.summary(in));
        out.accept("outside them:    " + Load.summary(outside));
        for (Ledger.End end : Ledger.End.values()) {
            out.accept("ended " + end.name().toLowerCase(Locale.ROOT) + ": " + Rules.count(ledger, end));
        }
        stages.forEach((stage, h) -> out.accept(String.format(Locale.ROOT,
                "stage %-7s ms p50 %7.1f p99 %7.1f longest %7.1f", stage, h.getValueAtPercentile(50) / 1e3,
                h.getValueAtPercentile(99) / 1e3, h.getMaxValue() / 1e3)));
        out.accept("broken rules: " + broken.size());
    }

    static void delete(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
