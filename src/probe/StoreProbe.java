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
 * Embedded stores side by side: resident memory, commits with sync, recovery after a kill, and what each makes
 * of files that were cut or flipped. Each measurement has a process of its own.
 */
public final class StoreProbe {
    private static final int RECORDS = 10_000;
    private static final int COMMITS = 500;
    private static final int CASES = 150;

    interface Lib extends AutoCloseable {
        void write(Map<String, byte[]> changes) throws Exception;

        TreeMap<String, byte[]> all() throws Exception;
    }

    static Lib open(String name, Path folder) throws Exception {
        Files.createDirectories(folder);
        return switch (name) {
            case "mvstore" -> mvstore(folder);
            case "rocksdb" -> rocksdb(folder);
            case "xodus" -> xodus(folder);
            default -> throw new IllegalArgumentException(name);
        };
    }

    static Lib mvstore(Path folder) {
        MVStore store = new MVStore.Builder().fileName(folder.resolve("data.mv").toString()).cacheSize(16)
                .autoCommitDisabled().open();
        MVMap<String, byte[]> map = store.openMap("r");
        return new Lib() {
            @Override
            public void write(Map<String, byte[]> changes) {
                changes.forEach(map::put);
                store.commit();
                store.sync();
            }

            @Override
            public TreeMap<String, byte[]> all() {
                TreeMap<String, byte[]> all = new TreeMap<>();
                map.cursor(null).forEachRemaining(k -> all.put(k, map.get(k)));
                return all;
            }

            @Override
            public void close() {
                store.close();
            }
        };
    }

    static Lib rocksdb(Path folder) throws Exception {
        RocksDB.loadLibrary();
        Options options = new Options().setCreateIfMissing(true).setWriteBufferSize(4 << 20)
                .setMaxWriteBufferNumber(2).setParanoidChecks(true).setKeepLogFileNum(1)
                .setTableFormatConfig(new BlockBasedTableConfig().setBlockCache(new LRUCache(16 << 20)));
        RocksDB db = RocksDB.open(options, folder.toString());
        return new Lib() {
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
            public TreeMap<String, byte[]> all() throws Exception {
                TreeMap<String, byte[]> all = new TreeMap<>();
                try (ReadOptions read = new ReadOptions().setVerifyChecksums(true);
                        RocksIterator it = db.newIterator(read)) {
                    for (it.seekToFirst(); it.isValid(); it.next()) {
                        all.put(new String(it.key(), StandardCharsets.UTF_8), it.value());
                    }
                    it.status();
                }
                return all;
            }

            @Override
            public void close() {
                db.close();
            }
        };
    }

    static Lib xodus(Path folder) {
        Environment env = Environments.newInstance(folder.toFile(), new EnvironmentConfig()
                .setMemoryUsage(16 << 20).setLogDurableWrite(true).setLogFileSize(1024)
                .setGcEnabled(false));
        var store = env.computeInTransaction(t -> env.openStore("r", StoreConfig.WITHOUT_DUPLICATES, t));
        return new Lib() {
            @Override
            public void write(Map<String, byte[]> changes) {
                env.executeInTransaction(t -> changes.forEach((k, v) -> store.put(t,
                        new ArrayByteIterable(k.getBytes(StandardCharsets.UTF_8)), new ArrayByteIterable(v))));
            }

            @Override
            public TreeMap<String, byte[]> all() {
                TreeMap<String, byte[]> all = new TreeMap<>();
                env.executeInReadonlyTransaction(t -> {
                    try (Cursor c = store.openCursor(t)) {
                        while (c.getNext()) {
                            byte[] k = Arrays.copyOf(c.getKey().getBytesUnsafe(), c.getKey().getLength());
                            all.put(new String(k, StandardCharsets.UTF_8),
                                    Arrays.copyOf(c.getValue().getBytesUnsafe(), c.getValue().getLength()));
                        }
                    }
                });
                return all;
            }

            @Override
            public void close() {
                env.close();
            }
        };
    }

    static byte[] value(SplittableRandom random, int size) {
        byte[] value = new byte[size];
        random.nextBytes(value);
        return value;
    }

    static int hash(TreeMap<String, byte[]> all) {
        int hash = 1;
        for (Map.Entry<String, byte[]> e : all.entrySet()) {
            hash = 31 * (31 * hash + e.getKey().hashCode()) + Arrays.hashCode(e.getValue());
        }
        return hash;
    }

