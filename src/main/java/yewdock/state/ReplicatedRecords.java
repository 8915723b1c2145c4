package yewdock.state;

import com.dynatrace.hash4j.hashing.Hashing;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.NavigableMap;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import yewdock.wire.Dropped;
import yewdock.wire.Kept;

/**
 * The records that an instance keeps: its own, and copies of the others'. Of two records of one key that with
 * the greater stamp holds, then that of the instance whose name comes later, then the one with the greater
 * bytes; so merging gives the same in any order and however often, and no clock of a machine has a say. Pure:
 * no I/O, no clock. Not thread-safe.
 */
public final class ReplicatedRecords {
    /** Keys are dealt out to so many buckets; each has a sum, so that a difference is found by them. */
    public static final int BUCKETS = 256;
    /** A record with more bytes than this is refused. */
    public static final int MAX_RECORD_BYTES = 256 * 1024;
    private static final int LONGEST_KEY = 300;

    private final String instance;
    private final int most;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final long[] bucketSums = new long[BUCKETS];
    private long clock;
    private long horizon;
    private long bytes;
    private int tombstones;

    /** A record with its bytes in their one form, and their hash. */
    private record Entry(Kept kept, byte[] bytes, long hash, int bucket) {
    }

    /** What became of a record that came. */
    public enum MergeResult { APPLIED, UNCHANGED, OUTDATED, REJECTED }

    /** Records of this instance, so many of them at most. */
    public ReplicatedRecords(String instance, int most) {
        this.instance = instance;
        this.most = most;
    }

    public String instance() {
        return instance;
    }

    /** Writes a record of this instance's own; the builder's key, stamp and instance are set here. */
    public Kept write(String key, Kept.Builder content, long wall) {
        Kept kept = content.setKey(key).setStamp(++clock).setInstance(instance).setWall(wall).build();
        put(entry(kept));
        return kept;
    }

    /** Notes that a key holds nothing any more; null if it held nothing. */
    public Kept delete(String key, long wall) {
        Kept before = get(key);
        return before == null ? null : write(key, Kept.newBuilder().setDropped(Dropped.getDefaultInstance()),
                wall);
    }

    /** Takes a record that another instance, or the disk, has brought. */
    public MergeResult merge(Kept kept) {
        String why = validate(kept);
        if (why != null) {
            return MergeResult.REJECTED;
        }
        Entry before = entries.get(kept.getKey());
        if (before == null && kept.hasDropped() && kept.getStamp() <= horizon) {
            return MergeResult.UNCHANGED;
        }
        if (before == null && entries.size() >= most) {
            return MergeResult.REJECTED;
        }
        clock = Math.max(clock, kept.getStamp());
        Entry after = entry(kept);
        if (before != null) {
            int order = compare(before, after);
            if (order >= 0) {
                return order == 0 ? MergeResult.UNCHANGED : MergeResult.OUTDATED;
            }
        }
        put(after);
        return MergeResult.APPLIED;
    }

    /** What is wrong with a record, or null. A stamp near the end of the numbers would end all order. */
    public static String validate(Kept kept) {
        if (kept.getKey().isEmpty() || kept.getKey().length() > LONGEST_KEY) {
            return "a key of " + kept.getKey().length() + " characters";
        }
        if (kept.getStamp() <= 0 || kept.getStamp() > Long.MAX_VALUE / 4) {
            return "the stamp " + kept.getStamp();
        }
        if (kept.getInstance().isEmpty() || kept.getInstance().length() > LONGEST_KEY) {
            return "an instance's name of " + kept.getInstance().length() + " characters";
        }
        if (kept.getWhatCase() == Kept.WhatCase.WHAT_NOT_SET) {
            return "nothing in it that this program knows";
        }
        return kept.getSerializedSize() > MAX_RECORD_BYTES ? "a size of " + kept.getSerializedSize()
                + " bytes"
                : null;
    }

    private static int compare(Entry a, Entry b) {
        int order = compare(a.kept.getStamp(), a.kept.getInstance(), b.kept);
        return order != 0 ? order : Arrays.compare(a.bytes, b.bytes);
    }

    /** Which comes later, one with this stamp, of this instance, or that: 0 if only their bytes can tell. */
    public static int compare(long stamp, String instance, Kept that) {
        int order = Long.compare(stamp, that.getStamp());
        return order != 0 ? order : instance.compareTo(that.getInstance());
    }

    private void put(Entry entry) {
        remove(entry.kept.getKey());
        entries.put(entry.kept.getKey(), entry);
        bucketSums[entry.bucket] += entry.hash;
        bytes += entry.bytes.length;
        tombstones += entry.kept.hasDropped() ? 1 : 0;
    }

