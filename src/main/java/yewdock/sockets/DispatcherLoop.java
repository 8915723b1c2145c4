package yewdock.sockets;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import yewdock.core.Event;
import yewdock.core.Reducer;
import yewdock.platform.Arrival;
import yewdock.sockets.TaskQueue.Task;

/**
 * The one thread on which the front and the desk run: it does what waits in the queue, and what has come due.
 *
 * <p>The process may stand still between any two instructions. News of discovery, clients' ends, requests and
 * answers then wait in sockets beside times that have come. After a pause the news and the ends are read
 * first, then what else has come is done, then what is due.
 */
final class DispatcherLoop {
    /** A pause of the process that falls into a sleep is not seen: it can't be longer than this. */
    private static final long LONGEST_SLEEP = 100_000;
    /** After so long without a look at what has come, the sockets are read before anything else is done. */
    private static final long LONGEST_WITHOUT_NEWS = 100_000;
    private static final long READ_MILLIS = 10;
    /** A shorter pause makes no difference to anyone's time. */
    private static final long SHORTEST_PAUSE = 50_000;
    /** So long after a pause all that came in it has been accepted and read. */
    private static final long READ_AFTER_PAUSE = 100_000;
    /** For so long nothing else is done while discovery is asked for what a pause may have hidden. */
    private static final long CATCH_UP = 250_000;

    private final TaskQueue queue;
    private final WholeReads processor;
    private final LongSupplier clock;
    /** Takes events to the front. */
    private final Consumer<Event> happened;
    /** When the task that is being done was begun: all news that was there before has been read. */
    private long decidingSince;
    /** The last time in which the process stood still, and what came then was not read. */
    private long pausedFrom;
    private long pausedUntil;
    private boolean stopped;

    DispatcherLoop(TaskQueue queue, WholeReads processor, LongSupplier clock, Consumer<Event> happened) {
        this.queue = queue;
        this.processor = processor;
        this.clock = clock;
        this.happened = happened;
    }

    /** When the task that is being done was begun. */
    long decidingSince() {
        return decidingSince;
    }

    /** No more is done after the present task. */
    void stop() {
        stopped = true;
    }

    /** Works until it is stopped. */
    void run(Reducer desk) {
        decidingSince = clock.getAsLong();
        while (!stopped) {
            try {
                step(desk);
            } catch (InterruptedException e) {
                Logger.warn("the dispatcher's thread was interrupted");
            }
        }
    }

    private void step(Reducer desk) throws InterruptedException {
        long sleep = Math.max(0, Math.min(desk.nextTimerDue() - clock.getAsLong(), LONGEST_SLEEP));
        Task task = queue.poll(sleep);
        // counted from before the last task: the process may have stood still in the midst of it
        long unread = clock.getAsLong() - decidingSince;
        if (unread > LONGEST_WITHOUT_NEWS) {
            if (task != null) {
                queue.putBack(task);
            }
            catchUp(desk, unread - sleep);
            task = queue.poll(0);
        }
        decidingSince = clock.getAsLong();
        if (task != null) {
            run(task);
        }
        if (desk.nextTimerDue() <= clock.getAsLong()) {
            run(new Task(null, () -> happened.accept(new Event.Tick())));
        }
    }

    /** The process may have stood still for so long; negative where it can't have. */
    private void catchUp(Reducer desk, long pause) throws InterruptedException {
        if (pause >= SHORTEST_PAUSE) {
            pausedUntil = clock.getAsLong();
            pausedFrom = pausedUntil - pause;
        }
        readNewsFirst(desk, pause);
        if (pause >= SHORTEST_PAUSE) {
            runAllThatWait();
        }
    }

    /**
     * News of discovery and clients' ends are read before anything else is acted upon. After a pause in which
     * discovery may have had more to tell than one answer holds, it is asked anew first.
     */
    private void readNewsFirst(Reducer desk, long pause) throws InterruptedException {
        processor.awaitRead(READ_MILLIS);
        for (Task urgent = queue.pollUrgent(); urgent != null; urgent = queue.pollUrgent()) {
            run(urgent);
        }
        run(new Task(null, () -> happened.accept(new Event.ProcessResumed(pause))));
        long until = clock.getAsLong() + CATCH_UP;
        for (long left = CATCH_UP; desk.isCatchingUp() && left > 0; left = until - clock.getAsLong()) {
            Task news = queue.pollUrgent(left);
            if (news != null) {
                run(news);
            }
        }
    }

    /** What came in a pause goes before times that came due in it: an answer that was there is not late. */
    private void runAllThatWait() throws InterruptedException {
        for (int left = queue.size(); left > 0; left--) {
            decidingSince = clock.getAsLong();
            Task task = queue.poll(0);
            if (task != null) {
                run(task);
            }
        }
    }

    /** When bytes came that were read at this time: in a pause of the process nothing is read. */
    Arrival arrival(long readAt) {
        boolean mayHaveWaited = readAt > pausedFrom && readAt <= pausedUntil + READ_AFTER_PAUSE;
        return new Arrival(mayHaveWaited ? pausedFrom : readAt, readAt);
    }

    /** One event's fault must not stop the others. */
    private static void run(Task task) {
        try {
            task.work().run();
        } catch (RuntimeException | Error e) {
            Logger.error(e, "fault in an event");
            if (task.wire() != null) {
                task.wire().close();
            }
        }
    }
}
