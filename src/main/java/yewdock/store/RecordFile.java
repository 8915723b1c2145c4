package yewdock.store;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Iterator;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * A durable key-value store in one file of H2's MVStore. Only one thread may write; any thread may read and
 * take snapshots.
 *
 * <p>The library verifies the headers of its chunks but not the content of their pages. So every record is
 * stored with a checksum of its key and bytes, and every commit contains the number of records and the sum of
 * their checksums. A file that doesn't match a committed sum is refused and left unchanged.
 */
public final class RecordFile implements KeyValueStore {
    /** The layout version written. 1: records without checksums; 2: records with checksums and their sum. */
    static final int VERSION = 2;
    private static final String STORE_FILE = "records.mv";
    /** A file beside the store: the number of the last commit known to be on disk, and a checksum. */
    private static final String NUMBER_FILE = "records.number";
    private static final String RECORDS_MAP = "records";
    private static final String HEAD_MAP = "head";
    private static final int CACHE_MB = 2;
    private static final int CHECKSUM_BYTES = Long.BYTES;
    private static final long MIN_BYTES_TO_COMPACT = 4 << 20;

    private final Path file;
    private final MVStore store;
    private final MVMap<String, byte[]> records;
    private final MVMap<String, Long> head;
    private long count;
    private long sum;
    private long missingCommits;
    private volatile long lastCommitNumber;

    private RecordFile(Path file, MVStore store) {
        this.file = file;
        this.store = store;
        this.records = store.openMap(RECORDS_MAP);
        this.head = store.openMap(HEAD_MAP);
    }

    /** Opens the store in this folder, or creates one; upgrades one of an older version in one commit. */
    public static RecordFile open(Path folder) throws StoreException {
        Path file = fileInFolder(folder);
        try {
            if (!Files.exists(folder)) {
                Files.createDirectories(folder, PosixFilePermissions.asFileAttribute(
                        PosixFilePermissions.fromString("rwx------")));
            }
            if (!Files.isDirectory(folder)) {
                throw new StoreException(StoreException.Kind.READ_ONLY, folder + " is not a directory");
            }
            if (Files.exists(file) && Files.size(file) == 0) {
                if (confirmedNumber(file) > 0) {
                    throw new StoreException(StoreException.Kind.DAMAGED, file + " is damaged: it is empty, "
                            + "but had " + confirmedNumber(file) + " commits");
                }
                // the process was killed before the first write, so no commit was ever acknowledged
                Files.delete(file);
            }
            if (!Files.exists(file)) {
                Files.deleteIfExists(file.resolveSibling(NUMBER_FILE));
            }
        } catch (IOException e) {
            throw new StoreException(StoreException.Kind.READ_ONLY, folder + " cannot be created: "
                    + e.getMessage(), e);
        }
        if (Files.exists(file)) {
            // check it read-only first, as a store that is refused must not be modified
            openReadOnly(folder).close();
        }
        if (!Files.isWritable(folder) || Files.exists(file) && !Files.isWritable(file)) {
            throw new StoreException(StoreException.Kind.READ_ONLY, file + " is not writable");
        }
        return guarded(file, () -> {
            RecordFile opened = new RecordFile(file, builder(file).autoCommitDisabled().open());
            try {
                opened.check();
                opened.compareNumber();
                opened.upgrade();
            } catch (StoreException | RuntimeException e) {
                opened.close();
                throw e;
            }
            return opened;
        });
    }

    /** Opens the store in this folder read-only and checks all records. */
    public static RecordFile openReadOnly(Path folder) throws StoreException {
        Path file = fileInFolder(folder);
        if (!Files.exists(file)) {
            throw new StoreException(StoreException.Kind.UNWRITABLE, "no store found in " + folder);
        }
        return guarded(file, () -> {
            RecordFile opened = new RecordFile(file, builder(file).readOnly().open());
            try {
                opened.check();
                opened.compareNumber();
            } catch (StoreException | RuntimeException e) {
                opened.close();
                throw e;
            }
            return opened;
        });
    }

    /** Renames a damaged store, unchanged, so that a new one can be created; returns its new path. */
    public static Path moveAside(Path folder) throws IOException {
        Path file = fileInFolder(folder);
        Path aside = file.resolveSibling(STORE_FILE + ".damaged");
        for (int i = 1; Files.exists(aside); i++) {
            aside = file.resolveSibling(STORE_FILE + ".damaged-" + i);
        }
        Files.deleteIfExists(file.resolveSibling(NUMBER_FILE));
        return Files.move(file, aside);
    }

    /** The path of the store's file in this folder. */
    public static Path fileInFolder(Path folder) {
        return folder.resolve(STORE_FILE);
    }

    private static MVStore.Builder builder(Path file) {
        return new MVStore.Builder().fileName(file.toString()).cacheSize(CACHE_MB);
    }

