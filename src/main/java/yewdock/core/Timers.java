package yewdock.core;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Times to come, each with what is due then; what has become pointless must see so for itself. */
final class Timers {
    private record Due(long at, long order, Runnable task) {
    }

    private final PriorityQueue<Due> heap =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private long order;

    void at(long time, Runnable task) {
        heap.add(new Due(time, order++, task));
    }

    long next() {
        return heap.isEmpty() ? Long.MAX_VALUE : heap.peek().at;
    }

    int size() {
        return heap.size();
    }

    /** Takes the next task that is due, or null. */
    Runnable poll(long now) {
        return next() <= now ? heap.poll().task : null;
    }
}
