package yewdock.store;

import java.io.Closeable;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Commits changes in groups on a thread of its own, so that callers don't wait for the disk unless they ask
 * to. Only the last pending change of a key is kept, so the queue is never larger than the set of keys. While
 * the store fails, changes are kept in memory; the store is reopened at intervals, and then brought up to
 * date.
 */
public final class Committer implements Closeable {
    private static final int COMMITS_PER_COMPACTION = 500;
    private static final int COMPACTION_MILLIS = 200;

    /**
     * The health of the store.
     *
     * @param open whether the store takes writes
     * @param kind the kind of the last failure; null while open
     * @param why the message of the last failure; empty while open
     * @param commits how many commits were made
     * @param failures how many times opening or writing has failed
     * @param waiting how many keys have changes that are not committed yet
     */
    public record StoreHealth(boolean open, StoreException.Kind kind, String why, long commits, long failures,
            long waiting) {
    }

    /**
     * The timing of commits, in milliseconds.
     *
     * @param gatherMillis how long changes are collected before a commit
     * @param retryMillis after how long a failed store is reopened
     */
    public record CommitTiming(long gatherMillis, long retryMillis) {
    }

    private final KeyValueStore.StoreOpener opener;
    private final CommitTiming timing;
    private final Consumer<StoreHealth> healthListener;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition work = lock.newCondition();
    /** What the store should hold once all changes are committed. */
    private final TreeMap<String, byte[]> target = new TreeMap<>();
    private Map<String, byte[]> pending = new LinkedHashMap<>();
    /** Futures of callers that wait for a ticket to become durable. */
    private Map<Long, CompletableFuture<Void>> durableFutures = new HashMap<>();
    /** The last ticket given out, and the last one whose changes are on disk. */
    private long lastTicket;
    private long durableTicket;
    private long commits;
    private long failures;
    private StoreException failure;
    private boolean closing;
    private KeyValueStore store;
    private final Thread thread;

    /**
     * A committer for an open store, which it closes in the end.
     *
     * @param healthListener called on the committer's thread when the store fails or recovers
     */
    public Committer(KeyValueStore store, KeyValueStore.StoreOpener opener, CommitTiming timing,
            Consumer<StoreHealth> healthListener) {
        this(store, null, opener, timing, healthListener);
    }

    /** A committer for a store that could not be opened; it is opened later. */
    public Committer(StoreException failure, KeyValueStore.StoreOpener opener, CommitTiming timing,
            Consumer<StoreHealth> healthListener) {
        this(null, failure, opener, timing, healthListener);
    }

