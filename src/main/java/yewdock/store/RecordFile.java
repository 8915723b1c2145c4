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
 * Records on a disk, in one file of H2's MVStore. Writing is one thread's; reading and snapshots are any's.
 *
 * <p>The library checks its chunks' heads and not what is in their pages, so every record is sealed with a
 * hash of its key and bytes, and every commit holds the number and the sum of all seals. A file whose records
 * don't add up to a sum that was committed is refused and left as it is.
 */
public final class RecordFile implements KeyValueStore {
    /** The layout that is written. 1: records without seals; 2: sealed, with their sum. */
    static final int VERSION = 2;
    private static final String FILE = "records.mv";
    /** Beside the file: the number of the last commit that is surely on the disk, and its seal. */
    private static final String NUMBER = "records.number";
    private static final String RECORDS = "records";
    private static final String HEAD = "head";
    private static final int CACHE_MB = 2;
    private static final int SEAL = Long.BYTES;
    private static final long TIDY_FROM = 4 << 20;

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
        this.records = store.openMap(RECORDS);
        this.head = store.openMap(HEAD);
    }

    /** Opens the store in this folder, or makes one; brings one of an older version up in one commit. */
    public static RecordFile open(Path folder) throws StoreException {
        Path file = fileInFolder(folder);
        try {
            if (!Files.exists(folder)) {
                Files.createDirectories(folder, PosixFilePermissions.asFileAttribute(
                        PosixFilePermissions.fromString("rwx------")));
            }
            if (!Files.isDirectory(folder)) {
                throw new StoreException(StoreException.Kind.READ_ONLY, folder + " is no folder");
            }
            if (Files.exists(file) && Files.size(file) == 0) {
                if (surely(file) > 0) {
                    throw new StoreException(StoreException.Kind.DAMAGED, file + " is damaged: it is empty, "
                            + "and had " + surely(file) + " commits");
                }
                // killed before the first byte was written: nothing was ever acknowledged
                Files.delete(file);
            }
            if (!Files.exists(file)) {
                Files.deleteIfExists(file.resolveSibling(NUMBER));
            }
        } catch (IOException e) {
            throw new StoreException(StoreException.Kind.READ_ONLY, folder + " can't be made: "
                    + e.getMessage(), e);
        }
        if (Files.exists(file)) {
            // looked at without writing first: what is refused must be left as it is
            openReadOnly(folder).close();
        }
        if (!Files.isWritable(folder) || Files.exists(file) && !Files.isWritable(file)) {
            throw new StoreException(StoreException.Kind.READ_ONLY, file + " can't be written");
        }
        return guarded(file, () -> {
            RecordFile opened = new RecordFile(file, builder(file).autoCommitDisabled().open());
            try {
                opened.check();
                opened.compareNumber();
                opened.bringUp();
            } catch (StoreException | RuntimeException e) {
                opened.close();
                throw e;
            }
            return opened;
        });
    }

    /** Opens it for reading only, and checks all of it. */
    public static RecordFile openReadOnly(Path folder) throws StoreException {
        Path file = fileInFolder(folder);
        if (!Files.exists(file)) {
            throw new StoreException(StoreException.Kind.UNWRITABLE, "there is no store in " + folder);
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

    /** Puts a damaged store out of the way, whole, so that a new one can begin; returns where it is. */
    public static Path moveAside(Path folder) throws IOException {
        Path file = fileInFolder(folder);
        Path aside = file.resolveSibling(FILE + ".damaged");
        for (int i = 1; Files.exists(aside); i++) {
            aside = file.resolveSibling(FILE + ".damaged-" + i);
        }
        Files.deleteIfExists(file.resolveSibling(NUMBER));
        return Files.move(file, aside);
    }

    /** The one file of the store in this folder. */
    public static Path fileInFolder(Path folder) {
        return folder.resolve(FILE);
    }

    private static MVStore.Builder builder(Path file) {
        return new MVStore.Builder().fileName(file.toString()).cacheSize(CACHE_MB);
    }

    private interface Work<T> {
        T run() throws StoreException;
    }

    private static <T> T guarded(Path file, Work<T> work) throws StoreException {
        try {
            return work.run();
        } catch (MVStoreException e) {
            throw told(file, e);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | AssertionError e) {
            // a length or a reference that a flipped bit has made absurd
            throw new StoreException(StoreException.Kind.DAMAGED, file + " is damaged: " + e, e);
        }
    }

    private static StoreException told(Path file, MVStoreException e) {
        String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
        return switch (e.getErrorCode()) {
            case DataUtils.ERROR_FILE_LOCKED -> new StoreException(StoreException.Kind.LOCKED,
                    file + " is in use by another process", e);
            case DataUtils.ERROR_UNSUPPORTED_FORMAT -> new StoreException(StoreException.Kind.NEWER,
                    file + " is in a format that this program does not know: " + why, e);
            case DataUtils.ERROR_WRITING_FAILED -> new StoreException(StoreException.Kind.UNWRITABLE,
                    file + " can't be written: " + why, e);
            default -> new StoreException(StoreException.Kind.DAMAGED, file + " is damaged: " + why, e);
        };
    }

    // ---- what must hold

    private void check() throws StoreException {
        long version = head.getOrDefault("version", 0L);
        lastCommitNumber = head.getOrDefault("number", 0L);
        if (version > VERSION) {
            throw new StoreException(StoreException.Kind.NEWER, file + " has version " + version
                    + "; this program knows versions up to " + VERSION);
        }
        if (version == 0 && (!records.isEmpty() || lastCommitNumber != 0)) {
            throw damaged("it has records and no version");
        }
        if (version < 2) {
            return;
        }
        for (Iterator<String> keys = records.keyIterator(null); keys.hasNext();) {
            String key = keys.next();
            byte[] sealed = records.get(key);
            if (sealed == null || sealed.length < SEAL || seal(key, sealed) != sealIn(sealed)) {
                throw damaged("the record " + key + " is not what was written");
            }
            count++;
            sum += sealIn(sealed);
        }
        if (count != head.getOrDefault("count", -1L) || sum != head.getOrDefault("sum", 0L)
                || headSeal() != head.getOrDefault("seal", 0L)) {
            throw damaged("its " + count + " records are not a set that was committed");
        }
    }

    /**
     * The library opens a file whose newest parts are destroyed as it was before them, and one whose parts
     * are all destroyed as an empty one: that must not pass for what was committed last.
     */
    private void compareNumber() throws StoreException {
        missingCommits = Math.max(0, surely(file) - lastCommitNumber);
        if (missingCommits > 0 && lastCommitNumber == 0) {
            throw damaged("nothing of its " + missingCommits + " commits can be found in it");
        }
    }

    private static long surely(Path file) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file.resolveSibling(NUMBER)));
            long number = bytes.getLong();
            return bytes.getLong() == sealOf(number) ? number : 0;
        } catch (IOException | BufferUnderflowException e) {
            // killed before the first commit, or half written by a kill: then nothing can be told
            return 0;
        }
    }

    private static long sealOf(long number) {
        return Hashing.xxh3_64().hashStream().putLong(number).getAsLong();
    }

    /** Never before the commit is on the disk; not synced itself, for being behind does no harm. */
    private void noteNumber() {
        ByteBuffer bytes = ByteBuffer.allocate(2 * Long.BYTES).putLong(lastCommitNumber)
                .putLong(sealOf(lastCommitNumber));
        try {
            Files.write(file.resolveSibling(NUMBER), bytes.array());
        } catch (IOException e) {
            // the commit stands all the same
        }
    }

    private StoreException damaged(String why) {
        return new StoreException(StoreException.Kind.DAMAGED, file + " is damaged: " + why);
    }

    /** In one commit: killed before it, the old version is there; after it, the new. */
    private void bringUp() throws StoreException {
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

    private long headSeal() {
        return Hashing.xxh3_64().hashStream().putLong(VERSION).putLong(lastCommitNumber)
                .putLong(count).putLong(sum).getAsLong();
    }

    private static long seal(String key, byte[] sealed) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        return Hashing.xxh3_64().hashStream().putBytes(name).putInt(name.length)
                .putBytes(sealed, SEAL, sealed.length - SEAL).getAsLong();
    }

    private static long sealIn(byte[] sealed) {
        return ByteBuffer.wrap(sealed).getLong();
    }

    private static byte[] sealed(String key, byte[] bytes) {
        byte[] sealed = new byte[SEAL + bytes.length];
        System.arraycopy(bytes, 0, sealed, SEAL, bytes.length);
        ByteBuffer.wrap(sealed).putLong(seal(key, sealed));
        return sealed;
    }

    private static byte[] opened(byte[] sealed) {
        byte[] bytes = new byte[sealed.length - SEAL];
        System.arraycopy(sealed, SEAL, bytes, 0, bytes.length);
        return bytes;
    }

    // ---- writing

    @Override
    public long write(Map<String, byte[]> changes) throws StoreException {
        return guarded(file, () -> {
            commit(changes);
            store.sync();
            noteNumber();
            return lastCommitNumber;
        });
    }

    /** Under the lock, so that no snapshot sees half of it. */
    private synchronized void commit(Map<String, byte[]> changes) {
        for (Map.Entry<String, byte[]> change : changes.entrySet()) {
            byte[] after = change.getValue() == null ? null
                    : sealed(change.getKey(), change.getValue());
            byte[] before = after == null ? records.remove(change.getKey())
                    : records.put(change.getKey(), after);
            count += (after == null ? 0 : 1) - (before == null ? 0 : 1);
            sum += (after == null ? 0 : sealIn(after)) - (before == null ? 0 : sealIn(before));
        }
        lastCommitNumber++;
        head.put("number", lastCommitNumber);
        head.put("count", count);
        head.put("sum", sum);
        head.put("seal", headSeal());
        store.commit();
    }

    @Override
    public void compactIfLarge(int mostMillis) throws StoreException {
        if (bytes() > TIDY_FROM) {
            compact(mostMillis);
        }
    }

    /** Gives back all the room that can be had in so many milliseconds. */
    public void compact(int mostMillis) throws StoreException {
        guarded(file, () -> {
            store.compactFile(mostMillis);
            return null;
        });
    }

    // ---- reading

    /** The number of the last commit; all up to it are on the disk. */
    public long lastCommitNumber() {
        return lastCommitNumber;
    }

    /** How many commits were on the disk and are there no more: what is here was committed before them. */
    public long missingCommits() {
        return missingCommits;
    }

    /** The layout that the file has. */
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

    /** The records whose keys begin so, in the order of the keys, as of one commit. */
    public SortedMap<String, byte[]> prefix(String beginning) {
        try (Snapshot snapshot = snapshot()) {
            return snapshot.prefix(beginning);
        }
    }

    /** What is committed now, whatever is written after; to be closed. */
    public synchronized Snapshot snapshot() {
        return new Snapshot();
    }

    /** The records as of one commit. */
    public final class Snapshot implements AutoCloseable {
        private final MVStore.TxCounter use = store.registerVersionUsage();
        private final MVMap<String, byte[]> then = records.getVersion() == 0 && records.isEmpty() ? records
                : records.openVersion(use.version);

        /** The records whose keys begin so, in the order of the keys. */
        public SortedMap<String, byte[]> prefix(String beginning) {
            SortedMap<String, byte[]> found = new TreeMap<>();
            for (Iterator<String> keys = then.keyIterator(beginning); keys.hasNext();) {
                String key = keys.next();
                if (!key.startsWith(beginning)) {
                    break;
                }
                byte[] sealed = then.get(key);
                found.put(key, version() < 2 ? sealed : opened(sealed));
            }
            return found;
        }

        @Override
        public void close() {
            store.deregisterVersionUsage(use);
        }
    }

    @Override
    public void close() {
        try {
            // tidied while it is open; an end is not to wait for it
            store.close(0);
        } catch (RuntimeException e) {
            // what was acknowledged was synced; the file is checked when it is next opened
            store.closeImmediately();
        }
    }
}
