import java.io.File;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.env.Cursor;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.StoreConfig;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.rocksdb.BlockBasedTableConfig;
import org.rocksdb.LRUCache;
import org.rocksdb.Options;
import org.rocksdb.ReadOptions;
import org.rocksdb.RocksDB;
import org.rocksdb.RocksIterator;
import org.rocksdb.WriteBatch;
import org.rocksdb.WriteOptions;

/**
 * Compares embedded key-value stores: resident memory, latency of durable commits, recovery after a kill, and
 * how each handles truncated files and flipped bits. Each measurement runs in a separate process.
 */
public final class StoreProbe {
    private static final int RECORDS = 10_000;
    private static final int COMMITS = 500;
    private static final int DAMAGE_CASES = 150;

    /** One store under test; a library's own exceptions pass through. */
    interface Store extends AutoCloseable {
        /** Commits the changes as one transaction and returns once they are synced to disk. */
        void write(Map<String, byte[]> changes) throws Exception;

        /** Reads all records, by key. */
        TreeMap<String, byte[]> readAll() throws Exception;
    }

    /** Opens the store of the named library in the folder. */
    static Store open(String name, Path folder) throws Exception {
        Files.createDirectories(folder);
        return switch (name) {
            case "mvstore" -> mvstore(folder);
            case "rocksdb" -> rocksdb(folder);
            case "xodus" -> xodus(folder);
            default -> throw new IllegalArgumentException(name);
        };
    }

    static Store mvstore(Path folder) {
        MVStore mvStore = new MVStore.Builder().fileName(folder.resolve("data.mv").toString()).cacheSize(16)
                .autoCommitDisabled().open();
        MVMap<String, byte[]> map = mvStore.openMap("r");
        return new Store() {
            @Override
            public void write(Map<String, byte[]> changes) {
                changes.forEach(map::put);
                mvStore.commit();
                mvStore.sync();
            }

            @Override
            public TreeMap<String, byte[]> readAll() {
                TreeMap<String, byte[]> records = new TreeMap<>();
                map.cursor(null).forEachRemaining(k -> records.put(k, map.get(k)));
                return records;
            }

            @Override
            public void close() {
                mvStore.close();
            }
        };
    }

    static Store rocksdb(Path folder) throws Exception {
        RocksDB.loadLibrary();
        Options options = new Options().setCreateIfMissing(true).setWriteBufferSize(4 << 20)
                .setMaxWriteBufferNumber(2).setParanoidChecks(true).setKeepLogFileNum(1)
                .setTableFormatConfig(new BlockBasedTableConfig().setBlockCache(new LRUCache(16 << 20)));
        RocksDB db = RocksDB.open(options, folder.toString());
        return new Store() {
            @Override
            public void write(Map<String, byte[]> changes) throws Exception {
                try (WriteBatch batch = new WriteBatch(); WriteOptions sync = new WriteOptions().setSync(true)) {
                    for (Map.Entry<String, byte[]> e : changes.entrySet()) {
                        batch.put(e.getKey().getBytes(StandardCharsets.UTF_8), e.getValue());
                    }
                    db.write(sync, batch);
                }
            }

            @Override
            public TreeMap<String, byte[]> readAll() throws Exception {
                TreeMap<String, byte[]> records = new TreeMap<>();
                try (ReadOptions read = new ReadOptions().setVerifyChecksums(true);
                        RocksIterator it = db.newIterator(read)) {
                    for (it.seekToFirst(); it.isValid(); it.next()) {
                        records.put(new String(it.key(), StandardCharsets.UTF_8), it.value());
                    }
                    it.status();
                }
                return records;
            }

            @Override
            public void close() {
                db.close();
            }
        };
    }