    /** An operation on the store. */
    private interface Work<T> {
        T run() throws StoreException;
    }

    /** Runs an operation and converts whatever the library throws to a StoreException. */
    private static <T> T guarded(Path file, Work<T> work) throws StoreException {
        try {
            return work.run();
        } catch (MVStoreException e) {
            throw convert(file, e);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | AssertionError e) {
            // the library fails in these ways when a corrupt bit gives an absurd length or reference
            throw new StoreException(StoreException.Kind.DAMAGED, file + " is damaged: " + e, e);
        }
    }

    /** Converts a failure of the library. */
    private static StoreException convert(Path file, MVStoreException e) {
        String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
        return switch (e.getErrorCode()) {
            case DataUtils.ERROR_FILE_LOCKED -> new StoreException(StoreException.Kind.LOCKED,
                    file + " is in use by another process", e);
            case DataUtils.ERROR_UNSUPPORTED_FORMAT -> new StoreException(StoreException.Kind.NEWER,
                    file + " has an unknown format: " + why, e);
            case DataUtils.ERROR_WRITING_FAILED -> new StoreException(StoreException.Kind.UNWRITABLE,
                    file + " cannot be written: " + why, e);
            default -> new StoreException(StoreException.Kind.DAMAGED, file + " is damaged: " + why, e);
        };
    }

    // ---- integrity checks

    /** Checks the version, every record's checksum, and their sum against the last commit. */
    private void check() throws StoreException {
        long version = head.getOrDefault("version", 0L);
        lastCommitNumber = head.getOrDefault("number", 0L);
        if (version > VERSION) {
            throw new StoreException(StoreException.Kind.NEWER, file + " has version " + version
                    + "; the newest supported version is " + VERSION);
        }
        if (version == 0 && (!records.isEmpty() || lastCommitNumber != 0)) {
            throw damaged("it has records but no version");
        }
        if (version < 2) {
            return;
        }
        for (Iterator<String> keys = records.keyIterator(null); keys.hasNext();) {
            String key = keys.next();
            byte[] stored = records.get(key);
            if (stored == null || stored.length < CHECKSUM_BYTES
                    || checksum(key, stored) != storedChecksum(stored)) {
                throw damaged("the record " + key + " does not match its checksum");
            }
            count++;
            sum += storedChecksum(stored);
        }
        if (count != head.getOrDefault("count", -1L) || sum != head.getOrDefault("sum", 0L)
                || headChecksum() != head.getOrDefault("seal", 0L)) {
            throw damaged("its " + count + " records do not match the last commit");
        }
    }

    /**
     * Detects lost commits. The library opens a file whose newest chunks are destroyed as of an older commit,
     * and one without any intact chunk as empty; neither may pass for the last committed state.
     */
    private void compareNumber() throws StoreException {
        missingCommits = Math.max(0, confirmedNumber(file) - lastCommitNumber);
        if (missingCommits > 0 && lastCommitNumber == 0) {
            throw damaged("none of its " + missingCommits + " commits can be found");
        }
    }

