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
    private static final Committer.CommitTiming PACE = new Committer.CommitTiming(1, 5);

    /** A disk that fails when told to. */
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
                        changes.forEach((k, v) -> {
                            if (v == null) {
                                kept.remove(k);
                            } else {
                                kept.put(k, v);
                            }
                        });
                        return ++writes;
                    }
                }

                @Override
                public void compactIfLarge(int mostMillis) {
                    // nothing to tidy
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
    void changesOfOneKeyAreWrittenOnce() throws Exception {
        Disk disk = new Disk();
        try (Committer committer = new Committer(disk.open(), disk, new Committer.CommitTiming(50, 5), h ->
                { })) {
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
    void aFullDiskStopsNobodyAndIsMadeGoodLater() throws Exception {
        Disk disk = new Disk();
        disk.kept.put("old", new byte[] {1});
        BlockingQueue<Committer.StoreHealth> said = new LinkedBlockingQueue<>();
        try (Committer committer = new Committer(disk.open(), disk, PACE, said::add)) {
            disk.full = true;
            long first = committer.put(Map.of("a", new byte[] {1}));
            Committer.StoreHealth bad = said.poll(10, TimeUnit.SECONDS);
            assertFalse(bad.open());
            assertEquals(StoreException.Kind.UNWRITABLE, bad.kind());
            Map<String, byte[]> removal = new TreeMap<>();
            removal.put("old", null);
            committer.put(removal);
            long last = committer.put(Map.of("b", new byte[] {2}));
            CompletableFuture<Void> promise = committer.durable(last);
            assertFalse(committer.durable(first).isDone());
            disk.full = false;
            promise.get(10, TimeUnit.SECONDS);
            assertTrue(said.poll(10, TimeUnit.SECONDS).open());
            assertEquals("[a, b]", disk.kept.keySet().toString());
        }
    }

    @Test
    void oneThatCouldNotBeOpenedIsTriedAgain() throws Exception {
        Disk disk = new Disk();
        StoreException why = new StoreException(StoreException.Kind.READ_ONLY, "read only");
        try (Committer committer = new Committer(why, disk, PACE, h -> { })) {
            committer.durable(committer.put(Map.of("a", new byte[] {1}))).get(10, TimeUnit.SECONDS);
            assertTrue(committer.health().open());
            assertEquals(1, disk.kept.size());
        }
    }

    @Test
    void closingWritesWhatWaits() throws Exception {
        Disk disk = new Disk();
        Committer committer = new Committer(disk.open(), disk, new Committer.CommitTiming(60_000, 5), h ->
                { });
        committer.put(Map.of("a", new byte[] {1}));
        committer.close();
        assertTrue(disk.kept.containsKey("a"));
    }
}
