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
 * The records of an instance: its own and replicas of the others'. Of two records with the same key the one
 * with the greater stamp wins, then the one of the instance whose name sorts later, then the one whose bytes
 * sort later. So merging is commutative, associative and idempotent, and does not depend on wall clocks. No
 * I/O. Not thread-safe.
 */
public final class ReplicatedRecords {
    /** The number of buckets that keys are hashed to; differences are found by comparing sums per bucket. */
    public static final int BUCKETS = 256;
    /** The largest serialized size of a record, in bytes. */
    public static final int MAX_RECORD_BYTES = 256 * 1024;
    private static final int MAX_KEY_LENGTH = 300;

    private final String instance;
    private final int maxRecords;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final long[] bucketSums = new long[BUCKETS];
    private long clock;
    private long horizon;
    private long bytes;
    private int tombstones;

    /** A record with its canonical bytes and their hash. */
    private record Entry(Kept kept, byte[] bytes, long hash, int bucket) {
    }

    /** The outcome of merging a record: stored, already known, older than the stored one, or refused. */
    public enum MergeResult { APPLIED, UNCHANGED, OUTDATED, REJECTED }

    /**
     * Creates an empty set of records.
     *
     * @param instance the name of this instance
     * @param maxRecords the maximum number of records, tombstones included
     */
    public ReplicatedRecords(String instance, int maxRecords) {
        this.instance = instance;
        this.maxRecords = maxRecords;
    }

    /** The name of this instance. */
    public String instance() {
        return instance;
    }

    /** Writes a record in this instance's name; sets the builder's key, stamp, instance and wall time. */
    public Kept write(String key, Kept.Builder content, long wall) {
        Kept kept = content.setKey(key).setStamp(++clock).setInstance(instance).setWall(wall).build();
        put(entry(kept));
        return kept;
    }

    /** Replaces the record of a key by a tombstone and returns that; null if there was no record. */
    public Kept delete(String key, long wall) {
        Kept before = get(key);
        return before == null ? null : write(key, Kept.newBuilder().setDropped(Dropped.getDefaultInstance()),
                wall);
    }

