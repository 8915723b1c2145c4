package yewdock.store;

import java.io.Closeable;
import java.util.Map;
import java.util.SortedMap;

/** A durable key-value store: a {@link RecordFile}, or in tests one that fails on demand. */
public interface KeyValueStore extends Closeable {
    /** Opens a store. */
    interface StoreOpener {
        /** Opens the store; the caller closes it. */
        KeyValueStore open() throws StoreException;
    }

    /** All entries, in key order. */
    SortedMap<String, byte[]> all();

    /**
     * Writes all of the changes atomically, or none; a null value removes the key. Returns the number of the
     * commit, which is on disk by then.
     */
    long write(Map<String, byte[]> changes) throws StoreException;

    /** Frees space taken by old commits if it is worth it, for at most this many milliseconds. */
    void compactIfLarge(int maxMillis) throws StoreException;

    /** The size of the store in bytes. */
    long bytes();

    /** Closes the store. */
    @Override
    void close();
}