    private void remove(String key) {
        Entry before = entries.remove(key);
        if (before != null) {
            bucketSums[before.bucket] -= before.hash;
            bytes -= before.bytes.length;
            tombstones -= before.kept.hasDropped() ? 1 : 0;
        }
    }

    private static Entry entry(Kept kept) {
        byte[] bytes = bytes(kept);
        return new Entry(kept, bytes, Hashing.xxh3_64().hashBytesToLong(bytes), bucket(kept.getKey()));
    }

    /** One form for one content: maps in the order of their keys. */
    public static byte[] bytes(Message kept) {
        byte[] bytes = new byte[kept.getSerializedSize()];
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.useDeterministicSerialization();
        try {
            kept.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("an array can't fail", e);
        }
        return bytes;
    }

    /** Reads what {@link #bytes(Kept)} has written. */
    public static Kept parse(byte[] bytes) throws InvalidProtocolBufferException {
        return Kept.parseFrom(bytes);
    }

    private static int bucket(String key) {
        return (int) (Hashing.xxh3_64().hashStream().putString(key).getAsLong() & BUCKETS - 1);
    }

    // ---- reading

    /** What a key holds, or null; a tombstone is nothing. */
    public Kept get(String key) {
        Entry entry = entries.get(key);
        return entry == null || entry.kept.hasDropped() ? null : entry.kept;
    }

    /** What a key holds, tombstones too, or null. */
    public Kept getWithTombstones(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.kept;
    }

    /** All whose keys begin so, without tombstones, in the order of the keys. */
    public List<Kept> withPrefix(String beginning) {
        List<Kept> found = new ArrayList<>();
        for (Entry e : entries.tailMap(beginning, true).values()) {
            if (!e.kept.getKey().startsWith(beginning)) {
                break;
            }
            if (!e.kept.hasDropped()) {
                found.add(e.kept);
            }
        }
        return found;
    }

    /** All records after this key, tombstones too, in the order of the keys; "" for all. */
    public Iterable<Kept> recordsAfter(String key) {
        NavigableMap<String, Entry> tail = entries.tailMap(key, false);
        return () -> tail.values().stream().map(Entry::kept).iterator();
    }

    public int size() {
        return entries.size();
    }

    public int tombstones() {
        return tombstones;
    }

    /** Bytes of all records as they are sent and stored. */
    public long bytes() {
        return bytes;
    }

    /** The greatest stamp seen. */
    public long clock() {
        return clock;
    }

    // ---- comparing with another instance's

    /** A sum for each bucket. */
    public List<Long> bucketSums() {
        return Arrays.stream(bucketSums).boxed().toList();
    }

    /** Buckets whose sums are not those. */
    public List<Integer> differingBuckets(List<Long> others) {
        List<Integer> found = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            if (others.size() != BUCKETS || others.get(i) != bucketSums[i]) {
                found.add(i);
            }
        }
        return found;
    }

    /** The records of each of these buckets, in one pass over all. */
    public SortedMap<Integer, List<Kept>> recordsInBuckets(Collection<Integer> buckets) {
        SortedMap<Integer, List<Kept>> found = new TreeMap<>();
        buckets.forEach(b -> found.put(b, new ArrayList<>()));
        for (Entry e : entries.values()) {
            List<Kept> wanted = found.get(e.bucket);
            if (wanted != null) {
                wanted.add(e.kept);
            }
        }
        return found;
    }

    /** The hash of what a key holds, 0 for nothing. */
    public long hash(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.hash;
    }

    // ---- forgetting removals

    /** Tombstones up to this stamp may be missing here. */
    public long horizon() {
        return horizon;
    }

    /**
     * Forgets the tombstones up to this stamp; to be called with a stamp at which every named instance is
     * known to have had them, or with the horizon of another instance. Returns the keys forgotten.
     */
    public List<String> purgeTombstones(long upTo) {
        if (upTo <= horizon) {
            return List.of();
        }
        horizon = upTo;
        clock = Math.max(clock, upTo);
        if (tombstones == 0) {
            return List.of();
        }
        List<String> keys = new ArrayList<>();
        entries.forEach((key, e) -> {
            if (e.kept.hasDropped() && e.kept.getStamp() <= upTo) {
                keys.add(key);
            }
        });
        keys.forEach(this::remove);
        return Collections.unmodifiableList(keys);
    }

    /**
     * Removes all but the keys to be kept, and returns which; the clock stays, so that nothing written from
     * now on counts as old.
     */
    public List<String> removeExcept(Predicate<String> keep) {
        List<String> keys = entries.keySet().stream().filter(keep.negate()).toList();
        keys.forEach(this::remove);
        return keys;
    }
}
