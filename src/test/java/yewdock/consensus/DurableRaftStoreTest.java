package yewdock.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.SortedMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewdock.store.KeyValueStore;
import yewdock.store.RecordFile;
import yewdock.store.StoreException;

class DurableRaftStoreTest {
    private boolean failing;

    /** A folder can be open only once: a failed attempt that kept it open would make every later one fail. */
    @Test
    void reopeningIsRetriedUntilTheDiskWorks(@TempDir Path folder) throws Exception {
        DurableRaftStore first = new DurableRaftStore(() -> {
            if (failing) {
                throw new StoreException(StoreException.Kind.UNWRITABLE, "no room");
            }
            return RecordFile.open(folder);
        });
        String number = first.diskNumber("a");
        failing = true;
        assertThrows(IOException.class, first::reopen);
        assertTrue(first.failed(), "a member without a disk must not pass for a new one");
        assertThrows(IOException.class, first::reopen);
        failing = false;
        DurableRaftStore second = first.reopen();
        assertFalse(second.failed());
        assertEquals(number, second.diskNumber("b"));
        DurableRaftStore third = second.reopen();
        assertEquals(number, third.diskNumber("c"));
        third.close();
    }

    /** The store opened by an attempt is closed again when the attempt's write fails. */
    @Test
    void anAttemptWhoseWriteFailsLeavesNothingOpen(@TempDir Path folder) throws Exception {
        int[] openStores = {0};
        DurableRaftStore first = new DurableRaftStore(() -> new CountingStore(RecordFile.open(folder),
                openStores));
        failing = true;
        assertThrows(IOException.class, first::reopen);
        assertEquals(0, openStores[0]);
        failing = false;
        first.reopen().close();
        assertEquals(0, openStores[0]);
    }

    /** A store that counts open stores and fails every write while {@link #failing}. */
    private final class CountingStore implements KeyValueStore {
        private final KeyValueStore store;
        private final int[] openStores;
        private boolean isOpen = true;

        CountingStore(KeyValueStore store, int[] openStores) {
            this.store = store;
            this.openStores = openStores;
            openStores[0]++;
        }

        @Override
        public SortedMap<String, byte[]> all() {
            return store.all();
        }

        @Override
        public long write(Map<String, byte[]> changes) throws StoreException {
            if (failing) {
                throw new StoreException(StoreException.Kind.UNWRITABLE, "no room");
            }
            return store.write(changes);
        }

        @Override
        public void compactIfLarge(int maxMillis) throws StoreException {
            store.compactIfLarge(maxMillis);
        }

        @Override
        public long bytes() {
            return store.bytes();
        }

        @Override
        public void close() {
            openStores[0] -= isOpen ? 1 : 0;
            isOpen = false;
            store.close();
        }
    }
}