    /** Merges a record from another instance or from the disk. */
    public MergeResult merge(Kept kept) {
        String flaw = validate(kept);
        if (flaw != null) {
            return MergeResult.REJECTED;
        }
        Entry before = entries.get(kept.getKey());
        if (before == null && kept.hasDropped() && kept.getStamp() <= horizon) {
            return MergeResult.UNCHANGED;
        }
        if (before == null && entries.size() >= maxRecords) {
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

    /**
     * What is wrong with a record, or null. A stamp near the maximum is refused, as later writes could not
     * get a greater one.
     */
    public static String validate(Kept kept) {
        if (kept.getKey().isEmpty() || kept.getKey().length() > MAX_KEY_LENGTH) {
            return "key length " + kept.getKey().length() + " is out of range";
        }
        if (kept.getStamp() <= 0 || kept.getStamp() > Long.MAX_VALUE / 4) {
            return "invalid stamp " + kept.getStamp();
        }
        if (kept.getInstance().isEmpty() || kept.getInstance().length() > MAX_KEY_LENGTH) {
            return "instance name length " + kept.getInstance().length() + " is out of range";
        }
        if (kept.getWhatCase() == Kept.WhatCase.WHAT_NOT_SET) {
            return "no content that this version knows";
        }
        return kept.getSerializedSize() > MAX_RECORD_BYTES ? "size of "
                + kept.getSerializedSize() + " bytes is too large" : null;
    }

    private static int compare(Entry a, Entry b) {
        int order = compare(a.kept.getStamp(), a.kept.getInstance(), b.kept);
        return order != 0 ? order : Arrays.compare(a.bytes, b.bytes);
    }

    /** Orders a record with this stamp and instance against another; 0 if their bytes have to decide. */
    public static int compare(long stamp, String instance, Kept other) {
        int order = Long.compare(stamp, other.getStamp());
        return order != 0 ? order : instance.compareTo(other.getInstance());
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

    /** Serializes deterministically, with maps in key order, so that equal messages give equal bytes. */
    public static byte[] bytes(Message message) {
        byte[] bytes = new byte[message.getSerializedSize()];
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.useDeterministicSerialization();
        try {
            message.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to an array failed", e);
        }
        return bytes;
    }

    /** Parses a record written by {@link #bytes(Message)}. */
    public static Kept parse(byte[] bytes) throws InvalidProtocolBufferException {
        return Kept.parseFrom(bytes);
    }

    private static int bucket(String key) {
        return (int) (Hashing.xxh3_64().hashStream().putString(key).getAsLong() & BUCKETS - 1);
    }

    // ---- queries

    /** The record of a key; null if there is none or it is a tombstone. */
    public Kept get(String key) {
        Entry entry = entries.get(key);
        return entry == null || entry.kept.hasDropped() ? null : entry.kept;
    }

    /** The record or tombstone of a key; null if there is neither. */
    public Kept getWithTombstones(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.kept;
    }

    /** The records whose keys have this prefix, without tombstones, in key order. */
    public List<Kept> withPrefix(String prefix) {
        List<Kept> found = new ArrayList<>();
        for (Entry entry : entries.tailMap(prefix, true).values()) {
            if (!entry.kept.getKey().startsWith(prefix)) {
                break;
            }
            if (!entry.kept.hasDropped()) {
                found.add(entry.kept);
            }
        }
        return found;
    }

    /** All records after this key, tombstones included, in key order; "" for all. */
    public Iterable<Kept> recordsAfter(String key) {
        NavigableMap<String, Entry> tail = entries.tailMap(key, false);
        return () -> tail.values().stream().map(Entry::kept).iterator();
    }

    /** The number of records, tombstones included. */
    public int size() {
        return entries.size();
    }

    /** The number of tombstones. */
    public int tombstones() {
        return tombstones;
    }

    /** The serialized size of all records in bytes. */
    public long bytes() {
        return bytes;
    }

    /** The greatest stamp seen so far: a Lamport clock. */
    public long clock() {
        return clock;
    }

    // ---- comparing with another instance

    /** The sum of the records' hashes in each bucket. */
    public List<Long> bucketSums() {
        return Arrays.stream(bucketSums).boxed().toList();
    }

    /** The buckets whose sums differ from these. */
    public List<Integer> differingBuckets(List<Long> otherSums) {
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            if (otherSums.size() != BUCKETS || otherSums.get(i) != bucketSums[i]) {
                differing.add(i);
            }
        }
        return differing;
    }

    /** The records in each of these buckets, tombstones included; one pass over all records. */
    public SortedMap<Integer, List<Kept>> recordsInBuckets(Collection<Integer> buckets) {
        SortedMap<Integer, List<Kept>> byBucket = new TreeMap<>();
        buckets.forEach(bucket -> byBucket.put(bucket, new ArrayList<>()));
        for (Entry entry : entries.values()) {
            List<Kept> inBucket = byBucket.get(entry.bucket);
            if (inBucket != null) {
                inBucket.add(entry.kept);
            }
        }
        return byBucket;
    }

    /** The hash of the record of a key; 0 if there is none. */
    public long hash(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.hash;
    }

    // ---- purging tombstones

    /** The stamp up to which tombstones may have been purged here. */
    public long horizon() {
        return horizon;
    }

    /**
     * Purges the tombstones up to this stamp and returns their keys. To be called with a stamp up to which
     * every configured peer is known to have them, or with another instance's horizon.
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
        entries.forEach((key, entry) -> {
            if (entry.kept.hasDropped() && entry.kept.getStamp() <= upTo) {
                keys.add(key);
            }
        });
        keys.forEach(this::remove);
        return Collections.unmodifiableList(keys);
    }

    /**
     * Removes all records, tombstones included, except those with keys to keep, and returns the removed keys.
     * The Lamport clock is not reset, so that later writes don't count as old.
     */
    public List<String> removeExcept(Predicate<String> keep) {
        List<String> keys = entries.keySet().stream().filter(keep.negate()).toList();
        keys.forEach(this::remove);
        return keys;
    }
}
