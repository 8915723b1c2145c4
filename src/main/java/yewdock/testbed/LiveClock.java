package yewdock.testbed;

import java.io.Closeable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import yewdock.model.Calendar;

/**
 * Lets a calendar's things happen in real time, on a thread of its own; whoever else touches them goes
 * through it.
 */
final class LiveClock implements Closeable {
    private final Calendar calendar;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private volatile long began;
    private boolean closed;
    private long latest;

    LiveClock(Calendar calendar) {
        this.calendar = calendar;
    }

    /** From here on time passes. */
    void start() {
        began = System.nanoTime();
        Thread thread = new Thread(this::run, "live clock");
        thread.setDaemon(true);
        thread.start();
    }

    /** Microseconds since the start; 0 before it. */
    long now() {
        return began == 0 ? 0 : (System.nanoTime() - began) / 1000;
    }

    private void run() {
        lock.lock();
        try {
            while (!closed) {
                long due = calendar.nextAt();
                long wait = due - now();
                if (wait > 0) {
                    changed.await(due == Long.MAX_VALUE ? 1_000_000 : wait, TimeUnit.MICROSECONDS);
                } else {
                    latest = Math.max(latest, -wait);
                    calendar.runTo(now());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    /** Does something at the calendar's present. */
    <T> T with(Supplier<T> what) {
        lock.lock();
        try {
            calendar.runTo(now());
            T result = what.get();
            changed.signal();
            return result;
        } finally {
            lock.unlock();
        }
    }

    /** The most that something happened too late, in microseconds: a busy machine shows here. */
    long latest() {
        lock.lock();
        try {
            return latest;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            changed.signal();
        } finally {
            lock.unlock();
        }
    }
}
