package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yewdock.sockets.TaskQueue.Task;

/** Urgent tasks go before earlier ones that are not urgent; each kind keeps its order. */
class TaskQueueTest {
    private final TaskQueue queue = new TaskQueue();
    private final List<String> done = new ArrayList<>();

    private Task task(String name) {
        return new Task(null, () -> done.add(name));
    }

    private void runAll() throws InterruptedException {
        for (Task next = queue.poll(0); next != null; next = queue.poll(0)) {
            next.work().run();
        }
    }

    @Test
    void urgentTasksGoFirstInTheirOrder() throws Exception {
        queue.add(task("request 1"));
        queue.addUrgent(task("news 1"));
        queue.add(task("request 2"));
        queue.addUrgent(task("news 2"));
        queue.putBack(task("put back"));
        runAll();
        assertEquals(List.of("news 1", "news 2", "put back", "request 1", "request 2"), done);
    }

    @Test
    void waitingForUrgentTasksKeepsTheOrderOfOthers() throws Exception {
        queue.add(task("request 1"));
        assertNull(queue.pollUrgent(2_000));
        queue.addUrgent(task("news"));
        queue.pollUrgent(2_000).work().run();
        runAll();
        assertEquals(List.of("news", "request 1"), done);
    }

    @Test
    void anUrgentTaskWakesAWaitingPoll() throws Exception {
        Thread adder = new Thread(() -> queue.addUrgent(task("news")));
        adder.start();
        Task task = queue.poll(20_000_000);
        while (task != null && done.isEmpty()) {
            task.work().run();
            task = queue.poll(0);
        }
        adder.join();
        assertEquals(List.of("news"), done);
    }
}
