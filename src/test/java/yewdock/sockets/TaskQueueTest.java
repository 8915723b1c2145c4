package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yewdock.sockets.TaskQueue.Task;

/** Urgent tasks go before what came earlier, each of the two in its own order. */
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
    void waitingForUrgentTasksLeavesTheOthersInTheirPlaces() throws Exception {
        queue.add(task("request 1"));
        assertNull(queue.pollUrgent(2_000));
        queue.addUrgent(task("news"));
        queue.pollUrgent(2_000).work().run();
        runAll();
        assertEquals(List.of("news", "request 1"), done);
    }

    @Test
    void anUrgentTaskWakesWhoWaits() throws Exception {
        Thread adds = new Thread(() -> queue.addUrgent(task("news")));
        adds.start();
        Task came = queue.poll(20_000_000);
        while (came != null && done.isEmpty()) {
            came.work().run();
            came = queue.poll(0);
        }
        adds.join();
        assertEquals(List.of("news"), done);
    }
}
