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
import yewdock.testbed.FaultySuccession;
import yewdock.testbed.Fleet;
import yewdock.testbed.Ledger;
import yewdock.testbed.Load;
import yewdock.upgrade.Stage;

/**
 * Processes that replace one another under load, as the platform does it: a second one beside the first,
 * which is told to leave when the second is ready. Boxes are taken out of use and put back meanwhile, at
 * the door of whichever process serves; clients are sent away and taken back; and a part of the second
 * processes is made to fail.
 */
public final class ReplacementProof {
    private static final int BOXES = 6;
    private static final int SLOTS = 64;
    private static final List<Stage> FAILING = List.of(Stage.CHECK, Stage.STATE, Stage.READY, Stage.SHARE);
    private static final List<Fault> FAULTS = List.of(Fault.EXIT, Fault.KILLED, Fault.HANG, Fault.NONSENSE);
    private static final int FAIL_EVERY = 4;

    private final String main;
    private final int replacements;
    private final double perSecond;
    private final long seed;
    private final Consumer<String> out;
    private final List<Rules.Marked> marks = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final List<Instance> started = new ArrayList<>();
    private final Map<String, Integer> faults = new LinkedHashMap<>();
    private final Histogram serves = new Histogram(3);
    private final Histogram ready = new Histogram(3);
    private final Histogram memory = new Histogram(3);
    private String cordoned;
    private long cordonedAt;

    /** A proof of so many replacements, a quarter of them failing, under so many requests a second. */
    public ReplacementProof(String main, int replacements, double perSecond, long seed,
            Consumer<String> out) {
        this.main = main;
        this.replacements = replacements;
        this.perSecond = perSecond;
        this.seed = seed;
        this.out = out;
    }

    /** Runs it; returns what was broken, which is nothing if all is well. */
    public List<String> run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("yewdock-proof");
        try (Fleet fleet = new Fleet(BOXES, SLOTS)) {
            Instance serving = start(folder, fleet.withDoor("127.0.0.1:0"));
            InetSocketAddress address = serving.address();
            String config = fleet.withDoor("127.0.0.1:" + address.getPort());
            serving.ready();
            Load load = new Load(new Load.Plan(address, 48, perSecond, 40, 10, seed), fleet.ledger());
            load.start();
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < replacements; i++) {
                cordon(serving, fleet, random);
                if (i % FAIL_EVERY == FAIL_EVERY - 1) {
                    fail(serving, folder, config, i / FAIL_EVERY);
                } else {
                    serving = replace(serving, folder, config);
                }
                if (i % 5 == 2) {
                    sendAway(serving);
                }
            }
            load.stop();
            serving.leave();
            check(serving.ended(), "the last process did not end");
            broken.addAll(Rules.broken(fleet.ledger(), marks));
            report(fleet.ledger());
        } finally {
            started.forEach(Instance::close);
            UpgradeProof.delete(folder);
        }
        return broken;
    }

    private Instance start(Path folder, String config) throws IOException {
        Instance instance = Instance.start(List.of(main, "serve"), folder, config);
        started.add(instance);
        return instance;
    }

    private void check(boolean holds, String what) {
        if (!holds) {
            broken.add(what);
        }
    }

    /** Puts the box that is out of use back, and takes the next one out. */
    private void cordon(Instance at, Fleet fleet, SplittableRandom random) throws IOException {
        if (cordoned != null) {
            marks.add(new Rules.Marked(cordoned, cordonedAt, System.nanoTime()));
            check(at.call("uncordon " + cordoned).startsWith("YES "), "no yes to an uncordon");
        }
        cordoned = fleet.boxes().get(random.nextInt(BOXES)).name();
        check(at.call("cordon " + cordoned).startsWith("YES "), "no yes to a cordon");
        cordonedAt = System.nanoTime();
    }

    private Instance replace(Instance older, Path folder, String config) throws IOException {
        Instance newer = start(folder, config);
        check(newer.await(l -> l.contains("succession.took_over")) != null, "did not take over:\n"
                + newer.log() + "\nthe older one:\n" + older.log());
        serves.recordValue((System.nanoTime() - newer.startedAt()) / 1_000);
        memory.recordValue(older.resident() + newer.resident());
        ready.recordValue(newer.ready() / 1_000);
        older.leave();
        check(older.ended(), "the older process did not end:\n" + older.log());
        check(!(older.log() + newer.log()).contains("fault"), "a fault in the log");
        return newer;
    }

    private void fail(Instance older, Path folder, String config, int number) throws IOException {
        Stage stage = FAILING.get(number % FAILING.size());
        Fault fault = FAULTS.get(number / FAILING.size() % FAULTS.size());
        // nonsense needs a link that is up, and one that hangs before it has one asks nothing of the older
        Fault made = stage == Stage.CHECK && (fault == Fault.NONSENSE || fault == Fault.HANG)
                ? Fault.EXIT : fault;
        faults.merge(stage + " " + made, 1, Integer::sum);
        try (Instance newer = Instance.start(List.of(FaultySuccession.class.getName(), stage.name(),
                made.name()), folder, config)) {
            if (made == Fault.EXIT || made == Fault.KILLED) {
                check(newer.ended(), "one that fails has not ended");
            } else {
                check(older.await(l -> l.contains("succession.newer ")) != null, "nobody came");
                if (stage == Stage.SHARE) {
                    check(older.await(l -> l.contains("succession.newer_gone")) != null,
                            "one that hangs with the ids was not given up:\n" + older.log());
                }
            }
        }
        check(older.call("health").startsWith("YES "), "the older one does not serve on after " + stage + ' '
                + made + ":\n" + older.log());
    }

    /** Clients are sent away, and come back. */
    private void sendAway(Instance at) throws IOException {
        check(at.call("quiesce").startsWith("YES "), "no yes to a quiesce");
        check(at.call("health").startsWith("NO "), "ready though it sends clients away");
        check(at.call("resume").startsWith("YES "), "no yes to a resume");
        check(at.call("health").startsWith("YES "), "not ready though it takes clients");
    }

    private void report(Ledger ledger) {
        out.accept("replacements " + replacements + ", of them made to fail "
                + faults.values().stream().mapToInt(Integer::intValue).sum() + " " + faults);
        out.accept(Load.summary(ledger.atClients()));
        for (Ledger.End end : Ledger.End.values()) {
            out.accept("ended " + end.name().toLowerCase(Locale.ROOT) + ": " + Rules.count(ledger, end));
        }
        line("serves after, ms", serves);
        line("says that it is ready after, ms", ready);
        line("memory of both, MB", memory);
        out.accept("broken rules: " + broken.size());
    }

    private void line(String what, Histogram h) {
        out.accept(String.format(Locale.ROOT, "%s: least %.1f, p50 %.1f, most %.1f", what,
                h.getMinValue() / 1e3, h.getValueAtPercentile(50) / 1e3, h.getMaxValue() / 1e3));
    }
}
