package yewdock.sockets;

import java.util.Queue;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;

/**
 * What waits for the dispatcher's thread, in the order in which it came. News of discovery and the ends of
 * clients are urgent: they go before all that waits, in an order of their own, for neither a server that
 * drains nor a client that has left is to see the start of an attempt for what came earlier. Any thread may
 * add.
 */
final class TaskQueue {
    /** Work to do; the wire is the connection that it concerns, or null. */
    record Task(SessionWire wire, Runnable work) {
    }

    /** Wakes whoever waits for the other tasks; the urgent ones were taken before it. */
    private static final Task WAKE_UP = new Task(null, () -> { });

    private static final long URGENT_LOOK_MICROS = 1_000;

    private final BlockingDeque<Task> tasks = new LinkedBlockingDeque<>();
    private final Queue<Task> urgent = new ConcurrentLinkedQueue<>();

    void add(Task task) {
        tasks.add(task);
    }

    /** A task that was polled and not done is the first again, after the urgent ones. */
    void putBack(Task task) {
        tasks.addFirst(task);
    }

    void addUrgent(Task task) {
        urgent.add(task);
        tasks.addFirst(WAKE_UP);
    }

    /** How many wait that are not urgent. */
    int size() {
        return tasks.size();
    }

    /** How many urgent ones wait. */
    int urgentSize() {
        return urgent.size();
    }

    /** The next urgent task; null if none waits. */
    Task pollUrgent() {
        return urgent.poll();
    }

    /** The next urgent task, waited for; null if none comes so soon. What is not urgent keeps its place. */
    Task pollUrgent(long micros) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(micros);
        Task task = urgent.poll();
        while (task == null && System.nanoTime() < until) {
            TimeUnit.MICROSECONDS.sleep(Math.min(micros, URGENT_LOOK_MICROS));
            task = urgent.poll();
        }
        return task;
    }

    /** The next task, waited for; null if none comes so soon. */
    Task poll(long micros) throws InterruptedException {
        Task first = urgent.poll();
        if (first != null) {
            return first;
        }
        Task task = micros > 0 ? tasks.poll(micros, TimeUnit.MICROSECONDS) : tasks.poll();
        Task came = urgent.poll();
        if (came == null) {
            return task;
        }
        if (task != null && task != WAKE_UP) {
            tasks.addFirst(task);
        }
        return came;
    }
}
