package yewdock.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordFileTest {
    /** How many offsets the corruption tests try; -Dstore.offsets=all tries every one. */
    private static final String OFFSET_COUNT = System.getProperty("store.offsets", "250");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @TempDir
    private Path folder;
    private byte[] number;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, String> texts(Map<String, byte[]> all) {
        Map<String, String> texts = new TreeMap<>();
        all.forEach((key, value) -> texts.put(key, new String(value, StandardCharsets.UTF_8)));
        return texts;
    }

    @Test
    void commitsSurviveReopening() throws StoreException {
        try (RecordFile store = RecordFile.open(folder)) {
            assertEquals(2, store.write(Map.of("b/1", bytes("one"), "a/2", bytes("two"))));
            assertEquals(3, store.write(Map.of("b/2", bytes("three"), "c", bytes("four"))));
            Map<String, byte[]> removal = new HashMap<>();
            removal.put("c", null);
            removal.put("d", null);
            store.write(removal);
        }
        try (RecordFile store = RecordFile.open(folder)) {
            assertEquals(4, store.lastCommitNumber());
            assertEquals(Map.of("a/2", "two", "b/1", "one", "b/2", "three"), texts(store.all()));
            assertEquals(List.of("b/1", "b/2"), List.copyOf(store.prefix("b/").keySet()));
        }
    }

    @Test
    void aSnapshotIsUnaffectedByLaterWrites() throws StoreException {
        try (RecordFile store = RecordFile.open(folder)) {
            store.write(Map.of("a", bytes("before")));
            try (RecordFile.Snapshot snapshot = store.snapshot()) {
                for (int i = 0; i < 50; i++) {
                    store.write(Map.of("a", bytes("after" + i), "b" + i, bytes("new")));
                }
                assertEquals(Map.of("a", "before"), texts(snapshot.prefix("")));
            }
            assertEquals(51, store.all().size());
        }
    }

    @Test
    void aFolderCanBeOpenOnlyOnce() throws StoreException {
        try (RecordFile store = RecordFile.open(folder)) {
            store.write(Map.of("a", bytes("1")));
            StoreException e = assertThrows(StoreException.class, () -> RecordFile.open(folder));
            assertEquals(StoreException.Kind.LOCKED, e.kind());
            store.write(Map.of("a", bytes("2")));
        }
        try (RecordFile store = RecordFile.open(folder)) {
            assertEquals(Map.of("a", "2"), texts(store.all()));
        }
    }

    @Test
    void aStoreOfANewerVersionIsNotModified() throws StoreException, IOException {
        RecordFile.open(folder).close();
        writeHead("version", 3L);
        byte[] before = Files.readAllBytes(RecordFile.fileInFolder(folder));
        StoreException e = assertThrows(StoreException.class, () -> RecordFile.open(folder));
        assertEquals(StoreException.Kind.NEWER, e.kind());
        assertTrue(e.getMessage().contains("version 3"), e.getMessage());
        assertArrayEquals(before, Files.readAllBytes(RecordFile.fileInFolder(folder)));
    }

    private void writeHead(String key, long value) {
        try (MVStore raw = MVStore.open(RecordFile.fileInFolder(folder).toString())) {
            raw.<String, Long>openMap("head").put(key, value);
            raw.commit();
        }
    }

    private void writeVersion1(int records) {
        try (MVStore raw = new MVStore.Builder().fileName(RecordFile.fileInFolder(folder).toString())
                .autoCommitDisabled().open()) {
            MVMap<String, byte[]> map = raw.openMap("records");
            for (int i = 0; i < records; i++) {
                map.put("k" + i, bytes("v" + i));
            }
            raw.<String, Long>openMap("head").put("version", 1L);
            raw.commit();
        }
    }

    @Test
    void aStoreOfAnOlderVersionIsUpgradedAtomically() throws StoreException, IOException {
        writeVersion1(40);
        byte[] old = Files.readAllBytes(RecordFile.fileInFolder(folder));
        Map<String, String> wanted = new TreeMap<>();
        for (int i = 0; i < 40; i++) {
            wanted.put("k" + i, "v" + i);
        }
        try (RecordFile store = RecordFile.open(folder)) {
            assertEquals(RecordFile.VERSION, store.version());
            assertEquals(wanted, texts(store.all()));
        }
        // a crash at any point of the upgrade leaves the old part of the file and some of what follows
        byte[] all = Files.readAllBytes(RecordFile.fileInFolder(folder));
        assertTrue(all.length > old.length);
        for (int length : offsets(old.length, all.length, 3)) {
            Files.write(RecordFile.fileInFolder(folder), Arrays.copyOf(all, length));
            Files.deleteIfExists(folder.resolve("records.number"));
            try (RecordFile store = RecordFile.open(folder)) {
                assertEquals(wanted, texts(store.all()), "cut to " + length);
                assertEquals(RecordFile.VERSION, store.version());
            }
        }
    }

    /** All offsets in the range, or the configured number of random ones and both ends. */
    private static List<Integer> offsets(int from, int to, long seed) {
        List<Integer> all = new ArrayList<>();
        if (OFFSET_COUNT.equals("all")) {
            for (int i = from; i <= to; i++) {
                all.add(i);
            }
            return all;
        }
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < Integer.parseInt(OFFSET_COUNT); i++) {
            all.add(from + random.nextInt(to - from + 1));
        }
        all.add(from);
        all.add(to);
        return all;
    }

    /** Makes commits in the folder; returns the content after each, and that of the empty store. */
    private List<Map<String, String>> history(int commits) throws StoreException, IOException {
        List<Map<String, String>> committed = new ArrayList<>();
        committed.add(Map.of());
        SplittableRandom random = new SplittableRandom(7);
        try (RecordFile store = RecordFile.open(folder)) {
            for (int i = 0; i < commits; i++) {
                Map<String, byte[]> changes = new HashMap<>();
                for (int k = 0; k < 6; k++) {
                    changes.put("box/" + random.nextInt(30), random.nextInt(5) == 0 ? null
                            : bytes("commit " + i + " " + "x".repeat(random.nextInt(60))));
                }
                store.write(changes);
                committed.add(texts(store.all()));
            }
        }
        number = Files.readAllBytes(folder.resolve("records.number"));
        return committed;
    }

    @Test
    void aTruncatedFileHasCommittedContentOrIsRefused() throws StoreException, IOException {
        List<Map<String, String>> committed = history(8);
        byte[] all = Files.readAllBytes(RecordFile.fileInFolder(folder));
        long accepted = offsets(0, all.length, 1).parallelStream().filter(length ->
                hasCommittedContent(Arrays.copyOf(all, length), committed, "cut to " + length)).count();
        System.out.println("cut: " + accepted + " as committed, of a file of " + all.length + " bytes");
        assertTrue(accepted > 0);
    }

    @Test
    void aFileWithAFlippedBitHasCommittedContentOrIsRefused() throws StoreException, IOException {
        List<Map<String, String>> committed = history(8);
        byte[] all = Files.readAllBytes(RecordFile.fileInFolder(folder));
        long refused = offsets(0, all.length - 1, 2).parallelStream().filter(at -> {
            byte[] flipped = all.clone();
            flipped[at] ^= (byte) (1 << new SplittableRandom(at).nextInt(8));
            return !hasCommittedContent(flipped, committed, "flipped at " + at);
        }).count();
        System.out.println("flipped: " + refused + " refused, of a file of " + all.length + " bytes");
        assertTrue(refused > 0, "no flipped bit was detected");
    }

    @Test
    void aFileWithALostBlockHasCommittedContentOrIsRefused() throws StoreException, IOException {
        List<Map<String, String>> committed = history(8);
        byte[] all = Files.readAllBytes(RecordFile.fileInFolder(folder));
        // a block that never reached the disk reads as zeroes, although later blocks were written
        for (int at : offsets(0, all.length / 512 - 1, 4)) {
            byte[] torn = all.clone();
            Arrays.fill(torn, at * 512, at * 512 + 512, (byte) 0);
            hasCommittedContent(torn, committed, "block " + at + " lost");
        }
    }

    /** Opens a store with this file; false if it is refused and unmodified, else it has committed content. */
    private boolean hasCommittedContent(byte[] file, List<Map<String, String>> committed,
            String description) {
        Map<String, String> last = committed.get(committed.size() - 1);
        return assertTimeoutPreemptively(TIMEOUT, () -> {
            Path caseFolder = Files.createTempDirectory(folder, "case");
            Files.write(RecordFile.fileInFolder(caseFolder), file);
            Files.write(caseFolder.resolve("records.number"), number);
            try (RecordFile store = RecordFile.open(caseFolder)) {
                Map<String, String> found = texts(store.all());
                assertTrue(committed.contains(found), description + ": never committed: " + found);
                assertTrue(store.missingCommits() > 0 == !found.equals(last),
                        description + ": " + store.missingCommits() + " commits reported missing");
                store.write(Map.of("new", bytes("room")));
                assertTrue(store.all().containsKey("new"));
                return true;
            } catch (StoreException e) {
                assertTrue(e.kind() == StoreException.Kind.DAMAGED || e.kind() == StoreException.Kind.NEWER,
                        description + ": " + e.getMessage());
                assertArrayEquals(file, Files.readAllBytes(RecordFile.fileInFolder(caseFolder)), description);
                return false;
            } finally {
                for (String name : List.of("records.mv", "records.number")) {
                    Files.deleteIfExists(caseFolder.resolve(name));
                }
                Files.deleteIfExists(caseFolder);
            }
        }, description);
    }

    @Test
    void aCrashDuringCompactionLosesNothing() throws StoreException, IOException {
        Map<String, String> wanted = new TreeMap<>();
        try (RecordFile store = RecordFile.open(folder)) {
            for (int i = 0; i < 120; i++) {
                String value = "v" + i + "x".repeat(60_000);
                store.write(Map.of("k" + i % 4, bytes(value)));
                wanted.put("k" + i % 4, value);
            }
            long before = store.bytes();
            // a crash leaves the file as it is at some moment: copy it repeatedly during compaction
            byte[] number = Files.readAllBytes(folder.resolve("records.number"));
            List<byte[]> copies = new ArrayList<>();
            Thread tidy = new Thread(() -> {
                try {
                    store.compactIfLarge(2_000);
                } catch (StoreException e) {
                    throw new IllegalStateException(e);
                }
            });
            tidy.start();
            do {
                copies.add(Files.readAllBytes(RecordFile.fileInFolder(folder)));
            } while (tidy.isAlive() && copies.size() < 40);
            join(tidy);
            assertTrue(store.bytes() < before, before + " bytes are " + store.bytes());
            assertEquals(wanted, texts(store.all()));
            Path other = Files.createDirectory(folder.resolve("other"));
            for (byte[] copy : copies) {
                Files.write(RecordFile.fileInFolder(other), copy);
                Files.write(other.resolve("records.number"), number);
                try (RecordFile reopened = RecordFile.open(other)) {
                    // its header may be older than the rest; then the store has to report missing commits
                    assertEquals(!wanted.equals(texts(reopened.all())), reopened.missingCommits() > 0);
                } catch (StoreException e) {
                    // unlike after a crash, a copy mixes moments: it may be refused, but must not be wrong
                    assertEquals(StoreException.Kind.DAMAGED, e.kind());
                }
            }
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aFileInPlaceOfTheFolderIsReported() throws IOException {
        Path file = Files.writeString(folder.resolve("a file"), "");
        StoreException e = assertThrows(StoreException.class, () -> RecordFile.open(file));
        assertEquals(StoreException.Kind.READ_ONLY, e.kind());
        assertThrows(StoreException.class, () -> RecordFile.openReadOnly(folder.resolve("nowhere")));
        assertFalse(Files.exists(folder.resolve("nowhere")));
    }
}
