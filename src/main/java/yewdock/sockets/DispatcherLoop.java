package yewdock.sockets;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import yewdock.core.Event;
import yewdock.core.Reducer;
import yewdock.platform.Arrival;
import yewdock.sockets.TaskQueue.Task;

/**
 * The loop of the one thread on which the reducer and all connection handlers run: it runs queued tasks and
 * fires timers that are due.
 *
 * <p>The process may be suspended between any two instructions. Discovery responses, disconnects of clients,
 * requests and server responses then wait in sockets while timers become due. After a pause, discovery
 * responses and disconnects are handled first, then everything else that has arrived, then the timers.
 */
final class DispatcherLoop {
    /** Longest sleep; a pause of the process that goes unnoticed within a sleep can't be longer either. */
    private static final long MAX_SLEEP_MICROS = 100_000;
    /** After this time without looking at new input, the sockets are read before anything else is done. */
    private static final long MAX_UNREAD_MICROS = 100_000;
    private static final long READ_WAIT_MILLIS = 10;
    /** A shorter pause does not matter to any timeout. */
    private static final long MIN_PAUSE_MICROS = 50_000;
    /** This time after a pause, everything that arrived during it has been accepted and read. */
    private static final long READ_AFTER_PAUSE_MICROS = 100_000;
    /** How long other tasks wait for discovery's answer on changes during a pause. */
    private static final long CATCH_UP_MICROS = 250_000;

    private final TaskQueue queue;
    private final CompleteReadProcessor processor;
    private final LongSupplier clock;
    /** Dispatches events to the reducer. */
    private final Consumer<Event> dispatch;
    /** Runs after every task, and at least every MAX_SLEEP_MICROS. */
    private final Runnable housekeeping;
    /** When the current task started: all urgent input that had arrived before has been handled. */
    private long taskStartedAt;
    /** The last period in which the process was suspended and read no input. */
    private long pausedFrom;
    private long pausedUntil;
    private boolean stopped;

    DispatcherLoop(TaskQueue queue, CompleteReadProcessor processor, LongSupplier clock,
            Consumer<Event> dispatch, Runnable housekeeping) {
        this.queue = queue;
        this.processor = processor;
        this.clock = clock;
        this.dispatch = dispatch;
        this.housekeeping = housekeeping;
    }

    /** When the current task started, in microseconds. */
    long taskStartedAt() {
        return taskStartedAt;
    }

    /** Ends the loop after the current task. */
    void stop() {
        stopped = true;
    }

    /** Runs until it is stopped. */
    void run(Reducer reducer) {
        taskStartedAt = clock.getAsLong();
        while (!stopped) {
            try {
                step(reducer);
            } catch (InterruptedException e) {
                Logger.warn("dispatcher thread was interrupted");
            }
        }
    }

    private void step(Reducer reducer) throws InterruptedException {
        long sleepMicros = Math.max(0,
                Math.min(reducer.nextTimerDue() - clock.getAsLong(), MAX_SLEEP_MICROS));
        Task task = queue.poll(sleepMicros);
        // counted from before the last task, during which the process may have been suspended
        long unreadMicros = clock.getAsLong() - taskStartedAt;
        if (unreadMicros > MAX_UNREAD_MICROS) {
            if (task != null) {
                queue.putBack(task);
            }
            catchUp(reducer, unreadMicros - sleepMicros);
            task = queue.poll(0);
        }
        taskStartedAt = clock.getAsLong();
        if (task != null) {
            run(task);
        }
        if (reducer.nextTimerDue() <= clock.getAsLong()) {
            run(new Task(null, () -> dispatch.accept(new Event.Tick())));
        }
        run(new Task(null, housekeeping));
    }

    /** Handles a possible pause of this length; it is negative if the process can't have been suspended. */
    private void catchUp(Reducer reducer, long pauseMicros) throws InterruptedException {
        if (pauseMicros >= MIN_PAUSE_MICROS) {
            pausedUntil = clock.getAsLong();
            pausedFrom = pausedUntil - pauseMicros;
        }
        runUrgentFirst(reducer, pauseMicros);
        if (pauseMicros >= MIN_PAUSE_MICROS) {
            runAllQueued();
        }
    }

    /**
     * Handles discovery responses and disconnects of clients before anything else. After a pause in which
     * discovery may have had more changes than one response holds, it is polled again first.
     */
    private void runUrgentFirst(Reducer reducer, long pauseMicros) throws InterruptedException {
        processor.awaitRead(READ_WAIT_MILLIS);
        for (Task urgent = queue.pollUrgent(); urgent != null; urgent = queue.pollUrgent()) {
            run(urgent);
        }
        run(new Task(null, () -> dispatch.accept(new Event.ProcessResumed(pauseMicros))));
        long until = clock.getAsLong() + CATCH_UP_MICROS;
        for (long remaining = CATCH_UP_MICROS; reducer.isCatchingUp() && remaining > 0;
                remaining = until - clock.getAsLong()) {
            Task urgent = queue.pollUrgent(remaining);
            if (urgent != null) {
                run(urgent);
            }
        }
    }

    /** Input from a pause goes before timers that became due in it: what had arrived in time is not late. */
    private void runAllQueued() throws InterruptedException {
        for (int remaining = queue.size(); remaining > 0; remaining--) {
            taskStartedAt = clock.getAsLong();
            Task task = queue.poll(0);
            if (task != null) {
                run(task);
            }
        }
    }

    /** Returns when bytes arrived that were read at this time: possibly as early as the start of a pause. */
    Arrival arrival(long readAt) {
        boolean mayHaveWaited = readAt > pausedFrom && readAt <= pausedUntil + READ_AFTER_PAUSE_MICROS;
        return new Arrival(mayHaveWaited ? pausedFrom : readAt, readAt);
    }

    /** Runs a task; a fault in it must not stop the others. */
    private static void run(Task task) {
        try {
            task.work().run();
        } catch (RuntimeException | Error e) {
            Logger.error(e, "fault in a task");
            if (task.connection() != null) {
                task.connection().close();
            }
        }
    }
}
