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

class RaftDiskTest {
    private boolean shut;

    /** A folder can be open once: a try that failed and kept it open would keep out every later one. */
    @Test
    void aDiskThatCannotBeOpenedOrWrittenIsTriedAgainUntilItCan(@TempDir Path folder) throws Exception {
        DurableRaftStore first = new DurableRaftStore(() -> {
            if (shut) {
                throw new StoreException(StoreException.Kind.UNWRITABLE, "no room");
            }
            return RecordFile.open(folder);
        });
        String number = first.number("a");
        shut = true;
        assertThrows(IOException.class, first::anew);
        assertTrue(first.broken(), "a member without a disk would take itself for a new one");
        assertThrows(IOException.class, first::anew);
        shut = false;
        DurableRaftStore second = first.anew();
        assertFalse(second.broken());
        assertEquals(number, second.number("b"));
        DurableRaftStore third = second.anew();
        assertEquals(number, third.number("c"));
        third.close();
    }

    /** What was opened for a try is closed again when its write fails. */
    @Test
    void aTryWhoseWriteFailsLeavesNothingOpen(@TempDir Path folder) throws Exception {
        int[] open = {0};
        DurableRaftStore first = new DurableRaftStore(() -> new Counted(RecordFile.open(folder), open));
        shut = true;
        assertThrows(IOException.class, first::anew);
        assertEquals(0, open[0]);
        shut = false;
        first.anew().close();
        assertEquals(0, open[0]);
    }

    /** A shelf that counts itself, and takes no write while shut. */
    private final class Counted implements KeyValueStore {
        private final KeyValueStore shelf;
        private final int[] count;
        private boolean isOpen = true;

        Counted(KeyValueStore shelf, int[] count) {
            this.shelf = shelf;
            this.count = count;
            count[0]++;
        }

        @Override
        public SortedMap<String, byte[]> all() {
            return shelf.all();
        }

        @Override
        public long write(Map<String, byte[]> changes) throws StoreException {
            if (shut) {
                throw new StoreException(StoreException.Kind.UNWRITABLE, "no room");
            }
            return shelf.write(changes);
        }

        @Override
        public void compactIfLarge(int mostMillis) throws StoreException {
            shelf.compactIfLarge(mostMillis);
        }

        @Override
        public long bytes() {
            return shelf.bytes();
        }

        @Override
        public void close() {
            count[0] -= isOpen ? 1 : 0;
            isOpen = false;
            shelf.close();
        }
    }
}
