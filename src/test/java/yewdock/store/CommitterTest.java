package yewdock.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CommitterTest {
    private static final Committer.CommitTiming TIMING = new Committer.CommitTiming(1, 5);

    /** A store in memory that fails on demand. */
    private static final class Disk implements KeyValueStore.StoreOpener {
        private final TreeMap<String, byte[]> kept = new TreeMap<>();
        private volatile boolean full;
        private int writes;

        @Override
        public synchronized KeyValueStore open() throws StoreException {
            if (full) {
                throw new StoreException(StoreException.Kind.UNWRITABLE, "no room");
            }
            return new KeyValueStore() {
                @Override
                public SortedMap<String, byte[]> all() {
                    return new TreeMap<>(kept);
                }

                @Override
                public long write(Map<String, byte[]> changes) throws StoreException {
                    synchronized (Disk.this) {
                        if (full) {
                            throw new StoreException(StoreException.Kind.UNWRITABLE, "no room");
                        }
                        changes.forEach((key, value) -> {
                            if (value == null) {
                                kept.remove(key);
                            } else {
                                kept.put(key, value);
                            }
                        });
                        return ++writes;
                    }
                }

                @Override
                public void compactIfLarge(int maxMillis) {
                    // nothing to compact
                }

                @Override
                public long bytes() {
                    return 0;
                }

                @Override
                public void close() {
                    // nothing to close
                }
            };
        }
    }

    @Test
    void changesOfOneKeyAreCommittedTogether() throws Exception {
        Disk disk = new Disk();
        try (Committer committer = new Committer(disk.open(), disk, new Committer.CommitTiming(50, 5),
                health -> { })) {
            long ticket = 0;
            for (int i = 0; i <= 1000; i++) {
                ticket = committer.put(Map.of("a", new byte[] {(byte) i}));
            }
            committer.durable(ticket).get(10, TimeUnit.SECONDS);
            assertEquals((byte) 1000, disk.kept.get("a")[0]);
            assertTrue(disk.writes <= 50, disk.writes + " writes");
        }
    }

    @Test
    void changesWhileTheDiskIsFullAreWrittenLater() throws Exception {
        Disk disk = new Disk();
        disk.kept.put("old", new byte[] {1});
        BlockingQueue<Committer.StoreHealth> healthChanges = new LinkedBlockingQueue<>();
        try (Committer committer = new Committer(disk.open(), disk, TIMING, healthChanges::add)) {
            disk.full = true;
            long first = committer.put(Map.of("a", new byte[] {1}));
            Committer.StoreHealth failed = healthChanges.poll(10, TimeUnit.SECONDS);
            assertFalse(failed.open());
            assertEquals(StoreException.Kind.UNWRITABLE, failed.kind());
            Map<String, byte[]> removal = new TreeMap<>();
            removal.put("old", null);
            committer.put(removal);
            long last = committer.put(Map.of("b", new byte[] {2}));
            CompletableFuture<Void> promise = committer.durable(last);
            assertFalse(committer.durable(first).isDone());
            disk.full = false;
            promise.get(10, TimeUnit.SECONDS);
            assertTrue(healthChanges.poll(10, TimeUnit.SECONDS).open());
            assertEquals("[a, b]", disk.kept.keySet().toString());
        }
    }

    @Test
    void aStoreThatCouldNotBeOpenedIsRetried() throws Exception {
        Disk disk = new Disk();
        StoreException cause = new StoreException(StoreException.Kind.READ_ONLY, "read only");
        try (Committer committer = new Committer(cause, disk, TIMING, health -> { })) {
            committer.durable(committer.put(Map.of("a", new byte[] {1}))).get(10, TimeUnit.SECONDS);
            assertTrue(committer.health().open());
            assertEquals(1, disk.kept.size());
        }
    }

    @Test
    void closingCommitsPendingChanges() throws Exception {
        Disk disk = new Disk();
        Committer committer = new Committer(disk.open(), disk, new Committer.CommitTiming(60_000, 5),
                health -> { });
        committer.put(Map.of("a", new byte[] {1}));
        committer.close();
        assertTrue(disk.kept.containsKey("a"));
    }
}