    static long rss() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc/self/status"))) {
            return Long.parseLong(lines.filter(l -> l.startsWith("VmRSS")).findFirst().orElseThrow()
                    .replaceAll("\\D", ""));
        }
    }

    public static void main(String[] words) throws Exception {
        if (words.length == 0) {
            for (String lib : List.of("mvstore", "rocksdb", "xodus")) {
                Path folder = Files.createTempDirectory("store-probe");
                child("none", "base", folder);
                child(lib, "load", folder.resolve("load"));
                child(lib, "recover", folder.resolve("load"));
                child(lib, "history", folder.resolve("history"));
                child(lib, "cut", folder.resolve("history"));
                child(lib, "flip", folder.resolve("history"));
                try (Stream<Path> all = Files.walk(folder)) {
                    all.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
                }
            }
            return;
        }
        Path folder = Path.of(words[2]);
        switch (words[1]) {
            case "base" -> System.out.println("an empty JVM: rss " + rss() / 1024 + " MB");
            case "load" -> load(words[0], folder);
            case "recover" -> recover(words[0], folder);
            case "history" -> history(words[0], folder);
            default -> damage(words[0], words[1], folder);
        }
        System.out.flush();
        // as a kill leaves it: nothing is closed
        Runtime.getRuntime().halt(0);
    }

    static void child(String lib, String mode, Path folder) throws Exception {
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-Xmx32m", "--add-opens=java.base/java.nio=ALL-UNNAMED",
                "--add-opens=java.base/sun.nio.ch=ALL-UNNAMED", "-cp", System.getProperty("java.class.path"),
                "StoreProbe", lib, mode, folder.toString()).redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        String said = new String(process.getInputStream().readAllBytes());
        if (!process.waitFor(5, TimeUnit.MINUTES) || process.exitValue() != 0) {
            said += "  the process ended with " + process.exitValue() + "\n";
        }
        System.out.print(lib + " " + mode + ": " + said + (said.endsWith("\n") ? "" : "\n"));
    }

    static void load(String name, Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        Lib lib = open(name, folder);
        Map<String, byte[]> first = new HashMap<>();
        for (int i = 0; i < RECORDS; i++) {
            first.put("box/" + i, value(random, 150));
        }
        lib.write(first);
        long[] took = new long[COMMITS];
        for (int c = 0; c < COMMITS; c++) {
            Map<String, byte[]> changes = new HashMap<>();
            for (int i = 0; i < 5; i++) {
                changes.put("box/" + random.nextInt(RECORDS), value(random, 150));
            }
            long began = System.nanoTime();
            lib.write(changes);
            took[c] = System.nanoTime() - began;
        }
        lib.all();
        Arrays.sort(took);
        long bytes;
        try (Stream<Path> all = Files.walk(folder)) {
            bytes = all.mapToLong(p -> p.toFile().length()).sum();
        }
        System.out.printf("commit with sync us p50 %d p99 %d; rss %d MB; %d kB on disk%n", took[COMMITS / 2]
                / 1000, took[COMMITS * 99 / 100] / 1000, rss() / 1024, bytes / 1024);
    }

    static void recover(String name, Path folder) throws Exception {
        long began = System.nanoTime();
        Lib lib = open(name, folder);
        int size = lib.all().size();
        System.out.printf("opened and read after a kill in %d ms, %d records%n",
                (System.nanoTime() - began) / 1_000_000, size);
    }

    static void history(String name, Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(2);
        Lib lib = open(name, folder.resolve("data"));
        StringBuilder hashes = new StringBuilder(hash(new TreeMap<>()) + "\n");
        for (int c = 0; c < 60; c++) {
            Map<String, byte[]> changes = new HashMap<>();
            for (int i = 0; i < 10; i++) {
                changes.put("box/" + random.nextInt(60), value(random, 40));
            }
            lib.write(changes);
            hashes.append(hash(lib.all())).append('\n');
        }
        Files.writeString(folder.resolve("hashes"), hashes);
        System.out.println("60 commits");
    }

    static void damage(String name, String mode, Path folder) throws Exception {
        Set<Integer> committed = new HashSet<>();
        Files.readAllLines(folder.resolve("hashes")).forEach(h -> committed.add(Integer.parseInt(h)));
        Path data = folder.resolve("data");
        File largest = Stream.of(data.toFile().listFiles()).filter(f -> !f.getName().startsWith("LOG")
                && !f.getName().endsWith(".lck") && !f.getName().startsWith("OPTIONS"))
                .max(Comparator.comparingLong(File::length)).orElseThrow();
        SplittableRandom random = new SplittableRandom(3);
        int good = 0;
        int refused = 0;
        int wrong = 0;
        for (int i = 0; i < CASES; i++) {
            Path copy = Files.createTempDirectory(folder, "case");
            for (File f : data.toFile().listFiles()) {
                Files.copy(f.toPath(), copy.resolve(f.getName()));
            }
            int at = random.nextInt((int) largest.length());
            try (RandomAccessFile file = new RandomAccessFile(copy.resolve(largest.getName()).toFile(), "rw")) {
                if (mode.equals("cut")) {
                    file.setLength(at);
                } else {
                    file.seek(at);
                    int b = file.read();
                    file.seek(at);
                    file.write(b ^ 1 << random.nextInt(8));
                }
            }
            try (Lib lib = open(name, copy)) {
                if (committed.contains(hash(lib.all()))) {
                    good++;
                } else {
                    wrong++;
                }
            } catch (Exception | Error e) {
                refused++;
            }
        }
        System.out.printf("%d cases in %s (%d bytes): as committed %d, refused %d, silently wrong %d%n", CASES,
                largest.getName().replaceAll("[0-9]{3,}", "N"), largest.length(), good, refused, wrong);
    }
}
