package yewdock.testbed;

import java.io.Closeable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import yewdock.model.EventCalendar;

/**
 * Runs the events of a simulation's calendar in real time, on a thread of its own. The simulation is not
 * thread-safe, so all other access to it goes through {@link #callLocked}.
 */
final class RealTimeDriver implements Closeable {
    private final EventCalendar calendar;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private volatile long startedAtNanos;
    private boolean closed;
    private long maxDelayMicros;

    RealTimeDriver(EventCalendar calendar) {
        this.calendar = calendar;
    }

    /** Starts the clock and the thread that runs due events. */
    void start() {
        startedAtNanos = System.nanoTime();
        Thread thread = new Thread(this::run, "live clock");
        thread.setDaemon(true);
        thread.start();
    }

    /** Microseconds since {@link #start}; 0 before it. */
    long nowMicros() {
        return startedAtNanos == 0 ? 0 : (System.nanoTime() - startedAtNanos) / 1000;
    }

    private void run() {
        lock.lock();
        try {
            while (!closed) {
                long dueMicros = calendar.nextTimeMicros();
                long waitMicros = dueMicros - nowMicros();
                if (waitMicros > 0) {
                    changed.await(dueMicros == Long.MAX_VALUE ? 1_000_000 : waitMicros,
                            TimeUnit.MICROSECONDS);
                } else {
                    maxDelayMicros = Math.max(maxDelayMicros, -waitMicros);
                    calendar.runUntil(nowMicros());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    /** Runs all events that are due, then the action, under the lock of the simulation. */
    <T> T callLocked(Supplier<T> action) {
        lock.lock();
        try {
            calendar.runUntil(nowMicros());
            T result = action.get();
            changed.signal();
            return result;
        } finally {
            lock.unlock();
        }
    }

    /** The longest delay of an event beyond its due time, in microseconds; it is high on a busy machine. */
    long maxDelayMicros() {
        lock.lock();
        try {
            return maxDelayMicros;
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
