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
 * Writes changes in groups on a thread of its own, so that nobody waits for the disk who doesn't want to. Of
 * a key that changes often only the last change is kept waiting, so what waits is bounded by what is kept.
 * When the store fails, all goes on from memory; it is opened anew every so often, and what has changed
 * since then is brought to it.
 */
public final class Committer implements Closeable {
    private static final int TIDY_EVERY = 500;
    private static final int TIDY_MILLIS = 200;

    /** How the store is: open, or why not (null: open). */
    public record StoreHealth(boolean open, StoreException.Kind kind, String why, long commits, long failures,
            long waiting) {
    }

    /** Times in milliseconds: how long changes are gathered, and after how long a failed store is tried. */
    public record CommitTiming(long gatherMillis, long retryMillis) {
    }

    private final KeyValueStore.StoreOpener opening;
    private final CommitTiming pace;
    private final Consumer<StoreHealth> changed;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition work = lock.newCondition();
    /** What the records are, as told to this; the store follows. */
    private final TreeMap<String, byte[]> wanted = new TreeMap<>();
    private Map<String, byte[]> waiting = new LinkedHashMap<>();
    private Map<Long, CompletableFuture<Void>> asked = new HashMap<>();
    private long put;
    private long durable;
    private long commits;
    private long failures;
    private StoreException trouble;
    private boolean closing;
    private KeyValueStore shelf;
    private final Thread thread;

    /** A committer for a store that is open already. */
    public Committer(KeyValueStore shelf, KeyValueStore.StoreOpener opening, CommitTiming pace,
            Consumer<StoreHealth> changed) {
        this(shelf, null, opening, pace, changed);
    }

    /** A committer for a store that could not be opened, and why. */
    public Committer(StoreException trouble, KeyValueStore.StoreOpener opening, CommitTiming pace,
            Consumer<StoreHealth> changed) {
        this(null, trouble, opening, pace, changed);
    }

    private Committer(KeyValueStore shelf, StoreException trouble, KeyValueStore.StoreOpener opening,
            CommitTiming pace,
            Consumer<StoreHealth> changed) {
        this.shelf = shelf;
        this.trouble = trouble;
        this.opening = opening;
        this.pace = pace;
        this.changed = changed;
        if (shelf != null) {
            wanted.putAll(shelf.all());
        }
        thread = new Thread(this::run, "store");
        thread.setDaemon(true);
        thread.start();
    }

    /** Keeps this, a null meaning a removal; returns a ticket for {@link #durable(long)}. Never waits. */
    public long put(Map<String, byte[]> changes) {
        lock.lock();
        try {
            changes.forEach((key, value) -> {
                if (value == null) {
                    wanted.remove(key);
                } else {
                    wanted.put(key, value);
                }
                waiting.put(key, value);
            });
            put++;
            work.signal();
            return put;
        } finally {
            lock.unlock();
        }
    }

    /** Done once all that was put up to this ticket is on the disk; while the store fails, it is not. */
    public CompletableFuture<Void> durable(long ticket) {
        lock.lock();
        try {
            if (ticket <= durable) {
                return CompletableFuture.completedFuture(null);
            }
            return asked.computeIfAbsent(ticket, t -> new CompletableFuture<>());
        } finally {
            lock.unlock();
        }
    }

    public StoreHealth health() {
        lock.lock();
        try {
            return new StoreHealth(trouble == null, trouble == null ? null : trouble.kind(),
                    trouble == null ? "" : trouble.getMessage(), commits, failures, waiting.size());
        } finally {
            lock.unlock();
        }
    }

    private void run() {
        while (true) {
            boolean last;
            lock.lock();
            try {
                if (trouble != null) {
                    waitOut(pace.retryMillis());
                } else {
                    while (waiting.isEmpty() && put == durable && !closing) {
                        work.await();
                    }
                    waitOut(pace.gatherMillis());
                }
                last = closing;
            } catch (InterruptedException e) {
                return;
            } finally {
                lock.unlock();
            }
            if (last && trouble != null) {
                return;
            }
            try {
                if (trouble != null) {
                    reopen();
                } else {
                    commit();
                }
            } catch (StoreException e) {
                failed(e);
            }
            if (last) {
                return;
            }
        }
    }

    /** Each change signals; they are not to be written, nor a store opened anew, once for each. */
    private void waitOut(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!closing && System.nanoTime() < end) {
            work.awaitNanos(end - System.nanoTime());
        }
    }

    private void commit() throws StoreException {
        Map<String, byte[]> group;
        long upTo;
        lock.lock();
        try {
            group = waiting;
            waiting = new LinkedHashMap<>();
            upTo = put;
        } finally {
            lock.unlock();
        }
        if (!group.isEmpty()) {
            shelf.write(group);
            commits++;
            if (commits % TIDY_EVERY == 0) {
                shelf.compactIfLarge(TIDY_MILLIS);
            }
        }
        done(upTo);
    }

    private void reopen() throws StoreException {
        KeyValueStore next = opening.open();
        try {
            Map<String, byte[]> changes = new LinkedHashMap<>();
            long upTo;
            lock.lock();
            try {
                Map<String, byte[]> there = next.all();
                there.keySet().stream().filter(k -> !wanted.containsKey(k)).forEach(k -> changes.put(k,
                        null));
                wanted.forEach((key, value) -> {
                    if (!Arrays.equals(value, there.get(key))) {
                        changes.put(key, value);
                    }
                });
                waiting = new LinkedHashMap<>();
                upTo = put;
            } finally {
                lock.unlock();
            }
            if (!changes.isEmpty()) {
                next.write(changes);
                commits++;
            }
            shelf = next;
            trouble = null;
            done(upTo);
            changed.accept(health());
        } catch (StoreException e) {
            next.close();
            throw e;
        }
    }

    private void failed(StoreException e) {
        boolean news;
        lock.lock();
        try {
            failures++;
            news = trouble == null || trouble.kind() != e.kind();
            trouble = e;
        } finally {
            lock.unlock();
        }
        if (shelf != null) {
            shelf.close();
            shelf = null;
        }
        if (news) {
            changed.accept(health());
        }
    }

    private void done(long upTo) {
        Map<Long, CompletableFuture<Void>> over = new HashMap<>();
        lock.lock();
        try {
            durable = Math.max(durable, upTo);
            asked.entrySet().removeIf(e -> {
                boolean is = e.getKey() <= durable;
                if (is) {
                    over.put(e.getKey(), e.getValue());
                }
                return is;
            });
        } finally {
            lock.unlock();
        }
        over.values().forEach(f -> f.complete(null));
    }

    /** Writes what waits, if the store is open, and closes it. */
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
        if (shelf != null) {
            shelf.close();
            shelf = null;
        }
    }
}
