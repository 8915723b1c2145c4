package yewdock.council;

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
import yewdock.store.Shelf;
import yewdock.store.Store;
import yewdock.store.StoreException;

class RaftDiskTest {
    private boolean failing;

    /** A folder can be open only once: a failed attempt that kept it open would make every later one fail. */
    @Test
    void reopeningIsRetriedUntilTheDiskWorks(@TempDir Path folder) throws Exception {
        RaftDisk first = new RaftDisk(() -> {
            if (failing) {
                throw new StoreException(StoreException.Kind.UNWRITABLE, "no room");
            }
            return Store.open(folder);
        });
        String number = first.number("a");
        failing = true;
        assertThrows(IOException.class, first::reopen);
        assertTrue(first.failed(), "a member without a disk must not pass for a new one");
        assertThrows(IOException.class, first::reopen);
        failing = false;
        RaftDisk second = first.reopen();
        assertFalse(second.failed());
        assertEquals(number, second.number("b"));
        RaftDisk third = second.reopen();
        assertEquals(number, third.number("c"));
        third.close();
    }

    /** The store opened by an attempt is closed again when the attempt's write fails. */
    @Test
    void anAttemptWhoseWriteFailsLeavesNothingOpen(@TempDir Path folder) throws Exception {
        int[] openStores = {0};
        RaftDisk first = new RaftDisk(() -> new CountingStore(Store.open(folder), openStores));
        failing = true;
        assertThrows(IOException.class, first::reopen);
        assertEquals(0, openStores[0]);
        failing = false;
        first.reopen().close();
        assertEquals(0, openStores[0]);
    }

    /** A store that counts open stores and fails every write while {@link #failing}. */
    private final class CountingStore implements Shelf {
        private final Shelf store;
        private final int[] openStores;
        private boolean isOpen = true;

        CountingStore(Shelf store, int[] openStores) {
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
        public void tidy(int mostMillis) throws StoreException {
            store.tidy(mostMillis);
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