    static Store xodus(Path folder) {
        Environment env = Environments.newInstance(folder.toFile(), new EnvironmentConfig()
                .setMemoryUsage(16 << 20).setLogDurableWrite(true).setLogFileSize(1024)
                .setGcEnabled(false));
        var table = env.computeInTransaction(t -> env.openStore("r", StoreConfig.WITHOUT_DUPLICATES, t));
        return new Store() {
            @Override
            public void write(Map<String, byte[]> changes) {
                env.executeInTransaction(t -> changes.forEach((k, v) -> table.put(t,
                        new ArrayByteIterable(k.getBytes(StandardCharsets.UTF_8)),
                        new ArrayByteIterable(v))));
            }

            @Override
            public TreeMap<String, byte[]> readAll() {
                TreeMap<String, byte[]> records = new TreeMap<>();
                env.executeInReadonlyTransaction(t -> {
                    try (Cursor c = table.openCursor(t)) {
                        while (c.getNext()) {
                            byte[] k = Arrays.copyOf(c.getKey().getBytesUnsafe(), c.getKey().getLength());
                            records.put(new String(k, StandardCharsets.UTF_8),
                                    Arrays.copyOf(c.getValue().getBytesUnsafe(), c.getValue().getLength()));
                        }
                    }
                });
                return records;
            }

            @Override
            public void close() {
                env.close();
            }
        };
    }

    static byte[] randomValue(SplittableRandom random, int size) {
        byte[] value = new byte[size];
        random.nextBytes(value);
        return value;
    }

    /** A hash of all keys and values, equal for equal contents. */
    static int hash(TreeMap<String, byte[]> records) {
        int hash = 1;
        for (Map.Entry<String, byte[]> e : records.entrySet()) {
            hash = 31 * (31 * hash + e.getKey().hashCode()) + Arrays.hashCode(e.getValue());
        }
        return hash;
    }