    /** The number of the last commit known to be on disk; 0 if unknown. */
    private static long confirmedNumber(Path file) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file.resolveSibling(NUMBER_FILE)));
            long number = bytes.getLong();
            return bytes.getLong() == checksumOf(number) ? number : 0;
        } catch (IOException | BufferUnderflowException e) {
            // killed before the first commit or while writing it: nothing is known then
            return 0;
        }
    }

    private static long checksumOf(long number) {
        return Hashing.xxh3_64().hashStream().putLong(number).getAsLong();
    }

    /** Called only once the commit is on disk. Not synced itself, as a number that is too low is harmless. */
    private void writeNumberFile() {
        ByteBuffer bytes = ByteBuffer.allocate(2 * Long.BYTES).putLong(lastCommitNumber)
                .putLong(checksumOf(lastCommitNumber));
        try {
            Files.write(file.resolveSibling(NUMBER_FILE), bytes.array());
        } catch (IOException e) {
            // the commit is on disk nevertheless
        }
    }

    private StoreException damaged(String why) {
        return new StoreException(StoreException.Kind.DAMAGED, file + " is damaged: " + why);
    }

    /** Upgrades the layout in one commit, so that a crash leaves either the old or the new version. */
    private void upgrade() throws StoreException {
        long version = head.getOrDefault("version", 0L);
        if (version == VERSION) {
            return;
        }
        Map<String, byte[]> old = new TreeMap<>();
        if (version == 1) {
            records.forEach(old::put);
        }
        head.put("version", (long) VERSION);
        count = 0;
        sum = 0;
        records.clear();
        write(old);
    }

    /** The checksum of the head. */
    private long headChecksum() {
        return Hashing.xxh3_64().hashStream().putLong(VERSION).putLong(lastCommitNumber).putLong(count)
                .putLong(sum).getAsLong();
    }

    /** The checksum of a record's key and bytes; the first bytes, which hold the checksum, are left out. */
    private static long checksum(String key, byte[] stored) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        return Hashing.xxh3_64().hashStream().putBytes(name).putInt(name.length)
                .putBytes(stored, CHECKSUM_BYTES, stored.length - CHECKSUM_BYTES).getAsLong();
    }

    /** The checksum stored with a record. */
    private static long storedChecksum(byte[] stored) {
        return ByteBuffer.wrap(stored).getLong();
    }

    /** Prefixes a record's bytes with their checksum. */
    private static byte[] withChecksum(String key, byte[] bytes) {
        byte[] stored = new byte[CHECKSUM_BYTES + bytes.length];
        System.arraycopy(bytes, 0, stored, CHECKSUM_BYTES, bytes.length);
        ByteBuffer.wrap(stored).putLong(checksum(key, stored));
        return stored;
    }

    /** A record's bytes without the checksum. */
    private static byte[] withoutChecksum(byte[] stored) {
        byte[] bytes = new byte[stored.length - CHECKSUM_BYTES];
        System.arraycopy(stored, CHECKSUM_BYTES, bytes, 0, bytes.length);
        return bytes;
    }

    // ---- writing

    @Override
    public long write(Map<String, byte[]> changes) throws StoreException {
        return guarded(file, () -> {
            commit(changes);
            store.sync();
            writeNumberFile();
            return lastCommitNumber;
        });
    }

    /** Commits changes; synchronized, so that no snapshot sees a part of them. */
    private synchronized void commit(Map<String, byte[]> changes) {
        for (Map.Entry<String, byte[]> change : changes.entrySet()) {
            byte[] after = change.getValue() == null ? null
                    : withChecksum(change.getKey(), change.getValue());
            byte[] before = after == null ? records.remove(change.getKey())
                    : records.put(change.getKey(), after);
            count += (after == null ? 0 : 1) - (before == null ? 0 : 1);
            sum += (after == null ? 0 : storedChecksum(after))
                    - (before == null ? 0 : storedChecksum(before));
        }
        lastCommitNumber++;
        head.put("number", lastCommitNumber);
        head.put("count", count);
        head.put("sum", sum);
        head.put("seal", headChecksum());
        store.commit();
    }

    @Override
    public void compactIfLarge(int maxMillis) throws StoreException {
        if (bytes() > MIN_BYTES_TO_COMPACT) {
            compact(maxMillis);
        }
    }

    /** Frees as much space in the file as possible, for at most this many milliseconds. */
    public void compact(int maxMillis) throws StoreException {
        guarded(file, () -> {
            store.compactFile(maxMillis);
            return null;
        });
    }

    // ---- queries

    /** The number of the last commit; all commits up to it are on disk. */
    public long lastCommitNumber() {
        return lastCommitNumber;
    }

    /** How many of the newest commits were on disk but are lost; the content is as of before them. */
    public long missingCommits() {
        return missingCommits;
    }

    /** The layout version of the file. */
    public int version() {
        return Math.toIntExact(head.getOrDefault("version", 0L));
    }

    @Override
    public long bytes() {
        try {
            return Files.size(file);
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public SortedMap<String, byte[]> all() {
        return prefix("");
    }

    /** The records whose keys have this prefix, in key order, as of one commit. */
    public SortedMap<String, byte[]> prefix(String prefix) {
        try (Snapshot snapshot = snapshot()) {
            return snapshot.prefix(prefix);
        }
    }

    /** A snapshot of the last commit, unaffected by later writes; the caller closes it. */
    public synchronized Snapshot snapshot() {
        return new Snapshot();
    }

    /** The records as of one commit. */
    public final class Snapshot implements AutoCloseable {
        private final MVStore.TxCounter versionUse = store.registerVersionUsage();
        private final MVMap<String, byte[]> view = records.getVersion() == 0 && records.isEmpty() ? records
                : records.openVersion(versionUse.version);

        /** The records whose keys have this prefix, in key order. */
        public SortedMap<String, byte[]> prefix(String prefix) {
            SortedMap<String, byte[]> found = new TreeMap<>();
            for (Iterator<String> keys = view.keyIterator(prefix); keys.hasNext();) {
                String key = keys.next();
                if (!key.startsWith(prefix)) {
                    break;
                }
                byte[] stored = view.get(key);
                found.put(key, version() < 2 ? stored : withoutChecksum(stored));
            }
            return found;
        }

        @Override
        public void close() {
            store.deregisterVersionUsage(versionUse);
        }
    }

    @Override
    public void close() {
        try {
            // no compaction here: it is done while the store is open, and closing should not take long
            store.close(0);
        } catch (RuntimeException e) {
            // all acknowledged commits were synced, and the file is checked when it is opened again
            store.closeImmediately();
        }
    }
}