    private Committer(KeyValueStore store, StoreException failure, KeyValueStore.StoreOpener opener,
            CommitTiming timing, Consumer<StoreHealth> healthListener) {
        this.store = store;
        this.failure = failure;
        this.opener = opener;
        this.timing = timing;
        this.healthListener = healthListener;
        if (store != null) {
            target.putAll(store.all());
        }
        thread = new Thread(this::run, "store");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues changes; a null value removes the key. Returns a ticket for {@link #durable}. Never blocks. */
    public long put(Map<String, byte[]> changes) {
        lock.lock();
        try {
            changes.forEach((key, value) -> {
                if (value == null) {
                    target.remove(key);
                } else {
                    target.put(key, value);
                }
                pending.put(key, value);
            });
            lastTicket++;
            work.signal();
            return lastTicket;
        } finally {
            lock.unlock();
        }
    }

    /** Completes once all changes up to this ticket are on disk; if the store fails, after it recovers. */
    public CompletableFuture<Void> durable(long ticket) {
        lock.lock();
        try {
            if (ticket <= durableTicket) {
                return CompletableFuture.completedFuture(null);
            }
            return durableFutures.computeIfAbsent(ticket, t -> new CompletableFuture<>());
        } finally {
            lock.unlock();
        }
    }

    /** The current health of the store. */
    public StoreHealth health() {
        lock.lock();
        try {
            return new StoreHealth(failure == null, failure == null ? null : failure.kind(),
                    failure == null ? "" : failure.getMessage(), commits, failures, pending.size());
        } finally {
            lock.unlock();
        }
    }

    private void run() {
        while (true) {
            boolean finalRun;
            lock.lock();
            try {
                if (failure != null) {
                    pause(timing.retryMillis());
                } else {
                    while (pending.isEmpty() && lastTicket == durableTicket && !closing) {
                        work.await();
                    }
                    pause(timing.gatherMillis());
                }
                finalRun = closing;
            } catch (InterruptedException e) {
                return;
            } finally {
                lock.unlock();
            }
            if (finalRun && failure != null) {
                return;
            }
            try {
                if (failure != null) {
                    reopen();
                } else {
                    commit();
                }
            } catch (StoreException e) {
                handleFailure(e);
            }
            if (finalRun) {
                return;
            }
        }
    }

    /**
     * Waits this long, or until the committer is closed. Every change signals the condition but must not end
     * the wait, or each change would cause a commit or an attempt to reopen the store.
     */
    private void pause(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!closing && System.nanoTime() < end) {
            work.awaitNanos(end - System.nanoTime());
        }
    }

    private void commit() throws StoreException {
        Map<String, byte[]> changes;
        long upTo;
        lock.lock();
        try {
            changes = pending;
            pending = new LinkedHashMap<>();
            upTo = lastTicket;
        } finally {
            lock.unlock();
        }
        if (!changes.isEmpty()) {
            store.write(changes);
            commits++;
            if (commits % COMMITS_PER_COMPACTION == 0) {
                store.compactIfLarge(COMPACTION_MILLIS);
            }
        }
        completeUpTo(upTo);
    }

    /** Opens the store again and writes what differs from the target. */
    private void reopen() throws StoreException {
        KeyValueStore next = opener.open();
        try {
            Map<String, byte[]> changes = new LinkedHashMap<>();
            long upTo;
            lock.lock();
            try {
                Map<String, byte[]> stored = next.all();
                stored.keySet().stream().filter(k -> !target.containsKey(k)).forEach(
                        k -> changes.put(k, null));
                target.forEach((key, value) -> {
                    if (!Arrays.equals(value, stored.get(key))) {
                        changes.put(key, value);
                    }
                });
                pending = new LinkedHashMap<>();
                upTo = lastTicket;
            } finally {
                lock.unlock();
            }
            if (!changes.isEmpty()) {
                next.write(changes);
                commits++;
            }
            store = next;
            failure = null;
            completeUpTo(upTo);
            healthListener.accept(health());
        } catch (StoreException e) {
            next.close();
            throw e;
        }
    }

    private void handleFailure(StoreException e) {
        boolean healthChanged;
        lock.lock();
        try {
            failures++;
            healthChanged = failure == null || failure.kind() != e.kind();
            failure = e;
        } finally {
            lock.unlock();
        }
        if (store != null) {
            store.close();
            store = null;
        }
        if (healthChanged) {
            healthListener.accept(health());
        }
    }

    /** Marks all changes up to this ticket as durable and completes their futures. */
    private void completeUpTo(long upTo) {
        Map<Long, CompletableFuture<Void>> completed = new HashMap<>();
        lock.lock();
        try {
            durableTicket = Math.max(durableTicket, upTo);
            durableFutures.entrySet().removeIf(e -> {
                boolean isDurable = e.getKey() <= durableTicket;
                if (isDurable) {
                    completed.put(e.getKey(), e.getValue());
                }
                return isDurable;
            });
        } finally {
            lock.unlock();
        }
        completed.values().forEach(f -> f.complete(null));
    }

    /** Commits pending changes if the store is open, and closes it. */
    @Override
    public void close() {
        lock.lock();
        try {
            closing = true;
            work.signal();
        } finally {
            lock.unlock();
        }
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (store != null) {
            store.close();
            store = null;
        }
    }
}