    /** The resident memory of this process in kB. */
    static long residentKilobytes() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc/self/status"))) {
            return Long.parseLong(lines.filter(l -> l.startsWith("VmRSS")).findFirst().orElseThrow()
                    .replaceAll("\\D", ""));
        }
    }

    /** Without arguments runs all measurements; with a library, a mode and a folder, that one. */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length == 0) {
            for (String library : List.of("mvstore", "rocksdb", "xodus")) {
                Path folder = Files.createTempDirectory("store-probe");
                runInProcess("none", "base", folder);
                runInProcess(library, "load", folder.resolve("load"));
                runInProcess(library, "recover", folder.resolve("load"));
                runInProcess(library, "history", folder.resolve("history"));
                runInProcess(library, "cut", folder.resolve("history"));
                runInProcess(library, "flip", folder.resolve("history"));
                try (Stream<Path> all = Files.walk(folder)) {
                    all.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
                }
            }
            return;
        }
        Path folder = Path.of(arguments[2]);
        switch (arguments[1]) {
            case "base" -> System.out.println("an empty JVM: rss " + residentKilobytes() / 1024 + " MB");
            case "load" -> load(arguments[0], folder);
            case "recover" -> recover(arguments[0], folder);
            case "history" -> history(arguments[0], folder);
            default -> damage(arguments[0], arguments[1], folder);
        }
        System.out.flush();
        // leaves the files as a kill would: nothing is closed
        Runtime.getRuntime().halt(0);
    }

    /** Runs one measurement in a new process and prints its output. */
    static void runInProcess(String library, String mode, Path folder) throws Exception {
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-Xmx32m", "--add-opens=java.base/java.nio=ALL-UNNAMED",
                "--add-opens=java.base/sun.nio.ch=ALL-UNNAMED", "-cp", System.getProperty("java.class.path"),
                "StoreProbe", library, mode, folder.toString()).redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        String output = new String(process.getInputStream().readAllBytes());
        if (!process.waitFor(5, TimeUnit.MINUTES) || process.exitValue() != 0) {
            output += "  the process ended with " + process.exitValue() + "\n";
        }
        System.out.print(library + " " + mode + ": " + output + (output.endsWith("\n") ? "" : "\n"));
    }

    /** Writes the records, measures commits of five changes, and prints latency, memory and file size. */
    static void load(String name, Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        Store store = open(name, folder);
        Map<String, byte[]> first = new HashMap<>();
        for (int i = 0; i < RECORDS; i++) {
            first.put("box/" + i, randomValue(random, 150));
        }
        store.write(first);
        long[] commitNanos = new long[COMMITS];
        for (int c = 0; c < COMMITS; c++) {
            Map<String, byte[]> changes = new HashMap<>();
            for (int i = 0; i < 5; i++) {
                changes.put("box/" + random.nextInt(RECORDS), randomValue(random, 150));
            }
            long startNanos = System.nanoTime();
            store.write(changes);
            commitNanos[c] = System.nanoTime() - startNanos;
        }
        store.readAll();
        Arrays.sort(commitNanos);
        long bytes;
        try (Stream<Path> all = Files.walk(folder)) {
            bytes = all.mapToLong(p -> p.toFile().length()).sum();
        }
        System.out.printf("commit with sync us p50 %d p99 %d; rss %d MB; %d kB on disk%n",
                commitNanos[COMMITS / 2] / 1000, commitNanos[COMMITS * 99 / 100] / 1000,
                residentKilobytes() / 1024, bytes / 1024);
    }

    /** Opens the store that a killed process left, and prints how long that took. */
    static void recover(String name, Path folder) throws Exception {
        long startNanos = System.nanoTime();
        Store store = open(name, folder);
        int size = store.readAll().size();
        System.out.printf("opened and read after a kill in %d ms, %d records%n",
                (System.nanoTime() - startNanos) / 1_000_000, size);
    }

    /** Commits changes one after another and records the hash of the contents after each. */
    static void history(String name, Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(2);
        Store store = open(name, folder.resolve("data"));
        StringBuilder hashes = new StringBuilder(hash(new TreeMap<>()) + "\n");
        for (int c = 0; c < 60; c++) {
            Map<String, byte[]> changes = new HashMap<>();
            for (int i = 0; i < 10; i++) {
                changes.put("box/" + random.nextInt(60), randomValue(random, 40));
            }
            store.write(changes);
            hashes.append(hash(store.readAll())).append('\n');
        }
        Files.writeString(folder.resolve("hashes"), hashes);
        System.out.println("60 commits");
    }

    /**
     * Damages copies of the store's largest file (mode "cut": truncation, otherwise one flipped bit) and
     * counts how many have contents that were once committed, fail to open, or have other contents.
     */
    static void damage(String name, String mode, Path folder) throws Exception {
        Set<Integer> committed = new HashSet<>();
        Files.readAllLines(folder.resolve("hashes")).forEach(h -> committed.add(Integer.parseInt(h)));
        Path data = folder.resolve("data");
        File largest = Stream.of(data.toFile().listFiles()).filter(f -> !f.getName().startsWith("LOG")
                && !f.getName().endsWith(".lck") && !f.getName().startsWith("OPTIONS"))
                .max(Comparator.comparingLong(File::length)).orElseThrow();
        SplittableRandom random = new SplittableRandom(3);
        int asCommitted = 0;
        int refused = 0;
        int silentlyWrong = 0;
        for (int i = 0; i < DAMAGE_CASES; i++) {
            Path copy = Files.createTempDirectory(folder, "case");
            for (File f : data.toFile().listFiles()) {
                Files.copy(f.toPath(), copy.resolve(f.getName()));
            }
            int offset = random.nextInt((int) largest.length());
            try (RandomAccessFile file = new RandomAccessFile(copy.resolve(largest.getName()).toFile(), "rw")) {
                if (mode.equals("cut")) {
                    file.setLength(offset);
                } else {
                    file.seek(offset);
                    int original = file.read();
                    file.seek(offset);
                    file.write(original ^ 1 << random.nextInt(8));
                }
            }
            try (Store store = open(name, copy)) {
                if (committed.contains(hash(store.readAll()))) {
                    asCommitted++;
                } else {
                    silentlyWrong++;
                }
            } catch (Exception | Error e) {
                refused++;
            }
        }
        System.out.printf("%d cases in %s (%d bytes): as committed %d, refused %d, silently wrong %d%n",
                DAMAGE_CASES, largest.getName().replaceAll("[0-9]{3,}", "N"), largest.length(),
                asCommitted, refused, silentlyWrong);
    }
}
