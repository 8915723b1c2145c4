package yewdock.sockets;

import java.util.Queue;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;

/**
 * The queue of the dispatcher's tasks, in the order of their arrival. Discovery responses and disconnects of
 * clients are urgent: they go before all others, in their own order, so that no earlier task starts an
 * attempt to a server that drains or for a client that has left. Any thread may add tasks.
 */
final class TaskQueue {
    /** Work to do; the connection is the one that it concerns and that a fault closes, or null. */
    record Task(MinaConnection connection, Runnable work) {
    }

    /** Wakes the thread that waits in {@link #poll}; urgent tasks are taken from their own queue. */
    private static final Task WAKE_UP = new Task(null, () -> { });

    private static final long URGENT_POLL_MICROS = 1_000;

    private final BlockingDeque<Task> tasks = new LinkedBlockingDeque<>();
    private final Queue<Task> urgent = new ConcurrentLinkedQueue<>();

    void add(Task task) {
        tasks.add(task);
    }

    /** Puts a polled task that was not run back to the front, behind the urgent ones. */
    void putBack(Task task) {
        tasks.addFirst(task);
    }

    void addUrgent(Task task) {
        urgent.add(task);
        tasks.addFirst(WAKE_UP);
    }

    /** The number of queued tasks that are not urgent, including wake-ups. */
    int size() {
        return tasks.size();
    }

    /** The number of queued urgent tasks. */
    int urgentSize() {
        return urgent.size();
    }

    /** Takes the next urgent task; null if there is none. */
    Task pollUrgent() {
        return urgent.poll();
    }

    /** Waits for the next urgent task; null on timeout. The other tasks keep their places. */
    Task pollUrgent(long timeoutMicros) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(timeoutMicros);
        Task task = urgent.poll();
        while (task == null && System.nanoTime() < until) {
            TimeUnit.MICROSECONDS.sleep(Math.min(timeoutMicros, URGENT_POLL_MICROS));
            task = urgent.poll();
        }
        return task;
    }

    /** Waits for the next task; null on timeout. */
    Task poll(long timeoutMicros) throws InterruptedException {
        Task first = urgent.poll();
        if (first != null) {
            return first;
        }
        Task task = timeoutMicros > 0 ? tasks.poll(timeoutMicros, TimeUnit.MICROSECONDS) : tasks.poll();
        Task lateUrgent = urgent.poll();
        if (lateUrgent == null) {
            return task;
        }
        if (task != null && task != WAKE_UP) {
            tasks.addFirst(task);
        }
        return lateUrgent;
    }
}
