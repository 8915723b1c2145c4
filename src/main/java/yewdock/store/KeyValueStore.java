package yewdock.store;

import java.io.Closeable;
import java.util.Map;
import java.util.SortedMap;

/**
 * Where records lie, as the committer sees it: a {@link RecordFile}, or in tests one that fails when told.
 */
public interface KeyValueStore extends Closeable {
    /** Opens it. */
    interface StoreOpener {
        KeyValueStore open() throws StoreException;
    }

    /** All that is kept, in the order of the keys. */
    SortedMap<String, byte[]> all();

    /**
     * Keeps all of this or none; a null removes. Returns the number of the commit, which is on the disk when
     * this returns.
     */
    long write(Map<String, byte[]> changes) throws StoreException;

    /** Gives room back that old commits take, in so many milliseconds at most. */
    void compactIfLarge(int mostMillis) throws StoreException;

    /** How many bytes it takes. */
    long bytes();

    @Override
    void close();
}
