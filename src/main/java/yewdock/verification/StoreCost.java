package yewdock.verification;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import yewdock.state.RecordKeys;
import yewdock.state.ReplicatedRecords;
import yewdock.store.RecordFile;
import yewdock.store.StoreException;
import yewdock.testbed.Fleet;
import yewdock.testbed.FloodingPeer;
import yewdock.testbed.Ledger;
import yewdock.testbed.Load;
import yewdock.wire.Box;
import yewdock.wire.Kept;

/**
 * What the store costs: the same load on a daemon without one, with one, and with one and a peer that takes a
 * connection and never reads; by turns, so that a noisy machine is noisy for all. And how long a start takes
 * with many records and with none.
 */
public final class StoreCost {
    /** Each setup in turn, by its name. */
    public static final List<String> SETUPS = List.of("off", "on", "on, a peer hangs", "on, a peer floods");
    private static final int STARTS = 5;
    private static final int RECORDS = 10_000;
    private static final int CONNECTIONS = 64;
    private static final double PER_SECOND = 600;
    private static final long WARM_MILLIS = 4_000;
    private static final double NANOS_A_MILLI = 1e6;
    /** Bytes a second that the flooding peer has to give. */
    private static final double FLOOD = 10e6;

    private final String main;
    private final List<String> setups;
    private final int rounds;
    private final int seconds;
    private final long seed;
    private final Consumer<String> out;

    /** The cost of these setups, so many times each, so many seconds at a time. */
    public StoreCost(String main, List<String> setups, int rounds, int seconds, long seed,
            Consumer<String> out) {
        this.main = main;
        this.setups = List.copyOf(setups);
        this.rounds = rounds;
        this.seconds = seconds;
        this.seed = seed;
        this.out = out;
    }

    private record Cost(double perSecond, double cpuMicros, double keeperMicros, double p50, double p99,
            long keeperMegabytes) {
    }

    /** Runs it; returns what was broken. */
    public List<String> run() throws IOException, InterruptedException, StoreException {
        List<String> broken = new ArrayList<>();
        Path folder = Files.createTempDirectory("yewdock-store-cost");
        Map<String, List<Cost>> costs = new TreeMap<>();
        // a listener that never accepts: the system takes the connection, nobody reads it
        try (ServerSocket hangs = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                FloodingPeer floods = new FloodingPeer("b", "a", FLOOD)) {
            for (int round = 0; round < rounds; round++) {
                // by turns in turn: what comes first in a round must not always be the same
                List<String> inTurn = new ArrayList<>(setups);
                Collections.rotate(inTurn, round);
                for (String setup : inTurn) {
                    costs.computeIfAbsent(setup, s -> new ArrayList<>()).add(
                            one(setup, folder.resolve(setup.replaceAll("\\W+", "-") + round),
                                    setup.endsWith("floods") ? floods.port() : hangs.getLocalPort(),
                                    broken));
                }
            }
            out.accept("store | requests/s | CPU us a request, the serving process | the keeper, % of a core"
                    + " | keeper MB resident | first token ms p50 / p99");
            double off = median(costs.get("off").stream().mapToDouble(Cost::cpuMicros));
            costs.forEach((setup, all) -> {
                double cpu = median(all.stream().mapToDouble(Cost::cpuMicros));
                double keeper = median(all.stream().mapToDouble(c -> c.keeperMicros * c.perSecond / 1e4));
                out.accept(String.format(Locale.ROOT,
                        "%s | %.0f | %.0f (%+.1f%%) | %.2f | %.0f | %.2f / %.2f", setup,
                        median(all.stream().mapToDouble(Cost::perSecond)), cpu, (cpu / off - 1) * 100, keeper,
                        median(all.stream().mapToDouble(Cost::keeperMegabytes)),
                        median(all.stream().mapToDouble(Cost::p50)),
                        median(all.stream().mapToDouble(Cost::p99))));
            });
            costs.forEach((setup, all) -> out.accept("CPU us a request by rounds, " + setup + ": "
                    + all.stream().map(c -> Math.round(c.cpuMicros)).toList()));
            out.accept("the flooding peer was read at " + floods.written() / 1_000_000 / (seconds
                    + WARM_MILLIS / 1000) + " MB/s, of " + FLOOD / 1e6);
            starts(folder);
        } finally {
            UpgradeProof.delete(folder);
        }
        return broken;
    }

