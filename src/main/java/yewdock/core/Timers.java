package yewdock.core;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Timers, each with a task to run at a time in microseconds. Timers can't be cancelled: a task must itself
 * check whether it still applies.
 */
final class Timers {
    private record Due(long at, long order, Runnable task) {
    }

    private final PriorityQueue<Due> heap =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private long order;

    void runAt(long timeMicros, Runnable task) {
        heap.add(new Due(timeMicros, order++, task));
    }

    /** Returns the earliest timer's time, or Long.MAX_VALUE if there is none. */
    long nextTime() {
        return heap.isEmpty() ? Long.MAX_VALUE : heap.peek().at;
    }

    int size() {
        return heap.size();
    }

    /** Removes and returns the next task that is due, or null. */
    Runnable poll(long nowMicros) {
        return nextTime() <= nowMicros ? heap.poll().task : null;
    }
}