    private static double median(java.util.stream.DoubleStream all) {
        double[] sorted = all.sorted().toArray();
        return sorted[sorted.length / 2];
    }

    private static String blocks(String setup, Path folder, int peer) {
        return setup.equals("off") ? "" : "store {\n  folder = \"" + folder.resolve("store") + "\"\n}\n"
                + (setup.equals("on") ? "" : "copies {\n  instance = \"a\"\n  listen = \"127.0.0.1:0\"\n"
                + "  peers = [\"b=127.0.0.1:" + peer + "\"]\n}\n");
    }

    private Cost one(String setup, Path folder, int peer, List<String> broken)
            throws IOException, InterruptedException {
        Files.createDirectory(folder);
        try (Fleet fleet = new Fleet(8, 64);
                Router router = Router.start(main, folder, fleet.configuration("127.0.0.1:0"),
                        UpgradeProof.QUICK_STAGES, blocks(setup, folder, peer))) {
            Load load = new Load(new Load.Plan(router.address(), CONNECTIONS, PER_SECOND, 10, 2, seed),
                    fleet.ledger());
            load.start();
            Thread.sleep(WARM_MILLIS);
            List<ProcessHandle> processes = router.generations();
            List<ProcessHandle> keeper = List.of(router.process());
            long cpu = cpu(processes);
            long keeperCpu = cpu(keeper);
            long began = System.nanoTime();
            Thread.sleep(seconds * 1000L);
            long used = cpu(processes) - cpu;
            long keeperUsed = cpu(keeper) - keeperCpu;
            long resident = resident(router.process().pid());
            long ended = System.nanoTime();
            load.stop();
            Histogram first = new Histogram(3);
            for (Ledger.AtClient a : fleet.ledger().atClients()) {
                if (a.ended() >= began && a.ended() < ended && a.end() == Ledger.End.SERVED) {
                    first.recordValue((a.firstToken() - a.began()) / 1000);
                }
            }
            Rules.broken(fleet.ledger()).forEach(b -> broken.add(setup + ": " + b));
            long served = first.getTotalCount();
            return new Cost(served / ((ended - began) / 1e9), used / 1000.0 / served,
                    keeperUsed / 1000.0 / served, first.getValueAtPercentile(50) / 1000.0,
                    first.getValueAtPercentile(99) / 1000.0, resident);
        }
    }

    private static long cpu(List<ProcessHandle> processes) {
        return processes.stream().mapToLong(p -> p.info().totalCpuDuration().orElse(Duration.ZERO).toNanos())
                .sum();
    }

    private static long resident(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmRSS")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
            }
        }
        return 0;
    }

    private void starts(Path folder) throws IOException, StoreException {
        double[][] took = new double[2][STARTS];
        for (int i = 0; i < STARTS; i++) {
            for (int full = 0; full < 2; full++) {
                Path own = Files.createDirectory(folder.resolve("start-" + i + "-" + full));
                if (full == 1) {
                    fill(own.resolve("store"));
                } else {
                    RecordFile.open(own.resolve("store")).close();
                }
                try (Fleet fleet = new Fleet(8, 64)) {
                    long began = System.nanoTime();
                    Router router = Router.start(main, own, fleet.configuration("127.0.0.1:0"),
                            UpgradeProof.QUICK_STAGES, blocks("on", own, 0));
                    took[full][i] = (System.nanoTime() - began) / NANOS_A_MILLI;
                    router.close();
                }
            }
        }
        out.accept(String.format(Locale.ROOT, "from start to serving, ms, median of %d: empty store %.0f, "
                + "%d records %.0f", STARTS, median(Arrays.stream(took[0])), RECORDS,
                median(Arrays.stream(took[1]))));
    }

    /** As an installation of five has it: mostly copies of what the others were told. */
    private static void fill(Path folder) throws StoreException {
        ReplicatedRecords records = new ReplicatedRecords("other", RECORDS);
        Map<String, byte[]> all = new TreeMap<>();
        for (int i = 0; i < RECORDS; i++) {
            Kept kept = records.write(RecordKeys.server("i" + i % 4, i / 4),
                    Kept.newBuilder().setBox(Box.newBuilder()
                    .setName("s-" + i).setAddress("10.0.0.1:8000").setId(i).setWeight(1)), 1);
            all.put(RecordKeys.STORE_PREFIX + kept.getKey(), ReplicatedRecords.bytes(kept));
        }
        try (RecordFile store = RecordFile.open(folder)) {
            store.write(all);
        }
    }
}
